//! Reports the demand for the model engines and the crashes of targets to their home, which is the
//! control node that merges the reports of all entries, and applies the shares and the quarantine in
//! the replies.

use std::time::Duration;

use client::ControlClient;
use fair::{DEMAND_INTERVAL, HomeList};
use telemetry::{event, events};
use units::{OrganisationName, ServiceName};
use wire::{ControlReply, ControlRequest, EntryReply, EntryReport, FlowId, FlowKey, stable_hash};

use crate::state::{RelayShared, RelayState};

/// Service name under which the demand for all model services is summed, because a plan states the
/// total capacity of all engines.
pub(crate) fn model_pool() -> ServiceName {
    ServiceName::from("models")
}

/// Time over which the first reports of the entries of a fleet are spread. All of them connect to the
/// same control node.
const START_SPREAD: Duration = Duration::from_secs(1);

/// Interval between reports without demand. An entry without requests learns of a quarantine within
/// this time.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Reports every [`DEMAND_INTERVAL`], or every [`IDLE_INTERVAL`] without requests; never returns.
pub(crate) async fn report_demand(shared: RelayShared, client: ControlClient) {
    let name_hash = stable_hash(&[shared.settings.name.as_str().as_bytes()]);
    let start_delay = name_hash % START_SPREAD.as_millis() as u64;
    tokio::time::sleep(Duration::from_millis(start_delay)).await;
    let mut last_report = None;
    let mut interval = tokio::time::interval(DEMAND_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut homes = HomeList::new(client.controls().to_vec());
    let pool = FlowId::of(&FlowKey {
        organisation: OrganisationName::from(""),
        service: model_pool(),
    });
    loop {
        interval.tick().await;
        let now = shared.now();
        let is_recent = last_report.is_some_and(|last| now.since(last) < IDLE_INTERVAL);
        let is_idle = |state: &RelayState| state.gate.is_idle(now) && !state.crashes.is_urgent();
        if is_recent && shared.board.read(is_idle) {
            continue;
        }
        last_report = Some(now);
        homes.set_controls(client.controls().to_vec());
        let Some(home) = homes.home(pool, now) else {
            continue;
        };
        let (name, incarnation) = (shared.settings.name.clone(), shared.incarnation);
        let report = shared.board.write_quietly(|state| {
            for run in state.table.overdue_runs(now) {
                state.gate.record_wait(run.latency, run.objective);
            }
            EntryReport {
                demand: state.gate.take_report(name, incarnation, now),
                crashes: state.crashes.take_report(now),
            }
        });
        match send_report(&client, home, &report).await {
            Ok(reply) => shared.board.write_quietly(|state| {
                let now = shared.now();
                state.gate.apply_reply(&reply.shares, now);
                let quarantine = &reply.quarantine;
                state.crashes.apply_reply(&report.crashes, quarantine, now);
            }),
            Err(reason) => {
                event!(events::DEMAND_UNANSWERED, control = home, reason = reason);
                homes.mark_unreachable(home, now);
            }
        }
    }
}

async fn send_report(
    client: &ControlClient,
    home: std::net::SocketAddr,
    report: &EntryReport,
) -> Result<EntryReply, String> {
    let request = ControlRequest::Report(report.clone());
    match client.request_at(home, &request).await {
        Ok(ControlReply::Report(reply)) => Ok(reply),
        Ok(reply) => Err(format!("unexpected reply from the control node: {reply:?}")),
        Err(error) => Err(error.to_string()),
    }
}
