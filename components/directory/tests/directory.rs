//! Behaviour of the directory with late, repeated and lost announcements, and its deltas.

use std::collections::BTreeMap;
use std::time::Duration;

use directory::{NodeDirectory, SILENCE_TIMEOUT, directory_source};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use units::{ClockTime, ConfigVersion, DataCentreName, Incarnation, NodeName, ServiceName};
use units::{SlotCount, TargetName};
use wire::{DirectoryDelta, DirectoryEntry, NodeKind, NodeState, TargetState};

const SOURCE: Incarnation = Incarnation(1);

fn node(index: u8, incarnation: u64) -> DirectoryEntry {
    DirectoryEntry {
        name: NodeName::from(format!("agent-{index}").as_str()),
        incarnation: Incarnation(incarnation),
        address: ([127, 0, 0, 1], 9000 + u16::from(index)).into(),
        data_centre: DataCentreName::from("praha-1"),
        state: NodeState::Serving,
        config: ConfigVersion(1),
        kind: NodeKind::Agent(TargetState {
            target: TargetName::from("engine"),
            service: ServiceName::from("stone-advice"),
            limit: SlotCount(4),
            running: SlotCount(0),
            cold: false,
            healthy: true,
        }),
    }
}

fn leaving(index: u8, incarnation: u64) -> DirectoryEntry {
    DirectoryEntry {
        state: NodeState::Leaving,
        ..node(index, incarnation)
    }
}

fn time(ms: u64) -> ClockTime {
    ClockTime(ms)
}

/// Applies a delta to a follower's view of the directory.
fn apply(view: &mut BTreeMap<NodeName, DirectoryEntry>, delta: &DirectoryDelta) {
    if delta.is_complete {
        view.clear();
    }
    for entry in &delta.changed {
        view.insert(entry.name.clone(), entry.clone());
    }
    for name in &delta.removed {
        view.remove(name);
    }
}

/// Guards against control traffic for renewals that only repeat an entry or report another load.
#[test]
fn renewal_without_significant_change_keeps_the_revision() {
    let mut directory = NodeDirectory::new(SOURCE);
    directory.announce(node(1, 5), time(0));
    let revision = directory.revision();
    let mut busier = node(1, 5);
    if let NodeKind::Agent(target) = &mut busier.kind {
        target.running = SlotCount(3);
    }

    directory.announce(node(1, 5), time(500));
    directory.announce(busier, time(1000));

    assert_eq!(directory.revision(), revision);
    assert!(directory.delta_since(SOURCE, revision).changed.is_empty());
}

/// Guards against a node that stays in the directory after its announcements have stopped.
#[test]
fn silent_node_is_removed() {
    let mut directory = NodeDirectory::new(SOURCE);
    directory.announce(node(1, 5), time(0));
    let revision = directory.revision();

    directory.tick(time(0) + SILENCE_TIMEOUT);

    let delta = directory.delta_since(SOURCE, revision);
    assert_eq!(delta.removed, [NodeName::from("agent-1")]);
    assert!(!delta.is_complete);
}

/// Guards against a late announcement that restores an ended process or an earlier state.
#[test]
fn late_announcement_replaces_nothing() {
    let mut directory = NodeDirectory::new(SOURCE);
    directory.announce(leaving(1, 5), time(0));
    assert!(
        !directory.announce(node(1, 5), time(10)),
        "a leaving process does not serve again"
    );
    assert!(directory.announce(node(1, 6), time(20)));
    directory.apply_forwarded(vec![leaving(1, 5), leaving(1, 6)], time(30));
    let entry = directory.get(&NodeName::from("agent-1")).cloned();
    assert_eq!(entry, Some(node(1, 6)));

    directory.tick(time(20) + SILENCE_TIMEOUT);
    let late = time(30) + SILENCE_TIMEOUT;
    assert!(
        !directory.announce(node(1, 5), late),
        "an earlier incarnation was accepted"
    );
    assert!(
        directory.announce(node(1, 6), late),
        "the removed incarnation was refused"
    );
}

/// Guards against two control nodes that keep a dead node listed by forwarding its announcement
/// back and forth.
#[test]
fn forwarded_announcements_are_not_forwarded_again() {
    let mut first = NodeDirectory::new(SOURCE);
    let mut second = NodeDirectory::new(Incarnation(2));
    first.announce(node(1, 5), time(0));

    for round in 1..10 {
        let now = time(round * 500);
        second.apply_forwarded(first.announced_since(now - Duration::from_millis(600)), now);
        first.apply_forwarded(
            second.announced_since(now - Duration::from_millis(600)),
            now,
        );
    }

    first.tick(time(4500));
    second.tick(time(4500));
    assert_eq!(first.entries().count() + second.entries().count(), 0);
}

/// Guards against a follower that misses changes because its revision is too old, comes from
/// another control node, or is higher than that of a control node that has restarted.
#[test]
fn unknown_revision_gets_the_complete_directory() {
    let mut directory = NodeDirectory::new(SOURCE);
    directory.announce(node(1, 5), time(0));
    directory.announce(node(2, 5), time(0));
    let before = directory.revision();
    directory.tick(time(5_000));
    directory.announce(node(2, 5), time(5_000));
    directory.tick(time(80_000));

    assert!(
        directory.delta_since(SOURCE, before).is_complete,
        "old revision"
    );
    assert!(
        directory.delta_since(Incarnation(9), 1).is_complete,
        "other source"
    );
    assert!(
        directory.delta_since(SOURCE, 1000).is_complete,
        "revision not reached yet"
    );
}

#[derive(Debug, Clone)]
enum DirectoryStep {
    Announce {
        index: u8,
        incarnation: u64,
        leaving: bool,
    },
    Forward {
        index: u8,
        incarnation: u64,
        leaving: bool,
    },
    Wait(u64),
    /// A follower requests the changes since its revision; the answer may be lost.
    Fetch {
        follower: usize,
        lost: bool,
    },
    /// The control node restarts with an empty directory.
    Restart,
}

fn step() -> impl Strategy<Value = DirectoryStep> {
    let entry = (0u8..4, 1u64..4, any::<bool>());
    prop_oneof![
        entry
            .clone()
            .prop_map(|(index, incarnation, leaving)| DirectoryStep::Announce {
                index,
                incarnation,
                leaving
            }),
        entry.prop_map(|(index, incarnation, leaving)| DirectoryStep::Forward {
            index,
            incarnation,
            leaving
        }),
        (0u64..1500).prop_map(DirectoryStep::Wait),
        (20_000u64..70_000).prop_map(DirectoryStep::Wait),
        (0usize..2, any::<bool>())
            .prop_map(|(follower, lost)| DirectoryStep::Fetch { follower, lost }),
        (0usize..2, any::<bool>())
            .prop_map(|(follower, lost)| DirectoryStep::Fetch { follower, lost }),
        Just(DirectoryStep::Restart),
    ]
}

fn entry(index: u8, incarnation: u64, leaves: bool) -> DirectoryEntry {
    if leaves {
        leaving(index, incarnation)
    } else {
        node(index, incarnation)
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    /// Guards against followers whose view differs from the directory after lost answers, and
    /// against a listed node whose incarnation decreases.
    #[test]
    fn follower_views_match_the_directory(steps in prop::collection::vec(step(), 1..80)) {
        let mut directory = NodeDirectory::new(SOURCE);
        let mut source = 1;
        let mut now = time(0);
        let mut views = vec![(Incarnation(0), 0u64, BTreeMap::new()); 2];
        let mut newest: BTreeMap<NodeName, Incarnation> = BTreeMap::new();
        for step in steps {
            match step {
                DirectoryStep::Announce { index, incarnation, leaving } => {
                    directory.announce(entry(index, incarnation, leaving), now);
                }
                DirectoryStep::Forward { index, incarnation, leaving } => {
                    directory.apply_forwarded(vec![entry(index, incarnation, leaving)], now);
                }
                DirectoryStep::Wait(ms) => now = now + Duration::from_millis(ms),
                DirectoryStep::Fetch { follower, lost } => {
                    directory.tick(now);
                    let (known, revision, view) = &mut views[follower];
                    let delta = directory.delta_since(*known, *revision);
                    if !lost {
                        apply(view, &delta);
                        (*known, *revision) = (delta.source, delta.revision);
                        let whole: BTreeMap<_, _> = directory
                            .entries()
                            .map(|entry| (entry.name.clone(), entry.clone()))
                            .collect();
                        prop_assert_eq!(&*view, &whole);
                    }
                }
                DirectoryStep::Restart => {
                    source += 1;
                    directory = NodeDirectory::new(Incarnation(source));
                    newest.clear();
                }
            }
            if matches!(step, DirectoryStep::Wait(ms) if ms >= 20_000) {
                newest.clear();
            }
            for entry in directory.entries() {
                let known = newest.entry(entry.name.clone()).or_insert(entry.incarnation);
                prop_assert!(entry.incarnation >= *known);
                *known = entry.incarnation;
            }
        }
    }
}

/// Guards against an entry that applies the changes of one control node to the directory of another, which
/// started in the same millisecond, and never hears of some nodes.
#[test]
fn control_nodes_that_start_together_have_different_sources() {
    let started = Incarnation(1_796_555_120_218);
    let sources = ["control-1", "control-2"].map(|name| directory_source(&name.into(), started));
    let mut other = NodeDirectory::new(sources[1]);
    other.announce(node(1, 1), time(0));

    let delta = other.delta_since(sources[0], 0);

    assert_ne!(sources[0], sources[1]);
    assert_ne!(
        sources[0],
        directory_source(&"control-1".into(), Incarnation(started.0 + 1))
    );
    assert!(delta.is_complete);
}
