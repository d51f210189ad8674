//! Callers that were refused before, and callers with little time.

use std::time::Duration;

use limits::CallerPatience;
use rstest::rstest;

const OBJECTIVE: Duration = Duration::from_millis(400);

fn patience(timeout_ms: u64, remaining_ms: u64) -> CallerPatience {
    CallerPatience {
        timeout: Duration::from_millis(timeout_ms),
        remaining: Duration::from_millis(remaining_ms),
    }
}

/// Guards against new requests that get only what others leave of a share, because their callers give
/// themselves less than the timeout of the route.
#[rstest]
#[case::whole_timeout(6_000, 6_000)]
#[case::most_of_a_timeout(6_000, 5_000)]
#[case::most_of_a_long_timeout(15_000, 12_500)]
fn new_caller_with_less_time_is_not_overdue(#[case] timeout_ms: u64, #[case] remaining_ms: u64) {
    let new = patience(timeout_ms, remaining_ms);

    assert!(!new.is_overdue(OBJECTIVE));
}

/// Guards against repeated requests that use up a share although they can only be late.
#[rstest]
#[case::whole_timeout(6_000, 6_000, true)]
#[case::most_of_a_timeout(6_000, 5_000, true)]
#[case::objective_still_ahead(1_000, 1_000, false)]
fn refused_caller_is_overdue_after_its_objective(
    #[case] timeout_ms: u64,
    #[case] remaining_ms: u64,
    #[case] is_overdue: bool,
) {
    let refused = patience(timeout_ms, remaining_ms);
    let wait = refused.retry_after();
    let returned = CallerPatience {
        remaining: refused.remaining - wait,
        ..refused
    };

    assert_eq!(returned.is_overdue(OBJECTIVE), is_overdue);
}
