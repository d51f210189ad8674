//! Counters of received service, as known to one agent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::{ClockTime, CostUnits, FlowWeight, ServiceName};
use wire::{FlowActivity, FlowId, FlowKey, FlowTotal, FlowUsage};

use crate::{cost_of_counter, weighted_cost};

/// Time without waiting or running requests after which a flow is idle.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a flow is reported that runs here and is backlogged nowhere. No agent
/// selects requests by its total, so the total may be older.
pub const RUNNING_REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// Number of published totals below a proposal after which it counts as rejected.
///
/// The first one may answer a report that was sent before the proposal.
const MAX_PROPOSAL_REPLIES: u8 = 2;

/// Time after which an idle flow is evicted.
///
/// Must exceed [`crate::HOME_RETENTION`]: a home that keeps the count of a reporter for longer
/// than the reporter itself would ignore the new count until it exceeds the old one.
pub const LEDGER_RETENTION: Duration = Duration::from_secs(120);

/// Counters of one flow, in cost units.
#[derive(Debug, Clone, Default)]
struct FlowRecord {
    /// Largest merged total plus the local charges that it does not include.
    total: u64,
    /// Largest total that the home has published.
    published_total: u64,
    /// Upper bound of the part of `own_count` that `published_total` includes.
    published_count: u64,
    /// Charges by this process since its start.
    own_count: u64,
    /// Largest `own_count` that was reported. No total includes more of it.
    reported_count: u64,
    /// Total assumed for a flow that was idle here, until the home has accepted or rejected it; 0
    /// if there is none.
    provisional_total: u64,
    /// Part of `provisional_total` that is proposed to the home, without later local charges; 0
    /// if there is none.
    proposed_total: u64,
    /// Number of totals that were merged since the provisional raise.
    proposal_replies: u8,
    /// Calls of `open_flow` without a matching `close_flow`.
    open_count: u32,
    /// Last time that the flow was known to be active.
    last_active: ClockTime,
    /// Time of the last report; `None` if one is due immediately.
    last_report: Option<ClockTime>,
    /// Whether another reporter holds offers of the flow.
    is_backlogged_elsewhere: bool,
}

impl FlowRecord {
    fn is_idle(&self, now: ClockTime) -> bool {
        self.open_count == 0 && now.since(self.last_active) >= IDLE_TIMEOUT
    }

    fn raise(&mut self, total: u64) {
        self.provisional_total = total;
        self.proposed_total = total;
        self.proposal_replies = 0;
    }

    fn merge(&mut self, total: u64) {
        // Charges since the last report are not part of any total yet.
        let unreported = self.own_count - self.reported_count;
        self.total = self.total.max(total.saturating_add(unreported));
        if total > self.published_total {
            self.published_total = total;
            self.published_count = self.reported_count;
        }
        self.finish_raise(total);
    }

    /// Ends a raise that the home has accepted or rejected.
    fn finish_raise(&mut self, total: u64) {
        if self.proposed_total == 0 {
            return;
        }
        self.proposal_replies += 1;
        if total >= self.proposed_total || self.proposal_replies >= MAX_PROPOSAL_REPLIES {
            self.provisional_total = 0;
            self.proposed_total = 0;
        }
    }

    fn activity(&self, is_waiting: bool) -> FlowActivity {
        if is_waiting {
            FlowActivity::Waiting
        } else if self.open_count > 0 {
            FlowActivity::Running
        } else {
            FlowActivity::Idle
        }
    }

    fn is_due(&self, activity: FlowActivity, now: ClockTime) -> bool {
        let Some(last_report) = self.last_report else {
            return true;
        };
        activity != FlowActivity::Running
            || self.is_backlogged_elsewhere
            || now.since(last_report) >= RUNNING_REPORT_INTERVAL
    }

    fn usage(&mut self, flow: FlowId, activity: FlowActivity, now: ClockTime) -> FlowUsage {
        self.last_report = Some(now);
        self.reported_count = self.own_count;
        let raise_to =
            (self.proposed_total > self.published_total).then_some(CostUnits(self.proposed_total));
        FlowUsage {
            flow,
            count: CostUnits(self.own_count),
            known_total: CostUnits(self.published_total),
            unpublished_count: CostUnits(self.own_count - self.published_count),
            raise_to,
            activity,
        }
    }
}

/// Usage counters of all flows that were recently active at an agent.
///
/// A counter never exceeds the service that the flow has received in the fleet: it is the largest
/// published total plus the local charges that it does not include.
#[derive(Debug, Clone, Default)]
pub struct UsageLedger {
    flows: BTreeMap<FlowId, FlowRecord>,
    /// Flows ordered by their last activity.
    by_activity: BTreeSet<(ClockTime, FlowId)>,
    /// Flows with waiting or running requests.
    open_flows: BTreeSet<FlowId>,
    /// Flows without waiting or running requests whose last count is not yet reported.
    unreported_flows: BTreeSet<FlowId>,
    virtual_times: BTreeMap<ServiceName, u64>,
}

impl UsageLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the cost of service that this agent has provided.
    pub fn charge(&mut self, flow: &FlowKey, cost: CostUnits, now: ClockTime) {
        let id = FlowId::of(flow);
        let record = self.touch(id, now);
        record.total = record.total.saturating_add(cost.0);
        record.own_count = record.own_count.saturating_add(cost.0);
        if record.provisional_total > 0 {
            record.provisional_total = record.provisional_total.saturating_add(cost.0);
        }
        if record.open_count == 0 {
            self.unreported_flows.insert(id);
        }
    }

    /// Merges a total that the home has published, which may end a provisional raise.
    pub fn merge(&mut self, total: &FlowTotal) {
        if let Some(record) = self.flows.get_mut(&total.flow) {
            record.merge(total.total.0);
            record.is_backlogged_elsewhere = total.is_backlogged_elsewhere;
        }
    }

    /// Applies the answer to a report. The home omits the total of a flow that only runs and is
    /// backlogged nowhere else.
    pub fn apply_totals(&mut self, reported: &[FlowUsage], totals: &[FlowTotal]) {
        for usage in reported {
            if let Some(record) = self.flows.get_mut(&usage.flow) {
                record.is_backlogged_elsewhere = false;
            }
        }
        for total in totals {
            self.merge(total);
        }
    }

    /// Marks the flows of an unanswered report as due in the next round.
    pub fn requeue_report(&mut self, reported: &[FlowUsage]) {
        for usage in reported {
            if let Some(record) = self.flows.get_mut(&usage.flow) {
                record.last_report = None;
                if record.open_count == 0 {
                    self.unreported_flows.insert(usage.flow);
                }
            }
        }
    }

    /// Service that the flow has received, excluding a provisional raise.
    pub fn total(&self, flow: &FlowKey) -> CostUnits {
        let record = self.flows.get(&FlowId::of(flow));
        CostUnits(record.map_or(0, |record| record.total))
    }

    /// Weighted counter of the flow, including a provisional raise.
    pub fn counter(&self, flow: &FlowKey, weight: FlowWeight) -> u64 {
        let record = self.flows.get(&FlowId::of(flow));
        let total = record.map_or(0, |record| record.total.max(record.provisional_total));
        weighted_cost(CostUnits(total), weight)
    }

    /// Merges the virtual time of a service, which never decreases.
    pub fn merge_virtual_time(&mut self, service: &ServiceName, time: u64) {
        match self.virtual_times.get_mut(service) {
            Some(latest) => *latest = (*latest).max(time),
            None => {
                self.virtual_times.insert(service.clone(), time);
            }
        }
    }

    /// Largest known counter at which a request of the service was started.
    pub fn virtual_time(&self, service: &ServiceName) -> u64 {
        self.virtual_times.get(service).copied().unwrap_or(0)
    }

    /// Records that the flow has a waiting request, and raises it provisionally if it was idle
    /// here.
    ///
    /// The raise is not part of [`total`](Self::total): a flow that is idle here may be busy
    /// elsewhere, which only its home knows.
    pub fn mark_backlogged(&mut self, flow: &FlowKey, weight: FlowWeight, now: ClockTime) {
        let virtual_time = self.virtual_time(&flow.service);
        let id = FlowId::of(flow);
        let is_idle = match self.flows.get(&id) {
            Some(record) => record.is_idle(now),
            None => true,
        };
        let record = self.touch(id, now);
        let raised = cost_of_counter(virtual_time, weight);
        if is_idle && raised > record.total {
            record.raise(raised);
        }
    }

    /// Records that the flow has waiting or running requests. Calls may nest.
    pub fn open_flow(&mut self, flow: &FlowKey, now: ClockTime) {
        let id = FlowId::of(flow);
        let record = self.touch(id, now);
        record.open_count += 1;
        self.open_flows.insert(id);
        self.unreported_flows.remove(&id);
    }

    /// Reverts one call of [`open_flow`](Self::open_flow).
    pub fn close_flow(&mut self, flow: &FlowKey, now: ClockTime) {
        let id = FlowId::of(flow);
        let record = self.touch(id, now);
        record.open_count = record.open_count.saturating_sub(1);
        let is_unused = record.last_report.is_none() && record.own_count == record.reported_count;
        if record.open_count == 0 {
            self.open_flows.remove(&id);
            // A flow that was never reported and never charged needs no report.
            if !is_unused {
                self.unreported_flows.insert(id);
            }
        }
    }

    /// Cumulative counts of the flows that are due for a report to their homes, marked as
    /// reported.
    ///
    /// `is_waiting` returns whether offers of a flow are held.
    pub fn take_report(
        &mut self,
        now: ClockTime,
        is_waiting: impl Fn(FlowId) -> bool,
    ) -> Vec<FlowUsage> {
        let unreported_flows = std::mem::take(&mut self.unreported_flows);
        let mut usages = Vec::new();
        for flow in self.open_flows.union(&unreported_flows) {
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

    /// Evicts flows that have been idle for [`LEDGER_RETENTION`].
    pub fn evict_idle(&mut self, now: ClockTime) {
        while let Some((last_active, flow)) = self.by_activity.first().copied() {
            if now.since(last_active) < LEDGER_RETENTION {
                break;
            }
            self.by_activity.pop_first();
            if self.open_flows.contains(&flow) {
                self.touch(flow, now);
            } else {
                self.flows.remove(&flow);
                self.unreported_flows.remove(&flow);
            }
        }
    }

    /// Number of flows in the ledger.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether the ledger has no flows.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    fn touch(&mut self, flow: FlowId, now: ClockTime) -> &mut FlowRecord {
        let record = self.flows.entry(flow).or_default();
        self.by_activity.remove(&(record.last_active, flow));
        record.last_active = record.last_active.max(now);
        self.by_activity.insert((record.last_active, flow));
        record
    }
}
