//! Usage counters of flows, their fleet-wide sums, and fair choice.
//!
//! Entries and agents keep a [`UsageLedger`]. The entry that is the home of a flow keeps a
//! [`UsageHome`], which sums the counts of all entries and decides whether a flow was idle in the
//! whole fleet.
//!
//! An entry calls [`UsageLedger::backlogged`] and [`UsageLedger::opened`] when a request arrives,
//! [`UsageLedger::charge`] for each part of an answer, and [`UsageLedger::closed`] when the request
//! ends. Every [`REPORT_INTERVAL`] it sends [`UsageLedger::report`] to the homes of the flows
//! ([`home_of`]), merges their answers with [`UsageLedger::merge`], and passes them on to the agents
//! that hold offers of the flows. `offers::OfferTable` keeps the ledger of an agent.

mod home;
mod ledger;
mod rendezvous;

pub use home::{HOME_MEMORY, UsageHome};
pub use ledger::{
    ACTIVE_SPAN, IDLE_SPAN, LEDGER_MEMORY, RAISE_PROPOSAL, REPORT_INTERVAL, UsageLedger,
};
pub use rendezvous::{home_of, stable_hash};

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
