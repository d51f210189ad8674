//! Pings of connections to agents.

use std::time::Duration;

use entry::{LinkPurpose, MAX_PING_INTERVAL, PING_INTERVAL, PingPlan, PingStep};
use rstest::rstest;
use units::ClockTime;

/// Steps a plan each 100 ms over a time; frames arrive as `heard` says. Returns the number of pings
/// and the time at which the connection was given up.
fn drive(
    duty: LinkPurpose,
    span_ms: u64,
    heard: impl Fn(u64) -> ClockTime,
) -> (u64, Option<ClockTime>) {
    let mut plan = PingPlan::default();
    let mut pings = 0;
    for ms in (0..=span_ms).step_by(100) {
        match plan.step(duty, heard(ms), ClockTime(ms)) {
            PingStep::Wait => {}
            PingStep::Ping(_) => pings += 1,
            PingStep::Close => return (pings, Some(ClockTime(ms))),
        }
    }
    (pings, None)
}

/// Guards against a run that waits for more than 2 s on a connection that went silent.
#[test]
fn silent_connection_with_a_run_is_given_up_within_two_seconds() {
    let (pings, dead) = drive(LinkPurpose::Runs, 10_000, |_| ClockTime(0));

    assert!(dead.unwrap() <= ClockTime(2_000), "{dead:?}");
    assert!(pings >= 2);
}

/// Guards against heartbeat traffic on each of hundreds of connections whose streams prove them
/// alive: it came to 159 KB/s of an entry's 8 KB/s.
#[test]
fn connection_with_tokens_is_not_pinged() {
    let (pings, dead) = drive(LinkPurpose::Runs, 10_000, |ms| ClockTime(ms - ms % 400));

    assert_eq!((pings, dead), (0, None));
}

/// Guards against a connection that is given up although its agent answers each ping.
#[test]
fn answered_pings_keep_a_connection() {
    let interval = PING_INTERVAL.as_millis() as u64 + 100;
    let (pings, dead) = drive(LinkPurpose::Runs, 10_000, |ms| {
        ClockTime(ms / interval * interval)
    });

    assert!(pings > 0);
    assert_eq!(dead, None);
}

/// Guards against pings of offers that grow with the number of connections.
#[rstest]
#[case(1, PING_INTERVAL)]
#[case(50, Duration::from_secs(4))]
#[case(600, MAX_PING_INTERVAL)]
fn pings_of_offers_are_paced(#[case] link_count: usize, #[case] interval: Duration) {
    assert_eq!(
        LinkPurpose::Offers { link_count }.ping_interval(),
        Some(interval)
    );
}

/// Guards against a connection that is given up for a silence before it was needed.
#[test]
fn silence_before_a_duty_does_not_count() {
    let mut plan = PingPlan::default();

    let idle = plan.step(LinkPurpose::Idle, ClockTime(0), ClockTime(60_000));
    let busy = plan.step(LinkPurpose::Runs, ClockTime(0), ClockTime(60_100));

    assert_eq!((idle, busy), (PingStep::Wait, PingStep::Wait));
}

/// Guards against a connection that is given up when a run begins, for a silence that was normal
/// while it only carried offers.
#[test]
fn shorter_interval_starts_the_silence_anew() {
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
