//! Counters of service received, as one entry or agent knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::{ClockTime, CostUnits, FlowWeight, ServiceName};
use wire::{FlowKey, FlowTotal, FlowUsage};

use crate::{unweighted, weighted};

/// Time without waiting or running requests after which a flow is idle.
pub const IDLE_SPAN: Duration = Duration::from_secs(1);

/// Interval of reports to the home of a flow.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a flow is reported after its last activity.
///
/// One interval, so that its last count is reported once. If that report is lost, the count follows
/// when the flow returns. A longer time would make an idle flow look busy at its home.
pub const ACTIVE_SPAN: Duration = REPORT_INTERVAL;

/// Count of a usage whose known total is a proposal to raise a flow that was idle at the reporter.
///
/// The home may refuse a proposal, but not a total that was published.
pub const RAISE_PROPOSAL: CostUnits = CostUnits(u64::MAX);

/// Totals below a proposal after which it counts as refused.
///
/// The first one may answer a report from before the proposal.
const REFUSALS: u8 = 2;

/// Time after which an idle flow is forgotten.
///
/// Longer than [`crate::HOME_MEMORY`]: a home that remembered a reporter's count longer than the
/// reporter itself would ignore the new count until it exceeded the old one.
pub const LEDGER_MEMORY: Duration = Duration::from_secs(120);

/// Counters of one flow.
#[derive(Debug, Clone, Default)]
struct FlowRecord {
    /// Largest merged total plus the local charges since.
    total: u64,
    /// Largest total that the home has published.
    known: u64,
    /// Own charges since the start of the process.
    count: u64,
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
}

impl FlowRecord {
    fn is_idle(&self, now: ClockTime) -> bool {
        self.open == 0 && now.since(self.active) >= IDLE_SPAN
    }

    fn raise(&mut self, total: u64) {
        self.floor = total;
        self.proposal = total;
        self.answers = 0;
    }

    /// Ends a raise that the home has accepted or refused.
    fn answered(&mut self, total: u64) {
        if self.proposal == 0 {
            return;
        }
        self.answers += 1;
        if total >= self.proposal || self.answers >= REFUSALS {
            self.floor = 0;
            self.proposal = 0;
        }
    }
}

/// Counters of all flows that an entry or agent has seen lately.
///
/// A counter never exceeds the service that the flow has received in the fleet: it is the largest
/// published total plus charges made here after it was merged.
#[derive(Debug, Clone, Default)]
pub struct UsageLedger {
    flows: BTreeMap<FlowKey, FlowRecord>,
    /// Flows by the time of their last activity.
    by_activity: BTreeSet<(ClockTime, FlowKey)>,
    /// Flows with waiting or running requests.
    open: BTreeSet<FlowKey>,
    virtual_times: BTreeMap<ServiceName, u64>,
}

impl UsageLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Charges service that was produced here.
    pub fn charge(&mut self, flow: &FlowKey, cost: CostUnits, now: ClockTime) {
        let record = self.touch(flow, now);
        record.total = record.total.saturating_add(cost.0);
        record.count = record.count.saturating_add(cost.0);
        if record.floor > 0 {
            record.floor = record.floor.saturating_add(cost.0);
        }
    }

    /// Merges a total that the home has published; it ends a provisional raise.
    pub fn merge(&mut self, total: &FlowTotal) {
        let record = self.touch(&total.flow, ClockTime::default());
        record.total = record.total.max(total.total.0);
        record.known = record.known.max(total.total.0);
        record.answered(total.total.0);
    }

    /// Merges the total of an offer, which may be older than the home's answer to a raise.
    pub fn merge_offer(&mut self, total: &FlowTotal, now: ClockTime) {
        let record = self.touch(&total.flow, now);
        record.total = record.total.max(total.total.0);
    }

    /// Service that the flow has received, without a provisional raise.
    pub fn total(&self, flow: &FlowKey) -> CostUnits {
        CostUnits(self.flows.get(flow).map_or(0, |record| record.total))
    }

    /// Weighted counter of the flow, with a provisional raise.
    pub fn counter(&self, flow: &FlowKey, weight: FlowWeight) -> u64 {
        let total = self
            .flows
            .get(flow)
            .map_or(0, |record| record.total.max(record.floor));
        weighted(CostUnits(total), weight)
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

    /// Virtual times of all services.
    pub fn virtual_times(&self) -> Vec<(ServiceName, u64)> {
        self.virtual_times
            .iter()
            .map(|(service, time)| (service.clone(), *time))
            .collect()
    }

    /// Notes that the flow has a waiting request, and raises it provisionally if it was idle here.
    ///
    /// The raise is not part of [`total`](Self::total): a flow that is idle here may be busy
    /// elsewhere, which only its home knows.
    pub fn backlogged(&mut self, flow: &FlowKey, weight: FlowWeight, now: ClockTime) {
        let time = self.virtual_time(&flow.service);
        let idle = match self.flows.get(flow) {
            Some(record) => record.is_idle(now),
            None => true,
        };
        let record = self.touch(flow, now);
        let raised = unweighted(time, weight);
        if idle && raised > record.total {
            record.raise(raised);
        }
    }

    /// Notes that a request of the flow waits or runs from now on.
    pub fn opened(&mut self, flow: &FlowKey, now: ClockTime) {
        let record = self.touch(flow, now);
        record.open += 1;
        self.open.insert(flow.clone());
    }

    /// Notes that a request counted by [`opened`](Self::opened) has ended.
    pub fn closed(&mut self, flow: &FlowKey, now: ClockTime) {
        let record = self.touch(flow, now);
        record.open = record.open.saturating_sub(1);
        if record.open == 0 {
            self.open.remove(flow);
        }
    }

    /// Own cumulative counts of the flows that are active, for their homes.
    ///
    /// A flow that was raised provisionally is reported with [`RAISE_PROPOSAL`] until the home has
    /// answered.
    pub fn report(&self, now: ClockTime) -> Vec<FlowUsage> {
        let recent = self
            .by_activity
            .iter()
            .rev()
            .take_while(|(active, _)| now.since(*active) <= ACTIVE_SPAN)
            .map(|(_, flow)| flow)
            .filter(|flow| !self.open.contains(*flow));
        self.open
            .iter()
            .chain(recent)
            .map(|flow| self.usage(flow))
            .collect()
    }

    /// Forgets flows that have been idle for [`LEDGER_MEMORY`].
    pub fn forget_idle(&mut self, now: ClockTime) {
        while let Some((active, flow)) = self.by_activity.first().cloned() {
            if now.since(active) < LEDGER_MEMORY {
                break;
            }
            self.by_activity.pop_first();
            if self.open.contains(&flow) {
                self.touch(&flow, now);
            } else {
                self.flows.remove(&flow);
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

    fn usage(&self, flow: &FlowKey) -> FlowUsage {
        let record = &self.flows[flow];
        let (count, known_total) = if record.proposal > record.known {
            (RAISE_PROPOSAL, record.proposal)
        } else {
            (CostUnits(record.count), record.known)
        };
        FlowUsage {
            flow: flow.clone(),
            count,
            known_total: CostUnits(known_total),
        }
    }

    fn touch(&mut self, flow: &FlowKey, now: ClockTime) -> &mut FlowRecord {
        let record = self.flows.entry(flow.clone()).or_default();
        let place = (record.active, flow.clone());
        self.by_activity.remove(&place);
        record.active = record.active.max(now);
        self.by_activity.insert((record.active, flow.clone()));
        record
    }
}
