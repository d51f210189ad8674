//! Log segments, snapshots, term and vote on disk.
//!
//! A [`LogStore`] owns one folder. [`LogStore::open`] returns the state to start a
//! [`raft::RaftNode`] with; [`LogStore::persist`] carries out one `Persist` action and returns after
//! the files and the folder are synced, so the daemon then calls `RaftNode::handle_persisted`.
//! Both block and belong on a thread of their own.
//!
//! Files: `state` (id, term, vote), `snapshot`, `log-N` (records from index N on) and `lock`. Each
//! record has a length and a CRC-32. `state` and `snapshot` are replaced by writing `NAME.new`,
//! syncing, renaming and syncing the folder. An incomplete last record of the newest segment is cut
//! off when the folder is opened: its write was never acknowledged. Any other damage, a last record
//! of full length with a wrong checksum included, is [`StoreError::Corrupt`], and the host must
//! rejoin with an empty folder, which gives it a new id.

mod error;
mod folder;
mod log_store;
mod record;
mod segments;

pub use error::StoreError;
pub use log_store::{LogStore, SEGMENT_BYTES};
