//! Durable storage of log segments, snapshots, term and vote.
//!
//! A [`LogStore`] owns one folder. [`LogStore::open`] returns the state with which to start a
//! [`raft::RaftNode`]. [`LogStore::persist`] executes one `Persist` action and returns once the
//! files and the folder are synced, after which the daemon calls `RaftNode::handle_persisted`. Both
//! functions block and should run on a dedicated thread.
//!
//! Files: `state` (id, term, vote), `snapshot`, `log-N` (log segment N), `reserve` and `lock`. Each record has
//! a length and a CRC-32. `state` and `snapshot` are replaced by writing `NAME.new`, syncing,
//! renaming and syncing the folder. Opening a folder truncates an incomplete last record of the
//! newest segment, whose write was never acknowledged. Any other damage, including a last record of
//! full length with a wrong checksum, is [`StoreError::Corrupt`]: the host must then rejoin with an
//! empty folder, which gives it a new id.
//!
//! After a write that failed because of a full disk, the same batch can be written again: the store cuts
//! off what the attempt has left. [`DiskFiles`] holds the operations that change files, so that tests can
//! refuse them. The file `reserve` keeps room for a second copy of the snapshot, so that a log which has
//! filled the disk can be replaced by a snapshot ([`LogStore::merge`]); it is deleted for that and written
//! again before any entry.
//!
//! A [`RecordJournal`] owns a folder of its own for records that expire.

mod error;
mod files;
mod folder;
mod journal;
mod log_store;
mod merge;
mod record;
mod segments;

pub use error::StoreError;
pub use files::{DiskFiles, SystemFiles};
pub use journal::RecordJournal;
pub use log_store::{LogStore, SEGMENT_BYTES};
