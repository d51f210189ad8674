//! When a directory is complete, and which announcements count after a return of a data centre.

use directory::{NodeDirectory, SILENCE_TIMEOUT};
use units::{ClockTime, ConfigVersion, Incarnation, SlotCount};
use wire::{AnnouncedTarget, DirectoryEntry, NodeKind, NodeState};

fn entry(name: &str) -> DirectoryEntry {
    DirectoryEntry {
        name: name.into(),
        incarnation: Incarnation(1),
        address: ([10, 0, 0, 1], 7_401).into(),
        data_centre: "praha-1".into(),
        state: NodeState::Serving,
        config: ConfigVersion(0),
        kind: NodeKind::Entry,
    }
}

fn target(accepted_at: u64, sequence: u64) -> DirectoryEntry {
    DirectoryEntry {
        kind: NodeKind::Target(AnnouncedTarget {
            version: Some("v1".into()),
            service: "visits".into(),
            slots: SlotCount(6),
            cold_ms: 0,
            sequence,
            accepted_at: ConfigVersion(accepted_at),
        }),
        ..entry("target")
    }
}

/// Guards against an entry that takes the first ones of a control node for all: a node without a quorum
/// records no renewals, so the time in which it had none tells nothing.
#[test]
fn directory_that_has_heard_of_no_node_is_not_settled() {
    let mut directory = NodeDirectory::new(Incarnation(1));
    directory.tick(ClockTime(0));
    let quorum_at = ClockTime(0) + SILENCE_TIMEOUT;
    directory.tick(quorum_at);

    directory.announce(entry("entry-1"), quorum_at);
    let delta = directory.delta_since(Incarnation(0), 0);

    assert!(!delta.is_settled, "settled with {}", delta.changed.len());
}

/// Guards against a warm target that is limited again because its next announcement reaches a control node
/// that has just started. A later announcement than one since the return is one since the return.
#[test]
fn restarted_control_node_does_not_take_back_that_a_target_was_heard() {
    let mut directory = NodeDirectory::new(Incarnation(1));
    directory.apply_returns(&[("praha-1".into(), ConfigVersion(7))].into());
    directory.announce(target(7, 1), ClockTime(0));

    directory.apply_forwarded(vec![target(0, 2)], ClockTime(1_200));

    let Some(NodeKind::Target(heard)) = directory
        .get(&"target".into())
        .map(|entry| entry.kind.clone())
    else {
        panic!("the target is not listed");
    };
    assert!(heard.accepted_at >= ConfigVersion(7), "{:?}", heard);
}
