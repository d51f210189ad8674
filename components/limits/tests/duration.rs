//! Durations of recent runs: whether another run may outlast the stop of its process.

use std::time::Duration;

use limits::DurationHistory;
use rstest::rstest;
use units::ClockTime;

const NOW: ClockTime = ClockTime(100_000);
const MAX_DURATION: Duration = Duration::from_secs(12);

/// A history of `count` runs of 100 ms to `longest` that ended at `ended_at`.
fn history(count: u32, longest: Duration, ended_at: ClockTime) -> DurationHistory {
    let mut history = DurationHistory::new();
    for number in 1..=count {
        let duration = Duration::from_millis(100).max(longest * number / count);
        history.record(duration, ended_at);
    }
    history
}

/// Guards against streams that a leaving process accepts and cuts, and against short requests that
/// it refuses although they would end in time.
#[rstest]
#[case::long_streams(Duration::from_secs(8), Duration::from_secs(6), true)]
#[case::streams_longer_than_recent_ones(Duration::from_secs(5), Duration::from_secs(6), true)]
#[case::load_that_has_doubled(Duration::from_secs(3), Duration::from_secs(6), true)]
#[case::short_calls(Duration::from_millis(300), Duration::from_secs(6), false)]
#[case::short_calls_at_the_end(Duration::from_millis(300), Duration::from_millis(200), true)]
fn recent_durations_decide(
    #[case] longest: Duration,
    #[case] time_left: Duration,
    #[case] expected: bool,
) {
    let history = history(100, longest, NOW);

    let may_outlast = history.may_outlast(time_left, MAX_DURATION, NOW);

    assert_eq!(may_outlast, expected);
}

/// Guards against an estimate that rests on a few runs, or on runs under another load. The run may
/// then last until its time limit.
#[rstest]
#[case::no_runs(0, NOW)]
#[case::few_runs(10, NOW)]
#[case::old_runs(100, ClockTime(60_000))]
fn without_recent_runs_the_time_limit_decides(#[case] count: u32, #[case] ended_at: ClockTime) {
    let history = history(count, Duration::from_millis(200), ended_at);

    let short_limit = history.may_outlast(Duration::from_secs(5), Duration::from_secs(2), NOW);
    let long_limit = history.may_outlast(Duration::from_secs(5), MAX_DURATION, NOW);

    assert!(!short_limit);
    assert!(long_limit);
}

/// Guards against a history that grows with the number of runs.
#[test]
fn old_runs_are_replaced() {
    let mut history = history(1_000, Duration::from_secs(8), NOW);
    for _ in 0..200 {
        history.record(Duration::from_millis(100), NOW);
    }

    let estimate = history.upper_estimate(NOW);

    assert_eq!(estimate, Some(Duration::from_millis(300)));
}
