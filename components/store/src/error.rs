//! Errors of the store.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Error of the store. After an error from `persist` the store must be opened again.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error("Failed to {operation} {}: {source}", path.display())]
    Io {
        /// What was attempted.
        operation: &'static str,
        /// File or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process has the folder open.
    #[error("Failed to lock {}: another process uses this folder", path.display())]
    Locked {
        /// Lock file.
        path: PathBuf,
    },
    /// The content of a file is damaged.
    #[error("Failed to read {} at byte {offset}: {reason}", path.display())]
    Corrupt {
        /// Damaged file.
        path: PathBuf,
        /// Start of the damaged record.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// A batch does not continue the log.
    #[error("Failed to append entry {first}: the log ends at {last}")]
    Gap {
        /// Index of the first new entry.
        first: u64,
        /// Last index of the log.
        last: u64,
    },
    /// An earlier write failed, so the content of the files is not known.
    #[error("Failed to persist: an earlier write failed and the folder must be opened again")]
    EarlierWriteFailed,
}
