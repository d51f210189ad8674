//! Admission of bodies to the budget.

use std::collections::BTreeMap;
use std::time::Duration;

use intake::{BodyBudget, BodyKey, BodyStatus, MemoryLimits, SmallPool};
use proptest::prelude::*;
use units::{ByteSize, ClockTime};

const MB: u64 = 1_000_000;

fn at(ms: u64) -> ClockTime {
    ClockTime(ms)
}

/// Guards against a body that is read without a reservation, and one that waits for ever.
#[test]
fn a_body_that_does_not_fit_waits_and_is_refused() {
    let mut budget = BodyBudget::new(10 * MB);
    let first = budget.admit(8 * MB, at(0)).unwrap();
    let second = budget.admit(4 * MB, at(0)).unwrap();
    assert_eq!(budget.check(first, 0, at(0)), BodyStatus::Reading);
    assert_eq!(budget.check(second, 0, at(500)), BodyStatus::Waiting);
    assert_eq!(budget.check(second, 0, at(1_000)), BodyStatus::Refused);
    budget.complete(first);
    assert!(budget.release(first, at(1_000)));
    assert_eq!(budget.check(second, 0, at(1_000)), BodyStatus::Reading);
}

/// Guards against the refusal of a single body that is larger than the budget of a small host.
#[test]
fn a_body_larger_than_the_budget_is_admitted_alone() {
    let mut budget = BodyBudget::new(MB);
    let large = budget.admit(4 * MB, at(0)).unwrap();
    assert_eq!(budget.check(large, 0, at(0)), BodyStatus::Reading);
    let small = budget.admit(1, at(0)).unwrap();
    assert_eq!(budget.check(small, 0, at(0)), BodyStatus::Waiting);
    budget.release(large, at(0));
    budget.release(small, at(0));
    let growing = budget.admit(MB, at(0)).unwrap();
    budget.grow(growing, MB, at(0));
    assert_eq!(budget.check(growing, 0, at(0)), BodyStatus::Reading);
}

/// Guards against clients that stop short of the end and keep all others out.
#[test]
fn bodies_without_progress_are_ended_largest_first_while_others_wait() {
    let mut budget = BodyBudget::new(10 * MB);
    let small = budget.admit(3 * MB, at(0)).unwrap();
    let large = budget.admit(6 * MB, at(0)).unwrap();
    budget.check(small, MB, at(100));
    budget.check(large, MB, at(100));
    assert_eq!(budget.check(large, MB, at(2_000)), BodyStatus::Reading);
    budget.admit(5 * MB, at(2_000)).unwrap();
    assert_eq!(budget.check(small, MB, at(2_000)), BodyStatus::Reading);
    assert_eq!(budget.check(large, MB, at(2_000)), BodyStatus::Stalled);
    assert!(budget.release(large, at(2_000)));
    assert_eq!(budget.check(small, MB + 1, at(9_000)), BodyStatus::Reading);
    assert_eq!(budget.check(small, MB + 1, at(19_000)), BodyStatus::Stalled);
}

/// Guards against the end of a slow body that makes progress.
#[test]
fn a_slow_body_with_progress_is_not_ended() {
    let mut budget = BodyBudget::new(10 * MB);
    let slow = budget.admit(8 * MB, at(0)).unwrap();
    budget.admit(4 * MB, at(0)).unwrap();
    for second in 1..60 {
        let status = budget.check(slow, second * (16 << 10), at(second * 1_000));
        assert_eq!(status, BodyStatus::Reading, "after {second} s");
    }
}

/// Guards against a part for small bodies that is exceeded or lost.
#[test]
fn the_pool_for_small_bodies_is_bounded() {
    let pool = SmallPool::new(100);
    assert!(pool.try_reserve(80) && pool.is_scarce());
    assert!(!pool.try_reserve(21));
    pool.release(80);
    assert!(pool.try_reserve(100));
}

/// Guards against a division that leaves no room for one body, or for no connection.
#[test]
fn the_smallest_hosts_have_room_for_bodies_and_connections() {
    for memory_mb in [1, 64, 88, 110, 260] {
        let limits = MemoryLimits {
            memory: ByteSize(memory_mb * MB),
            descriptors: Some(3_075),
        };
        assert!(limits.large_bytes() >= 8 << 20, "{memory_mb} MB");
        assert!((256..=1_437).contains(&limits.max_connections()));
    }
}

proptest! {
    /// Guards against a count that exceeds the budget with several bodies, or that leaks.
    #[test]
    fn the_budget_is_neither_exceeded_nor_lost(steps in prop::collection::vec((0..3u8, 1..40u64), 1..200)) {
        let mut budget = BodyBudget::new(100);
        let mut held: Vec<BodyKey> = Vec::new();
        let mut sizes = BTreeMap::new();
        for (time, (step, bytes)) in (0..).zip(steps) {
            match step {
                0 => if let Some(key) = budget.admit(bytes, at(time)) {
                    held.push(key);
                    sizes.insert(key, bytes);
                },
                1 if !held.is_empty() => {
                    let key = held[bytes as usize % held.len()];
                    budget.grow(key, bytes, at(time));
                    *sizes.get_mut(&key).unwrap() += bytes;
                }
                _ if !held.is_empty() => {
                    let key = held.swap_remove(bytes as usize % held.len());
                    budget.release(key, at(time));
                }
                _ => {}
            }
            // Only a body that is alone may exceed the budget.
            let largest = held.iter().map(|key| sizes[key]).max().unwrap_or_default();
            prop_assert!(budget.used() <= largest.max(100));
        }
        for key in held {
            budget.release(key, at(1_000) + Duration::from_secs(1));
        }
        prop_assert_eq!((budget.used(), budget.waiting()), (0, 0));
    }
}
