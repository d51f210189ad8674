//! Truncation and byte flips at generated places, compared with a model in memory.

mod support;

use std::fs::{self, OpenOptions};
use std::path::Path;

use proptest::prelude::*;
use store::{LogStore, StoreError};
use support::{
    Write, all_writes, batch, copy, entries, log_writes, open, open_error, runner, segments,
    snapshot, write_all,
};
use tempfile::TempDir;

/// Size of all segments after each write, and the states that belong to them.
struct WrittenLog {
    folder: TempDir,
    ends: Vec<u64>,
    states: Vec<raft::PersistedState>,
}

fn written(writes: &[Write]) -> WrittenLog {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, mut state) = LogStore::open(folder.path()).unwrap();
    let (mut ends, mut states) = (vec![0], vec![state.clone()]);
    for (place, write) in writes.iter().enumerate() {
        let batch = batch(&state, write, 1 + place as u64);
        store.persist(&batch).unwrap();
        state.apply(&batch);
        ends.push(fs::metadata(&segments(folder.path())[0]).unwrap().len());
        states.push(state.clone());
    }
    WrittenLog {
        folder,
        ends,
        states,
    }
}

fn cut(path: &Path, length: u64) {
    OpenOptions::new()
        .write(true)
        .open(path)
        .unwrap()
        .set_len(length)
        .unwrap();
}

fn flip(path: &Path, place: u64, mask: u8) {
    let mut bytes = fs::read(path).unwrap();
    bytes[place as usize] ^= mask;
    fs::write(path, bytes).unwrap();
}

/// Guards against a start that fails, or keeps half a batch, after a crash during a write. The
/// remaining log must take further writes.
#[test]
fn a_torn_tail_is_cut_off() {
    let cases = (log_writes(), any::<prop::sample::Index>());
    let test = |(writes, place): (Vec<Write>, prop::sample::Index)| {
        let log = written(&writes);
        let length = place.index(*log.ends.last().unwrap() as usize + 1) as u64;
        let whole = log.ends.partition_point(|end| *end <= length) - 1;
        cut(&segments(log.folder.path())[0], length);

        let (mut store, mut state) = LogStore::open(log.folder.path()).unwrap();
        prop_assert_eq!(&state, &log.states[whole]);

        let more = batch(&state, &Write::Append { count: 2, size: 9 }, 99);
        store.persist(&more).unwrap();
        state.apply(&more);
        drop(store);
        prop_assert_eq!(open(log.folder.path()), state);
        Ok(())
    };
    runner(80).run(&cases, test).unwrap();
}

/// Guards against a start that fails after a crash that left allocated but unwritten space.
#[test]
fn unwritten_space_after_the_log_is_cut_off() {
    let cases = (log_writes(), 1..200_usize, any::<prop::sample::Index>());
    let test = |(writes, zeros, place): (Vec<Write>, usize, prop::sample::Index)| {
        let log = written(&writes);
        let segment = &segments(log.folder.path())[0];
        let (last, end) = (log.ends[log.ends.len() - 2], *log.ends.last().unwrap());
        let written = last + place.index((end - last) as usize) as u64;
        cut(segment, written);
        cut(segment, written + zeros as u64);
        // The last write was not acknowledged, so it may have happened or not.
        let opened = open(log.folder.path());
        prop_assert!(
            log.states[log.states.len() - 2..].contains(&opened),
            "{opened:?}"
        );
        Ok(())
    };
    runner(50).run(&cases, test).unwrap();
}

/// Guards against damage that silently drops or changes entries that were acknowledged.
#[test]
fn a_flipped_byte_is_reported_with_file_and_offset() {
    let cases = (log_writes(), any::<prop::sample::Index>(), 1..=255_u8);
    let test = |(writes, place, mask): (Vec<Write>, prop::sample::Index, u8)| {
        let log = written(&writes);
        let segment = &segments(log.folder.path())[0];
        let place = place.index(*log.ends.last().unwrap() as usize) as u64;
        let start = log.ends.iter().rfind(|end| **end <= place).unwrap();
        flip(segment, place, mask);
        match LogStore::open(log.folder.path()) {
            Err(StoreError::Corrupt { path, offset, .. }) => {
                prop_assert_eq!((&path, offset), (segment, *start));
            }
            // An end mark that became zero harms nothing, so nothing may be missing.
            Ok((_, state)) => prop_assert_eq!(&state, log.states.last().unwrap()),
            Err(other) => prop_assert!(false, "unexpected error {other}"),
        }
        Ok(())
    };
    runner(150).run(&cases, test).unwrap();
}

/// Guards against state that differs from the model after any mix of writes and restarts.
#[test]
fn every_prefix_of_writes_opens_as_the_model() {
    let cases = (all_writes(), 50..400_u64);
    let test = |(writes, segment_bytes): (Vec<Write>, u64)| {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, mut state) =
            LogStore::open_with_segment_size(folder.path(), segment_bytes).unwrap();
        for (place, write) in writes.iter().enumerate() {
            let batch = batch(&state, write, 1 + place as u64);
            store.persist(&batch).unwrap();
            state.apply(&batch);
            prop_assert_eq!(
                &open(copy(folder.path()).path()),
                &state,
                "after {:?}",
                write
            );
        }
        Ok(())
    };
    runner(25).run(&cases, test).unwrap();
}

/// Guards against damage in the files that are replaced as a whole.
#[test]
fn damaged_state_and_snapshot_files_are_reported() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    store.persist(&entries(1, 3, 1)).unwrap();
    store.persist(&snapshot(2, 1)).unwrap();
    drop(store);
    for name in ["state", "snapshot"] {
        let length = fs::metadata(folder.path().join(name)).unwrap().len();
        for place in 0..length {
            for damage in [flip, |path: &Path, place, _| cut(path, place)] {
                let copy = copy(folder.path());
                let path = copy.path().join(name);
                damage(&path, place, 0x10);
                let error = open_error(copy.path());
                let StoreError::Corrupt {
                    path: found,
                    offset: 0,
                    ..
                } = &error
                else {
                    panic!("unexpected error {error} for byte {place} of {name}");
                };
                assert_eq!(*found, path);
            }
        }
    }
}

/// Guards against a start with missing files, which would forget entries, votes or the id.
#[test]
fn missing_files_are_reported() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = LogStore::open_with_segment_size(folder.path(), 100).unwrap();
    write_all(&mut store, &vec![Write::Append { count: 3, size: 30 }; 6]);
    store.persist(&snapshot(9, 3)).unwrap();
    drop(store);
    let rows = segments(folder.path());
    let middle = rows[rows.len() / 2]
        .file_name()
        .unwrap()
        .to_str()
        .unwrap()
        .to_owned();
    for name in ["state", "snapshot", &middle] {
        let copy = copy(folder.path());
        fs::remove_file(copy.path().join(name)).unwrap();
        let error = open_error(copy.path());
        assert!(
            matches!(error, StoreError::Corrupt { .. }),
            "{name}: {error}"
        );
    }
}
