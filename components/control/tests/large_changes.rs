//! Changes that are large compared with the state that they leave.

mod support;

use std::fs;
use std::path::Path;

use store::SEGMENT_BYTES;
use support::TestGroup;
use support::changes::publish_text;

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
