//! One HTTP exchange with a target.

use std::time::Duration;

use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_RANGE, CONTENT_TYPE, HOST, RETRY_AFTER,
    TRANSFER_ENCODING,
};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri, Version, response,
};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};

use listener::HeldBody;
use place::TargetStatement;
use wire::EventTail;

use crate::dialect::{CallerDialect, ForwardMetadata, ResponseVerdict};
use crate::pool::{ConnectionPool, ExchangeError, TargetConnection};

/// Headers that are not forwarded: they apply to a single connection or, like `content-length`, are
/// written anew for each message.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers of HTTP without which a message has another meaning.
const END_TO_END_HEADERS: [HeaderName; 5] = [
    HOST,
    CONTENT_TYPE,
    CONTENT_ENCODING,
    CONTENT_RANGE,
    RETRY_AFTER,
];

/// Size from which a response is forwarded before it is complete. A target in trouble may send bytes
/// without end, and a small host has memory for a few of such responses only.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;

/// A request as received from its caller.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldBody,
}

/// Head of a response, and the connection that delivers its body.
pub(crate) struct OpenResponse {
    pub(crate) head: response::Parts,
    body: Incoming,
    connection: TargetConnection,
    pool: ConnectionPool,
    tail: EventTail,
    /// Whether the end of the body is known from its head, and not only from the end of the
    /// connection.
    has_known_end: bool,
}

/// Response of which the first part is buffered.
pub(crate) enum BufferedResponse {
    /// The body is complete.
    Complete {
        head: response::Parts,
        body: Bytes,
        /// Whether its end was known from the head.
        has_known_end: bool,
    },
    /// The body is longer than its first part.
    Long(OpenResponse, Bytes),
}

/// Result of an exchange after the head of the response has arrived.
pub(crate) enum ExchangeResponse {
    /// The response belongs to the request; its body has not been read.
    Valid(OpenResponse),
    /// The target states that it has not run the request and will not.
    NotRun(StatusCode),
    /// The response does not belong to the request, or is malformed.
    Invalid(String),
}

/// Whether the end of a response's body is known from its length or chunks.
fn is_framed(head: &response::Parts) -> bool {
    head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING)
}

/// Whether the body has a transfer coding other than chunks, which is neither decoded nor forwarded.
/// Such a coding also makes the length void, so that the end of the body would be unknown.
fn has_unknown_coding(head: &response::Parts) -> bool {
    let codings = head.headers.get_all(TRANSFER_ENCODING);
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    codings.iter().count() > 1 || !codings.iter().all(is_chunked)
}

/// Sends a request to a target and reads the head of the response. Also returns what the target
/// states in it, whether or not the response is valid.
pub(crate) async fn exchange(
    pool: &ConnectionPool,
    dialect: &dyn CallerDialect,
    connection: TargetConnection,
    request: &CallerRequest,
    attempt_id: &str,
    metadata: &ForwardMetadata<'_>,
) -> Result<(ExchangeResponse, TargetStatement), ExchangeError> {
    let mut connection = connection;
    let outgoing = target_request(dialect, request, metadata)?;
    let response = connection.send(outgoing).await?;
    let (head, body) = response.into_parts();
    let statement = dialect.target_statement(attempt_id, &head);
    let response = match dialect.classify_response(attempt_id, &head) {
        ResponseVerdict::NotRun => {
            let status = head.status;
            // The body of a refusal is empty or short. The connection is reused only if the rest of
            // the body arrives within `BODY_DISCARD_TIMEOUT`.
            if try_discard_body(body).await {
                pool.release(connection, &head.headers);
            }
            ExchangeResponse::NotRun(status)
        }
        ResponseVerdict::Invalid => {
            ExchangeResponse::Invalid(format!("unsound answer with status {}", head.status))
        }
        // `Upgrade` is not forwarded, so that no target may switch.
        ResponseVerdict::Valid if head.status == StatusCode::SWITCHING_PROTOCOLS => {
            ExchangeResponse::Invalid("the target switched to another protocol".into())
        }
        ResponseVerdict::Valid if has_unknown_coding(&head) => {
            ExchangeResponse::Invalid("the answer has an unknown transfer coding".into())
        }
        ResponseVerdict::Valid => ExchangeResponse::Valid(OpenResponse {
            // The status or the method of the request may rule out a body.
            has_known_end: is_framed(&head) || body.is_end_stream(),
            head,
            body,
            connection,
            pool: pool.clone(),
            tail: EventTail::default(),
        }),
    };
    Ok((response, statement))
}

fn target_request(
    dialect: &dyn CallerDialect,
    request: &CallerRequest,
    metadata: &ForwardMetadata<'_>,
) -> Result<Request<Full<Bytes>>, ExchangeError> {
    // The headers of the system come last, so that no caller can remove them.
    let mut headers = request.headers.clone();
    remove_hop_by_hop_headers(&mut headers, dialect);
    let headers = dialect.target_headers(&headers, metadata);
    let path = request
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut outgoing = Request::builder()
        .method(request.method.clone())
        .uri(path)
        .version(Version::HTTP_11)
        .body(Full::new(request.body.bytes.clone()))
        .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    *outgoing.headers_mut() = headers;
    Ok(outgoing)
}

/// Removes the hop-by-hop headers, including those that `Connection` lists. A sender must not list
/// headers that are meant for the recipient of the message, so these stay.
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap, dialect: &dyn CallerDialect) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !END_TO_END_HEADERS.contains(name) && !dialect.is_end_to_end(name))
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Time within which the body of a refusal must end; otherwise its connection is closed.
const BODY_DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// Discards a body of at most 4 KiB; returns whether it ended within [`BODY_DISCARD_TIMEOUT`].
async fn try_discard_body(body: Incoming) -> bool {
    let discarded = http_body_util::Limited::new(body, 4 << 10).collect();
    matches!(
        tokio::time::timeout(BODY_DISCARD_TIMEOUT, discarded).await,
        Ok(Ok(_))
    )
}

impl OpenResponse {
    /// Reads the body up to its end, and then releases the connection, or up to
    /// [`MAX_BUFFERED_RESPONSE_BYTES`].
    pub(crate) async fn read_buffered(mut self) -> Result<BufferedResponse, String> {
        let mut buf = Vec::new();
        while let Some(chunk) = self.next_chunk().await {
            buf.extend_from_slice(&chunk?);
            if buf.len() > MAX_BUFFERED_RESPONSE_BYTES {
                return Ok(BufferedResponse::Long(self, buf.into()));
            }
        }
        self.pool.release(self.connection, &self.head.headers);
        Ok(BufferedResponse::Complete {
            head: self.head,
            body: buf.into(),
            has_known_end: self.has_known_end,
        })
    }

    /// Returns the next chunk of the body; `None` at its end, after which the caller should call
    /// [`Self::release_connection`].
    pub(crate) async fn next_chunk(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.tail.record(&bytes);
                        return Some(Ok(bytes));
                    }
                }
                Err(error) => return Some(Err(format!("the answer broke off: {error}"))),
            }
        }
    }

    /// Whether a body that has ended shows that the target did not crash: an empty one may also come
    /// from a connection that broke.
    pub(crate) fn is_sure_end(&self) -> bool {
        self.has_known_end || self.tail.has_bytes()
    }

    /// Whether an event stream that has ended was broken off.
    pub(crate) fn is_truncated_stream(&self) -> bool {
        !self.has_known_end && !self.tail.is_after_event()
    }

    /// Returns the connection to the pool; the body must have ended.
    pub(crate) fn release_connection(self) {
        self.pool.release(self.connection, &self.head.headers);
    }
}
