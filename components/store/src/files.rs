//! Operations that change files, behind a trait, so that tests can inject the faults of a disk.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Operations that change the files of a folder. The defaults are those of the operating system.
pub trait DiskFiles: fmt::Debug + Send + Sync {
    /// Creates an empty file for appending, in place of one with this name.
    fn create(&self, path: &Path) -> io::Result<File> {
        // `append` excludes `truncate` on opening.
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        file.set_len(0)?;
        Ok(file)
    }

    /// Appends bytes to a file. After an error, any part of them may have been written.
    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    /// Changes the length of a file.
    fn set_length(&self, file: &File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    /// Writes the content of a file or folder to the disk.
    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_all()
    }

    /// Renames a file, in place of one with the new name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    /// Deletes a file.
    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }
}

/// Files of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemFiles;

impl DiskFiles for SystemFiles {}
