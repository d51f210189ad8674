//! HTTP responses to callers.

use std::io;
use std::time::Duration;

use futures_util::stream;
use salvo::http::header::{HeaderName, HeaderValue};
use salvo::prelude::*;
use tokio::sync::mpsc;
use wire::{EventTail, ResponseHead};

use crate::refusal::Refusal;
use crate::sink::ResponsePart;

/// Time after the deadline during which the handler still waits for the run to report the outcome
/// of the request.
pub(crate) const DEADLINE_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Delay between the last bytes of a body and the error that truncates it.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Sends a refusal as the response.
pub(crate) fn send_refusal(res: &mut Response, refusal: &Refusal) {
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY);
    res.status_code(status);
    let headers = res.headers_mut();
    headers.insert(
        "bilberry-outcome",
        HeaderValue::from_static(refusal.outcome.as_str()),
    );
    if let Some(wait) = refusal.retry_after {
        let wait_s = wait.as_millis().div_ceil(1000) as u64;
        headers.insert("retry-after", HeaderValue::from(wait_s));
    }
    res.render(Text::Json(refusal.body()));
}

/// Sends a response with the given head and streams its body from the parts.
pub(crate) fn stream_response(
    res: &mut Response,
    head: &ResponseHead,
    parts: mpsc::Receiver<ResponsePart>,
) {
    res.status_code(StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let mut is_event_stream = false;
    for field in &head.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            is_event_stream |=
                name == "content-type" && value.as_bytes().starts_with(b"text/event");
            res.headers_mut().append(name, value);
        }
    }
    let state = BodyState {
        parts,
        is_event_stream,
        tail: EventTail::default(),
        has_failed: false,
    };
    res.stream(stream::unfold(state, next_bytes));
}

struct BodyState {
    parts: mpsc::Receiver<ResponsePart>,
    is_event_stream: bool,
    tail: EventTail,
    has_failed: bool,
}

impl BodyState {
    /// Whether an event can follow. After a part of an event, it would be joined to it.
    fn may_add_event(&self) -> bool {
        self.is_event_stream && (!self.tail.has_bytes() || self.tail.is_after_event())
    }
}

/// Returns the next bytes of a body.
///
/// A response that ends incomplete fails with an error, so that the caller sees a truncated body.
/// An event stream contains an error event before that, unless it broke off inside an event.
async fn next_bytes(mut state: BodyState) -> Option<(Result<Vec<u8>, io::Error>, BodyState)> {
    if state.has_failed {
        return Some(truncate(state).await);
    }
    match state.parts.recv().await {
        Some(ResponsePart::Body(bytes)) => {
            state.tail.record(&bytes);
            Some((Ok(bytes), state))
        }
        Some(ResponsePart::End) => None,
        Some(ResponsePart::Refusal(refusal)) if state.may_add_event() => {
            state.has_failed = true;
            Some((Ok(error_event(&refusal)), state))
        }
        _ => Some(truncate(state).await),
    }
}

/// Ends a body with an error.
///
/// When a body fails, the server discards the bytes that it has not written yet. It writes them while
/// the body has no data ready, so the delay lets the last ones reach the caller.
async fn truncate(state: BodyState) -> (Result<Vec<u8>, io::Error>, BodyState) {
    tokio::time::sleep(FLUSH_DELAY).await;
    (Err(truncation_error()), state)
}

fn truncation_error() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "the response ended before it was complete",
    )
}

fn error_event(refusal: &Refusal) -> Vec<u8> {
    let body: serde_json::Value = serde_json::json!({
        "error": {
            "code": refusal.code,
            "message": refusal.message,
            "outcome": refusal.outcome.as_str(),
        }
    });
    format!("event: error\ndata: {body}\n\n").into_bytes()
}
