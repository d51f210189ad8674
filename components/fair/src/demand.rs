//! Demand and credit of the flows of one service, over all entries.
//!
//! A share is not divided among entries as a rate for each: an entry of many gets a request of a flow
//! every few seconds, so that most of such a rate would be earned where no request comes. The home
//! keeps one credit for each flow instead, and the entries admit the same part of the requests of a
//! flow, wherever these come.

use std::collections::BTreeMap;
use std::time::Duration;

use units::{AdmitFraction, ClockTime, FlowWeight};
use wire::{AdmittedParts, DemandReport, FlowDemand, FlowId};

/// Time constant of the moving average of a flow's demand. Requests arrive in bursts that are shorter
/// than the interval of reports.
const AVERAGE_TIME: Duration = Duration::from_millis(100);

/// Minimum time between two updates of the moving averages.
const AVERAGE_STEP: Duration = Duration::from_millis(50);

/// Time in which a flow uses up its credit or works off its debt. It is longer than the two rounds
/// after which a change of the admitted parts shows in the reports.
const CREDIT_HORIZON: Duration = Duration::from_millis(1_000);

/// Largest credit and debt of a flow, as a time at its share.
const MAX_CREDIT: Duration = Duration::from_millis(1_000);

/// Demand of one flow at one entry, in cost units per second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FlowRates {
    weight: FlowWeight,
    timely: u64,
    overdue: u64,
}

impl FlowRates {
    /// Rates in the time that a report covers.
    pub(crate) fn of(flow: &FlowDemand, interval_ms: u64) -> Self {
        let rate_of = |cost: u64| cost * 1000 / interval_ms.max(1);
        Self {
            weight: flow.weight,
            timely: rate_of(flow.requested.0.saturating_sub(flow.overdue.0)),
            overdue: rate_of(flow.overdue.0),
        }
    }
}

/// Rate in cost units per second, summed over the newest reports of all entries, and its moving average.
#[derive(Debug, Clone, Copy, Default)]
struct AveragedRate {
    newest: u64,
    /// `None` before the first update.
    average: Option<u64>,
}

impl AveragedRate {
    fn update(&mut self, elapsed: Duration) {
        let (elapsed_ms, kept_ms) = (elapsed.as_millis() as u64, AVERAGE_TIME.as_millis() as u64);
        let sum = self.newest * elapsed_ms + self.get() * kept_ms;
        self.average = Some(sum / (elapsed_ms + kept_ms));
    }

    fn get(self) -> u64 {
        self.average.unwrap_or(self.newest)
    }
}

/// Demand of one flow at all entries, and what is left of its share.
#[derive(Debug, Clone, Default)]
struct FlowTotal {
    weight: FlowWeight,
    timely: AveragedRate,
    overdue: AveragedRate,
    /// Entries that report the flow.
    reporters: usize,
    /// Part of the share that was not granted yet, in cost units; negative after more than the share
    /// was granted. `None` while the demand is within the share.
    credit: Option<i64>,
    credited_at: ClockTime,
}

impl FlowTotal {
    fn asked(&self) -> u64 {
        self.timely.get() + self.overdue.get()
    }

    /// Adds what the share has brought since the last call.
    fn earn(&mut self, share: u64, now: ClockTime) {
        let max_credit = cost_at_rate(share, MAX_CREDIT);
        let earned = cost_at_rate(share, now.since(self.credited_at));
        let credit = self.credit.map_or(0, |credit| credit + earned);
        self.credit = Some(credit.clamp(-max_credit, max_credit));
        self.credited_at = now;
    }

    /// Parts of the demand that use up the share and the credit. Overdue requests get what the others
    /// leave.
    fn parts(&self, share: u64) -> AdmittedParts {
        let credit = self.credit.unwrap_or_default();
        let credit_rate = credit * 1000 / CREDIT_HORIZON.as_millis() as i64;
        let (timely, overdue) = (self.timely.get(), self.overdue.get());
        let budget = share.saturating_add_signed(credit_rate);
        AdmittedParts {
            timely: AdmitFraction::of(budget, timely),
            overdue: AdmitFraction::of(budget.saturating_sub(timely), overdue),
        }
    }
}

/// Demand of the flows of one service at all entries.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowTable {
    flows: BTreeMap<FlowId, FlowTotal>,
    averaged_at: ClockTime,
}

impl FlowTable {
    /// Adds the rates of an entry.
    pub(crate) fn add(&mut self, rates: &BTreeMap<FlowId, FlowRates>) {
        for (flow, rates) in rates {
            let total = self.flows.entry(*flow).or_default();
            total.weight = rates.weight;
            total.timely.newest += rates.timely;
            total.overdue.newest += rates.overdue;
            total.reporters += 1;
        }
    }

    /// Removes the rates of an entry, which were added before.
    pub(crate) fn remove(&mut self, rates: &BTreeMap<FlowId, FlowRates>) {
        for (flow, rates) in rates {
            if let Some(total) = self.flows.get_mut(flow) {
                total.timely.newest -= rates.timely;
                total.overdue.newest -= rates.overdue;
                total.reporters -= 1;
            }
        }
    }

    /// Updates the averages if [`AVERAGE_STEP`] has passed, and evicts flows that no entry reports.
    pub(crate) fn update_averages(&mut self, now: ClockTime) {
        let elapsed = now.since(self.averaged_at);
        if elapsed < AVERAGE_STEP {
            return;
        }
        self.averaged_at = now;
        self.flows.retain(|_, total| total.reporters > 0);
        for total in self.flows.values_mut() {
            total.timely.update(elapsed);
            total.overdue.update(elapsed);
        }
    }

    /// Sum of all demand.
    pub(crate) fn asked(&self) -> u64 {
        self.flows.values().map(FlowTotal::asked).sum()
    }

    /// Number of entries that report a flow.
    pub(crate) fn reporters(&self, flow: FlowId) -> usize {
        self.flows.get(&flow).map_or(0, |total| total.reporters)
    }

    /// Demand of each flow.
    pub(crate) fn demands(&self) -> impl Iterator<Item = (u64, FlowWeight)> {
        let totals = self.flows.values();
        totals.map(|total| (total.asked(), total.weight))
    }

    /// Credits each flow with its share since the last call, and charges what a report says was
    /// granted. `level` is `None` while all demand is served.
    pub(crate) fn settle(&mut self, report: &DemandReport, level: Option<u64>, now: ClockTime) {
        for total in self.flows.values_mut() {
            let share = level.map(|level| share_of(level, total.weight));
            match share.filter(|share| total.asked() > *share) {
                Some(share) => total.earn(share, now),
                None => total.credit = None,
            }
        }
        for flow in &report.flows {
            let total = self.flows.get_mut(&flow.flow);
            if let Some(credit) = total.and_then(|total| total.credit.as_mut()) {
                *credit -= flow.granted.0 as i64;
            }
        }
    }

    /// Parts of the requests of a flow that entries admit; `None` for all.
    pub(crate) fn parts(&self, flow: FlowId, level: u64) -> Option<AdmittedParts> {
        let total = self.flows.get(&flow)?;
        total.credit?;
        Some(total.parts(share_of(level, total.weight)))
    }
}

/// Share of a flow at a level, in cost units per second.
fn share_of(level: u64, weight: FlowWeight) -> u64 {
    level * u64::from(weight.0) / u64::from(FlowWeight::UNIT.0)
}

/// Cost that is served in a time at a rate in cost units per second.
fn cost_at_rate(rate: u64, time: Duration) -> i64 {
    (rate * time.as_millis() as u64 / 1000) as i64
}
