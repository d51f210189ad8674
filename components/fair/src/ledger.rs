//! Counters of service received, as one agent knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::{ClockTime, CostUnits, FlowWeight, ServiceName};
use wire::{FlowActivity, FlowId, FlowKey, FlowTotal, FlowUsage};

use crate::{cost_of_counter, weighted_cost};

/// Time without waiting or running requests after which a flow is idle.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a flow is reported that runs here and is backlogged nowhere: nobody chooses by
/// its total.
pub const RUNNING_REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// Totals below a proposal after which it counts as refused.
///
/// The first one may answer a report from before the proposal.
const REFUSALS: u8 = 2;

/// Time after which an idle flow is forgotten.
///
/// Longer than [`crate::HOME_RETENTION`]: a home that remembered a reporter's count longer than the
/// reporter itself would ignore the new count until it exceeded the old one.
pub const LEDGER_RETENTION: Duration = Duration::from_secs(120);

/// Counters of one flow.
#[derive(Debug, Clone, Default)]
struct FlowRecord {
    /// Largest merged total plus the local charges that it lacks.
    total: u64,
    /// Largest total that the home has published.
    known: u64,
    /// Part of `count` that `known` contains at most.
    counted: u64,
    /// Own charges since the start of the process.
    count: u64,
    /// Largest `count` that was reported. No total contains more of it.
    sent: u64,
    /// Provisional total of a flow that was idle here, until the home has answered.
    floor: u64,
    /// The part of `floor` that is not local charges: what is proposed to the home.
    proposal: u64,
    /// Totals below the proposal that were merged since the raise.
    answers: u8,
    /// Requests that wait or run.
    open: u32,
    /// Last time with waiting or running requests.
    active: ClockTime,
    /// Last report, none if one is due at once.
    reported: Option<ClockTime>,
    /// Whether another reporter holds offers of the flow.
    elsewhere: bool,
}

impl FlowRecord {
    fn is_idle(&self, now: ClockTime) -> bool {
        self.open == 0 && now.since(self.active) >= IDLE_TIMEOUT
    }

    fn raise(&mut self, total: u64) {
        self.floor = total;
        self.proposal = total;
        self.answers = 0;
    }

    fn merge(&mut self, total: u64) {
        // What was charged since the last report is in no total yet.
        let fresh = self.count - self.sent;
        self.total = self.total.max(total.saturating_add(fresh));
        if total > self.known {
            self.known = total;
            self.counted = self.sent;
        }
        self.end_raise(total);
    }

    /// Ends a raise that the home has accepted or refused.
    fn end_raise(&mut self, total: u64) {
        if self.proposal == 0 {
            return;
        }
        self.answers += 1;
        if total >= self.proposal || self.answers >= REFUSALS {
            self.floor = 0;
            self.proposal = 0;
        }
    }

    fn activity(&self, is_waiting: bool) -> FlowActivity {
        if is_waiting {
            FlowActivity::Waiting
        } else if self.open > 0 {
            FlowActivity::Running
        } else {
            FlowActivity::Idle
        }
    }

    fn is_due(&self, activity: FlowActivity, now: ClockTime) -> bool {
        let Some(reported) = self.reported else {
            return true;
        };
        activity != FlowActivity::Running
            || self.elsewhere
            || now.since(reported) >= RUNNING_REPORT_INTERVAL
    }

    fn usage(&mut self, flow: FlowId, activity: FlowActivity, now: ClockTime) -> FlowUsage {
        self.reported = Some(now);
        self.sent = self.count;
        let raise = (self.proposal > self.known).then_some(CostUnits(self.proposal));
        FlowUsage {
            flow,
            count: CostUnits(self.count),
            known_total: CostUnits(self.known),
            fresh: CostUnits(self.count - self.counted),
            raise,
            activity,
        }
    }
}

/// Counters of all flows that an agent has seen lately.
///
/// A counter never exceeds the service that the flow has received in the fleet: it is the largest
/// published total plus the charges made here that it lacks.
#[derive(Debug, Clone, Default)]
pub struct UsageLedger {
    flows: BTreeMap<FlowId, FlowRecord>,
    /// Flows by the time of their last activity.
    by_activity: BTreeSet<(ClockTime, FlowId)>,
    /// Flows with waiting or running requests.
    open: BTreeSet<FlowId>,
    /// Other flows whose last count is not yet reported.
    ended: BTreeSet<FlowId>,
    virtual_times: BTreeMap<ServiceName, u64>,
}

impl UsageLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Charges service that was produced here.
    pub fn charge(&mut self, flow: &FlowKey, cost: CostUnits, now: ClockTime) {
        let id = FlowId::of(flow);
        let record = self.touch(id, now);
        record.total = record.total.saturating_add(cost.0);
        record.count = record.count.saturating_add(cost.0);
        if record.floor > 0 {
            record.floor = record.floor.saturating_add(cost.0);
        }
        if record.open == 0 {
            self.ended.insert(id);
        }
    }

    /// Merges a total that the home has published; it ends a provisional raise.
    pub fn merge(&mut self, total: &FlowTotal) {
        if let Some(record) = self.flows.get_mut(&total.flow) {
            record.merge(total.total.0);
            record.elsewhere = total.elsewhere;
        }
    }

    /// Takes in the answer to a report of some flows. A flow that runs only and for which there is no
    /// total is backlogged nowhere.
    pub fn apply_answer(&mut self, reported: &[FlowUsage], totals: &[FlowTotal]) {
        for usage in reported {
            if let Some(record) = self.flows.get_mut(&usage.flow) {
                record.elsewhere = false;
            }
        }
        for total in totals {
            self.merge(total);
        }
    }

    /// Has the flows of a report reported again in the next round, since it was not answered.
    pub fn requeue_report(&mut self, reported: &[FlowUsage]) {
        for usage in reported {
            if let Some(record) = self.flows.get_mut(&usage.flow) {
                record.reported = None;
                if record.open == 0 {
                    self.ended.insert(usage.flow);
                }
            }
        }
    }

    /// Service that the flow has received, without a provisional raise.
    pub fn total(&self, flow: &FlowKey) -> CostUnits {
        let record = self.flows.get(&FlowId::of(flow));
        CostUnits(record.map_or(0, |record| record.total))
    }

    /// Weighted counter of the flow, with a provisional raise.
    pub fn counter(&self, flow: &FlowKey, weight: FlowWeight) -> u64 {
        let record = self.flows.get(&FlowId::of(flow));
        let total = record.map_or(0, |record| record.total.max(record.floor));
        weighted_cost(CostUnits(total), weight)
    }

    /// Merges the virtual time of a service.
    pub fn merge_virtual_time(&mut self, service: &ServiceName, time: u64) {
        match self.virtual_times.get_mut(service) {
            Some(known) => *known = (*known).max(time),
            None => {
                self.virtual_times.insert(service.clone(), time);
            }
        }
    }

    /// Largest counter at which a request of the service was started.
    pub fn virtual_time(&self, service: &ServiceName) -> u64 {
        self.virtual_times.get(service).copied().unwrap_or(0)
    }

    /// Notes that the flow has a waiting request, and raises it provisionally if it was idle here.
    ///
    /// The raise is not part of [`total`](Self::total): a flow that is idle here may be busy
    /// elsewhere, which only its home knows.
    pub fn mark_backlogged(&mut self, flow: &FlowKey, weight: FlowWeight, now: ClockTime) {
        let time = self.virtual_time(&flow.service);
        let id = FlowId::of(flow);
        let idle = match self.flows.get(&id) {
            Some(record) => record.is_idle(now),
            None => true,
        };
        let record = self.touch(id, now);
        let raised = cost_of_counter(time, weight);
        if idle && raised > record.total {
            record.raise(raised);
        }
    }

    /// Notes that a request of the flow waits or runs from now on.
    pub fn open_request(&mut self, flow: &FlowKey, now: ClockTime) {
        let id = FlowId::of(flow);
        let record = self.touch(id, now);
        record.open += 1;
        self.open.insert(id);
        self.ended.remove(&id);
    }

    /// Notes that a request counted by [`open_request`](Self::open_request) has ended.
    pub fn close_request(&mut self, flow: &FlowKey, now: ClockTime) {
        let id = FlowId::of(flow);
        let record = self.touch(id, now);
        record.open = record.open.saturating_sub(1);
        let is_unknown = record.reported.is_none() && record.count == record.sent;
        if record.open == 0 {
            self.open.remove(&id);
            // A flow that no home has heard of and that got nothing needs no report.
            if !is_unknown {
                self.ended.insert(id);
            }
        }
    }

    /// Own cumulative counts of the flows that are due for a report, for their homes.
    ///
    /// `is_waiting` tells whether offers of a flow are held.
    pub fn take_report(
        &mut self,
        now: ClockTime,
        is_waiting: impl Fn(FlowId) -> bool,
    ) -> Vec<FlowUsage> {
        let ended = std::mem::take(&mut self.ended);
        let mut usages = Vec::new();
        for flow in self.open.union(&ended) {
            let Some(record) = self.flows.get_mut(flow) else {
                continue;
            };
            let activity = record.activity(is_waiting(*flow));
            if record.is_due(activity, now) {
                usages.push(record.usage(*flow, activity, now));
            }
        }
        usages
    }

    /// Forgets flows that have been idle for [`LEDGER_RETENTION`].
    pub fn forget_idle(&mut self, now: ClockTime) {
        while let Some((active, flow)) = self.by_activity.first().copied() {
            if now.since(active) < LEDGER_RETENTION {
                break;
            }
            self.by_activity.pop_first();
            if self.open.contains(&flow) {
                self.touch(flow, now);
            } else {
                self.flows.remove(&flow);
                self.ended.remove(&flow);
            }
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

    fn touch(&mut self, flow: FlowId, now: ClockTime) -> &mut FlowRecord {
        let record = self.flows.entry(flow).or_default();
        self.by_activity.remove(&(record.active, flow));
        record.active = record.active.max(now);
        self.by_activity.insert((record.active, flow));
        record
    }
}
