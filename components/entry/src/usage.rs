//! Usage reports to the homes of flows, and the answers.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use fair::{REPORT_INTERVAL, home_of};
use link::{FrameReader, FrameWriter, LinkStream};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use units::NodeName;
use wire::{FlowUsage, NodeRole, StreamKind, UsageReport, UsageTotals};

use crate::fleet::live_entries;
use crate::state::EntryShared;

/// Longest wait for the answer to a report; a later report repeats what was lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Reports that wait for a home; the newest contains the older ones.
const REPORT_QUEUE: usize = 2;

/// Time without reports after which the connection to a home is given up.
const HOME_IDLE: Duration = Duration::from_secs(10);

/// Reports the active flows to their homes every 500 ms.
pub(crate) async fn report_usage(shared: EntryShared) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut homes: HashMap<NodeName, mpsc::Sender<UsageReport>> = HashMap::new();
    loop {
        interval.tick().await;
        homes.retain(|_, home| !home.is_closed());
        for (home, report) in due_reports(&shared) {
            if home == shared.settings.name {
                let now = shared.now();
                let totals = shared
                    .board
                    .write_quietly(|state| state.home.report(&report, now));
                apply(&shared, &totals);
                continue;
            }
            let sender = homes.entry(home.clone()).or_insert_with(|| {
                let (sender, reports) = mpsc::channel(REPORT_QUEUE);
                tokio::spawn(report_to(shared.clone(), home, reports));
                sender
            });
            let _ = sender.try_send(report);
        }
    }
}

/// Reports of the active flows, by home.
fn due_reports(shared: &EntryShared) -> Vec<(NodeName, UsageReport)> {
    let now = shared.now();
    let (flows, virtual_times) = shared.board.write_quietly(|state| {
        state.ledger.forget_idle(now);
        (state.ledger.report(now), state.ledger.virtual_times())
    });
    let mut by_home: BTreeMap<NodeName, Vec<FlowUsage>> = BTreeMap::new();
    shared.view.read(|view| {
        for usage in flows {
            let home = home_of(&usage.flow, live_entries(view));
            let home = home.unwrap_or(&shared.settings.name).clone();
            by_home.entry(home).or_default().push(usage);
        }
    });
    by_home
        .into_iter()
        .map(|(home, flows)| {
            let services = flows.iter().map(|usage| &usage.flow.service);
            let services: std::collections::BTreeSet<_> = services.cloned().collect();
            let times = virtual_times.iter();
            let report = UsageReport {
                reporter: shared.settings.name.clone(),
                incarnation: shared.incarnation,
                flows,
                virtual_times: times
                    .filter(|(service, _)| services.contains(service))
                    .cloned()
                    .collect(),
            };
            (home, report)
        })
        .collect()
}

/// Takes over the totals of a home and passes them to the agents with offers of the flows.
fn apply(shared: &EntryShared, totals: &UsageTotals) {
    shared.board.write_quietly(|state| {
        for total in &totals.totals {
            state.ledger.merge(total);
        }
        for (service, time) in &totals.virtual_times {
            state.ledger.merge_virtual_time(service, *time);
        }
        let actions = state.book.totals(&totals.totals, &totals.virtual_times);
        state.perform(actions);
    });
}

/// Sends reports to one home until there are none for a while or the home is lost.
async fn report_to(shared: EntryShared, home: NodeName, mut reports: mpsc::Receiver<UsageReport>) {
    let Some(address) = shared.agent_address(&home) else {
        return;
    };
    let Ok(peer) = shared.endpoint.connect(address, NodeRole::Entry).await else {
        return;
    };
    if let Ok((mut writer, mut reader)) = peer.open(StreamKind::Usage).await {
        while let Ok(Some(report)) = tokio::time::timeout(HOME_IDLE, reports.recv()).await {
            let asking = exchange(&mut writer, &mut reader, &report);
            match tokio::time::timeout(ANSWER_TIMEOUT, asking).await {
                Ok(Some(totals)) => apply(&shared, &totals),
                Ok(None) | Err(_) => break,
            }
        }
    }
    peer.close("no reports");
}

async fn exchange(
    writer: &mut FrameWriter,
    reader: &mut FrameReader,
    report: &UsageReport,
) -> Option<UsageTotals> {
    writer.send(report).await.ok()?;
    reader.receive().await.ok().flatten()
}

/// Accepts connections of other entries until the endpoint closes.
pub(crate) async fn accept_reports(shared: EntryShared) {
    while let Some(incoming) = shared.endpoint.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let Ok(peer) = shared.endpoint.finish(incoming).await else {
                return;
            };
            if peer.role() != NodeRole::Entry {
                peer.close("only entries may report usage");
                return;
            }
            while let Ok(stream) = peer.accept().await {
                if stream.hello.kind == StreamKind::Usage {
                    tokio::spawn(serve_reports(shared.clone(), stream));
                }
            }
        });
    }
}

async fn serve_reports(shared: EntryShared, mut stream: LinkStream) {
    while let Ok(Some(report)) = stream.reader.receive::<UsageReport>().await {
        if report.reporter != stream.hello.name {
            return;
        }
        let now = shared.now();
        let totals = shared
            .board
            .write_quietly(|state| state.home.report(&report, now));
        if stream.writer.send(&totals).await.is_err() {
            return;
        }
    }
}
