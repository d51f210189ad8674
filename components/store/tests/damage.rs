//! Truncated and damaged files, compared with the state that a model in memory expects.

mod support;

use std::fs::{self, OpenOptions};
use std::path::Path;

use proptest::prelude::*;
use store::{LogStore, StoreError};
use support::{
    Write, all_writes, batch, copy_folder, deterministic_runner, entries, log_writes, open_error,
    open_state, segment_paths, snapshot, write_all,
};
use tempfile::TempDir;

/// A log in a single segment, with the segment's size and the expected state before the first write
/// and after each write.
struct WrittenLog {
    folder: TempDir,
    end_offsets: Vec<u64>,
    states: Vec<raft::PersistedState>,
}

fn write_log(writes: &[Write]) -> WrittenLog {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, mut state) = LogStore::open(folder.path()).unwrap();
    let (mut end_offsets, mut states) = (vec![0], vec![state.clone()]);
    for (number, write) in writes.iter().enumerate() {
        let batch = batch(&state, write, 1 + number as u64);
        store.persist(&batch).unwrap();
        state.apply(&batch);
        end_offsets.push(
            fs::metadata(&segment_paths(folder.path())[0])
                .unwrap()
                .len(),
        );
        states.push(state.clone());
    }
    WrittenLog {
        folder,
        end_offsets,
        states,
    }
}

fn truncate(path: &Path, length: u64) {
    OpenOptions::new()
        .write(true)
        .open(path)
        .unwrap()
        .set_len(length)
        .unwrap();
}

fn flip_bits(path: &Path, position: u64, mask: u8) {
    let mut bytes = fs::read(path).unwrap();
    bytes[position as usize] ^= mask;
    fs::write(path, bytes).unwrap();
}

/// Guards against a folder that cannot be opened, or that keeps part of a batch, after a crash
/// during a write. The remaining log must accept further writes.
#[test]
fn torn_last_record_is_truncated() {
    let cases = (log_writes(), any::<prop::sample::Index>());
    let test = |(writes, position): (Vec<Write>, prop::sample::Index)| {
        let log = write_log(&writes);
        let length = position.index(*log.end_offsets.last().unwrap() as usize + 1) as u64;
        let complete_writes = log.end_offsets.partition_point(|end| *end <= length) - 1;
        truncate(&segment_paths(log.folder.path())[0], length);

        let (mut store, mut state) = LogStore::open(log.folder.path()).unwrap();
        prop_assert_eq!(&state, &log.states[complete_writes]);

        let batch = batch(&state, &Write::Append { count: 2, size: 9 }, 99);
        store.persist(&batch).unwrap();
        state.apply(&batch);
        drop(store);
        prop_assert_eq!(open_state(log.folder.path()), state);
        Ok(())
    };
    deterministic_runner(80).run(&cases, test).unwrap();
}

/// Guards against a folder that cannot be opened after a crash left allocated but unwritten space,
/// which reads as zeros.
#[test]
fn unwritten_space_after_the_log_is_truncated() {
    let cases = (log_writes(), 1..200_usize, any::<prop::sample::Index>());
    let test = |(writes, zeros, position): (Vec<Write>, usize, prop::sample::Index)| {
        let log = write_log(&writes);
        let segment = &segment_paths(log.folder.path())[0];
        let (last, end) = (
            log.end_offsets[log.end_offsets.len() - 2],
            *log.end_offsets.last().unwrap(),
        );
        let written_bytes = last + position.index((end - last) as usize) as u64;
        truncate(segment, written_bytes);
        truncate(segment, written_bytes + zeros as u64);
        // The last write was not acknowledged, so it may be present or not.
        let opened = open_state(log.folder.path());
        prop_assert!(
            log.states[log.states.len() - 2..].contains(&opened),
            "{opened:?}"
        );
        Ok(())
    };
    deterministic_runner(50).run(&cases, test).unwrap();
}

/// Guards against damage that silently removes or changes acknowledged entries.
#[test]
fn damaged_byte_is_reported_with_file_and_offset() {
    let cases = (log_writes(), any::<prop::sample::Index>(), 1..=255_u8);
    let test = |(writes, position, mask): (Vec<Write>, prop::sample::Index, u8)| {
        let log = write_log(&writes);
        let segment = &segment_paths(log.folder.path())[0];
        let position = position.index(*log.end_offsets.last().unwrap() as usize) as u64;
        let start = log
            .end_offsets
            .iter()
            .rfind(|end| **end <= position)
            .unwrap();
        flip_bits(segment, position, mask);
        match LogStore::open(log.folder.path()) {
            Err(StoreError::Corrupt { path, offset, .. }) => {
                prop_assert_eq!((&path, offset), (segment, *start));
            }
            // An end mark damaged to zero is accepted, and no entry may be missing then.
            Ok((_, state)) => prop_assert_eq!(&state, log.states.last().unwrap()),
            Err(other) => prop_assert!(false, "unexpected error {other}"),
        }
        Ok(())
    };
    deterministic_runner(150).run(&cases, test).unwrap();
}

/// Guards against a state that differs from the model after any sequence of writes and a restart.
#[test]
fn state_equals_the_model_after_each_write() {
    let cases = (all_writes(), 50..400_u64);
    let test = |(writes, segment_bytes): (Vec<Write>, u64)| {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, mut state) =
            LogStore::open_with_segment_size(folder.path(), segment_bytes).unwrap();
        for (number, write) in writes.iter().enumerate() {
            let batch = batch(&state, write, 1 + number as u64);
            store.persist(&batch).unwrap();
            state.apply(&batch);
            prop_assert_eq!(
                &open_state(copy_folder(folder.path()).path()),
                &state,
                "after {:?}",
                write
            );
        }
        Ok(())
    };
    deterministic_runner(25).run(&cases, test).unwrap();
}

/// Guards against undetected damage in `state` and `snapshot`, the files that are replaced as a
/// whole.
#[test]
fn damaged_state_and_snapshot_files_are_reported() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    store.persist(&entries(1, 3, 1)).unwrap();
    store.persist(&snapshot(2, 1)).unwrap();
    drop(store);
    for name in ["state", "snapshot"] {
        let length = fs::metadata(folder.path().join(name)).unwrap().len();
        for position in 0..length {
            for damage in [flip_bits, |path: &Path, length, _| truncate(path, length)] {
                let copy = copy_folder(folder.path());
                let path = copy.path().join(name);
                damage(&path, position, 0x10);
                let error = open_error(copy.path());
                let StoreError::Corrupt {
                    path: found,
                    offset: 0,
                    ..
                } = &error
                else {
                    panic!("unexpected error {error} for byte {position} of {name}");
                };
                assert_eq!(*found, path);
            }
        }
    }
}

/// Guards against opening a folder with a missing file, which would lose entries, the vote or the
/// id.
#[test]
fn missing_files_are_reported() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = LogStore::open_with_segment_size(folder.path(), 100).unwrap();
    write_all(&mut store, &vec![Write::Append { count: 3, size: 30 }; 6]);
    store.persist(&snapshot(9, 3)).unwrap();
    drop(store);
    let paths = segment_paths(folder.path());
    let middle = paths[paths.len() / 2]
        .file_name()
        .unwrap()
        .to_str()
        .unwrap()
        .to_owned();
    for name in ["state", "snapshot", &middle] {
        let copy = copy_folder(folder.path());
        fs::remove_file(copy.path().join(name)).unwrap();
        let error = open_error(copy.path());
        assert!(
            matches!(error, StoreError::Corrupt { .. }),
            "{name}: {error}"
        );
    }
}
