//! Execution of calls that may not be repeated, following the steps of a [`CallFlow`].

use std::time::Duration;

use client::LEASE_TIME;
use tokio::time::Instant;
use tracing::{Instrument, info_span};
use units::{IdempotencyKey, NodeName, RequestId};
use wire::{BeginCall, CallKey, CallOutcome, EndCall, FailureCode, RunStatus, StoredResponse};

use crate::call_flow::{CallAttempt, CallFlow, CallStep, CallVerdict};
use crate::refusal::Refusal;
use crate::run::{RunBegin, RunJob, RunResult, query_run, run};
use crate::serve::{AttemptEnd, OpenRequest, RETRY_AFTER, SlotGrant, release_slot, run_in_slot};
use crate::sink::{ResponsePart, ResponseSink};
use crate::state::EntryShared;

/// Time after the deadline for which the entry still waits for a call that may not be repeated, so
/// that its outcome can be recorded. The agent continues the call for the same time.
pub(crate) const CALL_GRACE_PERIOD: Duration = Duration::from_secs(30);

/// Delay before the agent of another attempt is queried. A query bars an attempt that its entry has
/// not started yet. This is safe, but the caller of the barred attempt must send its call again.
const QUERY_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of attempts to record an outcome.
const MAX_RECORD_ATTEMPTS: u32 = 4;

/// Delay between two attempts to record an outcome.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Runs a call that may not be repeated in the granted slot, and releases the slot if the call does
/// not start.
pub(crate) async fn run_call(
    shared: &EntryShared,
    request: &OpenRequest,
    key: &IdempotencyKey,
    grant: SlotGrant,
    sink: &mut ResponseSink,
) -> AttemptEnd {
    let mut driver = CallDriver {
        shared,
        request,
        call_key: CallKey {
            organisation: request.checked.flow.organisation.clone(),
            service: request.checked.flow.service.clone(),
            key: key.clone(),
        },
        grant,
        sink,
        failure: None,
        has_started: false,
    };
    let verdict = driver.drive().await;
    if !driver.has_started {
        release_slot(shared, &driver.grant);
    }
    driver.respond(verdict).await
}

struct CallDriver<'a> {
    shared: &'a EntryShared,
    request: &'a OpenRequest,
    call_key: CallKey,
    grant: SlotGrant,
    sink: &'a mut ResponseSink,
    failure: Option<(RunStatus, FailureCode, String)>,
    has_started: bool,
}

impl CallDriver<'_> {
    async fn drive(&mut self) -> CallVerdict {
        let mut call = CallFlow::new(self.grant.request);
        let mut step = CallStep::Begin;
        loop {
            step = match step {
                CallStep::Begin => call.handle_begin(self.record_begin().await),
                CallStep::Start => {
                    let status = self.run_attempt().await;
                    let is_complete = self.failure.is_none();
                    call.handle_run_end(
                        status,
                        self.sink.recorded_response().filter(|_| is_complete),
                    )
                }
                CallStep::Query(attempt) => call.handle_query(self.query_attempt(&attempt).await),
                CallStep::Fetch(attempt) => call.handle_fetch(self.fetch_response(&attempt).await),
                CallStep::End { request, outcome } => {
                    call.handle_end(self.record_outcome(request, outcome).await)
                }
                CallStep::Done(verdict) => return verdict,
            };
        }
    }

    async fn record_begin(&self) -> Option<wire::BeginOutcome> {
        let span = info_span!("entry.control-call");
        let begin = BeginCall {
            call: self.call_key.clone(),
            body_hash: self.request.checked.body_hash(),
            request: self.grant.request,
            agent: self.grant.agent.clone(),
            incarnation: self.grant.incarnation,
        };
        self.shared.recorder.begin(begin).instrument(span).await
    }

    async fn run_attempt(&mut self) -> RunStatus {
        self.has_started = true;
        let result = run_in_slot(self.shared, self.request, &self.grant, self.sink).await;
        let status = result.status();
        match result {
            // The response ends before the outcome is recorded, so that the caller does not wait
            // for control.
            RunResult::Complete => self.sink.finish().await,
            RunResult::Failed { code, message, .. } => {
                self.failure = Some((status, code, message));
            }
        }
        status
    }

    async fn query_attempt(&self, attempt: &CallAttempt) -> Option<RunStatus> {
        tokio::time::sleep(QUERY_DELAY).await;
        let status = query_run(
            self.shared,
            &attempt.agent,
            attempt.incarnation,
            attempt.request,
        )
        .await;
        status.or_else(|| self.is_lost(attempt).then_some(RunStatus::Unknown))
    }

    /// Whether the agent of an attempt has been missing from the directory for longer than the
    /// attempt can run, so that its outcome can no longer be learned.
    fn is_lost(&self, attempt: &CallAttempt) -> bool {
        let shared = self.shared;
        let now = shared.now();
        let max_run_time = LEASE_TIME + shared.settings.limits.request_timeout + CALL_GRACE_PERIOD;
        shared.board.write_quietly(|state| {
            shared.view.read(|view| {
                if !view.has_lease(now) {
                    state.lost_agents.clear();
                    return false;
                }
                let is_listed = |name: &NodeName, incarnation| {
                    let node = view.directory.get(name);
                    node.is_some_and(|node| node.incarnation == incarnation)
                };
                state.lost_agents.retain_missing(is_listed);
                !is_listed(&attempt.agent, attempt.incarnation)
                    && state
                        .lost_agents
                        .record_missing(&attempt.agent, attempt.incarnation, now)
                        >= max_run_time
            })
        })
    }

    /// Fetches the response of another attempt from its agent.
    async fn fetch_response(&self, attempt: &CallAttempt) -> Option<StoredResponse> {
        let run_job = RunJob {
            agent: attempt.agent.clone(),
            incarnation: attempt.incarnation,
            begin: RunBegin::Attach(attempt.request),
            is_cancellable: false,
            deadline: Instant::now() + CALL_GRACE_PERIOD,
        };
        let (mut sink, mut parts) = ResponseSink::new();
        let drain_task = tokio::spawn(async move {
            while let Some(part) = parts.recv().await {
                if matches!(part, ResponsePart::End | ResponsePart::Refusal(_)) {
                    return;
                }
            }
        });
        let result = run(self.shared, run_job, &mut sink).await;
        drain_task.abort();
        match result {
            RunResult::Complete => sink.recorded_response(),
            RunResult::Failed { .. } => None,
        }
    }

    async fn record_outcome(&self, request: RequestId, outcome: CallOutcome) -> bool {
        let span = info_span!("entry.control-call");
        let end = EndCall {
            call: self.call_key.clone(),
            request,
            outcome,
        };
        async {
            for attempt in 0..MAX_RECORD_ATTEMPTS {
                if attempt > 0 {
                    tokio::time::sleep(RECORD_RETRY_DELAY).await;
                }
                if self.shared.recorder.end(end.clone()).await {
                    return true;
                }
            }
            telemetry::event!(telemetry::events::ENTRY_CALL_UNRECORDED, request = request);
            false
        }
        .instrument(span)
        .await
    }

    async fn respond(&mut self, verdict: CallVerdict) -> AttemptEnd {
        let refusal = match verdict {
            CallVerdict::Answered | CallVerdict::NotRun | CallVerdict::Unknown => {
                return self.attempt_end();
            }
            CallVerdict::Recorded(Some(response)) => {
                self.sink.replay(response).await;
                return AttemptEnd::Answered;
            }
            CallVerdict::Recorded(None) => Refusal::ran(
                409,
                "already-ran",
                "The call ran before; its response was not kept",
            ),
            CallVerdict::InProgress => Refusal::unknown(
                409,
                "in-progress",
                "Another attempt of the call is in progress",
            )
            .retry_after(RETRY_AFTER),
            CallVerdict::EarlierUnknown => Refusal::unknown(
                409,
                "unknown",
                "An earlier attempt of the call may have run",
            ),
            CallVerdict::Mismatch => Refusal::not_run(
                422,
                "key-reused",
                "Failed to accept the call: the Idempotency-Key was used for another request",
            ),
            CallVerdict::Full => Refusal::not_run(
                503,
                "records-full",
                "Failed to accept the call: the bound on call records is reached",
            )
            .retry_after(RETRY_AFTER),
            CallVerdict::NoRecord => Refusal::not_run(
                503,
                "no-quorum",
                "Failed to accept the call: control did not confirm its record",
            )
            .retry_after(RETRY_AFTER),
        };
        AttemptEnd::Refused(refusal)
    }

    /// Result of this attempt. The response of a call that ran may still be incomplete.
    fn attempt_end(&mut self) -> AttemptEnd {
        match self.failure.take() {
            None => AttemptEnd::Answered,
            Some((status, code, message)) => AttemptEnd::Failed {
                status,
                code,
                message,
            },
        }
    }
}
