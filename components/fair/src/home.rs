//! Fleet-wide sums of the counts that agents report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::{ClockTime, CostUnits, Incarnation, NodeName, ServiceName};
use wire::{FlowActivity, FlowId, FlowTotal, FlowUsage, UsageReport, UsageTotals};

use crate::ledger::{IDLE_TIMEOUT, RUNNING_REPORT_INTERVAL};
use crate::pacer::REPORT_INTERVAL;

/// Time after which a flow without reports is forgotten.
pub const HOME_RETENTION: Duration = Duration::from_secs(30);

/// Report rounds after a silence in which proposals to raise a flow are accepted.
///
/// Every agent where the flow returns has reported by then. Later, a proposal comes from an agent
/// where the flow was idle although it was busy elsewhere. Accepting those would raise a flow whose
/// requests are spread over many agents again and again.
const RAISE_ROUNDS: u32 = 4;

/// Time for which a larger known total must stand before a home that hears other reporters takes it
/// over.
///
/// Reporters that were cut off counted at another home meanwhile, and return within the skip span, a
/// timeout and a round. Their own growth then explains the known total of the first to return. Taken
/// over at once, it would replace what this home has counted meanwhile.
const ADOPT_DELAY: Duration = Duration::from_secs(4);

/// Longest interval of rounds that a reporter may claim.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// Count of one reporter in one incarnation.
#[derive(Debug, Clone, Copy)]
struct ReporterCount {
    /// Part of the reporter's count that is in the total.
    seen: u64,
    /// Whether growth beyond `seen` is certainly not yet in the total.
    synced: bool,
    /// Last report.
    heard: ClockTime,
    /// Until when the reporter is taken to hold offers of the flow.
    waits_until: ClockTime,
}

/// When a report has arrived, and the time between its reporter's rounds.
#[derive(Debug, Clone, Copy)]
struct ReportTime {
    now: ClockTime,
    interval: Duration,
}

impl ReportTime {
    /// Until when the reporter holds offers if it does not report again.
    fn waits_until(self, activity: FlowActivity) -> ClockTime {
        match activity {
            FlowActivity::Waiting => self.now + 2 * self.interval,
            FlowActivity::Running | FlowActivity::Idle => ClockTime::default(),
        }
    }

    /// Until when the flow is busy in the fleet if nothing more is reported: up to the report after
    /// the next, and no shorter than a flow may pause without being idle.
    fn busy_until(self, activity: FlowActivity) -> ClockTime {
        let span = match activity {
            FlowActivity::Waiting => IDLE_TIMEOUT.max(2 * self.interval),
            FlowActivity::Running => RUNNING_REPORT_INTERVAL + 2 * self.interval,
            FlowActivity::Idle => IDLE_TIMEOUT,
        };
        self.now + span
    }
}

/// Sum of one flow.
#[derive(Debug, Clone)]
struct FlowSum {
    total: u64,
    /// Total at the last time it was taken from a reporter's known total.
    rebased: u64,
    /// Since when the flow has been busy without a silence.
    since: ClockTime,
    heard: ClockTime,
    /// Since when this home has been hearing of the flow in each round or two.
    live_since: ClockTime,
    /// Largest known total over this one, and since when there has been one.
    exceeded: Option<(u64, ClockTime)>,
    /// When silent reporters were last looked for.
    cleaned: ClockTime,
    /// Until when each reporter's activity lasts; the flow is idle in the fleet after all of them.
    busy: BTreeMap<NodeName, ClockTime>,
    reporters: BTreeMap<(NodeName, Incarnation), ReporterCount>,
}

/// Sums of the flows whose home is this control node.
///
/// A total never exceeds the counts that the reporters have charged, plus the raises of idle
/// flows: a count enters it only when it cannot be part of an adopted total.
#[derive(Debug, Clone, Default)]
pub struct UsageHome {
    flows: BTreeMap<FlowId, FlowSum>,
    by_report: BTreeSet<(ClockTime, FlowId)>,
    virtual_times: BTreeMap<ServiceName, u64>,
}

impl UsageHome {
    /// Creates a home that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a report and answers with the sums of its flows.
    pub fn apply_report(&mut self, report: &UsageReport, now: ClockTime) -> UsageTotals {
        self.forget_silent(now);
        let time = self
            .virtual_times
            .entry(report.service.clone())
            .or_default();
        *time = (*time).max(report.virtual_time);
        let virtual_time = *time;
        let reporter = (report.reporter.clone(), report.incarnation);
        let interval = Duration::from_millis(report.interval_ms);
        let time = ReportTime {
            now,
            interval: interval.clamp(REPORT_INTERVAL, MAX_INTERVAL),
        };
        let totals = report
            .flows
            .iter()
            .map(|usage| (usage, self.add(&reporter, usage, time)))
            .filter(|(usage, total)| usage.activity.wants_total() || total.elsewhere)
            .map(|(_, total)| total)
            .collect();
        UsageTotals {
            totals,
            virtual_time,
        }
    }

    /// Sum of a flow, none if it is not known.
    pub fn total(&self, flow: FlowId) -> Option<CostUnits> {
        self.flows.get(&flow).map(|sum| CostUnits(sum.total))
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
        time: ReportTime,
    ) -> FlowTotal {
        let sum = self
            .flows
            .entry(usage.flow)
            .or_insert_with(|| FlowSum::new(time.now));
        self.by_report.remove(&(sum.heard, usage.flow));
        sum.add(reporter, usage, time);
        self.by_report.insert((sum.heard, usage.flow));
        FlowTotal {
            flow: usage.flow,
            total: CostUnits(sum.total),
            elsewhere: sum.waits_elsewhere(reporter, time.now),
        }
    }

    fn forget_silent(&mut self, now: ClockTime) {
        while let Some((heard, flow)) = self.by_report.first().copied() {
            if now.since(heard) < HOME_RETENTION {
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
            live_since: now,
            exceeded: None,
            cleaned: now,
            busy: BTreeMap::new(),
            reporters: BTreeMap::new(),
        }
    }

    fn add(&mut self, reporter: &(NodeName, Incarnation), usage: &FlowUsage, time: ReportTime) {
        self.note_activity(&reporter.0, usage.activity, time);
        if time.now.since(self.heard) > 2 * time.interval {
            self.live_since = time.now;
        }
        self.heard = self.heard.max(time.now);
        // Counted first: the growth of a reporter that was away explains a larger known total.
        self.count(reporter, usage, time);
        if self.is_behind(usage.known_total.0, time.now) {
            self.adopt(reporter, usage);
        }
        if let Some(raise) = usage.raise
            && time.now.since(self.since) <= RAISE_ROUNDS * time.interval
        {
            // The raise is no count of any reporter, so their counts stay as they are.
            self.total = self.total.max(raise.0);
        }
        self.forget_reporters(time.now);
    }

    /// Notes what the flow does at a reporter, and whether it was silent in the fleet before.
    fn note_activity(&mut self, reporter: &NodeName, activity: FlowActivity, time: ReportTime) {
        self.busy.retain(|_, until| *until > time.now);
        if self.busy.is_empty() {
            self.since = time.now;
        }
        let until = time.busy_until(activity);
        self.busy.insert(reporter.clone(), until);
    }

    fn waits_elsewhere(&self, reporter: &(NodeName, Incarnation), now: ClockTime) -> bool {
        let mut reporters = self.reporters.iter();
        reporters.any(|(name, record)| name.0 != reporter.0 && record.waits_until > now)
    }

    /// Adds the growth of the reporter's count.
    fn count(&mut self, reporter: &(NodeName, Incarnation), usage: &FlowUsage, time: ReportTime) {
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
                heard: time.now,
                waits_until: ClockTime::default(),
            });
        record.heard = record.heard.max(time.now);
        record.waits_until = time.waits_until(usage.activity);
        if record.synced {
            self.total = self.total.saturating_add(count.saturating_sub(record.seen));
            record.seen = record.seen.max(count);
        } else if known >= self.rebased {
            // The reporter has heard the adopted total or a later one, so that this count is not
            // older than the part of it that the total may contain, and what has been charged
            // since that answer is in neither. Without an adopted total, the reporter's own is
            // adopted next, with what is fresh.
            if self.rebased > 0 {
                self.total = self.total.saturating_add(usage.fresh.0);
            }
            record.seen = count;
            record.synced = true;
        }
    }

    /// Whether this home lacks counts of a known total that no reporter will report here.
    fn is_behind(&mut self, known: u64, now: ClockTime) -> bool {
        if self.exceeded.is_some_and(|(most, _)| self.total >= most) {
            self.exceeded = None;
        }
        if known <= self.total {
            return false;
        }
        let (most, since) = self.exceeded.unwrap_or((known, now));
        self.exceeded = Some((most.max(known), since));
        let is_fresh = now.since(self.live_since) <= ADOPT_DELAY;
        is_fresh || now.since(since) >= ADOPT_DELAY
    }

    /// Takes over a total that another home has published, and what the reporter's count has grown
    /// by since.
    fn adopt(&mut self, reporter: &(NodeName, Incarnation), usage: &FlowUsage) {
        let known = usage.known_total.0;
        self.total = known.saturating_add(usage.fresh.0);
        self.rebased = known;
        self.exceeded = None;
        for (name, record) in &mut self.reporters {
            if name == reporter {
                record.seen = usage.count.0;
                record.synced = true;
            } else {
                // The adopted total may contain more of the other counts than was reported here.
                record.synced = false;
            }
        }
    }

    /// Forgets reporters that have been silent; their counts stay in the total.
    fn forget_reporters(&mut self, now: ClockTime) {
        if now.since(self.cleaned) < HOME_RETENTION {
            return;
        }
        self.cleaned = now;
        let before = self.reporters.len();
        self.reporters
            .retain(|_, record| now.since(record.heard) < HOME_RETENTION);
        if self.reporters.len() < before {
            self.rebased = self.rebased.max(self.total);
        }
    }
}
