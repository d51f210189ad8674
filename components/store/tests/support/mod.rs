//! Helpers for folders, batches and generated writes.
#![allow(dead_code, reason = "each test file uses a part of this module")]

pub(crate) mod faults;

use std::fs;
use std::path::{Path, PathBuf};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use raft::{
    EntryId, EntryPayload, HardState, LogEntry, LogIndex, Membership, PersistBatch, PersistedState,
    Snapshot, Term,
};
use store::{LogStore, StoreError};
use tempfile::TempDir;
use units::DiskId;

/// Test runner with a fixed seed, so that each run has the same cases.
pub(crate) fn deterministic_runner(cases: u32) -> TestRunner {
    let config = Config {
        failure_persistence: None,
        ..Config::with_cases(cases)
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

pub(crate) fn entry(index: u64, term: u64, size: usize) -> LogEntry {
    let id = EntryId {
        index: LogIndex(index),
        term: Term(term),
    };
    LogEntry {
        id,
        payload: EntryPayload::Command(vec![index as u8; size].into()),
    }
}

/// Batch of `count` entries, starting at index `first`.
pub(crate) fn entries(first: u64, count: u64, term: u64) -> PersistBatch {
    PersistBatch {
        entries: (first..first + count)
            .map(|index| entry(index, term, 20))
            .collect(),
        ..PersistBatch::default()
    }
}

pub(crate) fn snapshot(index: u64, term: u64) -> PersistBatch {
    let snapshot = Snapshot {
        last: EntryId {
            index: LogIndex(index),
            term: Term(term),
        },
        membership: Membership::default(),
        data: vec![index as u8; 50].into(),
    };
    PersistBatch {
        snapshot: Some(snapshot),
        ..PersistBatch::default()
    }
}

pub(crate) fn hard_state(term: u64) -> PersistBatch {
    let hard_state = HardState {
        term: Term(term),
        vote: Some(DiskId(5)),
    };
    PersistBatch {
        hard_state: Some(hard_state),
        ..PersistBatch::default()
    }
}

/// A generated write, relative to the state before it.
#[derive(Debug, Clone)]
pub(crate) enum Write {
    Append { count: u64, size: usize },
    Replace { back: u64, count: u64 },
    Vote,
    Compact { back: u64 },
    Install { ahead: u64 },
}

pub(crate) fn log_writes() -> impl Strategy<Value = Vec<Write>> {
    let append = (1..4_u64, 0..60_usize).prop_map(|(count, size)| Write::Append { count, size });
    let replace = (1..5_u64, 1..4_u64).prop_map(|(back, count)| Write::Replace { back, count });
    prop::collection::vec(prop_oneof![3 => append, 1 => replace], 1..25)
}

pub(crate) fn all_writes() -> impl Strategy<Value = Vec<Write>> {
    let append = (1..4_u64, 0..60_usize).prop_map(|(count, size)| Write::Append { count, size });
    let replace = (1..5_u64, 1..4_u64).prop_map(|(back, count)| Write::Replace { back, count });
    let compact = (0..5_u64).prop_map(|back| Write::Compact { back });
    let install = (1..20_u64).prop_map(|ahead| Write::Install { ahead });
    let write = prop_oneof![
        6 => append, 2 => replace, 1 => Just(Write::Vote), 2 => compact, 1 => install
    ];
    prop::collection::vec(write, 1..60)
}

fn snapshot_index(state: &PersistedState) -> u64 {
    state
        .snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.last.index.0)
}

/// Converts a generated write to a batch that is valid in the given state.
pub(crate) fn batch(state: &PersistedState, write: &Write, term: u64) -> PersistBatch {
    let start = snapshot_index(state);
    let last = state.entries.last().map_or(start, |entry| entry.id.index.0);
    match *write {
        Write::Append { count, size } => PersistBatch {
            entries: (last + 1..=last + count)
                .map(|index| entry(index, term, size))
                .collect(),
            ..PersistBatch::default()
        },
        Write::Replace { back, count } => {
            entries((last + 1).saturating_sub(back).max(start + 1), count, term)
        }
        Write::Vote => hard_state(term),
        Write::Compact { back } => {
            let index = last.saturating_sub(back);
            let entry = state.entries.iter().find(|entry| entry.id.index.0 == index);
            entry.map_or(PersistBatch::default(), |entry| {
                snapshot(index, entry.id.term.0)
            })
        }
        Write::Install { ahead } => snapshot(start + ahead, term),
    }
}

/// Persists all writes, and returns the empty state and the state after each write.
pub(crate) fn write_all(store: &mut LogStore, writes: &[Write]) -> Vec<PersistedState> {
    let mut states = vec![PersistedState::default()];
    for (number, write) in writes.iter().enumerate() {
        let mut state = states[number].clone();
        let batch = batch(&state, write, 1 + number as u64);
        store.persist(&batch).unwrap();
        state.apply(&batch);
        states.push(state);
    }
    states
}

pub(crate) fn open_state(folder: &Path) -> PersistedState {
    LogStore::open(folder).unwrap().1
}

pub(crate) fn open_error(folder: &Path) -> StoreError {
    LogStore::open(folder).map(|_| ()).unwrap_err()
}

/// Sorted names of all files.
pub(crate) fn file_names(folder: &Path) -> Vec<String> {
    let files = fs::read_dir(folder).unwrap();
    let mut names: Vec<String> = files
        .map(|file| file.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    names
}

pub(crate) fn segment_paths(folder: &Path) -> Vec<PathBuf> {
    let names = file_names(folder)
        .into_iter()
        .filter(|name| name.starts_with("log-"));
    names.map(|name| folder.join(name)).collect()
}

/// Copies a folder in its current state, as a crash would leave it.
pub(crate) fn copy_folder(folder: &Path) -> TempDir {
    let copy = tempfile::tempdir().unwrap();
    for name in file_names(folder) {
        fs::copy(folder.join(&name), copy.path().join(&name)).unwrap();
    }
    copy
}
