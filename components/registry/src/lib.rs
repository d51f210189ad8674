//! Replicated state: configuration, data centres and targets that are out, fencing numbers, call
//! records, software versions and departures of targets, and roll-outs.
//!
//! The state is deterministic: it depends only on the sequence of commands. Each command carries
//! the wall-clock time of the leader that proposed it.
//!
//! Each call that may not be repeated has one record, stored under the key of the call. A record
//! belongs to one attempt, identified by its request id. An attempt that ended as not run is never
//! granted again, and a retry needs a new request id. Otherwise, a late copy of the command that
//! ended the first attempt would end the retry as well.

mod calls;
mod command;
mod compression;
mod config;
mod history;
mod orders;
mod packed;
mod state;
mod versions;

pub use calls::{CallRecord, MAX_STORED_BODY_BYTES, MAX_STORED_TOTAL_BYTES};
pub use command::{RegistryAction, RegistryCommand, RegistryOutcome, StageId, WallTime};
pub use compression::CompressionError;
pub use config::{ConfigChange, ConfigError, ConfigUpdate, FleetConfig, ReturnVersions};
pub use packed::{PackError, PackedPlan};
pub use state::{MAX_OUT_TARGETS, MAX_ROLLOUTS, RegistryError, RegistryLimits, RegistryState};
pub use versions::VersionTable;
