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
    /// Version of the configuration, which never decreases.
    ConfigVersion(u64)
);
crate::number!(
    /// Number of a published plan, assigned by the operator; the highest one is in force.
    PlanNumber(u64)
);
crate::number!(
    /// Rate per second, in thousandths (1000 is one per second).
    MilliRate(u64)
);
crate::number!(
    /// Fencing number of a request to a target. The target rejects a number that is lower than the
    /// highest one it has received.
    FencingNumber(u64)
);
crate::number!(
    /// Weight of an organisation's share, in thousandths (1000 is weight 1).
    FlowWeight(u32)
);
crate::number!(
    /// Part of the requests of a flow that are admitted, in millionths.
    AdmitFraction(u32)
);
crate::number!(
    /// Start time of a process, in milliseconds since the Unix epoch; increases with each restart.
    Incarnation(u64)
);
crate::number!(
    /// Number of concurrent requests of a target.
    SlotCount(u32)
);
crate::number!(
    /// Hash of a prompt prefix, used to find a target that has the prefix cached.
    PrefixHash(u64)
);

/// Declares a random 128-bit id, formatted in hexadecimal.
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
    /// Random id of a caller's request, unique within the fleet.
    RequestId
);
random_id!(
    /// Random id of a control node's data folder, generated when the folder is created.
    DiskId
);

impl AdmitFraction {
    /// All requests.
    pub const ALL: Self = Self(1_000_000);

    /// `part` of `whole`, at most all of it.
    pub fn of(part: u64, whole: u64) -> Self {
        let all = u128::from(Self::ALL.0);
        let fraction = u128::from(part) * all / u128::from(whole.max(1));
        Self(fraction.min(all) as u32)
    }
}

impl FlowWeight {
    /// Weight 1, the default for organisations without a configured weight.
    pub const UNIT: Self = Self(1_000);
}

impl Incarnation {
    /// Incarnation of a process that is starting now.
    pub fn starting_now() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self(since_epoch.map_or(0, |duration| duration.as_millis() as u64))
    }
}
