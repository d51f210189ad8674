//! Log entries, snapshots and the persisted state of a node.

use std::collections::BTreeSet;
use std::sync::Arc;

use units::DiskId;

use crate::Membership;

units::number!(
    /// Election term. A term has at most one leader.
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
        /// Term of the leader that created the entry.
        pub term: Term,
    }

    /// Entry of the log.
    pub struct LogEntry {
        /// Position and term.
        pub id: EntryId,
        /// Payload.
        pub payload: EntryPayload,
    }

    /// Payload of an entry.
    pub enum EntryPayload {
        /// Entry without content that a new leader appends first.
        Noop,
        /// Command to apply to the replicated state.
        Command(Arc<[u8]>),
        /// Membership that takes effect with this entry.
        Members(Membership),
    }

    /// Replicated state up to and including one entry.
    pub struct Snapshot {
        /// Last entry covered by the snapshot.
        pub last: EntryId,
        /// Membership at that entry.
        pub membership: Membership,
        /// Encoded state of the daemon, as passed to `compact`.
        pub data: Arc<[u8]>,
    }

    /// Term and vote, which must survive a restart.
    #[derive(Copy, Default)]
    pub struct HardState {
        /// Newest term that the node has seen.
        pub term: Term,
        /// Candidate that received the vote of this node in `term`.
        pub vote: Option<DiskId>,
    }

    /// State that a node loads from its disk at start. The default is that of an empty disk.
    #[derive(Default)]
    pub struct PersistedState {
        /// Term and vote.
        pub hard_state: HardState,
        /// Newest snapshot.
        pub snapshot: Option<Snapshot>,
        /// Entries after the snapshot, without gaps.
        pub entries: Vec<LogEntry>,
    }

    /// Data of one durable write. The fields take effect in their order.
    #[derive(Default)]
    pub struct PersistBatch {
        /// New term and vote, if they changed.
        pub hard_state: Option<HardState>,
        /// New snapshot. Entries up to its last index may be deleted; if the log has no entry with
        /// this id, all entries are deleted.
        pub snapshot: Option<Snapshot>,
        /// New entries, without gaps. They replace every entry from the index of the first one on.
        pub entries: Vec<LogEntry>,
    }
}

impl LogEntry {
    /// Upper bound of the encoded size, in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        const HEADER_BYTES: usize = 32;
        const MEMBER_BYTES: usize = 20;
        let payload = match &self.payload {
            EntryPayload::Noop => 0,
            EntryPayload::Command(command) => command.len(),
            EntryPayload::Members(members) => {
                MEMBER_BYTES * (members.members().count() + members.removed.len())
            }
        };
        HEADER_BYTES + payload
    }
}

impl PersistedState {
    /// Initial state of a node in a new group. It must be the same on all nodes and must be
    /// persisted ([`PersistedState::to_batch`]) before the node starts.
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

    /// Applies a batch in memory, with the same result as a store on disk.
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
    /// Whether the batch contains nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Whether a later batch can be merged into this one. It cannot if it has a snapshot and this
    /// batch has entries, because these must be written before the snapshot.
    pub fn can_merge(&self, later: &PersistBatch) -> bool {
        later.snapshot.is_none() || self.entries.is_empty()
    }

    /// Merges a later batch into this one, so that both need only one sync.
    ///
    /// # Panics
    ///
    /// If [`PersistBatch::can_merge`] is false.
    pub fn merge(&mut self, later: PersistBatch) {
        assert!(
            self.can_merge(&later),
            "a batch with entries cannot be merged with a later snapshot"
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
