//! Control daemon: replicated state and node directory.
//!
//! One thread (`driver`) owns the Raft node and its files. Everything else reads the result from a
//! board: the server that answers nodes and operators, the links to the other control nodes, and
//! the status page.

mod api;
mod driver;
mod driver_event;
pub mod formation;
mod handle;
mod health;
pub mod members;
mod orders;
mod peer_link;
mod peers;
mod requests;
mod server;
mod settings;
mod state;
mod status;

pub use api::{ApiError, ControlApi, PublishedText};
pub use handle::{ControlHandle, start, start_on};
pub use settings::{ControlArguments, ControlSettings};
pub use status::{ControlStatus, DataCentreReport, FleetStatus, NodeReport, ServiceReport};
