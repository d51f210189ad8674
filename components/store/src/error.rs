//! Errors of the store.

use std::io::{self, ErrorKind};
use std::path::PathBuf;

use thiserror::Error;

/// Input or output error of the device, which has no [`ErrorKind`].
const EIO: i32 = 5;

/// Error of the store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error("Failed to {operation} {}: {source}", path.display())]
    Io {
        /// Attempted operation, as a verb.
        operation: &'static str,
        /// File or folder of the operation.
        path: PathBuf,
        /// Error that the operating system returned.
        source: io::Error,
    },
    /// Another process has the folder open.
    #[error("Failed to lock {}: another process uses this folder", path.display())]
    Locked {
        /// Path of the lock file.
        path: PathBuf,
    },
    /// The content of a file is damaged, or a file is missing.
    #[error("Failed to read {} at byte {offset}: {reason}", path.display())]
    Corrupt {
        /// Damaged or missing file.
        path: PathBuf,
        /// Offset of the damaged record, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: &'static str,
    },
    /// The first entry of a batch neither continues the log nor replaces an entry of it.
    #[error("Failed to append entry {first}: the last entry of the log is {last}")]
    Gap {
        /// Index of the first entry of the batch.
        first: u64,
        /// Last index of the log.
        last: u64,
    },
    /// The store was cleared, or an earlier batch did not fit to the log.
    #[error("Failed to persist: an earlier error requires that the folder is opened again")]
    EarlierWriteFailed,
}

impl StoreError {
    /// Whether a file operation failed.
    pub fn is_io(&self) -> bool {
        matches!(self, Self::Io { .. })
    }

    /// Whether the disk, or a quota on it, has no room for a write.
    pub fn is_out_of_room(&self) -> bool {
        let Self::Io { source, .. } = self else {
            return false;
        };
        let kind = source.kind();
        matches!(kind, ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
    }

    /// Whether the disk refused a write, and may take it later: it is full, over a quota, read-only or
    /// reports an input or output error.
    pub fn is_refused_write(&self) -> bool {
        let Self::Io { source, .. } = self else {
            return false;
        };
        let is_passing_kind = matches!(
            source.kind(),
            ErrorKind::StorageFull
                | ErrorKind::QuotaExceeded
                | ErrorKind::FileTooLarge
                | ErrorKind::ReadOnlyFilesystem
        );
        is_passing_kind || source.raw_os_error() == Some(EIO)
    }
}
