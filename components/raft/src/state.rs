//! Log entries, snapshots and what a node keeps on disk.

use std::collections::BTreeSet;
use std::sync::Arc;

use units::DiskId;

use crate::Membership;

units::number!(
    /// Election term; each has at most one leader.
    Term(u64)
);
units::number!(
    /// Position in the log; the first entry has index 1.
    LogIndex(u64)
);

units::data! {
    /// Index and term of an entry, which together identify it.
    #[derive(Copy, Default)]
    pub struct EntryId {
        /// Position in the log.
        pub index: LogIndex,
        /// Term of the leader that wrote it.
        pub term: Term,
    }

    /// One entry of the log.
    pub struct LogEntry {
        /// Position and term.
        pub id: EntryId,
        /// Content.
        pub payload: EntryPayload,
    }

    /// Content of an entry.
    pub enum EntryPayload {
        /// First entry of a new leader.
        Noop,
        /// Command of the replicated state.
        Command(Arc<[u8]>),
        /// Members from here on.
        Members(Membership),
    }

    /// State of the group up to and including one entry.
    pub struct Snapshot {
        /// Last entry that the snapshot contains.
        pub last: EntryId,
        /// Members at that entry.
        pub membership: Membership,
        /// State of the daemon, as given to `compact`.
        pub data: Arc<[u8]>,
    }

    /// Term and vote, which must survive a restart.
    #[derive(Copy, Default)]
    pub struct HardState {
        /// Newest term seen.
        pub term: Term,
        /// Candidate that has this node's vote in the term.
        pub vote: Option<DiskId>,
    }

    /// What a node reads from its disk when it starts. The default is an empty node.
    #[derive(Default)]
    pub struct PersistedState {
        /// Term and vote.
        pub hard_state: HardState,
        /// Newest snapshot.
        pub snapshot: Option<Snapshot>,
        /// Entries after the snapshot, without gaps.
        pub entries: Vec<LogEntry>,
    }

    /// One durable write. Its parts take effect in the order of the fields.
    #[derive(Default)]
    pub struct PersistBatch {
        /// New term and vote.
        pub hard_state: Option<HardState>,
        /// New snapshot. Entries up to its last index may be deleted; if the log has no entry with
        /// this id, all entries are deleted.
        pub snapshot: Option<Snapshot>,
        /// New entries without gaps. They replace every entry from the first one's index on.
        pub entries: Vec<LogEntry>,
    }
}

impl LogEntry {
    /// Estimate of the encoded size in bytes, never too small.
    pub fn max_encoded_bytes(&self) -> usize {
        const HEADER: usize = 32;
        const MEMBER: usize = 20;
        let payload = match &self.payload {
            EntryPayload::Noop => 0,
            EntryPayload::Command(command) => command.len(),
            EntryPayload::Members(members) => {
                MEMBER * (members.members().count() + members.removed.len())
            }
        };
        HEADER + payload
    }
}

impl PersistedState {
    /// State of each node when a group is formed. All nodes must be given the same members, and
    /// the state must be persisted ([`PersistedState::to_batch`]) before the node starts.
    pub fn bootstrap(members: BTreeSet<DiskId>) -> Self {
        let term = Term(1);
        let membership = Membership {
            voters: members,
            ..Membership::default()
        };
        let entry = LogEntry {
            id: EntryId {
                index: LogIndex(1),
                term,
            },
            payload: EntryPayload::Members(membership),
        };
        Self {
            hard_state: HardState { term, vote: None },
            snapshot: None,
            entries: vec![entry],
        }
    }

    /// Whether the node has never been part of a group.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Batch that writes this state to an empty store.
    pub fn to_batch(&self) -> PersistBatch {
        PersistBatch {
            hard_state: Some(self.hard_state),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }

    /// Carries out a batch in memory, as a store does on disk.
    pub fn apply(&mut self, batch: &PersistBatch) {
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &batch.snapshot {
            let last = snapshot.last;
            if self.entries.iter().any(|entry| entry.id == last) {
                self.entries.retain(|entry| entry.id.index > last.index);
            } else {
                self.entries.clear();
            }
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(first) = batch.entries.first() {
            self.entries.retain(|entry| entry.id.index < first.id.index);
            self.entries.extend(batch.entries.iter().cloned());
        }
    }
}

impl PersistBatch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Whether a later batch can be joined to this one. A snapshot must be written after the
    /// entries before it.
    pub fn can_merge(&self, later: &PersistBatch) -> bool {
        later.snapshot.is_none() || self.entries.is_empty()
    }

    /// Joins a later batch to this one, so that both cost one sync.
    ///
    /// # Panics
    ///
    /// If [`PersistBatch::can_merge`] is false.
    pub fn merge(&mut self, later: PersistBatch) {
        assert!(
            self.can_merge(&later),
            "a snapshot must follow earlier entries"
        );
        if later.hard_state.is_some() {
            self.hard_state = later.hard_state;
        }
        if later.snapshot.is_some() {
            self.snapshot = later.snapshot;
        }
        if let Some(first) = later.entries.first() {
            self.entries.retain(|entry| entry.id.index < first.id.index);
            self.entries.extend(later.entries);
        }
    }
}
