//! Usage counters of flows, their fleet-wide sums, and fair choice.
//!
//! Agents keep a [`UsageLedger`]; `offers::OfferTable` holds it. The control node that is the home
//! of a flow keeps a [`UsageHome`], which sums the counts of all agents and decides whether a flow
//! was idle in the whole fleet.
//!
//! An agent calls [`UsageLedger::mark_backlogged`] and [`UsageLedger::open_request`] when a flow's offers
//! arrive, [`UsageLedger::charge`] for each part of an answer, and [`UsageLedger::close_request`] when the
//! flow has neither offers nor runs. In each round of a [`ReportPacer`] it sends
//! [`UsageLedger::take_report`] to the homes of the flows ([`HomeList`]) and takes in their answers with
//! [`UsageLedger::apply_answer`].
//!
//! Entries that send to targets themselves find out early what is beyond an organisation's share: each
//! one keeps a [`ShareGate`] and reports demand and lateness to the [`DemandHome`] of the service.

mod capacity;
mod gate;
mod home;
mod ledger;
mod pacer;
mod rendezvous;
mod share;

pub use capacity::{CapacityEstimate, LatenessSample};
pub use gate::{DEMAND_INTERVAL, SHARE_TTL, ShareGate};
pub use home::{HOME_RETENTION, UsageHome};
pub use ledger::{IDLE_TIMEOUT, LEDGER_RETENTION, RUNNING_REPORT_INTERVAL, UsageLedger};
pub use pacer::{MAX_REPORT_BYTES_PER_S, REPORT_INTERVAL, ReportPacer};
pub use rendezvous::{HomeList, SKIP_DURATION, home_of};
pub use share::{CapacityChange, DEMAND_TTL, DemandHome, share_level};

use units::{CostUnits, FlowWeight};

/// Counter units for one cost unit at weight 1.
const COUNTER_SCALE: u128 = 1000;

/// Divides a cost by a weight: `cost * 1000 / weight`.
pub fn weighted_cost(cost: CostUnits, weight: FlowWeight) -> u64 {
    let scaled = u128::from(cost.0) * COUNTER_SCALE / u128::from(weight.0.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// Smallest cost whose weighted_cost counter is at least `counter`.
pub(crate) fn cost_of_counter(counter: u64, weight: FlowWeight) -> u64 {
    let product = u128::from(counter) * u128::from(weight.0.max(1));
    u64::try_from(product.div_ceil(COUNTER_SCALE)).unwrap_or(u64::MAX)
}
