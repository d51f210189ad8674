//! Compressed plans, and logs and snapshots of processes that did not compress them.

use std::collections::BTreeMap;

use registry::{
    FleetConfig, PackedPlan, RegistryAction, RegistryCommand, RegistryOutcome, RegistryState,
    WallTime,
};
use routes::{CallerBounds, KeyRule, PublishedPlan, RouteIndex, RoutePlan, StatedKey};
use rstest::rstest;
use units::{ByteSize, ConfigVersion, PlanNumber};
use wire::OrderReply;

/// Command that publishes plan 7 with the text "seven", as older processes have written it to the log.
const OLDER_COMMAND: [u8; 17] = [
    1, 5, 7, 0, 0, 0, 1, 1, 1, 1, 0, 5, b's', b'e', b'v', b'e', b'n',
];

/// Command of an older process that publishes a plan with one route, of which this byte tells whether it was
/// open to callers without a key.
fn older_command_with_route(is_open: u8) -> Vec<u8> {
    let route = [
        1, b'r', 1, b'h', 1, b'/', 1, 10, 10, 0, 0, 0, 1, is_open, 0, 0,
    ];
    let plan = [0, 0, 1, 1, 1, 1, 0, 0];
    [&[1, 5, 7, 1], &route[..], &plan].concat()
}

/// States a size of 4 GiB of compressed data.
const HUGE: [u8; 9] = [1, 0xff, 0xff, 0xff, 0xff, 1, 2, 3, 4];

fn plan(number: u64) -> PublishedPlan {
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
    let number = PlanNumber(number);
    PublishedPlan { number, plan }
}

fn apply(state: &mut RegistryState, action: RegistryAction) -> RegistryOutcome {
    let at = WallTime(1);
    state.apply(&RegistryCommand { at, action })
}

/// Guards against a log of an older process that is not read any more, or has another effect.
#[test]
fn older_command_has_the_effect_of_a_packed_one() {
    let older: RegistryCommand = postcard::from_bytes(&OLDER_COMMAND).unwrap();
    let packed = PackedPlan::pack(&plan(7), "seven").unwrap();
    let (mut by_older, mut by_packed) = (RegistryState::default(), RegistryState::default());

    let outcome = by_older.apply(&older);
    apply(&mut by_packed, RegistryAction::PublishPacked(packed));

    let accepted = OrderReply::Accepted(ConfigVersion(1));
    assert_eq!(outcome, RegistryOutcome::Order(accepted));
    assert_eq!(by_older, by_packed);
    assert_eq!(by_older.published_text(), Some("seven"));
}

/// Guards against a deployment without keys whose callers are refused after an update, because its stored
/// plan does not tell whether it had a list of organisations. Also guards against a snapshot that loses the
/// rule.
#[rstest]
#[case::keys_if_listed(0, KeyRule::RequiredIfListed, false)]
#[case::open(1, KeyRule::Optional, false)]
#[case::newer_plan(2, KeyRule::Required, true)]
fn stored_plan_keeps_its_rule_on_keys(
    #[case] byte: u8,
    #[case] expected: KeyRule,
    #[case] requires_key: bool,
) {
    let command: RegistryCommand = postcard::from_bytes(&older_command_with_route(byte)).unwrap();
    let mut state = RegistryState::default();

    state.apply(&command);
    let restored = RegistryState::restore(&state.snapshot()).unwrap();

    let published = restored.config().published.as_ref().unwrap();
    let index = RouteIndex::new(published);
    let route = index.find("h", "/").unwrap();
    assert_eq!(route.key_rule, expected);
    let checked = index.check_key(&route, StatedKey::Missing);
    assert_eq!(checked.is_err(), requires_key);
}

/// Guards against an uncompressed snapshot of an older process that cannot be restored, and against a
/// compressed one that loses a part.
#[test]
fn snapshots_are_restored_with_and_without_compression() {
    let text = "route ".repeat(10_000);
    let packed = PackedPlan::pack(&plan(7), &text).unwrap();
    let mut state = RegistryState::default();
    apply(&mut state, RegistryAction::PublishPacked(packed));

    let older = RegistryState::restore(&state.encode()).unwrap();
    let snapshot = state.snapshot();
    let newer = RegistryState::restore(&snapshot).unwrap();

    assert_eq!(older, state);
    assert_eq!(newer, state);
    assert!(snapshot.len() < 1_000, "{} bytes", snapshot.len());
}

/// Guards against compressed data that makes a process allocate as much memory as the data states.
#[test]
fn stated_size_over_the_limit_is_refused() {
    let mut state = RegistryState::default();
    let snapshot = [&[0xff; 10][..], &HUGE].concat();

    let plan = PackedPlan::from(HUGE.to_vec());
    let unpacked = plan.unpack().unwrap_err().to_string();
    let outcome = apply(&mut state, RegistryAction::PublishPacked(plan));
    let restored = RegistryState::restore(&snapshot);

    assert!(unpacked.contains("the limit is 16777216"), "{unpacked}");
    assert!(matches!(
        outcome,
        RegistryOutcome::Order(OrderReply::Invalid(_))
    ));
    assert_eq!(state.config(), RegistryState::default().config());
    assert!(restored.is_err());
}

/// Guards against an update that makes a node allocate as much memory as the update states.
#[test]
fn update_that_states_a_huge_size_is_refused() {
    let mut config = FleetConfig::default();

    let error = config.install(&HUGE).unwrap_err().to_string();

    assert!(error.contains("update of 9 bytes"), "{error}");
    assert_eq!(config, FleetConfig::default());
}

/// Guards against an update of an earlier version that is handed out after a change.
#[test]
fn complete_update_is_that_of_the_newest_version() {
    let mut state = RegistryState::default();
    let newest = |state: &RegistryState| {
        let mut config = FleetConfig::default();
        config
            .install(&state.changes_since(ConfigVersion(0)))
            .unwrap();
        config
    };

    for number in 1..=3 {
        let packed = PackedPlan::pack(&plan(number), "").unwrap();
        apply(&mut state, RegistryAction::PublishPacked(packed));

        assert_eq!(newest(&state), *state.config());
        assert_eq!(newest(&state), *state.config());
        assert_eq!(newest(&state.clone()), *state.config());
    }
}
