//! File operations in one folder, each durable when it returns.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::StoreError;
use crate::record::{self, RecordRead};

/// File that is locked while a process uses the folder.
pub(crate) const LOCK_FILE: &str = "lock";

/// Suffix of a file that is written before it replaces another.
const NEW_SUFFIX: &str = ".new";

/// A folder that this process has locked.
#[derive(Debug)]
pub(crate) struct StoreFolder {
    path: PathBuf,
    /// Locked until it is closed or unlocked.
    lock: File,
}

impl StoreFolder {
    /// Creates the folder if necessary and locks it.
    pub(crate) fn open(path: &Path) -> Result<Self, StoreError> {
        fs::create_dir_all(path).map_err(failed("create", path))?;
        if let Some(parent) = path
            .parent()
            .filter(|parent| !parent.as_os_str().is_empty())
        {
            sync_folder(parent)?;
        }
        let lock = lock(&path.join(LOCK_FILE))?;
        let folder = Self {
            path: path.to_path_buf(),
            lock,
        };
        folder.remove_leftovers()?;
        Ok(folder)
    }

    /// Lets another owner open the folder.
    pub(crate) fn unlock(&self) -> Result<(), StoreError> {
        let path = self.file(LOCK_FILE);
        self.lock.unlock().map_err(failed("unlock", &path))
    }

    /// Removes files whose replacement a crash has interrupted.
    fn remove_leftovers(&self) -> Result<(), StoreError> {
        for name in self.names()? {
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

    /// Names of all files.
    pub(crate) fn names(&self) -> Result<Vec<String>, StoreError> {
        let fail = failed("list", &self.path);
        let entries = fs::read_dir(&self.path).map_err(&fail)?;
        let mut names = Vec::new();
        for entry in entries {
            let name = entry.map_err(&fail)?.file_name();
            names.extend(name.into_string());
        }
        Ok(names)
    }

    /// Content of a file, if it exists.
    pub(crate) fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let path = self.file(name);
        match fs::read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(failed("read", &path)(error)),
        }
    }

    /// Value of a file that holds one record.
    pub(crate) fn read_value<T: DeserializeOwned>(
        &self,
        name: &str,
    ) -> Result<Option<T>, StoreError> {
        let Some(bytes) = self.read(name)? else {
            return Ok(None);
        };
        let fail = |reason| self.corrupt(name, 0, reason);
        match record::read(&bytes) {
            RecordRead::Whole { body, rest: [] } => {
                let value = record::decode(body);
                value
                    .map(Some)
                    .ok_or_else(|| fail("the content is unknown"))
            }
            RecordRead::Whole { .. } => Err(fail("bytes follow the record")),
            // The file was synced before it got its name, so it cannot be torn by a crash.
            RecordRead::Torn => Err(fail("the record is incomplete")),
            RecordRead::Corrupt { reason } => Err(fail(reason)),
        }
    }

    /// Replaces a file by one record: write, sync, rename, sync folder.
    pub(crate) fn replace<T: Serialize>(&self, name: &str, value: &T) -> Result<(), StoreError> {
        let path = self.file(name);
        let new = self.file(&format!("{name}{NEW_SUFFIX}"));
        let bytes = encode(&path, value)?;
        let mut file = File::create(&new).map_err(failed("create", &new))?;
        file.write_all(&bytes).map_err(failed("write", &new))?;
        file.sync_all().map_err(failed("sync", &new))?;
        fs::rename(&new, &path).map_err(failed("rename", &new))?;
        sync_folder(&self.path)
    }

    /// Creates an empty file.
    pub(crate) fn create(&self, name: &str) -> Result<File, StoreError> {
        let path = self.file(name);
        let file = OpenOptions::new()
            .append(true)
            .create_new(true)
            .open(&path)
            .map_err(failed("create", &path))?;
        file.sync_all().map_err(failed("sync", &path))?;
        sync_folder(&self.path)?;
        Ok(file)
    }

    /// Opens a file to append, cutting it to a length.
    pub(crate) fn open_cut(&self, name: &str, length: u64) -> Result<File, StoreError> {
        let path = self.file(name);
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(failed("open", &path))?;
        file.set_len(length).map_err(failed("truncate", &path))?;
        file.sync_all().map_err(failed("sync", &path))?;
        Ok(file)
    }

    /// Appends bytes to an open file.
    pub(crate) fn append(
        &self,
        file: &mut File,
        name: &str,
        bytes: &[u8],
    ) -> Result<(), StoreError> {
        let path = self.file(name);
        file.write_all(bytes).map_err(failed("write", &path))?;
        file.sync_all().map_err(failed("sync", &path))
    }

    /// Deletes a file.
    pub(crate) fn remove(&self, name: &str) -> Result<(), StoreError> {
        let path = self.file(name);
        fs::remove_file(&path).map_err(failed("delete", &path))?;
        sync_folder(&self.path)
    }

    pub(crate) fn corrupt(&self, name: &str, offset: u64, reason: &'static str) -> StoreError {
        StoreError::Corrupt {
            path: self.file(name),
            offset,
            reason,
        }
    }
}

/// Encodes a record for a file.
pub(crate) fn encode<T: Serialize>(path: &Path, value: &T) -> Result<Vec<u8>, StoreError> {
    let fail = failed("encode", path);
    record::encode(value).map_err(|error| fail(io::Error::other(error)))
}

fn lock(path: &Path) -> Result<File, StoreError> {
    let file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
        .map_err(failed("open", path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked {
            path: path.to_path_buf(),
        }),
        Err(TryLockError::Error(error)) => Err(failed("lock", path)(error)),
    }
}

fn sync_folder(path: &Path) -> Result<(), StoreError> {
    let folder = File::open(path).map_err(failed("open", path))?;
    folder.sync_all().map_err(failed("sync", path))
}

fn failed<'a>(operation: &'static str, path: &'a Path) -> impl Fn(io::Error) -> StoreError + 'a {
    move |source| StoreError::Io {
        operation,
        path: path.to_path_buf(),
        source,
    }
}
