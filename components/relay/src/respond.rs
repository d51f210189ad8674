//! Writes responses to callers.

use std::io;
use std::time::Duration;

use futures_util::stream;
use http::{HeaderMap, HeaderValue, StatusCode, response};
use hyper::body::Bytes;
use salvo::Response;
use salvo::http::ResBody;
use telemetry::{event, events};
use tokio::time::Instant;

use entry::Refusal;

use crate::backend::remove_hop_by_hop_headers;
use crate::forward::{ForwardedResponse, StreamedResponse, TRUNCATED_STREAM};
use crate::state::RelayShared;

/// Delay between the last chunk of an interrupted stream and the error that ends the body.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Writes the response of a target.
pub(crate) fn write_response(
    shared: &RelayShared,
    res: &mut Response,
    response: ForwardedResponse,
) {
    match response {
        ForwardedResponse::Complete(head, body) => {
            write_head(shared, res, &head);
            res.body(ResBody::Once(body));
        }
        ForwardedResponse::Stream(streamed) => {
            write_head(shared, res, &streamed.response.head);
            res.body(ResBody::stream(body_stream(*streamed)));
        }
    }
    close_connection_if_leaving(shared, res.headers_mut());
}

/// Writes a refusal or failure.
pub(crate) fn write_refusal(shared: &RelayShared, res: &mut Response, refusal: &Refusal) {
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
        // A caller that retries on a new connection may reach another entry. If connections stayed
        // open, a burst of requests would leave thousands of them.
        headers.insert("connection", HeaderValue::from_static("close"));
    }
    close_connection_if_leaving(shared, headers);
    res.body(ResBody::Once(Bytes::from(refusal.body())));
}

/// Closes the connection if the relay is leaving, so that the caller moves to another entry.
fn close_connection_if_leaving(shared: &RelayShared, headers: &mut HeaderMap) {
    if shared.is_leaving() {
        headers.insert("connection", HeaderValue::from_static("close"));
    }
}

fn write_head(shared: &RelayShared, res: &mut Response, head: &response::Parts) {
    let mut headers = head.headers.clone();
    remove_hop_by_hop_headers(&mut headers, shared.dialect.as_ref());
    res.status_code(head.status);
    res.set_headers(headers);
}

/// Returns the body of a streamed response. An interrupted stream ends with an error, so that the
/// caller sees a truncated body.
fn body_stream(
    response: StreamedResponse,
) -> impl futures_util::Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    // The stream has one timer, since a timer for each chunk would be registered and removed again.
    let deadline = Box::pin(tokio::time::sleep_until(response.deadline));
    stream::unfold(Some((response, deadline)), |state| async move {
        let (mut streamed, mut deadline) = state?;
        if let Some(chunk) = streamed.first_chunk.take() {
            return Some((Ok(chunk), Some((streamed, deadline))));
        }
        let waited_from = Instant::now();
        let next = tokio::select! {
            biased;
            () = &mut deadline => Some(Err("the deadline has passed".into())),
            next = streamed.response.next_chunk() => {
                let next = match next {
                    None if streamed.is_truncated() => Some(Err(TRUNCATED_STREAM.into())),
                    next => next,
                };
                if let Some(Err(_)) = next {
                    streamed.sent.record_break();
                }
                next
            }
        };
        if let Some(sample) = &mut streamed.sent.sample {
            sample.record_pause(waited_from.elapsed());
        }
        let reason = match next {
            Some(Ok(chunk)) => return Some((Ok(chunk), Some((streamed, deadline)))),
            None => {
                let response = &streamed.response;
                streamed
                    .sent
                    .record_response(response.head.status, response.is_sure_end());
                streamed.run_timer.record_end();
                streamed.response.release_connection();
                return None;
            }
            Some(Err(reason)) => reason,
        };
        event!(
            events::RELAY_STREAM_BROKEN,
            request = streamed.attempt_id,
            reason = reason
        );
        // When a body fails, the server discards data that it has not written yet. The delay lets
        // the last events reach the caller.
        tokio::time::sleep(FLUSH_DELAY).await;
        Some((Err(io::Error::other(reason)), None))
    })
}
