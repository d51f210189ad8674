//! Retry budget over a sliding window.

use std::time::Duration;

use limits::{WindowBound, WindowBudget};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use units::ClockTime;

const BOUND: WindowBound = WindowBound {
    retries_per_thousand: 200,
    slack: 3,
    window: Duration::from_secs(10),
};

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(3),
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a burst of retries at the boundary of two windows. The retries in any nine
    /// tenths of a window stay within the bound for the requests in two windows up to the same
    /// time.
    #[test]
    fn retries_of_any_window_stay_within_the_bound(
        steps in prop::collection::vec((0u64..400, any::<bool>()), 1..300),
    ) {
        let mut budget = WindowBudget::new(BOUND);
        let mut now = 0;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (gap, is_retry) in steps {
            now += gap;
            if !is_retry {
                budget.record_request(ClockTime(now));
                requests.push(now);
            } else if budget.try_retry(ClockTime(now)) {
                retries.push(now);
            }
        }

        for end in &retries {
            let count = |times: &[u64], span: u64| {
                times.iter().filter(|at| **at <= *end && *at + span > *end).count() as u64
            };
            let max_retries =
                count(&requests, 20_000) * BOUND.retries_per_thousand / 1000 + BOUND.slack;
            prop_assert!(count(&retries, 9_000) <= max_retries);
        }
    }
}

/// Guards against a service without traffic that may not retry at all.
#[test]
fn slack_allows_retries_without_requests() {
    let mut budget = WindowBudget::new(BOUND);

    let allowed = (0..10).filter(|_| budget.try_retry(ClockTime(0))).count();

    assert_eq!(allowed, 3);
    assert!(budget.try_retry(ClockTime(10_001)));
}

/// Guards against a new allowance of retries each time the number of entries changes, which may be
/// every few seconds while hosts are restarted.
#[test]
fn new_bound_keeps_the_counted_retries() {
    let mut budget = WindowBudget::new(BOUND);
    while budget.try_retry(ClockTime(1_000)) {}

    budget.set_bound(WindowBound {
        slack: BOUND.slack + 1,
        ..BOUND
    });

    assert!(budget.try_retry(ClockTime(1_100)));
    assert!(!budget.try_retry(ClockTime(1_100)));
}
