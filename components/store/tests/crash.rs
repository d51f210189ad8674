//! Crashes between any two file operations, as the folders that they leave.

mod support;

use std::fs;
use std::path::Path;

use raft::{PersistBatch, PersistedState};
use rstest::rstest;
use store::LogStore;
use support::{copy, entries, hard_state, names, open, segments, snapshot};
use tempfile::TempDir;

/// A folder before and after one write.
struct OneWrite {
    before: TempDir,
    after: TempDir,
    old: PersistedState,
    new: PersistedState,
}

fn one_write(earlier: &[PersistBatch], batch: &PersistBatch) -> OneWrite {
    let before = tempfile::tempdir().unwrap();
    let (mut store, mut old) = LogStore::open_with_segment_size(before.path(), 100).unwrap();
    for batch in earlier {
        store.persist(batch).unwrap();
        old.apply(batch);
    }
    drop(store);
    let after = copy(before.path());
    let (mut store, mut new) = LogStore::open_with_segment_size(after.path(), 100).unwrap();
    store.persist(batch).unwrap();
    new.apply(batch);
    OneWrite {
        before,
        after,
        old,
        new,
    }
}

/// Checks the folder, and that it takes further writes.
fn assert_opens(folder: &Path, expected: &PersistedState) {
    let (mut store, mut state) = LogStore::open(folder).unwrap();
    assert_eq!(state, *expected);
    assert!(names(folder).iter().all(|name| !name.ends_with(".new")));
    let start = state
        .snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.last.index.0);
    let last = state.entries.last().map_or(start, |entry| entry.id.index.0);
    let more = entries(last + 1, 2, 50);
    store.persist(&more).unwrap();
    state.apply(&more);
    drop(store);
    assert_eq!(open(folder), state);
}

/// Sizes of a file that is written in part or whole. Each folder costs several syncs, so this is
/// not every size.
fn lengths(bytes: &[u8]) -> impl Iterator<Item = usize> {
    (0..bytes.len())
        .step_by(16)
        .chain([bytes.len() - 1, bytes.len()])
}

/// States of a file replacement up to the rename: any part of the new file is written.
fn check_replacement(write: &OneWrite, name: &str) {
    let bytes = fs::read(write.after.path().join(name)).unwrap();
    for length in lengths(&bytes) {
        let folder = copy(write.before.path());
        fs::write(folder.path().join(format!("{name}.new")), &bytes[..length]).unwrap();
        assert_opens(folder.path(), &write.old);
    }
}

/// Every state after the rename: any number of segments is deleted, in the given order.
fn check_deletions(write: &OneWrite, deleted: &[String]) {
    for count in 0..=deleted.len() {
        let folder = copy(write.before.path());
        fs::copy(
            write.after.path().join("snapshot"),
            folder.path().join("snapshot"),
        )
        .unwrap();
        for name in &deleted[..count] {
            fs::remove_file(folder.path().join(name)).unwrap();
        }
        assert_opens(folder.path(), &write.new);
    }
}

fn deleted(write: &OneWrite) -> Vec<String> {
    let left = names(write.after.path());
    let before = names(write.before.path()).into_iter();
    before.filter(|name| !left.contains(name)).collect()
}

fn log() -> Vec<PersistBatch> {
    (0..6).map(|place| entries(1 + place * 3, 3, 1)).collect()
}

/// Guards against a lost or mixed term and vote, with which a node could vote twice.
#[test]
fn term_and_vote_change_as_one() {
    let write = one_write(&[hard_state(3)], &hard_state(4));
    check_replacement(&write, "state");
    assert_opens(write.after.path(), &write.new);
}

/// Guards against an id that changes after a crash.
#[test]
fn the_id_is_created_once() {
    let folder = tempfile::tempdir().unwrap();
    let id = LogStore::open(folder.path()).unwrap().0.id();
    let bytes = fs::read(folder.path().join("state")).unwrap();
    assert_eq!(LogStore::open(folder.path()).unwrap().0.id(), id);
    for length in lengths(&bytes) {
        let crashed = tempfile::tempdir().unwrap();
        fs::write(crashed.path().join("state.new"), &bytes[..length]).unwrap();
        assert_ne!(LogStore::open(crashed.path()).unwrap().0.id(), id);
    }
}

/// Guards against entries that are lost or appear again around a compaction.
#[test]
fn a_compaction_survives_a_crash_at_any_step() {
    let mut earlier = log();
    earlier.push(snapshot(4, 1));
    let write = one_write(&earlier, &snapshot(14, 1));
    let deleted = deleted(&write);
    assert!(deleted.len() > 1, "the compaction deletes segments");
    check_replacement(&write, "snapshot");
    check_deletions(&write, &deleted);
}

/// Guards against entries of an old leader that survive behind a snapshot of a new one.
#[test]
fn an_installed_snapshot_replaces_a_different_log_at_any_step() {
    for index in [10, 18, 30] {
        let write = one_write(&log(), &snapshot(index, 2));
        let mut deleted = deleted(&write);
        assert_eq!(segments(write.after.path()).len(), 0);
        deleted.reverse();
        check_replacement(&write, "snapshot");
        check_deletions(&write, &deleted);
    }
}

/// Guards against a failure to start after a crash between the creation of a segment and the first
/// record in it.
#[test]
fn an_empty_new_segment_is_no_damage() {
    let write = one_write(&log(), &entries(19, 3, 1));
    let rows = segments(write.after.path());
    assert_eq!(rows.len(), segments(write.before.path()).len() + 1);
    let newest = rows.last().unwrap().file_name().unwrap();
    fs::write(write.before.path().join(newest), []).unwrap();
    assert_opens(write.before.path(), &write.old);
}

/// Guards against a deletion in the wrong order, which a crash would turn into missing entries or
/// into entries of an old leader. A folder in the place of a segment stops the deletion there.
#[rstest]
#[case::compaction(snapshot(18, 1), true)]
#[case::installation(snapshot(30, 2), false)]
fn segments_are_deleted_in_order(#[case] batch: PersistBatch, #[case] oldest_first: bool) {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = LogStore::open_with_segment_size(folder.path(), 100).unwrap();
    for batch in log() {
        store.persist(&batch).unwrap();
    }
    let rows = segments(folder.path());
    let middle = rows.len() / 2;
    fs::remove_file(&rows[middle]).unwrap();
    fs::create_dir(&rows[middle]).unwrap();

    store.persist(&batch).unwrap_err();

    let (older, newer) = (&rows[..middle], &rows[middle + 1..]);
    assert!(older.iter().all(|path| path.exists() != oldest_first));
    assert!(newer.iter().all(|path| path.exists() == oldest_first));
}
