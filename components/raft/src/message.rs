//! Messages between nodes and the actions that a daemon carries out.

use std::sync::Arc;

use units::{ClockTime, DiskId};

use crate::{EntryId, LogEntry, LogIndex, Membership, PersistBatch, Snapshot, Term};

units::data! {
    /// Message from one node to another.
    pub enum RaftMessage {
        /// Asks whether an election in `term` could succeed, without a change of state.
        PreVote {
            /// Term of the possible election.
            term: Term,
            /// Last entry in the log of the sender.
            last: EntryId,
        },
        /// Reply to `PreVote`.
        PreVoteReply {
            /// Requested term if granted, otherwise the term of the sender.
            term: Term,
            /// Whether the sender would grant its vote.
            granted: bool,
        },
        /// Requests a vote.
        Vote {
            /// Term of the election.
            term: Term,
            /// Last entry in the log of the candidate.
            last: EntryId,
            /// Whether the leader requested this election with `TimeoutNow`. Receivers then
            /// consider the request even if they have recently heard from that leader.
            transfer: bool,
        },
        /// Reply to `Vote`.
        VoteReply {
            /// Term of the sender.
            term: Term,
            /// Whether the vote is granted.
            granted: bool,
        },
        /// Entries from the leader, or a heartbeat if there are none.
        Append {
            /// Term of the leader.
            term: Term,
            /// Entry that precedes `entries` in the log.
            prev: EntryId,
            /// New entries.
            entries: Vec<LogEntry>,
            /// Commit index of the leader.
            commit_index: LogIndex,
            /// Heartbeat round, which the reply returns.
            round: u64,
        },
        /// Reply to `Append`, and to the `Snapshot` message that completes a snapshot.
        AppendReply {
            /// Term of the sender.
            term: Term,
            /// Heartbeat round of the message that this replies to, or 0 if it had an old term.
            round: u64,
            /// Whether the log matched and the entries were accepted.
            outcome: AppendOutcome,
        },
        /// Chunk of a snapshot from the leader.
        Snapshot {
            /// Term of the leader.
            term: Term,
            /// Heartbeat round, which the reply returns.
            round: u64,
            /// Chunk with the snapshot that it belongs to.
            chunk: SnapshotChunk,
        },
        /// Reply to `Snapshot` while the snapshot is incomplete.
        SnapshotReply {
            /// Term of the sender.
            term: Term,
            /// Heartbeat round of the message that this replies to.
            round: u64,
            /// Last entry of the snapshot.
            last: EntryId,
            /// Bytes of the snapshot received so far.
            received: u64,
        },
        /// Asks the leader to confirm its leadership and report its commit index.
        Barrier {
            /// Random number that identifies the request.
            nonce: u64,
        },
        /// Reply to `Barrier`.
        BarrierReply {
            /// Nonce of the request.
            nonce: u64,
            /// Index that the follower must have applied, or `None` if the sender cannot confirm.
            index: Option<LogIndex>,
        },
        /// Asks a voter to start an election immediately, to transfer leadership to it.
        TimeoutNow {
            /// Term of the leader.
            term: Term,
        },
        /// Tells the receiver that it was removed from the group.
        Removed,
    }

    /// Result of an `Append`.
    pub enum AppendOutcome {
        /// The log matches that of the leader and is durable up to `match_index`.
        Accepted {
            /// Last index that matches.
            match_index: LogIndex,
        },
        /// The log does not contain the `prev` entry of the message.
        Rejected {
            /// Index of the `prev` entry that is missing or has another term.
            prev: LogIndex,
            /// Newest entry in the log of the sender that may match the log of the leader.
            hint: EntryId,
        },
    }

    /// Chunk of a snapshot.
    pub struct SnapshotChunk {
        /// Last entry of the snapshot.
        pub last: EntryId,
        /// Membership at that entry.
        pub membership: Membership,
        /// Size of the whole snapshot, in bytes.
        pub size: u64,
        /// Offset of this chunk in the snapshot, in bytes.
        pub offset: u64,
        /// Bytes from `offset` on.
        pub data: Arc<[u8]>,
    }
}

/// Queue in which a message waits to be sent. The messages of one lane should arrive in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendLane {
    /// Small messages on which timeouts depend. They must not wait behind those of the other lane.
    Urgent,
    /// Entries and snapshot chunks, and the messages that check whether they have arrived.
    Bulk,
}

/// Operation that a daemon must carry out for a node, in the order returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RaftAction {
    /// Send a message to the node with this disk id.
    Send {
        /// Receiver.
        to: DiskId,
        /// Message.
        message: RaftMessage,
        /// Queue for the message.
        lane: SendLane,
    },
    /// Write durably, then call [`RaftNode::handle_persisted`](crate::RaftNode::handle_persisted).
    Persist {
        /// Id for the acknowledgement; ids increase.
        id: u64,
        /// Data to write.
        batch: PersistBatch,
    },
    /// Apply a committed entry to the replicated state.
    Apply {
        /// Committed entry.
        entry: LogEntry,
    },
    /// Replace the replicated state with a snapshot.
    Restore {
        /// Snapshot with the new state.
        snapshot: Snapshot,
    },
    /// A barrier is confirmed for the state that results from the preceding actions.
    BarrierDone {
        /// Id given to [`RaftNode::request_barrier`](crate::RaftNode::request_barrier).
        id: u64,
        /// Local time at which the barrier was requested.
        started: ClockTime,
    },
    /// A barrier was not confirmed; the caller may request another one.
    BarrierFailed {
        /// Id given to [`RaftNode::request_barrier`](crate::RaftNode::request_barrier).
        id: u64,
    },
}
