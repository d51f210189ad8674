//! Errors of the store.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Error of the store. After an error of `persist`, the store must be opened again.
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
    /// An earlier write failed and may have left any part of its data in the files.
    #[error("Failed to persist: an earlier write failed, so the folder must be opened again")]
    EarlierWriteFailed,
}
