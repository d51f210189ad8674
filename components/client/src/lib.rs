//! Client of the control nodes, which also renews the lease of its own node.

mod failover;
mod history;
mod lease;
mod lease_log;
mod transport;
mod view;

pub use failover::{ClientError, ControlClient};
pub use history::ProcessHistory;
pub use lease::{LEASE_TIME, LeaseState, RENEW_INTERVAL, keep_lease};
pub use transport::{ControlTransport, ReplyFuture, ReplyProgress};
pub use view::{DirectoryRevision, FleetView};
