//! Usage reports to the homes of flows, and the totals in their replies. The home of a flow is the
//! control node that adds up its usage.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use client::ControlClient;
use fair::{HomeList, ReportPacer};
use tokio::task::JoinSet;
use units::ClockTime;
use wire::{ControlReply, ControlRequest, FlowUsage, UsageReport, UsageTotals};

use crate::state::AgentShared;

/// Bytes of headers, of the first frame of the stream and of acknowledgements, per exchange.
const EXCHANGE_OVERHEAD_BYTES: u64 = 200;

/// Result of a report to one control node.
struct ReportResult {
    control: SocketAddr,
    reported: Vec<FlowUsage>,
    /// Bytes sent and received for the report and its reply.
    bytes: u64,
    /// Totals in the reply; `None` if the control node did not send them.
    totals: Option<UsageTotals>,
}

/// Periodically reports the usage of flows to their homes and applies the replies. Never returns.
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
            exchanges.spawn(send_report(client.clone(), control, report));
        }
        while let Some(joined) = exchanges.join_next().await {
            if let Ok(result) = joined {
                apply_result(&shared, &mut homes, &mut pacer, result);
            }
        }
    }
}

/// Builds the reports of the flows that are due, one report per home.
fn due_reports(
    shared: &AgentShared,
    homes: &HomeList,
    pacer: &ReportPacer,
    now: ClockTime,
) -> Vec<(SocketAddr, UsageReport)> {
    let mut by_home: BTreeMap<SocketAddr, Vec<FlowUsage>> = BTreeMap::new();
    let virtual_time = shared.board.write_quietly(|state| {
        for usage in state.table.take_report(now) {
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

async fn send_report(
    client: ControlClient,
    control: SocketAddr,
    report: UsageReport,
) -> ReportResult {
    let request = ControlRequest::Usage(report);
    let reply = client.request_at(control, &request).await;
    let mut bytes = EXCHANGE_OVERHEAD_BYTES + frame_size(&request);
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
    ReportResult {
        control,
        reported: report.flows,
        bytes,
        totals,
    }
}

fn frame_size<T: serde::Serialize>(message: &T) -> u64 {
    wire::encode(message).map_or(0, |frame| frame.len() as u64)
}

fn apply_result(
    shared: &AgentShared,
    homes: &mut HomeList,
    pacer: &mut ReportPacer,
    result: ReportResult,
) {
    pacer.record_bytes(result.bytes);
    match result.totals {
        Some(totals) => shared
            .board
            .write_quietly(|state| state.table.apply_totals(&result.reported, &totals)),
        None => {
            homes.mark_unreachable(result.control, shared.now());
            shared
                .board
                .write_quietly(|state| state.table.requeue_report(&result.reported));
        }
    }
}
