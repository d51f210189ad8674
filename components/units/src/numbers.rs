//! Counts, sizes and numeric ids.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate as units;

crate::number!(
    /// Size in bytes.
    ByteSize(u64)
);
crate::number!(
    /// Cost of a request: tokens for a model, calls for a plain service.
    CostUnits(u64)
);
crate::number!(
    /// Version of the configuration; it only grows.
    ConfigVersion(u64)
);
crate::number!(
    /// Number that an operator gives to a published plan; the highest one is in force.
    PlanNumber(u64)
);
crate::number!(
    /// Rate in thousandths per second.
    MilliRate(u64)
);
crate::number!(
    /// Number that orders to a target carry; a target refuses an older one.
    FencingNumber(u64)
);
crate::number!(
    /// Share of an organisation relative to others, in thousandths (1000 is weight 1).
    FlowWeight(u32)
);
crate::number!(
    /// Start of a process, in milliseconds since the Unix epoch; grows with each restart.
    Incarnation(u64)
);
crate::number!(
    /// Number of requests that a target runs at once.
    SlotCount(u32)
);
crate::number!(
    /// Hash of the start of a prompt, used to find a target that has it cached.
    PrefixHash(u64)
);

/// Declares a random 128-bit id that is written in hexadecimal.
macro_rules! random_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u128::from_str_radix(text, 16).map(Self)
            }
        }
    };
}

random_id!(
    /// Id of a caller's request, random and unique in the fleet.
    RequestId
);
random_id!(
    /// Id of a control node's data folder, random and created with it.
    DiskId
);

impl FlowWeight {
    /// Weight 1, of an organisation whose weight is not stated.
    pub const UNIT: Self = Self(1_000);
}

impl Incarnation {
    /// Incarnation of a process that starts now.
    pub fn starting_now() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self(since.map_or(0, |since| since.as_millis() as u64))
    }
}
