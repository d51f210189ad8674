//! Command-line tool for operators, `bilberryctl`.
//!
//! Exit codes: 0 done, 1 failed, 2 invalid command line, 3 conflict, 4 invalid services text.

mod apply;
mod capacity;
mod commands;
mod connection;
mod keys;
mod members;
mod options;
mod orders;
mod quarantine;
mod rollout;
mod status;
mod table;

pub use capacity::{CapacityExclusion, services_losing_capacity};
pub use commands::{CommandReport, ExitStatus, run};
pub use options::{
    ApplyOptions, Command, ConnectionOptions, CtlOptions, ExclusionState, KeyCommand,
    MemberCommand, OrderOptions, RolloutCommand, options,
};
pub use table::text_table;
