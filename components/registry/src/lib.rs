//! Replicated state: configuration, exclusions, fencing numbers and call records.
//!
//! The state is deterministic: it depends only on the commands, which carry the wall time of the
//! leader that proposed them.
//!
//! Calls that may not be repeated have one record for each key. A record belongs to one attempt
//! (a request id). An attempt that ended as not run is spent: a retry needs a new request id, since
//! a late copy of the first attempt's end must not end the retry.

mod calls;
mod command;
mod config;
mod history;
mod orders;
mod state;

pub use calls::{CallRecord, MAX_STORED_BODY, MAX_STORED_TOTAL};
pub use command::{RegistryAction, RegistryCommand, RegistryOutcome, StageId, WallTime};
pub use config::{ConfigChange, ConfigError, ConfigUpdate, FleetConfig};
pub use state::{MAX_OUT_TARGETS, RegistryError, RegistryLimits, RegistryState};
