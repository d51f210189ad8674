//! Admits requests of an entry according to the share of their flow.

use std::collections::BTreeMap;
use std::time::Duration;

use units::{ClockTime, CostUnits, FlowWeight, Incarnation, NodeName, ServiceName};
use wire::{DemandReport, FlowDemand, FlowId, ShareReply};

/// Interval at which an entry reports demand.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which shares expire. Until the next reply, every request is admitted.
pub const SHARE_TTL: Duration = Duration::from_millis(2_000);

/// Time over which a flow accumulates unused credit. Requests arrive in bursts, and shares are
/// averaged over a few seconds.
const CREDIT_WINDOW: Duration = Duration::from_millis(2_000);

/// Upper bound of the lateness of one answer, in thousandths of its objective, so that a single
/// lost request is not taken for an overload.
const MAX_LATENESS_PERMILLE: u64 = 2_000;

/// Credit that overdue requests leave for others, as a time at the allowed rate of the flow.
const OVERDUE_RESERVE: Duration = Duration::from_millis(1_000);

/// Largest credit that a request needs because of its cost, as a time at the allowed rate of the
/// flow. Small requests are admitted more readily than large ones, each of which displaces many.
const SIZE_RESERVE: Duration = Duration::from_millis(1_000);

/// Time after which a flow without requests is evicted.
const FLOW_RETENTION: Duration = Duration::from_secs(4);

/// Demand and share of one flow at this entry.
#[derive(Debug, Clone)]
struct FlowShare {
    weight: FlowWeight,
    /// Cost of the requests since the last report, in cost units.
    demand: u64,
    /// Rate at which this entry may serve the flow, in cost units per second; `None` while the
    /// demand is within the share.
    allowed_rate: Option<u64>,
    /// Cost that may be served now, in cost units; negative after a large request.
    credit: i64,
    last_refill: ClockTime,
    last_request: ClockTime,
}

/// Admission control by the shares of the flows of one service at one entry.
#[derive(Debug, Clone)]
pub struct ShareGate {
    service: ServiceName,
    flows: BTreeMap<FlowId, FlowShare>,
    last_report: ClockTime,
    last_reply: Option<ClockTime>,
    granted: u64,
    served: u64,
    answers: u64,
    lateness_permille: u64,
}

impl ShareGate {
    /// Creates a gate that admits every request until the first reply.
    pub fn new(service: ServiceName, now: ClockTime) -> Self {
        Self {
            service,
            flows: BTreeMap::new(),
            last_report: now,
            last_reply: None,
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
            allowed_rate: None,
            credit: 0,
            last_refill: now,
            last_request: now,
        });
        share.weight = weight;
        share.demand += cost.0;
        share.last_request = now;
        share.try_take(cost, is_overdue, now) || !is_current
    }

    /// Records a request that is sent to a target.
    pub fn record_grant(&mut self, cost: CostUnits) {
        self.granted += cost.0;
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
        let flows = self.flows.iter_mut().map(|(flow, share)| FlowDemand {
            flow: *flow,
            weight: share.weight,
            requested: CostUnits(std::mem::take(&mut share.demand)),
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
        }
    }

    /// Applies the allowed rates from the reply to a report.
    pub fn apply_reply(&mut self, reply: &ShareReply, now: ClockTime) {
        self.last_reply = Some(now);
        for allowance in &reply.flows {
            if let Some(share) = self.flows.get_mut(&allowance.flow) {
                share.refill(now);
                share.allowed_rate = allowance.rate.map(|rate| rate.0);
            }
        }
    }
}

impl FlowShare {
    fn refill(&mut self, now: ClockTime) {
        let elapsed = now.since(self.last_refill);
        self.last_refill = now;
        let Some(rate) = self.allowed_rate else {
            self.credit = 0;
            return;
        };
        let earned = rate as i64 * elapsed.as_millis() as i64 / 1000;
        let max_credit = rate as i64 * CREDIT_WINDOW.as_millis() as i64 / 1000;
        self.credit = (self.credit + earned).min(max_credit);
    }

    /// Deducts the cost of a request from the credit, or returns false if there is too little. A
    /// request may overdraw the credit, so that a flow is served even if its requests cost more
    /// than the credit limit. Overdue requests leave [`OVERDUE_RESERVE`] for requests that can
    /// still be answered in time.
    fn try_take(&mut self, cost: CostUnits, is_overdue: bool, now: ClockTime) -> bool {
        self.refill(now);
        let Some(rate) = self.allowed_rate else {
            return true;
        };
        let at_rate = |duration: Duration| rate as i64 * duration.as_millis() as i64 / 1000;
        let reserve = match is_overdue {
            true => at_rate(OVERDUE_RESERVE),
            false => 0,
        };
        let size_reserve = (cost.0 as i64).min(at_rate(SIZE_RESERVE));
        if self.credit < reserve + size_reserve {
            return false;
        }
        self.credit -= cost.0 as i64;
        true
    }
}
