//! Software versions of targets in the replicated state.

use std::collections::BTreeSet;

use registry::{RegistryAction, RegistryCommand, RegistryOutcome, RegistryState, WallTime};
use wire::StreamOrigin;

/// Rounds without a target after which the tests remove a version.
const MAX_ROUNDS: u32 = 3;

fn version(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "advice".into(),
        version: version.into(),
    }
}

fn apply(state: &mut RegistryState, action: RegistryAction) -> RegistryOutcome {
    let at = WallTime(1);
    state.apply(&RegistryCommand { at, action })
}

fn register(state: &mut RegistryState, name: &str) -> RegistryOutcome {
    apply(state, RegistryAction::RegisterVersion(version(name)))
}

fn count_round(state: &mut RegistryState, present: &[&str]) {
    let present = present.iter().map(|name| version(name)).collect();
    let max_rounds = MAX_ROUNDS;
    apply(
        state,
        RegistryAction::CountVersions {
            present,
            max_rounds,
        },
    );
}

fn names(state: &RegistryState) -> BTreeSet<String> {
    let versions = state.versions().of_service(&"advice".into());
    versions.iter().map(ToString::to_string).collect()
}

/// Guards against a version that is forgotten while streams that it began may be continued.
#[test]
fn version_is_kept_until_it_had_no_target_for_all_rounds() {
    let mut state = RegistryState::default();
    register(&mut state, "v1");
    register(&mut state, "v2");
    for _ in 0..MAX_ROUNDS {
        count_round(&mut state, &["v2"]);
    }
    // A target of the old version comes back once.
    count_round(&mut state, &["v1", "v2"]);

    for _ in 0..MAX_ROUNDS {
        count_round(&mut state, &["v2"]);
    }
    let before = names(&state);
    count_round(&mut state, &["v2"]);

    assert_eq!(before, ["v1", "v2"].map(String::from).into());
    assert_eq!(names(&state), ["v2"].map(String::from).into());
}

/// Guards against versions without number that fill the memory of the control nodes.
#[test]
fn number_of_versions_is_bounded() {
    let mut state = RegistryState::default();

    let outcomes: Vec<_> = (0..2_000)
        .map(|number| register(&mut state, &format!("v{number}")))
        .collect();

    assert_eq!(outcomes[0], RegistryOutcome::Registered(true));
    assert_eq!(outcomes[1_999], RegistryOutcome::Registered(false));
    assert_eq!(
        register(&mut state, "v0"),
        RegistryOutcome::Registered(true)
    );
}

/// Guards against control nodes that forget the versions with a snapshot, and against a snapshot of
/// an older process that cannot be restored.
#[test]
fn snapshot_keeps_the_versions() {
    let mut state = RegistryState::default();
    let older = state.encode();
    register(&mut state, "v1");

    let restored = RegistryState::restore(&state.snapshot()).unwrap();
    // Older processes wrote nothing after the state. The empty tables of versions, departures and
    // roll-outs are one, three and two bytes.
    let from_older = RegistryState::restore(&older[..older.len() - 6]).unwrap();

    assert_eq!(names(&restored), ["v1"].map(String::from).into());
    assert!(names(&from_older).is_empty());
}
