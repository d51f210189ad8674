//! Replaces the log by a snapshot of the state.
//!
//! The cost of a log is in bytes: on the disk, in memory, and for a member that lacks it. It therefore
//! stays within a multiple of the state that it leads to, whatever the size of its entries.

use raft::{LogEntry, LogIndex, RaftAction};
use telemetry::{event, events};

use super::RaftDriver;

/// Number of applied entries after which a snapshot is written.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 1_000;

/// Bytes of applied entries after which a snapshot is written, as a multiple of the newest snapshot. A
/// snapshot takes three syncs and an entry one, so with four entries of the size of the state, snapshots
/// cost less than the entries in syncs, and a quarter of them in bytes.
const SNAPSHOT_INTERVAL_MULTIPLE: usize = 4;

/// Bytes of applied entries below which no snapshot is written because of their size.
const MIN_SNAPSHOT_INTERVAL_BYTES: usize = 512 * 1024;

/// Entries that were applied since the newest snapshot.
#[derive(Debug, Default)]
pub(super) struct UncompactedEntries {
    /// Last index of the snapshot.
    snapshot_index: LogIndex,
    /// Upper bound of the encoded size of the entries after it.
    bytes: usize,
}

impl UncompactedEntries {
    pub(super) fn after(snapshot_index: LogIndex) -> Self {
        Self {
            snapshot_index,
            bytes: 0,
        }
    }

    pub(super) fn record(&mut self, entry: &LogEntry) {
        self.bytes += entry.max_encoded_bytes();
    }

    fn is_snapshot_due(&self, applied_index: LogIndex, snapshot_bytes: usize) -> bool {
        let max_bytes =
            MIN_SNAPSHOT_INTERVAL_BYTES.max(SNAPSHOT_INTERVAL_MULTIPLE * snapshot_bytes);
        self.bytes >= max_bytes
            || applied_index.0 >= self.snapshot_index.0 + SNAPSHOT_INTERVAL_ENTRIES
    }
}

impl RaftDriver {
    /// Replaces the applied entries by a snapshot if they are many or large.
    pub(super) fn compact_if_due(&mut self) {
        let snapshot_bytes = self.node.log_usage().snapshot_bytes;
        if self
            .uncompacted_entries
            .is_snapshot_due(self.applied_index, snapshot_bytes)
        {
            self.compact();
        }
    }

    /// Replaces the applied entries by a snapshot, on a disk without room, unless one waits to be written
    /// or would free little compared with its size.
    pub(super) fn compact_for_room(&mut self) {
        let mut batches = self.pending_batches.iter();
        let is_snapshot_pending = batches.any(|(_, batch)| batch.snapshot.is_some());
        let snapshot_bytes = self.node.log_usage().snapshot_bytes as u64;
        let is_log_small =
            self.store.log_bytes() * (SNAPSHOT_INTERVAL_MULTIPLE as u64) < snapshot_bytes;
        let has_applied = self.applied_index > self.node.status().snapshot_index;
        if has_applied && !is_snapshot_pending && !is_log_small {
            self.compact();
        }
    }

    fn compact(&mut self) {
        let snapshot = self.view.read(|view| view.registry.snapshot());
        let bytes = snapshot.len();
        for action in self.node.compact(self.applied_index, snapshot) {
            if let RaftAction::Persist { id, batch } = action {
                event!(
                    events::SNAPSHOT_WRITTEN,
                    index = self.applied_index,
                    bytes = bytes,
                    entry_bytes = self.uncompacted_entries.bytes
                );
                self.enqueue_batch(id, batch);
            }
        }
        self.uncompacted_entries = UncompactedEntries::after(self.applied_index);
    }
}
