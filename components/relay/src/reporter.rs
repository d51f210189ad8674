//! Reports of the origins of this entry's streams to control nodes.

use std::net::SocketAddr;
use std::time::Duration;

use client::ControlClient;
use futures_util::future::join_all;
use origins::report_interval;
use telemetry::{event, events};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use wire::{ControlReply, ControlRequest, OriginBatch, stable_hash};

use crate::state::{RelayShared, RelayState};

/// Number of control nodes that get each origin. Two hosts with a disk may be lost at once.
const MAX_COPIES: usize = 3;

/// Maximum number of reports in transit. Control nodes that are cut off answer none for a second.
const MAX_OPEN_REPORTS: usize = 16;

/// Time within which control nodes must answer the reports that are open when the relay stops. It is
/// longer than the round trip to other regions.
const LAST_REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Task that reports new origins. It ends when the reporter is dropped.
pub(crate) struct OriginReporter {
    stop_sender: oneshot::Sender<()>,
    task: JoinSet<()>,
}

impl OriginReporter {
    /// Starts the task.
    pub(crate) fn start(shared: RelayShared) -> Self {
        let (stop_sender, stop) = oneshot::channel();
        let mut task = JoinSet::new();
        task.spawn(report_origins(shared, stop));
        Self { stop_sender, task }
    }

    /// Reports the origins that are left, and waits for the replies.
    pub(crate) async fn finish(mut self) {
        // The task only ends when it is told to, so it receives the message.
        let _ = self.stop_sender.send(());
        // Control nodes that are cut off do not delay the stop.
        let _ = tokio::time::timeout(LAST_REPORT_TIMEOUT, self.task.join_next()).await;
    }
}

/// Interval between the reports of this entry.
pub(crate) fn own_report_interval(shared: &RelayShared) -> Duration {
    report_interval(shared.board.read(RelayState::entry_count))
}

/// Reports new origins until it is told to stop, and then those that are left.
async fn report_origins(shared: RelayShared, stop: oneshot::Receiver<()>) {
    let mut open_reports = JoinSet::new();
    tokio::select! {
        _ = stop => {}
        () = report_at_intervals(&shared, &mut open_reports) => {}
    }
    if shared.origins.read(|log| log.has_report()) {
        start_report(&shared, &mut open_reports);
    }
    while open_reports.join_next().await.is_some() {}
}

/// Reports new origins; never returns.
async fn report_at_intervals(shared: &RelayShared, open_reports: &mut JoinSet<()>) {
    loop {
        shared
            .origins
            .wait_for(|log| log.has_report().then_some(()))
            .await;
        while open_reports.len() >= MAX_OPEN_REPORTS {
            open_reports.join_next().await;
        }
        while open_reports.try_join_next().is_some() {}
        start_report(shared, open_reports);
        tokio::time::sleep(own_report_interval(shared)).await;
    }
}

fn start_report(shared: &RelayShared, open_reports: &mut JoinSet<()>) {
    let now = shared.now();
    let report = shared.origins.write_quietly(|log| log.take_report(now));
    open_reports.spawn(send_report(shared.clone(), report));
}

async fn send_report(shared: RelayShared, report: Vec<OriginBatch>) {
    let request = ControlRequest::RecordOrigins(report.clone());
    let homes = report_homes(&shared.client, shared.settings.name.as_str());
    let sending = homes
        .iter()
        .map(|control| shared.client.request_at(*control, &request));
    let replies = join_all(sending).await;
    let is_recorded = replies
        .iter()
        .any(|reply| matches!(reply, Ok(ControlReply::Done)));
    if !is_recorded {
        let streams: usize = report.iter().map(|batch| batch.streams.len()).sum();
        event!(events::ORIGINS_UNREPORTED, streams = streams);
        let now = shared.now();
        shared.origins.write(|log| log.requeue_report(report, now));
    }
}

/// Control nodes that get the reports of an entry: all, or some that a hash of its name selects.
fn report_homes(client: &ControlClient, name: &str) -> Vec<SocketAddr> {
    let mut controls = client.controls().to_vec();
    if controls.len() > MAX_COPIES {
        controls
            .sort_by_key(|control| stable_hash(&[name.as_bytes(), control.to_string().as_bytes()]));
        controls.truncate(MAX_COPIES);
    }
    controls
}
