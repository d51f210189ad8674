//! Requests to control nodes, and the lease of a node.

mod failover;
mod lease;
mod transport;
mod view;

pub use failover::{ClientError, ControlClient};
pub use lease::{LEASE_TIME, LeaseState, RENEW_INTERVAL, keep_lease};
pub use transport::{ControlTransport, ReplyFuture};
pub use view::{DirectoryRevision, FleetView};
