//! Cold targets and lists of entries at control nodes without a quorum.

mod support;

use std::time::Duration;

use support::{TestGroup, node, renew_request};
use units::{ConfigVersion, SlotCount};
use wire::{AnnouncedTarget, ControlReply, DirectoryEntry, NodeKind, NodeRole};

fn cold_target(sequence: u64) -> DirectoryEntry {
    let kind = NodeKind::Target(AnnouncedTarget {
        version: None,
        service: "visits".into(),
        slots: SlotCount(6),
        cold_ms: 3_000,
        sequence,
        accepted_at: ConfigVersion(0),
    });
    node("target-1", kind)
}

/// Guards against an entry that divides rates by far too few others after a restart of all control nodes:
/// a node without a quorum records no renewals, however long it has run.
#[tokio::test(flavor = "multi_thread")]
async fn node_that_had_no_quorum_does_not_list_its_first_entries_as_all() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    for index in 0..3 {
        group.kill(index).await;
    }
    group.restart(0, false).await;
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    group.restart(1, false).await;

    let client = group.client_at(0, NodeRole::Entry, "entry-1");
    let request = renew_request(node("entry-1", NodeKind::Entry));
    let first = loop {
        if let Ok(ControlReply::Renewed(reply)) = client.request_once(&request).await {
            break reply.directory.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };

    let entries = first.changed.len();
    assert!(!first.is_settled, "settled with {entries} entries");
}

/// Guards against a target whose cold period a control node without a quorum acknowledges, while the entries
/// that ask this node are not told and go on sending full load.
#[tokio::test(flavor = "multi_thread")]
async fn cold_target_that_is_acknowledged_is_told_to_entries_without_a_quorum() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    group.kill(0).await;
    group.kill(1).await;
    tokio::time::sleep(Duration::from_millis(3_000)).await;

    let api = group.nodes[2].as_ref().unwrap().api();
    let acknowledged = api.announce(cold_target(2)).await;
    let client = group.client_at(2, NodeRole::Entry, "entry-1");
    let request = renew_request(node("entry-1", NodeKind::Entry));
    let reply = client.request_once(&request).await;

    assert!(
        acknowledged.is_err() || matches!(reply, Ok(ControlReply::Renewed(_))),
        "acknowledged, but the entry gets {reply:?}"
    );
}
