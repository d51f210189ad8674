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

/// Time from the last answers of a leaving relay to its stop. They must be written before their
/// connections are closed.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Reason of failures at the end of a stop.
pub(crate) const ENTRY_STOPS: &str = "the entry stops";

/// Begins the stop of a relay that ends its open requests after `drain_timeout`.
pub(crate) fn begin_stop(shared: &RelayShared, drain_timeout: Duration) {
    let deadline = Instant::now() + drain_timeout.saturating_sub(ANSWER_MARGIN);
    shared.stop_deadline.send_replace(Some(deadline));
}

/// Waits until a leaving relay answers what is still open. Never returns while the relay serves.
pub(crate) async fn wait_for_stop(shared: &RelayShared) {
    let mut stop_deadline = shared.stop_deadline.subscribe();
    // Fails only if the sender is dropped, which `shared` holds.
    let deadline = match stop_deadline.wait_for(Option::is_some).await {
        Ok(deadline) => *deadline,
        Err(_) => None,
    };
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Longest time that a request takes if its caller waits for `remaining`. Streams are forwarded until
/// the caller's deadline, other responses until the route's timeout.
pub(crate) fn max_duration(route: &RouteSpec, remaining: Duration) -> Duration {
    match route.repeat.is_stream() {
        true => remaining,
        false => remaining.min(route.timeout()),
    }
}

/// Refuses a request that may outlast the stop of a leaving relay, if another relay can take it.
pub(crate) fn check_stop(
    shared: &RelayShared,
    route: &RouteSpec,
    max_duration: Duration,
) -> Result<(), Refusal> {
    let Some(stop_deadline) = *shared.stop_deadline.borrow() else {
        return Ok(());
    };
    let time_left = stop_deadline.saturating_duration_since(Instant::now());
    let now = shared.now();
    let may_outlast = |state: &RelayState| may_outlast(state, route, time_left, max_duration, now);
    if !shared.board.read(may_outlast) {
        return Ok(());
    }
    Err(leaving_refusal(&format!(
        "the entry stops in {time_left:?}, and requests of route {} may take longer",
        route.name
    )))
}

/// Refusal of a request that a leaving relay did not send to any target.
pub(crate) fn leaving_refusal(reason: &str) -> Refusal {
    let message = format!("Failed to accept the request: {reason}");
    Refusal::not_run(503, "entry-leaving", message).retry_after(LEAVING_RETRY_AFTER)
}

/// Whether a request of the route may still run after `time_left`, and another relay serves.
///
/// Recent durations do not bound the next one. A request that may not be repeated is lost if it is
/// cut, so only its own time limit counts.
fn may_outlast(
    state: &RelayState,
    route: &RouteSpec,
    time_left: Duration,
    max_duration: Duration,
    now: ClockTime,
) -> bool {
    let no_history = DurationHistory::new();
    let history = state.run_durations.get(&route.name).unwrap_or(&no_history);
    let may_outlast = match route.repeat.is_repeatable() {
        true => history.may_outlast(time_left, max_duration, now),
        false => max_duration > time_left,
    };
    state.other_entry_count() > 0 && may_outlast
}
