//! Durable file operations in one folder: each has been synced when it returns.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::record::{self, RecordRead};
use crate::{DiskFiles, StoreError};

/// File that is locked while a process has the folder open.
pub(crate) const LOCK_FILE: &str = "lock";

/// Suffix of a new version of a file until it replaces the old version.
const NEW_SUFFIX: &str = ".new";

/// Folder that is locked by this process.
#[derive(Debug)]
pub(crate) struct StoreFolder {
    path: PathBuf,
    files: Arc<dyn DiskFiles>,
    /// Open lock file; closing it releases the lock.
    lock: File,
}

impl StoreFolder {
    /// Locks the folder, after creating it if it does not exist.
    pub(crate) fn open(files: Arc<dyn DiskFiles>, path: &Path) -> Result<Self, StoreError> {
        fs::create_dir_all(path).map_err(io_error("create", path))?;
        if let Some(parent) = path
            .parent()
            .filter(|parent| !parent.as_os_str().is_empty())
        {
            sync_folder(files.as_ref(), parent)?;
        }
        let lock = lock(&path.join(LOCK_FILE))?;
        let folder = Self {
            path: path.to_path_buf(),
            files,
            lock,
        };
        folder.remove_unfinished_replacements()?;
        Ok(folder)
    }

    /// Releases the lock, so that the folder can be opened again.
    pub(crate) fn unlock(&self) -> Result<(), StoreError> {
        let path = self.file(LOCK_FILE);
        self.lock.unlock().map_err(io_error("unlock", &path))
    }

    /// Removes new versions of files that a crash has left before their rename.
    fn remove_unfinished_replacements(&self) -> Result<(), StoreError> {
        for name in self.file_names()? {
            if name.ends_with(NEW_SUFFIX) {
                self.remove(&name)?;
            }
        }
        Ok(())
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Names of all files, in no particular order. Folders are left out.
    pub(crate) fn file_names(&self) -> Result<Vec<String>, StoreError> {
        let to_error = io_error("list", &self.path);
        let entries = fs::read_dir(&self.path).map_err(&to_error)?;
        let mut names = Vec::new();
        for entry in entries {
            let entry = entry.map_err(&to_error)?;
            if entry.file_type().map_err(&to_error)?.is_file() {
                names.extend(entry.file_name().into_string());
            }
        }
        Ok(names)
    }

    /// Reads the content of a file; `None` if it does not exist.
    pub(crate) fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let path = self.file(name);
        match fs::read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(io_error("read", &path)(error)),
        }
    }

    /// Length of a file; 0 if it does not exist.
    pub(crate) fn length(&self, name: &str) -> Result<u64, StoreError> {
        let path = self.file(name);
        match fs::metadata(&path) {
            Ok(metadata) => Ok(metadata.len()),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(0),
            Err(error) => Err(io_error("read", &path)(error)),
        }
    }

    /// Reads and decodes a file that holds one record; `None` if it does not exist.
    pub(crate) fn read_value<T: DeserializeOwned>(
        &self,
        name: &str,
    ) -> Result<Option<T>, StoreError> {
        let Some(bytes) = self.read(name)? else {
            return Ok(None);
        };
        let to_error = |reason| self.corrupt(name, 0, reason);
        match record::read(&bytes) {
            RecordRead::Complete { body, rest: [] } => {
                let value = record::decode(body);
                value
                    .map(Some)
                    .ok_or_else(|| to_error("the record body cannot be decoded"))
            }
            RecordRead::Complete { .. } => Err(to_error("the record has trailing bytes")),
            // The file was synced before its rename, so a crash cannot have truncated the record.
            RecordRead::Torn => Err(to_error("the record is incomplete")),
            RecordRead::Corrupt { reason } => Err(to_error(reason)),
        }
    }

    /// Replaces a file by one record: writes a new file, syncs it, renames it and syncs the folder.
    pub(crate) fn replace<T: Serialize>(&self, name: &str, value: &T) -> Result<(), StoreError> {
        let path = self.file(name);
        let new = self.file(&format!("{name}{NEW_SUFFIX}"));
        let bytes = encode(&path, value)?;
        let files = self.files.as_ref();
        let mut file = files.create(&new).map_err(io_error("create", &new))?;
        if let Err(error) = files.write(&mut file, &bytes) {
            // A part of the new version takes room on a full disk. The next attempt replaces it if it
            // cannot be deleted.
            let _ = files.remove(&new);
            return Err(io_error("write", &new)(error));
        }
        files.sync(&file).map_err(io_error("sync", &new))?;
        files
            .rename(&new, &path)
            .map_err(io_error("rename", &new))?;
        sync_folder(files, &self.path)
    }

    /// Creates an empty file for appending. Empties one that an earlier attempt has left.
    pub(crate) fn create(&self, name: &str) -> Result<File, StoreError> {
        let path = self.file(name);
        let file = self
            .files
            .create(&path)
            .map_err(io_error("create", &path))?;
        self.files.sync(&file).map_err(io_error("sync", &path))?;
        sync_folder(self.files.as_ref(), &self.path)?;
        Ok(file)
    }

    /// Creates a file of `length` bytes with room for them on the disk, in place of one with this name.
    pub(crate) fn create_filled(&self, name: &str, length: u64) -> Result<(), StoreError> {
        const BLOCK_BYTES: u64 = 64 * 1024;
        let path = self.file(name);
        let mut file = self.create(name)?;
        let block = [0; BLOCK_BYTES as usize];
        for start in (0..length).step_by(BLOCK_BYTES as usize) {
            let bytes = &block[..BLOCK_BYTES.min(length - start) as usize];
            let written = self.files.write(&mut file, bytes);
            written.map_err(io_error("write", &path))?;
        }
        self.files.sync(&file).map_err(io_error("sync", &path))
    }

    /// Opens a file for appending, after truncating it to `length` bytes.
    pub(crate) fn open_truncated(&self, name: &str, length: u64) -> Result<File, StoreError> {
        let path = self.file(name);
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(io_error("open", &path))?;
        let metadata = file.metadata().map_err(io_error("read", &path))?;
        // A full disk may refuse even this, so a whole file is left as it is.
        if metadata.len() != length {
            self.files
                .set_length(&file, length)
                .map_err(io_error("truncate", &path))?;
        }
        self.files.sync(&file).map_err(io_error("sync", &path))?;
        Ok(file)
    }

    /// Appends bytes to an open file and syncs it.
    pub(crate) fn append(
        &self,
        file: &mut File,
        name: &str,
        bytes: &[u8],
    ) -> Result<(), StoreError> {
        let path = self.file(name);
        self.files
            .write(file, bytes)
            .map_err(io_error("write", &path))?;
        self.files.sync(file).map_err(io_error("sync", &path))
    }

    /// Deletes a file, unless an earlier attempt has, and syncs the folder.
    pub(crate) fn remove(&self, name: &str) -> Result<(), StoreError> {
        let path = self.file(name);
        match self.files.remove(&path) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(io_error("delete", &path)(error)),
        }
        sync_folder(self.files.as_ref(), &self.path)
    }

    pub(crate) fn corrupt(&self, name: &str, offset: u64, reason: &'static str) -> StoreError {
        StoreError::Corrupt {
            path: self.file(name),
            offset,
            reason,
        }
    }
}

/// Encodes a value as a record. An error names `path`, the file for which it is encoded.
pub(crate) fn encode<T: Serialize>(path: &Path, value: &T) -> Result<Vec<u8>, StoreError> {
    let to_error = io_error("encode", path);
    record::encode(value).map_err(|error| to_error(io::Error::other(error)))
}

fn lock(path: &Path) -> Result<File, StoreError> {
    let file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
        .map_err(io_error("open", path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked {
            path: path.to_path_buf(),
        }),
        Err(TryLockError::Error(error)) => Err(io_error("lock", path)(error)),
    }
}

fn sync_folder(files: &dyn DiskFiles, path: &Path) -> Result<(), StoreError> {
    let folder = File::open(path).map_err(io_error("open", path))?;
    files.sync(&folder).map_err(io_error("sync", path))
}

fn io_error<'a>(operation: &'static str, path: &'a Path) -> impl Fn(io::Error) -> StoreError + 'a {
    move |source| StoreError::Io {
        operation,
        path: path.to_path_buf(),
        source,
    }
}
