//! Durable state of one node: its id, term, vote, snapshot and log.

use std::path::Path;
use std::sync::Arc;

use raft::{EntryId, HardState, LogEntry, PersistBatch, PersistedState, Snapshot};
use serde::{Deserialize, Serialize};
use units::DiskId;

use crate::folder::{LOCK_FILE, StoreFolder};
use crate::segments::{self, SegmentedLog};
use crate::{DiskFiles, StoreError, SystemFiles};

/// Size of a log segment, in bytes, at which the next batch starts a new segment. A snapshot frees no
/// segment with newer entries, so this is the size up to which superseded entries remain. To create and
/// delete a segment takes three syncs, as many as a snapshot, so it is not made smaller than two of the
/// largest entries.
pub const SEGMENT_BYTES: u64 = 1024 * 1024;

const STATE_FILE: &str = "state";
const SNAPSHOT_FILE: &str = "snapshot";
const RESERVE_FILE: &str = "reserve";

/// Minimum size of the reserve, in bytes. A small state can grow by two of the largest commands (480 KiB)
/// until the next snapshot.
const MIN_RESERVE_BYTES: u64 = 1024 * 1024;

/// Content of the `state` file.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct StateFile {
    id: DiskId,
    hard_state: HardState,
}

/// Store of the durable state of one node, which holds the lock of its folder.
#[derive(Debug)]
pub struct LogStore {
    folder: StoreFolder,
    state: StateFile,
    snapshot: EntryId,
    snapshot_bytes: u64,
    log: SegmentedLog,
    /// Size of the file that keeps room for the next snapshot, 0 if the disk has none for it.
    reserve_bytes: u64,
    has_failed: bool,
}

impl LogStore {
    /// Opens a folder and returns its state. Creates the folder with a new id if it does not exist.
    pub fn open(folder: &Path) -> Result<(Self, PersistedState), StoreError> {
        Self::open_with_segment_size(folder, SEGMENT_BYTES)
    }

    /// Opens a folder like [`open`](Self::open), with other file operations.
    pub fn open_on(
        files: Arc<dyn DiskFiles>,
        folder: &Path,
    ) -> Result<(Self, PersistedState), StoreError> {
        Self::open_with(files, folder, SEGMENT_BYTES)
    }

    /// Opens a folder like [`open`](Self::open), with another segment size than [`SEGMENT_BYTES`].
    pub fn open_with_segment_size(
        folder: &Path,
        segment_bytes: u64,
    ) -> Result<(Self, PersistedState), StoreError> {
        Self::open_with(Arc::new(SystemFiles), folder, segment_bytes)
    }

    /// Opens a folder like [`open`](Self::open), with other file operations and another segment size
    /// than [`SEGMENT_BYTES`].
    pub fn open_with(
        files: Arc<dyn DiskFiles>,
        folder: &Path,
        segment_bytes: u64,
    ) -> Result<(Self, PersistedState), StoreError> {
        let folder = StoreFolder::open(files, folder)?;
        let state = read_state(&folder)?;
        let snapshot: Option<Snapshot> = folder.read_value(SNAPSHOT_FILE)?;
        let (log, entries) = SegmentedLog::open(&folder, segment_bytes)?;
        let mut store = Self {
            folder,
            state,
            snapshot: snapshot
                .as_ref()
                .map_or(EntryId::default(), |snapshot| snapshot.last),
            snapshot_bytes: snapshot
                .as_ref()
                .map_or(0, |snapshot| snapshot.data.len() as u64),
            log,
            reserve_bytes: 0,
            has_failed: false,
        };
        let entries = store.align_with_snapshot(entries)?;
        store.reserve_bytes = store.folder.length(RESERVE_FILE)?;
        store.fill_reserve();
        let persisted = PersistedState {
            hard_state: state.hard_state,
            snapshot,
            entries,
        };
        Ok((store, persisted))
    }

    /// Removes the entries that the snapshot contains or supersedes. Completes a `write_snapshot`
    /// that a crash interrupted after the snapshot file was replaced.
    fn align_with_snapshot(
        &mut self,
        mut entries: Vec<LogEntry>,
    ) -> Result<Vec<LogEntry>, StoreError> {
        let Some(first) = self.log.first_index() else {
            return Ok(entries);
        };
        let last = self.snapshot;
        // The error names the snapshot file, because the missing entries should follow it.
        if first > last.index.0 + 1 {
            let reason = "entries between the snapshot and the log are missing";
            return Err(self.folder.corrupt(SNAPSHOT_FILE, 0, reason));
        }
        if self.continues(last) {
            self.log.remove_through(&self.folder, last)?;
            entries.retain(|entry| entry.id.index > last.index);
        } else {
            self.log.clear(&self.folder)?;
            entries.clear();
        }
        Ok(entries)
    }

    /// Whether the log contains or directly follows the last entry of the snapshot. A log that
    /// starts directly after it continues the snapshot, since its older segments can only have been
    /// deleted because of this snapshot.
    fn continues(&self, snapshot: EntryId) -> bool {
        self.log.contains(snapshot) || self.log.first_index() == Some(snapshot.index.0 + 1)
    }

    /// Deletes the content of the folder and unlocks it, for a node that was removed from its
    /// group. The id is deleted last, so that a crash never leaves the old log under a new id.
    pub fn clear(&mut self) -> Result<(), StoreError> {
        self.has_failed = true;
        let mut names = self.folder.file_names()?;
        names.sort_by_key(|name| name == STATE_FILE);
        for name in names.iter().filter(|name| *name != LOCK_FILE) {
            self.folder.remove(name)?;
        }
        self.folder.unlock()
    }

    /// Id of the node, generated when the folder was created.
    pub fn id(&self) -> DiskId {
        self.state.id
    }

    /// Size of the log segments, which a snapshot makes smaller. Other files of the disk are not counted.
    pub fn log_bytes(&self) -> u64 {
        self.log.bytes()
    }

    /// Whether the log has an entry with this index and term.
    pub(crate) fn contains(&self, id: EntryId) -> bool {
        self.log.contains(id)
    }

    /// Size of the file that keeps room for the next snapshot; 0 if the disk has none for it.
    pub fn reserve_bytes(&self) -> u64 {
        self.reserve_bytes
    }

    /// Last entry of the snapshot.
    pub fn snapshot(&self) -> EntryId {
        self.snapshot
    }

    /// Path of the folder.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Writes a batch durably. After a failed file operation, any part of the batch may be in the
    /// files, and the batch must be written again before any other, or [merged](Self::merge) with the ones
    /// that follow. After another error, all further writes fail until the folder is opened again.
    pub fn persist(&mut self, batch: &PersistBatch) -> Result<(), StoreError> {
        if self.has_failed {
            return Err(StoreError::EarlierWriteFailed);
        }
        let result = self.write(batch);
        self.has_failed = matches!(&result, Err(error) if !error.is_io());
        result
    }

    fn write(&mut self, batch: &PersistBatch) -> Result<(), StoreError> {
        if batch.snapshot.is_some() {
            // A part of a record may take the room that the snapshot needs. If it cannot be cut off, the
            // append of the entries tries again.
            let _ = self.log.cut_partial_record(&self.folder);
        }
        let had_reserve = self.reserve_bytes > 0;
        if let Some(hard_state) = batch.hard_state {
            self.state.hard_state = hard_state;
            let state = self.state;
            self.replace(STATE_FILE, &state)?;
        }
        if let Some(snapshot) = &batch.snapshot {
            self.write_snapshot(snapshot)?;
        }
        // The reserve comes before the entries: without it, they could fill the disk for good.
        if batch.snapshot.is_some() || (had_reserve && self.reserve_bytes == 0) {
            self.fill_reserve();
        }
        self.append(&batch.entries)
    }

    /// Replaces a file by one record. If the disk has no room for a second copy, that of the reserve
    /// is used.
    fn replace<T: Serialize>(&mut self, name: &str, value: &T) -> Result<(), StoreError> {
        match self.folder.replace(name, value) {
            Err(error) if error.is_out_of_room() && self.reserve_bytes > 0 => {
                self.folder.remove(RESERVE_FILE)?;
                self.reserve_bytes = 0;
                self.folder.replace(name, value)
            }
            result => result,
        }
    }

    /// Keeps room for twice the size of the snapshot, since the next one may be larger. A disk that
    /// refuses it is asked again with the next snapshot.
    fn fill_reserve(&mut self) {
        let unit = MIN_RESERVE_BYTES;
        let bytes = (2 * self.snapshot_bytes).next_multiple_of(unit).max(unit);
        if (bytes..=2 * bytes).contains(&self.reserve_bytes) {
            return;
        }
        self.reserve_bytes = match self.folder.create_filled(RESERVE_FILE, bytes) {
            Ok(()) => bytes,
            Err(_) => {
                // What was written takes room that entries need. If it cannot be deleted, the next
                // attempt empties it.
                let _ = self.folder.remove(RESERVE_FILE);
                0
            }
        };
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        self.replace(SNAPSHOT_FILE, snapshot)?;
        // An earlier attempt may have replaced the snapshot and removed the entries that it contains.
        let continues = match self.snapshot == snapshot.last {
            true => self.continues(snapshot.last),
            false => self.log.contains(snapshot.last),
        };
        self.snapshot = snapshot.last;
        self.snapshot_bytes = snapshot.data.len() as u64;
        match (continues, self.reserve_bytes) {
            (true, 0) => self.log.shrink_through(&self.folder, snapshot.last),
            (true, _) => self.log.remove_through(&self.folder, snapshot.last),
            (false, _) => self.log.clear(&self.folder),
        }
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StoreError> {
        let Some(first) = entries.first() else {
            return Ok(());
        };
        let first = first.id.index.0;
        let last = self.log.last_index().unwrap_or(self.snapshot.index.0);
        if first > last + 1 || first <= self.snapshot.index.0 {
            return Err(StoreError::Gap { first, last });
        }
        self.log.append(&self.folder, entries)
    }
}

fn read_state(folder: &StoreFolder) -> Result<StateFile, StoreError> {
    if let Some(state) = folder.read_value(STATE_FILE)? {
        return Ok(state);
    }
    // A folder with a log or snapshot but no id has lost its state and is not a new folder.
    if folder
        .file_names()?
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
