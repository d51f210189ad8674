//! Roll-outs in the replicated state.

use std::collections::BTreeMap;

use registry::{
    FleetConfig, MAX_ROLLOUTS, RegistryAction, RegistryCommand, RegistryOutcome, RegistryState,
    WallTime,
};
use rollout::{RolloutNumber, RolloutOrder, RolloutPhase, RolloutRecord, RolloutStep};
use routes::{CallerBounds, PublishedPlan, RoutePlan, ServicePool};
use units::{ByteSize, PlanNumber, ServiceName};
use wire::{OrderReply, StreamOrigin};

fn apply(state: &mut RegistryState, at: u64, action: RegistryAction) -> RegistryOutcome {
    let at = WallTime(at);
    state.apply(&RegistryCommand { at, action })
}

fn publish(state: &mut RegistryState, number: u64, services: &[&str]) {
    let pool = ServicePool {
        health_path: "/health".into(),
        connections: 9,
        cold: None,
        engine: None,
    };
    let pools = services.iter().map(|name| ((*name).into(), pool.clone()));
    let plan = RoutePlan {
        routes: Vec::new(),
        pools: pools.collect(),
        organisations: BTreeMap::new(),
        bounds: CallerBounds {
            max_headers: ByteSize(1),
            max_body: ByteSize(1),
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
            tokens_per_second: None,
        },
    };
    let number = PlanNumber(number);
    let plan = Box::new(PublishedPlan { number, plan });
    let text = String::new();
    apply(state, 1, RegistryAction::Publish { plan, text });
}

/// State with a plan of this service and its version `v1`.
fn state_with(service: &str) -> RegistryState {
    let mut state = RegistryState::default();
    publish(&mut state, 1, &[service]);
    let version = StreamOrigin {
        service: service.into(),
        version: "v1".into(),
    };
    apply(&mut state, 1, RegistryAction::RegisterVersion(version));
    state
}

fn start(state: &mut RegistryState, at: u64, service: &str, to: &str) -> OrderReply {
    let order = RolloutOrder {
        service: service.into(),
        to: to.into(),
        duration_ms: 12_000,
    };
    match apply(state, at, RegistryAction::StartRollout(order)) {
        RegistryOutcome::Order(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn cancel(state: &mut RegistryState, service: &str) -> RegistryOutcome {
    let service = service.into();
    apply(state, 1, RegistryAction::CancelRollout { service })
}

fn advance(state: &mut RegistryState, at: u64, number: u64, phase: RolloutPhase) -> bool {
    let step = RolloutStep {
        service: "advice".into(),
        number: RolloutNumber(number),
        phase,
    };
    apply(state, at, RegistryAction::AdvanceRollout(step)) == RegistryOutcome::Advanced(true)
}

fn record(state: &RegistryState) -> &RolloutRecord {
    let record = state.config().rollouts.get(&ServiceName::from("advice"));
    record.expect("the service has a roll-out")
}

fn rolled_back(reason: &str) -> RolloutPhase {
    RolloutPhase::RolledBack {
        reason: reason.into(),
    }
}

fn is_accepted(reply: &OrderReply) -> bool {
    matches!(reply, OrderReply::Accepted(_))
}

/// Guards against an accepted order that is refused or starts again when it is sent again, also
/// after the roll-out has ended or the plan has lost the service, and against two roll-outs of a
/// service at once.
#[test]
fn repeated_order_has_no_effect_and_another_conflicts() {
    let mut state = state_with("advice");

    let first = start(&mut state, 1_000, "advice", "v2");
    let version = state.config().version;
    let repeated = start(&mut state, 2_000, "advice", "v2");
    let other = start(&mut state, 2_000, "advice", "v3");
    let after_orders = (state.config().version, record(&state).clone());
    publish(&mut state, 2, &[]);
    let after_removal = start(&mut state, 5_000, "advice", "v2");
    let after_window = start(&mut state, 20_000, "advice", "v2");

    assert!(is_accepted(&first) && is_accepted(&repeated) && is_accepted(&after_removal));
    assert_eq!(other, OrderReply::RolloutInProgress { to: "v2".into() });
    assert_eq!(after_orders.0, version);
    assert_eq!(after_orders.1.number, RolloutNumber(1));
    assert_eq!(after_orders.1.old, ["v1".into()].into());
    assert_eq!(record(&state).phase, rolled_back("service removed"));
    assert!(matches!(after_window, OrderReply::Invalid(_)));
}

/// Guards against an order for a service that no plan contains.
#[test]
fn order_needs_a_plan_with_the_service() {
    let mut empty = RegistryState::default();
    let mut other = state_with("other");

    let without_plan = start(&mut empty, 1, "advice", "v2");
    let without_service = start(&mut other, 1, "advice", "v2");

    assert_eq!(without_plan, OrderReply::NoPlan);
    assert!(matches!(without_service, OrderReply::Invalid(_)));
    assert!(other.config().rollouts.is_empty());
}

/// Guards against an ended roll-out that goes on, and against a late step of an earlier roll-out that
/// changes the current one. An old version that gets requests after `Completed` has no targets.
#[test]
fn ended_phases_are_final_and_steps_belong_to_one_number() {
    let mut state = state_with("advice");
    start(&mut state, 1, "advice", "v2");

    let steps = [
        advance(&mut state, 2, 1, RolloutPhase::Running { step: 1 }),
        advance(&mut state, 2, 1, RolloutPhase::Running { step: 1 }),
        advance(&mut state, 2, 1, RolloutPhase::Completed),
        advance(&mut state, 2, 1, RolloutPhase::Draining),
        advance(&mut state, 3, 1, RolloutPhase::Completed),
        advance(&mut state, 4, 1, rolled_back("late")),
    ];
    let completed = record(&state).clone();
    let cancelled = cancel(&mut state, "advice");
    start(&mut state, 20_000, "advice", "v3");
    let of_earlier = advance(&mut state, 20_001, 1, rolled_back("late"));

    assert_eq!(steps, [true, false, false, true, true, false]);
    assert_eq!(completed.phase, RolloutPhase::Completed);
    assert_eq!(completed.ended_at_ms, Some(3));
    assert!(matches!(
        cancelled,
        RegistryOutcome::Order(OrderReply::Invalid(_))
    ));
    assert!(!of_earlier);
    assert_eq!(record(&state).phase, RolloutPhase::Running { step: 0 });
}

/// Guards against a cancelled roll-out that goes on, and a repeated cancellation that is refused.
#[test]
fn cancelled_rollout_is_rolled_back() {
    let mut state = state_with("advice");
    start(&mut state, 1, "advice", "v2");

    let replies = [cancel(&mut state, "advice"), cancel(&mut state, "advice")];

    let accepted = OrderReply::Accepted(state.config().version);
    assert_eq!(
        replies,
        [accepted.clone(), accepted].map(RegistryOutcome::Order)
    );
    assert_eq!(record(&state).phase, rolled_back("cancelled"));
}

/// Guards against nodes that miss a roll-out with a complete configuration, an incremental one or a
/// snapshot, and against a snapshot of an older process that cannot be restored.
#[test]
fn updates_and_snapshots_contain_the_rollouts() {
    let mut state = state_with("advice");
    let older = state.encode();
    let mut incremental = FleetConfig::default();
    incremental
        .install(&state.changes_since(incremental.version))
        .unwrap();
    start(&mut state, 1, "advice", "v2");
    advance(&mut state, 2, 1, RolloutPhase::Draining);

    let mut full = FleetConfig::default();
    full.install(&state.changes_since(full.version)).unwrap();
    incremental
        .install(&state.changes_since(incremental.version))
        .unwrap();
    let restored = RegistryState::restore(&state.snapshot()).unwrap();
    // Older processes wrote nothing after the departures. An empty table is two bytes, and the empty list
    // of returns after it one.
    let from_older = RegistryState::restore(&older[..older.len() - 3]).unwrap();

    assert_eq!(record(&state).phase, RolloutPhase::Draining);
    assert_eq!(&full, state.config());
    assert_eq!(&incremental, state.config());
    assert_eq!(restored.config(), state.config());
    assert!(from_older.config().rollouts.is_empty());
}

/// Guards against records of removed services that fill the memory of the entries, or for good keep
/// other services from a roll-out.
#[test]
fn number_of_records_is_bounded() {
    let names: Vec<_> = (0..=MAX_ROLLOUTS)
        .map(|number| format!("s{number}"))
        .collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut state = RegistryState::default();
    publish(&mut state, 1, &names);
    let replies: Vec<_> = names
        .iter()
        .map(|name| start(&mut state, 1, name, "v2"))
        .collect();

    publish(&mut state, 2, &names[1..]);
    let after_removal = start(&mut state, 2, names[MAX_ROLLOUTS], "v2");

    assert!(replies[..MAX_ROLLOUTS].iter().all(is_accepted));
    assert!(matches!(replies[MAX_ROLLOUTS], OrderReply::Invalid(_)));
    assert!(is_accepted(&after_removal));
    assert_eq!(state.config().rollouts.len(), MAX_ROLLOUTS);
}
