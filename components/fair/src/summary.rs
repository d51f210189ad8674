//! What each flow of a service asked for and got, summed over all entries, for the log.

use std::collections::BTreeMap;
use std::time::Duration;

use units::{ClockTime, CostUnits};
use wire::{DemandReport, FlowId};

/// Time that one summary covers. A rule on fairness that looks at a few seconds needs several.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Cost units of one flow in the time of a summary.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlowSummary {
    /// Requests that callers made, repeated ones each time.
    pub asked: CostUnits,
    /// Those of them whose callers have missed their objective.
    pub overdue: CostUnits,
    /// Requests that were sent to targets.
    pub granted: CostUnits,
}

/// Sums of the flows of one service since the last summary.
#[derive(Debug, Clone, Default)]
pub(crate) struct SummaryRecord {
    flows: BTreeMap<FlowId, FlowSummary>,
    started_at: ClockTime,
}

impl SummaryRecord {
    pub(crate) fn add_report(&mut self, report: &DemandReport) {
        for flow in &report.flows {
            let summary = self.flows.entry(flow.flow).or_default();
            summary.asked.0 += flow.requested.0;
            summary.overdue.0 += flow.overdue.0;
            summary.granted.0 += flow.granted.0;
        }
    }

    /// Sums of the flows that got under nine tenths of what they asked for, once in
    /// [`SUMMARY_INTERVAL`]. Some requests of each interval are still being placed.
    pub(crate) fn take_due(&mut self, now: ClockTime) -> Vec<(FlowId, FlowSummary)> {
        if now.since(self.started_at) < SUMMARY_INTERVAL {
            return Vec::new();
        }
        self.started_at = now;
        let flows = std::mem::take(&mut self.flows).into_iter();
        flows
            .filter(|(_, summary)| summary.granted.0 * 10 < summary.asked.0 * 9)
            .collect()
    }
}
