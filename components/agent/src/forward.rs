//! Runs a request against the target.

use std::time::Duration;

use cadence::prelude::*;
use futures_util::StreamExt;
use limits::RunSample;
use telemetry::TraceContext;
use tracing::{Instrument, Span, info_span};
use units::{ClockTime, CostUnits, RequestId};
use wire::{FailureCode, RunStart, RunStatus};

use crate::meter::{CostMeter, is_event_stream, meter_for};
use crate::run::{AgentRun, RunEnd, RunFailure};
use crate::settings::TargetKind;
use crate::state::AgentShared;
use crate::target::{TargetError, TargetRequest, TargetResponse};

/// Largest chunk of a response.
const CHUNK_BYTES: usize = 64 << 10;

/// Time that a call that may not be repeated may run past its deadline, so that its outcome is
/// still learned.
const CALL_GRACE: Duration = Duration::from_secs(30);

/// HTTP statuses by which an engine refuses a request because it is full or still loading.
const BUSY_STATUSES: [u16; 2] = [429, 503];

/// Runs a request that the agent has started, and notes its end.
pub(crate) async fn run_request(
    shared: AgentShared,
    run: AgentRun,
    start: RunStart,
    body: Vec<u8>,
) {
    let id = start.request;
    let Some(running) = take_place(&shared, &run, &start) else {
        return;
    };
    let mut forward = Forward {
        shared: &shared,
        run: &run,
        id,
        running,
        begun: shared.now(),
        first_byte: None,
        answer: AnswerForm::default(),
    };
    let span = run_span(&start);
    let limit = time_limit(&start);
    let end = tokio::select! {
        end = forward.run(start, body).instrument(span) => end,
        () = run.cancelled() => stopped(FailureCode::Cancelled, "the run was cancelled"),
        () = tokio::time::sleep(limit) => {
            stopped(FailureCode::DeadlinePassed, "the deadline has passed")
        }
    };
    forward.finish(end);
}

/// Takes one of the target's places and returns how many are taken; none if the limit has dropped
/// since the claim was made. The run then ends without being forwarded, and its entry queues it again.
fn take_place(shared: &AgentShared, run: &AgentRun, start: &RunStart) -> Option<u32> {
    let now = shared.now();
    let place = shared.board.write_quietly(|state| {
        if state.running < state.limit.limit().0 {
            state.running += 1;
            return Some(state.running);
        }
        state.seen.record_end(start.request, RunStatus::NotRun, now);
        let actions = state.table.finish(start.request, now);
        state.perform(actions);
        None
    });
    if place.is_none() {
        let message = "the target's limit has dropped since the claim";
        let failure = RunFailure::not_run(FailureCode::NotClaimed, message);
        run.set_end(RunEnd::Failed(failure));
    }
    place
}

fn stopped(code: FailureCode, message: &str) -> RunEnd {
    RunEnd::Failed(RunFailure::new(RunStatus::Unknown, code, message))
}

fn time_limit(start: &RunStart) -> Duration {
    let deadline = Duration::from_millis(start.deadline_ms);
    if start.repeatable {
        deadline
    } else {
        deadline + CALL_GRACE
    }
}

fn run_span(start: &RunStart) -> Span {
    match start.trace.as_deref() {
        Some(trace) => info_span!(parent: None, "agent.run", traceparent = trace),
        None => Span::none(),
    }
}

struct Forward<'a> {
    shared: &'a AgentShared,
    run: &'a AgentRun,
    id: RequestId,
    running: u32,
    begun: ClockTime,
    first_byte: Option<Duration>,
    answer: AnswerForm,
}

/// What the head of a response says about its latency.
#[derive(Debug, Clone, Copy, Default)]
struct AnswerForm {
    /// Whether the response arrives when all its tokens are produced.
    whole: bool,
    /// Whether the target did the work. A request that it rejects costs it no time, and would make
    /// all others look slow.
    success: bool,
}

impl Forward<'_> {
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
            Ok(response) => self.read(response).await,
            Err(error) => RunEnd::Failed(target_failure(&error)),
        }
    }

    /// A plain service's own 429 or 503 is a response to the caller, an engine's is not.
    fn is_busy(&self, response: &TargetResponse) -> bool {
        self.shared.settings.kind == TargetKind::Model
            && BUSY_STATUSES.contains(&response.head.status)
    }

    async fn read(&mut self, response: TargetResponse) -> RunEnd {
        let TargetResponse { head, mut body } = response;
        let content_type = head
            .headers
            .iter()
            .find(|field| field.name == "content-type")
            .map(|field| String::from_utf8_lossy(&field.value).into_owned())
            .unwrap_or_default();
        let kind = self.shared.settings.kind;
        self.answer = AnswerForm {
            whole: kind == TargetKind::Model && !is_event_stream(&content_type),
            success: (200..300).contains(&head.status),
        };
        let mut meter = meter_for(kind, &content_type);
        self.run.set_head(head);
        while let Some(part) = body.next().await {
            match part {
                Ok(bytes) => self.pass_on(&bytes, meter.as_mut()).await,
                Err(error) => return RunEnd::Failed(target_failure(&error)),
            }
        }
        let cost = meter.finish();
        self.charge(cost);
        RunEnd::Complete(cost)
    }

    async fn pass_on(&mut self, bytes: &[u8], meter: &mut dyn CostMeter) {
        let begun = self.begun;
        let now = self.shared.now();
        self.first_byte.get_or_insert_with(|| now.since(begun));
        for piece in bytes.chunks(CHUNK_BYTES) {
            let cost = meter.feed(piece);
            self.charge(cost);
            self.run.push(piece).await;
        }
    }

    fn charge(&self, cost: CostUnits) {
        let now = self.shared.now();
        self.shared
            .board
            .write_quietly(|state| state.table.charge(self.id, cost, now));
    }

    /// Frees the slot, adapts the limit and gives the end to the readers.
    fn finish(&self, end: RunEnd) {
        let now = self.shared.now();
        self.shared.board.write(|state| {
            state.running -= 1;
            state.seen.record_end(self.id, end.status(), now);
            self.adapt_limit(state, &end, now);
            if is_target_lost(&end) {
                state.suspect_target(now);
            }
            let actions = state.table.finish(self.id, now);
            state.perform(actions);
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
                | FailureCode::TargetBusy => state.limit.record_refusal(now),
                _ => {}
            },
        }
    }

    fn sample(&self, cost: CostUnits, now: ClockTime) -> RunSample {
        let tokens = if self.answer.whole { cost.0 } else { 1 };
        RunSample {
            started_at: self.begun,
            running: units::SlotCount(self.running),
            latency: self.first_byte.unwrap_or_else(|| now.since(self.begun)),
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            succeeded: self.answer.success,
        }
    }
}

/// Whether the target may be dead: a retry must then not come back to it.
fn is_target_lost(end: &RunEnd) -> bool {
    let RunEnd::Failed(failure) = end else {
        return false;
    };
    matches!(
        failure.code,
        FailureCode::TargetUnreachable | FailureCode::TargetLost
    )
}

fn target_failure(error: &TargetError) -> RunFailure {
    match error {
        TargetError::Unreachable(_) => RunFailure::not_run(FailureCode::TargetUnreachable, error),
        TargetError::BadRequest(_) => RunFailure::not_run(FailureCode::BadMessage, error),
        TargetError::Lost(_) => RunFailure::new(RunStatus::Unknown, FailureCode::TargetLost, error),
    }
}
