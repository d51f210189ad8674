//! In-memory log: the entries after the newest snapshot and a few that the snapshot covers.

use std::collections::VecDeque;

use crate::{
    EntryId, EntryPayload, LogEntry, LogIndex, LogUsage, Membership, PersistedState, Snapshot, Term,
};

/// Log entries of a node, without gaps, starting after `base`.
#[derive(Debug)]
pub(crate) struct RaftLog {
    /// Entry that precedes the first one in memory.
    base: EntryId,
    entries: VecDeque<LogEntry>,
    /// Upper bound of the encoded size of `entries`.
    entry_bytes: usize,
    snapshot: Option<Snapshot>,
    /// Each membership with the index from which it is in effect, in log order; never empty.
    memberships: Vec<(LogIndex, Membership)>,
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
            entry_bytes: 0,
            snapshot,
            memberships: vec![(base.index, first)],
        };
        for entry in entries {
            log.append(entry);
        }
        log
    }

    pub(crate) fn from_state(state: PersistedState) -> Self {
        Self::new(state.snapshot, state.entries)
    }

    /// Index of the first entry in memory. A peer that needs older entries receives a snapshot.
    pub(crate) fn first_index(&self) -> LogIndex {
        LogIndex(self.base.index.0 + 1)
    }

    pub(crate) fn last(&self) -> EntryId {
        self.entries.back().map_or(self.base, |entry| entry.id)
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Number of entries in memory, and upper bounds of their encoded size and of the snapshot's.
    pub(crate) fn usage(&self) -> LogUsage {
        LogUsage {
            entries: self.entries.len(),
            entry_bytes: self.entry_bytes,
            snapshot_bytes: self
                .snapshot
                .as_ref()
                .map_or(0, |snapshot| snapshot.data.len()),
        }
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(LogIndex(0), |snapshot| snapshot.last.index)
    }

    /// Newest membership, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        &self
            .memberships
            .last()
            .expect("there is always at least one membership")
            .1
    }

    /// Index of the newest membership entry.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.memberships
            .last()
            .expect("there is always at least one membership")
            .0
    }

    /// Membership in effect at an index.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let newer_position = self.memberships.partition_point(|(from, _)| *from <= index);
        &self.memberships[newer_position.saturating_sub(1)].1
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let position = index.0.checked_sub(self.base.index.0 + 1)? as usize;
        (position < self.entries.len()).then_some(position)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        self.position(index).map(|position| &self.entries[position])
    }

    /// Term of the entry at an index, or `None` if the entry is neither in memory nor `base`.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.id.term)
    }

    pub(crate) fn contains(&self, id: EntryId) -> bool {
        self.term_at(id.index) == Some(id.term)
    }

    /// Appends the next entry.
    ///
    /// # Panics
    ///
    /// If the index of the entry does not follow the last one.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        assert_eq!(
            entry.id.index.0,
            self.last().index.0 + 1,
            "the index of a new entry must follow the last one"
        );
        if let EntryPayload::Members(members) = &entry.payload {
            self.memberships.push((entry.id.index, members.clone()));
        }
        self.entry_bytes += entry.max_encoded_bytes();
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        let kept_count = from.0.saturating_sub(self.base.index.0 + 1) as usize;
        while self.entries.len() > kept_count
            && let Some(entry) = self.entries.pop_back()
        {
            self.entry_bytes -= entry.max_encoded_bytes();
        }
        self.memberships
            .retain(|(index, _)| *index < from || *index <= self.base.index);
    }

    /// Newest entry at or before `index` whose term is at most `term`. Terms never decrease in a
    /// log, so a log with an entry of `term` at `index` differs from this one in all entries after
    /// the returned one and up to `index`.
    pub(crate) fn find_conflict_by_term(&self, index: LogIndex, term: Term) -> EntryId {
        let mut index = index.min(self.last().index);
        while index > self.base.index {
            match self.term_at(index) {
                Some(found) if found <= term => return EntryId { index, term: found },
                _ => index.0 -= 1,
            }
        }
        self.base
    }

    /// Entries from an index on, up to `max_bytes` but at least one if there is any.
    pub(crate) fn entries_from(&self, from: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let Some(start) = self.position(from) else {
            return Vec::new();
        };
        let mut total_bytes = 0;
        let mut batch = Vec::new();
        for entry in self.entries.range(start..) {
            total_bytes += entry.max_encoded_bytes();
            if total_bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Upper bound of the encoded size of all entries after an index.
    pub(crate) fn bytes_after(&self, index: LogIndex) -> usize {
        let skipped = index.0.saturating_sub(self.base.index.0) as usize;
        let newer = self.entries.range(skipped.min(self.entries.len())..);
        newer.map(LogEntry::max_encoded_bytes).sum()
    }

    /// Creates a snapshot at an index and drops the entries up to it except for the last ones, within
    /// both limits. Returns `None` if the term at the index is not known.
    pub(crate) fn compact(
        &mut self,
        index: LogIndex,
        data: Vec<u8>,
        max_retained_entries: usize,
        max_retained_bytes: usize,
    ) -> Option<Snapshot> {
        let term = self.term_at(index)?;
        let snapshot = Snapshot {
            last: EntryId { index, term },
            membership: self.membership_at(index).clone(),
            data: data.into(),
        };
        self.snapshot = Some(snapshot.clone());
        let covered = (index.0 - self.base.index.0) as usize;
        let mut retained_bytes = 0;
        let newest = self.entries.range(..covered).rev();
        let retained = newest
            .take(max_retained_entries)
            .take_while(|entry| {
                retained_bytes += entry.max_encoded_bytes();
                retained_bytes <= max_retained_bytes
            })
            .count();
        self.drop_front(covered - retained);
        Some(snapshot)
    }

    fn drop_front(&mut self, count: usize) {
        for _ in 0..count {
            let entry = self
                .entries
                .pop_front()
                .expect("only entries in memory are dropped");
            self.entry_bytes -= entry.max_encoded_bytes();
            self.base = entry.id;
        }
        let newer_position = self
            .memberships
            .partition_point(|(from, _)| *from <= self.base.index);
        self.memberships.drain(..newer_position.saturating_sub(1));
    }

    /// Replaces the log with a snapshot from the leader. Entries after it are kept if the log
    /// contains the last entry of the snapshot.
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
