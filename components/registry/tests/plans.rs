//! Published plans and evacuations of data centres in the replicated state.

use std::collections::BTreeMap;

use registry::{
    FleetConfig, PackedPlan, RegistryAction, RegistryCommand, RegistryOutcome, RegistryState,
    WallTime,
};
use routes::{CallerBounds, PublishedPlan, RoutePlan};
use units::{ByteSize, ConfigVersion, PlanNumber};
use wire::OrderReply;

fn publish(state: &mut RegistryState, number: u64, text: &str) -> RegistryOutcome {
    let plan = RoutePlan {
        routes: Vec::new(),
        pools: BTreeMap::new(),
        organisations: BTreeMap::new(),
        bounds: CallerBounds {
            max_headers: ByteSize(1),
            max_body: ByteSize(1),
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
            tokens_per_second: None,
        },
    };
    let published = PublishedPlan {
        number: PlanNumber(number),
        plan,
    };
    state.apply(&RegistryCommand {
        at: WallTime(1),
        action: RegistryAction::PublishPacked(PackedPlan::pack(&published, text).unwrap()),
    })
}

fn evacuate(state: &mut RegistryState, out: bool) -> RegistryOutcome {
    state.apply(&RegistryCommand {
        at: WallTime(1),
        action: RegistryAction::Evacuate {
            data_centre: "praha-1".into(),
            out,
        },
    })
}

fn accepted(version: u64) -> RegistryOutcome {
    RegistryOutcome::Order(OrderReply::Accepted(ConfigVersion(version)))
}

/// Guards against a plan that is replaced by one with a lower number, and against late or repeated
/// orders that are refused.
#[test]
fn plan_with_the_highest_number_is_in_force() {
    let mut state = RegistryState::default();

    let outcomes = [
        publish(&mut state, 7, "seven"),
        publish(&mut state, 5, "five"),
        publish(&mut state, 7, "another seven"),
    ];

    assert_eq!(outcomes, [accepted(1), accepted(1), accepted(1)]);
    assert_eq!(state.published_text(), Some("seven"));
    let published = state.config().published.as_ref().unwrap();
    assert_eq!(published.number, PlanNumber(7));
}

/// Guards against a node that keeps an earlier plan, and against a snapshot without the plan.
#[test]
fn nodes_install_the_newest_plan() {
    let mut state = RegistryState::default();
    publish(&mut state, 1, "one");
    let mut node = FleetConfig::default();
    node.install(&state.changes_since(ConfigVersion(0)))
        .unwrap();
    publish(&mut state, 2, "two");
    evacuate(&mut state, true);

    let restored = RegistryState::restore(&state.snapshot()).unwrap();
    node.install(&restored.changes_since(node.version)).unwrap();

    assert_eq!(node, *state.config());
    assert_eq!(restored.published_text(), Some("two"));
    assert!(node.out_data_centres.contains(&"praha-1".into()));
}

/// Guards against an evacuation that is refused when it is repeated after a lost reply.
#[test]
fn repeated_evacuation_changes_nothing() {
    let mut state = RegistryState::default();

    let outcomes = [true, true, false, false].map(|out| evacuate(&mut state, out));

    assert_eq!(
        outcomes,
        [accepted(1), accepted(1), accepted(2), accepted(2)]
    );
    assert!(state.config().out_data_centres.is_empty());
}

/// Guards against nodes that do not know when a data centre was last brought back, or keep a return that
/// another evacuation has followed.
#[test]
fn updates_and_snapshots_contain_the_returns_of_data_centres() {
    let mut state = RegistryState::default();
    evacuate(&mut state, true);
    let mut incremental = FleetConfig::default();
    incremental
        .install(&state.changes_since(incremental.version))
        .unwrap();
    evacuate(&mut state, false);
    evacuate(&mut state, false);
    publish(&mut state, 1, "one");
    let older = state.encode();

    let mut full = FleetConfig::default();
    full.install(&state.changes_since(full.version)).unwrap();
    incremental
        .install(&state.changes_since(incremental.version))
        .unwrap();
    let restored = RegistryState::restore(&state.snapshot()).unwrap();
    let from_older = RegistryState::restore(&older[..older.len() - 10]).unwrap();
    let returned = state.config().returns.clone();
    evacuate(&mut state, true);

    assert_eq!(returned, [("praha-1".into(), ConfigVersion(2))].into());
    assert_eq!(full.returns, returned);
    assert_eq!(incremental.returns, returned);
    assert_eq!(restored.config().returns, returned);
    assert!(from_older.config().returns.is_empty());
    assert!(state.config().returns.is_empty());
}
