//! Journal of records that expire.

use std::fs;

use store::RecordJournal;
use tempfile::TempDir;

const MAX_FILE_BYTES: u64 = 1_000;

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
