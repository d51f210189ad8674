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
    /// Number of entries that have read requests in the last seconds.
    pub entries: usize,
    /// Whether no other flow got more.
    pub is_best_served: bool,
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

    /// Sums of the flows that got under nine tenths of what they asked for, and of the one that got most, once
    /// in [`SUMMARY_INTERVAL`]. Some requests of each interval are still being placed. `entries` returns the
    /// number of entries of a flow.
    pub(crate) fn take_due(
        &mut self,
        entries: impl Fn(FlowId) -> usize,
        now: ClockTime,
    ) -> Vec<(FlowId, FlowSummary)> {
        if now.since(self.started_at) < SUMMARY_INTERVAL {
            return Vec::new();
        }
        self.started_at = now;
        let mut flows: Vec<_> = std::mem::take(&mut self.flows).into_iter().collect();
        let granted = flows.iter().map(|(_, summary)| summary.granted);
        let best = granted.max().unwrap_or_default();
        for (flow, summary) in &mut flows {
            summary.entries = entries(*flow);
            summary.is_best_served = summary.granted == best && best > CostUnits(0);
        }
        flows.retain(|(_, summary)| summary.is_held_back() || summary.is_best_served);
        flows
    }
}

impl FlowSummary {
    /// Whether the flow got under nine tenths of what it asked for.
    pub fn is_held_back(&self) -> bool {
        self.granted.0 * 10 < self.asked.0 * 9
    }
}
