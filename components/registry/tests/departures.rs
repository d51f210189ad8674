//! Departures of targets in the replicated state.

use registry::{RegistryAction, RegistryCommand, RegistryState, WallTime};
use units::Incarnation;

fn depart(state: &mut RegistryState, name: &str, incarnation: u64) {
    state.apply(&RegistryCommand {
        at: WallTime(1),
        action: RegistryAction::Depart {
            name: name.into(),
            incarnation: Incarnation(incarnation),
        },
    });
}

fn has_left(state: &RegistryState, name: &str, incarnation: u64) -> bool {
    let departures = state.departures();
    departures.contains(&name.into(), Incarnation(incarnation))
}

/// Guards against a repeated or late departure that takes a later one back, or adds another.
#[test]
fn departure_holds_for_earlier_processes_only() {
    let mut state = RegistryState::default();
    depart(&mut state, "target", 5);
    let number = state.departures().last_number();

    depart(&mut state, "target", 5);
    depart(&mut state, "target", 3);

    assert!(has_left(&state, "target", 3) && has_left(&state, "target", 5));
    assert!(!has_left(&state, "target", 6) && !has_left(&state, "other", 5));
    assert_eq!(state.departures().last_number(), number);
}

/// Guards against control nodes that forget departures with a snapshot, and against a snapshot of an
/// older process that cannot be restored.
#[test]
fn snapshot_keeps_the_departures() {
    let mut state = RegistryState::default();
    let older = state.encode();
    depart(&mut state, "target", 5);

    let restored = RegistryState::restore(&state.snapshot()).unwrap();
    // Older processes wrote nothing after the versions. The empty tables of departures and roll-outs
    // are three and two bytes, and the empty list of returns one.
    let from_older = RegistryState::restore(&older[..older.len() - 6]).unwrap();

    assert!(has_left(&restored, "target", 5));
    assert_eq!(restored.departures(), state.departures());
    assert!(!has_left(&from_older, "target", 5));
}
