//! Drives the sequence of a call that may not be repeated.

use std::time::Duration;

use client::LEASE_TIME;
use tokio::time::Instant;
use tracing::{Instrument, info_span};
use units::{IdempotencyKey, NodeName, RequestId};
use wire::{BeginCall, CallKey, CallOutcome, EndCall, FailureCode, RunStatus, StoredResponse};

use crate::call_flow::{CallAttempt, CallFlow, CallStep, CallVerdict};
use crate::refusal::Refusal;
use crate::run::{RunBegin, RunJob, RunResult, query, run};
use crate::serve::{AttemptEnd, OpenRequest, RETRY_AFTER, SlotGrant, release_slot};
use crate::sink::{ResponsePart, ResponseSink};
use crate::state::EntryShared;

/// Time that an agent goes on with a call past its deadline.
pub(crate) const CALL_GRACE: Duration = Duration::from_secs(30);

/// Wait before another attempt's agent is asked. A question bars an attempt that its entry is just
/// about to start, which is harmless but makes that caller repeat.
const QUERY_DELAY: Duration = Duration::from_millis(300);

/// Attempts to record an outcome.
const MAX_ENDS: u32 = 4;

/// Pause between them.
const END_PAUSE: Duration = Duration::from_millis(500);

/// Runs a call that may not be repeated, in a slot.
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
        call: CallKey {
            organisation: request.checked.flow.organisation.clone(),
            service: request.checked.flow.service.clone(),
            key: key.clone(),
        },
        grant,
        sink,
        failure: None,
        started: false,
    };
    let verdict = driver.drive().await;
    if !driver.started {
        release_slot(shared, &driver.grant);
    }
    driver.answer(verdict).await
}

struct CallDriver<'a> {
    shared: &'a EntryShared,
    request: &'a OpenRequest,
    call: CallKey,
    grant: SlotGrant,
    sink: &'a mut ResponseSink,
    failure: Option<(RunStatus, FailureCode, String)>,
    started: bool,
}

impl CallDriver<'_> {
    async fn drive(&mut self) -> CallVerdict {
        let mut flow = CallFlow::new(self.grant.request);
        let mut step = CallStep::Begin;
        loop {
            step = match step {
                CallStep::Begin => flow.handle_begin(self.begin().await),
                CallStep::Start => {
                    let status = self.start().await;
                    let complete = self.failure.is_none();
                    flow.handle_run_end(status, self.sink.recorded().filter(|_| complete))
                }
                CallStep::Query(attempt) => flow.handle_query(self.query(&attempt).await),
                CallStep::Fetch(attempt) => flow.handle_fetch(self.fetch(&attempt).await),
                CallStep::End { request, outcome } => {
                    flow.handle_end(self.end(request, outcome).await)
                }
                CallStep::Done(verdict) => return verdict,
            };
        }
    }

    async fn begin(&self) -> Option<wire::BeginOutcome> {
        let span = info_span!("entry.control-call");
        let begin = BeginCall {
            call: self.call.clone(),
            body_hash: self.request.checked.body_hash(),
            request: self.grant.request,
            agent: self.grant.agent.clone(),
            incarnation: self.grant.incarnation,
        };
        self.shared.recorder.begin(begin).instrument(span).await
    }

    async fn start(&mut self) -> RunStatus {
        self.started = true;
        let span = info_span!("entry.run");
        let job = self.request.job(&self.grant);
        let result = run(self.shared, job, self.sink).instrument(span).await;
        let status = result.status();
        match result {
            // The end is sent before the outcome is recorded: the caller need not wait for it.
            RunResult::Complete => self.sink.end().await,
            RunResult::Failed { code, message, .. } => {
                self.failure = Some((status, code, message));
            }
        }
        status
    }

    async fn query(&self, attempt: &CallAttempt) -> Option<RunStatus> {
        tokio::time::sleep(QUERY_DELAY).await;
        let status = query(
            self.shared,
            &attempt.agent,
            attempt.incarnation,
            attempt.request,
        )
        .await;
        status.or_else(|| self.is_lost(attempt).then_some(RunStatus::Unknown))
    }

    /// Whether the attempt's agent has been missing for longer than the attempt can run, so that
    /// nobody will learn its outcome.
    fn is_lost(&self, attempt: &CallAttempt) -> bool {
        let shared = self.shared;
        let now = shared.now();
        let limit = LEASE_TIME + shared.settings.limits.request_timeout + CALL_GRACE;
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
                        .missing(&attempt.agent, attempt.incarnation, now)
                        >= limit
            })
        })
    }

    /// Reads the response of another attempt.
    async fn fetch(&self, attempt: &CallAttempt) -> Option<StoredResponse> {
        let job = RunJob {
            agent: attempt.agent.clone(),
            incarnation: attempt.incarnation,
            begin: RunBegin::Attach(attempt.request),
            stoppable: false,
            deadline: Instant::now() + CALL_GRACE,
        };
        let (mut sink, mut parts) = ResponseSink::new();
        let drain = tokio::spawn(async move {
            while let Some(part) = parts.recv().await {
                if matches!(part, ResponsePart::End | ResponsePart::Refusal(_)) {
                    return;
                }
            }
        });
        let result = run(self.shared, job, &mut sink).await;
        drain.abort();
        match result {
            RunResult::Complete => sink.recorded(),
            RunResult::Failed { .. } => None,
        }
    }

    async fn end(&self, request: RequestId, outcome: CallOutcome) -> bool {
        let span = info_span!("entry.control-call");
        let end = EndCall {
            call: self.call.clone(),
            request,
            outcome,
        };
        async {
            for attempt in 0..MAX_ENDS {
                if attempt > 0 {
                    tokio::time::sleep(END_PAUSE).await;
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

    async fn answer(&mut self, verdict: CallVerdict) -> AttemptEnd {
        let refusal = match verdict {
            CallVerdict::Answered | CallVerdict::NotRun | CallVerdict::Unknown => {
                return self.own_end();
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

    /// The end of the own run. A call that ran may still lack a part of its response.
    fn own_end(&mut self) -> AttemptEnd {
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
