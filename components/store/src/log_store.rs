//! The folder of one node.

use std::path::Path;

use raft::{EntryId, HardState, LogEntry, PersistBatch, PersistedState, Snapshot};
use serde::{Deserialize, Serialize};
use units::DiskId;

use crate::StoreError;
use crate::folder::{LOCK_FILE, StoreFolder};
use crate::segments::{self, SegmentRow};

/// Size in bytes beyond which a new log segment is started.
pub const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

const STATE_FILE: &str = "state";
const SNAPSHOT_FILE: &str = "snapshot";

/// Content of the file `state`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct StateFile {
    id: DiskId,
    hard_state: HardState,
}

/// The folder of one node.
#[derive(Debug)]
pub struct LogStore {
    folder: StoreFolder,
    state: StateFile,
    snapshot: EntryId,
    row: SegmentRow,
    failed: bool,
}

impl LogStore {
    /// Opens a folder, creating it and its id when it does not exist.
    pub fn open(folder: &Path) -> Result<(Self, PersistedState), StoreError> {
        Self::open_with_segment_size(folder, SEGMENT_BYTES)
    }

    /// Opens a folder with another segment size.
    pub fn open_with_segment_size(
        folder: &Path,
        segment_bytes: u64,
    ) -> Result<(Self, PersistedState), StoreError> {
        let folder = StoreFolder::open(folder)?;
        let state = read_state(&folder)?;
        let snapshot: Option<Snapshot> = folder.read_value(SNAPSHOT_FILE)?;
        let (row, entries) = SegmentRow::open(&folder, segment_bytes)?;
        let mut store = Self {
            folder,
            state,
            snapshot: snapshot
                .as_ref()
                .map_or(EntryId::default(), |snapshot| snapshot.last),
            row,
            failed: false,
        };
        let entries = store.align(entries)?;
        let persisted = PersistedState {
            hard_state: state.hard_state,
            snapshot,
            entries,
        };
        Ok((store, persisted))
    }

    /// Removes the entries that the snapshot contains or has replaced. Finishes what a crash after
    /// the replacement of the snapshot file has left.
    fn align(&mut self, mut entries: Vec<LogEntry>) -> Result<Vec<LogEntry>, StoreError> {
        let Some(first) = self.row.first_index() else {
            return Ok(entries);
        };
        let last = self.snapshot;
        // The file names the snapshot that entries are missing behind.
        if first > last.index.0 + 1 {
            let reason = "entries between the snapshot and the log are missing";
            return Err(self.folder.corrupt(SNAPSHOT_FILE, 0, reason));
        }
        if self.follows(last) {
            self.row.drop_before(&self.folder, last)?;
            entries.retain(|entry| entry.id.index > last.index);
        } else {
            self.row.clear(&self.folder)?;
            entries.clear();
        }
        Ok(entries)
    }

    /// Whether the log continues a snapshot. A log that starts right after it does: its older
    /// segments can only have been deleted for this snapshot.
    fn follows(&self, snapshot: EntryId) -> bool {
        self.row.contains(snapshot) || self.row.first_index() == Some(snapshot.index.0 + 1)
    }

    /// Deletes the content of the folder and unlocks it, after the node was removed from its group.
    /// The id goes last, so that a crash leaves no log under a new one.
    pub fn clear(&mut self) -> Result<(), StoreError> {
        self.failed = true;
        let mut names = self.folder.names()?;
        names.sort_by_key(|name| name == STATE_FILE);
        for name in names.iter().filter(|name| *name != LOCK_FILE) {
            self.folder.remove(name)?;
        }
        self.folder.unlock()
    }

    /// Id of the node, created with the folder.
    pub fn id(&self) -> DiskId {
        self.state.id
    }

    /// The folder.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Writes a batch; it is durable when this returns. After an error the store accepts nothing
    /// more until the folder is opened again.
    pub fn persist(&mut self, batch: &PersistBatch) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::EarlierWriteFailed);
        }
        let result = self.write(batch);
        self.failed = result.is_err();
        result
    }

    fn write(&mut self, batch: &PersistBatch) -> Result<(), StoreError> {
        if let Some(hard_state) = batch.hard_state {
            self.state.hard_state = hard_state;
            self.folder.replace(STATE_FILE, &self.state)?;
        }
        if let Some(snapshot) = &batch.snapshot {
            self.write_snapshot(snapshot)?;
        }
        self.append(&batch.entries)
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        self.folder.replace(SNAPSHOT_FILE, snapshot)?;
        self.snapshot = snapshot.last;
        if self.row.contains(snapshot.last) {
            self.row.drop_before(&self.folder, snapshot.last)
        } else {
            self.row.clear(&self.folder)
        }
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StoreError> {
        let Some(first) = entries.first() else {
            return Ok(());
        };
        let first = first.id.index.0;
        let last = self.row.last_index().unwrap_or(self.snapshot.index.0);
        if first > last + 1 || first <= self.snapshot.index.0 {
            return Err(StoreError::Gap { first, last });
        }
        self.row.append(&self.folder, entries)
    }
}

fn read_state(folder: &StoreFolder) -> Result<StateFile, StoreError> {
    if let Some(state) = folder.read_value(STATE_FILE)? {
        return Ok(state);
    }
    // Without its id the folder must not be taken for a new one.
    if folder
        .names()?
        .iter()
        .any(|name| name == SNAPSHOT_FILE || segments::is_segment(name))
    {
        return Err(folder.corrupt(STATE_FILE, 0, "the file is missing"));
    }
    let state = StateFile {
        id: DiskId(rand::random()),
        hard_state: HardState::default(),
    };
    folder.replace(STATE_FILE, &state)?;
    Ok(state)
}
