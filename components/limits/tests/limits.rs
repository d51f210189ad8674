//! Limit and retry budget under generated histories.

use std::collections::BTreeMap;
use std::time::Duration;

use limits::{RETRY_RETENTION, RetryBudget, RunSample, TargetLimit};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use units::{ClockTime, OrganisationName, ServiceName, SlotCount};
use wire::FlowKey;

const NOW: ClockTime = ClockTime(1000);

fn sample(running: u32, first_byte_ms: u64) -> RunSample {
    RunSample {
        started_at: NOW,
        running: SlotCount(running),
        latency: Duration::from_millis(first_byte_ms),
        tokens: 1,
        succeeded: true,
    }
}

/// Limit of a target that has grown to its maximum.
fn warm_limit(cold_limit: u32, max_limit: u32) -> TargetLimit {
    let mut limit = TargetLimit::new(SlotCount(cold_limit), SlotCount(max_limit));
    for _ in 0..max_limit * max_limit {
        limit.record_run(sample(limit.limit().0, 20), NOW);
    }
    assert_eq!(limit.limit(), SlotCount(max_limit));
    limit
}

fn flow(index: u32) -> FlowKey {
    FlowKey {
        organisation: OrganisationName::from(format!("org-{index}").as_str()),
        service: ServiceName::from("stone-advice"),
    }
}

fn config(seed: u64) -> Config {
    Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

/// Guards against full load on a cold target.
#[test]
fn limit_starts_cold_and_grows_by_one_for_each_full_round() {
    let mut limit = TargetLimit::new(SlotCount(1), SlotCount(8));
    assert!(limit.is_cold());

    for expected in 2..=5 {
        for _ in 0..limit.limit().0 {
            limit.record_run(sample(limit.limit().0, 20), NOW);
        }
        assert_eq!(limit.limit(), SlotCount(expected));
    }
    assert!(!limit.is_cold());
}

/// Guards against a limit that grows although the target never ran at the limit.
#[test]
fn light_use_does_not_raise_the_limit() {
    let mut limit = TargetLimit::new(SlotCount(4), SlotCount(8));

    for _ in 0..100 {
        limit.record_run(sample(3, 20), NOW);
    }

    assert_eq!(limit.limit(), SlotCount(4));
}

/// Guards against load on a target that has become cold without notice.
#[test]
fn refusal_and_slow_first_byte_drop_the_limit_at_once() {
    let mut refused = warm_limit(1, 8);
    refused.record_refusal(NOW);
    assert_eq!(refused.limit(), SlotCount(1));

    let mut slow = warm_limit(1, 8);
    slow.record_run(sample(8, 80), NOW);
    assert_eq!(slow.limit(), SlotCount(8), "four times the best is normal");
    slow.record_run(sample(8, 81), NOW);
    assert_eq!(slow.limit(), SlotCount(1));
    assert!(slow.is_cold());
}

/// Guards against oscillation: the limit grows with the load until the target looks cold, drops,
/// and grows again.
#[test]
fn limit_settles_where_the_load_slows_the_target() {
    let mut limit = TargetLimit::new(SlotCount(1), SlotCount(100));
    let mut highest_limit = 0;

    for _ in 0..10_000 {
        let running = limit.limit().0;
        limit.record_run(sample(running, 20 + 5 * u64::from(running - 1)), NOW);
        assert!(
            limit.limit().0 >= highest_limit,
            "limit dropped from {highest_limit}"
        );
        highest_limit = limit.limit().0;
    }

    // At 5 running requests, the latency is twice the best.
    assert_eq!(highest_limit, 6);
}

/// Guards against failures that the target did not cause but that make it look cold.
#[test]
fn failed_run_neither_raises_nor_drops_the_limit() {
    let mut limit = warm_limit(1, 8);

    let failed = RunSample {
        succeeded: false,
        ..sample(8, 5000)
    };
    limit.record_run(failed, NOW);

    assert_eq!(limit.limit(), SlotCount(8));
}

/// Guards against answers of runs from before a target became cold. They must not raise its
/// limit.
#[test]
fn run_from_before_a_drop_does_not_raise_the_limit() {
    let mut limit = warm_limit(1, 8);
    limit.record_refusal(NOW);

    limit.record_run(sample(8, 20), NOW + Duration::from_millis(5));
    assert_eq!(limit.limit(), SlotCount(1));

    let later = RunSample {
        started_at: NOW + Duration::from_millis(1),
        ..sample(1, 20)
    };
    limit.record_run(later, NOW + Duration::from_millis(5));
    assert_eq!(limit.limit(), SlotCount(2));
}

#[derive(Debug, Clone)]
enum LimitStep {
    Completed {
        running: u32,
        first_byte_ms: u64,
        succeeded: bool,
    },
    Refused,
}

fn limit_step() -> impl Strategy<Value = LimitStep> {
    prop_oneof![
        9 => (0u32..12, 1u64..200, any::<bool>()).prop_map(|(running, first_byte_ms, succeeded)| {
            LimitStep::Completed { running, first_byte_ms, succeeded }
        }),
        1 => Just(LimitStep::Refused),
    ]
}

proptest! {
    #![proptest_config(config(51))]

    /// Guards against a limit outside its range, and against more growth than the successful runs
    /// at full use since the target was last cold allow.
    #[test]
    fn limit_grows_only_with_full_runs(steps in prop::collection::vec(limit_step(), 1..200)) {
        let mut limit = TargetLimit::new(SlotCount(2), SlotCount(8));
        let mut full_runs = 0;
        // Each run starts after the end of the previous one, and so after any drop.
        let times = (NOW.0..).map(ClockTime);
        for (step, now) in steps.into_iter().zip(times) {
            let before = limit.limit().0;
            match step {
                LimitStep::Completed { running, first_byte_ms, succeeded } => {
                    full_runs += u32::from(succeeded && running >= before);
                    limit.record_run(
                        RunSample { started_at: now, succeeded, ..sample(running, first_byte_ms) },
                        now,
                    );
                }
                LimitStep::Refused => limit.record_refusal(now),
            }
            let after = limit.limit().0;
            prop_assert!((2..=8).contains(&after));
            prop_assert!(after <= before + 1);
            if after < before {
                prop_assert_eq!(after, 2, "a drop goes to the cold limit");
                full_runs = 0;
            }
            let needed: u32 = (2..after).sum();
            prop_assert!(full_runs >= needed);
        }
    }
}

proptest! {
    #![proptest_config(config(52))]

    /// Guards against retries that multiply the load: they stay within a tenth of the requests of
    /// their flow, plus one for a new flow.
    #[test]
    fn retries_stay_within_a_tenth(
        steps in prop::collection::vec((0u32..3, any::<bool>(), 0u64..200), 1..400),
    ) {
        let mut budget = RetryBudget::new();
        let mut now = NOW;
        let mut requests: BTreeMap<u32, u32> = BTreeMap::new();
        let mut retries: BTreeMap<u32, u32> = BTreeMap::new();
        for (index, is_retry, wait_ms) in steps {
            now = now + Duration::from_millis(wait_ms);
            if is_retry {
                let allowed = budget.try_retry(&flow(index), now);
                *retries.entry(index).or_default() += u32::from(allowed);
            } else {
                budget.record_request(&flow(index), now);
                *requests.entry(index).or_default() += 1;
            }
            let retry_count = retries.get(&index).copied().unwrap_or(0);
            let request_count = requests.get(&index).copied().unwrap_or(0);
            prop_assert!(retry_count <= request_count / 10 + 1);
        }
    }
}

/// Guards against a burst of retries from credit that was accumulated in quiet periods.
#[test]
fn credit_is_bounded() {
    let mut budget = RetryBudget::new();
    for _ in 0..10_000 {
        budget.record_request(&flow(0), NOW);
    }

    let retries = (0..1000).filter(|_| budget.try_retry(&flow(0), NOW));

    assert_eq!(retries.count(), 10);
}

/// Guards against memory that grows with every flow that was ever used.
#[test]
fn unused_flows_are_evicted() {
    let mut budget = RetryBudget::new();
    for index in 0..1000 {
        budget.record_request(&flow(index), NOW);
    }

    budget.record_request(&flow(1), NOW + RETRY_RETENTION);

    assert_eq!(budget.len(), 1);
}
