//! Applies changes of the fleet view to the relay's state.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use client::{DirectoryRevision, FleetView};
use fair::DEMAND_INTERVAL;
use place::{ColdChange, ColdStep, ListedTarget, PlacementTable};
use routes::{RouteIndex, RoutePlan, ServicePool};
use telemetry::{event, events};
use units::{DataCentreName, Incarnation, NodeName, PlanNumber, RouteName, ServiceName};
use wire::{DirectoryEntry, NodeKind, NodeState};

use crate::crash::record_listed;
use crate::origins::record_restarts;
use crate::settings::RelaySettings;
use crate::state::RelayShared;

/// Interval at which the queue is checked in addition to changes of the view, because the rate
/// limit of a cold target may admit a waiting request at any time.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest latency objective of services whose targets are evened out. Loads of other entries are up
/// to two intervals of reports old, which is of no use for a shorter one.
const MIN_EVEN_OBJECTIVE: Duration = DEMAND_INTERVAL.saturating_mul(2);

/// Interval at which idle connections are checked.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Applies each change of the view; never returns.
pub(crate) async fn follow_view(shared: RelayShared) {
    let mut view_changes = shared.view.changes();
    let mut out_data_centres = BTreeSet::new();
    loop {
        apply_view(&shared);
        log_data_centres(&shared, &mut out_data_centres);
        // `changed` cannot fail: `shared` keeps the board alive as long as this task.
        let _ = view_changes.changed().await;
    }
}

/// Looks for capacity for waiting requests while there are any; never returns.
pub(crate) async fn poll_queue(shared: RelayShared) {
    loop {
        shared
            .board
            .wait_for(|state| (!state.queue.is_empty()).then_some(()))
            .await;
        tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
        let now = shared.now();
        shared.board.write_quietly(|state| state.drain_queue(now));
    }
}

/// Closes expired connections and those to targets that left the directory; never returns.
pub(crate) async fn prune_connections(shared: RelayShared) {
    let mut interval = tokio::time::interval(PRUNE_INTERVAL);
    loop {
        interval.tick().await;
        let target_addresses = shared.view.read(|view| {
            let targets = view.directory.values().filter(|entry| is_target(entry));
            targets.map(|entry| entry.address).collect::<Vec<_>>()
        });
        shared
            .pool
            .prune(|address| target_addresses.contains(address));
    }
}

fn apply_view(shared: &RelayShared) {
    let now = shared.now();
    let installed = shared
        .board
        .read(|state| state.route_index.as_ref().map(|index| index.number));
    let (index, targets, entries, rollouts, origin) = shared.view.read(|view| {
        let index = changed_index(view, installed);
        let entries = view.directory.values().filter(|entry| is_entry(entry));
        let entries: Vec<NodeName> = entries.map(|entry| entry.name.clone()).collect();
        let rollouts = view.config.rollouts.clone();
        (
            index,
            listed_targets(view, &shared.settings),
            entries,
            rollouts,
            DirectoryOrigin {
                revision: view.revision,
                is_settled: view.is_settled,
                age: view.age(now),
            },
        )
    });
    if let Some(index) = &index {
        event!(
            events::PLAN_INSTALLED,
            number = index.number,
            routes = index.plan.routes.len()
        );
    }
    record_listed(shared, &targets);
    let (changed, old_position, position, cold_changes) = shared.board.write(|state| {
        if let Some(index) = index {
            let routes: HashSet<&RouteName> =
                index.plan.routes.iter().map(|route| &route.name).collect();
            state.run_durations.retain(|name, _| routes.contains(name));
            if shared.settings.is_load_evened {
                state.table.set_even_services(even_services(&index.plan));
            }
            state.route_index = Some(Arc::new(index));
        }
        let changed = changed_versions(&state.table, &targets);
        let old_position = state.table.position();
        state.roster.sync(entries.iter(), origin.is_settled, now);
        let position = state.roster.position();
        state.table.sync(targets, position, now);
        state.table.set_settled(state.roster.is_settled(), now);
        let cold_changes = state.table.take_cold_changes();
        let exposure_permille = shared.settings.rollout_exposure_permille;
        state
            .rollouts
            .sync(&rollouts, exposure_permille, position.rank, position.count);
        state.drain_queue(now);
        (changed, old_position, position, cold_changes)
    });
    record_restarts(shared, &changed);
    if old_position.count != position.count {
        event!(
            events::ENTRY_COUNT_CHANGED,
            old = old_position.count,
            new = position.count,
            rank = position.rank,
            settled = origin.is_settled,
            source = origin.source(),
            revision = origin.number(),
            age_ms = origin.age.as_millis()
        );
    }
    for change in &cold_changes {
        log_cold_change(change, &origin);
    }
}

/// Logs the data centres that were taken out or brought back since the last call.
fn log_data_centres(shared: &RelayShared, known: &mut BTreeSet<DataCentreName>) {
    let (version, out) = shared.view.read(|view| {
        let config = &view.config;
        (config.version, config.out_data_centres.clone())
    });
    for data_centre in known.symmetric_difference(&out) {
        event!(
            events::DATA_CENTRE_CHANGED,
            data_centre = data_centre,
            out = out.contains(data_centre),
            version = version
        );
    }
    *known = out;
}

/// Control node and revision from which the directory comes, and the time since a quorum confirmed it.
struct DirectoryOrigin {
    revision: Option<DirectoryRevision>,
    is_settled: bool,
    age: Duration,
}

impl DirectoryOrigin {
    /// Source of the directory; 0 before the first one.
    fn source(&self) -> Incarnation {
        self.revision.map_or(Incarnation(0), |(source, _)| source)
    }

    fn number(&self) -> u64 {
        self.revision.map_or(0, |(_, number)| number)
    }
}

fn log_cold_change(change: &ColdChange, origin: &DirectoryOrigin) {
    match change.step {
        ColdStep::Started { cause, cold_ms } => event!(
            events::COLD_STARTED,
            target = change.target,
            incarnation = change.incarnation,
            sequence = change.sequence,
            cold_ms = cold_ms,
            cause = cause.as_str(),
            milli_rate = change.rate,
            entries = change.position.count,
            rank = change.position.rank,
            source = origin.source(),
            revision = origin.number(),
            age_ms = origin.age.as_millis()
        ),
        ColdStep::Ended {
            reason,
            duration,
            sent,
        } => event!(
            events::COLD_ENDED,
            target = change.target,
            incarnation = change.incarnation,
            sequence = change.sequence,
            reason = reason.as_str(),
            duration_ms = duration.as_millis(),
            sent = sent,
            entries = change.position.count,
            source = origin.source(),
            revision = origin.number(),
            age_ms = origin.age.as_millis()
        ),
    }
}

/// Services whose targets are evened out, with the memory of each target in tokens.
fn even_services(plan: &RoutePlan) -> BTreeMap<ServiceName, u64> {
    let is_even = |service: &ServiceName| {
        let routes = plan.routes.iter();
        let mut routes = routes
            .filter(|route| {
                let mut split = route.split.iter();
                split.any(|part| part.service == *service)
            })
            .peekable();
        routes.peek().is_some() && routes.all(|route| route.objective() >= MIN_EVEN_OBJECTIVE)
    };
    let pools = plan.pools.iter();
    pools
        .filter_map(|(service, pool)| Some((service, pool.engine?.cache_tokens)))
        .filter(|(service, cache_tokens)| *cache_tokens > 0 && is_even(service))
        .map(|(service, cache_tokens)| (service.clone(), cache_tokens))
        .collect()
}

/// Listed targets whose version differs from that under which the table has them.
fn changed_versions(table: &PlacementTable, targets: &[ListedTarget]) -> Vec<ListedTarget> {
    let is_changed = |target: &&ListedTarget| {
        let listed = table.listed(&target.name);
        listed.is_some_and(|listed| listed.version != target.version)
    };
    targets.iter().filter(is_changed).cloned().collect()
}

/// Index of the plan in the view, unless that plan is installed. The view never returns to an older
/// plan.
fn changed_index(view: &FleetView, installed: Option<PlanNumber>) -> Option<RouteIndex> {
    let published = view.config.published.as_ref()?;
    (Some(published.number) != installed).then(|| RouteIndex::new(published))
}

fn is_target(entry: &DirectoryEntry) -> bool {
    matches!(entry.kind, NodeKind::Target(_))
}

fn is_entry(entry: &DirectoryEntry) -> bool {
    entry.kind == NodeKind::Entry && entry.state == NodeState::Serving
}

/// Targets in the directory to which the relay sends directly, without an agent.
fn listed_targets(view: &FleetView, settings: &RelaySettings) -> Vec<ListedTarget> {
    let targets = view.directory.values();
    targets
        .filter_map(|entry| listed_target(view, settings, entry))
        .collect()
}

fn listed_target(
    view: &FleetView,
    settings: &RelaySettings,
    entry: &DirectoryEntry,
) -> Option<ListedTarget> {
    let NodeKind::Target(target) = &entry.kind else {
        return None;
    };
    let is_out = view.config.out_data_centres.contains(&entry.data_centre);
    let pool = view
        .config
        .published
        .as_ref()
        .and_then(|published| published.plan.pools.get(&target.service));
    Some(ListedTarget {
        name: entry.name.clone(),
        incarnation: entry.incarnation,
        sequence: target.sequence,
        address: entry.address,
        service: target.service.clone(),
        version: target.version.clone(),
        data_centre: entry.data_centre.clone(),
        region: settings.regions.get(&entry.data_centre).cloned(),
        slots: target.slots,
        is_serving: entry.state == NodeState::Serving && !is_out,
        cold_ms: target.cold_ms,
        is_unconfirmed: view
            .config
            .returns
            .get(&entry.data_centre)
            .is_some_and(|version| target.accepted_at < *version),
        cold_rate: pool.and_then(cold_rate),
    })
}

fn cold_rate(pool: &ServicePool) -> Option<units::MilliRate> {
    pool.cold.map(|bound| bound.rate)
}
