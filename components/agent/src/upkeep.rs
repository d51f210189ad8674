//! Periodic tasks: permission to claim, target probes and clean-up.

use std::time::Duration;

use units::Incarnation;

use crate::state::AgentShared;

/// Interval at which the permission to claim is checked. An order or the end of the lease takes
/// effect within this time.
const SERVING_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two probes of the target.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two removals of expired runs and ids.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(250);

/// Allows claims only while the agent may accept new work, and drives the timeouts of the offer
/// table.
pub(crate) async fn update_serving(shared: AgentShared) {
    let mut interval = tokio::time::interval(SERVING_CHECK_INTERVAL);
    let mut view_changes = shared.view.changes();
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            _ = view_changes.changed() => {}
        }
        let is_permitted = shared.has_permission();
        let now = shared.now();
        shared.board.write_quietly(|state| {
            state.update_serving(is_permitted, now);
            let actions = state.table.tick(now);
            state.perform_actions(actions);
        });
    }
}

/// Checks periodically, and immediately after a run lost the target, whether the target accepts
/// connections. A target that accepts them again starts at its cold limit.
pub(crate) async fn probe_target(shared: AgentShared) {
    let mut interval = tokio::time::interval(PROBE_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let probe_requested = shared
            .board
            .wait_for(|state| state.is_probe_requested.then_some(()));
        tokio::select! {
            _ = interval.tick() => {}
            () = probe_requested => {}
        }
        shared
            .board
            .write_quietly(|state| state.is_probe_requested = false);
        let is_healthy = shared.target.probe().await;
        let was_healthy = shared.board.read(|state| state.is_healthy);
        if is_healthy == was_healthy {
            continue;
        }
        let now = shared.now();
        shared.board.write(|state| {
            state.is_healthy = is_healthy;
            if is_healthy {
                state.target_incarnation = Incarnation::starting_now();
            }
            state.limit.record_refusal(now);
            state.apply_limit(now);
        });
        let event = if is_healthy {
            telemetry::events::AGENT_TARGET_UP
        } else {
            telemetry::events::AGENT_TARGET_DOWN
        };
        telemetry::event!(event, target = shared.settings.target);
    }
}

/// Cancels repeatable runs without a reader, and removes runs and ids whose retention time has
/// passed.
pub(crate) async fn clean_up(shared: AgentShared) {
    let mut interval = tokio::time::interval(CLEANUP_INTERVAL);
    loop {
        interval.tick().await;
        let now = shared.now();
        shared.board.write(|state| {
            state.runs.retain(|_, run| !run.clean_up(now));
            state.seen.evict_expired(now);
        });
    }
}
