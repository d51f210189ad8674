//! Processing of one request: waits for a slot, runs the request and retries failed attempts.

use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use client::LEASE_TIME;
use offers::WaitingRequest;
use telemetry::TraceContext;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::{Instrument, Span, info_span};
use units::{FlowWeight, Incarnation, NodeName, RequestId};
use wire::{EntryMessage, FailureCode, RequestOffer, RequestTrait, RunStart, RunStatus};

use crate::calls;
use crate::crashes::{check_quarantine, is_suspected, record_crash, record_success};
use crate::links::acquire_link;
use crate::refusal::Refusal;
use crate::request::CheckedRequest;
use crate::run::{RunBegin, RunJob, RunResult, run};
use crate::sink::ResponseSink;
use crate::state::{EntryShared, WaitEvent, WaitingCaller};

/// Maximum number of retries of a request whose run failed.
const MAX_RETRIES: u32 = 2;

/// Maximum number of times that a request is queued again because the agent gave up its claim. Such
/// an attempt puts no load on a target.
const MAX_REQUEUES: u32 = 8;

/// Time after which a refused caller is asked to retry.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request that was accepted and has no complete response yet.
pub(crate) struct OpenRequest {
    pub(crate) checked: CheckedRequest,
    pub(crate) weight: FlowWeight,
    pub(crate) max_waiting: u32,
    pub(crate) deadline: Instant,
    pub(crate) body: Arc<Vec<u8>>,
    /// Trait that it shares with its repetitions.
    pub(crate) content: RequestTrait,
    /// `traceparent` header of the caller.
    pub(crate) traceparent: Option<String>,
}

/// Slot that an agent has reserved for a request.
#[derive(Debug, Clone)]
pub(crate) struct SlotGrant {
    pub(crate) agent: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) request: RequestId,
    /// Whether an earlier attempt of the request may have run at another target.
    pub(crate) is_retry: bool,
}

/// Result of one attempt to run a request.
pub(crate) enum AttemptEnd {
    /// The response was sent to the caller.
    Answered,
    /// The attempt failed.
    Failed {
        status: RunStatus,
        code: FailureCode,
        message: String,
    },
    /// The request must be refused.
    Refused(Refusal),
}

impl OpenRequest {
    fn remaining_time(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Creates the run of the request in the granted slot.
    pub(crate) fn run_job(&self, grant: &SlotGrant) -> RunJob {
        let repeatable = self.checked.idempotency_key.is_none();
        let start = RunStart {
            request: grant.request,
            flow: self.checked.flow.clone(),
            repeatable,
            cost_estimate: self.checked.cost_estimate,
            deadline_ms: self.remaining_time().as_millis() as u64,
            trace: TraceContext::of(&Span::current())
                .map(|context| context.to_string())
                .or_else(|| self.traceparent.clone()),
            head: self.checked.head.clone(),
            body_size: self.body.len() as u64,
        };
        // The agent continues a call past its deadline so that its outcome is learned.
        let deadline = if repeatable {
            self.deadline
        } else {
            self.deadline + calls::CALL_GRACE_PERIOD
        };
        RunJob {
            agent: grant.agent.clone(),
            incarnation: grant.incarnation,
            begin: RunBegin::Start(Box::new(start), self.body.clone()),
            is_cancellable: repeatable,
            deadline,
        }
    }
}

/// Serves a request until its response is complete or its caller has disconnected.
pub(crate) async fn serve(shared: EntryShared, request: OpenRequest, mut sink: ResponseSink) {
    let flow = request.checked.flow.clone();
    let now = shared.now();
    shared.board.write(|state| {
        state.open_requests += 1;
        state.retry_budget.record_request(&flow, now);
    });
    let open_guard = OpenGuard { shared: &shared };
    match run_attempts(&shared, &request, &mut sink).await {
        AttemptEnd::Answered => {}
        AttemptEnd::Refused(refusal) => sink.send_refusal(refusal).await,
        AttemptEnd::Failed {
            status,
            code,
            message,
        } => {
            // A run that was cancelled because its caller disconnected is not a fault.
            if code != FailureCode::Cancelled {
                telemetry::event!(
                    telemetry::events::ENTRY_RUN_FAILED,
                    code = ?code,
                    status = ?status,
                    reason = message
                );
            }
            sink.send_refusal(Refusal::from_run(status, code, &message))
                .await;
        }
    }
    drop(open_guard);
}

/// Counts a request as open until it is dropped.
struct OpenGuard<'a> {
    shared: &'a EntryShared,
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.shared.board.write(|state| state.open_requests -= 1);
    }
}

async fn run_attempts(
    shared: &EntryShared,
    request: &OpenRequest,
    sink: &mut ResponseSink,
) -> AttemptEnd {
    let mut counts = AttemptCounts::default();
    // Failure of the last attempt that may have run. A later attempt that does not run cannot tell
    // the outcome of the request.
    let mut unknown_end = None;
    loop {
        let is_retry = unknown_end.is_some();
        let end = run_attempt(shared, request, sink, is_retry).await;
        let (status, code) = match &end {
            AttemptEnd::Answered => return end,
            AttemptEnd::Refused(_) => return unknown_end.unwrap_or(end),
            AttemptEnd::Failed { status, code, .. } => (*status, *code),
        };
        let has_lost_claim = status == RunStatus::NotRun
            && matches!(code, FailureCode::NotClaimed | FailureCode::NotServing);
        let is_repeated = !sink.is_closed()
            && may_repeat(shared, request, sink, status, code)
            && counts.try_count(shared, request, has_lost_claim);
        match (status, is_repeated) {
            (RunStatus::NotRun, true) => {}
            (RunStatus::NotRun, false) => return unknown_end.unwrap_or(end),
            (_, true) => unknown_end = Some(end),
            (_, false) => return end,
        }
        sink.reset();
    }
}

/// Further attempts of a request.
#[derive(Default)]
struct AttemptCounts {
    retries: u32,
    requeues: u32,
}

impl AttemptCounts {
    /// Counts another attempt, or returns false if the limits do not allow it.
    fn try_count(
        &mut self,
        shared: &EntryShared,
        request: &OpenRequest,
        has_lost_claim: bool,
    ) -> bool {
        if has_lost_claim && self.requeues < MAX_REQUEUES {
            self.requeues += 1;
            return true;
        }
        let is_allowed = self.retries < MAX_RETRIES && try_retry(shared, request);
        self.retries += u32::from(is_allowed);
        is_allowed
    }
}

/// Whether another attempt may follow a failed one.
fn may_repeat(
    shared: &EntryShared,
    request: &OpenRequest,
    sink: &ResponseSink,
    status: RunStatus,
    code: FailureCode,
) -> bool {
    let is_final_code = matches!(
        code,
        FailureCode::DeadlinePassed | FailureCode::Cancelled | FailureCode::BadMessage
    );
    let is_repeatable = request.checked.idempotency_key.is_none() && !is_suspected(shared, request);
    !is_final_code && !sink.has_sent_head() && (is_repeatable || status == RunStatus::NotRun)
}

fn try_retry(shared: &EntryShared, request: &OpenRequest) -> bool {
    let now = shared.now();
    shared
        .board
        .write_quietly(|state| state.retry_budget.try_retry(&request.checked.flow, now))
}

async fn run_attempt(
    shared: &EntryShared,
    request: &OpenRequest,
    sink: &mut ResponseSink,
    is_retry: bool,
) -> AttemptEnd {
    let is_trial = match check_quarantine(shared, request) {
        Ok(is_trial) => is_trial,
        Err(refusal) => return AttemptEnd::Refused(refusal),
    };
    let queued_at = Instant::now();
    let waiting = wait_for_slot(shared, request, sink);
    let span = info_span!("entry.offer-wait");
    let mut grant = match waiting.instrument(span).await {
        Ok(grant) => grant,
        Err(end) => return end,
    };
    grant.is_retry = is_retry;
    let _ = shared.metrics.time("offer-wait", queued_at.elapsed());
    // The quarantine may have begun during the wait.
    if !is_trial && let Err(refusal) = check_quarantine(shared, request) {
        release_slot(shared, &grant);
        return AttemptEnd::Refused(refusal);
    }
    if let Some(key) = &request.checked.idempotency_key {
        return calls::run_call(shared, request, key, grant, sink).await;
    }
    match run_in_slot(shared, request, &grant, sink).await {
        RunResult::Complete => {
            sink.finish().await;
            AttemptEnd::Answered
        }
        RunResult::Failed {
            status,
            code,
            message,
        } => AttemptEnd::Failed {
            status,
            code,
            message,
        },
    }
}

/// Runs a request in its slot, and records what the end of the run tells about the request.
pub(crate) async fn run_in_slot(
    shared: &EntryShared,
    request: &OpenRequest,
    grant: &SlotGrant,
    sink: &mut ResponseSink,
) -> RunResult {
    let started_at = shared.now();
    let span = info_span!("entry.run");
    let run_job = request.run_job(grant);
    let result = run(shared, run_job, sink).instrument(span).await;
    match &result {
        RunResult::Complete if sink.has_success() => record_success(shared, request),
        RunResult::Failed {
            code: FailureCode::TargetCrashed(target),
            ..
        } => record_crash(shared, request, grant, *target, started_at),
        RunResult::Complete | RunResult::Failed { .. } => {}
    }
    result
}

/// Queues a request and waits until an agent has reserved a slot for it.
async fn wait_for_slot(
    shared: &EntryShared,
    request: &OpenRequest,
    sink: &ResponseSink,
) -> Result<SlotGrant, AttemptEnd> {
    let id = RequestId(rand::random());
    let (sender, wait_event) = oneshot::channel();
    enqueue(shared, request, id, sender).map_err(AttemptEnd::Refused)?;
    let wait_guard = WaitGuard { shared, id };
    let event = tokio::select! {
        // A grant that has already arrived must be used or released.
        biased;
        event = wait_event => event,
        () = sink.closed() => {
            return Err(AttemptEnd::Refused(Refusal::not_run(
                499,
                "cancelled",
                "the caller is gone",
            )));
        }
        () = wait_for_lease_loss(shared) => {
            let message = "Failed to find a target: the entry lost its lease while the request waited";
            let refusal = Refusal::not_run(503, "not-serving", message);
            return Err(AttemptEnd::Refused(refusal.retry_after(RETRY_AFTER)));
        }
    };
    drop(wait_guard);
    let agent = match event {
        Ok(WaitEvent::Granted(agent)) => agent,
        Ok(WaitEvent::NoTarget) => {
            let service = &request.checked.flow.service;
            let message = format!("Failed to find a target: service {service} has no live target");
            let refusal = Refusal::not_run(503, "no-target", message);
            return Err(AttemptEnd::Refused(refusal.retry_after(RETRY_AFTER)));
        }
        Ok(WaitEvent::Expired) | Err(_) => {
            let message = "Failed to find a free target before the deadline";
            let refusal = Refusal::not_run(504, "deadline-passed", message);
            return Err(AttemptEnd::Refused(refusal.retry_after(RETRY_AFTER)));
        }
    };
    let connection = acquire_link(shared, &agent).connection.borrow().clone();
    match connection {
        Some(connection) => Ok(SlotGrant {
            agent,
            incarnation: connection.incarnation,
            request: id,
            is_retry: false,
        }),
        None => Err(AttemptEnd::Failed {
            status: RunStatus::NotRun,
            code: FailureCode::NotClaimed,
            message: "the connection to the agent was lost before the start".into(),
        }),
    }
}

/// Waits until the entry has no lease. It then knows neither the current configuration nor the
/// agents, and another entry may still find a target for the request.
async fn wait_for_lease_loss(shared: &EntryShared) {
    loop {
        let now = shared.now();
        let remaining = shared.view.read(|view| view.lease_end.since(now));
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(LEASE_TIME)).await;
    }
}

fn enqueue(
    shared: &EntryShared,
    request: &OpenRequest,
    id: RequestId,
    sender: oneshot::Sender<WaitEvent>,
) -> Result<(), Refusal> {
    let now = shared.now();
    let flow = request.checked.flow.clone();
    shared.board.write(|state| {
        let offer = RequestOffer {
            request: id,
            flow,
            weight: request.weight,
            cost_estimate: request.checked.cost_estimate,
            prefix: request.checked.prefix,
            waited_ms: 0,
        };
        let waiting_request = WaitingRequest {
            offer,
            deadline: now + request.remaining_time(),
            max_waiting: request.max_waiting,
        };
        let actions = state
            .book
            .enqueue(waiting_request, now)
            .map_err(|error| Refusal::not_run(429, "queue-full", error).retry_after(RETRY_AFTER))?;
        let service = request.checked.flow.service.clone();
        state
            .waiting_callers
            .insert(id, WaitingCaller::new(service, sender));
        state.perform_actions(actions);
        Ok(())
    })
}

/// Removes a request from the offer book when its wait ends.
struct WaitGuard<'a> {
    shared: &'a EntryShared,
    id: RequestId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.shared.board.write(|state| {
            state.waiting_callers.remove(&self.id);
            let actions = state.book.cancel(self.id);
            state.perform_actions(actions);
        });
    }
}

/// Releases a slot that is not used.
pub(crate) fn release_slot(shared: &EntryShared, grant: &SlotGrant) {
    shared.board.write(|state| {
        state.send_message(&grant.agent, EntryMessage::Withdraw(grant.request));
    });
}
