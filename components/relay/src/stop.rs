//! Requests that a leaving relay refuses because they may not end before it stops.
//!
//! The load balancer needs seconds to notice that a relay is leaving and sends callers until then.
//! A stream that is accepted in that time and outlasts the stop is lost to its caller, whereas a
//! refused request is repeated at another relay.

use std::time::Duration;

use entry::Refusal;
use limits::DurationHistory;
use routes::RouteSpec;
use tokio::time::Instant;
use units::{ClockTime, RouteName};

use crate::state::{RelayShared, RelayState};

/// `Retry-After` of a refusal by a leaving relay. The wait is short, since a retry reaches another
/// relay.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Measures the duration of a run, from the arrival of its request.
pub(crate) struct RunTimer {
    pub(crate) shared: RelayShared,
    pub(crate) route: RouteName,
    pub(crate) arrived_at: Instant,
}

impl RunTimer {
    /// Records the end of the complete response.
    pub(crate) fn record_end(&self) {
        let now = self.shared.now();
        self.shared.board.write_quietly(|state| {
            let history = state.run_durations.entry(self.route.clone()).or_default();
            history.record(self.arrived_at.elapsed(), now);
        });
    }
}

/// Refuses a request that may outlast the stop of a leaving relay, if another relay can take it.
pub(crate) fn check_stop(
    shared: &RelayShared,
    route: &RouteSpec,
    remaining: Option<Duration>,
) -> Result<(), Refusal> {
    let now = shared.now();
    let remaining = remaining.unwrap_or(route.timeout());
    // Streams are forwarded until the caller's deadline, other responses until the route's timeout.
    let max_duration = match route.repeat.is_stream() {
        true => remaining,
        false => remaining.min(route.timeout()),
    };
    let time_left = shared
        .board
        .read(|state| time_left_if_outlasted(state, &route.name, max_duration, now));
    let Some(time_left) = time_left else {
        return Ok(());
    };
    let message = format!(
        "Failed to accept the request: the entry stops in {time_left:?}, and requests of route {} \
         may take longer",
        route.name
    );
    let refusal = Refusal::not_run(503, "entry-leaving", message);
    Err(refusal.retry_after(LEAVING_RETRY_AFTER))
}

/// Time until the relay stops, if a request of the route may outlast it and another relay serves.
fn time_left_if_outlasted(
    state: &RelayState,
    route: &RouteName,
    max_duration: Duration,
    now: ClockTime,
) -> Option<Duration> {
    let time_left = state.stop_at?.since(now);
    let no_history = DurationHistory::new();
    let history = state.run_durations.get(route).unwrap_or(&no_history);
    let is_refused =
        state.other_entry_count() > 0 && history.may_outlast(time_left, max_duration, now);
    is_refused.then_some(time_left)
}
