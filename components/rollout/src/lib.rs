//! Roll-outs of a software version of a service.
//!
//! The record of each service's newest roll-out is replicated state. Everything else is soft state:
//! entries count what each version answers, and the control node that gets their reports proposes the
//! next phase of the record.

mod evidence;
mod gate;
mod home;
mod latency;
mod plan;
mod record;

pub use gate::{
    RunStart, SelectedVersion, VersionAnswer, VersionChoice, VersionGate, VersionGates, VersionRun,
};
pub use home::{RolloutBounds, RolloutFleet, RolloutHome};
pub use plan::{PlannedStep, RolloutPlan};
pub use record::{
    RolloutNumber, RolloutOrder, RolloutPhase, RolloutRecord, RolloutStep, RolloutTable,
    StartOutcome,
};
