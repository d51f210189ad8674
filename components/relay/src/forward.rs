//! Forwards an admitted request: waits for a target, sends the request and retries.

mod admission;
mod attempt;

use std::time::Duration;

use http::{StatusCode, response};
use hyper::body::Bytes;
use limits::CallerPatience;
use place::{PlacementRequest, RequiredVersion};
use routes::{RepeatRule, RouteMatch, RouteSpec, WeightedService};
use telemetry::{event, events};
use tokio::time::Instant;
use tracing::{Instrument, info_span};
use units::{CostUnits, NodeName, OrganisationName, PlanNumber, ServiceName, SoftwareVersion};
use wire::{FlowKey, RequestTrait, stable_hash};

use cadence::prelude::*;
use entry::Refusal;

use self::admission::admit_by_share;
pub(crate) use self::admission::{RequestAdmission, admit, final_refusal, share_flow};
use crate::backend::{CallerRequest, OpenResponse};
use crate::crash::SentRequest;
use crate::dialect::{ModelUsage, RequestMetadata};
use crate::origins::{ContinuedOrigin, refuse_continuation, wait_for_current_view};
use crate::places::{PlacementError, RunGuard};
use crate::rollouts::VersionedRequest;
use crate::state::RelayShared;
use crate::stop::{ENTRY_STOPS, RunTimer, check_stop};

/// `Retry-After` when it is not known when a target will have capacity.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` while the entry has no confirmed plan.
pub(crate) const PLAN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Cost of an output token, where a prompt token costs 1. The capacity in a plan is stated in the
/// same unit.
const OUTPUT_TOKEN_COST: u64 = 2;

/// Reason of a failure after a stream without a length that ended inside an event.
pub(crate) const TRUNCATED_STREAM: &str = "the stream ended inside an event";

/// Divisor of the latency objective that gives the maximum wait for capacity.
const MAX_WAIT_DIVISOR: u32 = 2;

/// Bound on the time that a caller states, within the range of the clock.
const MAX_REMAINING: Duration = Duration::from_secs(24 * 60 * 60);

/// An admitted request and the state of its attempts at targets.
pub(crate) struct ForwardedRequest {
    shared: RelayShared,
    metadata: RequestMetadata,
    route: RouteMatch,
    service: ServiceName,
    organisation: Option<OrganisationName>,
    placement: PlacementRequest,
    arrived_at: Instant,
    /// Whether the request is within its organisation's share of the capacity.
    is_within_share: bool,
    /// Time at which the caller stops waiting for the response.
    caller_deadline: Instant,
    /// Time at which attempts end: the earlier of the caller's deadline and the route's timeout.
    deadline: Instant,
    /// Number of targets that may have read the request.
    send_count: u32,
    /// Whether the request may have run at a target.
    may_have_run: bool,
    /// Version of the target to which the request was last sent.
    last_version: Option<SoftwareVersion>,
    /// Where the stream began that the request continues; `None` if it begins a new one.
    continued: Option<ContinuedOrigin>,
    /// Number of the plan by which the request was admitted.
    plan_number: PlanNumber,
    /// Time from the arrival of the request to its last assignment to a target.
    wait_time: Duration,
    /// Age of the directory by which the request was last assigned to a target.
    view_age: Duration,
    /// What the request may share with others that crash targets.
    traits: Vec<RequestTrait>,
    /// Whether the request is admitted to find out whether a quarantine should end.
    is_trial: bool,
}

/// Response to a caller.
pub(crate) enum ForwardedResponse {
    /// A response with a complete body.
    Complete(response::Parts, Bytes),
    /// A response whose body is forwarded as it arrives.
    Stream(Box<StreamedResponse>),
}

/// A response whose body is forwarded as it arrives.
pub(crate) struct StreamedResponse {
    pub(crate) response: OpenResponse,
    pub(crate) first_chunk: Option<Bytes>,
    /// Whether the body is a series of events.
    pub(crate) has_events: bool,
    /// Occupies a slot at the target until the stream ends.
    pub(crate) _run_guard: RunGuard,
    pub(crate) run_timer: RunTimer,
    pub(crate) sent: SentRequest,
    pub(crate) deadline: Instant,
    pub(crate) attempt_id: String,
}

impl StreamedResponse {
    /// Whether a body that has ended was broken off inside an event.
    pub(crate) fn is_truncated(&self) -> bool {
        self.has_events && self.response.is_truncated_stream()
    }
}

/// Result of sending a request to one target.
enum SendResult {
    Response(ForwardedResponse),
    /// No byte of the request was sent to the target.
    NotSent(String),
    /// The request has not run and will not run at the target.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
    /// The target returned a server error, and the route allows a retry.
    ServerError(response::Parts, Bytes),
}

impl ForwardedRequest {
    /// Selects the service of an admitted request, and checks the request against the share of its
    /// organisation.
    pub(crate) fn new(
        shared: RelayShared,
        metadata: RequestMetadata,
        admission: RequestAdmission,
        continued: Option<ContinuedOrigin>,
        arrived_at: Instant,
    ) -> Result<Self, Refusal> {
        let route = admission.route;
        let service = select_service(&route, &metadata, continued.as_ref())?;
        let affinity = metadata.model_usage.as_ref().and_then(ModelUsage::session);
        let organisation = admission
            .holder
            .as_ref()
            .map(|holder| holder.organisation.clone());
        let cost = metadata.model_usage.as_ref().map(model_cost);
        let remaining = metadata.remaining.unwrap_or(route.timeout());
        let remaining = remaining.min(MAX_REMAINING);
        let patience = CallerPatience {
            timeout: route.timeout(),
            remaining,
        };
        let is_late = patience.is_overdue(route.objective());
        let is_within_share = admit_by_share(&shared, organisation.as_ref(), cost, is_late);
        let regions = admission.holder.iter().map(|holder| holder.regions.clone());
        let is_even = shared
            .board
            .read(|state| state.table.is_even_service(&service));
        let placement = PlacementRequest {
            service: service.clone(),
            version: required_version(&route, continued.as_ref()).into(),
            affinity: affinity.filter(|_| route.affinity),
            work: metadata
                .model_usage
                .as_ref()
                .map_or(1, |model| model.prompt_tokens),
            cost,
            objective: route.objective(),
            regions: regions.chain([route.regions.clone()]).collect(),
            tried: Vec::new(),
            has_precedence: continued
                .as_ref()
                .is_some_and(|continued| continued.has_precedence),
            memory: metadata
                .model_usage
                .as_ref()
                .filter(|_| is_even)
                .map(ModelUsage::memory),
        };
        let caller_deadline = arrived_at + remaining;
        Ok(Self {
            deadline: caller_deadline.min(arrived_at + route.timeout()),
            caller_deadline,
            organisation,
            is_within_share,
            shared,
            metadata,
            route,
            service,
            placement,
            arrived_at,
            send_count: 0,
            may_have_run: false,
            last_version: None,
            continued,
            plan_number: admission.plan_number,
            wait_time: Duration::ZERO,
            view_age: Duration::ZERO,
            traits: Vec::new(),
            is_trial: false,
        })
    }

    /// Refuses a request beyond the share of its organisation, before its body is read. A stream
    /// that was admitted once may be continued once.
    pub(crate) fn check_share(&self) -> Result<(), Refusal> {
        match self.is_within_share || self.placement.has_precedence {
            true => Ok(()),
            false => Err(self.share_refusal()),
        }
    }

    /// Time at which attempts end.
    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Sends the request to targets until one responds or no further attempt is allowed.
    pub(crate) async fn run(
        mut self,
        request: CallerRequest,
    ) -> Result<ForwardedResponse, Refusal> {
        self.record_request();
        self.traits = self.request_traits(&request);
        // A target's server error is forwarded if no other target responds.
        let mut server_error = None;
        let refusal = loop {
            if let Err(refusal) = self.check_quarantine() {
                break refusal;
            }
            let run_guard = match self.wait_for_target().await {
                Ok(run_guard) => run_guard,
                Err(refusal) => break refusal,
            };
            // The quarantine may have begun during the wait.
            if let Err(refusal) = self.check_quarantine() {
                break refusal;
            }
            if self.continued.is_some() && !wait_for_current_view(&self.shared).await {
                break self.outdated_refusal();
            }
            if let Err(refusal) = self.check_key(&request).and_then(|()| self.check_time()) {
                break refusal;
            }
            let result = self.send(&request, run_guard).await;
            let (reason, may_have_run) = match result {
                SendResult::Response(response) => {
                    self.log_response();
                    return Ok(response);
                }
                SendResult::ServerError(head, body) => {
                    self.send_count += 1;
                    self.may_have_run = true;
                    if !self.may_retry() {
                        return Ok(ForwardedResponse::Complete(head, body));
                    }
                    server_error = Some((head, body));
                    continue;
                }
                SendResult::NotSent(reason) => (reason, false),
                SendResult::NotRun(reason) => {
                    self.send_count += 1;
                    (reason, false)
                }
                SendResult::Unknown(reason) => {
                    self.send_count += 1;
                    (reason, true)
                }
            };
            self.may_have_run |= may_have_run;
            event!(
                events::RELAY_SEND_FAILED,
                request = self.metadata.attempt_id,
                route = self.route.name,
                target = self.last_target(),
                may_have_run = may_have_run,
                sends = self.send_count,
                reason = reason
            );
            let is_retryable =
                !may_have_run || (self.route.repeat.is_repeatable() && !self.is_suspected());
            if !is_retryable || !self.may_retry() {
                break self.failure(&reason);
            }
        };
        match server_error {
            Some((head, body)) => Ok(ForwardedResponse::Complete(head, body)),
            None => Err(refusal),
        }
    }

    /// Logs the target that responds, and the times to its selection and to its first byte.
    fn log_response(&self) {
        let organisation = self.organisation.as_ref();
        let metrics = &self.shared.metrics;
        let _ = metrics.time("first-byte", self.arrived_at.elapsed());
        let _ = metrics.time("wait", self.wait_time);
        event!(
            events::RELAY_ANSWERED,
            request = self.metadata.attempt_id,
            route = self.route.name,
            plan = self.plan_number,
            organisation = organisation.map_or("", OrganisationName::as_str),
            target = self.last_target(),
            version = self
                .last_version
                .as_ref()
                .map_or("", SoftwareVersion::as_str),
            continues = self.first_attempt().unwrap_or_default(),
            sends = self.send_count + 1,
            waited_ms = self.wait_time.as_millis(),
            view_age_ms = self.view_age.as_millis(),
            first_byte_ms = self.arrived_at.elapsed().as_millis()
        );
    }

    /// Id of the attempt that began the stream that the request continues, if stated.
    fn first_attempt(&self) -> Option<&str> {
        let continuation = self.metadata.continuation.as_ref()?;
        continuation.first_attempt.as_deref()
    }

    fn last_target(&self) -> String {
        let last = self.placement.tried.last();
        last.map(NodeName::to_string).unwrap_or_default()
    }

    fn flow(&self) -> FlowKey {
        let none = || OrganisationName::from("");
        FlowKey {
            organisation: self.organisation.clone().unwrap_or_else(none),
            service: self.service.clone(),
        }
    }

    fn record_request(&self) {
        let now = self.shared.now();
        let settings = &self.shared.settings;
        self.shared
            .board
            .write_quietly(|state| state.budget(&self.service, settings).record_request(now));
    }

    /// Checks that a target still has the time to answer. The body and the waits since the arrival of
    /// the request may have taken any part of it.
    fn check_time(&self) -> Result<(), Refusal> {
        let now = Instant::now();
        if now >= self.deadline {
            return Err(self.failure("the deadline has passed"));
        }
        let remaining = self.caller_deadline.saturating_duration_since(now);
        let max_duration = match self.route.repeat.is_stream() {
            true => remaining,
            false => self.deadline - now,
        };
        check_stop(&self.shared, &self.route, max_duration).map_err(|refusal| {
            match self.may_have_run {
                true => self.failure(ENTRY_STOPS),
                false => refusal,
            }
        })
    }

    /// Starts a run at a target, waiting for capacity for at most part of the latency objective.
    async fn wait_for_target(&mut self) -> Result<RunGuard, Refusal> {
        let mut deadline = self
            .deadline
            .min(Instant::now() + self.route.objective() / MAX_WAIT_DIVISOR);
        if let Some(stop_deadline) = *self.shared.stop_deadline.borrow() {
            deadline = deadline.min(stop_deadline);
        }
        let flow = self.flow();
        let span = info_span!("relay.wait", request = self.metadata.attempt_id.as_str());
        let versioned = VersionedRequest {
            shared: &self.shared,
            flow: &flow,
            placement: &self.placement,
            route: stable_hash(&[self.route.name.as_str().as_bytes()]),
            is_first_attempt: self.placement.tried.is_empty(),
            is_continued: self.continued.is_some(),
            is_confirmed: self.shared.is_confirmed(self.plan_number),
        };
        let starting = versioned.start_run(deadline);
        match starting.instrument(span).await {
            Ok(run_guard) => Ok(run_guard),
            Err(reason) if !self.may_have_run => Err(self.placement_refusal(reason)),
            Err(_) => Err(self.failure("there is no other target")),
        }
    }

    fn share_refusal(&self) -> Refusal {
        let message = "Failed to accept the request: its organisation asks more than its share of \
                       what the targets can serve in time";
        let patience = CallerPatience {
            timeout: self.route.timeout(),
            remaining: self
                .caller_deadline
                .saturating_duration_since(Instant::now()),
        };
        Refusal::not_run(429, "over-share", message).retry_after(patience.retry_after())
    }

    /// Refusal of a stream that cannot be continued because the entry is cut off.
    fn outdated_refusal(&self) -> Refusal {
        let reason = "it is not known which software versions the targets run now";
        match self.may_have_run {
            true => self.failure(reason),
            false => refuse_continuation(self.first_attempt(), reason),
        }
    }

    fn placement_refusal(&self, reason: PlacementError) -> Refusal {
        if let (Some(continued), PlacementError::NoTarget) = (&self.continued, reason) {
            let version = &continued.origin.version;
            let reason =
                format!("no target of software version {version}, which began it, is left");
            return refuse_continuation(self.first_attempt(), &reason);
        }
        let message = match reason {
            PlacementError::NoTarget => format!("service {} has no live target", self.service),
            PlacementError::Full => format!("all targets of service {} are full", self.service),
            PlacementError::Limited(_) => {
                format!("no target of service {} wants a request yet", self.service)
            }
        };
        let retry_after = match reason {
            PlacementError::Limited(wait) => wait,
            PlacementError::NoTarget | PlacementError::Full => RETRY_AFTER,
        };
        let message = format!("Failed to find a target: {message}");
        Refusal::not_run(503, "no-target", message).retry_after(retry_after)
    }

    /// Whether the route, the deadline and the retry budget allow another attempt. The attempt is
    /// charged to the budget only if a target may have read the request before.
    fn may_retry(&self) -> bool {
        let now = self.shared.now();
        let settings = &self.shared.settings;
        let is_in_limits =
            self.send_count < self.route.max_targets && Instant::now() < self.deadline;
        let is_unsent = self.send_count == 0;
        is_in_limits
            && (is_unsent
                || self
                    .shared
                    .board
                    .write_quietly(|state| state.budget(&self.service, settings).try_retry(now)))
    }

    /// Refusal after the last failed attempt. Its outcome is not-run only if no target can have run
    /// the request.
    fn failure(&self, reason: &str) -> Refusal {
        let elapsed_ms = self.arrived_at.elapsed().as_millis();
        if !self.may_have_run {
            let message = format!("Failed to run the request after {elapsed_ms} ms: {reason}");
            return Refusal::not_run(503, "not-run", message).retry_after(RETRY_AFTER);
        }
        let status = match Instant::now() >= self.deadline {
            true => StatusCode::GATEWAY_TIMEOUT,
            false => StatusCode::BAD_GATEWAY,
        };
        let message = format!("Failed to get an answer after {elapsed_ms} ms: {reason}");
        Refusal::unknown(status.as_u16(), "target-lost", message)
    }
}

/// Service of a request: the one at which its stream began, or one that is drawn by weight.
fn select_service(
    route: &RouteSpec,
    metadata: &RequestMetadata,
    continued: Option<&ContinuedOrigin>,
) -> Result<ServiceName, Refusal> {
    if let Some(ContinuedOrigin { origin, .. }) = continued {
        let mut parts = route.split.iter();
        let is_routed = |part: &WeightedService| part.weight > 0 && part.service == origin.service;
        if parts.any(is_routed) {
            return Ok(origin.service.clone());
        }
        let stream = metadata.continuation.as_ref();
        let first_attempt = stream.and_then(|stream| stream.first_attempt.as_deref());
        let reason = format!("its route no longer leads to service {}", origin.service);
        return Err(refuse_continuation(first_attempt, &reason));
    }
    let draw = stable_hash(&[metadata.attempt_id.as_bytes()]);
    route.service(draw).cloned().ok_or_else(|| {
        let message = format!("Failed to find a service for route {}", route.name);
        Refusal::not_run(503, "no-service", message)
    })
}

fn required_version(route: &RouteSpec, continued: Option<&ContinuedOrigin>) -> RequiredVersion {
    match continued {
        Some(continued) => RequiredVersion::Only(continued.origin.version.clone()),
        None if route.repeat == RepeatRule::ResumableStream => RequiredVersion::Registered,
        None => RequiredVersion::Any,
    }
}

fn model_cost(model: &ModelUsage) -> CostUnits {
    CostUnits(model.prompt_tokens + OUTPUT_TOKEN_COST * model.max_output_tokens)
}
