//! Reports the demand for the model engines, the crashes of targets and the load on them to their home,
//! which is the control node that merges the reports of all entries, and applies the shares, the
//! quarantine and the loads in the replies.

use client::ControlClient;
use entry::{IDLE_REPORT_INTERVAL, ReportSender};
use fair::DEMAND_INTERVAL;
use wire::EntryReport;

use crate::rollouts::{rollout_counts, stop_bad_versions};
use crate::state::{RelayShared, RelayState};

/// Reports every [`DEMAND_INTERVAL`], or every [`IDLE_REPORT_INTERVAL`] without requests; never
/// returns.
pub(crate) async fn report_demand(shared: RelayShared, client: ControlClient) {
    tokio::time::sleep(ReportSender::start_delay(&shared.settings.name)).await;
    let mut sender = ReportSender::new(client);
    let mut last_report = None;
    let mut replied_home = None;
    let mut interval = tokio::time::interval(DEMAND_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = shared.now();
        let is_recent = last_report.is_some_and(|last| now.since(last) < IDLE_REPORT_INTERVAL);
        stop_bad_versions(&shared);
        let is_idle = |state: &RelayState| {
            state.gate.is_idle(now) && !state.crashes.is_urgent() && !state.rollouts.is_active()
        };
        if is_recent && shared.board.read(is_idle) {
            shared
                .board
                .write_quietly(|state| state.gate.skip_report(now));
            continue;
        }
        last_report = Some(now);
        let Some(home) = sender.home(now) else {
            continue;
        };
        let (name, incarnation) = (shared.settings.name.clone(), shared.incarnation);
        let config = shared.view.read(|view| view.config.version);
        let reported_at = shared.now();
        let report = shared.board.write_quietly(|state| {
            for run in state.table.overdue_runs(now) {
                state.gate.record_wait(run.latency, run.objective);
            }
            let mut demand = state.gate.take_report(name, incarnation, now);
            if replied_home.is_some_and(|replied| replied != home) {
                demand.known_capacity = state.gate.known_capacity(now);
            }
            EntryReport {
                demand,
                crashes: state.crashes.take_report(now),
                config,
                rollouts: rollout_counts(state),
                loads: state.table.take_load_report(),
            }
        });
        if let Some(reply) = sender.send(home, &report, now).await {
            replied_home = Some(home);
            shared.board.write_quietly(|state| {
                let now = shared.now();
                state.gate.apply_reply(&reply.shares, now);
                let quarantine = &reply.quarantine;
                state.crashes.apply_reply(&report.crashes, quarantine, now);
                if let Some(loads) = &reply.loads {
                    state.table.apply_load_reply(loads, reported_at);
                    state.drain_queue(now);
                }
            });
        }
    }
}
