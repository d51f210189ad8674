//! What each flow of a service asked for and got, summed over all entries, for the log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::{ClockTime, CostUnits, NodeName};
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
    /// Number of entries at which the requests arrived.
    pub entries: usize,
    /// Whether no other flow got more.
    pub is_best_served: bool,
}

/// Sums of one flow, and the entries that have reported it.
#[derive(Debug, Clone, Default)]
struct FlowRecord {
    summary: FlowSummary,
    entries: BTreeSet<NodeName>,
}

/// Sums of the flows of one service since the last summary.
#[derive(Debug, Clone, Default)]
pub(crate) struct SummaryRecord {
    flows: BTreeMap<FlowId, FlowRecord>,
    started_at: ClockTime,
}

impl SummaryRecord {
    pub(crate) fn add_report(&mut self, report: &DemandReport) {
        for flow in &report.flows {
            let record = self.flows.entry(flow.flow).or_default();
            record.summary.asked.0 += flow.requested.0;
            record.summary.overdue.0 += flow.overdue.0;
            record.summary.granted.0 += flow.granted.0;
            if flow.requested.0 > 0 {
                record.entries.insert(report.reporter.clone());
            }
        }
    }

    /// Sums of the flows that got under nine tenths of what they asked for, and of the one that got most, once
    /// in [`SUMMARY_INTERVAL`]. Some requests of each interval are still being placed.
    pub(crate) fn take_due(&mut self, now: ClockTime) -> Vec<(FlowId, FlowSummary)> {
        if now.since(self.started_at) < SUMMARY_INTERVAL {
            return Vec::new();
        }
        self.started_at = now;
        let records = std::mem::take(&mut self.flows);
        let granted = records.values().map(|record| record.summary.granted);
        let best = granted.max().unwrap_or_default();
        let flows = records.into_iter().map(|(flow, record)| {
            let summary = FlowSummary {
                entries: record.entries.len(),
                is_best_served: record.summary.granted == best,
                ..record.summary
            };
            (flow, summary)
        });
        flows
            .filter(|(_, summary)| summary.is_held_back() || summary.is_best_served)
            .collect()
    }
}

impl FlowSummary {
    /// Whether the flow got under nine tenths of what it asked for.
    pub fn is_held_back(&self) -> bool {
        self.granted.0 * 10 < self.asked.0 * 9
    }
}
