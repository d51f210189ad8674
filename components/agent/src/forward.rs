//! Forwards a started request to the target and collects the response.

use std::time::Duration;

use cadence::prelude::*;
use futures_util::StreamExt;
use limits::RunSample;
use telemetry::TraceContext;
use tracing::{Instrument, Span, info_span};
use units::{ClockTime, CostUnits, Incarnation, RequestId};
use wire::{FailureCode, RunStart, RunStatus};

use crate::meter::{CostMeter, is_event_stream, meter_for};
use crate::run::{AgentRun, RunEnd, RunFailure};
use crate::settings::TargetKind;
use crate::state::AgentShared;
use crate::target::{TargetError, TargetRequest, TargetResponse};

/// Maximum size of a response chunk.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Time after the deadline for which a call that may not be repeated continues, so that its outcome
/// can be recorded. The entry waits for the same time.
const CALL_GRACE_PERIOD: Duration = Duration::from_secs(30);

/// HTTP statuses with which a model engine refuses a request because it is at its capacity or still
/// loading.
const BUSY_STATUSES: [u16; 2] = [429, 503];

/// Forwards a started request to the target, and records how the run ended.
pub(crate) async fn run_request(
    shared: AgentShared,
    run: AgentRun,
    start: RunStart,
    body: Vec<u8>,
) {
    let id = start.request;
    let Some(running_count) = acquire_slot(&shared, &run, &start) else {
        return;
    };
    let target_incarnation = shared.board.read(|state| state.target_incarnation);
    let mut task = ForwardTask {
        shared: &shared,
        run: &run,
        id,
        running_count,
        target_incarnation,
        started_at: shared.now(),
        first_byte_latency: None,
        response_traits: ResponseTraits::default(),
    };
    let span = run_span(&start);
    let timeout = run_timeout(&start);
    let end = tokio::select! {
        end = task.run(start, body).instrument(span) => end,
        () = run.cancelled() => interrupted(FailureCode::Cancelled, "the run was cancelled"),
        () = tokio::time::sleep(timeout) => {
            interrupted(FailureCode::DeadlinePassed, "the deadline has passed")
        }
    };
    task.finish(end);
}

/// Takes a slot of the target and returns the number of running requests including this one.
///
/// Returns `None` if the limit has dropped since the claim and no slot is free. The run then ends
/// without being forwarded, and the entry queues the request again.
fn acquire_slot(shared: &AgentShared, run: &AgentRun, start: &RunStart) -> Option<u32> {
    let now = shared.now();
    let acquired = shared.board.write_quietly(|state| {
        if state.running_count < state.limit.limit().0 {
            state.running_count += 1;
            return Some(state.running_count);
        }
        state.seen.record_end(start.request, RunStatus::NotRun, now);
        let actions = state.table.finish(start.request, now);
        state.perform_actions(actions);
        None
    });
    if acquired.is_none() {
        let message = "the target's limit has dropped since the claim";
        let failure = RunFailure::not_run(FailureCode::NotClaimed, message);
        run.set_end(RunEnd::Failed(failure));
    }
    acquired
}

fn interrupted(code: FailureCode, message: &str) -> RunEnd {
    RunEnd::Failed(RunFailure::new(RunStatus::Unknown, code, message))
}

fn run_timeout(start: &RunStart) -> Duration {
    let deadline = Duration::from_millis(start.deadline_ms);
    if start.repeatable {
        deadline
    } else {
        deadline + CALL_GRACE_PERIOD
    }
}

fn run_span(start: &RunStart) -> Span {
    match start.trace.as_deref() {
        Some(trace) => info_span!(parent: None, "agent.run", traceparent = trace),
        None => Span::none(),
    }
}

struct ForwardTask<'a> {
    shared: &'a AgentShared,
    run: &'a AgentRun,
    id: RequestId,
    running_count: u32,
    /// Process of the target to which the request is forwarded.
    target_incarnation: Incarnation,
    started_at: ClockTime,
    first_byte_latency: Option<Duration>,
    response_traits: ResponseTraits,
}

/// Properties of a response that determine how its latency is evaluated.
#[derive(Debug, Clone, Copy, Default)]
struct ResponseTraits {
    /// Whether the response is sent as a whole, after all its tokens have been produced.
    is_whole: bool,
    /// Whether the target processed the request. A rejected request takes almost no time; as a
    /// latency sample, it would make all others look slow.
    is_success: bool,
}

impl ForwardTask<'_> {
    async fn run(&mut self, start: RunStart, body: Vec<u8>) -> RunEnd {
        let span = info_span!("target.call");
        let trace = TraceContext::of(&span)
            .map(|context| context.to_string())
            .or(start.trace);
        let request = TargetRequest {
            head: start.head,
            body,
            is_repeatable: start.repeatable,
            trace,
        };
        let response = self.shared.target.send(request).instrument(span).await;
        match response {
            Ok(response) if self.is_busy(&response) => RunEnd::Failed(RunFailure::new(
                RunStatus::Unknown,
                FailureCode::TargetBusy,
                format!("the target refused with status {}", response.head.status),
            )),
            Ok(response) => self.read_response(response).await,
            Err(error) => RunEnd::Failed(self.target_failure(&error).await),
        }
    }

    async fn target_failure(&self, error: &TargetError) -> RunFailure {
        let code = match error {
            TargetError::Unreachable(_) => {
                return RunFailure::not_run(FailureCode::TargetUnreachable, error);
            }
            TargetError::BadRequest(_) => {
                return RunFailure::not_run(FailureCode::BadMessage, error);
            }
            TargetError::Lost(_) if self.has_crashed().await => {
                FailureCode::TargetCrashed(self.target_incarnation)
            }
            TargetError::Lost(_) => FailureCode::TargetLost,
        };
        RunFailure::new(RunStatus::Unknown, code, error)
    }

    /// Whether the target's process has ended unexpectedly. The target of a leaving agent may be
    /// stopped, too.
    async fn has_crashed(&self) -> bool {
        let is_leaving = self.shared.board.read(|state| state.is_leaving);
        !is_leaving && self.shared.target.has_ended().await
    }

    /// Whether a model engine refused the request because it is at its capacity.
    ///
    /// A status of 429 or 503 from a plain service is a response to the caller and is passed on.
    fn is_busy(&self, response: &TargetResponse) -> bool {
        self.shared.settings.kind == TargetKind::Model
            && BUSY_STATUSES.contains(&response.head.status)
    }

    async fn read_response(&mut self, response: TargetResponse) -> RunEnd {
        let TargetResponse { head, mut body } = response;
        let content_type = head
            .headers
            .iter()
            .find(|field| field.name == "content-type")
            .map(|field| String::from_utf8_lossy(&field.value).into_owned())
            .unwrap_or_default();
        let kind = self.shared.settings.kind;
        self.response_traits = ResponseTraits {
            is_whole: kind == TargetKind::Model && !is_event_stream(&content_type),
            is_success: (200..300).contains(&head.status),
        };
        let mut meter = meter_for(kind, &content_type);
        self.run.set_head(head);
        while let Some(part) = body.next().await {
            match part {
                Ok(bytes) => self.forward_bytes(&bytes, meter.as_mut()).await,
                Err(error) => return RunEnd::Failed(self.target_failure(&error).await),
            }
        }
        let cost = meter.finish();
        self.charge(cost);
        RunEnd::Complete(cost)
    }

    async fn forward_bytes(&mut self, bytes: &[u8], meter: &mut dyn CostMeter) {
        let started_at = self.started_at;
        let now = self.shared.now();
        self.first_byte_latency
            .get_or_insert_with(|| now.since(started_at));
        for chunk in bytes.chunks(MAX_CHUNK_BYTES) {
            let cost = meter.feed(chunk);
            self.charge(cost);
            self.run.push(chunk).await;
        }
    }

    fn charge(&self, cost: CostUnits) {
        let now = self.shared.now();
        self.shared
            .board
            .write_quietly(|state| state.table.charge(self.id, cost, now));
    }

    /// Frees the slot, adapts the limit and publishes the end of the run to its readers.
    fn finish(&self, end: RunEnd) {
        let now = self.shared.now();
        self.shared.board.write(|state| {
            state.running_count -= 1;
            state.seen.record_end(self.id, end.status(), now);
            self.adapt_limit(state, &end, now);
            if is_target_lost(&end) {
                state.mark_target_lost(now);
            }
            let actions = state.table.finish(self.id, now);
            state.perform_actions(actions);
            state.apply_limit(now);
        });
        let outcome = match &end {
            RunEnd::Complete(_) => "runs.complete",
            RunEnd::Failed(_) => "runs.failed",
        };
        let _ = self.shared.metrics.incr(outcome);
        if let RunEnd::Failed(failure) = &end {
            telemetry::event!(
                telemetry::events::AGENT_RUN_FAILED,
                request = self.id,
                code = ?failure.code,
                reason = failure.message
            );
        }
        self.run.set_end(end);
    }

    fn adapt_limit(&self, state: &mut crate::state::AgentState, end: &RunEnd, now: ClockTime) {
        match end {
            RunEnd::Complete(cost) => state.limit.record_run(self.sample(*cost, now), now),
            RunEnd::Failed(failure) => match failure.code {
                FailureCode::TargetUnreachable
                | FailureCode::TargetLost
                | FailureCode::TargetCrashed(_)
                | FailureCode::TargetBusy => state.limit.record_refusal(now),
                _ => {}
            },
        }
    }

    fn sample(&self, cost: CostUnits, now: ClockTime) -> RunSample {
        let tokens = if self.response_traits.is_whole {
            cost.0
        } else {
            1
        };
        RunSample {
            started_at: self.started_at,
            running: units::SlotCount(self.running_count),
            latency: self
                .first_byte_latency
                .unwrap_or_else(|| now.since(self.started_at)),
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            succeeded: self.response_traits.is_success,
        }
    }
}

/// Whether the target may be down. The agent then stops claiming requests at once, so that a retry
/// does not return to this target.
fn is_target_lost(end: &RunEnd) -> bool {
    let RunEnd::Failed(failure) = end else {
        return false;
    };
    matches!(
        failure.code,
        FailureCode::TargetUnreachable | FailureCode::TargetLost | FailureCode::TargetCrashed(_)
    )
}
