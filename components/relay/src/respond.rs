//! Answers to callers.

use std::io;
use std::time::Duration;

use futures_util::stream;
use http::{HeaderMap, HeaderValue, StatusCode, response};
use hyper::body::Bytes;
use salvo::Response;
use salvo::http::ResBody;
use telemetry::{event, events};

use entry::Refusal;

use crate::backend::drop_hop_headers;
use crate::forward::{ForwardAnswer, StreamAnswer};
use crate::state::RelayShared;

/// Pause between the last bytes of a stream and its broken end.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Writes an answer of a target.
pub(crate) fn answer(shared: &RelayShared, res: &mut Response, answer: ForwardAnswer) {
    match answer {
        ForwardAnswer::Whole(head, body) => {
            write_head(res, &head);
            res.body(ResBody::Once(body));
        }
        ForwardAnswer::Stream(stream) => {
            write_head(res, &stream.answer.head);
            res.body(ResBody::stream(pass_on(*stream)));
        }
    }
    close_if_leaving(shared, res.headers_mut());
}

/// Writes a refusal or failure.
pub(crate) fn refuse(shared: &RelayShared, res: &mut Response, refusal: &Refusal) {
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY);
    res.status_code(status);
    let headers = res.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert(
        "bilberry-outcome",
        HeaderValue::from_static(refusal.outcome.as_str()),
    );
    if let Some(wait) = refusal.retry_after {
        headers.insert("retry-after", shared.dialect.retry_after(wait));
        // A caller comes back on a new connection, and may reach another entry with it. Kept, the
        // connections of a flood come to thousands.
        headers.insert("connection", HeaderValue::from_static("close"));
    }
    close_if_leaving(shared, headers);
    res.body(ResBody::Once(Bytes::from(refusal.body())));
}

/// An entry that leaves asks its callers to use another one.
fn close_if_leaving(shared: &RelayShared, headers: &mut HeaderMap) {
    if shared.board.read(|state| state.leaving) {
        headers.insert("connection", HeaderValue::from_static("close"));
    }
}

fn write_head(res: &mut Response, head: &response::Parts) {
    let mut headers = head.headers.clone();
    drop_hop_headers(&mut headers);
    res.status_code(head.status);
    res.set_headers(headers);
}

/// Passes a stream on. One that breaks off ends with an error, so that the caller sees a truncated
/// body.
fn pass_on(
    answer: StreamAnswer,
) -> impl futures_util::Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    stream::unfold(Some(answer), |state| async move {
        let mut answer = state?;
        if let Some(first) = answer.first.take() {
            return Some((Ok(first), Some(answer)));
        }
        let next = tokio::time::timeout_at(answer.limit, answer.answer.next()).await;
        let reason = match next {
            Ok(Some(Ok(bytes))) => return Some((Ok(bytes), Some(answer))),
            Ok(None) => {
                answer.answer.finish();
                return None;
            }
            Ok(Some(Err(reason))) => reason,
            Err(_) => "the caller's time is over".into(),
        };
        event!(
            events::RELAY_STREAM_BROKEN,
            request = answer.attempt,
            reason = reason
        );
        // The server drops what it has not written yet when a body fails; a pause lets the last
        // events reach the caller.
        tokio::time::sleep(FLUSH_TIME).await;
        Some((Err(io::Error::other(reason)), None))
    })
}
