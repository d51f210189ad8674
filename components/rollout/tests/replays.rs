//! Replays of roll-outs without a network.

mod common;

use common::{Behaviour, Replay, run};
use rollout::RolloutPhase;
use rstest::rstest;

/// Guards against rolling back a good version because of faults that hit both versions: up to a
/// quarter of all responses fails, and targets crash.
#[rstest]
fn good_version_is_completed(
    #[values(6_000, 12_000, 30_000)] duration_ms: u64,
    #[values(10.0, 30.0)] rate: f64,
) {
    for seed in 1..=6 {
        let replay = Replay {
            seed,
            max_fault_rate: 0.25,
            rates: vec![rate; 36],
            ..Replay::new(duration_ms, Behaviour::Good)
        };
        let outcome = run(&replay);
        let context = format!("{replay:?}: {outcome:?}");
        let is_completed = outcome.phase == Some(RolloutPhase::Completed);
        assert!(is_completed, "{context}");
    }
}

/// Guards against a plan of steps that leaves no time for the end of the roll-out.
#[rstest]
fn good_version_is_completed_in_time(#[values(12_000, 30_000)] duration_ms: u64) {
    for seed in 1..=6 {
        let outcome = run(&Replay {
            seed,
            ..Replay::new(duration_ms, Behaviour::Good)
        });
        assert!(outcome.ended_ms <= duration_ms, "seed {seed}: {outcome:?}");
    }
}

/// Guards against sending a bad version more than the permitted share, or for too long.
#[rstest]
fn bad_version_is_rolled_back(
    #[values(6_000, 12_000, 30_000)] duration_ms: u64,
    #[values(Behaviour::FailsFrom(0), Behaviour::Slow, Behaviour::FailsUnderLoad)]
    behaviour: Behaviour,
) {
    for seed in 1..=6 {
        assert_rolled_back(&Replay {
            seed,
            ..Replay::new(duration_ms, behaviour)
        });
    }
}

/// Guards against missing a version that turns bad, or fails among other faults.
#[rstest]
fn bad_version_is_found_among_faults(
    #[values(12_000, 30_000)] duration_ms: u64,
    #[values(
        Behaviour::FailsFrom(0),
        Behaviour::Slow,
        Behaviour::FailsUnderLoad,
        Behaviour::FailsFrom(5_000)
    )]
    behaviour: Behaviour,
) {
    for seed in 1..=6 {
        assert_rolled_back(&Replay {
            seed,
            max_fault_rate: 0.06,
            rates: vec![30.0; 36],
            ..Replay::new(duration_ms, behaviour)
        });
    }
}

/// Guards against averaging a small route away: it is judged by itself.
#[test]
fn version_that_is_bad_on_one_route_is_rolled_back() {
    for seed in 1..=6 {
        assert_rolled_back(&Replay {
            seed,
            rates: vec![40.0; 36],
            ..Replay::new(30_000, Behaviour::FailsOnRoute)
        });
    }
}

/// Guards against a share that depends on the distribution of the traffic or on restarts, and
/// against a home that trusts what it has not seen.
#[rstest]
fn exposure_holds_while_entries_come_and_go(
    #[values(6_000, 12_000, 30_000)] duration_ms: u64,
    #[values(false, true)] moves_home: bool,
) {
    for seed in 1..=6 {
        let rates = (0..36).map(|rank| 120.0 / f64::from(1 + rank)).collect();
        assert_rolled_back(&Replay {
            seed,
            rates,
            has_churn: true,
            moves_home,
            ..Replay::new(duration_ms, Behaviour::FailsFrom(0))
        });
    }
}

fn assert_rolled_back(replay: &Replay) {
    let outcome = run(replay);
    let context = format!("{replay:?}: {outcome:?}");
    assert!(outcome.is_rolled_back(), "{context}");
    assert!(outcome.ended_ms <= replay.duration_ms, "{context}");
    assert!(outcome.is_in_exposure(), "{context}");
    assert_eq!(outcome.late_requests, 0, "{context}");
}
