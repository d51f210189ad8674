//! Responses to callers.

use std::io;
use std::time::Duration;

use futures_util::stream;
use salvo::http::header::{HeaderName, HeaderValue};
use salvo::prelude::*;
use tokio::sync::mpsc;
use wire::ResponseHead;

use crate::refusal::Refusal;
use crate::sink::ResponsePart;

/// Time after the deadline for which the caller's handler waits, so that the run itself states
/// what became of the request.
pub(crate) const DEADLINE_SLACK: Duration = Duration::from_millis(500);

/// Pause between the error event of a stream and its broken end.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Answers with a refusal.
pub(crate) fn refuse(res: &mut Response, refusal: &Refusal) {
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY);
    res.status_code(status);
    let headers = res.headers_mut();
    headers.insert(
        "bilberry-outcome",
        HeaderValue::from_static(refusal.outcome.as_str()),
    );
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_millis().div_ceil(1000) as u64;
        headers.insert("retry-after", HeaderValue::from(seconds));
    }
    res.render(Text::Json(refusal.body()));
}

/// Answers with a response of which the parts arrive.
pub(crate) fn stream(res: &mut Response, head: &ResponseHead, parts: mpsc::Receiver<ResponsePart>) {
    res.status_code(StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let mut is_events = false;
    for field in &head.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            is_events |= name == "content-type" && value.as_bytes().starts_with(b"text/event");
            res.headers_mut().append(name, value);
        }
    }
    let state = BodyState {
        parts,
        is_events,
        failed: false,
    };
    res.stream(stream::unfold(state, next_part));
}

struct BodyState {
    parts: mpsc::Receiver<ResponsePart>,
    is_events: bool,
    failed: bool,
}

/// The next bytes of a body. A response that breaks off ends with an error, so that the caller
/// sees a truncated body; an event stream gets an event that says so before.
async fn next_part(mut state: BodyState) -> Option<(Result<Vec<u8>, io::Error>, BodyState)> {
    if state.failed {
        // The server drops what it has not yet written when a body fails. It writes when the body
        // has nothing ready, so a pause lets the error event reach the caller.
        tokio::time::sleep(FLUSH_TIME).await;
        return Some((Err(broken()), state));
    }
    match state.parts.recv().await {
        Some(ResponsePart::Body(bytes)) => Some((Ok(bytes), state)),
        Some(ResponsePart::End) => None,
        Some(ResponsePart::Refusal(refusal)) if state.is_events => {
            state.failed = true;
            Some((Ok(error_event(&refusal)), state))
        }
        _ => {
            state.failed = true;
            Some((Err(broken()), state))
        }
    }
}

fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "the response broke off")
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
