//! Recovery of folders after a crash between any two file operations.

mod support;

use std::fs;
use std::path::Path;

use raft::{PersistBatch, PersistedState};
use rstest::rstest;
use store::LogStore;
use support::{copy_folder, entries, file_names, hard_state, open_state, segment_paths, snapshot};
use tempfile::TempDir;

/// A folder and its state, before and after one write.
struct FolderChange {
    before: TempDir,
    after: TempDir,
    old: PersistedState,
    new: PersistedState,
}

fn write_batch(earlier: &[PersistBatch], batch: &PersistBatch) -> FolderChange {
    let before = tempfile::tempdir().unwrap();
    let (mut store, mut old) = LogStore::open_with_segment_size(before.path(), 100).unwrap();
    for batch in earlier {
        store.persist(batch).unwrap();
        old.apply(batch);
    }
    drop(store);
    let after = copy_folder(before.path());
    let (mut store, mut new) = LogStore::open_with_segment_size(after.path(), 100).unwrap();
    store.persist(batch).unwrap();
    new.apply(batch);
    FolderChange {
        before,
        after,
        old,
        new,
    }
}

/// Asserts that the folder opens with the expected state and accepts further writes.
fn assert_opens(folder: &Path, expected: &PersistedState) {
    let (mut store, mut state) = LogStore::open(folder).unwrap();
    assert_eq!(state, *expected);
    assert!(
        file_names(folder)
            .iter()
            .all(|name| !name.ends_with(".new"))
    );
    let start = state
        .snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.last.index.0);
    let last = state.entries.last().map_or(start, |entry| entry.id.index.0);
    let batch = entries(last + 1, 2, 50);
    store.persist(&batch).unwrap();
    state.apply(&batch);
    drop(store);
    assert_eq!(open_state(folder), state);
}

/// Lengths to which a file may be written before a crash. Covers every 16th length, since each test
/// folder costs several syncs.
fn partial_lengths(bytes: &[u8]) -> impl Iterator<Item = usize> {
    (0..bytes.len())
        .step_by(16)
        .chain([bytes.len() - 1, bytes.len()])
}

/// Asserts that a crash before the rename of a replaced file keeps the old state, whatever part of
/// the new file is written.
fn assert_old_state_before_rename(change: &FolderChange, name: &str) {
    let bytes = fs::read(change.after.path().join(name)).unwrap();
    for length in partial_lengths(&bytes) {
        let folder = copy_folder(change.before.path());
        fs::write(folder.path().join(format!("{name}.new")), &bytes[..length]).unwrap();
        assert_opens(folder.path(), &change.old);
    }
}

/// Asserts that a crash after the rename leads to the new state, whatever number of segments is
/// deleted, in the given order.
fn assert_new_state_after_rename(change: &FolderChange, deleted: &[String]) {
    for count in 0..=deleted.len() {
        let folder = copy_folder(change.before.path());
        fs::copy(
            change.after.path().join("snapshot"),
            folder.path().join("snapshot"),
        )
        .unwrap();
        for name in &deleted[..count] {
            fs::remove_file(folder.path().join(name)).unwrap();
        }
        assert_opens(folder.path(), &change.new);
    }
}

fn deleted_files(change: &FolderChange) -> Vec<String> {
    let remaining = file_names(change.after.path());
    let before = file_names(change.before.path()).into_iter();
    before.filter(|name| !remaining.contains(name)).collect()
}

fn log_batches() -> Vec<PersistBatch> {
    (0..6).map(|number| entries(1 + number * 3, 3, 1)).collect()
}

/// Guards against losing the term and vote or mixing old and new ones, after which a node could
/// vote twice in a term.
#[test]
fn term_and_vote_are_replaced_atomically() {
    let change = write_batch(&[hard_state(3)], &hard_state(4));
    assert_old_state_before_rename(&change, "state");
    assert_opens(change.after.path(), &change.new);
}

/// Guards against an id that changes when a folder is opened again, or that is read from an
/// unfinished state file after a crash.
#[test]
fn id_is_created_once() {
    let folder = tempfile::tempdir().unwrap();
    let id = LogStore::open(folder.path()).unwrap().0.id();
    let bytes = fs::read(folder.path().join("state")).unwrap();
    assert_eq!(LogStore::open(folder.path()).unwrap().0.id(), id);
    for length in partial_lengths(&bytes) {
        let crashed = tempfile::tempdir().unwrap();
        fs::write(crashed.path().join("state.new"), &bytes[..length]).unwrap();
        assert_ne!(LogStore::open(crashed.path()).unwrap().0.id(), id);
    }
}

/// Guards against entries that are lost, or reappear, when a crash interrupts a compaction.
#[test]
fn compaction_survives_a_crash_at_any_step() {
    let mut earlier = log_batches();
    earlier.push(snapshot(4, 1));
    let change = write_batch(&earlier, &snapshot(14, 1));
    let deleted = deleted_files(&change);
    assert!(deleted.len() > 1, "the compaction deletes several segments");
    assert_old_state_before_rename(&change, "snapshot");
    assert_new_state_after_rename(&change, &deleted);
}

/// Guards against keeping entries of an old leader after a snapshot of a new leader is installed.
#[test]
fn installed_snapshot_replaces_a_conflicting_log_after_a_crash_at_any_step() {
    for index in [10, 18, 30] {
        let change = write_batch(&log_batches(), &snapshot(index, 2));
        let mut deleted = deleted_files(&change);
        assert_eq!(segment_paths(change.after.path()).len(), 0);
        deleted.reverse();
        assert_old_state_before_rename(&change, "snapshot");
        assert_new_state_after_rename(&change, &deleted);
    }
}

/// Guards against a folder that cannot be opened after a crash between the creation of a segment
/// and the write of its first record.
#[test]
fn empty_newest_segment_is_valid() {
    let change = write_batch(&log_batches(), &entries(19, 3, 1));
    let paths = segment_paths(change.after.path());
    assert_eq!(paths.len(), segment_paths(change.before.path()).len() + 1);
    let newest = paths.last().unwrap().file_name().unwrap();
    fs::write(change.before.path().join(newest), []).unwrap();
    assert_opens(change.before.path(), &change.old);
}

/// Guards against deleting segments in the wrong order, after which a crash could leave a gap in
/// the log or entries of an old leader. A folder in place of the middle segment makes the deletion
/// fail there.
#[rstest]
#[case::compaction(snapshot(18, 1), true)]
#[case::installation(snapshot(30, 2), false)]
fn segments_are_deleted_in_order(#[case] batch: PersistBatch, #[case] oldest_first: bool) {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = LogStore::open_with_segment_size(folder.path(), 100).unwrap();
    for batch in log_batches() {
        store.persist(&batch).unwrap();
    }
    let paths = segment_paths(folder.path());
    let middle = paths.len() / 2;
    fs::remove_file(&paths[middle]).unwrap();
    fs::create_dir(&paths[middle]).unwrap();

    store.persist(&batch).unwrap_err();

    let (older, newer) = (&paths[..middle], &paths[middle + 1..]);
    assert!(older.iter().all(|path| path.exists() != oldest_first));
    assert!(newer.iter().all(|path| path.exists() == oldest_first));
}
