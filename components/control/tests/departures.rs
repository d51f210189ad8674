//! Departures of targets in a group of three control nodes.

mod support;

use std::time::{Duration, Instant};

use control::{ApiError, ControlHandle};
use support::{TestGroup, node, renew, renew_request};
use units::{ConfigVersion, Incarnation, SlotCount};
use wire::{
    AnnouncedTarget, ControlReply, DirectoryEntry, NodeKind, NodeRole, NodeState, RenewReply,
};

/// Maximum time to wait for a confirmation by a quorum.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(30);

fn announcement(name: &str, incarnation: u64, sequence: u64, state: NodeState) -> DirectoryEntry {
    let kind = NodeKind::Target(AnnouncedTarget {
        version: None,
        service: "visits".into(),
        slots: SlotCount(6),
        cold_ms: 0,
        sequence,
        accepted_at: ConfigVersion(0),
    });
    DirectoryEntry {
        incarnation: Incarnation(incarnation),
        state,
        ..node(name, kind)
    }
}

fn serving(name: &str, sequence: u64) -> DirectoryEntry {
    announcement(name, 1, sequence, NodeState::Serving)
}

fn handle(group: &TestGroup, index: usize) -> &ControlHandle {
    group.nodes[index].as_ref().unwrap()
}

/// State of a target as an entry learns it from one control node.
async fn listed_state(group: &TestGroup, index: usize, name: &str) -> Option<NodeState> {
    let client = group.client_at(index, NodeRole::Entry, "entry-1");
    let reply = renew(&client, node("entry-1", NodeKind::Entry)).await;
    state_in(reply, name)
}

/// State of a target in the directory of a reply.
fn state_in(reply: RenewReply, name: &str) -> Option<NodeState> {
    let entries = reply.directory.unwrap().changed;
    let target = entries.iter().find(|entry| entry.name == name.into());
    target.map(|entry| entry.state)
}

/// State of a target at the first lease of a control node that rests on a confirmation by a quorum later
/// than `since`. Until then a node may still answer from before, and states its age.
async fn confirmed_state(
    group: &TestGroup,
    index: usize,
    name: &str,
    since: Instant,
) -> Option<NodeState> {
    let client = group.client_at(index, NodeRole::Entry, "entry-1");
    let request = renew_request(node("entry-1", NodeKind::Entry));
    let asking = async {
        loop {
            let asked_at = Instant::now();
            // Fails while a leader is elected.
            if let Ok(ControlReply::Renewed(reply)) = client.request(&request).await {
                // The age is rounded down.
                let age = Duration::from_millis(reply.age_ms + 1);
                if asked_at > since + age {
                    return reply;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let reply = tokio::time::timeout(CONFIRM_TIMEOUT, asking).await.unwrap();
    state_in(reply, name)
}

/// Guards against a departure that only the acknowledging node knows: the process is announced late
/// at another node, at the moment of the acknowledgement, and the first node is killed.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_departure_holds_at_all_nodes_without_the_acknowledging_one() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    let departing = handle(&group, 0).api();
    let others = [handle(&group, 1).api(), handle(&group, 2).api()];

    let name = "target-1".into();
    let departure = departing.mark_leaving(&name, Some(Incarnation(1))).await;
    let acknowledged_at = Instant::now();
    group.kill(0).await;
    for other in &others {
        other.announce(serving("target-1", 9)).await.unwrap();
    }

    assert_eq!(departure, Ok(()));
    for index in [1, 2] {
        let state = confirmed_state(&group, index, "target-1", acknowledged_at).await;
        assert_eq!(state, Some(NodeState::Leaving), "at node {index}");
    }
}

/// Guards against a target that is listed as serving again after it was acknowledged that it is
/// leaving, although no node had listed it, and after all control nodes have restarted.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_nodes_keep_acknowledged_departures() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    let leaving = announcement("target-1", 1, 5, NodeState::Leaving);

    let announced = handle(&group, 1).api().announce(leaving).await;
    for index in 0..3 {
        group.kill(index).await;
    }
    for index in 0..3 {
        group.restart(index, false).await;
    }
    group.wait_ready().await;
    for index in 0..3 {
        let api = handle(&group, index).api();
        api.announce(serving("target-1", 4)).await.unwrap();
    }

    assert_eq!(announced, Ok(()));
    for index in 0..3 {
        let state = listed_state(&group, index, "target-1").await;
        assert_eq!(state, Some(NodeState::Leaving), "at node {index}");
    }
}

/// Guards against the acknowledgement of a departure that only a minority knows.
#[tokio::test(flavor = "multi_thread")]
async fn departure_without_a_quorum_is_not_acknowledged() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    // The leader records the names after it has confirmed the state.
    group
        .wait(2, "the names of the other nodes are recorded", |status| {
            let mut controls = status.controls.iter();
            controls.all(|control| control.name.is_some())
        })
        .await;
    group.kill(0).await;
    group.kill(1).await;
    let api = handle(&group, 2).api();

    group
        .wait(2, "the other nodes are no longer present", |status| {
            let present = status.controls.iter().filter(|control| control.present);
            present.count() == 1
        })
        .await;
    let name = "target-1".into();
    let departure = api.mark_leaving(&name, Some(Incarnation(1))).await;

    let Err(ApiError::NoQuorum(reason)) = departure else {
        panic!("{departure:?}");
    };
    let is_named = |name: &str| reason.contains(&format!("{name} (silent for "));
    assert!(is_named("control-1") && is_named("control-2"), "{reason}");
}

/// Guards against entries and agents that a departure under their name takes out.
#[tokio::test(flavor = "multi_thread")]
async fn departure_under_the_name_of_an_entry_has_no_effect_on_it() {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    let api = handle(&group, 0).api();
    let before = listed_state(&group, 0, "entry-1").await;

    let name = "entry-1".into();
    api.mark_leaving(&name, Some(Incarnation(1))).await.unwrap();

    assert_eq!(before, Some(NodeState::Serving));
    let after = listed_state(&group, 0, "entry-1").await;
    assert_eq!(after, Some(NodeState::Serving));
}
