//! Changes that are large compared with the state that they leave.

mod support;

use std::path::{Path, PathBuf};
use std::{fs, iter};

use raft::{EntryId, EntryPayload, LogEntry, LogIndex, PersistBatch};
use registry::{RegistryAction, RegistryCommand, WallTime};
use rstest::rstest;
use store::{LogStore, SEGMENT_BYTES};
use support::TestGroup;
use support::changes::publish_text;
use units::Incarnation;

/// Size of the text of each change.
const TEXT_BYTES: usize = 100_000;

/// Size of the log segments of a node.
fn log_bytes(data: &Path) -> u64 {
    let files = fs::read_dir(data).unwrap().map(Result::unwrap);
    let segments = files.filter(|file| file.file_name().to_string_lossy().starts_with("log-"));
    segments.map(|file| file.metadata().unwrap().len()).sum()
}

/// Guards against a log that fills the disk with superseded configurations, because only its entries
/// are counted.
#[tokio::test(flavor = "multi_thread")]
async fn large_changes_do_not_fill_the_disk() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    let index = (group.leader().await + 1) % 3;

    for number in 1..=70 {
        publish_text(&group, number, TEXT_BYTES).await;
        if number == 60 {
            group.kill(index).await;
            group.restart(index, false).await;
        }
    }

    group.wait_version(70).await;
    for index in 0..3 {
        let bytes = log_bytes(&group.data_folder(index));
        assert!(
            bytes <= SEGMENT_BYTES + 10 * TEXT_BYTES as u64,
            "the log of node {index} takes {bytes} bytes"
        );
    }
}

/// Writes commands to the logs of stopped nodes, after the entries of the first one, as an earlier version
/// would have left them.
fn append_commands(folders: &[PathBuf], count: u64, bytes: usize) {
    let (first, state) = LogStore::open(&folders[0]).unwrap();
    drop(first);
    let last = state.entries.last().unwrap().id;
    let commands = (1..=count).map(|number| RegistryCommand {
        at: WallTime(0),
        action: RegistryAction::Depart {
            name: "a".repeat(bytes).as_str().into(),
            incarnation: Incarnation(number),
        },
    });
    let entries = commands.zip(last.index.0 + 1..).map(|(command, index)| {
        let id = EntryId {
            index: LogIndex(index),
            ..last
        };
        let payload = EntryPayload::Command(postcard::to_stdvec(&command).unwrap().into());
        vec![LogEntry { id, payload }]
    });
    let batches: Vec<_> = iter::once(state.entries.clone())
        .chain(entries)
        .map(|entries| PersistBatch {
            entries,
            ..PersistBatch::default()
        })
        .collect();
    for folder in folders {
        let (mut store, _) = LogStore::open(folder).unwrap();
        batches
            .iter()
            .for_each(|batch| store.persist(batch).unwrap());
    }
}

/// Guards against a node that keeps the whole log of an earlier version, which it reads into memory at
/// each start.
#[tokio::test(flavor = "multi_thread")]
async fn long_log_is_compacted_after_a_start() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    for index in 0..3 {
        group.kill(index).await;
    }
    let folders: Vec<_> = (0..3).map(|index| group.data_folder(index)).collect();
    append_commands(&folders, 60, TEXT_BYTES);
    let bytes_before = log_bytes(&folders[0]);

    for index in 0..3 {
        group.restart(index, false).await;
    }
    group.wait_ready().await;
    publish_text(&group, 1, 1).await;
    group.wait_version(1).await;

    assert!(bytes_before >= 60 * TEXT_BYTES as u64);
    for index in 0..3 {
        let bytes = log_bytes(&group.data_folder(index));
        assert!(
            bytes <= SEGMENT_BYTES + 10 * TEXT_BYTES as u64,
            "the log of node {index} takes {bytes} bytes"
        );
    }
}

/// Guards against a node that stays away from its group because its own log fills its disk: while the disk
/// is full, nothing is applied or compacted that could free room.
#[tokio::test(flavor = "multi_thread")]
async fn node_whose_log_fills_its_disk_keeps_up() {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    let index = (group.leader().await + 1) % 3;
    group.disks[index].set_capacity(2_500_000);

    for number in 1..=50 {
        publish_text(&group, number, TEXT_BYTES).await;
    }

    group.wait_version(50).await;
}

/// Guards against a node that stays away from its group because the disk has no room for a second copy of
/// the snapshot, so that its log can never be replaced.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn node_keeps_up_on_a_disk_that_others_have_filled(#[values(true, false)] is_leader: bool) {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    let index = (group.leader().await + usize::from(!is_leader)) % 3;
    for number in 1..=8 {
        publish_text(&group, number, TEXT_BYTES).await;
    }
    group.wait_version(8).await;

    group.disks[index].set_capacity(group.disks[index].used_bytes());
    for number in 9..=30 {
        publish_text(&group, number, TEXT_BYTES).await;
    }
    group.wait_version(30).await;
    group.kill(index).await;
    group.restart(index, false).await;
    publish_text(&group, 31, TEXT_BYTES).await;

    group.wait_version(31).await;
}
