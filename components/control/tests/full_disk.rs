//! Disks of control hosts that refuse every write for a time, one after another.

mod support;

use std::fs;
use std::path::Path;
use std::time::Duration;

use client::ControlClient;
use rstest::rstest;
use support::changes::{ACK_TIMEOUT, ChangeSender, accept, text_of};
use support::{TestGroup, apply, order};
use tokio::time::{sleep, timeout};
use wire::{
    ControlReply, ControlRequest, NodeRole, OriginAnswer, OriginBatch, StreamId, StreamOrigin,
};

/// Time for which a disk is full.
const FULL_TIME: Duration = Duration::from_millis(2_500);

/// Time between the return of room and the next full disk.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Guards against changes that are refused or unanswered for ever, because the control nodes have
/// ended one after another while their disks were full.
#[rstest]
#[case::leader_last(true)]
#[case::leader_first(false)]
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_accepted_after_all_disks_were_full_in_turn(#[case] leader_last: bool) {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    let sender = ChangeSender::start(group.client(NodeRole::Operator, "operator"));
    sleep(PAUSE).await;
    let mut order_of_disks = vec![0, 1, 2];
    let leader = group.leader().await;
    order_of_disks.sort_by_key(|index| (*index == leader) == leader_last);

    for index in order_of_disks {
        // The leader may have changed since.
        group.disks[index].set_full(true);
        sleep(FULL_TIME).await;
        group.disks[index].set_full(false);
        sleep(PAUSE).await;
    }

    let (accepted, longest) = sender.stop().await;
    assert!(longest <= ACK_TIMEOUT, "a change took {longest:?}");
    for index in 0..3 {
        let version = accepted + 1 + index as u64;
        let client = group.client_at(index, NodeRole::Operator, &format!("operator-{index}"));
        let accepted = timeout(ACK_TIMEOUT, accept(&client, version)).await;
        assert!(accepted.is_ok(), "node {index} refuses changes");
    }
    group.wait_version(accepted + 3).await;
}

/// Guards against a leader that keeps its role with a full disk: if its disk stays full, each change
/// depends on all other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn leader_with_a_full_disk_hands_over() {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    let leader = group.leader().await;
    let sender = ChangeSender::start(group.client(NodeRole::Operator, "operator"));

    group.disks[leader].set_full(true);
    let other = (leader + 1) % 3;
    let name = support::NODE_NAMES[leader];
    group
        .wait(other, "another node leads", |status| {
            status
                .leader
                .as_ref()
                .is_some_and(|leader| leader.as_str() != name)
        })
        .await;
    sleep(FULL_TIME).await;
    let (accepted, longest) = sender.stop().await;

    assert!(longest <= ACK_TIMEOUT, "a change took {longest:?}");
    group.disks[leader].set_full(false);
    group.wait_version(accepted).await;
}

/// Guards against a node that does not come back, or comes back with less than it has acknowledged,
/// because it was started while its disk was still full, after a record was half written.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn node_started_with_a_full_disk_returns_with_its_log(#[values(0, 1)] other_offset: usize) {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    let client = group.client(NodeRole::Operator, "operator");
    accept(&client, 1).await;
    group.wait_version(1).await;
    let index = (group.leader().await + 1) % 3;
    let id = group.id_of(index);
    group.disks[index].set_full(true);
    accept(&client, 2).await;
    sleep(Duration::from_millis(300)).await;
    group.kill(index).await;

    let disk = group.disks[index].clone();
    let room = tokio::spawn(async move {
        sleep(FULL_TIME).await;
        disk.set_full(false);
    });
    group.restart(index, false).await;
    room.await.unwrap();

    assert_eq!(group.id_of(index), id);
    group.wait_version(2).await;
    group.kill((index + 1 + other_offset) % 3).await;
    assert!(timeout(ACK_TIMEOUT, accept(&client, 3)).await.is_ok());
    group.wait_version(3).await;
}

/// Guards against a node that ends because its first start, or its first log entry, meets a full disk.
#[tokio::test(flavor = "multi_thread")]
async fn node_with_a_full_disk_joins_once_there_is_room() {
    let mut group = TestGroup::start_discovering().await;
    group.wait_ready().await;
    let added = group.add(support::DATA_CENTRES[0]).await;
    group.disks[added].set_full(true);
    let client = group.client(NodeRole::Operator, "operator");
    order(&client, apply("order-1", 0, &text_of(1))).await;
    sleep(FULL_TIME).await;

    group.disks[added].set_full(false);

    group.wait_version(1).await;
}

fn origins(stream: u64) -> ControlRequest {
    let origin = StreamOrigin {
        service: "stone-advice".into(),
        version: "v1".into(),
    };
    ControlRequest::RecordOrigins(vec![OriginBatch {
        origin,
        streams: vec![(StreamId(stream), 60_000)],
    }])
}

async fn record_origins(client: &ControlClient, stream: u64) {
    client.request(&origins(stream)).await.unwrap();
    // Reports are written in groups.
    sleep(Duration::from_millis(300)).await;
}

/// Cuts off the end of the last record of the journal.
fn tear_journal(data: &Path) {
    let path = data.join("origins/journal-0");
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, &bytes[..bytes.len() - 3]).unwrap();
}

/// Guards against streams that cannot be continued after a restart, because the journal of their
/// origins could not be opened at the start before, while the disk was full.
#[tokio::test(flavor = "multi_thread")]
async fn origins_are_written_after_a_start_with_a_full_disk() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    let index = (group.leader().await + 1) % 3;
    let client = group.client_at(index, NodeRole::Entry, "entry-1");
    record_origins(&client, 1).await;
    record_origins(&client, 2).await;
    group.kill(index).await;
    tear_journal(&group.data_folder(index));
    group.disks[index].set_full(true);
    group.restart(index, false).await;
    group.disks[index].set_full(false);

    record_origins(&client, 3).await;
    group.kill(index).await;
    group.restart(index, false).await;

    for stream in [1, 3] {
        let request = ControlRequest::FindOrigin(StreamId(stream));
        let answer = client.request(&request).await.unwrap();
        assert!(
            matches!(answer, ControlReply::Origin(OriginAnswer::Known { .. })),
            "stream {stream}: {answer:?}"
        );
    }
}

/// Guards against a node that ends, or has lost its seat for good, because its disk was full when it
/// had to replace its data folder.
#[tokio::test(flavor = "multi_thread")]
async fn removed_node_joins_again_once_its_disk_has_room() {
    let mut group = TestGroup::start_discovering().await;
    group.add(support::DATA_CENTRES[1]).await;
    group.wait_ready().await;
    let index = (group.leader().await + 1) % 3;
    let id = group.id_of(index);
    let client = group.client(NodeRole::Operator, "operator");
    group.kill(index).await;
    // The node that stands by takes the seat.
    sleep(control::DEFAULT_CATCH_UP_TIME + FULL_TIME).await;

    group.disks[index].set_full(true);
    group.restart(index, false).await;
    sleep(FULL_TIME).await;
    accept(&client, 1).await;
    group.disks[index].set_full(false);

    group.wait_version(1).await;
    assert_ne!(group.id_of(index), id);
}

/// Guards against a group that is not formed, or a node that stays outside of it, because the disk of
/// one node was full when the group was formed.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn group_is_formed_while_one_disk_is_full(#[values(0, 1)] index: usize) {
    let group = TestGroup::start_with_full_disk(index).await;
    let client = group.client(NodeRole::Operator, "operator");

    let is_accepted = timeout(2 * ACK_TIMEOUT, accept(&client, 1)).await.is_ok();
    assert!(is_accepted, "no group is formed with a full disk");
    sleep(FULL_TIME).await;
    group.disks[index].set_full(false);

    group.wait_version(1).await;
}
