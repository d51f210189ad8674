//! Max-min shares of a service's capacity.
//!
//! Entries report what each flow asks. The home of a service sums the reports and finds the *level*:
//! a flow that asks less than the level gets all that it asks, and every other flow gets the level
//! for each unit of weight, divided among the entries as its demand is. The capacity is what the
//! service was seen to serve in time; what an operator states is taken for a lower bound, since a
//! stated figure knows nothing of caches. Reports are rates and soft state; a home that starts empty
//! is right as soon as each entry has reported once and lateness was seen.

use std::collections::BTreeMap;
use std::time::Duration;

use units::{ClockTime, CostUnits, FlowWeight, Incarnation, NodeName, ServiceName};
use wire::{DemandReport, FlowAllowance, FlowDemand, FlowId, ShareReply};

use crate::capacity::{CapacityEstimate, LatenessSample};

/// Time after which the report of an entry counts no more: two rounds may be lost.
pub const DEMAND_TTL: Duration = Duration::from_millis(1_600);

/// Part of a new rate in the kept one, in percent. Requests come in clumps shorter than a round.
const NEW_PERCENT: u64 = 25;

/// Weight of a flow whose level is 1.
const UNIT_WEIGHT: u64 = FlowWeight::UNIT.0 as u64;

/// Level of max-min shares, in units a second for weight 1000; none if all demands fit.
pub fn share_level(
    capacity: u64,
    demands: impl IntoIterator<Item = (u64, FlowWeight)>,
) -> Option<u64> {
    let mut flows: Vec<(u64, u64)> = demands
        .into_iter()
        .map(|(rate, weight)| (rate, u64::from(weight.0.max(1))))
        .collect();
    let asked: u64 = flows.iter().map(|(rate, _)| rate).sum();
    if asked <= capacity {
        return None;
    }
    // Flows that ask the least for their weight are filled first; what they leave is for the rest.
    flows.sort_by_key(|(rate, weight)| rate * UNIT_WEIGHT / weight);
    let mut left = capacity;
    let mut weights: u64 = flows.iter().map(|(_, weight)| weight).sum();
    for (rate, weight) in flows {
        let level = left * UNIT_WEIGHT / weights;
        if rate * UNIT_WEIGHT / weight > level {
            return Some(level);
        }
        left -= rate.min(left);
        weights -= weight;
    }
    None
}

/// Demand of the flows of one service at one entry.
#[derive(Debug, Clone)]
struct EntryDemand {
    incarnation: Incarnation,
    heard: ClockTime,
    rates: BTreeMap<FlowId, (u64, FlowWeight)>,
    granted: u64,
    served: u64,
    answers: u64,
    lateness_permille: u64,
}

/// Demand of one service.
#[derive(Debug, Clone, Default)]
struct ServiceDemand {
    entries: BTreeMap<NodeName, EntryDemand>,
    capacity: CapacityEstimate,
}

/// A new estimate of a service's capacity, and what it follows from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityChange {
    /// The estimate; none if all that is asked is served.
    pub capacity: Option<u64>,
    /// The level of shares.
    pub level: Option<u64>,
    /// What was seen.
    pub sample: LatenessSample,
}

/// Demands of the services whose home is this control node.
#[derive(Debug, Clone, Default)]
pub struct DemandHome {
    services: BTreeMap<ServiceName, ServiceDemand>,
}

impl DemandHome {
    /// Creates a home that knows no demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a report, and answers with the level and the fleet-wide rates of its flows. Also
    /// returns a change of the capacity, for the log.
    pub fn apply_report(
        &mut self,
        report: &DemandReport,
        configured: Option<u64>,
        now: ClockTime,
    ) -> (ShareReply, Option<CapacityChange>) {
        let service = self.services.entry(report.service.clone()).or_default();
        service.take_in(report, now);
        let totals = service.totals();
        let sample = LatenessSample {
            configured,
            ..service.sample(&totals)
        };
        let changed = service.capacity.observe(sample, now);
        let demands = totals.values().copied();
        let level = service
            .capacity
            .get()
            .and_then(|capacity| share_level(capacity, demands));
        let own = &service.entries[&report.reporter].rates;
        let flows = report.flows.iter().map(|flow| FlowAllowance {
            flow: flow.flow,
            rate: level.and_then(|level| allowance(level, flow, own, &totals)),
        });
        let reply = ShareReply {
            flows: flows.collect(),
        };
        let change = changed.then(|| CapacityChange {
            capacity: service.capacity.get(),
            level,
            sample,
        });
        (reply, change)
    }
}

impl ServiceDemand {
    fn take_in(&mut self, report: &DemandReport, now: ClockTime) {
        let entries = &mut self.entries;
        entries.retain(|_, demand| now.since(demand.heard) < DEMAND_TTL);
        let known = entries.remove(&report.reporter);
        let known = known.filter(|known| known.incarnation == report.incarnation);
        entries.insert(report.reporter.clone(), merged(known, report, now));
    }

    /// Fleet-wide rates of all flows.
    fn totals(&self) -> BTreeMap<FlowId, (u64, FlowWeight)> {
        let mut totals: BTreeMap<FlowId, (u64, FlowWeight)> = BTreeMap::new();
        for demand in self.entries.values() {
            for (flow, (rate, weight)) in &demand.rates {
                totals.entry(*flow).or_insert((0, *weight)).0 += rate;
            }
        }
        totals
    }

    fn sample(&self, totals: &BTreeMap<FlowId, (u64, FlowWeight)>) -> LatenessSample {
        let entries = || self.entries.values();
        LatenessSample {
            count: entries().map(|demand| demand.answers).sum(),
            total_permille: entries().map(|demand| demand.lateness_permille).sum(),
            granted: entries().map(|demand| demand.granted).sum(),
            served: entries().map(|demand| demand.served).sum(),
            asked: totals.values().map(|(rate, _)| rate).sum(),
            configured: None,
        }
    }
}

/// The part of a flow's share that one entry may let through: as large as the part of the flow's
/// demand that it sees. None if the flow asks no more than its share.
fn allowance(
    level: u64,
    flow: &FlowDemand,
    own: &BTreeMap<FlowId, (u64, FlowWeight)>,
    totals: &BTreeMap<FlowId, (u64, FlowWeight)>,
) -> Option<CostUnits> {
    let share = level * u64::from(flow.weight.0) / UNIT_WEIGHT;
    let (total, _) = *totals.get(&flow.flow)?;
    let (rate, _) = *own.get(&flow.flow)?;
    (total > share).then(|| CostUnits(share * rate / total))
}

/// Rates of an entry after its next report.
fn merged(known: Option<EntryDemand>, report: &DemandReport, now: ClockTime) -> EntryDemand {
    let known = known.map_or_else(BTreeMap::new, |known| known.rates);
    let rate_of = |flow: &FlowDemand| {
        let rate = flow.asked.0 * 1000 / report.interval_ms.max(1);
        let old = known.get(&flow.flow).map_or(rate, |(old, _)| *old);
        (rate * NEW_PERCENT + old * (100 - NEW_PERCENT)) / 100
    };
    let flows = report.flows.iter();
    EntryDemand {
        incarnation: report.incarnation,
        heard: now,
        rates: flows
            .map(|flow| (flow.flow, (rate_of(flow), flow.weight)))
            .collect(),
        granted: report.granted.0 * 1000 / report.interval_ms.max(1),
        served: report.served.0 * 1000 / report.interval_ms.max(1),
        answers: report.answers,
        lateness_permille: report.lateness_permille,
    }
}
