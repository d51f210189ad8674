//! The log in memory: entries behind the newest snapshot and a short tail before it.

use std::collections::VecDeque;

use crate::{
    EntryId, EntryPayload, LogEntry, LogIndex, Membership, PersistedState, Snapshot, Term,
};

/// Entries of a node, without gaps, from `base` on.
#[derive(Debug)]
pub(crate) struct RaftLog {
    /// Entry before the first one in memory.
    base: EntryId,
    entries: VecDeque<LogEntry>,
    snapshot: Option<Snapshot>,
    /// Members in force from each index on; never empty.
    members: Vec<(LogIndex, Membership)>,
}

impl RaftLog {
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<LogEntry>) -> Self {
        let base = snapshot
            .as_ref()
            .map_or(EntryId::default(), |snapshot| snapshot.last);
        let first = snapshot.as_ref().map_or(Membership::default(), |snapshot| {
            snapshot.membership.clone()
        });
        let mut log = Self {
            base,
            entries: VecDeque::new(),
            snapshot,
            members: vec![(base.index, first)],
        };
        for entry in entries {
            log.append(entry);
        }
        log
    }

    pub(crate) fn from_state(state: PersistedState) -> Self {
        Self::new(state.snapshot, state.entries)
    }

    /// Index of the first entry in memory; snapshots are sent to peers that need older ones.
    pub(crate) fn first_index(&self) -> LogIndex {
        LogIndex(self.base.index.0 + 1)
    }

    pub(crate) fn last(&self) -> EntryId {
        self.entries.back().map_or(self.base, |entry| entry.id)
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(LogIndex(0), |snapshot| snapshot.last.index)
    }

    /// Newest members, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        &self
            .members
            .last()
            .expect("the list of members is never empty")
            .1
    }

    /// Index of the newest membership entry.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.members
            .last()
            .expect("the list of members is never empty")
            .0
    }

    /// Members in force at an index.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let newer = self.members.partition_point(|(from, _)| *from <= index);
        &self.members[newer.saturating_sub(1)].1
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let position = index.0.checked_sub(self.base.index.0 + 1)? as usize;
        (position < self.entries.len()).then_some(position)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        self.position(index).map(|position| &self.entries[position])
    }

    /// Term of the entry at an index, if it is still known.
    pub(crate) fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.id.term)
    }

    pub(crate) fn contains(&self, id: EntryId) -> bool {
        self.term(id.index) == Some(id.term)
    }

    /// Adds the next entry.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        assert_eq!(
            entry.id.index.0,
            self.last().index.0 + 1,
            "the log has no gaps"
        );
        if let EntryPayload::Members(members) = &entry.payload {
            self.members.push((entry.id.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from an index on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        let kept = from.0.saturating_sub(self.base.index.0 + 1) as usize;
        self.entries.truncate(kept);
        self.members
            .retain(|(index, _)| *index < from || *index <= self.base.index);
    }

    /// Newest entry not after `index` whose term is not newer than `term`: everything between it
    /// and `index` is known to differ from the other log.
    pub(crate) fn newest_within(&self, index: LogIndex, term: Term) -> EntryId {
        let mut index = index.min(self.last().index);
        while index > self.base.index {
            match self.term(index) {
                Some(own) if own <= term => return EntryId { index, term: own },
                _ => index.0 -= 1,
            }
        }
        self.base
    }

    /// Entries from an index on, up to a number of bytes but at least one.
    pub(crate) fn batch(&self, from: LogIndex, bytes: usize) -> Vec<LogEntry> {
        let Some(start) = self.position(from) else {
            return Vec::new();
        };
        let mut size = 0;
        let mut batch = Vec::new();
        for entry in self.entries.range(start..) {
            size += entry.max_encoded_bytes();
            if size > bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Size of the entries after an index.
    pub(crate) fn bytes_after(&self, index: LogIndex) -> usize {
        self.entries
            .iter()
            .filter(|entry| entry.id.index > index)
            .map(LogEntry::max_encoded_bytes)
            .sum()
    }

    /// Makes a snapshot at an index that is in memory; keeps some entries before it.
    pub(crate) fn compact(
        &mut self,
        index: LogIndex,
        data: Vec<u8>,
        retained: usize,
    ) -> Option<Snapshot> {
        let term = self.term(index)?;
        let snapshot = Snapshot {
            last: EntryId { index, term },
            membership: self.membership_at(index).clone(),
            data: data.into(),
        };
        self.snapshot = Some(snapshot.clone());
        let behind = (index.0 - self.base.index.0) as usize;
        self.drop_front(behind.saturating_sub(retained));
        Some(snapshot)
    }

    fn drop_front(&mut self, count: usize) {
        for _ in 0..count {
            let entry = self
                .entries
                .pop_front()
                .expect("only entries in memory are dropped");
            self.base = entry.id;
        }
        let newer = self
            .members
            .partition_point(|(from, _)| *from <= self.base.index);
        self.members.drain(..newer.saturating_sub(1));
    }

    /// Replaces the log by a snapshot from the leader. Entries after it stay if the log contains
    /// its last entry.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        let last = snapshot.last;
        let tail = if self.contains(last) {
            self.entries
                .iter()
                .filter(|entry| entry.id.index > last.index)
                .cloned()
                .collect()
        } else {
            Vec::new()
        };
        *self = Self::new(Some(snapshot), tail);
    }
}
