//! Journal of records that are only needed for a limited time.

use std::fs::File;
use std::path::Path;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::folder::{self, StoreFolder};
use crate::record::{self, RecordRead};
use crate::{DiskFiles, StoreError, SystemFiles};

/// Prefix of the names of the journal's files; a number follows.
const FILE_PREFIX: &str = "journal-";

/// Journal that keeps its newest records in two files and deletes older ones.
///
/// Unlike a log, it may lose its last records: reading a file ends at the first damaged record.
#[derive(Debug)]
pub struct RecordJournal {
    folder: StoreFolder,
    file: File,
    number: u64,
    length: u64,
    max_file_bytes: u64,
    /// Whether a failed write may have left a part of a record after `length`.
    has_partial_record: bool,
}

impl RecordJournal {
    /// Opens a folder, and returns its records in the order in which they were written. Creates the
    /// folder if it does not exist.
    pub fn open<T: DeserializeOwned>(
        path: &Path,
        max_file_bytes: u64,
    ) -> Result<(Self, Vec<T>), StoreError> {
        Self::open_on(Arc::new(SystemFiles), path, max_file_bytes)
    }

    /// Opens a folder like [`open`](Self::open), with other file operations.
    pub fn open_on<T: DeserializeOwned>(
        files: Arc<dyn DiskFiles>,
        path: &Path,
        max_file_bytes: u64,
    ) -> Result<(Self, Vec<T>), StoreError> {
        let folder = StoreFolder::open(files, path)?;
        let mut numbers = file_numbers(&folder)?;
        numbers.sort_unstable();
        let (mut records, mut length) = (Vec::new(), 0);
        for number in &numbers {
            let bytes = folder.read(&file_name(*number))?;
            length = read_records(&bytes.unwrap_or_default(), &mut records);
        }
        // A process may restart again and again, so its restarts start no files.
        let (number, file) = match numbers.last() {
            Some(last) => (*last, folder.open_truncated(&file_name(*last), length)?),
            None => (0, folder.create(&file_name(0))?),
        };
        let journal = Self {
            folder,
            file,
            number,
            length,
            max_file_bytes,
            has_partial_record: false,
        };
        journal.remove_before(number.saturating_sub(1))?;
        Ok((journal, records))
    }

    /// Writes and syncs a record. After an error, the records that were written before are kept, and
    /// later ones can be written once the disk takes them.
    pub fn append<T: Serialize>(&mut self, record: &T) -> Result<(), StoreError> {
        // Records after a part of another one would not be read.
        if self.has_partial_record {
            let name = file_name(self.number);
            self.file = self.folder.open_truncated(&name, self.length)?;
            self.has_partial_record = false;
        }
        if self.length >= self.max_file_bytes {
            self.start_file()?;
        }
        let name = file_name(self.number);
        let bytes = folder::encode(&self.folder.file(&name), record)?;
        self.has_partial_record = true;
        self.folder.append(&mut self.file, &name, &bytes)?;
        self.has_partial_record = false;
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn start_file(&mut self) -> Result<(), StoreError> {
        let number = self.number + 1;
        self.file = self.folder.create(&file_name(number))?;
        let previous = self.number;
        self.number = number;
        self.length = 0;
        self.remove_before(previous)
    }

    fn remove_before(&self, first: u64) -> Result<(), StoreError> {
        for number in file_numbers(&self.folder)? {
            if number < first {
                self.folder.remove(&file_name(number))?;
            }
        }
        Ok(())
    }
}

fn file_name(number: u64) -> String {
    format!("{FILE_PREFIX}{number}")
}

fn file_numbers(folder: &StoreFolder) -> Result<Vec<u64>, StoreError> {
    let names = folder.file_names()?;
    let numbers = names
        .iter()
        .filter_map(|name| name.strip_prefix(FILE_PREFIX)?.parse().ok());
    Ok(numbers.collect())
}

/// Reads the records of a file up to the first damaged one, and returns their length in bytes.
fn read_records<T: DeserializeOwned>(bytes: &[u8], records: &mut Vec<T>) -> u64 {
    let mut remaining = bytes;
    while let RecordRead::Complete { body, rest } = record::read(remaining) {
        records.extend(record::decode(body));
        remaining = rest;
    }
    (bytes.len() - remaining.len()) as u64
}
