//! The log as a row of segment files.
//!
//! Each record holds the entries of one batch, and they replace all entries from their first index
//! on. So one write is one record, a crash can tear only the last one, and files are never
//! rewritten.

use std::collections::VecDeque;
use std::fs::File;

use raft::{EntryId, LogEntry};

use crate::StoreError;
use crate::folder::{self, StoreFolder};
use crate::record::{self, RecordRead};

const PREFIX: &str = "log-";

/// One segment file.
#[derive(Debug)]
struct LogSegment {
    number: u64,
    /// Largest index that any of its records holds.
    newest: u64,
    bytes: u64,
}

impl LogSegment {
    fn name(&self) -> String {
        segment_name(self.number)
    }
}

fn segment_name(number: u64) -> String {
    format!("{PREFIX}{number:012}")
}

/// Whether a file is a segment.
pub(crate) fn is_segment(name: &str) -> bool {
    name.starts_with(PREFIX)
}

/// The row of segments.
#[derive(Debug, Default)]
pub(crate) struct SegmentRow {
    segments: VecDeque<LogSegment>,
    /// Newest segment, open to append.
    file: Option<File>,
    last_number: u64,
    max_bytes: u64,
    /// Entries that the log holds, without their content.
    ids: VecDeque<EntryId>,
}

impl SegmentRow {
    /// Reads all segments and cuts off a torn last record.
    pub(crate) fn open(
        folder: &StoreFolder,
        max_bytes: u64,
    ) -> Result<(Self, Vec<LogEntry>), StoreError> {
        let numbers = segment_numbers(folder)?;
        let mut row = Self {
            max_bytes,
            ..Self::default()
        };
        let mut entries = Vec::new();
        let newest = numbers.last().copied();
        for number in numbers {
            row.check_order(folder, number)?;
            let is_newest = Some(number) == newest;
            row.read_segment(folder, number, is_newest, &mut entries)?;
        }
        row.ids = entries.iter().map(|entry| entry.id).collect();
        Ok((row, entries))
    }

    fn check_order(&self, folder: &StoreFolder, number: u64) -> Result<(), StoreError> {
        if self.last_number != 0 && number != self.last_number + 1 {
            return Err(folder.corrupt(&segment_name(number), 0, "the segment before is missing"));
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
        let mut rest = &bytes[..];
        let mut newest = 0;
        while !rest.is_empty() {
            let offset = (bytes.len() - rest.len()) as u64;
            let corrupt = |reason| folder.corrupt(&name, offset, reason);
            match record::read(rest) {
                RecordRead::Whole { body, rest: after } => {
                    let batch: Vec<LogEntry> =
                        record::decode(body).ok_or_else(|| corrupt("the content is unknown"))?;
                    newest = newest.max(replace_tail(entries, batch).map_err(corrupt)?);
                    rest = after;
                }
                RecordRead::Torn if is_newest => break,
                RecordRead::Torn => return Err(corrupt("the record is incomplete")),
                RecordRead::Corrupt { reason } => return Err(corrupt(reason)),
            }
        }
        let valid = (bytes.len() - rest.len()) as u64;
        if is_newest {
            self.file = Some(folder.open_cut(&name, valid)?);
        }
        self.last_number = number;
        self.segments.push_back(LogSegment {
            number,
            newest,
            bytes: valid,
        });
        Ok(())
    }

    /// Whether the log holds this entry.
    pub(crate) fn contains(&self, id: EntryId) -> bool {
        let Some(first) = self.ids.front() else {
            return false;
        };
        let place = id.index.0.checked_sub(first.index.0);
        place.is_some_and(|place| self.ids.get(place as usize) == Some(&id))
    }

    /// Index of the first entry.
    pub(crate) fn first_index(&self) -> Option<u64> {
        self.ids.front().map(|id| id.index.0)
    }

    /// Index of the last entry.
    pub(crate) fn last_index(&self) -> Option<u64> {
        self.ids.back().map(|id| id.index.0)
    }

    /// Appends a batch that continues the log or replaces its tail.
    pub(crate) fn append(
        &mut self,
        folder: &StoreFolder,
        entries: &[LogEntry],
    ) -> Result<(), StoreError> {
        let (Some(first), Some(last)) = (entries.first(), entries.last()) else {
            return Ok(());
        };
        if self.is_full() {
            self.rotate(folder)?;
        }
        let (Some(segment), Some(file)) = (self.segments.back_mut(), &mut self.file) else {
            return Err(StoreError::EarlierWriteFailed);
        };
        let name = segment.name();
        let record = folder::encode(&folder.file(&name), &entries)?;
        folder.append(file, &name, &record)?;
        segment.bytes += record.len() as u64;
        segment.newest = segment.newest.max(last.id.index.0);
        while self.ids.back().is_some_and(|id| id.index >= first.id.index) {
            self.ids.pop_back();
        }
        self.ids.extend(entries.iter().map(|entry| entry.id));
        Ok(())
    }

    fn is_full(&self) -> bool {
        self.segments
            .back()
            .is_none_or(|segment| segment.bytes >= self.max_bytes)
    }

    fn rotate(&mut self, folder: &StoreFolder) -> Result<(), StoreError> {
        let number = self.last_number + 1;
        self.file = Some(folder.create(&segment_name(number))?);
        self.last_number = number;
        self.segments.push_back(LogSegment {
            number,
            newest: 0,
            bytes: 0,
        });
        Ok(())
    }

    /// Deletes the oldest segments as far as a snapshot contains all their entries.
    pub(crate) fn drop_before(
        &mut self,
        folder: &StoreFolder,
        snapshot: EntryId,
    ) -> Result<(), StoreError> {
        while let Some(oldest) = self.segments.front().filter(|_| self.segments.len() > 1)
            && oldest.newest <= snapshot.index.0
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

    /// Deletes everything. The newest segment goes first: what a crash leaves is then still a log
    /// without the last entry of the snapshot, and is deleted when the folder is opened.
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

/// Adds a batch to the entries read so far and returns its last index.
fn replace_tail(entries: &mut Vec<LogEntry>, batch: Vec<LogEntry>) -> Result<u64, &'static str> {
    let index = |entry: &LogEntry| entry.id.index.0;
    let (Some(first), Some(last)) = (batch.first().map(index), batch.last().map(index)) else {
        return Err("the batch is empty");
    };
    if !batch.iter().map(index).eq(first..=last) {
        return Err("the indexes of the batch have gaps");
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
    let names = folder.names()?;
    let numbers = names
        .iter()
        .filter_map(|name| name.strip_prefix(PREFIX)?.parse().ok());
    let mut numbers: Vec<u64> = numbers.collect();
    numbers.sort_unstable();
    Ok(numbers)
}
