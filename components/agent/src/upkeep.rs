//! Controllers that run at intervals: serving, target health and clean-up.

use std::time::Duration;

use crate::state::AgentShared;

/// Interval of the serving decision; an order or a lost lease takes effect after it at the latest.
const SERVING_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of target probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of clean-up.
const CLEAN_INTERVAL: Duration = Duration::from_millis(250);

/// Lets the offer table claim only while the agent may take new work.
pub(crate) async fn decide_serving(shared: AgentShared) {
    let mut interval = tokio::time::interval(SERVING_INTERVAL);
    let mut view_changes = shared.view.changes();
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            _ = view_changes.changed() => {}
        }
        let permitted = shared.has_permission();
        let now = shared.now();
        shared.board.write_quietly(|state| {
            state.decide_serving(permitted, now);
            let actions = state.table.tick(now);
            state.perform(actions);
        });
    }
}

/// Notes whether the target accepts connections, at intervals and at once after a run lost it. A
/// target that comes back is cold.
pub(crate) async fn probe_target(shared: AgentShared) {
    let mut interval = tokio::time::interval(PROBE_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let suspected = shared.board.wait_for(|state| state.suspect.then_some(()));
        tokio::select! {
            _ = interval.tick() => {}
            () = suspected => {}
        }
        shared.board.write_quietly(|state| state.suspect = false);
        let healthy = shared.target.probe().await;
        let before = shared.board.read(|state| state.healthy);
        if healthy == before {
            continue;
        }
        let now = shared.now();
        shared.board.write(|state| {
            state.healthy = healthy;
            state.limit.record_refusal(now);
            state.apply_limit(now);
        });
        let event = if healthy {
            telemetry::events::AGENT_TARGET_UP
        } else {
            telemetry::events::AGENT_TARGET_DOWN
        };
        telemetry::event!(event, target = shared.settings.target);
    }
}

/// Cancels orphaned runs, and forgets runs and ids whose time has passed.
pub(crate) async fn clean_up(shared: AgentShared) {
    let mut interval = tokio::time::interval(CLEAN_INTERVAL);
    loop {
        interval.tick().await;
        let now = shared.now();
        shared.board.write(|state| {
            state.runs.retain(|_, run| !run.clean_up(now));
            state.seen.evict_expired(now);
        });
    }
}
