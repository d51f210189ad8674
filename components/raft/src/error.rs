//! Errors of proposals, membership changes and leadership transfers.

use thiserror::Error;
use units::DiskId;

use crate::LogIndex;

/// Reason why a proposal, membership change or transfer was refused. Nothing was appended to the
/// log.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Only the leader accepts proposals.
    #[error("Failed to propose: this node is not the leader (known leader: {leader:?})")]
    NotLeader {
        /// Leader of the current term, if this node knows it.
        leader: Option<DiskId>,
    },
    /// The uncommitted entries have reached a limit of the settings.
    #[error("Failed to propose: {entries} entries with {bytes} bytes are not committed yet")]
    Busy {
        /// Number of uncommitted entries.
        entries: usize,
        /// Size of the uncommitted entries, in bytes.
        bytes: usize,
    },
    /// The command is larger than [`MAX_COMMAND_BYTES`](crate::MAX_COMMAND_BYTES).
    #[error("Failed to propose: the command has {bytes} bytes, the limit is {limit}")]
    TooLarge {
        /// Size of the command, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// A transfer of leadership is in progress.
    #[error("Failed to propose: leadership is being transferred to {to}")]
    Transferring {
        /// Voter that is to become leader.
        to: DiskId,
    },
    /// The leader has not yet committed an entry of its own term.
    #[error("Failed to change members: the leader has not yet committed an entry of its term")]
    NotReady,
    /// The previous membership change is not yet committed.
    #[error("Failed to change members: the change at index {index} is not committed yet")]
    ChangePending {
        /// Log index of the uncommitted change.
        index: LogIndex,
    },
    /// No majority of the members after the change has replied recently. The removal could stay
    /// uncommitted, and the removed voter would not help to form a majority when it comes back.
    #[error("Failed to change members: no majority of the remaining voters has replied recently")]
    NoMajority,
    /// The node to add is already a member.
    #[error("Failed to change members: {id} is already a member")]
    AlreadyMember {
        /// Id of the node to add.
        id: DiskId,
    },
    /// The node to remove is not a member, or the node to promote is not a learner.
    #[error("Failed to change members: {id} is not a member, or not a learner to promote")]
    NotMember {
        /// Id of the node to remove or promote.
        id: DiskId,
    },
    /// The node to add was removed earlier. Removed ids are never added again.
    #[error("Failed to change members: {id} was removed earlier and must rejoin with a new id")]
    Removed {
        /// Id of the removed node.
        id: DiskId,
    },
    /// The learner has not recently held the whole log, or does not reply.
    #[error(
        "Failed to promote {id}: it has not caught up; it has {match_index} of {commit_index} committed entries"
    )]
    LearnerBehind {
        /// Id of the learner.
        id: DiskId,
        /// Last index acknowledged by the learner.
        match_index: LogIndex,
        /// Commit index of the leader.
        commit_index: LogIndex,
    },
    /// The node to remove is the leader, which must transfer leadership first.
    #[error("Failed to remove {id}: it is the leader and must transfer leadership first")]
    IsLeader {
        /// Id of the leader.
        id: DiskId,
    },
    /// The leader is the only voter.
    #[error("Failed to transfer leadership: there is no other voter")]
    NoSuccessor,
}
