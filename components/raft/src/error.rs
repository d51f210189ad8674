//! Reasons why a node refuses a proposal or a membership change.

use thiserror::Error;
use units::DiskId;

use crate::LogIndex;

/// Refusal of a proposal, membership change or transfer. Nothing was written.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Only the leader accepts proposals.
    #[error("Failed to propose: this node is not the leader (known leader: {leader:?})")]
    NotLeader {
        /// Leader as far as this node knows.
        leader: Option<DiskId>,
    },
    /// Too many entries or bytes wait for commitment.
    #[error("Failed to propose: {entries} entries with {bytes} bytes are not committed yet")]
    Busy {
        /// Uncommitted entries.
        entries: usize,
        /// Bytes in them.
        bytes: usize,
    },
    /// The command is larger than [`MAX_COMMAND_BYTES`](crate::MAX_COMMAND_BYTES).
    #[error("Failed to propose: the command has {bytes} bytes, the limit is {limit}")]
    TooLarge {
        /// Size of the command.
        bytes: usize,
        /// Largest size.
        limit: usize,
    },
    /// Leadership is being handed to another voter.
    #[error("Failed to propose: leadership is being transferred to {to}")]
    Transferring {
        /// Voter that takes over.
        to: DiskId,
    },
    /// The leader has not committed an entry of its own term yet.
    #[error("Failed to change members: no entry of the present term is committed yet")]
    NotReady,
    /// The previous membership change is not committed yet.
    #[error("Failed to change members: the change at index {index} is not committed yet")]
    ChangePending {
        /// Index of the pending change.
        index: LogIndex,
    },
    /// The id is a member already.
    #[error("Failed to change members: {id} is a member already")]
    AlreadyMember {
        /// Id of the change.
        id: DiskId,
    },
    /// The id is no member, or no learner in case of a promotion.
    #[error("Failed to change members: {id} is not a member that this change applies to")]
    NotMember {
        /// Id of the change.
        id: DiskId,
    },
    /// The id was removed earlier; removed ids never return.
    #[error("Failed to change members: {id} was removed and must rejoin with a new id")]
    Removed {
        /// Id of the change.
        id: DiskId,
    },
    /// The learner lacks entries that are committed already.
    #[error(
        "Failed to promote {id}: it holds the log up to {match_index}, committed is {commit_index}"
    )]
    LearnerBehind {
        /// Id of the learner.
        id: DiskId,
        /// Last index that the learner has acknowledged.
        match_index: LogIndex,
        /// Commit index of the leader.
        commit_index: LogIndex,
    },
    /// A leader does not remove itself; it transfers leadership first.
    #[error("Failed to remove {id}: it is the leader and must transfer leadership first")]
    IsLeader {
        /// Id of the leader.
        id: DiskId,
    },
    /// There is no other voter to transfer leadership to.
    #[error("Failed to transfer leadership: there is no other voter")]
    NoSuccessor,
}
