//! Messages between nodes and the actions a daemon carries out.

use std::sync::Arc;

use units::{ClockTime, DiskId};

use crate::{EntryId, LogEntry, LogIndex, Membership, PersistBatch, Snapshot, Term};

units::data! {
    /// Message from one node to another.
    pub enum RaftMessage {
        /// Asks whether an election in `term` could succeed; changes nothing.
        PreVote {
            /// Term of the possible election.
            term: Term,
            /// Last entry of the asking node.
            last: EntryId,
        },
        /// Answer to `PreVote`.
        PreVoteReply {
            /// Asked term if granted, otherwise the term of the answering node.
            term: Term,
            /// Whether the node would vote.
            granted: bool,
        },
        /// Asks for a vote.
        Vote {
            /// Term of the election.
            term: Term,
            /// Last entry of the candidate.
            last: EntryId,
            /// The old leader asked for this election, so it need not have been silent.
            transfer: bool,
        },
        /// Answer to `Vote`.
        VoteReply {
            /// Term of the answering node.
            term: Term,
            /// Whether the candidate has the vote.
            granted: bool,
        },
        /// Entries from the leader; without entries, a heartbeat.
        Append {
            /// Term of the leader.
            term: Term,
            /// Entry before the first one in the message.
            prev: EntryId,
            /// New entries.
            entries: Vec<LogEntry>,
            /// Commit index of the leader.
            commit_index: LogIndex,
            /// Heartbeat round, returned in the reply.
            round: u64,
        },
        /// Answer to `Append` and, when a snapshot is complete, to `Snapshot`.
        AppendReply {
            /// Term of the answering node.
            term: Term,
            /// Heartbeat round of the message that is answered.
            round: u64,
            /// Whether the entries were taken.
            outcome: AppendOutcome,
        },
        /// Part of a snapshot from the leader.
        Snapshot {
            /// Term of the leader.
            term: Term,
            /// Heartbeat round.
            round: u64,
            /// The part.
            chunk: SnapshotChunk,
        },
        /// Answer to `Snapshot` while it is incomplete.
        SnapshotReply {
            /// Term of the answering node.
            term: Term,
            /// Heartbeat round of the message that is answered.
            round: u64,
            /// Last entry of the snapshot.
            last: EntryId,
            /// Bytes received so far.
            received: u64,
        },
        /// Follower asks the leader to confirm that nothing newer is committed.
        Barrier {
            /// Number chosen by the follower.
            nonce: u64,
        },
        /// Answer to `Barrier`.
        BarrierReply {
            /// Number of the question.
            nonce: u64,
            /// Index that the follower must have applied; none if the node cannot confirm.
            index: Option<LogIndex>,
        },
        /// Leader asks a voter to start an election at once.
        TimeoutNow {
            /// Term of the leader.
            term: Term,
        },
        /// The receiver was removed from the group.
        Removed,
    }

    /// Result of an `Append`.
    pub enum AppendOutcome {
        /// The log agrees with the leader's and is durable up to here.
        Accepted {
            /// Last index that agrees.
            match_index: LogIndex,
        },
        /// The log has no such previous entry.
        Rejected {
            /// Index of the previous entry that did not match.
            prev: LogIndex,
            /// Newest own entry that may agree.
            hint: EntryId,
        },
    }

    /// Part of a snapshot.
    pub struct SnapshotChunk {
        /// Last entry of the snapshot.
        pub last: EntryId,
        /// Members at that entry.
        pub membership: Membership,
        /// Size of the whole state in bytes.
        pub size: u64,
        /// Position of this part in bytes.
        pub offset: u64,
        /// The bytes.
        pub data: Arc<[u8]>,
    }
}

/// What a daemon must do for a node, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RaftAction {
    /// Send a message to the node with this disk id.
    Send {
        /// Receiver.
        to: DiskId,
        /// Message.
        message: RaftMessage,
    },
    /// Write durably, then call [`RaftNode::handle_persisted`](crate::RaftNode::handle_persisted).
    Persist {
        /// Number to acknowledge; numbers grow.
        id: u64,
        /// What to write.
        batch: PersistBatch,
    },
    /// Apply a committed entry to the replicated state.
    Apply {
        /// The entry.
        entry: LogEntry,
    },
    /// Replace the replicated state with a snapshot.
    Restore {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// A barrier is confirmed for the state as applied by the actions before this one.
    BarrierDone {
        /// Id given to [`RaftNode::request_barrier`](crate::RaftNode::request_barrier).
        id: u64,
        /// Local time at which the barrier was asked for.
        started: ClockTime,
    },
    /// A barrier was not confirmed; the caller may ask again.
    BarrierFailed {
        /// Id given to [`RaftNode::request_barrier`](crate::RaftNode::request_barrier).
        id: u64,
    },
}
