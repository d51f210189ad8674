//! HTTP towards callers.

use std::time::Duration;

use cadence::prelude::*;
use http_body_util::BodyExt;
use salvo::prelude::*;
use telemetry::{event, events};
use tokio::time::Instant;
use tracing::{Instrument, info_span};

use entry::Refusal;

use crate::backend::CallerRequest;
use crate::forward::{ForwardAnswer, ForwardedRequest, PLAN_RETRY_AFTER, admit};
use crate::respond;
use crate::state::RelayShared;

/// Turns of the event loop between the head of a request and the first byte of its answer: to read the
/// body, to send, to read the answer, to write it.
const TURNS_TO_ANSWER: u32 = 4;

/// Wait that a caller is asked for while this entry is behind; it may reach another entry at once.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Serves callers' requests.
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
        attempt: &mut String,
    ) -> Result<ForwardAnswer, Refusal> {
        let arrived = Instant::now();
        let head = head_of(req);
        let terms = self
            .shared
            .dialect
            .parse_request(&head)
            .map_err(|error| Refusal::not_run(400, "bad-request", error))?;
        attempt.clone_from(&terms.attempt_id);
        let index = self.shared.board.read(|state| state.index.clone());
        let Some(index) = index else {
            let message = "Failed to find a route: no plan is known yet";
            let refusal = Refusal::not_run(503, "no-plan", message);
            return Err(refusal.retry_after(PLAN_RETRY_AFTER));
        };
        let grant = admit(&self.shared, &index, &terms, head.uri.path())?;
        let turn = wait_for_turn().await;
        if turn * TURNS_TO_ANSWER > grant.route.objective() {
            let message = format!("Failed to accept the request: the entry is {turn:?} behind");
            let refusal = Refusal::not_run(503, "entry-busy", message);
            return Err(refusal.retry_after(BUSY_RETRY_AFTER));
        }
        let forwarded = ForwardedRequest::new(self.shared.clone(), terms, grant, arrived)?;
        forwarded.check_share()?;
        let limit = index.plan.bounds.max_body.0;
        let body = req
            .payload_with_max_size(limit as usize)
            .await
            .map_err(|error| body_refusal(&error, limit))?;
        let request = CallerRequest {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: body.clone(),
        };
        let span = info_span!("relay.request", request = attempt.as_str());
        forwarded.run(request).instrument(span).await
    }
}

/// Lets every other task that can run have a turn; tells how long that took.
async fn wait_for_turn() -> Duration {
    let start = Instant::now();
    tokio::task::yield_now().await;
    start.elapsed()
}

fn head_of(req: &Request) -> http::request::Parts {
    let (mut head, ()) = http::Request::new(()).into_parts();
    head.method = req.method().clone();
    head.uri = req.uri().clone();
    head.version = req.version();
    head.headers = req.headers().clone();
    head
}

fn body_refusal(error: &salvo::http::ParseError, limit: u64) -> Refusal {
    match error {
        salvo::http::ParseError::PayloadTooLarge => {
            let message = format!("Failed to accept the body: the limit is {limit} bytes");
            Refusal::not_run(413, "body-too-large", message)
        }
        error => Refusal::not_run(
            400,
            "bad-request",
            format!("Failed to read the body: {error}"),
        ),
    }
}

/// Longest time in which the rest of a refused request's body must arrive.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Reads the rest of a body without keeping it. A connection that is closed with unread bytes is
/// reset, and the caller may lose its answer.
async fn discard_body(req: &mut Request) {
    let mut body = req.take_body();
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that sends on gets its answer and a closed connection.
    let _ = tokio::time::timeout(DISCARD_TIME, reading).await;
}

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
        let mut attempt = String::new();
        match self.serve(req, &mut attempt).await {
            Ok(answer) => respond::answer(&self.shared, res, answer),
            Err(refusal) => {
                let _ = self
                    .shared
                    .metrics
                    .incr(&format!("refusals.{}.{}", refusal.status, refusal.code));
                discard_body(req).await;
                event!(
                    events::RELAY_REFUSED,
                    request = attempt,
                    status = refusal.status,
                    code = refusal.code,
                    outcome = refusal.outcome.as_str(),
                    reason = refusal.message
                );
                respond::refuse(&self.shared, res, &refusal);
            }
        }
    }
}

/// Tells the load balancer whether new callers should come.
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
