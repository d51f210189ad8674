//! Reports of an entry to their home, the control node that merges the reports of all entries.

use std::net::SocketAddr;
use std::time::Duration;

use client::ControlClient;
use fair::HomeList;
use telemetry::{event, events};
use units::{ClockTime, NodeName, OrganisationName, ServiceName};
use wire::{ControlReply, ControlRequest, EntryReply, EntryReport, FlowId, FlowKey, stable_hash};

/// Interval between reports of an entry that has nothing to report. It learns of a quarantine within
/// this time.
pub const IDLE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time over which the first reports of the entries of a fleet are spread. All of them connect to the
/// same control node.
const START_SPREAD: Duration = Duration::from_secs(1);

/// Service name under which the demand for all model services is summed, because a plan states the
/// total capacity of all engines.
pub fn model_pool() -> ServiceName {
    ServiceName::from("models")
}

/// Sends the reports of one entry.
pub struct ReportSender {
    client: ControlClient,
    homes: HomeList,
    /// Flow whose home gets the reports of all entries.
    pool: FlowId,
}

impl ReportSender {
    /// Creates a sender that takes all control nodes for reachable.
    pub fn new(client: ControlClient) -> Self {
        Self {
            homes: HomeList::new(client.controls().to_vec()),
            client,
            pool: FlowId::of(&FlowKey {
                organisation: OrganisationName::from(""),
                service: model_pool(),
            }),
        }
    }

    /// Time after its start at which an entry begins to report.
    pub fn start_delay(entry: &NodeName) -> Duration {
        let name_hash = stable_hash(&[entry.as_str().as_bytes()]);
        Duration::from_millis(name_hash % START_SPREAD.as_millis() as u64)
    }

    /// Control node that gets the next report; `None` if none is reachable.
    pub fn home(&mut self, now: ClockTime) -> Option<SocketAddr> {
        self.homes.set_controls(self.client.controls().to_vec());
        self.homes.home(self.pool, now)
    }

    /// Sends a report; returns `None` if the home does not reply. It is then avoided for a while.
    pub async fn send(
        &mut self,
        home: SocketAddr,
        report: &EntryReport,
        now: ClockTime,
    ) -> Option<EntryReply> {
        let request = ControlRequest::Report(report.clone());
        let reason = match self.client.request_at(home, &request).await {
            Ok(ControlReply::Report(reply)) => return Some(reply),
            Ok(reply) => format!("unexpected reply from the control node: {reply:?}"),
            Err(error) => error.to_string(),
        };
        event!(events::DEMAND_UNANSWERED, control = home, reason = reason);
        self.homes.mark_unreachable(home, now);
        None
    }
}
