//! Snapshots on disks that have no room to spare.

mod support;

use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::Arc;

use proptest::prelude::*;
use raft::PersistedState;
use rstest::rstest;
use store::{DiskFiles, LogStore, SystemFiles};
use support::{all_writes, batch, deterministic_runner, entries, open_state, snapshot};

const SEGMENT_BYTES: u64 = 200;

/// Files on a disk that has room for all of them, or for all but the reserve.
#[derive(Debug)]
struct SmallDisk {
    has_reserve: bool,
}

impl DiskFiles for SmallDisk {
    fn create(&self, path: &Path) -> io::Result<File> {
        match path.ends_with("reserve") && !self.has_reserve {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => SystemFiles.create(path),
        }
    }
}

fn open(folder: &Path, has_reserve: bool) -> LogStore {
    let files = Arc::new(SmallDisk { has_reserve });
    LogStore::open_with(files, folder, SEGMENT_BYTES).unwrap().0
}

/// Guards against entries that are lost, or superseded ones that return, because a snapshot is written
/// before refused entries, or because the log is rewritten to free its room.
#[rstest]
fn merged_batches_have_the_effect_of_their_sequence(#[values(true, false)] has_reserve: bool) {
    let test = |(writes, split): (Vec<_>, prop::sample::Index)| {
        let folder = tempfile::tempdir().unwrap();
        let mut store = open(folder.path(), has_reserve);
        let split = split.index(writes.len());
        let (mut state, mut refused) = (PersistedState::default(), Vec::new());
        for (number, write) in writes.iter().enumerate() {
            let batch = batch(&state, write, 1 + number as u64);
            state.apply(&batch);
            match number < split {
                true => store.persist(&batch).unwrap(),
                false => refused.push(batch),
            }
        }
        match store.merge(&refused) {
            Some(merged) => store.persist(&merged).unwrap(),
            None => prop_assert!(refused.iter().all(|batch| batch.snapshot.is_none())),
        }
        if refused.iter().all(|batch| batch.snapshot.is_none()) {
            refused
                .iter()
                .for_each(|batch| store.persist(batch).unwrap());
        }
        drop(store);
        prop_assert_eq!(open_state(folder.path()), state);
        Ok(())
    };
    let cases = (all_writes(), any::<prop::sample::Index>());
    deterministic_runner(100).run(&cases, test).unwrap();
}

/// Guards against superseded entries that keep a disk full because a newer entry is in their segment.
#[test]
fn snapshot_without_a_reserve_frees_the_whole_log() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path(), false);
    store.persist(&entries(1, 20, 1)).unwrap();
    let log_bytes = store.log_bytes();

    store.persist(&snapshot(19, 1)).unwrap();

    assert_eq!(store.reserve_bytes(), 0);
    assert!(store.log_bytes() < log_bytes / 10);
    store.persist(&entries(21, 1, 1)).unwrap();
    store.persist(&snapshot(21, 1)).unwrap();
    assert_eq!(store.log_bytes(), 0);
    store.persist(&entries(22, 1, 1)).unwrap();
    drop(store);
    let state = open_state(folder.path());
    assert_eq!(state.entries, entries(22, 1, 1).entries);
}
