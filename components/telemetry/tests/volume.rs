//! Rate limit of log lines.

use std::time::{Duration, Instant};

use telemetry::{LogRateLimiter, MAX_LINES_PER_SECOND};

/// Guards against a number of log lines that grows with the load, and against suppressed lines that
/// are not reported.
#[test]
fn lines_beyond_the_limit_are_suppressed_and_counted() {
    let mut limiter = LogRateLimiter::new();
    let start = Instant::now();

    let admitted = (0..1_000)
        .filter(|_| limiter.admit_line(1, start).is_some())
        .count();
    let other_event = limiter.admit_line(2, start);
    let next_window = limiter.admit_line(1, start + Duration::from_secs(1));

    assert_eq!(admitted, MAX_LINES_PER_SECOND as usize);
    assert_eq!(other_event, Some(0));
    assert_eq!(next_window, Some(1_000 - u64::from(MAX_LINES_PER_SECOND)));
}
