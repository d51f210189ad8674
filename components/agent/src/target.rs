//! HTTP client for the target of the agent.

use std::io::ErrorKind;
use std::time::Duration;

use eyre::WrapErr;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use futures_util::{FutureExt, StreamExt};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use units::error_chain;
use wire::{EventTail, HeaderField, RequestHead, ResponseHead};

use crate::meter::is_event_stream;

/// Connection timeout. The target is on the same host or in the same rack.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Error of a request to the target.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TargetError {
    /// No connection was established, so the target has not seen the request.
    #[error("Failed to connect to the target: {0}")]
    Unreachable(String),
    /// The method, path or a header of the request is invalid, so the request was not sent.
    #[error("Failed to form the request: {0}")]
    BadRequest(String),
    /// The connection broke when the target may already have received the request.
    #[error("Failed to read the response of the target: {0}")]
    Lost(String),
}

/// Request to the target.
#[derive(Debug)]
pub struct TargetRequest {
    /// Method, path and headers.
    pub head: RequestHead,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the request may be sent more than once.
    pub is_repeatable: bool,
    /// Trace context (`traceparent`) to send to the target, if any.
    pub trace: Option<String>,
}

/// Parts of the body of a response as they arrive.
pub type ResponseBody = BoxStream<'static, Result<Vec<u8>, TargetError>>;

/// Response of the target.
pub struct TargetResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body.
    pub body: ResponseBody,
}

/// Client of one target.
pub trait TargetClient: Send + Sync {
    /// Sends a request and waits for the status and headers of the response.
    fn send(&self, request: TargetRequest) -> BoxFuture<'_, Result<TargetResponse, TargetError>>;

    /// Whether the target accepts connections.
    fn probe(&self) -> BoxFuture<'_, bool>;

    /// Whether the process of the target has ended: its address refuses connections.
    fn has_ended(&self) -> BoxFuture<'_, bool>;
}

/// Client of a target that is reached by HTTP/1.1.
pub struct HttpTarget {
    url: String,
    address: String,
    pooled_client: reqwest::Client,
    unpooled_client: reqwest::Client,
}

impl HttpTarget {
    /// Creates a client for a base URL of the form `http://HOST[:PORT]`. Fails for other schemes.
    pub fn new(url: &str) -> eyre::Result<Self> {
        let url = url.trim_end_matches('/');
        let authority = url
            .strip_prefix("http://")
            .and_then(|rest| rest.split('/').next())
            .ok_or_else(|| eyre::eyre!("Failed to use target URL {url:?}: not an http URL"))?;
        let address = if authority.contains(':') {
            authority.to_owned()
        } else {
            format!("{authority}:80")
        };
        Ok(Self {
            url: url.into(),
            address,
            pooled_client: client_builder()
                .build()
                .wrap_err("Failed to create the HTTP client for repeatable requests")?,
            // The target may close a reused connection while a request is in transit, and it is
            // then unknown whether the target received the request. A call that may not be
            // repeated therefore uses a new connection.
            unpooled_client: client_builder()
                .pool_max_idle_per_host(0)
                .build()
                .wrap_err("Failed to create the HTTP client for calls that may not be repeated")?,
        })
    }

    /// Opens a connection, or fails after [`CONNECT_TIMEOUT`].
    async fn connect(&self) -> Result<std::io::Result<TcpStream>, Elapsed> {
        tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&self.address)).await
    }

    fn request(&self, request: TargetRequest) -> Result<reqwest::RequestBuilder, TargetError> {
        let bad_request = |reason: String| TargetError::BadRequest(reason);
        let method = http::Method::from_bytes(request.head.method.as_bytes())
            .map_err(|error| bad_request(error.to_string()))?;
        let client = if request.is_repeatable {
            &self.pooled_client
        } else {
            &self.unpooled_client
        };
        let mut builder = client.request(method, format!("{}{}", self.url, request.head.path));
        for field in &request.head.headers {
            let name = HeaderName::from_bytes(field.name.as_bytes())
                .map_err(|error| bad_request(error.to_string()))?;
            let value = HeaderValue::from_bytes(&field.value)
                .map_err(|error| bad_request(error.to_string()))?;
            builder = builder.header(name, value);
        }
        if let Some(trace) = request.trace {
            builder = builder.header("traceparent", trace);
        }
        Ok(builder.body(request.body))
    }
}

impl TargetClient for HttpTarget {
    fn send(&self, request: TargetRequest) -> BoxFuture<'_, Result<TargetResponse, TargetError>> {
        async move {
            let response = self.request(request)?.send().await.map_err(|error| {
                let reason = error_chain(&error);
                if error.is_connect() {
                    TargetError::Unreachable(reason)
                } else if error.is_builder() {
                    TargetError::BadRequest(reason)
                } else {
                    TargetError::Lost(reason)
                }
            })?;
            check_head(&response).map_err(|reason| TargetError::Lost(reason.into()))?;
            let head = response_head(&response);
            // The status or the method of the request may rule out a body.
            let is_empty = response.content_length() == Some(0);
            let is_unframed_stream = !is_empty && is_unframed_stream(response.headers());
            let body = response.bytes_stream().map(|part| match part {
                Ok(bytes) => Ok(bytes.to_vec()),
                Err(error) => Err(TargetError::Lost(error_chain(&error))),
            });
            let body = match is_unframed_stream {
                true => check_end(body.boxed()),
                false => body.boxed(),
            };
            Ok(TargetResponse { head, body })
        }
        .boxed()
    }

    fn probe(&self) -> BoxFuture<'_, bool> {
        async move { matches!(self.connect().await, Ok(Ok(_))) }.boxed()
    }

    fn has_ended(&self) -> BoxFuture<'_, bool> {
        async move {
            let connected = self.connect().await;
            matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
        }
        .boxed()
    }
}

fn client_builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
}

/// Fails for a response whose body cannot be forwarded.
fn check_head(response: &reqwest::Response) -> Result<(), &'static str> {
    // `Upgrade` is not forwarded, so that the target may not switch.
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Err("the target switched to another protocol");
    }
    match has_unknown_coding(response.headers()) {
        true => Err("the response has an unknown transfer coding"),
        false => Ok(()),
    }
}

/// Whether a body has a transfer coding other than chunks, which is neither decoded nor forwarded.
/// Such a coding also makes the length void, so that the end of the body would be unknown.
fn has_unknown_coding(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(TRANSFER_ENCODING);
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    codings.iter().count() > 1 || !codings.iter().all(is_chunked)
}

/// Whether a response is an event stream of which only the end of the connection tells the end.
fn is_unframed_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    content_type.is_some_and(is_event_stream)
        && !headers.contains_key(CONTENT_LENGTH)
        && !headers.contains_key(TRANSFER_ENCODING)
}

/// Adds an error to the end of an event stream that ends inside an event.
fn check_end(body: ResponseBody) -> ResponseBody {
    let state = Some((body, EventTail::default()));
    futures_util::stream::unfold(state, |state| async move {
        let (mut body, mut tail) = state?;
        match body.next().await {
            Some(Ok(bytes)) => {
                tail.record(&bytes);
                Some((Ok(bytes), Some((body, tail))))
            }
            Some(Err(error)) => Some((Err(error), None)),
            None if tail.is_after_event() => None,
            None => {
                let reason = "the stream ended inside an event".into();
                Some((Err(TargetError::Lost(reason)), None))
            }
        }
    })
    .boxed()
}

fn response_head(response: &reqwest::Response) -> ResponseHead {
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| HeaderField {
            name: name.as_str().into(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    ResponseHead {
        status: response.status().as_u16(),
        headers,
    }
}
