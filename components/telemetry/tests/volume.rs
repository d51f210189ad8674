//! The volume of logs stays bounded.

use std::time::{Duration, Instant};

use telemetry::{LogRateLimiter, MAX_LINES_PER_SECOND};

/// Guards against a flood of requests that becomes a flood of lines, and against lines that are
/// dropped without a trace.
#[test]
fn lines_beyond_the_bound_are_dropped_and_counted() {
    let mut limit = LogRateLimiter::new();
    let start = Instant::now();

    let written = (0..1_000)
        .filter(|_| limit.admit_line(1, start).is_some())
        .count();
    let other = limit.admit_line(2, start);
    let later = limit.admit_line(1, start + Duration::from_secs(1));

    assert_eq!(written, MAX_LINES_PER_SECOND as usize);
    assert_eq!(other, Some(0));
    assert_eq!(later, Some(1_000 - u64::from(MAX_LINES_PER_SECOND)));
}
