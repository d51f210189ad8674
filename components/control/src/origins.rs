//! Origins of streams at a control node, in memory and in a journal on disk.
//!
//! An entry sends each origin to several control nodes, and a copy that is found anywhere is true, so
//! the origins need no quorum. The journal brings them back after all control nodes have lost power
//! at once. It is written in groups by a thread of its own, so a slow disk delays nobody.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use board::StateBoard;
use origins::OriginTable;
use registry::WallTime;
use store::{DiskFiles, RecordJournal, StoreError};
use telemetry::{event, events};
use units::{ClockSource, ClockTime};
use wire::{OriginAnswer, OriginBatch, StreamId};

/// Name of the journal's folder in the data folder.
const JOURNAL_FOLDER: &str = "origins";

/// Size of a journal file, in bytes, at which the next one is started. Two files hold the streams of
/// a minute at 2,000 new streams a second.
const MAX_FILE_BYTES: u64 = 2 << 20;

/// Time for which reports are collected before they are written together.
const GROUP_TIME: Duration = Duration::from_millis(50);

/// Maximum number of reports that wait to be written. Further ones are only kept in memory.
const MAX_QUEUED_REPORTS: usize = 4_096;

/// Reported origins and the time of their arrival, as written to the journal.
type JournalRecord = (WallTime, Vec<OriginBatch>);

/// Message to the thread that writes the journal.
#[derive(Debug)]
enum JournalMessage {
    Write(JournalRecord),
    Stop,
}

/// Origins of streams that entries have reported. Clones share their state.
#[derive(Debug, Clone)]
pub(crate) struct OriginStore {
    table: StateBoard<OriginTable>,
    journal: SyncSender<JournalMessage>,
}

/// Thread that writes the journal.
pub(crate) struct JournalThread {
    journal: SyncSender<JournalMessage>,
    thread: JoinHandle<()>,
}

impl JournalThread {
    /// Writes the queued origins and closes the journal, so that its folder can be opened again.
    pub(crate) async fn stop(self) {
        let stopping = tokio::task::spawn_blocking(move || {
            // The thread has ended already if the message cannot be sent.
            let _ = self.journal.send(JournalMessage::Stop);
            let _ = self.thread.join();
        });
        let _ = stopping.await;
    }
}

impl OriginStore {
    /// Opens the journal in a data folder. Until it can be opened, origins are kept in memory only.
    pub(crate) fn open(
        files: Arc<dyn DiskFiles>,
        data: &Path,
        clock: Arc<dyn ClockSource>,
    ) -> (Self, JournalThread) {
        let (sender, receiver) = sync_channel(MAX_QUEUED_REPORTS);
        let store = Self {
            table: StateBoard::new(OriginTable::default()),
            journal: sender,
        };
        let mut writer = JournalWriter {
            files,
            folder: data.join(JOURNAL_FOLDER),
            table: store.table.clone(),
            clock,
            journal: None,
            has_failed: false,
        };
        let opened = writer.open().map(|_| ());
        writer.log_failure(opened);
        let thread = JournalThread {
            journal: store.journal.clone(),
            thread: std::thread::spawn(move || writer.run(&receiver)),
        };
        (store, thread)
    }

    /// Records the origins in a report of an entry.
    pub(crate) fn record(&self, report: Vec<OriginBatch>, now: ClockTime) {
        self.table
            .write_quietly(|table| record_report(table, &report, Duration::ZERO, now));
        // If the queue is full, the origins are kept in memory only.
        let message = JournalMessage::Write((wall_time(), report));
        match self.journal.try_send(message) {
            Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }

    /// What is known about the origin of a stream.
    pub(crate) fn find(&self, stream: StreamId, now: ClockTime) -> OriginAnswer {
        self.table.read(|table| table.find(stream, now))
    }
}

fn record_report(table: &mut OriginTable, report: &[OriginBatch], age: Duration, now: ClockTime) {
    for batch in report {
        for (stream, lifetime_ms) in &batch.streams {
            let lifetime = Duration::from_millis((*lifetime_ms).into()).saturating_sub(age);
            if !lifetime.is_zero() {
                table.record(*stream, &batch.origin, now + lifetime, now);
            }
        }
    }
}

/// Writes reports to the journal, which it opens again while that fails, for example with a full disk.
struct JournalWriter {
    files: Arc<dyn DiskFiles>,
    folder: PathBuf,
    table: StateBoard<OriginTable>,
    clock: Arc<dyn ClockSource>,
    journal: Option<RecordJournal>,
    /// Whether the last attempt to open or write the journal failed.
    has_failed: bool,
}

impl JournalWriter {
    /// Opens the journal if it is not open, and records its origins in the table.
    fn open(&mut self) -> Result<&mut RecordJournal, StoreError> {
        let journal = match self.journal.take() {
            Some(journal) => journal,
            None => self.open_folder()?,
        };
        Ok(self.journal.insert(journal))
    }

    fn open_folder(&self) -> Result<RecordJournal, StoreError> {
        let files = self.files.clone();
        let (journal, records) =
            RecordJournal::open_on::<JournalRecord>(files, &self.folder, MAX_FILE_BYTES)?;
        let (now, wall_now) = (self.clock.now(), wall_time());
        self.table.write_quietly(|table| {
            for (written_at, report) in records {
                let age = Duration::from_millis(wall_now.0.saturating_sub(written_at.0));
                record_report(table, &report, age, now);
            }
        });
        event!(
            events::ORIGINS_RESTORED,
            streams = self.table.read(OriginTable::len)
        );
        Ok(journal)
    }

    fn write(&mut self, record: &JournalRecord) -> Result<(), StoreError> {
        self.open()?.append(record)
    }

    /// Logs the first of several failures in a row.
    fn log_failure(&mut self, result: Result<(), StoreError>) {
        let had_failed = std::mem::replace(&mut self.has_failed, result.is_err());
        if let Err(error) = result
            && !had_failed
        {
            event!(events::ORIGINS_UNWRITTEN, error = error);
        }
    }

    /// Writes queued reports until it is told to stop, or the store is dropped.
    fn run(mut self, messages: &Receiver<JournalMessage>) {
        let mut is_stopping = false;
        while !is_stopping
            && let Ok(JournalMessage::Write((written_at, mut report))) = messages.recv()
        {
            std::thread::sleep(GROUP_TIME);
            for message in messages.try_iter() {
                match message {
                    JournalMessage::Write((_, later)) => report.extend(later),
                    JournalMessage::Stop => is_stopping = true,
                }
            }
            let written = self.write(&(written_at, report));
            self.log_failure(written);
        }
    }
}

/// Time of the host's clock. Ages of records must span restarts of the process.
fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime(since.map_or(0, |since| since.as_millis() as u64))
}
