//! Raft consensus: leader election, log replication, snapshots, membership changes and read
//! barriers.
//!
//! [`RaftNode`] is one voter or learner. It has no sockets, files or clock: a daemon calls its
//! methods and carries out the returned [`RaftAction`]s in the order given.
//!
//! - [`Persist`](RaftAction::Persist): give the batch to the store and call
//!   [`RaftNode::handle_persisted`] with the same id once it is synced. Until then the node holds
//!   back every vote and acknowledgement that depends on the batch, so the daemon can continue to
//!   call the node during the write. Batches must be written in order. Several batches can be
//!   joined with [`PersistBatch::merge`] and acknowledged with the id of the last one.
//! - [`Send`](RaftAction::Send): send the message to the node with this disk id. Messages may be
//!   lost, duplicated and reordered, but must never be delivered to a node with another disk id.
//!   Those of the urgent lane must not wait behind those of the bulk lane: if heartbeats or votes
//!   wait behind megabytes of entries, the members take each other for lost. Within a lane, messages
//!   should arrive in order, because a gap in the entries makes the leader send them again.
//! - [`Apply`](RaftAction::Apply): the entry is committed. Entries arrive in log order, each once
//!   since the start of the process or the last `Restore`.
//! - [`Restore`](RaftAction::Restore): replace the state with the snapshot; `Apply` continues after
//!   its index. A node that starts from a snapshot returns this action from its first call.
//! - [`BarrierDone`](RaftAction::BarrierDone): the state applied so far contains every entry that
//!   was committed anywhere when the barrier was requested, at local time `started`.
//!
//! The daemon calls [`RaftNode::tick`] every 10 to 50 ms, and regularly calls
//! [`RaftNode::compact`] with a snapshot of the applied state. The next call returns the batch of a
//! compaction.
//!
//! The seed must differ at each start of a process, because the ids of forwarded barriers are
//! derived from it. Disk ids are never reused: a node that lost its disk starts with
//! [`PersistedState::default`] and a new id and joins with [`MemberChange::AddLearner`]. The old id
//! is then removed and the new one promoted. A node that is in no membership neither votes nor
//! starts elections.

mod barrier;
mod error;
mod log;
mod membership;
mod message;
mod node;
mod persist;
mod progress;
mod report;
mod settings;
mod state;

pub use error::ProposeError;
pub use membership::{MemberChange, Membership};
pub use message::{AppendOutcome, RaftAction, RaftMessage, SendLane, SnapshotChunk};
pub use node::{NodeRole, NodeStatus, RaftNode};
pub use report::{LogUsage, MemberProgress, ReplicationMode};
pub use settings::{MAX_COMMAND_BYTES, RaftSettings};
pub use state::{
    EntryId, EntryPayload, HardState, LogEntry, LogIndex, PersistBatch, PersistedState, Snapshot,
    Term,
};
