//! Usage counters of flows, their fleet-wide sums, and fair choice.
//!
//! Agents keep a [`UsageLedger`]; `offers::OfferTable` holds it. The control node that is the home
//! of a flow keeps a [`UsageHome`], which sums the counts of all agents and decides whether a flow
//! was idle in the whole fleet.
//!
//! An agent calls [`UsageLedger::backlogged`] and [`UsageLedger::opened`] when a flow's offers
//! arrive, [`UsageLedger::charge`] for each part of an answer, and [`UsageLedger::closed`] when the
//! flow has neither offers nor runs. In each round of a [`ReportPacer`] it sends
//! [`UsageLedger::report`] to the homes of the flows ([`HomeList`]) and takes in their answers with
//! [`UsageLedger::answered`].
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
pub use gate::{DEMAND_INTERVAL, SHARE_MEMORY, ShareGate};
pub use home::{HOME_MEMORY, UsageHome};
pub use ledger::{IDLE_SPAN, LEDGER_MEMORY, RUN_INTERVAL, UsageLedger};
pub use pacer::{REPORT_INTERVAL, REPORT_RATE, ReportPacer};
pub use rendezvous::{HomeList, SKIP_SPAN, home_of};
pub use share::{CapacityChange, DEMAND_MEMORY, DemandHome, share_level};

use units::{CostUnits, FlowWeight};

/// Counter units for one cost unit at weight 1.
const COUNTER_SCALE: u128 = 1000;

/// Divides a cost by a weight: `cost * 1000 / weight`.
pub fn weighted(cost: CostUnits, weight: FlowWeight) -> u64 {
    let scaled = u128::from(cost.0) * COUNTER_SCALE / u128::from(weight.0.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// Smallest cost whose weighted counter is at least `counter`.
pub(crate) fn unweighted(counter: u64, weight: FlowWeight) -> u64 {
    let product = u128::from(counter) * u128::from(weight.0.max(1));
    u64::try_from(product.div_ceil(COUNTER_SCALE)).unwrap_or(u64::MAX)
}
