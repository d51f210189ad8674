//! Admits requests of an entry according to the share of their flow.
//!
//! The home states which part of a flow's requests is within its share, the same for all entries, and
//! an entry admits that part, spread evenly. Where each entry begins differs. Otherwise, entries that
//! get a request every few seconds would all admit it, or all refuse it.

use std::collections::BTreeMap;
use std::time::Duration;

use units::{AdmitFraction, ClockTime, CostUnits, FlowWeight, Incarnation, NodeName, ServiceName};
use wire::{
    AdmittedParts, DemandReport, FlowDemand, FlowId, KnownCapacity, ShareReply, stable_hash,
};

/// Interval at which an entry reports demand.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which shares expire. Until the next reply, every request is admitted.
pub const SHARE_TTL: Duration = Duration::from_millis(2_000);

/// Time for which the estimate of a lost home is of use to the next one. An entry finds another home
/// within about two seconds.
const CAPACITY_TTL: Duration = Duration::from_secs(5);

/// Upper bound of the lateness of one answer, in thousandths of its objective. A lost request is not
/// an overload, and neither are a few targets with long queues.
const MAX_LATENESS_PERMILLE: u64 = 1_000;

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
    /// Cost of those of them that are overdue.
    overdue_demand: u64,
    /// Cost of the requests that were sent to targets since the last report.
    granted: u64,
    /// Parts of the requests that are admitted; `None` while the demand is within the share.
    parts: Option<AdmittedParts>,
    timely_turn: AdmitTurn,
    overdue_turn: AdmitTurn,
    last_request: ClockTime,
}

/// Admission control by the shares of the flows of one service at one entry.
#[derive(Debug, Clone)]
pub struct ShareGate {
    service: ServiceName,
    /// Distinguishes where entries begin with the admitted part of a flow.
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
        let seed = self.seed;
        let share = self
            .flows
            .entry(flow)
            .or_insert_with(|| FlowShare::new(weight, flow, seed, now));
        share.weight = weight;
        share.demand += cost.0;
        if is_overdue {
            share.overdue_demand += cost.0;
        }
        share.last_request = now;
        share.try_take(is_overdue) || !is_current
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

    /// Begins the interval of the next report, instead of a report in a round without demand. The rates
    /// of the next one would be too low otherwise.
    pub fn skip_report(&mut self, now: ClockTime) {
        self.last_report = now;
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

    /// Applies the allowances from the reply to a report.
    pub fn apply_reply(&mut self, reply: &ShareReply, now: ClockTime) {
        self.last_reply = Some(now);
        self.capacity = reply.capacity;
        for allowance in &reply.flows {
            if let Some(share) = self.flows.get_mut(&allowance.flow) {
                share.parts = allowance.parts;
            }
        }
    }
}

impl FlowShare {
    fn new(weight: FlowWeight, flow: FlowId, seed: u64, now: ClockTime) -> Self {
        Self {
            weight,
            demand: 0,
            overdue_demand: 0,
            granted: 0,
            parts: None,
            timely_turn: AdmitTurn::new(&[&seed.to_le_bytes(), flow.as_bytes(), b"timely"]),
            overdue_turn: AdmitTurn::new(&[&seed.to_le_bytes(), flow.as_bytes(), b"overdue"]),
            last_request: now,
        }
    }

    /// Whether a request is one of those that are admitted.
    fn try_take(&mut self, is_overdue: bool) -> bool {
        match (self.parts, is_overdue) {
            (None, _) => true,
            (Some(parts), false) => self.timely_turn.try_take(parts.timely),
            (Some(parts), true) => self.overdue_turn.try_take(parts.overdue),
        }
    }
}

/// Spreads the admitted requests evenly over all requests.
#[derive(Debug, Clone, Copy)]
struct AdmitTurn {
    /// Sum of the fractions since the last admitted request.
    sum: AdmitFraction,
}

impl AdmitTurn {
    fn new(seed: &[&[u8]]) -> Self {
        let sum = stable_hash(seed) % u64::from(AdmitFraction::ALL.0);
        Self {
            sum: AdmitFraction(sum as u32),
        }
    }

    fn try_take(&mut self, fraction: AdmitFraction) -> bool {
        self.sum.0 += fraction.0;
        let is_admitted = self.sum >= AdmitFraction::ALL;
        if is_admitted {
            self.sum.0 -= AdmitFraction::ALL.0;
        }
        is_admitted
    }
}
