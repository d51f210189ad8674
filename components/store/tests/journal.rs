//! Journal of records that expire.

mod support;

use std::fs;

use rstest::rstest;
use store::RecordJournal;
use support::faults::FaultyFiles;
use tempfile::TempDir;

const MAX_FILE_BYTES: u64 = 1_000;

/// Size at which a file holds only a few records.
const SMALL_FILE_BYTES: u64 = 60;

/// Number of attempts after which room must be back.
const MAX_ATTEMPTS: usize = 20;

fn open(folder: &TempDir) -> (RecordJournal, Vec<u32>) {
    RecordJournal::open(&folder.path().join("records"), MAX_FILE_BYTES).unwrap()
}

fn newest_file(folder: &TempDir) -> std::path::PathBuf {
    let files = fs::read_dir(folder.path().join("records")).unwrap();
    let files = files.map(|file| file.unwrap().path());
    let number = |path: &std::path::PathBuf| {
        let name = path.file_name()?.to_str()?;
        name.strip_prefix("journal-")?.parse::<u64>().ok()
    };
    files.max_by_key(number).unwrap()
}

/// Guards against records that are lost at a restart, or at the second one.
#[test]
fn records_survive_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, empty) = open(&folder);
    journal.append(&1_u32).unwrap();
    journal.append(&2_u32).unwrap();
    drop(journal);

    let (mut journal, first) = open(&folder);
    journal.append(&3_u32).unwrap();
    drop(journal);
    let (_, second) = open(&folder);

    assert!(empty.is_empty());
    assert_eq!(first, [1, 2]);
    assert_eq!(second, [1, 2, 3]);
}

/// Guards against records that are lost because a process restarts several times before it writes
/// others.
#[test]
fn records_survive_restarts_in_quick_succession() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = open(&folder);
    journal.append(&1_u32).unwrap();
    drop(journal);

    for _ in 0..5 {
        open(&folder);
    }
    let (mut journal, kept) = open(&folder);
    journal.append(&2_u32).unwrap();
    drop(journal);
    let (_, continued) = open(&folder);

    assert_eq!(kept, [1]);
    assert_eq!(continued, [1, 2]);
}

/// Guards against a journal that fills the disk, and against one that forgets its newest records.
#[test]
fn oldest_records_make_room() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = open(&folder);

    for number in 0..10_000_u32 {
        journal.append(&number).unwrap();
    }
    drop(journal);

    let files = fs::read_dir(folder.path().join("records")).unwrap();
    let size: u64 = files
        .map(|file| file.unwrap().metadata().unwrap().len())
        .sum();
    let (_, records) = open(&folder);
    assert!(size <= 2 * (MAX_FILE_BYTES + 100), "{size}");
    assert_eq!(records.last(), Some(&9_999));
    assert!(records.len() >= 40, "{}", records.len());
}

/// Guards against a control node that does not start because power was lost while a record was
/// written.
#[test]
fn torn_record_ends_the_file() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = open(&folder);
    journal.append(&1_u32).unwrap();
    journal.append(&2_u32).unwrap();
    drop(journal);
    let path = newest_file(&folder);
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, &bytes[..bytes.len() - 3]).unwrap();

    let (_, records) = open(&folder);

    assert_eq!(records, [1]);
}

fn append_until_written(journal: &mut RecordJournal, record: u32) -> bool {
    (0..MAX_ATTEMPTS).any(|_| journal.append(&record).is_ok())
}

/// Guards against a journal that is not written any more, or whose later records are not read, after
/// its disk was full for a moment.
#[rstest]
fn journal_is_written_again_once_the_disk_has_room(#[values(1, 2, 3, 7)] failures: usize) {
    let path = |folder: &TempDir| folder.path().join("records");
    for first in 8..80 {
        let (files, folder) = (
            FaultyFiles::new(first..first + failures),
            tempfile::tempdir().unwrap(),
        );
        let (mut journal, _) =
            RecordJournal::open_on::<u32>(files, &path(&folder), SMALL_FILE_BYTES).unwrap();

        for record in 0..20 {
            let is_written = append_until_written(&mut journal, record);
            assert!(is_written, "record {record}, failures from {first} on");
        }
        drop(journal);

        let (_, mut records) =
            RecordJournal::open::<u32>(&path(&folder), SMALL_FILE_BYTES).unwrap();
        records.dedup();
        let kept: Vec<u32> = (20 - records.len() as u32..20).collect();
        assert_eq!(records, kept, "failures from {first} on");
        assert!(records.len() >= 4, "failures from {first} on: {records:?}");
    }
}
