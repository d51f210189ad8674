//! Way of one request: wait for a target, run, retry.

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
use wire::{EntryMessage, FailureCode, RequestOffer, RunStart, RunStatus};

use crate::calls;
use crate::links::use_link;
use crate::refusal::Refusal;
use crate::request::CheckedRequest;
use crate::run::{RunBegin, RunJob, RunResult, run};
use crate::sink::ResponseSink;
use crate::state::{EntryShared, WaitEvent, WaitingCaller};

/// Retries of a request whose run failed.
const MAX_RETRIES: u32 = 2;

/// Times that a request waits again because the agent gave up its claim, which loads no target.
const MAX_REQUEUES: u32 = 8;

/// Wait that a refused caller is asked for.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request on its way.
pub(crate) struct OpenRequest {
    pub(crate) checked: CheckedRequest,
    pub(crate) weight: FlowWeight,
    pub(crate) max_waiting: u32,
    pub(crate) deadline: Instant,
    pub(crate) body: Arc<Vec<u8>>,
    pub(crate) trace: Option<String>,
}

/// A slot at an agent.
#[derive(Debug, Clone)]
pub(crate) struct SlotGrant {
    pub(crate) agent: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) request: RequestId,
}

/// End of one attempt.
pub(crate) enum AttemptEnd {
    /// The caller has its answer.
    Answered,
    /// The attempt failed.
    Failed {
        status: RunStatus,
        code: FailureCode,
        message: String,
    },
    /// The request is refused.
    Refused(Refusal),
}

impl OpenRequest {
    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The run of the request in a slot.
    pub(crate) fn job(&self, grant: &SlotGrant) -> RunJob {
        let repeatable = self.checked.idempotency_key.is_none();
        let start = RunStart {
            request: grant.request,
            flow: self.checked.flow.clone(),
            repeatable,
            cost_estimate: self.checked.cost_estimate,
            deadline_ms: self.time_left().as_millis() as u64,
            trace: TraceContext::of(&Span::current())
                .map(|context| context.to_string())
                .or_else(|| self.trace.clone()),
            head: self.checked.head.clone(),
            body_size: self.body.len() as u64,
        };
        // The agent goes on with a call past its deadline so that its outcome is learned.
        let deadline = if repeatable {
            self.deadline
        } else {
            self.deadline + calls::CALL_GRACE
        };
        RunJob {
            agent: grant.agent.clone(),
            incarnation: grant.incarnation,
            begin: RunBegin::Start(Box::new(start), self.body.clone()),
            stoppable: repeatable,
            deadline,
        }
    }
}

/// Serves a request until its caller has an answer or is gone.
pub(crate) async fn serve(shared: EntryShared, request: OpenRequest, mut sink: ResponseSink) {
    let flow = request.checked.flow.clone();
    let now = shared.now();
    shared.board.write(|state| {
        state.open_requests += 1;
        state.retries.record_request(&flow, now);
    });
    let guard = OpenGuard { shared: &shared };
    match attempts(&shared, &request, &mut sink).await {
        AttemptEnd::Answered => {}
        AttemptEnd::Refused(refusal) => sink.refuse(refusal).await,
        AttemptEnd::Failed {
            status,
            code,
            message,
        } => {
            // A caller that went away needs no answer, and is no fault.
            if code != FailureCode::Cancelled {
                telemetry::event!(
                    telemetry::events::ENTRY_RUN_FAILED,
                    code = ?code,
                    status = ?status,
                    reason = message
                );
            }
            sink.refuse(Refusal::from_run(status, code, &message)).await;
        }
    }
    drop(guard);
}

/// Open request, until it is dropped.
struct OpenGuard<'a> {
    shared: &'a EntryShared,
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.shared.board.write(|state| state.open_requests -= 1);
    }
}

async fn attempts(
    shared: &EntryShared,
    request: &OpenRequest,
    sink: &mut ResponseSink,
) -> AttemptEnd {
    let (mut retries, mut requeues) = (0, 0);
    loop {
        let end = attempt(shared, request, sink).await;
        let AttemptEnd::Failed { status, code, .. } = &end else {
            return end;
        };
        let gave_up = *status == RunStatus::NotRun
            && matches!(code, FailureCode::NotClaimed | FailureCode::NotServing);
        if sink.is_closed() || !may_repeat(request, sink, *status, *code) {
            return end;
        }
        if gave_up && requeues < MAX_REQUEUES {
            requeues += 1;
        } else if retries < MAX_RETRIES && take_retry(shared, request) {
            retries += 1;
        } else {
            return end;
        }
        sink.reset();
    }
}

/// Whether a failed attempt may be followed by another.
fn may_repeat(
    request: &OpenRequest,
    sink: &ResponseSink,
    status: RunStatus,
    code: FailureCode,
) -> bool {
    let final_code = matches!(
        code,
        FailureCode::DeadlinePassed | FailureCode::Cancelled | FailureCode::BadMessage
    );
    let repeatable = request.checked.idempotency_key.is_none();
    !final_code && !sink.has_sent() && (repeatable || status == RunStatus::NotRun)
}

fn take_retry(shared: &EntryShared, request: &OpenRequest) -> bool {
    let now = shared.now();
    shared
        .board
        .write_quietly(|state| state.retries.try_retry(&request.checked.flow, now))
}

async fn attempt(
    shared: &EntryShared,
    request: &OpenRequest,
    sink: &mut ResponseSink,
) -> AttemptEnd {
    let begun = Instant::now();
    let waiting = wait_for_slot(shared, request, sink);
    let span = info_span!("entry.offer-wait");
    let grant = match waiting.instrument(span).await {
        Ok(grant) => grant,
        Err(end) => return end,
    };
    let _ = shared.metrics.time("offer-wait", begun.elapsed());
    if let Some(key) = &request.checked.idempotency_key {
        return calls::run_call(shared, request, key, grant, sink).await;
    }
    let span = info_span!("entry.run");
    let job = request.job(&grant);
    match run(shared, job, sink).instrument(span).await {
        RunResult::Complete => {
            sink.end().await;
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

/// Waits until an agent has reserved a slot.
async fn wait_for_slot(
    shared: &EntryShared,
    request: &OpenRequest,
    sink: &ResponseSink,
) -> Result<SlotGrant, AttemptEnd> {
    let id = RequestId(rand::random());
    let (sender, granted) = oneshot::channel();
    enqueue(shared, request, id, sender).map_err(AttemptEnd::Refused)?;
    let waiting = WaitGuard { shared, id };
    let event = tokio::select! {
        // A grant that is already there must be used or given back.
        biased;
        event = granted => event,
        () = sink.closed() => {
            return Err(AttemptEnd::Refused(Refusal::not_run(
                499,
                "cancelled",
                "the caller is gone",
            )));
        }
        () = lease_lost(shared) => {
            let message = "Failed to find a target: the entry lost its lease while the request waited";
            let refusal = Refusal::not_run(503, "not-serving", message);
            return Err(AttemptEnd::Refused(refusal.retry_after(RETRY_AFTER)));
        }
    };
    drop(waiting);
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
    let live = use_link(shared, &agent).live.borrow().clone();
    match live {
        Some(live) => Ok(SlotGrant {
            agent,
            incarnation: live.incarnation,
            request: id,
        }),
        None => Err(AttemptEnd::Failed {
            status: RunStatus::NotRun,
            code: FailureCode::NotClaimed,
            message: "the connection to the agent was lost before the start".into(),
        }),
    }
}

/// Waits until the entry has no lease. It then knows neither orders nor agents, and the request may
/// find a target through another entry.
async fn lease_lost(shared: &EntryShared) {
    loop {
        let now = shared.now();
        let left = shared.view.read(|view| view.lease_end.since(now));
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(LEASE_TIME)).await;
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
        let waiting = WaitingRequest {
            offer,
            deadline: now + request.time_left(),
            max_waiting: request.max_waiting,
        };
        let actions = state
            .book
            .enqueue(waiting, now)
            .map_err(|error| Refusal::not_run(429, "queue-full", error).retry_after(RETRY_AFTER))?;
        let service = request.checked.flow.service.clone();
        state
            .waiting
            .insert(id, WaitingCaller::new(service, sender));
        state.perform(actions);
        Ok(())
    })
}

/// Takes a request off the book when nobody waits for it any more.
struct WaitGuard<'a> {
    shared: &'a EntryShared,
    id: RequestId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.shared.board.write(|state| {
            state.waiting.remove(&self.id);
            let actions = state.book.cancel(self.id);
            state.perform(actions);
        });
    }
}

/// Gives a slot back that is not used.
pub(crate) fn release_slot(shared: &EntryShared, grant: &SlotGrant) {
    shared.board.write(|state| {
        state.send(&grant.agent, EntryMessage::Withdraw(grant.request));
    });
}
