//! The log, stored in a sequence of segment files.
//!
//! Each record holds the entries of one batch, which replace all earlier entries from their first
//! index on. Each write therefore appends one record, a crash can tear only the last record, and
//! files are never rewritten.

use std::collections::VecDeque;
use std::fs::File;

use raft::{EntryId, LogEntry};

use crate::StoreError;
use crate::folder::{self, StoreFolder};
use crate::record::{self, RecordRead};

const SEGMENT_PREFIX: &str = "log-";

/// A segment file.
#[derive(Debug)]
struct LogSegment {
    number: u64,
    /// Largest entry index in its records; 0 if it has none.
    max_index: u64,
    bytes: u64,
}

impl LogSegment {
    fn name(&self) -> String {
        segment_name(self.number)
    }
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:012}")
}

/// Whether a file with this name is a segment.
pub(crate) fn is_segment(name: &str) -> bool {
    name.starts_with(SEGMENT_PREFIX)
}

/// Log entries in segment files, ordered from the oldest to the newest.
#[derive(Debug, Default)]
pub(crate) struct SegmentedLog {
    segments: VecDeque<LogSegment>,
    /// Newest segment, open for appending.
    file: Option<File>,
    last_number: u64,
    max_segment_bytes: u64,
    /// Ids of the log's entries.
    ids: VecDeque<EntryId>,
    /// Whether a failed write may have left a part of a record at the end of the newest segment.
    has_partial_record: bool,
}

impl SegmentedLog {
    /// Reads all segments and truncates a torn record at the end of the newest one.
    pub(crate) fn open(
        folder: &StoreFolder,
        max_segment_bytes: u64,
    ) -> Result<(Self, Vec<LogEntry>), StoreError> {
        let numbers = segment_numbers(folder)?;
        let mut log = Self {
            max_segment_bytes,
            ..Self::default()
        };
        let mut entries = Vec::new();
        let newest = numbers.last().copied();
        for number in numbers {
            log.check_order(folder, number)?;
            let is_newest = Some(number) == newest;
            log.read_segment(folder, number, is_newest, &mut entries)?;
        }
        log.ids = entries.iter().map(|entry| entry.id).collect();
        Ok((log, entries))
    }

    fn check_order(&self, folder: &StoreFolder, number: u64) -> Result<(), StoreError> {
        if self.last_number != 0 && number != self.last_number + 1 {
            return Err(folder.corrupt(
                &segment_name(number),
                0,
                "the previous segment is missing",
            ));
        }
        Ok(())
    }

    fn read_segment(
        &mut self,
        folder: &StoreFolder,
        number: u64,
        is_newest: bool,
        entries: &mut Vec<LogEntry>,
    ) -> Result<(), StoreError> {
        let name = segment_name(number);
        let bytes = folder.read(&name)?.unwrap_or_default();
        let records = read_records(folder, &name, &bytes, entries)?;
        if records.valid_bytes < bytes.len() && !is_newest {
            let offset = records.valid_bytes as u64;
            return Err(folder.corrupt(&name, offset, "the record is incomplete"));
        }
        let valid_bytes = records.valid_bytes as u64;
        if is_newest {
            self.file = Some(folder.open_truncated(&name, valid_bytes)?);
        }
        self.last_number = number;
        self.segments.push_back(LogSegment {
            number,
            max_index: records.max_index,
            bytes: valid_bytes,
        });
        Ok(())
    }

    /// Size of all segments.
    pub(crate) fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// Whether the log has an entry with this index and term.
    pub(crate) fn contains(&self, id: EntryId) -> bool {
        let Some(first) = self.ids.front() else {
            return false;
        };
        let offset = id.index.0.checked_sub(first.index.0);
        offset.is_some_and(|offset| self.ids.get(offset as usize) == Some(&id))
    }

    /// Index of the first entry, if any.
    pub(crate) fn first_index(&self) -> Option<u64> {
        self.ids.front().map(|id| id.index.0)
    }

    /// Index of the last entry, if any.
    pub(crate) fn last_index(&self) -> Option<u64> {
        self.ids.back().map(|id| id.index.0)
    }

    /// Appends a batch, whose entries continue the log or replace its tail. After an error, the log is
    /// as before, and the same batch can be appended again.
    pub(crate) fn append(
        &mut self,
        folder: &StoreFolder,
        entries: &[LogEntry],
    ) -> Result<(), StoreError> {
        let (Some(first), Some(last)) = (entries.first(), entries.last()) else {
            return Ok(());
        };
        self.cut_partial_record(folder)?;
        if self.is_full() {
            self.start_segment(folder)?;
        }
        let (Some(segment), Some(file)) = (self.segments.back_mut(), &mut self.file) else {
            return Err(StoreError::EarlierWriteFailed);
        };
        let name = segment.name();
        let record = folder::encode(&folder.file(&name), &entries)?;
        self.has_partial_record = true;
        folder.append(file, &name, &record)?;
        self.has_partial_record = false;
        segment.bytes += record.len() as u64;
        segment.max_index = segment.max_index.max(last.id.index.0);
        while self.ids.back().is_some_and(|id| id.index >= first.id.index) {
            self.ids.pop_back();
        }
        self.ids.extend(entries.iter().map(|entry| entry.id));
        Ok(())
    }

    /// Removes what a failed write has left, which may be a whole record. It was not synced, so
    /// records after it could be durable without it.
    pub(crate) fn cut_partial_record(&mut self, folder: &StoreFolder) -> Result<(), StoreError> {
        if let Some(newest) = self.segments.back().filter(|_| self.has_partial_record) {
            self.file = Some(folder.open_truncated(&newest.name(), newest.bytes)?);
        }
        self.has_partial_record = false;
        Ok(())
    }

    fn is_full(&self) -> bool {
        self.segments
            .back()
            .is_none_or(|segment| segment.bytes >= self.max_segment_bytes)
    }

    fn start_segment(&mut self, folder: &StoreFolder) -> Result<(), StoreError> {
        let number = self.last_number + 1;
        self.file = Some(folder.create(&segment_name(number))?);
        self.last_number = number;
        self.segments.push_back(LogSegment {
            number,
            max_index: 0,
            bytes: 0,
        });
        Ok(())
    }

    /// Removes the entries that a snapshot contains, and deletes the oldest segments that hold only
    /// such entries. The newest segment is always kept.
    pub(crate) fn remove_through(
        &mut self,
        folder: &StoreFolder,
        snapshot: EntryId,
    ) -> Result<(), StoreError> {
        while let Some(oldest) = self.segments.front().filter(|_| self.segments.len() > 1)
            && oldest.max_index <= snapshot.index.0
        {
            folder.remove(&oldest.name())?;
            self.segments.pop_front();
        }
        while self
            .ids
            .front()
            .is_some_and(|id| id.index <= snapshot.index)
        {
            self.ids.pop_front();
        }
        Ok(())
    }

    /// Removes the entries that a snapshot contains like [`remove_through`](Self::remove_through), and
    /// frees all of their room: writes the entries after the snapshot to a new segment, and deletes all
    /// others. Both hold the same log in between.
    pub(crate) fn shrink_through(
        &mut self,
        folder: &StoreFolder,
        snapshot: EntryId,
    ) -> Result<(), StoreError> {
        // What is certainly superseded goes first: on a full disk, the new segment needs its room.
        self.remove_through(folder, snapshot)?;
        let mut entries = self.read_entries(folder)?;
        entries.retain(|entry| entry.id.index > snapshot.index);
        let superseded_count = self.segments.len();
        if !entries.is_empty() {
            self.cut_partial_record(folder)?;
            self.start_segment(folder)?;
            self.append(folder, &entries)?;
        }
        for _ in 0..superseded_count {
            if let Some(oldest) = self.segments.front() {
                folder.remove(&oldest.name())?;
                self.segments.pop_front();
            }
        }
        if self.segments.is_empty() {
            self.file = None;
        }
        self.ids = entries.iter().map(|entry| entry.id).collect();
        Ok(())
    }

    /// Reads the entries of all segments.
    fn read_entries(&self, folder: &StoreFolder) -> Result<Vec<LogEntry>, StoreError> {
        let mut entries = Vec::new();
        for segment in &self.segments {
            let name = segment.name();
            let bytes = folder.read(&name)?.unwrap_or_default();
            // A failed write may have left a part of a record after the others.
            let length = bytes.len().min(segment.bytes as usize);
            let records = read_records(folder, &name, &bytes[..length], &mut entries)?;
            if records.valid_bytes < length {
                let offset = records.valid_bytes as u64;
                return Err(folder.corrupt(&name, offset, "the record is incomplete"));
            }
        }
        Ok(entries)
    }

    /// Deletes all segments, the newest one first. After a crash in between, the remaining log
    /// still lacks the last entry of the snapshot, so that opening the folder deletes it too.
    pub(crate) fn clear(&mut self, folder: &StoreFolder) -> Result<(), StoreError> {
        self.file = None;
        while let Some(newest) = self.segments.back() {
            folder.remove(&newest.name())?;
            self.segments.pop_back();
        }
        self.ids.clear();
        Ok(())
    }
}

/// Complete records of a segment.
struct SegmentRecords {
    /// Largest entry index in the records; 0 if there are none.
    max_index: u64,
    /// Size of the records. An incomplete one may follow them.
    valid_bytes: usize,
}

/// Adds the entries of all complete records in the content of a segment.
fn read_records(
    folder: &StoreFolder,
    name: &str,
    bytes: &[u8],
    entries: &mut Vec<LogEntry>,
) -> Result<SegmentRecords, StoreError> {
    let mut rest = bytes;
    let mut max_index = 0;
    while !rest.is_empty() {
        let offset = (bytes.len() - rest.len()) as u64;
        let corrupt = |reason| folder.corrupt(name, offset, reason);
        match record::read(rest) {
            RecordRead::Complete { body, rest: after } => {
                let batch: Vec<LogEntry> = record::decode(body)
                    .ok_or_else(|| corrupt("the record body cannot be decoded"))?;
                max_index = max_index.max(replace_tail(entries, batch).map_err(corrupt)?);
                rest = after;
            }
            RecordRead::Torn => break,
            RecordRead::Corrupt { reason } => return Err(corrupt(reason)),
        }
    }
    Ok(SegmentRecords {
        max_index,
        valid_bytes: bytes.len() - rest.len(),
    })
}

/// Replaces the tail of `entries` by a batch, from the first index of the batch on, and returns the
/// last index of the batch.
fn replace_tail(entries: &mut Vec<LogEntry>, batch: Vec<LogEntry>) -> Result<u64, &'static str> {
    let index = |entry: &LogEntry| entry.id.index.0;
    let (Some(first), Some(last)) = (batch.first().map(index), batch.last().map(index)) else {
        return Err("the batch has no entries");
    };
    if !batch.iter().map(index).eq(first..=last) {
        return Err("the entry indexes of the batch are not consecutive");
    }
    if entries.last().is_some_and(|entry| first > index(entry) + 1) {
        return Err("entries before this record are missing");
    }
    let kept = entries.partition_point(|entry| index(entry) < first);
    entries.truncate(kept);
    entries.extend(batch);
    Ok(last)
}

fn segment_numbers(folder: &StoreFolder) -> Result<Vec<u64>, StoreError> {
    let names = folder.file_names()?;
    let numbers = names
        .iter()
        .filter_map(|name| name.strip_prefix(SEGMENT_PREFIX)?.parse().ok());
    let mut numbers: Vec<u64> = numbers.collect();
    numbers.sort_unstable();
    Ok(numbers)
}
