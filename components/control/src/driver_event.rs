//! Events of the thread that owns the Raft node.

use raft::RaftMessage;
use registry::{RegistryAction, RegistryOutcome};
use tokio::sync::oneshot;
use units::{DiskId, NodeName};

use crate::formation::PeerAnnouncement;

/// What happens to the driver.
pub(crate) enum DriverEvent {
    /// Time has passed.
    Tick,
    /// A message of another control node.
    Message {
        from: DiskId,
        to: DiskId,
        message: RaftMessage,
    },
    /// Another control node tells about itself.
    Announce {
        name: NodeName,
        announcement: PeerAnnouncement,
    },
    /// A command for the log.
    Propose {
        action: RegistryAction,
        reply: oneshot::Sender<Result<RegistryOutcome, ProposeFailure>>,
    },
    /// Confirms that the applied state is the newest.
    Confirm { reply: oneshot::Sender<bool> },
    /// Another control node says that this folder was removed from the group.
    Removed(DiskId),
    /// Hands leadership to another node.
    Transfer,
    /// Ends the thread.
    Stop,
}

/// Why a proposal has no outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ProposeFailure {
    /// This node does not lead; nothing was proposed.
    NotLeader,
    /// The node refused it; nothing was proposed.
    Refused(String),
    /// It is not known whether the proposal is committed.
    Unknown,
}
