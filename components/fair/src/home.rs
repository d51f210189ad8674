//! Fleet-wide sums of the counts that entries report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::{ClockTime, CostUnits, Incarnation, NodeName, ServiceName};
use wire::{FlowKey, FlowTotal, FlowUsage, UsageReport, UsageTotals};

use crate::ledger::{IDLE_SPAN, RAISE_PROPOSAL};

/// Time after which a flow without reports is forgotten.
pub const HOME_MEMORY: Duration = Duration::from_secs(30);

/// Time without reports from any entry after which a flow is taken as idle in the fleet.
const SILENT_SPAN: Duration = IDLE_SPAN;

/// Time after a silence in which proposals to raise a flow are accepted.
///
/// Four report intervals: every entry where the flow returns has reported by then. Later, a
/// proposal comes from an entry where the flow was idle although it was busy elsewhere. Accepting
/// those would raise a flow whose callers are spread over many entries again and again.
const RAISE_SPAN: Duration = Duration::from_secs(2);

/// Count of one reporter in one incarnation.
#[derive(Debug, Clone, Copy)]
struct ReporterCount {
    /// Part of the reporter's count that is in the total.
    seen: u64,
    /// Whether growth beyond `seen` is certainly not yet in the total.
    synced: bool,
    /// Last report.
    heard: ClockTime,
}

/// Sum of one flow.
#[derive(Debug, Clone)]
struct FlowSum {
    total: u64,
    /// Total at the last time it was taken from a reporter's known total.
    rebased: u64,
    /// Since when the flow has been reported without a silence.
    since: ClockTime,
    heard: ClockTime,
    /// When silent reporters were last looked for.
    cleaned: ClockTime,
    reporters: BTreeMap<(NodeName, Incarnation), ReporterCount>,
}

/// Sums of the flows whose home is this entry.
///
/// A total never exceeds the counts that the reporters have charged, plus the raises of idle
/// flows: a count enters it only when it cannot be part of an adopted total.
#[derive(Debug, Clone, Default)]
pub struct UsageHome {
    flows: BTreeMap<FlowKey, FlowSum>,
    by_report: BTreeSet<(ClockTime, FlowKey)>,
    virtual_times: BTreeMap<ServiceName, u64>,
}

impl UsageHome {
    /// Creates a home that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a report and answers with the sums of its flows.
    pub fn report(&mut self, report: &UsageReport, now: ClockTime) -> UsageTotals {
        self.forget_silent(now);
        for (service, time) in &report.virtual_times {
            let known = self.virtual_times.entry(service.clone()).or_default();
            *known = (*known).max(*time);
        }
        let reporter = (report.reporter.clone(), report.incarnation);
        let totals = report
            .flows
            .iter()
            .map(|usage| self.add(&reporter, usage, now))
            .collect();
        let virtual_times = report
            .virtual_times
            .iter()
            .map(|(service, _)| service)
            .chain(report.flows.iter().map(|usage| &usage.flow.service))
            .collect::<BTreeSet<_>>()
            .into_iter()
            .filter_map(|service| Some((service.clone(), *self.virtual_times.get(service)?)))
            .collect();
        UsageTotals {
            totals,
            virtual_times,
        }
    }

    /// Number of flows that are remembered.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is remembered.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    fn add(
        &mut self,
        reporter: &(NodeName, Incarnation),
        usage: &FlowUsage,
        now: ClockTime,
    ) -> FlowTotal {
        let sum = self
            .flows
            .entry(usage.flow.clone())
            .or_insert_with(|| FlowSum::new(now));
        self.by_report.remove(&(sum.heard, usage.flow.clone()));
        sum.add(reporter, usage, now);
        self.by_report.insert((sum.heard, usage.flow.clone()));
        FlowTotal {
            flow: usage.flow.clone(),
            total: CostUnits(sum.total),
        }
    }

    fn forget_silent(&mut self, now: ClockTime) {
        while let Some((heard, flow)) = self.by_report.first().cloned() {
            if now.since(heard) < HOME_MEMORY {
                break;
            }
            self.by_report.pop_first();
            self.flows.remove(&flow);
        }
    }
}

impl FlowSum {
    fn new(now: ClockTime) -> Self {
        Self {
            total: 0,
            rebased: 0,
            since: now,
            heard: now,
            cleaned: now,
            reporters: BTreeMap::new(),
        }
    }

    fn add(&mut self, reporter: &(NodeName, Incarnation), usage: &FlowUsage, now: ClockTime) {
        if now.since(self.heard) >= SILENT_SPAN {
            self.since = now;
        }
        self.heard = self.heard.max(now);
        let known = usage.known_total.0;
        let is_proposal = usage.count == RAISE_PROPOSAL;
        if !is_proposal {
            self.count(reporter, usage, now);
        }
        if known > self.total && (!is_proposal || now.since(self.since) <= RAISE_SPAN) {
            self.adopt(reporter, known);
        }
        self.forget_reporters(now);
    }

    /// Adds the growth of the reporter's count.
    fn count(&mut self, reporter: &(NodeName, Incarnation), usage: &FlowUsage, now: ClockTime) {
        let count = usage.count.0;
        let known = usage.known_total.0;
        // A sum that was never adopted from a reporter lacks nothing, so that the whole count of
        // a reporter without a known total is new.
        let is_new = self.rebased == 0 && known == 0;
        let record = self
            .reporters
            .entry(reporter.clone())
            .or_insert(ReporterCount {
                seen: 0,
                synced: is_new,
                heard: now,
            });
        record.heard = record.heard.max(now);
        if record.synced {
            self.total = self.total.saturating_add(count.saturating_sub(record.seen));
            record.seen = record.seen.max(count);
        } else if known >= self.rebased {
            // The reporter has heard the adopted total, so that this count is not older than the
            // part of it that the total may contain.
            record.seen = count;
            record.synced = true;
        }
    }

    /// Takes over a total that another home has published or that an idle flow is raised to.
    fn adopt(&mut self, reporter: &(NodeName, Incarnation), known: u64) {
        self.total = known;
        self.rebased = known;
        for (name, record) in &mut self.reporters {
            // The adopted total may contain more of the other counts than was reported here.
            if name != reporter {
                record.synced = false;
            }
        }
    }

    /// Forgets reporters that have been silent; their counts stay in the total.
    fn forget_reporters(&mut self, now: ClockTime) {
        if now.since(self.cleaned) < HOME_MEMORY {
            return;
        }
        self.cleaned = now;
        let before = self.reporters.len();
        self.reporters
            .retain(|_, record| now.since(record.heard) < HOME_MEMORY);
        if self.reporters.len() < before {
            self.rebased = self.rebased.max(self.total);
        }
    }
}
