//! Ids, sizes, rates and time used by every other crate.
//!
//! Values that cross a module border have a type of their own, with [`Display`](std::fmt::Display)
//! and [`FromStr`](std::str::FromStr), so that a count of tokens is never taken for a count of bytes.

mod clock;
mod fault;
mod macros;
mod names;
mod numbers;

pub use clock::{ClockSource, ClockTime, ManualClock, SystemClock};
pub use fault::error_chain;
pub use names::{
    DataCentreName, IdempotencyKey, NodeName, OrderId, OrganisationName, RegionName, RouteName,
    ServiceName, TargetName,
};
pub use numbers::{
    ByteSize, ConfigVersion, CostUnits, DiskId, FencingNumber, FlowWeight, Incarnation, MilliRate,
    PlanNumber, PrefixHash, RequestId, SlotCount,
};

#[doc(hidden)]
pub use serde;
