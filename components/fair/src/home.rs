//! Fleet-wide sums of the usage counts that agents report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::{ClockTime, CostUnits, Incarnation, NodeName, ServiceName};
use wire::{FlowActivity, FlowId, FlowTotal, FlowUsage, UsageReport, UsageTotals};

use crate::ledger::{IDLE_TIMEOUT, RUNNING_REPORT_INTERVAL};
use crate::pacer::REPORT_INTERVAL;

/// Time after which a flow without reports is evicted.
pub const HOME_RETENTION: Duration = Duration::from_secs(30);

/// Report rounds after the end of an idle period in which proposals to raise a flow are accepted.
///
/// Every agent that serves the flow again has reported by then. A later proposal comes from an
/// agent where the flow was idle although it was busy elsewhere. Accepting it would repeatedly
/// raise a flow whose requests are spread over many agents.
const RAISE_ACCEPT_ROUNDS: u32 = 4;

/// Time for which a reporter must know a larger total before a home with other active reporters
/// adopts it.
///
/// Reporters that lost contact have reported to another home in the meantime. They return within
/// [`AVOID_DURATION`](crate::AVOID_DURATION), a timeout and a round, and the growth of their own
/// counts then explains the larger total of the first one to return. Adopting that total at once
/// would discard what this home has counted in the meantime.
const ADOPT_DELAY: Duration = Duration::from_secs(4);

/// Upper bound of the round interval that a reporter may state.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Count of one reporter in one incarnation, as known to the home.
#[derive(Debug, Clone, Copy)]
struct ReporterCount {
    /// Part of the reporter's count that the total includes.
    included: u64,
    /// Whether the total is known to exclude all growth beyond `included`.
    is_synced: bool,
    /// Time of the last report.
    last_report: ClockTime,
    /// Time until which the reporter is assumed to hold offers of the flow.
    backlogged_until: ClockTime,
}

/// Arrival time of a report, and the round interval of its reporter.
#[derive(Debug, Clone, Copy)]
struct ReportTime {
    now: ClockTime,
    interval: Duration,
}

impl ReportTime {
    /// Time until which the reporter is assumed to hold offers unless it reports again.
    fn backlogged_until(self, activity: FlowActivity) -> ClockTime {
        match activity {
            FlowActivity::Waiting => self.now + 2 * self.interval,
            FlowActivity::Running | FlowActivity::Idle => ClockTime::default(),
        }
    }

    /// Time until which the flow counts as busy in the fleet unless there is another report. For
    /// a waiting or running flow it extends to the report after the next; it is never shorter
    /// than the time that a flow may pause without being idle.
    fn busy_until(self, activity: FlowActivity) -> ClockTime {
        let span = match activity {
            FlowActivity::Waiting => IDLE_TIMEOUT.max(2 * self.interval),
            FlowActivity::Running => RUNNING_REPORT_INTERVAL + 2 * self.interval,
            FlowActivity::Idle => IDLE_TIMEOUT,
        };
        self.now + span
    }
}

/// Fleet-wide sum of one flow.
#[derive(Debug, Clone)]
struct FlowSum {
    total: u64,
    /// Total at the last adoption of a reporter's known total, or at the last eviction of a
    /// reporter if that is larger; 0 before either.
    adopted_total: u64,
    /// Start of the current busy period.
    busy_since: ClockTime,
    last_report: ClockTime,
    /// Time since which this home has received reports of the flow without a gap of more than two
    /// rounds.
    reported_since: ClockTime,
    /// Largest known total of a reporter that exceeds `total`, and when the first such total was
    /// reported.
    larger_known: Option<(u64, ClockTime)>,
    /// Time of the last eviction of silent reporters.
    last_eviction: ClockTime,
    /// End of the reported activity at each reporter. The flow is idle in the fleet after all of
    /// them.
    busy_until: BTreeMap<NodeName, ClockTime>,
    reporters: BTreeMap<(NodeName, Incarnation), ReporterCount>,
}

/// Sums of the flows whose home is this control node.
///
/// A total never exceeds the counts that the reporters have charged, plus the raises of idle
/// flows: a count is added only if an adopted total cannot already include it.
#[derive(Debug, Clone, Default)]
pub struct UsageHome {
    flows: BTreeMap<FlowId, FlowSum>,
    by_report: BTreeSet<(ClockTime, FlowId)>,
    virtual_times: BTreeMap<ServiceName, u64>,
}

impl UsageHome {
    /// Creates a home without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a report to the sums. Returns the totals that its reporter needs.
    pub fn apply_report(&mut self, report: &UsageReport, now: ClockTime) -> UsageTotals {
        self.evict_silent_flows(now);
        let latest_time = self
            .virtual_times
            .entry(report.service.clone())
            .or_default();
        *latest_time = (*latest_time).max(report.virtual_time);
        let virtual_time = *latest_time;
        let reporter = (report.reporter.clone(), report.incarnation);
        let interval = Duration::from_millis(report.interval_ms);
        let time = ReportTime {
            now,
            interval: interval.clamp(REPORT_INTERVAL, MAX_REPORT_INTERVAL),
        };
        let totals = report
            .flows
            .iter()
            .map(|usage| (usage, self.add_usage(&reporter, usage, time)))
            .filter(|(usage, total)| usage.activity.wants_total() || total.is_backlogged_elsewhere)
            .map(|(_, total)| total)
            .collect();
        UsageTotals {
            totals,
            virtual_time,
        }
    }

    /// Sum of a flow; `None` if it was never reported or has been evicted.
    pub fn total(&self, flow: FlowId) -> Option<CostUnits> {
        self.flows.get(&flow).map(|sum| CostUnits(sum.total))
    }

    /// Number of flows that the home keeps.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether the home keeps no flows.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    fn add_usage(
        &mut self,
        reporter: &(NodeName, Incarnation),
        usage: &FlowUsage,
        time: ReportTime,
    ) -> FlowTotal {
        let sum = self
            .flows
            .entry(usage.flow)
            .or_insert_with(|| FlowSum::new(time.now));
        self.by_report.remove(&(sum.last_report, usage.flow));
        sum.apply_usage(reporter, usage, time);
        self.by_report.insert((sum.last_report, usage.flow));
        FlowTotal {
            flow: usage.flow,
            total: CostUnits(sum.total),
            is_backlogged_elsewhere: sum.is_backlogged_elsewhere(reporter, time.now),
        }
    }

    fn evict_silent_flows(&mut self, now: ClockTime) {
        while let Some((last_report, flow)) = self.by_report.first().copied() {
            if now.since(last_report) < HOME_RETENTION {
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
            adopted_total: 0,
            busy_since: now,
            last_report: now,
            reported_since: now,
            larger_known: None,
            last_eviction: now,
            busy_until: BTreeMap::new(),
            reporters: BTreeMap::new(),
        }
    }

    fn apply_usage(
        &mut self,
        reporter: &(NodeName, Incarnation),
        usage: &FlowUsage,
        time: ReportTime,
    ) {
        self.record_activity(&reporter.0, usage.activity, time);
        if time.now.since(self.last_report) > 2 * time.interval {
            self.reported_since = time.now;
        }
        self.last_report = self.last_report.max(time.now);
        // Must precede the check for a larger known total: the growth of a reporter that has
        // returned may explain it.
        self.add_growth(reporter, usage, time);
        if self.is_behind(usage.known_total.0, time.now) {
            self.adopt_total(reporter, usage);
        }
        if let Some(raise) = usage.raise_to
            && time.now.since(self.busy_since) <= RAISE_ACCEPT_ROUNDS * time.interval
        {
            // A raise is not part of the count of any reporter, so their counts do not change.
            self.total = self.total.max(raise.0);
        }
        self.evict_silent_reporters(time.now);
    }

    /// Records the activity of the flow at a reporter. A busy period starts if the flow was idle
    /// in the fleet before.
    fn record_activity(&mut self, reporter: &NodeName, activity: FlowActivity, time: ReportTime) {
        self.busy_until.retain(|_, until| *until > time.now);
        if self.busy_until.is_empty() {
            self.busy_since = time.now;
        }
        let until = time.busy_until(activity);
        self.busy_until.insert(reporter.clone(), until);
    }

    fn is_backlogged_elsewhere(&self, reporter: &(NodeName, Incarnation), now: ClockTime) -> bool {
        let mut reporters = self.reporters.iter();
        reporters.any(|(name, record)| name.0 != reporter.0 && record.backlogged_until > now)
    }

    /// Adds the growth of the reporter's count to the total.
    fn add_growth(
        &mut self,
        reporter: &(NodeName, Incarnation),
        usage: &FlowUsage,
        time: ReportTime,
    ) {
        let count = usage.count.0;
        let known = usage.known_total.0;
        // If no total was ever adopted, the sum includes all reported counts. The whole count of
        // a reporter without a known total is then new.
        let is_new = self.adopted_total == 0 && known == 0;
        let record = self
            .reporters
            .entry(reporter.clone())
            .or_insert(ReporterCount {
                included: 0,
                is_synced: is_new,
                last_report: time.now,
                backlogged_until: ClockTime::default(),
            });
        record.last_report = record.last_report.max(time.now);
        record.backlogged_until = time.backlogged_until(usage.activity);
        if record.is_synced {
            self.total = self
                .total
                .saturating_add(count.saturating_sub(record.included));
            record.included = record.included.max(count);
        } else if known >= self.adopted_total {
            // The reporter knows the adopted total or a later one. Its count is therefore at
            // least as recent as the part of it that the total may include, and neither total
            // includes its unpublished count. Without an adopted total, `adopt_total` next takes
            // over the reporter's known total and its unpublished count.
            if self.adopted_total > 0 {
                self.total = self.total.saturating_add(usage.unpublished_count.0);
            }
            record.included = count;
            record.is_synced = true;
        }
    }

    /// Whether the total known to a reporter includes counts that this home lacks and that no
    /// reporter will report to it.
    fn is_behind(&mut self, known: u64, now: ClockTime) -> bool {
        if self
            .larger_known
            .is_some_and(|(largest, _)| self.total >= largest)
        {
            self.larger_known = None;
        }
        if known <= self.total {
            return false;
        }
        let (largest, since) = self.larger_known.unwrap_or((known, now));
        self.larger_known = Some((largest.max(known), since));
        let is_recently_reported = now.since(self.reported_since) <= ADOPT_DELAY;
        is_recently_reported || now.since(since) >= ADOPT_DELAY
    }

    /// Adopts a total that another home has published, plus the growth of the reporter's count
    /// since.
    fn adopt_total(&mut self, reporter: &(NodeName, Incarnation), usage: &FlowUsage) {
        let known = usage.known_total.0;
        self.total = known.saturating_add(usage.unpublished_count.0);
        self.adopted_total = known;
        self.larger_known = None;
        for (name, record) in &mut self.reporters {
            if name == reporter {
                record.included = usage.count.0;
                record.is_synced = true;
            } else {
                // The adopted total may include more of the other counts than was reported here.
                record.is_synced = false;
            }
        }
    }

    /// Evicts reporters without recent reports. Their counts remain in the total.
    fn evict_silent_reporters(&mut self, now: ClockTime) {
        if now.since(self.last_eviction) < HOME_RETENTION {
            return;
        }
        self.last_eviction = now;
        let before = self.reporters.len();
        self.reporters
            .retain(|_, record| now.since(record.last_report) < HOME_RETENTION);
        if self.reporters.len() < before {
            self.adopted_total = self.adopted_total.max(self.total);
        }
    }
}
