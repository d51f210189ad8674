//! What an entry knows of a process when it hears of it from several control nodes.

use std::time::Duration;

use client::FleetView;
use rstest::rstest;
use units::{ClockTime, ConfigVersion, Incarnation, NodeName, SlotCount};
use wire::{AnnouncedTarget, DirectoryDelta, DirectoryEntry, NodeKind, NodeState, RenewReply};

const CONTROL_A: Incarnation = Incarnation(101);
const CONTROL_B: Incarnation = Incarnation(102);

/// Time after which an entry has forgotten a process that no control node lists.
const FORGOTTEN: Duration = Duration::from_secs(61);

fn target(number: u16, incarnation: u64, sequence: u64) -> DirectoryEntry {
    DirectoryEntry {
        name: format!("target-{number}").as_str().into(),
        incarnation: Incarnation(incarnation),
        address: ([10, 0, 0, 1], number).into(),
        data_centre: "praha-1".into(),
        state: NodeState::Serving,
        config: ConfigVersion(0),
        kind: NodeKind::Target(AnnouncedTarget {
            service: "advice".into(),
            version: None,
            slots: SlotCount(8),
            cold_ms: 0,
            sequence,
            accepted_at: ConfigVersion(0),
        }),
    }
}

fn cold(mut entry: DirectoryEntry) -> DirectoryEntry {
    if let NodeKind::Target(target) = &mut entry.kind {
        target.cold_ms = 3_000;
    }
    entry
}

fn leaving(entry: DirectoryEntry) -> DirectoryEntry {
    DirectoryEntry {
        state: NodeState::Leaving,
        ..entry
    }
}

fn complete(source: Incarnation, changed: Vec<DirectoryEntry>) -> DirectoryDelta {
    DirectoryDelta {
        source,
        revision: 1,
        is_complete: true,
        is_settled: true,
        changed,
        removed: Vec::new(),
    }
}

fn hear(view: &mut FleetView, delta: DirectoryDelta, now: ClockTime) {
    let reply = RenewReply {
        age_ms: 0,
        version: ConfigVersion(0),
        changes: Vec::new(),
        directory: Some(delta),
        controls: Vec::new(),
    };
    view.apply_renewal(now, reply).unwrap();
}

fn at_second(seconds: u64) -> ClockTime {
    ClockTime(1_000_000 + seconds * 1_000)
}

/// Guards against entries that take a cold target for warm, a leaving one for serving, or an earlier
/// process for the current one, because the control node that they follow now has heard less.
#[rstest]
#[case::cold_target(cold(target(1, 7, 10)), target(1, 7, 9))]
#[case::leaving_target(leaving(target(1, 7, 10)), target(1, 7, 9))]
#[case::departure_that_the_other_node_has_not_applied(leaving(target(1, 7, 10)), target(1, 7, 10))]
#[case::restarted_target(cold(target(1, 7, 1)), target(1, 6, 40))]
fn older_announcement_of_another_control_node_is_not_taken_over(
    #[case] known: DirectoryEntry,
    #[case] older: DirectoryEntry,
    #[values(false, true)] was_missing: bool,
    #[values(false, true)] is_incremental: bool,
) {
    let mut view = FleetView::default();
    hear(
        &mut view,
        complete(CONTROL_A, vec![known.clone()]),
        at_second(0),
    );
    if was_missing || is_incremental {
        hear(&mut view, complete(CONTROL_B, vec![]), at_second(1));
    }

    let mut delta = complete(CONTROL_B, vec![older]);
    delta.is_complete = !is_incremental;
    hear(&mut view, delta, at_second(2));

    let listed = view.directory.get(&known.name);
    assert!(listed.is_none_or(|listed| *listed == known), "{listed:?}");
}

/// Guards against targets that stay cold at an entry, because the control node that it follows has not
/// told it of an announcement that changes nothing there.
#[test]
fn complete_directory_is_requested_until_the_control_node_has_caught_up() {
    let mut view = FleetView::default();
    hear(
        &mut view,
        complete(CONTROL_A, vec![cold(target(1, 7, 10))]),
        at_second(0),
    );

    hear(
        &mut view,
        complete(CONTROL_B, vec![target(1, 7, 9)]),
        at_second(1),
    );
    let behind = view.requested_revision();
    hear(
        &mut view,
        complete(CONTROL_B, vec![target(1, 7, 11)]),
        at_second(2),
    );
    let caught_up = view.requested_revision();

    assert_eq!(behind, None);
    assert_eq!(caught_up, Some((CONTROL_B, 1)));
    assert_eq!(
        view.directory[&NodeName::from("target-1")],
        target(1, 7, 11)
    );
}

/// Guards against targets that are never listed again after their clock was set back, and against an
/// entry that keeps all processes that have ever been listed.
#[test]
fn processes_that_are_no_longer_listed_are_forgotten() {
    let mut view = FleetView::default();
    hear(
        &mut view,
        complete(CONTROL_A, vec![target(1, 7, 10), target(2, 7, 10)]),
        at_second(0),
    );
    let earlier = || complete(CONTROL_B, vec![target(1, 6, 1)]);
    hear(&mut view, earlier(), at_second(1));
    let soon = view.directory[&NodeName::from("target-1")].incarnation;
    hear(&mut view, earlier(), at_second(1) + FORGOTTEN);
    let names: Vec<_> = view.directory.keys().cloned().collect();

    let both = vec![target(1, 6, 2), target(2, 6, 1)];
    hear(
        &mut view,
        complete(CONTROL_B, both.clone()),
        at_second(2) + FORGOTTEN,
    );
    let listed: Vec<_> = view.directory.values().cloned().collect();

    assert_eq!(soon, Incarnation(7));
    assert_eq!(names, [NodeName::from("target-1")]);
    assert_eq!(listed, both);
    assert_eq!(view.requested_revision(), Some((CONTROL_B, 1)));
}
