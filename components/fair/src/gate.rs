//! Which requests of an entry are within the share of their flow.

use std::collections::BTreeMap;
use std::time::Duration;

use units::{ClockTime, CostUnits, FlowWeight, Incarnation, NodeName, ServiceName};
use wire::{DemandReport, FlowDemand, FlowId, ShareReply};

/// Time between two reports of demand.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which shares count no more; until the next answer every request is within its share.
pub const SHARE_TTL: Duration = Duration::from_millis(2_000);

/// Time for which a flow saves up what it does not use of its share. Requests come in clumps, and
/// shares are owed over some seconds.
const SAVED_TIME: Duration = Duration::from_millis(2_000);

/// Lateness that one answer counts at most, in thousandths of its objective, so that a single lost
/// request does not look like an overload.
const MOST_LATENESS: u64 = 2_000;

/// Part of the savings that overdue requests leave for others, as a time at the flow's rate.
const OVERDUE_RESERVE: Duration = Duration::from_millis(1_000);

/// Largest savings that a request needs on account of its size, as a time at the flow's rate. Small
/// requests pass more easily than large ones, which take the place of many.
const SIZE_RESERVE: Duration = Duration::from_millis(1_000);

/// Time after which a flow without requests is forgotten.
const FLOW_MEMORY: Duration = Duration::from_secs(4);

/// Demand and share of one flow at this entry.
#[derive(Debug, Clone)]
struct FlowShare {
    weight: FlowWeight,
    asked: u64,
    /// Rate at which this entry may serve the flow; none while all that it asks is within its share.
    allowed: Option<u64>,
    /// What may be served now, negative after a large request.
    saved: i64,
    refilled: ClockTime,
    used: ClockTime,
}

/// Shares of the flows of one service at one entry.
#[derive(Debug, Clone)]
pub struct ShareGate {
    service: ServiceName,
    flows: BTreeMap<FlowId, FlowShare>,
    reported: ClockTime,
    answered: Option<ClockTime>,
    granted: u64,
    served: u64,
    answers: u64,
    lateness_permille: u64,
}

impl ShareGate {
    /// Creates a gate through which every request passes until the first answer.
    pub fn new(service: ServiceName, now: ClockTime) -> Self {
        Self {
            service,
            flows: BTreeMap::new(),
            reported: now,
            answered: None,
            granted: 0,
            served: 0,
            answers: 0,
            lateness_permille: 0,
        }
    }

    /// Notes a request, and tells whether it is within the share of its flow. One that has missed its
    /// objective already, since its caller came back with it, is `overdue`.
    pub fn admit(
        &mut self,
        flow: FlowId,
        weight: FlowWeight,
        cost: CostUnits,
        overdue: bool,
        now: ClockTime,
    ) -> bool {
        let is_current = self
            .answered
            .is_some_and(|answered| now.since(answered) < SHARE_TTL);
        let share = self.flows.entry(flow).or_insert(FlowShare {
            weight,
            asked: 0,
            allowed: None,
            saved: 0,
            refilled: now,
            used: now,
        });
        share.weight = weight;
        share.asked += cost.0;
        share.used = now;
        share.takes(cost, overdue, now) || !is_current
    }

    /// Notes a request that is sent to a target.
    pub fn record_grant(&mut self, cost: CostUnits) {
        self.granted += cost.0;
    }

    /// Notes the start of the answer to a request of this cost, and how late it is.
    pub fn record_first_byte(&mut self, cost: CostUnits, latency: Duration, objective: Duration) {
        self.served += cost.0;
        self.record_wait(latency, objective);
    }

    /// Notes how long a request has waited for its answer.
    pub fn record_wait(&mut self, latency: Duration, objective: Duration) {
        let objective = objective.as_millis().max(1);
        let permille = (latency.as_millis() * 1000 / objective) as u64;
        self.answers += 1;
        self.lateness_permille += permille.min(MOST_LATENESS);
    }

    /// Demand since the last report.
    pub fn take_report(
        &mut self,
        reporter: NodeName,
        incarnation: Incarnation,
        now: ClockTime,
    ) -> DemandReport {
        self.flows
            .retain(|_, share| now.since(share.used) < FLOW_MEMORY);
        let interval_ms = now.since(self.reported).as_millis() as u64;
        self.reported = now;
        let flows = self.flows.iter_mut().map(|(flow, share)| FlowDemand {
            flow: *flow,
            weight: share.weight,
            asked: CostUnits(std::mem::take(&mut share.asked)),
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

    /// Takes in the answer to a report.
    pub fn apply_reply(&mut self, reply: &ShareReply, now: ClockTime) {
        self.answered = Some(now);
        for allowance in &reply.flows {
            if let Some(share) = self.flows.get_mut(&allowance.flow) {
                share.refill(now);
                share.allowed = allowance.rate.map(|rate| rate.0);
            }
        }
    }
}

impl FlowShare {
    fn refill(&mut self, now: ClockTime) {
        let span = now.since(self.refilled);
        self.refilled = now;
        let Some(rate) = self.allowed else {
            self.saved = 0;
            return;
        };
        let grown = rate as i64 * span.as_millis() as i64 / 1000;
        let most = rate as i64 * SAVED_TIME.as_millis() as i64 / 1000;
        self.saved = (self.saved + grown).min(most);
    }

    /// Takes the cost of a request from what is saved. The last request may overdraw it, so that a
    /// flow whose requests are larger than its savings is served as well. Overdue requests leave a
    /// part for those that can still be answered in time.
    fn takes(&mut self, cost: CostUnits, overdue: bool, now: ClockTime) -> bool {
        self.refill(now);
        let Some(rate) = self.allowed else {
            return true;
        };
        let at_rate = |span: Duration| rate as i64 * span.as_millis() as i64 / 1000;
        let kept = match overdue {
            true => at_rate(OVERDUE_RESERVE),
            false => 0,
        };
        let size = (cost.0 as i64).min(at_rate(SIZE_RESERVE));
        if self.saved < kept + size {
            return false;
        }
        self.saved -= cost.0 as i64;
        true
    }
}
