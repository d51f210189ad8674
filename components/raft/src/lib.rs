//! Replicated log: elections, replication, snapshots, membership and read barriers.
//!
//! [`RaftNode`] is one voter or learner. It has no sockets, files or clock: a daemon calls its
//! methods and carries out the [`RaftAction`]s that every call returns, in their order.
//!
//! - [`Persist`](RaftAction::Persist): give the batch to the store. After it is synced, call
//!   [`RaftNode::handle_persisted`] with the same id. The node holds back every vote and acknowledgement
//!   that depends on the batch until then, so a daemon may go on while the disk works. Batches must
//!   be written in order; several may be joined with [`PersistBatch::merge`] and acknowledged with
//!   the id of the last one.
//! - [`Send`](RaftAction::Send): send the message to the node that has this id. Messages may be
//!   lost, repeated and reordered. A message must only reach the disk id it is addressed to.
//! - [`Apply`](RaftAction::Apply): the entry is committed. Entries come in log order, each once
//!   since the start of the process or the last `Restore`.
//! - [`Restore`](RaftAction::Restore): replace the state with the snapshot; `Apply` goes on after
//!   its index. A node that starts from a snapshot returns this action from its first call.
//! - [`BarrierDone`](RaftAction::BarrierDone): the state as applied so far contains everything that
//!   was committed anywhere when the barrier was asked for, at local time `started`.
//!
//! A daemon calls [`RaftNode::tick`] every 10 to 50 ms, and [`RaftNode::compact`] with a snapshot of
//! the applied state from time to time. The batch of a compaction is returned by the next call.
//!
//! The seed must differ at each start of a process, because it also numbers forwarded barriers.
//! Disk ids are never reused: a node that lost its disk starts with [`PersistedState::default`] and
//! a new id, joins with [`MemberChange::AddLearner`], the old id is removed, and the new id is
//! promoted. A node in no membership neither votes nor starts elections.

mod barrier;
mod error;
mod log;
mod membership;
mod message;
mod node;
mod persist;
mod progress;
mod settings;
mod state;

pub use error::ProposeError;
pub use membership::{MemberChange, Membership};
pub use message::{AppendOutcome, RaftAction, RaftMessage, SnapshotChunk};
pub use node::{NodeRole, NodeStatus, RaftNode};
pub use settings::{MAX_COMMAND_BYTES, RaftSettings};
pub use state::{
    EntryId, EntryPayload, HardState, LogEntry, LogIndex, PersistBatch, PersistedState, Snapshot,
    Term,
};
