//! Disk of a node with injected faults.

use std::collections::BTreeSet;
use std::fs::{self, File, Metadata};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use store::{DiskFiles, SystemFiles};

/// Disk of a node, which refuses every write while it is full. A refused write has written half of
/// its bytes. With a capacity, it takes as many bytes as fit, and creates, renames and cuts files.
#[derive(Debug)]
pub(crate) struct TestDisk {
    is_full: AtomicBool,
    capacity: AtomicU64,
    /// Folders of the files.
    folders: Mutex<BTreeSet<PathBuf>>,
}

impl Default for TestDisk {
    fn default() -> Self {
        Self {
            is_full: AtomicBool::new(false),
            capacity: AtomicU64::new(u64::MAX),
            folders: Mutex::default(),
        }
    }
}

impl TestDisk {
    pub(crate) fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, Ordering::SeqCst);
    }

    pub(crate) fn set_capacity(&self, bytes: u64) {
        self.capacity.store(bytes, Ordering::SeqCst);
    }

    /// Size of all files.
    pub(crate) fn used_bytes(&self) -> u64 {
        let folders = self.folders.lock().unwrap();
        let files = folders
            .iter()
            .flat_map(|folder| fs::read_dir(folder).unwrap());
        let metadata = files.filter_map(|file| file.unwrap().metadata().ok());
        let lengths = metadata.filter(Metadata::is_file).map(|file| file.len());
        lengths.sum()
    }

    fn check(&self) -> io::Result<()> {
        match self.is_full.load(Ordering::SeqCst) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl DiskFiles for TestDisk {
    fn create(&self, path: &Path) -> io::Result<File> {
        self.check()?;
        let folder = path.parent().unwrap().to_path_buf();
        self.folders.lock().unwrap().insert(folder);
        SystemFiles.create(path)
    }

    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.check() {
            file.write_all(&bytes[..bytes.len() / 2])?;
            return Err(error);
        }
        let capacity = self.capacity.load(Ordering::SeqCst);
        let free_bytes = match capacity {
            u64::MAX => u64::MAX,
            capacity => capacity.saturating_sub(self.used_bytes()),
        };
        if (bytes.len() as u64) > free_bytes {
            file.write_all(&bytes[..free_bytes as usize])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        file.write_all(bytes)
    }

    fn set_length(&self, file: &File, length: u64) -> io::Result<()> {
        self.check()?;
        SystemFiles.set_length(file, length)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.check()?;
        SystemFiles.rename(from, to)
    }
}
