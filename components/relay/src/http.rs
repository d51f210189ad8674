//! HTTP handlers for callers and for the load balancer.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use cadence::prelude::*;
use futures_util::FutureExt;
use http::HeaderMap;
use limits::TurnGate;
use listener::{BodyError, discard_body};
use routes::RepeatRule;
use salvo::prelude::*;
use telemetry::{event, events};
use tokio::time::Instant;
use tracing::{Instrument, info_span};
use units::OrganisationName;

use entry::Refusal;

use crate::backend::CallerRequest;
use crate::dialect::ModelUsage;
use crate::forward::{ForwardedRequest, ForwardedResponse, PLAN_RETRY_AFTER, admit, final_refusal};
use crate::origins::find_origin;
use crate::respond;
use crate::state::{RelayShared, RelayState};
use crate::stop::{ENTRY_STOPS, check_stop, leaving_refusal, max_duration, wait_for_stop};

/// `Retry-After` of a refusal by an overloaded entry. The wait is short, since a retry may reach
/// another entry.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(100);

/// `Retry-After` of a refusal for lack of memory. Bodies that make no progress are ended within a few
/// seconds, and a retry may reach another entry.
const BUDGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` of a request whose handling panicked. The same request may panic at each entry.
const PANIC_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What is known of a request when it is refused, for the log line and the outcome.
#[derive(Default)]
struct RequestLabels {
    attempt_id: String,
    organisation: Option<OrganisationName>,
    /// Whether the request may have been sent to a target.
    may_be_sent: bool,
}

/// Forwards callers' requests to targets.
pub(crate) struct RelayHandler {
    shared: RelayShared,
}

impl RelayHandler {
    pub(crate) fn new(shared: RelayShared) -> Self {
        Self { shared }
    }

    async fn serve(
        &self,
        req: &mut Request,
        labels: &mut RequestLabels,
    ) -> Result<ForwardedResponse, Refusal> {
        let (forwarded, request) = tokio::select! {
            biased;
            prepared = self.prepare(req, labels) => prepared?,
            () = wait_for_stop(&self.shared) => return Err(leaving_refusal(ENTRY_STOPS)),
        };
        labels.may_be_sent = true;
        let span = info_span!("relay.request", request = labels.attempt_id.as_str());
        forwarded.run(request).instrument(span).await
    }

    /// Like [`Self::serve`], and answers a request whose handling panics. Otherwise its connection would
    /// be closed, which also tells nothing of whether it has run.
    async fn serve_or_recover(
        &self,
        req: &mut Request,
        labels: &mut RequestLabels,
    ) -> Result<ForwardedResponse, Refusal> {
        let served = AssertUnwindSafe(self.serve(req, labels))
            .catch_unwind()
            .await;
        served.unwrap_or_else(|_| {
            event!(
                events::REQUEST_PANICKED,
                request = labels.attempt_id,
                may_be_sent = labels.may_be_sent
            );
            Err(panic_refusal(labels.may_be_sent))
        })
    }

    /// Refusal of a request because a turn of the event loop takes too long.
    fn busy_refusal(&self, turn_time: Duration) -> Refusal {
        let now = self.shared.now();
        let record = |state: &mut RelayState| state.turns.record_refusal(turn_time, now);
        if let Some(summary) = self.shared.board.write_quietly(record) {
            event!(
                events::ENTRY_BEHIND,
                turn_ms = summary.longest_turn.as_millis(),
                refused = summary.refused
            );
        }
        let message = format!("Failed to accept the request: the entry is {turn_time:?} behind");
        Refusal::not_run(503, "entry-busy", message).retry_after(BUSY_RETRY_AFTER)
    }

    /// Admits a request and reads its body.
    async fn prepare(
        &self,
        req: &mut Request,
        labels: &mut RequestLabels,
    ) -> Result<(ForwardedRequest, CallerRequest), Refusal> {
        let arrived_at = Instant::now();
        let head = request_head(req);
        Refusal::check_version(head.version)?;
        let mut metadata = self
            .shared
            .dialect
            .parse_request(&head)
            .map_err(|error| Refusal::not_run(400, "bad-request", error))?;
        metadata.model_usage = metadata.model_usage.map(ModelUsage::bounded);
        labels.attempt_id.clone_from(&metadata.attempt_id);
        let Some(route_index) = self.shared.current_index().await else {
            let message = "Failed to find a route: no plan is known yet";
            let refusal = Refusal::not_run(503, "no-plan", message);
            return Err(refusal.retry_after(PLAN_RETRY_AFTER));
        };
        check_headers(&head.headers, route_index.plan.bounds.max_headers.0)
            .map_err(|refusal| final_refusal(&self.shared, route_index.number, refusal))?;
        let admission = admit(&self.shared, &route_index, &metadata, head.uri.path())?;
        labels.organisation = admission
            .holder
            .as_ref()
            .map(|holder| holder.organisation.clone());
        let route = &admission.route;
        let remaining = metadata.remaining.unwrap_or(route.timeout());
        check_stop(&self.shared, route, max_duration(route, remaining))?;
        let turn_time = measure_scheduler_turn().await;
        if !TurnGate::admits(turn_time, admission.route.objective()) {
            return Err(self.busy_refusal(turn_time));
        }
        let origin = match &metadata.continuation {
            Some(stream) if admission.route.repeat == RepeatRule::ResumableStream => {
                Some(find_origin(&self.shared, stream, &admission, &labels.attempt_id).await?)
            }
            _ => None,
        };
        let forwarded =
            ForwardedRequest::new(self.shared.clone(), metadata, admission, origin, arrived_at)?;
        forwarded.check_share()?;
        let max_body_bytes = route_index.plan.bounds.max_body.0;
        let reading = self
            .shared
            .bodies
            .read(req.body_mut(), max_body_bytes, forwarded.deadline());
        let body = reading.await.map_err(|error| match error {
            BodyError::TooLarge(_) => {
                final_refusal(&self.shared, route_index.number, body_refusal(&error))
            }
            error => body_refusal(&error),
        })?;
        let request = CallerRequest {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
        };
        Ok((forwarded, request))
    }
}

/// Refusal of a request whose handling panicked.
fn panic_refusal(may_be_sent: bool) -> Refusal {
    let message = "Failed to handle the request: internal error";
    match may_be_sent {
        true => Refusal::unknown(502, "internal-error", message),
        false => Refusal::not_run(503, "internal-error", message).retry_after(PANIC_RETRY_AFTER),
    }
}

/// Refuses a request whose header names and values are larger than the plan allows.
fn check_headers(headers: &HeaderMap, max_bytes: u64) -> Result<(), Refusal> {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let bytes = sizes.sum::<usize>() as u64;
    if bytes <= max_bytes {
        return Ok(());
    }
    let message = format!("Failed to accept the headers: {bytes} bytes, the limit is {max_bytes}");
    Err(Refusal::not_run(431, "headers-too-large", message))
}

/// Yields to all other runnable tasks and returns the time until this task runs again.
async fn measure_scheduler_turn() -> Duration {
    let start = Instant::now();
    tokio::task::yield_now().await;
    start.elapsed()
}

fn request_head(req: &Request) -> http::request::Parts {
    let (mut head, ()) = http::Request::new(()).into_parts();
    head.method = req.method().clone();
    head.uri = req.uri().clone();
    head.version = req.version();
    head.headers = req.headers().clone();
    head
}

fn body_refusal(error: &BodyError) -> Refusal {
    let (status, code) = match error {
        BodyError::TooLarge(_) => (413, "body-too-large"),
        BodyError::NoMemory => (503, "body-budget"),
        BodyError::Stalled | BodyError::Late => (408, "body-timeout"),
        BodyError::Broken(_) => (400, "bad-request"),
    };
    let refusal = Refusal::not_run(status, code, format!("Failed to read the body: {error}"));
    match error {
        BodyError::NoMemory => refusal.retry_after(BUDGET_RETRY_AFTER),
        _ => refusal,
    }
}

/// Time within which the rest of a refused request's body must arrive.
const BODY_DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Part of a refused body that is read and discarded: all of a legal one, so that its caller certainly
/// gets the refusal and the connection stays usable.
const MAX_DISCARDED_BYTES: u64 = 4 << 20;

#[async_trait]
impl Handler for RelayHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let _ = self.shared.metrics.incr("requests");
        let mut labels = RequestLabels::default();
        match self.serve_or_recover(req, &mut labels).await {
            Ok(response) => respond::write_response(&self.shared, res, response),
            Err(refusal) => {
                let _ = self
                    .shared
                    .metrics
                    .incr(&format!("refusals.{}.{}", refusal.status, refusal.code));
                tokio::select! {
                    () = discard_body(req.body_mut(), MAX_DISCARDED_BYTES, BODY_DISCARD_TIMEOUT) => {}
                    () = wait_for_stop(&self.shared) => {}
                }
                event!(
                    events::RELAY_REFUSED,
                    request = labels.attempt_id,
                    organisation = labels
                        .organisation
                        .as_ref()
                        .map_or("", OrganisationName::as_str),
                    status = refusal.status,
                    code = refusal.code,
                    outcome = refusal.outcome.as_str(),
                    reason = refusal.message
                );
                respond::write_refusal(&self.shared, res, &refusal);
            }
        }
    }
}

/// Readiness check for the load balancer: 200 if the relay accepts new callers, 503 otherwise.
pub(crate) struct ReadyCheck {
    shared: RelayShared,
}

impl ReadyCheck {
    pub(crate) fn new(shared: RelayShared) -> Self {
        Self { shared }
    }
}

#[async_trait]
impl Handler for ReadyCheck {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.status_code(match self.shared.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        });
    }
}
