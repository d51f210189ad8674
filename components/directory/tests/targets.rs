//! Announcements of targets without an agent: late ones, and those after a restart or a removal.

use std::time::Duration;

use directory::{DepartureTable, NodeDirectory};
use rstest::rstest;
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
            accepted_at: ConfigVersion(0),
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

/// Table in which these incarnations of the target have left, in this order.
fn departures(incarnations: &[u64]) -> DepartureTable {
    let mut departures = DepartureTable::default();
    for incarnation in incarnations {
        departures.record(&"target".into(), Incarnation(*incarnation));
    }
    departures
}

/// Guards against a late announcement that lists a target as serving although its departure was
/// acknowledged while it was not listed.
#[test]
fn departure_of_a_target_that_is_not_listed_outlasts_late_announcements() {
    let mut directory = directory();
    directory.announce(announcement(7, 5, NodeState::Serving), ClockTime(0));
    directory.tick(ClockTime(5_000));

    directory.apply_departures(&departures(&[7]), ClockTime(5_100));
    let missing = directory.missing(ClockTime(5_100)).count();
    directory.announce(announcement(7, 9, NodeState::Serving), ClockTime(5_600));
    let after_late = state(&directory);
    directory.apply_forwarded(
        vec![announcement(7, 12, NodeState::Serving)],
        ClockTime(90_000),
    );

    assert_eq!(missing, 0);
    assert_eq!(after_late, Some(NodeState::Leaving));
    assert_eq!(state(&directory), Some(NodeState::Leaving));
}

/// Guards against a departure that is ignored because the directory still lists an earlier process
/// under the name.
#[test]
fn departure_of_a_later_process_ends_the_listed_one() {
    let mut directory = directory();
    directory.announce(announcement(1, 5, NodeState::Serving), ClockTime(0));
    let before = directory.revision();

    directory.apply_departures(&departures(&[2]), ClockTime(10));
    let delta = directory.delta_since(Incarnation(1), before);
    directory.announce(announcement(2, 1, NodeState::Serving), ClockTime(20));
    let after_late = state(&directory);
    directory.announce(announcement(1, 6, NodeState::Serving), ClockTime(30));

    assert_eq!(delta.removed, ["target".into()]);
    assert_eq!(after_late, Some(NodeState::Leaving));
    assert_eq!(state(&directory), Some(NodeState::Leaving));
}

/// Guards against entries that are not told that a listed target leaves, and against a control node
/// that lists it as serving again after a later announcement of the same process.
#[test]
fn departure_of_a_listed_target_changes_the_directory() {
    let mut directory = directory();
    directory.announce(announcement(1, 5, NodeState::Serving), ClockTime(0));
    let before = directory.revision();

    directory.apply_departures(&departures(&[1]), ClockTime(10));
    let delta = directory.delta_since(Incarnation(1), before);
    directory.announce(announcement(1, 6, NodeState::Serving), ClockTime(20));

    let changed: Vec<_> = delta.changed.iter().map(|entry| entry.state).collect();
    assert_eq!(changed, [NodeState::Leaving]);
    assert_eq!(state(&directory), Some(NodeState::Leaving));
}

/// Guards against a target that gets no requests after a restart under its name, and against a late
/// departure of its earlier process that ends the new one.
#[test]
fn departure_of_an_earlier_process_does_not_end_a_later_one() {
    let mut directory = directory();
    directory.apply_departures(&departures(&[1]), ClockTime(0));

    let restarted = directory.announce(announcement(2, 1, NodeState::Serving), ClockTime(10));
    directory.apply_departures(&departures(&[1]), ClockTime(20));

    assert!(restarted);
    assert_eq!(state(&directory), Some(NodeState::Serving));
}

/// Guards against entries that give a target full load since they are not told that it has become cold
/// again while it was cold, and against a change of the directory with each announcement of a cold one.
#[test]
fn target_that_becomes_cold_again_changes_the_directory() {
    let cold = |sequence, cold_ms| {
        let mut entry = announcement(1, sequence, NodeState::Serving);
        if let NodeKind::Target(target) = &mut entry.kind {
            target.cold_ms = cold_ms;
        }
        entry
    };
    let mut directory = directory();
    directory.announce(cold(1, 3_000), ClockTime(0));
    let before = directory.revision();

    directory.announce(cold(2, 1_800), ClockTime(1_200));
    let while_cold = directory.revision();
    directory.announce(cold(3, 3_000), ClockTime(2_400));
    let delta = directory.delta_since(Incarnation(1), while_cold);

    assert_eq!(while_cold, before);
    assert_eq!(delta.changed, [cold(3, 3_000)]);
}

/// Guards against departures without number that fill the memory of the control nodes, and against
/// the loss of recent ones.
#[test]
fn oldest_departures_are_dropped() {
    let mut departures = DepartureTable::default();
    let name = |number: u64| format!("target-{number}").as_str().into();
    for number in 0..10_000 {
        departures.record(&name(number), Incarnation(1));
    }

    let kept = departures.since(Default::default()).count();

    assert!(kept < 10_000, "{kept} departures are kept");
    assert!(departures.contains(&name(9_999), Incarnation(1)));
    assert!(departures.contains(&name(9_000), Incarnation(1)));
    assert!(!departures.contains(&name(0), Incarnation(1)));
}

/// Announcement that a control node accepted at this version of the configuration.
fn accepted_at(version: u64, sequence: u64) -> DirectoryEntry {
    let mut entry = announcement(1, sequence, NodeState::Serving);
    if let NodeKind::Target(target) = &mut entry.kind {
        target.accepted_at = ConfigVersion(version);
    }
    entry
}

/// Versions of the announcements that a node hears after this revision.
fn heard_versions(directory: &NodeDirectory, revision: u64) -> Vec<ConfigVersion> {
    let delta = directory.delta_since(Incarnation(1), revision);
    let targets = delta.changed.iter().filter_map(|entry| match &entry.kind {
        NodeKind::Target(target) => Some(target.accepted_at),
        _ => None,
    });
    targets.collect()
}

/// Guards against entries that are not told of the first announcement after the data centre of a target
/// was brought back, and against ones that take an earlier announcement for it.
#[rstest]
#[case::of_a_current_node(false)]
#[case::of_a_node_that_learns_of_the_return_later(true)]
fn first_announcement_since_a_return_changes_the_directory(#[case] learns_late: bool) {
    let mut directory = directory();
    directory.announce(accepted_at(6, 1), ClockTime(0));
    let returns = [("praha-1".into(), ConfigVersion(7))].into();
    if !learns_late {
        directory.apply_returns(&returns);
    }
    let before = directory.revision();

    directory.announce(accepted_at(6, 2), ClockTime(10));
    let of_earlier = heard_versions(&directory, before);
    directory.apply_forwarded(vec![accepted_at(7, 3)], ClockTime(20));
    directory.apply_returns(&returns);
    let of_first = heard_versions(&directory, before);
    let after_first = directory.revision();
    directory.announce(accepted_at(8, 4), ClockTime(30));

    assert_eq!(of_earlier, []);
    assert_eq!(of_first, [ConfigVersion(7)]);
    assert_eq!(heard_versions(&directory, after_first), []);
}
