//! Judges roll-outs and proposes their next phases.
//!
//! The control node to which the entries report decides; the replicated log orders what it proposes.
//! A proposal for a phase that has passed has no effect, so two nodes may decide at once.

mod homes;

use std::collections::BTreeMap;
use std::time::Duration;

use cadence::StatsdClient;
use cadence::prelude::*;
use raft::NodeRole as RaftRole;
use rollout::{RolloutPhase, RolloutRecord};
use telemetry::{event, events};
use tokio::time::MissedTickBehavior;
use units::ServiceName;
use wire::{ControlReply, ControlRequest, EntryReport, stable_hash};

pub(crate) use self::homes::RolloutHomes;
use self::homes::{ActiveRollout, FleetNodes, GroupState, RolloutJudgement};
use crate::requests::commit_or_forward;
use crate::state::ControlContext;

/// Maximum interval between two judgements, which the reports of entries do not delay.
const JUDGE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between two judgements. A hundred entries send 400 reports a second, and the
/// node may have less than a tenth of a core.
const MIN_JUDGE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which changes of roll-outs are logged.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Adds what an entry has counted, and wakes the judgement if a step may be due.
pub(crate) fn apply_rollouts(context: &ControlContext, report: &EntryReport) {
    let now = context.clock.now();
    let bounds = &context.settings.rollout_bounds;
    let is_due = context.rollouts.write_quietly(|homes| {
        context.view.read(|view| {
            let table = &view.registry.config().rollouts;
            homes.apply_report(report, table, bounds, now)
        })
    });
    if is_due {
        context.rollout_due.notify_one();
    }
}

/// Proposes the steps that are due, at reports and periodically. Runs until the task is aborted.
pub(crate) async fn drive_rollouts(context: ControlContext) {
    loop {
        let due = context.rollout_due.notified();
        let _ = tokio::time::timeout(JUDGE_INTERVAL, due).await;
        for judgement in due_steps(&context) {
            propose_step(&context, &judgement).await;
        }
        tokio::time::sleep(MIN_JUDGE_INTERVAL).await;
    }
}

fn due_steps(context: &ControlContext) -> Vec<RolloutJudgement> {
    let now = context.clock.now();
    let (active, out_data_centres, group) = context.view.read(|view| {
        let config = view.registry.config();
        let group = GroupState {
            is_confirmed: view.confirmation_age(now).is_some(),
            is_leader: view.status.role == RaftRole::Leader,
        };
        let out = config.out_data_centres.clone();
        (ActiveRollout::all_of(config), out, group)
    });
    let nodes = match active.is_empty() {
        true => FleetNodes::default(),
        false => context.with_nodes(|nodes| FleetNodes::of(nodes, &out_data_centres, now)),
    };
    let (bounds, plan_time) = (&context.settings.rollout_bounds, context.settings.plan_time);
    context
        .rollouts
        .write_quietly(|homes| homes.next_steps(&active, &nodes, group, bounds, plan_time, now))
}

/// Proposes a step. The next judgement proposes it again if it is not committed.
async fn propose_step(context: &ControlContext, judgement: &RolloutJudgement) {
    let step = &judgement.step;
    let Ok(bytes) = postcard::to_stdvec(step) else {
        return;
    };
    let reply = commit_or_forward(context, false, ControlRequest::AdvanceRollout(bytes)).await;
    if reply == ControlReply::Advanced(false) {
        return;
    }
    let worst = judgement.worst_route.unwrap_or_default();
    event!(
        events::ROLLOUT_JUDGED,
        service = step.service,
        number = step.number,
        phase = ?step.phase,
        committed = (reply == ControlReply::Advanced(true)),
        evidence = format!("{:.1}", judgement.evidence),
        route = route_name(context, worst.route),
        new_sent = worst.new_sent,
        new_failed = worst.new_failed,
        new_slow = worst.new_slow,
        old_sent = worst.old_sent,
        old_failed = worst.old_failed,
        old_slow = worst.old_slow
    );
}

/// Name of the route with a hash, or the hash if the plan has no such route; empty for 0.
fn route_name(context: &ControlContext, hash: u64) -> String {
    if hash == 0 {
        return String::new();
    }
    let name = context.view.read(|view| {
        let published = view.registry.config().published.as_ref()?;
        let mut routes = published.plan.routes.iter();
        let route = routes.find(|route| stable_hash(&[route.name.as_str().as_bytes()]) == hash)?;
        Some(route.name.to_string())
    });
    name.unwrap_or_else(|| format!("{hash:016x}"))
}

/// Logs each change of a roll-out when this node learns of it. Runs until the task is aborted.
pub(crate) async fn watch_rollouts(context: ControlContext) {
    let mut interval = tokio::time::interval(WATCH_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut known: BTreeMap<ServiceName, RolloutRecord> = BTreeMap::new();
    loop {
        interval.tick().await;
        let changed: Vec<RolloutRecord> = context.view.read(|view| {
            let records = view.registry.config().rollouts.iter();
            let is_new =
                |record: &&RolloutRecord| known.get(&record.order.service) != Some(*record);
            records.filter(is_new).cloned().collect()
        });
        for record in changed {
            let last = known.get(&record.order.service);
            log_change(last.filter(|last| last.number == record.number), &record);
            known.insert(record.order.service.clone(), record);
        }
    }
}

fn log_change(last: Option<&RolloutRecord>, record: &RolloutRecord) {
    let (order, number) = (&record.order, record.number);
    if last.is_none() {
        event!(
            events::ROLLOUT_ORDERED,
            service = order.service,
            number = number,
            to = order.to,
            old = ?record.old,
            duration_ms = order.duration_ms,
            ordered_at_ms = record.ordered_at_ms
        );
    }
    let took_ms = record
        .ended_at_ms
        .map(|ended_at_ms| ended_at_ms.saturating_sub(record.ordered_at_ms));
    match &record.phase {
        RolloutPhase::Running { .. } | RolloutPhase::Draining => event!(
            events::ROLLOUT_ADVANCED,
            service = order.service,
            number = number,
            to = order.to,
            phase = ?record.phase
        ),
        RolloutPhase::Completed => event!(
            events::ROLLOUT_COMPLETED,
            service = order.service,
            number = number,
            to = order.to,
            took_ms = ?took_ms
        ),
        RolloutPhase::RolledBack { reason } => event!(
            events::ROLLOUT_ROLLED_BACK,
            service = order.service,
            number = number,
            to = order.to,
            reason = reason,
            took_ms = ?took_ms
        ),
    }
}

/// Records the numbers of services by the state of their newest roll-out, and the highest evidence
/// against a new version.
pub(crate) fn record_gauges(context: &ControlContext, metrics: &StatsdClient) {
    let (mut active, mut completed, mut rolled_back) = (0, 0, 0);
    context.view.read(|view| {
        for record in view.registry.config().rollouts.iter() {
            match record.phase {
                RolloutPhase::Running { .. } | RolloutPhase::Draining => active += 1,
                RolloutPhase::Completed => completed += 1,
                RolloutPhase::RolledBack { .. } => rolled_back += 1,
            }
        }
    });
    let evidence = context.rollouts.read(RolloutHomes::highest_evidence);
    // The metric table accepts every gauge; with another sink, a lost value is replaced soon.
    let _ = metrics.gauge("rollouts.active", active);
    let _ = metrics.gauge("rollouts.completed", completed);
    let _ = metrics.gauge("rollouts.rolled.back", rolled_back);
    let _ = metrics.gauge("rollouts.evidence", evidence);
}
