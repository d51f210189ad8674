//! Schedule of pings on connections to agents.

use std::time::Duration;

use entry::{LinkPurpose, MAX_PING_INTERVAL, PING_INTERVAL, PingPlan, PingStep};
use rstest::rstest;
use units::ClockTime;

/// Steps a plan every 100 ms for `duration_ms`. `last_frame_at` returns the time of the last frame.
/// Returns the number of pings and the time at which the plan closed the connection.
fn run_plan(
    purpose: LinkPurpose,
    duration_ms: u64,
    last_frame_at: impl Fn(u64) -> ClockTime,
) -> (u64, Option<ClockTime>) {
    let mut plan = PingPlan::default();
    let mut ping_count = 0;
    for ms in (0..=duration_ms).step_by(100) {
        match plan.step(purpose, last_frame_at(ms), ClockTime(ms)) {
            PingStep::Wait => {}
            PingStep::Ping(_) => ping_count += 1,
            PingStep::Close => return (ping_count, Some(ClockTime(ms))),
        }
    }
    (ping_count, None)
}

/// Guards against a run that waits for more than 2 s on a silent connection.
#[test]
fn silent_connection_with_run_is_closed_within_two_seconds() {
    let (ping_count, closed_at) = run_plan(LinkPurpose::Runs, 10_000, |_| ClockTime(0));

    assert!(closed_at.unwrap() <= ClockTime(2_000), "{closed_at:?}");
    assert!(ping_count >= 2);
}

/// Guards against pings on connections whose streams already show that they work. With hundreds of
/// connections, such pings took 159 KB/s, while the budget of an entry is 8 KB/s.
#[test]
fn connection_that_receives_tokens_is_not_pinged() {
    let (ping_count, closed_at) =
        run_plan(LinkPurpose::Runs, 10_000, |ms| ClockTime(ms - ms % 400));

    assert_eq!((ping_count, closed_at), (0, None));
}

/// Guards against a connection that is closed although its agent answers each ping.
#[test]
fn answered_pings_keep_connection_open() {
    let answer_interval_ms = PING_INTERVAL.as_millis() as u64 + 100;
    let (ping_count, closed_at) = run_plan(LinkPurpose::Runs, 10_000, |ms| {
        ClockTime(ms / answer_interval_ms * answer_interval_ms)
    });

    assert!(ping_count > 0);
    assert_eq!(closed_at, None);
}

/// Guards against pings for waiting offers whose total bandwidth grows with the number of
/// connections.
#[rstest]
#[case(1, PING_INTERVAL)]
#[case(50, Duration::from_secs(4))]
#[case(600, MAX_PING_INTERVAL)]
fn ping_interval_of_offers_grows_with_link_count(
    #[case] link_count: usize,
    #[case] interval: Duration,
) {
    assert_eq!(
        LinkPurpose::Offers { link_count }.ping_interval(),
        Some(interval)
    );
}

/// Guards against a connection that is closed because it was silent before it was needed.
#[test]
fn silence_before_first_use_is_ignored() {
    let mut plan = PingPlan::default();

    let idle_step = plan.step(LinkPurpose::Idle, ClockTime(0), ClockTime(60_000));
    let run_step = plan.step(LinkPurpose::Runs, ClockTime(0), ClockTime(60_100));

    assert_eq!((idle_step, run_step), (PingStep::Wait, PingStep::Wait));
}

/// Guards against a connection that is closed at the start of a run because of a silence that was
/// normal while the connection carried only offers.
#[test]
fn shorter_interval_restarts_silence_measurement() {
    let mut plan = PingPlan::default();
    let offers = LinkPurpose::Offers { link_count: 600 };

    let steps = [
        plan.step(offers, ClockTime(0), ClockTime(100)),
        plan.step(offers, ClockTime(0), ClockTime(7_000)),
        plan.step(LinkPurpose::Runs, ClockTime(0), ClockTime(7_100)),
        plan.step(LinkPurpose::Runs, ClockTime(0), ClockTime(7_700)),
    ];

    let expected = [
        PingStep::Wait,
        PingStep::Wait,
        PingStep::Wait,
        PingStep::Ping(1),
    ];
    assert_eq!(steps, expected);
}
