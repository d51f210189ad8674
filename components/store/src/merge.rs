//! Merges batches that a full disk has refused, so that a snapshot frees room before entries need it.

use raft::{EntryId, LogEntry, PersistBatch};

use crate::LogStore;

impl LogStore {
    /// Merges batches in their order into one with the same effect, in which the newest snapshot comes
    /// before all entries. Returns `None` if they have no snapshot, or if the entries that it
    /// supersedes cannot be told.
    pub fn merge<'a>(
        &self,
        batches: impl IntoIterator<Item = &'a PersistBatch>,
    ) -> Option<PersistBatch> {
        let mut merged = PersistBatch::default();
        for batch in batches {
            merged.hard_state = batch.hard_state.or(merged.hard_state);
            if let Some(snapshot) = &batch.snapshot {
                self.drop_superseded(&mut merged, snapshot.last)?;
                merged.snapshot = Some(snapshot.clone());
            }
            if let Some(first) = batch.entries.first() {
                let first = first.id.index;
                merged.entries.retain(|entry| entry.id.index < first);
                merged.entries.extend(batch.entries.iter().cloned());
            }
        }
        merged.snapshot.is_some().then_some(merged)
    }

    /// Drops the merged entries that a snapshot contains, or all of them if the log lacks its last entry.
    fn drop_superseded(&self, merged: &mut PersistBatch, last: EntryId) -> Option<()> {
        let is_after = |entry: &LogEntry| entry.id.index > last.index;
        let is_stored = self.contains(last);
        let is_merged = merged.entries.iter().any(|entry| entry.id == last);
        if is_merged || (is_stored && merged.entries.iter().all(is_after)) {
            merged.entries.retain(is_after);
            return Some(());
        }
        // The stored entry is replaced by one of the merged entries, so that the log lacks it.
        if is_stored {
            return None;
        }
        merged.entries.clear();
        Some(())
    }
}
