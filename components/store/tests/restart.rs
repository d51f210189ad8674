//! Restarts of a folder in normal use.

mod support;

use proptest::prelude::*;
use raft::PersistedState;
use store::{LogStore, StoreError};
use support::{
    all_writes, batch, entries, entry, hard_state, names, open, open_error, runner, segments,
    snapshot,
};

/// Guards against lost entries and growing folders over hundreds of records and compactions.
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
    let files = names(folder.path());
    assert!(
        segments(folder.path()).len() < 5,
        "old segments are deleted: {files:?}"
    );
    let snapshots = files.iter().filter(|name| name.starts_with("snapshot"));
    assert_eq!(snapshots.count(), 1);
}

/// Guards against two processes that write to one folder.
#[test]
fn a_folder_in_use_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let first = LogStore::open(folder.path()).unwrap();
    assert!(matches!(
        open_error(folder.path()),
        StoreError::Locked { .. }
    ));
    drop(first);
    LogStore::open(folder.path()).unwrap();
}

/// Guards against gaps, which could not be read back.
#[test]
fn a_gap_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    store.persist(&entries(1, 3, 1)).unwrap();
    let gap = store.persist(&entries(5, 1, 1));
    let after = store.persist(&entries(4, 1, 1));
    assert!(matches!(gap, Err(StoreError::Gap { first: 5, last: 3 })));
    assert!(matches!(after, Err(StoreError::EarlierWriteFailed)));
}

/// Guards against a difference between batches that are written one by one and joined ones.
#[test]
fn joined_batches_leave_the_same_state() {
    let test = |writes: Vec<support::Write>| {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, mut state) = LogStore::open(folder.path()).unwrap();
        let mut joined = PersistedState::default().to_batch();
        for (place, write) in writes.iter().enumerate() {
            let batch = batch(&state, write, 1 + place as u64);
            state.apply(&batch);
            if joined.can_merge(&batch) {
                joined.merge(batch);
            } else {
                store.persist(&joined).unwrap();
                joined = batch;
            }
        }
        store.persist(&joined).unwrap();
        drop(store);
        prop_assert_eq!(open(folder.path()), state);
        Ok(())
    };
    runner(50).run(&all_writes(), test).unwrap();
}

/// Guards against a node that was removed from its group and comes back with its old id or log.
#[test]
fn cleared_folder_opens_empty_with_a_new_id() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    let old = store.id();
    store.persist(&entries(1, 3, 50)).unwrap();

    store.clear().unwrap();
    let (fresh, state) = LogStore::open(folder.path()).unwrap();

    assert_ne!(fresh.id(), old);
    assert!(state.is_empty());
}
