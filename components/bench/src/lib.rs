//! Measures how the costs of decisions, messages and state grow, and extrapolates them to the costs
//! of each role at the planned size of the fleet.
//!
//! Message sizes are exact counts. Processor times depend on the machine and its load, so each run
//! also times a reference operation for comparison.

mod capacity;
mod decisions;
mod fixtures;
mod fleet;
mod links;
mod measured;
mod messages;
mod meter;
mod page;
mod slope;
mod state;

pub use capacity::{RoleCosts, WorkRow, role_costs};
pub use fleet::{FleetSize, NodeBudget};
pub use links::LinkCosts;
pub use measured::MeasuredCosts;
pub use messages::MessageSizes;
pub use page::{END_MARK, capacity_page};
pub use slope::{CostUnit, SlopeFit, SlopePoint, SlopeSeries};
