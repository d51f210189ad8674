//! One exchange with a target.

use std::time::Duration;

use http::{HeaderMap, Method, Request, StatusCode, Uri, Version, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};

use crate::dialect::{CallerDialect, ForwardMetadata, ResponseVerdict};
use crate::pool::{ExchangeError, TargetConnection, TargetPool};

/// Headers of one connection, which are not passed on.
const HOP_HEADERS: [&str; 10] = [
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

/// Largest whole answer that is held until it is complete, in bytes.
const MAX_WHOLE: usize = 16 << 20;

/// A request as its caller sent it.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Head of an answer and the connection that its body comes on.
pub(crate) struct OpenAnswer {
    pub(crate) head: response::Parts,
    body: Incoming,
    connection: TargetConnection,
    pool: TargetPool,
}

/// How an exchange began.
pub(crate) enum ExchangeStart {
    /// The target answers.
    Answer(OpenAnswer),
    /// The target says that it has not run the request and will not.
    NotRun(StatusCode),
    /// What came is no answer to the request.
    Unsound(String),
}

/// Sends a request to a target and reads the head of the answer.
pub(crate) async fn exchange(
    pool: &TargetPool,
    dialect: &dyn CallerDialect,
    connection: TargetConnection,
    request: &CallerRequest,
    attempt: &str,
    terms: &ForwardMetadata<'_>,
) -> Result<ExchangeStart, ExchangeError> {
    let mut connection = connection;
    let message = target_request(dialect, request, terms)?;
    let response = connection.send(message).await?;
    let (head, body) = response.into_parts();
    Ok(match dialect.classify_response(attempt, &head) {
        ResponseVerdict::NotRun => {
            let status = head.status;
            // The body is empty or short; the connection is kept if it ends at once.
            if is_empty_soon(body).await {
                pool.keep(connection, &head.headers);
            }
            ExchangeStart::NotRun(status)
        }
        ResponseVerdict::Invalid => {
            ExchangeStart::Unsound(format!("unsound answer with status {}", head.status))
        }
        ResponseVerdict::Valid => ExchangeStart::Answer(OpenAnswer {
            head,
            body,
            connection,
            pool: pool.clone(),
        }),
    })
}

fn target_request(
    dialect: &dyn CallerDialect,
    request: &CallerRequest,
    terms: &ForwardMetadata<'_>,
) -> Result<Request<Full<Bytes>>, ExchangeError> {
    let mut headers = dialect.target_headers(&request.headers, terms);
    drop_hop_headers(&mut headers);
    let path = request
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut message = Request::builder()
        .method(request.method.clone())
        .uri(path)
        .version(Version::HTTP_11)
        .body(Full::new(request.body.clone()))
        .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    *message.headers_mut() = headers;
    Ok(message)
}

/// Removes the headers of one connection, also those that `Connection` names.
pub(crate) fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Time that the rest of a refusal may take; a longer one closes the connection.
const REFUSAL_TIME: Duration = Duration::from_millis(20);

async fn is_empty_soon(body: Incoming) -> bool {
    let reading = http_body_util::Limited::new(body, 4 << 10).collect();
    matches!(tokio::time::timeout(REFUSAL_TIME, reading).await, Ok(Ok(_)))
}

impl OpenAnswer {
    /// Reads the whole body.
    pub(crate) async fn whole(self) -> Result<(response::Parts, Bytes), String> {
        let body = http_body_util::Limited::new(self.body, MAX_WHOLE);
        let bytes = body
            .collect()
            .await
            .map_err(|error| format!("the answer broke off: {error}"))?
            .to_bytes();
        self.pool.keep(self.connection, &self.head.headers);
        Ok((self.head, bytes))
    }

    /// The next bytes of the body; `None` at its end, after which the connection is kept.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Some(Ok(bytes));
                    }
                }
                Err(error) => return Some(Err(format!("the answer broke off: {error}"))),
            }
        }
    }

    /// Keeps the connection of an answer that has ended.
    pub(crate) fn finish(self) {
        self.pool.keep(self.connection, &self.head.headers);
    }
}
