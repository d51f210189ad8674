//! One attempt at a target: sends the request and reads the response.

use http::StatusCode;
use hyper::body::Bytes;
use origins::stream_id;
use place::ListedTarget;
use routes::RepeatRule;
use tokio::time::Instant;
use tracing::{Instrument, info_span};
use wire::FlowId;

use super::{ForwardedRequest, ForwardedResponse, SendResult, StreamedResponse, TRUNCATED_STREAM};
use crate::backend::{BufferedResponse, CallerRequest, ExchangeResponse, OpenResponse, exchange};
use crate::crash::{SentRequest, record_refusal};
use crate::dialect::ForwardMetadata;
use crate::origins::{has_current_view, record_origin};
use crate::places::RunGuard;
use crate::pool::ExchangeError;
use crate::state::RelayState;
use crate::stop::{ENTRY_STOPS, RunTimer, wait_for_stop};

impl ForwardedRequest {
    /// Sends the request to one target.
    pub(super) async fn send(
        &mut self,
        request: &CallerRequest,
        run_guard: RunGuard,
    ) -> SendResult {
        let Some(target) = self.shared.target(run_guard.run) else {
            return SendResult::NotSent("the target is gone".into());
        };
        let name = target.name.clone();
        self.wait_time = self.arrived_at.elapsed();
        let now = self.shared.now();
        self.view_age = self.shared.view.read(|view| view.age(now));
        self.placement.tried.push(name.clone());
        self.last_version = target.version.clone();
        let span = info_span!(
            "relay.send",
            request = self.metadata.attempt_id.as_str(),
            target = name.as_str()
        );
        let sending = self.exchange(request, &target, run_guard);
        let deadline = self.deadline;
        tokio::select! {
            biased;
            result = sending.instrument(span) => result,
            () = tokio::time::sleep_until(deadline) => {
                SendResult::Unknown("no answer before the deadline".into())
            }
            () = wait_for_stop(&self.shared) => SendResult::Unknown(ENTRY_STOPS.into()),
        }
    }

    async fn exchange(
        &self,
        request: &CallerRequest,
        target: &ListedTarget,
        mut run_guard: RunGuard,
    ) -> SendResult {
        let connection = match self.shared.pool.connect(target.address).await {
            Ok(connection) => connection,
            Err(error) => {
                // Other errors are local and tell nothing of the target.
                let may_have_ended =
                    matches!(error, ExchangeError::Refused(_) | ExchangeError::Silent(_));
                run_guard.record_failure(may_have_ended);
                if matches!(error, ExchangeError::Refused(_)) {
                    record_refusal(&self.shared, target);
                }
                return SendResult::NotSent(error.to_string());
            }
        };
        // The target may have stated that it wants none while the connection was opened.
        let now = self.shared.now();
        let is_accepted = |state: &RelayState| state.table.accepts(target, now);
        if !self.shared.board.read(is_accepted) {
            return SendResult::NotSent("the target accepts no requests now".into());
        }
        let metadata = ForwardMetadata {
            target: &target.name,
            organisation: self.organisation.as_ref(),
            remaining: self
                .caller_deadline
                .saturating_duration_since(Instant::now()),
        };
        let mut sent = SentRequest {
            shared: self.shared.clone(),
            target: target.clone(),
            flow: FlowId::of(&self.flow()),
            sent_at: self.shared.now(),
            is_retry: self.send_count > 0,
            traits: self.traits.clone(),
            is_settled: false,
            sample: run_guard.sample.take(),
        };
        if let Some(sample) = &mut sent.sample {
            sample.set_deadline(self.deadline);
        }
        let dialect = self.shared.dialect.as_ref();
        let attempt_id = &self.metadata.attempt_id;
        let pool = &self.shared.pool;
        let exchanged = exchange(pool, dialect, connection, request, attempt_id, &metadata).await;
        let exchanged = exchanged.map(|(response, statement)| {
            let is_answer = matches!(response, ExchangeResponse::Valid(_));
            run_guard.record_statement(target, &statement, is_answer);
            response
        });
        match exchanged {
            Ok(ExchangeResponse::Valid(response)) => {
                sent.record_head();
                self.read_response(response, run_guard, sent).await
            }
            Ok(ExchangeResponse::NotRun(status)) => {
                sent.record_not_run();
                // Another process at the address refuses with this status.
                if status != StatusCode::MISDIRECTED_REQUEST {
                    sent.record_head();
                }
                SendResult::NotRun(format!("the target refused with status {status}"))
            }
            Ok(ExchangeResponse::Invalid(reason)) => {
                sent.record_bad_answer();
                SendResult::Unknown(reason)
            }
            Err(
                ExchangeError::NotSent(reason)
                | ExchangeError::Refused(reason)
                | ExchangeError::Silent(reason),
            ) => {
                sent.record_not_run();
                SendResult::NotSent(reason)
            }
            Err(ExchangeError::Broken(reason)) => {
                sent.record_break();
                SendResult::Unknown(reason)
            }
        }
    }

    /// Reads a response that is buffered, or the first chunk of a stream.
    async fn read_response(
        &self,
        mut response: OpenResponse,
        run_guard: RunGuard,
        mut sent: SentRequest,
    ) -> SendResult {
        if self.has_events(&response) {
            let first_chunk = match response.next_chunk().await {
                Some(Ok(chunk)) => Some(chunk),
                Some(Err(reason)) => {
                    sent.record_break();
                    return SendResult::Unknown(reason);
                }
                None if response.is_truncated_stream() => {
                    sent.record_break();
                    return SendResult::Unknown(TRUNCATED_STREAM.into());
                }
                None => None,
            };
            run_guard.record_first_byte();
            sent.record_first_byte();
            if self.may_have_restarted(&sent.target) {
                let reason = "the target may have restarted with another software version";
                return SendResult::Unknown(reason.into());
            }
            if first_chunk.is_some() {
                self.record_origin(&sent.target);
            }
            let deadline = self.caller_deadline;
            return self.streamed(response, first_chunk, run_guard, sent, deadline);
        }
        run_guard.record_first_byte();
        sent.record_first_byte();
        match response.read_buffered().await {
            Ok(BufferedResponse::Complete { head, body, .. })
                if head.status.is_server_error() && self.route.repeat.is_repeatable() =>
            {
                sent.record_bad_answer();
                SendResult::ServerError(head, body)
            }
            Ok(BufferedResponse::Complete {
                head,
                body,
                has_known_end,
            }) => {
                sent.record_response(head.status, has_known_end || !body.is_empty());
                self.run_timer().record_end();
                SendResult::Response(ForwardedResponse::Complete(head, body))
            }
            Ok(BufferedResponse::Long(response, first_part)) => {
                self.streamed(response, Some(first_part), run_guard, sent, self.deadline)
            }
            Err(reason) => {
                sent.record_break();
                SendResult::Unknown(reason)
            }
        }
    }

    /// Whether the target may have restarted with another version than that of the stream which the
    /// request continues.
    fn may_have_restarted(&self, target: &ListedTarget) -> bool {
        let Some(continued) = &self.continued else {
            return false;
        };
        let listed = self.shared.listed(&target.name);
        let has_restarted = listed.is_some_and(|listed| {
            listed.incarnation != target.incarnation
                && listed.version.as_ref() != Some(&continued.origin.version)
        });
        has_restarted || !has_current_view(&self.shared)
    }

    /// Records where a new stream begins that its caller may continue.
    fn record_origin(&self, target: &ListedTarget) {
        let is_new = self.continued.is_none();
        if let (true, RepeatRule::ResumableStream, Some(version)) =
            (is_new, self.route.repeat, &target.version)
        {
            let stream = stream_id(self.organisation.as_ref(), &self.metadata.attempt_id);
            let remaining = self.caller_deadline.duration_since(Instant::now());
            let lifetime = self.route.stream_lifetime(remaining);
            record_origin(&self.shared, stream, target, version, lifetime);
        }
    }

    fn has_events(&self, response: &OpenResponse) -> bool {
        self.route.repeat.is_stream() && response.head.status.is_success()
    }

    fn streamed(
        &self,
        response: OpenResponse,
        first_chunk: Option<Bytes>,
        run_guard: RunGuard,
        mut sent: SentRequest,
        deadline: Instant,
    ) -> SendResult {
        if let Some(sample) = &mut sent.sample {
            sample.set_deadline(deadline);
        }
        let has_events = self.has_events(&response);
        SendResult::Response(ForwardedResponse::Stream(Box::new(StreamedResponse {
            response,
            has_events,
            first_chunk,
            _run_guard: run_guard,
            run_timer: self.run_timer(),
            sent,
            deadline,
            attempt_id: self.metadata.attempt_id.clone(),
        })))
    }

    fn run_timer(&self) -> RunTimer {
        RunTimer {
            shared: self.shared.clone(),
            route: self.route.name.clone(),
            arrived_at: self.arrived_at,
        }
    }
}
