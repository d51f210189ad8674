//! Disks that refuse writes for a time, from each operation on.

mod support;

use std::path::Path;
use std::sync::Arc;

use raft::{PersistBatch, PersistedState};
use rstest::rstest;
use store::LogStore;
use support::faults::FaultyFiles;
use support::{entries, hard_state, open_state, snapshot};

const SEGMENT_BYTES: u64 = 100;

/// Number of attempts after which room must be back in these tests.
const MAX_ATTEMPTS: usize = 20;

/// Batches that start and delete segments, replace a tail, compact the log and install a snapshot.
fn all_batches() -> Vec<PersistBatch> {
    let both = PersistBatch {
        hard_state: hard_state(3).hard_state,
        ..entries(9, 2, 3)
    };
    let compaction_with_entries = PersistBatch {
        entries: entries(11, 2, 3).entries,
        ..snapshot(8, 2)
    };
    vec![
        hard_state(1),
        entries(1, 3, 1),
        entries(4, 3, 1),
        entries(5, 4, 2),
        both,
        compaction_with_entries,
        entries(13, 1, 3),
        snapshot(20, 4),
        entries(21, 2, 4),
    ]
}

fn open(files: &Arc<FaultyFiles>, folder: &Path) -> Option<(LogStore, PersistedState)> {
    (0..MAX_ATTEMPTS).find_map(|_| LogStore::open_with(files.clone(), folder, SEGMENT_BYTES).ok())
}

/// Number of file operations of an open folder that gets all batches.
fn operation_count() -> usize {
    let (files, folder) = (FaultyFiles::new(0..0), tempfile::tempdir().unwrap());
    let (mut store, _) = open(&files, folder.path()).unwrap();
    for batch in all_batches() {
        store.persist(&batch).unwrap();
    }
    files.count()
}

/// States that a failed write of `batch` may leave: each part is written or not.
fn partial_states(before: &PersistedState, batch: &PersistBatch) -> Vec<PersistedState> {
    let parts = [
        PersistBatch {
            hard_state: batch.hard_state,
            ..PersistBatch::default()
        },
        PersistBatch {
            snapshot: batch.snapshot.clone(),
            ..PersistBatch::default()
        },
        PersistBatch {
            entries: batch.entries.clone(),
            ..PersistBatch::default()
        },
    ];
    let mut states = vec![before.clone()];
    for part in parts {
        let mut state = states[states.len() - 1].clone();
        state.apply(&part);
        states.push(state);
    }
    states
}

/// Guards against a control node that ends, or loses entries that it has acknowledged, because its
/// disk was full while any part of a batch was written.
#[rstest]
fn batch_is_written_whole_once_the_disk_has_room(#[values(1, 2, 3, 7)] failures: usize) {
    for first in 0..operation_count() {
        let (files, folder) = (
            FaultyFiles::new(first..first + failures),
            tempfile::tempdir().unwrap(),
        );
        let (mut store, mut state) = open(&files, folder.path()).expect("the folder opens");

        for (number, batch) in all_batches().iter().enumerate() {
            let is_written = (0..MAX_ATTEMPTS).any(|_| store.persist(batch).is_ok());
            assert!(is_written, "batch {number}, failures from {first} on");
            state.apply(batch);
        }
        drop(store);

        let reopened = open_state(folder.path());
        assert_eq!(reopened, state, "failures from {first} on");
    }
}

/// Guards against a control node that returns with less than it had acknowledged, because it was
/// killed while its disk was full, and started again before there was room.
#[rstest]
fn acknowledged_batches_survive_a_restart_with_a_full_disk(#[values(1, 3, 7)] failures: usize) {
    for first in 0..operation_count() {
        let (files, folder) = (
            FaultyFiles::new(first..first + failures),
            tempfile::tempdir().unwrap(),
        );
        let (mut store, mut state) = open(&files, folder.path()).expect("the folder opens");
        let id = store.id();

        for (number, batch) in all_batches().iter().enumerate() {
            let mut attempts = 0;
            while store.persist(batch).is_err() {
                attempts += 1;
                assert!(
                    attempts < MAX_ATTEMPTS,
                    "batch {number}, failures from {first} on"
                );
                drop(store);
                let (reopened, found) = open(&files, folder.path()).expect("the folder opens");
                let expected = partial_states(&state, batch);
                assert!(
                    expected.contains(&found),
                    "batch {number}, failures from {first} on: {found:#?}"
                );
                (store, state) = (reopened, found);
            }
            state.apply(batch);
        }
        assert_eq!(store.id(), id, "failures from {first} on");
        drop(store);

        assert_eq!(open_state(folder.path()), state, "failures from {first} on");
    }
}
