//! Max-min fair shares of the capacity of a service.
//!
//! Entries report the demand of each flow. The home of a service sums the reports and computes
//! the *level*: a flow whose demand is below the level for its weight is served in full. Every
//! other flow gets the level for each unit of weight, and entries admit the part of its requests that
//! this comes to.
//!
//! The capacity is the rate that the service was observed to serve in time. A configured capacity
//! only bounds it from below, since it does not account for caches. The reported rates are soft
//! state: a home that starts empty is correct as soon as each entry has reported once and
//! lateness was observed.

use std::collections::BTreeMap;
use std::time::Duration;

use units::{ClockTime, FlowWeight, NodeName, ServiceName};
use wire::{DemandReport, FlowAllowance, FlowId, KnownCapacity, ShareReply};

use crate::capacity::{CapacityEstimate, LatenessSample};
use crate::demand::{FlowRates, FlowTable};
use crate::summary::{FlowSummary, SummaryRecord};

/// Time after which the report of an entry expires. It tolerates the loss of two rounds.
pub const DEMAND_TTL: Duration = Duration::from_millis(1_600);

/// Bound on the capacity that a plan states, in cost units per second, above that of any fleet. A larger
/// number means that there is no bound.
const MAX_STATED_CAPACITY: u64 = 1_000_000_000_000;

/// Weight at which the share of a flow equals the level.
const UNIT_WEIGHT: u64 = FlowWeight::UNIT.0 as u64;

/// Level of max-min fair shares, in cost units per second for weight 1000; `None` if the capacity
/// covers all demands.
pub fn share_level(
    capacity: u64,
    demands: impl IntoIterator<Item = (u64, FlowWeight)>,
) -> Option<u64> {
    let mut flows: Vec<(u64, u64)> = demands
        .into_iter()
        .map(|(rate, weight)| (rate, u64::from(weight.0.max(1))))
        .collect();
    let total_demand: u64 = flows.iter().map(|(rate, _)| rate).sum();
    if total_demand <= capacity {
        return None;
    }
    // Flows with the least demand for their weight are filled first. The capacity that they leave
    // is shared among the rest.
    flows.sort_by_key(|(rate, weight)| rate * UNIT_WEIGHT / weight);
    let mut remaining = capacity;
    let mut remaining_weight: u64 = flows.iter().map(|(_, weight)| weight).sum();
    for (rate, weight) in flows {
        let level = remaining * UNIT_WEIGHT / remaining_weight;
        if rate * UNIT_WEIGHT / weight > level {
            return Some(level);
        }
        remaining -= rate.min(remaining);
        remaining_weight -= weight;
    }
    None
}

/// Demand of the flows of one service at one entry. Rates are in cost units per second.
#[derive(Debug, Clone)]
struct EntryDemand {
    last_report: ClockTime,
    rates: BTreeMap<FlowId, FlowRates>,
    granted: u64,
    served: u64,
    answers: u64,
    lateness_permille: u64,
}

/// Estimate that a reporter has from another home. Homes change when a control node is silent; a new
/// one would admit all demand until answers are late.
#[derive(Debug, Clone, Copy)]
struct ReportedCapacity {
    capacity: KnownCapacity,
    reported_at: ClockTime,
}

/// Demand of one service at all entries, and its estimated capacity.
#[derive(Debug, Clone, Default)]
struct ServiceDemand {
    entries: BTreeMap<NodeName, EntryDemand>,
    flows: FlowTable,
    capacity: CapacityEstimate,
    known: Option<ReportedCapacity>,
    summary: SummaryRecord,
}

/// New estimate of the capacity of a service, and the sample that caused it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityChange {
    /// Estimate in cost units per second; `None` if all demand is served.
    pub capacity: Option<u64>,
    /// Level of shares, in cost units per second for weight 1000; `None` if the capacity covers the
    /// demand.
    pub level: Option<u64>,
    /// Sample that changed the estimate.
    pub sample: LatenessSample,
}

/// What the published plan states about the service of a report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolBounds {
    /// Capacity in cost units per second; `None` if not stated.
    pub capacity: Option<u64>,
    /// Shortest latency objective of the routes; zero if not stated.
    pub objective: Duration,
}

/// Demand of the services whose home is this control node.
#[derive(Debug, Clone, Default)]
pub struct DemandHome {
    services: BTreeMap<ServiceName, ServiceDemand>,
}

impl DemandHome {
    /// Creates a home without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a report, and returns what the reporting entry may admit of its flows. Also returns a
    /// change of the estimated capacity, for the log. `bounds` is only read if the estimate is due.
    pub fn apply_report(
        &mut self,
        report: &DemandReport,
        bounds: impl FnOnce() -> PoolBounds,
        now: ClockTime,
    ) -> (ShareReply, Option<CapacityChange>) {
        let service = self.services.entry(report.service.clone()).or_default();
        service.apply_report(report, now);
        let lateness = service.sample();
        let known = service.known_capacity(now);
        let sample = || {
            let bounds = bounds();
            LatenessSample {
                configured: bounds
                    .capacity
                    .map(|capacity| capacity.min(MAX_STATED_CAPACITY)),
                objective: bounds.objective,
                known,
                ..lateness
            }
        };
        let changed = service.capacity.observe(sample, now);
        let level = service
            .capacity
            .get()
            .and_then(|capacity| share_level(capacity, service.flows.demands()));
        service.flows.settle(report, level, now);
        let flows = report.flows.iter().map(|flow| FlowAllowance {
            flow: flow.flow,
            parts: level.and_then(|level| service.flows.parts(flow.flow, level)),
        });
        let reply = ShareReply {
            flows: flows.collect(),
            capacity: service.capacity.known(),
        };
        let change = changed.map(|sample| CapacityChange {
            capacity: service.capacity.get(),
            level,
            sample,
        });
        (reply, change)
    }

    /// What the flows of a service that are held back, and the best served one, have asked for and got since the last call that
    /// returned any; empty if that is too recent.
    pub fn take_summaries(
        &mut self,
        service: &ServiceName,
        now: ClockTime,
    ) -> Vec<(FlowId, FlowSummary)> {
        let Some(demand) = self.services.get_mut(service) else {
            return Vec::new();
        };
        let flows = &demand.flows;
        demand.summary.take_due(|flow| flows.reporters(flow), now)
    }
}

impl ServiceDemand {
    fn apply_report(&mut self, report: &DemandReport, now: ClockTime) {
        self.summary.add_report(report);
        if let Some(capacity) = report.known_capacity {
            self.known = Some(ReportedCapacity {
                capacity,
                reported_at: now,
            });
        }
        self.entries.retain(|name, demand| {
            let is_kept = *name != report.reporter && now.since(demand.last_report) < DEMAND_TTL;
            if !is_kept {
                self.flows.remove(&demand.rates);
            }
            is_kept
        });
        let demand = EntryDemand::new(report, now);
        self.flows.add(&demand.rates);
        self.entries.insert(report.reporter.clone(), demand);
        self.flows.update_averages(now);
    }

    /// Estimate of another home that was reported while its entries may still be moving here.
    fn known_capacity(&self, now: ClockTime) -> Option<KnownCapacity> {
        let recent = self
            .known
            .filter(|known| now.since(known.reported_at) < DEMAND_TTL);
        recent.map(|known| known.capacity)
    }

    fn sample(&self) -> LatenessSample {
        let entries = || self.entries.values();
        LatenessSample {
            count: entries().map(|demand| demand.answers).sum(),
            total_permille: entries().map(|demand| demand.lateness_permille).sum(),
            granted: entries().map(|demand| demand.granted).sum(),
            served: entries().map(|demand| demand.served).sum(),
            asked: self.flows.asked(),
            ..LatenessSample::default()
        }
    }
}

impl EntryDemand {
    fn new(report: &DemandReport, now: ClockTime) -> Self {
        let flows = report.flows.iter();
        Self {
            last_report: now,
            rates: flows
                .map(|flow| (flow.flow, FlowRates::of(flow, report.interval_ms)))
                .collect(),
            granted: report.granted.0 * 1000 / report.interval_ms.max(1),
            served: report.served.0 * 1000 / report.interval_ms.max(1),
            answers: report.answers,
            lateness_permille: report.lateness_permille,
        }
    }
}
