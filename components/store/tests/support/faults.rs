//! File operations that fail as on a full disk.

use std::fs::File;
use std::io::{self, Write};
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use store::{DiskFiles, SystemFiles};

/// Files whose operations with these numbers fail. A write that fails has written half of its bytes,
/// and a file that could not be created exists or not, in turn.
#[derive(Debug)]
pub(crate) struct FaultyFiles {
    failing: Range<usize>,
    next: AtomicUsize,
}

impl FaultyFiles {
    pub(crate) fn new(failing: Range<usize>) -> Arc<Self> {
        Arc::new(Self {
            failing,
            next: AtomicUsize::new(0),
        })
    }

    /// Number of operations so far.
    pub(crate) fn count(&self) -> usize {
        self.next.load(Ordering::Relaxed)
    }

    /// Whether the next operation fails, and its number.
    fn next(&self) -> (bool, usize) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        (self.failing.contains(&number), number)
    }

    fn check(&self) -> io::Result<()> {
        match self.next() {
            (true, _) => Err(io::ErrorKind::StorageFull.into()),
            (false, _) => Ok(()),
        }
    }
}

impl DiskFiles for FaultyFiles {
    fn create(&self, path: &Path) -> io::Result<File> {
        match self.next() {
            (true, number) => {
                if number.is_multiple_of(2) {
                    SystemFiles.create(path)?;
                }
                Err(io::ErrorKind::StorageFull.into())
            }
            (false, _) => SystemFiles.create(path),
        }
    }

    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        match self.next() {
            (true, _) => {
                file.write_all(&bytes[..bytes.len() / 2])?;
                Err(io::ErrorKind::StorageFull.into())
            }
            (false, _) => file.write_all(bytes),
        }
    }

    fn set_length(&self, file: &File, length: u64) -> io::Result<()> {
        self.check()?;
        file.set_len(length)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        self.check()?;
        file.sync_all()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.check()?;
        SystemFiles.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.check()?;
        SystemFiles.remove(path)
    }
}
