//! Announcements of targets without an agent: late ones, and those after a restart or a removal.

use std::time::Duration;

use directory::NodeDirectory;
use units::{ClockTime, ConfigVersion, Incarnation, SlotCount};
use wire::{AnnouncedTarget, DirectoryEntry, NodeKind, NodeState};

const TARGET_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

fn announcement(incarnation: u64, sequence: u64, state: NodeState) -> DirectoryEntry {
    DirectoryEntry {
        name: "target".into(),
        incarnation: Incarnation(incarnation),
        address: ([10, 0, 0, 1], 8080).into(),
        data_centre: "praha-1".into(),
        state,
        config: ConfigVersion(0),
        kind: NodeKind::Target(AnnouncedTarget {
            version: Some("v1".into()),
            service: "visits".into(),
            slots: SlotCount(6),
            cold_ms: 0,
            sequence,
        }),
    }
}

fn directory() -> NodeDirectory {
    NodeDirectory::new(Incarnation(1)).with_target_silence_timeout(TARGET_SILENCE_TIMEOUT)
}

fn state(directory: &NodeDirectory) -> Option<NodeState> {
    directory.get(&"target".into()).map(|entry| entry.state)
}

/// Guards against a late announcement that makes a leaving target serve again.
#[test]
fn late_announcement_does_not_replace_a_newer_one() {
    let mut directory = directory();
    directory.announce(announcement(1, 5, NodeState::Leaving), ClockTime(0));

    let accepted = directory.announce(announcement(1, 4, NodeState::Serving), ClockTime(10));

    assert!(!accepted);
    assert_eq!(state(&directory), Some(NodeState::Leaving));
}

/// Guards against a late announcement that lists an ended target again after its removal.
#[test]
fn late_announcement_does_not_restore_a_removed_target() {
    let mut directory = directory();
    directory.announce(announcement(1, 5, NodeState::Leaving), ClockTime(0));
    directory.tick(ClockTime(5_000));
    assert_eq!(state(&directory), None);

    let late = directory.announce(announcement(1, 5, NodeState::Serving), ClockTime(5_100));
    let newer = directory.announce(announcement(1, 6, NodeState::Serving), ClockTime(5_200));

    assert!(!late);
    assert!(newer);
}

/// Guards against a restarted target whose announcements are ignored because their sequence numbers
/// start again from 1.
#[test]
fn restarted_target_replaces_its_earlier_process() {
    let mut directory = directory();
    directory.announce(announcement(1, 90, NodeState::Leaving), ClockTime(0));

    let restarted = directory.announce(announcement(2, 1, NodeState::Serving), ClockTime(10));
    let late = directory.announce(announcement(1, 91, NodeState::Leaving), ClockTime(20));

    assert!(restarted && !late);
    assert_eq!(state(&directory), Some(NodeState::Serving));
}

/// Guards against a target that is removed between two of its announcements.
#[test]
fn target_is_kept_for_the_target_silence_timeout() {
    let mut directory = directory();
    directory.announce(announcement(1, 1, NodeState::Serving), ClockTime(0));

    directory.tick(ClockTime(4_999));
    let kept = state(&directory);
    directory.tick(ClockTime(5_000));

    assert_eq!(kept, Some(NodeState::Serving));
    assert_eq!(state(&directory), None);
}
