//! Keeps the relay's state in step with its view of the fleet.

use std::sync::Arc;
use std::time::Duration;

use client::FleetView;
use place::ListedTarget;
use routes::{RouteIndex, ServicePool};
use telemetry::{event, events};
use units::PlanNumber;
use wire::{DirectoryEntry, NodeKind, NodeState};

use crate::settings::RelaySettings;
use crate::state::RelayShared;

/// Interval in which waiting requests look for cold targets whose pace allows one, besides the
/// changes of the view.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval in which idle connections are checked.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Takes over changes of the view, for ever.
pub(crate) async fn follow_view(shared: RelayShared) {
    let mut changes = shared.view.changes();
    loop {
        take_over(&shared);
        // The board lives as long as this task.
        let _ = changes.changed().await;
    }
}

/// Looks for room for waiting requests, for ever.
pub(crate) async fn serve_queue(shared: RelayShared) {
    loop {
        shared
            .board
            .wait_for(|state| (!state.queue.is_empty()).then_some(()))
            .await;
        tokio::time::sleep(LOOK_INTERVAL).await;
        let now = shared.now();
        shared.board.write_quietly(|state| state.drain(now));
    }
}

/// Closes connections that are not needed any more, for ever.
pub(crate) async fn prune_pool(shared: RelayShared) {
    let mut interval = tokio::time::interval(PRUNE_INTERVAL);
    loop {
        interval.tick().await;
        let live = shared.view.read(|view| {
            let targets = view.directory.values().filter(|entry| is_target(entry));
            targets.map(|entry| entry.address).collect::<Vec<_>>()
        });
        shared.pool.prune(|address| live.contains(address));
    }
}

fn take_over(shared: &RelayShared) {
    let now = shared.now();
    let known = shared
        .board
        .read(|state| state.index.as_ref().map(|index| index.number));
    let (index, seen, entries) = shared.view.read(|view| {
        let index = newer_index(view, known);
        let entries = view
            .directory
            .values()
            .filter(|entry| is_entry(entry))
            .count();
        (index, seen_targets(view, &shared.settings), entries)
    });
    if let Some(index) = &index {
        event!(
            events::PLAN_INSTALLED,
            number = index.number,
            routes = index.plan.routes.len()
        );
    }
    shared.board.write(|state| {
        if let Some(index) = index {
            state.index = Some(Arc::new(index));
        }
        let entries = entries.max(1) as u32;
        if state.entries != entries {
            state.entries = entries;
            state.budgets.clear();
        }
        state.table.sync(seen, entries, now);
        state.drain(now);
    });
}

/// Index of the plan in the view, unless it is the known one. The view never goes back.
fn newer_index(view: &FleetView, known: Option<PlanNumber>) -> Option<RouteIndex> {
    let published = view.config.published.as_ref()?;
    (Some(published.number) != known).then(|| RouteIndex::new(published))
}

fn is_target(entry: &DirectoryEntry) -> bool {
    matches!(entry.kind, NodeKind::Target(_))
}

fn is_entry(entry: &DirectoryEntry) -> bool {
    entry.kind == NodeKind::Entry && entry.state == NodeState::Serving
}

/// Targets of the directory that have no agent.
fn seen_targets(view: &FleetView, settings: &RelaySettings) -> Vec<ListedTarget> {
    let targets = view.directory.values();
    targets
        .filter_map(|entry| seen_target(view, settings, entry))
        .collect()
}

fn seen_target(
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
        data_centre: entry.data_centre.clone(),
        region: settings.regions.get(&entry.data_centre).cloned(),
        slots: target.slots,
        is_serving: entry.state == NodeState::Serving && !is_out,
        cold_ms: target.cold_ms,
        cold_rate: pool.and_then(cold_rate),
    })
}

fn cold_rate(pool: &ServicePool) -> Option<units::MilliRate> {
    pool.cold.map(|bound| bound.rate)
}
