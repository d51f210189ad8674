//! Reopening of a folder without a crash, and rejected writes.

mod support;

use proptest::prelude::*;
use raft::PersistedState;
use store::{LogStore, StoreError};
use support::{
    all_writes, batch, deterministic_runner, entries, entry, file_names, hard_state, open_error,
    open_state, segment_paths, snapshot,
};

/// Guards against entries that are lost, and folders that grow without limit, over hundreds of
/// records with compactions and restarts.
#[test]
fn five_hundred_records_survive_restarts_and_compactions() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, mut state) = LogStore::open_with_segment_size(folder.path(), 2000).unwrap();
    let id = store.id();
    for index in 1..=500 {
        let mut batch = entries(index, 1, 1);
        batch.hard_state = hard_state(index / 100).hard_state;
        store.persist(&batch).unwrap();
        state.apply(&batch);
        if index % 60 == 0 {
            let compaction = snapshot(index - 5, 1);
            store.persist(&compaction).unwrap();
            state.apply(&compaction);
        }
        if index % 125 == 0 {
            drop(store);
            let opened = LogStore::open_with_segment_size(folder.path(), 2000).unwrap();
            assert_eq!(opened.1, state);
            store = opened.0;
        }
    }
    assert_eq!(store.id(), id);
    assert_eq!(state.entries.last(), Some(&entry(500, 1, 20)));
    let files = file_names(folder.path());
    assert!(
        segment_paths(folder.path()).len() < 5,
        "old segments must be deleted, found {files:?}"
    );
    let snapshots = files.iter().filter(|name| name.starts_with("snapshot"));
    assert_eq!(snapshots.count(), 1);
}

/// Guards against two processes that write to the same folder.
#[test]
fn folder_in_use_cannot_be_opened() {
    let folder = tempfile::tempdir().unwrap();
    let first = LogStore::open(folder.path()).unwrap();
    assert!(matches!(
        open_error(folder.path()),
        StoreError::Locked { .. }
    ));
    drop(first);
    LogStore::open(folder.path()).unwrap();
}

/// Guards against gaps in the log, which make a folder unreadable.
#[test]
fn gap_in_the_log_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    store.persist(&entries(1, 3, 1)).unwrap();
    let gap = store.persist(&entries(5, 1, 1));
    let after = store.persist(&entries(4, 1, 1));
    assert!(matches!(gap, Err(StoreError::Gap { first: 5, last: 3 })));
    assert!(matches!(after, Err(StoreError::EarlierWriteFailed)));
}

/// Guards against merged batches that leave another state than the same batches written one by one.
#[test]
fn merged_batches_leave_the_same_state() {
    let test = |writes: Vec<support::Write>| {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, mut state) = LogStore::open(folder.path()).unwrap();
        let mut merged = PersistedState::default().to_batch();
        for (number, write) in writes.iter().enumerate() {
            let batch = batch(&state, write, 1 + number as u64);
            state.apply(&batch);
            if merged.can_merge(&batch) {
                merged.merge(batch);
            } else {
                store.persist(&merged).unwrap();
                merged = batch;
            }
        }
        store.persist(&merged).unwrap();
        drop(store);
        prop_assert_eq!(open_state(folder.path()), state);
        Ok(())
    };
    deterministic_runner(50).run(&all_writes(), test).unwrap();
}

/// Guards against a node that returns with its old id or log after its removal from the group.
#[test]
fn cleared_folder_opens_empty_with_a_new_id() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    let old_id = store.id();
    store.persist(&entries(1, 3, 50)).unwrap();

    store.clear().unwrap();
    let (reopened, state) = LogStore::open(folder.path()).unwrap();

    assert_ne!(reopened.id(), old_id);
    assert!(state.is_empty());
}
