//! Slopes of decisions and messages, and what they come to at the size to build towards.
//!
//! Sizes of messages are exact counts. Processor times depend on the machine and on its load, and
//! are printed beside a reference operation of the same run.

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
