//! Way of one request: find its route, take a place, send, retry.

use std::sync::Arc;
use std::time::Duration;

use http::{StatusCode, response};
use hyper::body::Bytes;
use place::{ListedTarget, PlacementRequest};
use routes::{KeyHolder, RouteIndex, RouteMatch};
use telemetry::{event, events};
use tokio::time::Instant;
use tracing::{Instrument, info_span};
use units::{CostUnits, FlowWeight, NodeName, OrganisationName, PlanNumber, ServiceName};
use wire::{FlowId, FlowKey, stable_hash};

use cadence::prelude::*;
use entry::Refusal;

use crate::backend::{CallerRequest, ExchangeStart, OpenAnswer, exchange};
use crate::demand::model_pool;
use crate::dialect::{ForwardMetadata, ModelUsage, RequestMetadata};
use crate::places::{HeldPlace, NoPlace, take_place};
use crate::pool::ExchangeError;
use crate::state::RelayShared;

/// Wait that a caller is asked for where nothing tells when a target has room.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Wait that a caller is asked for while the entry has no confirmed plan.
pub(crate) const PLAN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Cost of a produced token against a read one, as the capacity of a plan counts them.
const OUTPUT_COST: u64 = 2;

/// Part of the latency objective that a request may wait for a place.
const WAIT_PART: u32 = 2;

/// Part of the caller's time after which it is asked to come back; callers wait no longer than a
/// third of it.
const RETURN_PART: u32 = 4;

/// A request on its way to a target.
pub(crate) struct ForwardedRequest {
    shared: RelayShared,
    terms: RequestMetadata,
    route: RouteMatch,
    service: ServiceName,
    organisation: Option<OrganisationName>,
    place: PlacementRequest,
    arrived: Instant,
    /// Whether the organisation asks no more than its share of what the targets produce.
    within_share: bool,
    /// Time at which nobody waits for the answer any more.
    caller_limit: Instant,
    /// Time at which the caller must have an answer.
    limit: Instant,
    /// Targets that may have read the request.
    sends: u32,
    /// Whether the request may have run.
    may_have_run: bool,
    /// Number of the plan that the request was admitted by.
    plan: PlanNumber,
    /// Time until the request was last handed to a target.
    waited: Duration,
}

/// Answer to a caller.
pub(crate) enum ForwardAnswer {
    /// A complete answer.
    Whole(response::Parts, Bytes),
    /// An answer that is passed on as it comes; the place is held until it ends.
    Stream(Box<StreamAnswer>),
}

/// An answer that is passed on as it comes.
pub(crate) struct StreamAnswer {
    pub(crate) answer: OpenAnswer,
    pub(crate) first: Option<Bytes>,
    /// Given back when the stream ends.
    pub(crate) _place: HeldPlace,
    pub(crate) limit: Instant,
    pub(crate) attempt: String,
}

/// Result of one send.
enum SendEnd {
    Answer(ForwardAnswer),
    /// No byte of the request has reached the target.
    NotSent(String),
    /// The request has not run and will not run at that target.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
    /// The target answered with a fault of its own.
    Faulty(response::Parts, Bytes),
}

/// What a request is owed, from the published plan.
pub(crate) struct RequestGrant {
    pub(crate) route: RouteMatch,
    pub(crate) holder: Option<Arc<KeyHolder>>,
    /// Number of the plan.
    pub(crate) plan: PlanNumber,
}

/// Finds the route of a request and checks its key.
pub(crate) fn admit(
    shared: &RelayShared,
    index: &RouteIndex,
    terms: &RequestMetadata,
    path: &str,
) -> Result<RequestGrant, Refusal> {
    let Some(route) = index.find(&terms.host, path) else {
        let message = format!("Failed to find a route for {}{path}", terms.host);
        return Err(Refusal::not_run(404, "no-route", message));
    };
    let plan = index.number;
    if !index.requires_keys() || (route.anonymous && terms.key.is_none()) {
        return Ok(RequestGrant {
            route,
            holder: None,
            plan,
        });
    }
    if !shared.has_lease() {
        let message = "Failed to check the key: the newest keys are not confirmed";
        let refusal = Refusal::not_run(503, "no-lease", message);
        return Err(refusal.retry_after(PLAN_RETRY_AFTER));
    }
    let holder = terms.key.as_ref().and_then(|key| index.holder(key));
    if holder.is_none() && !route.anonymous {
        let message = "Failed to identify the caller: unknown or missing key";
        return Err(Refusal::not_run(401, "unauthorised", message));
    }
    Ok(RequestGrant {
        route,
        holder,
        plan,
    })
}

impl ForwardedRequest {
    /// Prepares a request that was admitted.
    pub(crate) fn new(
        shared: RelayShared,
        terms: RequestMetadata,
        grant: RequestGrant,
        arrived: Instant,
    ) -> Result<Self, Refusal> {
        let route = grant.route;
        let draw = stable_hash(&[terms.attempt_id.as_bytes()]);
        let Some(service) = route.service(draw).cloned() else {
            let message = format!("Failed to find a service for route {}", route.name);
            return Err(Refusal::not_run(503, "no-service", message));
        };
        let affinity = terms.model_usage.as_ref().and_then(ModelUsage::session);
        let organisation = grant
            .holder
            .as_ref()
            .map(|holder| holder.organisation.clone());
        let cost = terms.model_usage.as_ref().map(model_cost);
        let remaining = terms.remaining.unwrap_or(route.timeout());
        // A caller that has less time than its route gives has waited for the rest already.
        let overdue = route.timeout().saturating_sub(remaining) > route.objective();
        let within_share = is_within_share(&shared, organisation.as_ref(), cost, overdue);
        let regions = grant.holder.iter().map(|holder| holder.regions.clone());
        let place = PlacementRequest {
            service: service.clone(),
            affinity: affinity.filter(|_| route.affinity),
            work: terms
                .model_usage
                .as_ref()
                .map_or(1, |model| model.prompt_tokens),
            cost,
            objective: route.objective(),
            regions: regions.chain([route.regions.clone()]).collect(),
            tried: Vec::new(),
        };
        let caller_limit = arrived + remaining;
        Ok(Self {
            limit: caller_limit.min(arrived + route.timeout()),
            caller_limit,
            organisation,
            within_share,
            shared,
            terms,
            route,
            service,
            place,
            arrived,
            sends: 0,
            may_have_run: false,
            plan: grant.plan,
            waited: Duration::ZERO,
        })
    }

    /// Refuses a request beyond the share of its organisation, before its body is read.
    pub(crate) fn check_share(&self) -> Result<(), Refusal> {
        match self.within_share {
            true => Ok(()),
            false => Err(self.beyond_share()),
        }
    }

    /// Sends the request until it is answered or nothing more may be tried.
    pub(crate) async fn run(mut self, request: CallerRequest) -> Result<ForwardAnswer, Refusal> {
        self.note_request();
        // A target's own failure is passed on if no other target answers.
        let mut faulty = None;
        let refusal = loop {
            let place = match self.wait().await {
                Ok(place) => place,
                Err(refusal) => break refusal,
            };
            let end = self.send(&request, place).await;
            let (reason, may_have_run) = match end {
                SendEnd::Answer(answer) => {
                    self.log_answer();
                    return Ok(answer);
                }
                SendEnd::Faulty(head, body) => {
                    self.sends += 1;
                    self.may_have_run = true;
                    if !self.may_repeat() {
                        return Ok(ForwardAnswer::Whole(head, body));
                    }
                    faulty = Some((head, body));
                    continue;
                }
                SendEnd::NotSent(reason) => (reason, false),
                SendEnd::NotRun(reason) => {
                    self.sends += 1;
                    (reason, false)
                }
                SendEnd::Unknown(reason) => {
                    self.sends += 1;
                    (reason, true)
                }
            };
            self.may_have_run |= may_have_run;
            event!(
                events::RELAY_SEND_FAILED,
                request = self.terms.attempt_id,
                route = self.route.name,
                target = self.last_target(),
                may_have_run = may_have_run,
                sends = self.sends,
                reason = reason
            );
            let allowed = !may_have_run || self.route.repeat.is_repeatable();
            if !allowed || !self.may_repeat() {
                break self.failure(&reason);
            }
        };
        match faulty {
            Some((head, body)) => Ok(ForwardAnswer::Whole(head, body)),
            None => Err(refusal),
        }
    }

    /// Logs which target answers, and how long the request waited here and there.
    fn log_answer(&self) {
        let organisation = self.organisation.as_ref();
        let metrics = &self.shared.metrics;
        let _ = metrics.time("first-byte", self.arrived.elapsed());
        let _ = metrics.time("wait", self.waited);
        event!(
            events::RELAY_ANSWERED,
            request = self.terms.attempt_id,
            route = self.route.name,
            plan = self.plan,
            organisation = organisation.map_or("", OrganisationName::as_str),
            target = self.last_target(),
            sends = self.sends + 1,
            waited_ms = self.waited.as_millis(),
            first_byte_ms = self.arrived.elapsed().as_millis()
        );
    }

    fn last_target(&self) -> String {
        let last = self.place.tried.last();
        last.map(NodeName::to_string).unwrap_or_default()
    }

    fn flow(&self) -> FlowKey {
        let none = || OrganisationName::from("");
        FlowKey {
            organisation: self.organisation.clone().unwrap_or_else(none),
            service: self.service.clone(),
        }
    }

    fn note_request(&self) {
        let now = self.shared.now();
        let settings = &self.shared.settings;
        self.shared
            .board
            .write_quietly(|state| state.budget(&self.service, settings).record_request(now));
    }

    /// Waits for a place at a target.
    async fn wait(&mut self) -> Result<HeldPlace, Refusal> {
        let limit = self
            .limit
            .min(Instant::now() + self.route.objective() / WAIT_PART);
        let flow = self.flow();
        let span = info_span!("relay.wait", request = self.terms.attempt_id.as_str());
        let taking = take_place(&self.shared, &flow, self.place.clone(), limit);
        match taking.instrument(span).await {
            Ok(place) => Ok(place),
            Err(reason) if !self.may_have_run => Err(self.no_place(reason)),
            Err(_) => Err(self.failure("there is no other target")),
        }
    }

    fn beyond_share(&self) -> Refusal {
        let message = "Failed to accept the request: its organisation asks more than its share of \
                       what the targets can serve in time";
        let left = self.caller_limit.saturating_duration_since(Instant::now());
        Refusal::not_run(429, "over-share", message).retry_after(left / RETURN_PART)
    }

    fn no_place(&self, reason: NoPlace) -> Refusal {
        let message = match reason {
            NoPlace::Nowhere => format!("service {} has no live target", self.service),
            NoPlace::Full => format!("all targets of service {} are full", self.service),
        };
        let message = format!("Failed to find a target: {message}");
        Refusal::not_run(503, "no-target", message).retry_after(RETRY_AFTER)
    }

    /// Sends the request to one target.
    async fn send(&mut self, request: &CallerRequest, place: HeldPlace) -> SendEnd {
        let Some(target) = self.shared.target(place.run) else {
            return SendEnd::NotSent("the target is gone".into());
        };
        let name = target.name.clone();
        self.waited = self.arrived.elapsed();
        self.place.tried.push(name.clone());
        let span = info_span!(
            "relay.send",
            request = self.terms.attempt_id.as_str(),
            target = name.as_str()
        );
        let sending = self.exchange(request, &target, place);
        let limit = self.limit;
        match tokio::time::timeout_at(limit, sending.instrument(span)).await {
            Ok(end) => end,
            Err(_) => SendEnd::Unknown("no answer before the deadline".into()),
        }
    }

    async fn exchange(
        &self,
        request: &CallerRequest,
        target: &ListedTarget,
        place: HeldPlace,
    ) -> SendEnd {
        let connection = match self.shared.pool.connect(target.address).await {
            Ok(connection) => connection,
            Err(error) => {
                place.failed();
                return SendEnd::NotSent(error.to_string());
            }
        };
        let terms = ForwardMetadata {
            target: &target.name,
            organisation: self.organisation.as_ref(),
            remaining: self.caller_limit.saturating_duration_since(Instant::now()),
        };
        let dialect = self.shared.dialect.as_ref();
        let attempt = &self.terms.attempt_id;
        let pool = &self.shared.pool;
        let started = exchange(pool, dialect, connection, request, attempt, &terms).await;
        match started {
            Ok(ExchangeStart::Answer(answer)) => self.read(answer, place).await,
            Ok(ExchangeStart::NotRun(status)) => {
                SendEnd::NotRun(format!("the target refused with status {status}"))
            }
            Ok(ExchangeStart::Unsound(reason)) => SendEnd::Unknown(reason),
            Err(ExchangeError::NotSent(reason)) => SendEnd::NotSent(reason),
            Err(ExchangeError::Broken(reason)) => SendEnd::Unknown(reason),
        }
    }

    /// Reads a whole answer, or the first bytes of a stream.
    async fn read(&self, mut answer: OpenAnswer, place: HeldPlace) -> SendEnd {
        let is_good = answer.head.status.is_success();
        if self.route.repeat.is_stream() && is_good {
            let first = match answer.next().await {
                Some(Ok(bytes)) => Some(bytes),
                Some(Err(reason)) => return SendEnd::Unknown(reason),
                None => None,
            };
            place.answered();
            return SendEnd::Answer(ForwardAnswer::Stream(Box::new(StreamAnswer {
                answer,
                first,
                _place: place,
                limit: self.caller_limit,
                attempt: self.terms.attempt_id.clone(),
            })));
        }
        place.answered();
        match answer.whole().await {
            Ok((head, body))
                if head.status.is_server_error() && self.route.repeat.is_repeatable() =>
            {
                SendEnd::Faulty(head, body)
            }
            Ok((head, body)) => SendEnd::Answer(ForwardAnswer::Whole(head, body)),
            Err(reason) => SendEnd::Unknown(reason),
        }
    }

    /// Whether another target may get the request: the route, the retry budget and the time allow.
    fn may_repeat(&self) -> bool {
        let now = self.shared.now();
        let settings = &self.shared.settings;
        let may_send = self.sends < self.route.max_targets && Instant::now() < self.limit;
        let is_first = self.sends == 0;
        may_send
            && (is_first
                || self
                    .shared
                    .board
                    .write_quietly(|state| state.budget(&self.service, settings).try_retry(now)))
    }

    /// The failure that the caller is told. Only what certainly has not run says so.
    fn failure(&self, reason: &str) -> Refusal {
        let waited = self.arrived.elapsed().as_millis();
        if !self.may_have_run {
            let message = format!("Failed to run the request after {waited} ms: {reason}");
            return Refusal::not_run(503, "not-run", message).retry_after(RETRY_AFTER);
        }
        let status = match Instant::now() >= self.limit {
            true => StatusCode::GATEWAY_TIMEOUT,
            false => StatusCode::BAD_GATEWAY,
        };
        let message = format!("Failed to get an answer after {waited} ms: {reason}");
        Refusal::unknown(status.as_u16(), "target-lost", message)
    }
}

fn model_cost(model: &ModelUsage) -> CostUnits {
    CostUnits(model.prompt_tokens + OUTPUT_COST * model.max_output_tokens)
}

/// Notes what an organisation asks of the model engines, and tells whether it is within its share.
fn is_within_share(
    shared: &RelayShared,
    organisation: Option<&OrganisationName>,
    cost: Option<CostUnits>,
    overdue: bool,
) -> bool {
    let (Some(organisation), Some(cost)) = (organisation, cost) else {
        return true;
    };
    let flow = FlowId::of(&FlowKey {
        organisation: organisation.clone(),
        service: model_pool(),
    });
    let now = shared.now();
    shared
        .board
        .write_quietly(|state| state.gate.admit(flow, FlowWeight::UNIT, cost, overdue, now))
}
