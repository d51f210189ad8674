//! Replicated state: configuration, exclusions, fencing numbers and call records.
//!
//! The state is deterministic: it depends only on the commands, which carry the wall time of the
//! leader that proposed them.

mod config;

pub use config::{ConfigChange, ConfigError, ConfigUpdate, FleetConfig};
