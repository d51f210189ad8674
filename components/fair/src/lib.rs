//! Usage counters of flows, their fleet-wide sums, and max-min fair shares.
//!
//! Each agent keeps a [`UsageLedger`] in its `offers::OfferTable`. The home of a flow is a
//! control node selected by hash. Its [`UsageHome`] sums the counts of all agents and detects
//! whether a flow was idle in the whole fleet.
//!
//! An agent calls [`UsageLedger::mark_backlogged`] for each offer of a flow,
//! [`UsageLedger::open_flow`] if it held neither offers nor runs of the flow before,
//! [`UsageLedger::charge`] for each part of an answer, and [`UsageLedger::close_flow`] when it no
//! longer holds offers or runs of the flow. In each round of a [`ReportPacer`], it sends
//! [`UsageLedger::take_report`] to the homes of the flows ([`HomeList`]) and passes their answers
//! to [`UsageLedger::apply_totals`].
//!
//! Entries that send directly to targets reject requests beyond the share of an organisation
//! before they reach a target: each entry keeps a [`ShareGate`] and reports demand and lateness
//! to the [`DemandHome`] of the service.

mod capacity;
mod demand;
mod gate;
mod home;
mod ledger;
mod pacer;
mod rendezvous;
mod share;
mod summary;

pub use capacity::{CapacityEstimate, LatenessSample};
pub use gate::{DEMAND_INTERVAL, SHARE_TTL, ShareGate};
pub use home::{HOME_RETENTION, UsageHome};
pub use ledger::{IDLE_TIMEOUT, LEDGER_RETENTION, RUNNING_REPORT_INTERVAL, UsageLedger};
pub use pacer::{MAX_REPORT_BYTES_PER_S, REPORT_INTERVAL, ReportPacer};
pub use rendezvous::{AVOID_DURATION, HomeList, home_of};
pub use share::{CapacityChange, DEMAND_TTL, DemandHome, PoolBounds, share_level};
pub use summary::FlowSummary;

use units::{CostUnits, FlowWeight};

/// Counter units per cost unit at weight 1.
const COUNTER_SCALE: u128 = 1000;

/// Counter value of a cost at a weight: `cost * 1000 / weight`, saturating.
pub fn weighted_cost(cost: CostUnits, weight: FlowWeight) -> u64 {
    let scaled = u128::from(cost.0) * COUNTER_SCALE / u128::from(weight.0.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// Smallest cost whose weighted counter is at least `counter`.
pub(crate) fn cost_of_counter(counter: u64, weight: FlowWeight) -> u64 {
    let product = u128::from(counter) * u128::from(weight.0.max(1));
    u64::try_from(product.div_ceil(COUNTER_SCALE)).unwrap_or(u64::MAX)
}
