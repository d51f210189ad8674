//! Events of the thread that owns the Raft node.

use raft::RaftMessage;
use registry::{RegistryAction, RegistryOutcome};
use tokio::sync::oneshot;
use units::{DiskId, NodeName};

use crate::formation::PeerAnnouncement;

/// Event for the driver.
pub(crate) enum DriverEvent {
    /// Advances the timers of the Raft node and runs periodic work.
    Tick,
    /// Raft message from another control node.
    Message {
        from: DiskId,
        to: DiskId,
        message: RaftMessage,
    },
    /// Announcement of another control node.
    Announce {
        name: NodeName,
        announcement: PeerAnnouncement,
    },
    /// Proposes a command for the replicated log.
    Propose {
        action: RegistryAction,
        reply: oneshot::Sender<Result<RegistryOutcome, ProposeFailure>>,
    },
    /// Starts a read barrier. The reply is true if a quorum confirmed the applied state as current.
    Confirm {
        reply: oneshot::Sender<bool>,
    },
    /// Another control node reports that this data folder was removed from the group.
    FolderRemoved(DiskId),
    /// Announces that this node is about to stop, so that a learner takes its seat.
    Leave,
    TransferLeadership,
    /// Writes pending batches and ends the driver thread.
    Stop,
}

/// Reason why a proposal has no outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ProposeFailure {
    /// This node does not accept proposals now, or an entry of another leader replaced the proposal.
    NotLeader,
    /// The command can never be proposed.
    Refused(String),
    /// The proposal may or may not have been committed.
    Unknown,
}
