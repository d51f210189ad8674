//! Control daemon: replicated state and node directory.
//!
//! One thread (`driver`) owns the Raft node and its files, and publishes its state on a board. The
//! server for nodes and operators, the links to the other control nodes and the status report read
//! the board.

mod announced;
mod api;
mod departures;
mod driver;
mod driver_event;
pub mod formation;
mod handle;
mod health;
pub mod members;
mod orders;
mod origins;
mod peer_lanes;
mod peer_link;
mod peers;
mod quorum;
mod requests;
mod rollouts;
mod server;
mod settings;
mod state;
mod status;
mod versions;

pub use api::{ApiError, ControlApi, PublishedText};
pub use handle::{ControlHandle, start, start_on, start_on_files, start_with_files};
pub use settings::{
    ControlArguments, ControlSettings, DEFAULT_CATCH_UP_TIME, DEFAULT_PLAN_TIME,
    DEFAULT_ROLLOUT_BOUNDS,
};
pub use status::{
    ControlStatus, DataCentreReport, FleetStatus, NodeReport, QuarantineStatus, ServiceReport,
};
