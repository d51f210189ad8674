//! Usage reports to the homes of flows, and their answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use client::ControlClient;
use fair::{HomeList, ReportPacer};
use tokio::task::JoinSet;
use units::ClockTime;
use wire::{ControlReply, ControlRequest, FlowUsage, UsageReport, UsageTotals};

use crate::state::AgentShared;

/// Bytes of headers, of the stream's first frame and of acknowledgements of one exchange.
const EXCHANGE_OVERHEAD: u64 = 200;

/// What became of a report to one control node.
struct ReportEnd {
    control: SocketAddr,
    reported: Vec<FlowUsage>,
    /// Bytes of the report and its answer.
    bytes: u64,
    /// None if the control node did not answer.
    totals: Option<UsageTotals>,
}

/// Reports the flows that are due to their homes, round after round, for ever.
pub(crate) async fn report_usage(shared: AgentShared, client: ControlClient) {
    let mut pacer = ReportPacer::new();
    let mut homes = HomeList::new(shared.settings.controls.clone());
    loop {
        if let Some(due) = pacer.next_round() {
            tokio::time::sleep(due.since(shared.now())).await;
        }
        let now = shared.now();
        pacer.begin_round(now);
        let mut exchanges = JoinSet::new();
        for (control, report) in due_reports(&shared, &homes, &pacer, now) {
            exchanges.spawn(exchange(client.clone(), control, report));
        }
        while let Some(ended) = exchanges.join_next().await {
            if let Ok(end) = ended {
                apply(&shared, &mut homes, &mut pacer, end);
            }
        }
    }
}

/// Reports of the flows that are due, by home.
fn due_reports(
    shared: &AgentShared,
    homes: &HomeList,
    pacer: &ReportPacer,
    now: ClockTime,
) -> Vec<(SocketAddr, UsageReport)> {
    let mut by_home: BTreeMap<SocketAddr, Vec<FlowUsage>> = BTreeMap::new();
    let virtual_time = shared.board.write_quietly(|state| {
        for usage in state.table.report(now) {
            match homes.home(usage.flow, now) {
                Some(home) => by_home.entry(home).or_default().push(usage),
                None => state.table.requeue_report(&[usage]),
            }
        }
        state.table.virtual_time()
    });
    let reports = by_home.into_iter().map(|(home, flows)| {
        let report = UsageReport {
            reporter: shared.settings.name.clone(),
            incarnation: shared.incarnation,
            interval_ms: pacer.interval().as_millis() as u64,
            service: shared.settings.service.clone(),
            virtual_time,
            flows,
        };
        (home, report)
    });
    reports.collect()
}

async fn exchange(client: ControlClient, control: SocketAddr, report: UsageReport) -> ReportEnd {
    let request = ControlRequest::Usage(report);
    let reply = client.request_at(control, &request).await;
    let mut bytes = EXCHANGE_OVERHEAD + frame_size(&request);
    let totals = match reply {
        Ok(reply) => {
            bytes += frame_size(&reply);
            match reply {
                ControlReply::Usage(totals) => Some(totals),
                _ => None,
            }
        }
        Err(_) => None,
    };
    let ControlRequest::Usage(report) = request else {
        unreachable!("the request is a report");
    };
    ReportEnd {
        control,
        reported: report.flows,
        bytes,
        totals,
    }
}

fn frame_size<T: serde::Serialize>(message: &T) -> u64 {
    wire::encode(message).map_or(0, |frame| frame.len() as u64)
}

fn apply(shared: &AgentShared, homes: &mut HomeList, pacer: &mut ReportPacer, end: ReportEnd) {
    pacer.count_bytes(end.bytes);
    match end.totals {
        Some(totals) => shared
            .board
            .write_quietly(|state| state.table.apply_totals(&end.reported, &totals)),
        None => {
            homes.mark_unreachable(end.control, shared.now());
            shared
                .board
                .write_quietly(|state| state.table.requeue_report(&end.reported));
        }
    }
}
