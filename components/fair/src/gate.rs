//! Admits requests of an entry according to the share of their flow.
//!
//! A flow's share is divided among the entries in proportion to its demand there. At an entry of
//! many, it takes seconds to earn the cost of one request, so a request may overdraw the credit, and
//! the flow then waits until the cost is earned. A flow that becomes limited begins with a debt that
//! differs between entries. Otherwise all entries would admit a request at the same time, and none
//! for seconds after it.

use std::collections::BTreeMap;
use std::time::Duration;

use units::{ClockTime, CostUnits, FlowWeight, Incarnation, NodeName, ServiceName};
use wire::{DemandReport, FlowDemand, FlowId, KnownCapacity, ShareReply, stable_hash};

/// Interval at which an entry reports demand.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which shares expire. Until the next reply, every request is admitted.
pub const SHARE_TTL: Duration = Duration::from_millis(2_000);

/// Time for which the estimate of a lost home is of use to the next one. An entry finds another home
/// within about two seconds.
const CAPACITY_TTL: Duration = Duration::from_secs(5);

/// Time over which a flow accumulates unused credit. Requests arrive in bursts, and shares are
/// averaged over a few seconds.
const CREDIT_WINDOW: Duration = Duration::from_millis(2_000);

/// Upper bound of the lateness of one answer, in thousandths of its objective, so that a single
/// lost request is not taken for an overload.
const MAX_LATENESS_PERMILLE: u64 = 2_000;

/// Weight of a new rate in the moving average of the timely demand, in percent. Requests arrive in
/// bursts that are shorter than the interval of reports.
const NEW_RATE_PERCENT: u64 = 25;

/// Largest credit that a request needs because of its cost, as a time at the allowed rate of the
/// flow. Small requests are admitted more readily than large ones, each of which displaces many.
const SIZE_RESERVE: Duration = Duration::from_millis(1_000);

/// Time after which a flow without requests is no longer reported.
const FLOW_REPORT_TIME: Duration = Duration::from_secs(4);

/// Time after which a flow without requests is evicted. At one of many entries a limited flow may
/// send a request every few seconds, and an evicted flow is not limited until the next reply.
const FLOW_RETENTION: Duration = Duration::from_secs(30);

/// Demand and share of one flow at this entry.
#[derive(Debug, Clone)]
struct FlowShare {
    weight: FlowWeight,
    /// Cost of the requests since the last report, in cost units.
    demand: u64,
    /// Cost of those of them that are not overdue.
    timely_demand: u64,
    /// Cost of those of them that are overdue.
    overdue_demand: u64,
    /// Cost of the requests that were sent to targets since the last report.
    granted: u64,
    /// Moving average of the demand by requests that are not overdue, in cost units per second; `None`
    /// before the first report.
    timely_rate: Option<u64>,
    /// Rate at which this entry may serve the flow, in cost units per second; `None` while the
    /// demand is within the share.
    allowed_rate: Option<u64>,
    /// Cost that may be served now, in cost units; negative after a large request.
    credit: i64,
    /// Part of the earned cost that overdue requests may use, because the others leave it.
    overdue_credit: i64,
    last_refill: ClockTime,
    last_request: ClockTime,
    /// Cost of the last request.
    last_cost: CostUnits,
}

/// Admission control by the shares of the flows of one service at one entry.
#[derive(Debug, Clone)]
pub struct ShareGate {
    service: ServiceName,
    /// Distinguishes the debts of a flow at different entries.
    seed: u64,
    flows: BTreeMap<FlowId, FlowShare>,
    last_report: ClockTime,
    last_reply: Option<ClockTime>,
    /// Estimate in the last reply.
    capacity: Option<KnownCapacity>,
    granted: u64,
    served: u64,
    answers: u64,
    lateness_permille: u64,
}

impl ShareGate {
    /// Creates a gate that admits every request until the first reply. The seed should differ
    /// between entries.
    pub fn new(service: ServiceName, seed: u64, now: ClockTime) -> Self {
        Self {
            service,
            seed,
            flows: BTreeMap::new(),
            last_report: now,
            last_reply: None,
            capacity: None,
            granted: 0,
            served: 0,
            answers: 0,
            lateness_permille: 0,
        }
    }

    /// Records a request and returns whether it is within the share of its flow. `is_overdue`
    /// marks a retried request that has already missed its objective.
    pub fn admit(
        &mut self,
        flow: FlowId,
        weight: FlowWeight,
        cost: CostUnits,
        is_overdue: bool,
        now: ClockTime,
    ) -> bool {
        let is_current = self
            .last_reply
            .is_some_and(|last_reply| now.since(last_reply) < SHARE_TTL);
        let share = self.flows.entry(flow).or_insert(FlowShare {
            weight,
            demand: 0,
            timely_demand: 0,
            overdue_demand: 0,
            granted: 0,
            timely_rate: None,
            allowed_rate: None,
            credit: 0,
            overdue_credit: 0,
            last_refill: now,
            last_request: now,
            last_cost: cost,
        });
        share.weight = weight;
        share.demand += cost.0;
        match is_overdue {
            true => share.overdue_demand += cost.0,
            false => share.timely_demand += cost.0,
        }
        share.last_request = now;
        share.last_cost = cost;
        share.try_take(cost, is_overdue, now) || !is_current
    }

    /// Estimate of the capacity in the last reply, if that is recent enough for a new home to start
    /// from it.
    pub fn known_capacity(&self, now: ClockTime) -> Option<KnownCapacity> {
        let last_reply = self.last_reply?;
        let is_recent = now.since(last_reply) < CAPACITY_TTL;
        self.capacity.filter(|_| is_recent)
    }

    /// Whether there is nothing to report: no request in the last seconds, and no response since the
    /// last report.
    pub fn is_idle(&self, now: ClockTime) -> bool {
        let mut shares = self.flows.values();
        self.answers == 0 && shares.all(|share| now.since(share.last_request) >= FLOW_REPORT_TIME)
    }

    /// Records a request that is sent to a target.
    pub fn record_grant(&mut self, flow: FlowId, cost: CostUnits) {
        self.granted += cost.0;
        if let Some(share) = self.flows.get_mut(&flow) {
            share.granted += cost.0;
        }
    }

    /// Records the first byte of an answer: the cost of its request, and its lateness.
    pub fn record_first_byte(&mut self, cost: CostUnits, latency: Duration, objective: Duration) {
        self.served += cost.0;
        self.record_wait(latency, objective);
    }

    /// Records how long a request has waited for its answer.
    pub fn record_wait(&mut self, latency: Duration, objective: Duration) {
        let objective = objective.as_millis().max(1);
        let permille = (latency.as_millis() * 1000 / objective) as u64;
        self.answers += 1;
        self.lateness_permille += permille.min(MAX_LATENESS_PERMILLE);
    }

    /// Returns the demand since the last report, and resets it.
    pub fn take_report(
        &mut self,
        reporter: NodeName,
        incarnation: Incarnation,
        now: ClockTime,
    ) -> DemandReport {
        self.flows
            .retain(|_, share| now.since(share.last_request) < FLOW_RETENTION);
        let interval_ms = now.since(self.last_report).as_millis() as u64;
        self.last_report = now;
        for share in self.flows.values_mut() {
            share.update_timely_rate(interval_ms, now);
        }
        let active_flows = self.flows.iter_mut();
        let active_flows =
            active_flows.filter(|(_, share)| now.since(share.last_request) < FLOW_REPORT_TIME);
        let flows = active_flows.map(|(flow, share)| FlowDemand {
            flow: *flow,
            weight: share.weight,
            requested: CostUnits(std::mem::take(&mut share.demand)),
            overdue: CostUnits(std::mem::take(&mut share.overdue_demand)),
            granted: CostUnits(std::mem::take(&mut share.granted)),
        });
        DemandReport {
            reporter,
            incarnation,
            service: self.service.clone(),
            interval_ms,
            flows: flows.collect(),
            granted: CostUnits(std::mem::take(&mut self.granted)),
            served: CostUnits(std::mem::take(&mut self.served)),
            answers: std::mem::take(&mut self.answers),
            lateness_permille: std::mem::take(&mut self.lateness_permille),
            known_capacity: None,
        }
    }

    /// Applies the allowed rates from the reply to a report.
    pub fn apply_reply(&mut self, reply: &ShareReply, now: ClockTime) {
        self.last_reply = Some(now);
        self.capacity = reply.capacity;
        for allowance in &reply.flows {
            if let Some(share) = self.flows.get_mut(&allowance.flow) {
                share.set_rate(allowance.rate.map(|rate| rate.0), self.seed, now);
            }
        }
    }
}

impl FlowShare {
    /// Sets the allowed rate. A flow that becomes limited gets a part of the debt that its last
    /// request would leave, which the seed and the time of that request select.
    fn set_rate(&mut self, rate: Option<u64>, seed: u64, now: ClockTime) {
        self.refill(now);
        if let (None, Some(rate)) = (self.allowed_rate, rate) {
            let last_request = self.last_request.0.to_le_bytes();
            let draw = stable_hash(&[&seed.to_le_bytes(), &last_request]);
            let debt = draw % self.last_cost.0.max(1);
            self.credit = size_reserve(self.last_cost, rate) - debt as i64;
        }
        self.allowed_rate = rate;
    }

    fn refill(&mut self, now: ClockTime) {
        let elapsed = now.since(self.last_refill);
        self.last_refill = now;
        let Some(rate) = self.allowed_rate else {
            self.credit = 0;
            self.overdue_credit = 0;
            return;
        };
        let earned = cost_at_rate(rate, elapsed);
        self.credit = (self.credit + earned).min(cost_at_rate(rate, CREDIT_WINDOW));
        let overdue_rate = rate.saturating_sub(self.timely_rate.unwrap_or(rate));
        let earned = cost_at_rate(overdue_rate, elapsed);
        let max_credit = cost_at_rate(rate, CREDIT_WINDOW);
        self.overdue_credit = (self.overdue_credit + earned).min(max_credit);
    }

    fn update_timely_rate(&mut self, interval_ms: u64, now: ClockTime) {
        self.refill(now);
        let rate = std::mem::take(&mut self.timely_demand) * 1000 / interval_ms.max(1);
        let old = self.timely_rate.unwrap_or(rate);
        self.timely_rate = Some((rate * NEW_RATE_PERCENT + old * (100 - NEW_RATE_PERCENT)) / 100);
    }

    /// Deducts the cost of a request from the credit, or returns false if there is too little. A
    /// request may overdraw the credit, so that a flow is served even if its requests cost more
    /// than the credit limit. Overdue requests only use what requests that can still be answered in
    /// time leave.
    fn try_take(&mut self, cost: CostUnits, is_overdue: bool, now: ClockTime) -> bool {
        self.refill(now);
        let Some(rate) = self.allowed_rate else {
            return true;
        };
        let needed = size_reserve(cost, rate);
        if self.credit < needed || (is_overdue && self.overdue_credit < needed) {
            return false;
        }
        self.credit -= cost.0 as i64;
        if is_overdue {
            self.overdue_credit -= cost.0 as i64;
        }
        true
    }
}

/// Credit that a request needs because of its cost.
fn size_reserve(cost: CostUnits, rate: u64) -> i64 {
    (cost.0 as i64).min(cost_at_rate(rate, SIZE_RESERVE))
}

/// Cost that is served in a time at a rate in cost units per second.
fn cost_at_rate(rate: u64, time: Duration) -> i64 {
    rate as i64 * time.as_millis() as i64 / 1000
}
