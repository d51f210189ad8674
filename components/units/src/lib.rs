//! Ids, sizes, rates and times shared by all crates.
//!
//! Values that cross a module boundary have a newtype with [`Display`](std::fmt::Display) and
//! [`FromStr`](std::str::FromStr), so that the compiler rejects, for example, a number of tokens
//! where a number of bytes is expected.

mod clock;
mod fault;
mod macros;
mod names;
mod numbers;

pub use clock::{ClockSource, ClockTime, ManualClock, SystemClock};
pub use fault::error_chain;
pub use names::{
    DataCentreName, IdempotencyKey, NodeName, OrderId, OrganisationName, RegionName, RouteName,
    ServiceName, SoftwareVersion, TargetName,
};
pub use numbers::{
    AdmitFraction, ByteSize, ConfigVersion, CostUnits, DiskId, FencingNumber, FlowWeight,
    Incarnation, MilliRate, PlanNumber, PrefixHash, RequestId, SlotCount,
};

#[doc(hidden)]
pub use serde;
