//! HTTP client of a caller, which checks each answer against the expected content.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail};
use reqwest::{Client, RequestBuilder, Response};
use serde::Serialize;
use serde_json::{Value, json};
use standin::content;
use units::error_chain;

use crate::sse::{EventParser, StreamEvent};

/// Kind of a request, with its parameters.
#[derive(Debug, Clone, PartialEq)]
pub enum CallKind {
    /// Chat completion.
    Chat {
        /// Model service.
        service: String,
        /// Text of the only message.
        prompt: String,
        /// Maximum number of tokens in the answer.
        max_tokens: u64,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// Read of a record; idempotent.
    Record {
        /// Plain service.
        service: String,
        /// Path of the record.
        path: String,
    },
    /// Booking; must run at most once.
    Booking {
        /// Plain service.
        service: String,
        /// Booking id, also sent as the idempotency key.
        id: String,
    },
}

/// A request with the credentials of its sender.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Bearer key of the organisation.
    pub key: String,
    /// What is requested.
    pub kind: CallKind,
}

/// An error response of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// `not-run`, `ran` or `unknown`; empty if the response names no outcome.
    pub outcome: String,
    /// Error code; empty if the response has none.
    pub code: String,
}

/// Answer to a request, classified by its completeness and content.
///
/// The report counts the answers under the names of these variants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Complete, with the content expected for the request.
    Whole,
    /// Complete, but with other content than expected; the message says how it differs.
    Foreign(String),
    /// Truncated without an error: the response ended normally before the end marker.
    Cut(String),
    /// The connection broke during the response body, so that the caller sees an error.
    Broken(String),
    /// Refused or failed with an error response.
    Refused(Refusal),
    /// No response, or not a complete one before the timeout.
    Lost(String),
}

/// Answer to a request, with its times.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// Classified answer.
    pub answer: Answer,
    /// When the request was first sent.
    pub sent_at: Instant,
    /// Arrival time of each part of the text; for an answer that is not streamed, of its body.
    pub part_times: Vec<Instant>,
    /// Number of tokens received.
    pub tokens: u64,
    /// When the answer was complete or had failed.
    pub ended_at: Instant,
}

/// Sends requests to entries on loopback addresses.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    entries: Vec<SocketAddr>,
}

impl Caller {
    /// Creates a client. Fails without entries or if an address is not loopback.
    pub fn new(entries: Vec<SocketAddr>, timeout: Duration) -> Result<Self> {
        if entries.is_empty() {
            bail!("Failed to create a caller: the address of an entry is missing");
        }
        if let Some(address) = entries.iter().find(|entry| !entry.ip().is_loopback()) {
            bail!("Failed to create a caller for {address}: it is not a loopback address");
        }
        let client = Client::builder()
            .timeout(timeout)
            .no_proxy()
            .build()
            .wrap_err("Failed to create an HTTP client for the entries")?;
        Ok(Self { client, entries })
    }

    /// Sends a request once, to the entry at index `entry` modulo the number of entries.
    pub async fn send(&self, request: &CallRequest, entry: usize) -> CallResult {
        let address = self.entries[entry % self.entries.len()];
        let mut result = CallResult {
            answer: Answer::Lost(String::new()),
            sent_at: Instant::now(),
            part_times: Vec::new(),
            tokens: 0,
            ended_at: Instant::now(),
        };
        let response = self.build_request(request, address).send().await;
        result.answer = match response {
            Err(error) => Answer::Lost(error_chain(&error)),
            Ok(response) if !response.status().is_success() => read_refusal(response).await,
            Ok(response) => match &request.kind {
                CallKind::Chat { stream: true, .. } => {
                    read_stream(response, &request.kind, &mut result).await
                }
                kind => read_body(response, kind, &mut result).await,
            },
        };
        result.ended_at = Instant::now();
        result
    }

    /// Sends a request until it is answered, with up to `resends` retries, each at the next entry.
    ///
    /// Refusals are final; lost and broken answers are retried. Also returns the number of retries.
    pub async fn send_until_answered(
        &self,
        request: &CallRequest,
        entry: usize,
        resends: u32,
    ) -> (CallResult, u32) {
        let first_sent_at = Instant::now();
        let mut resent = 0;
        loop {
            let mut result = self.send(request, entry + resent as usize).await;
            result.sent_at = first_sent_at;
            let is_answered = !matches!(result.answer, Answer::Lost(_) | Answer::Broken(_));
            if is_answered || resent == resends {
                return (result, resent);
            }
            resent += 1;
        }
    }

    fn build_request(&self, request: &CallRequest, address: SocketAddr) -> RequestBuilder {
        let builder = match &request.kind {
            CallKind::Chat {
                service,
                prompt,
                max_tokens,
                stream,
            } => {
                let body = json!({
                    "model": service,
                    "messages": messages(prompt),
                    "max_tokens": max_tokens,
                    "stream": stream,
                });
                let url = format!("http://{address}/v1/chat/completions");
                self.client.post(url).json(&body)
            }
            CallKind::Record { service, path } => {
                let url = format!("http://{address}/services/{service}/records/{path}");
                self.client.get(url)
            }
            CallKind::Booking { service, id } => {
                let url = format!("http://{address}/services/{service}/orders");
                self.client
                    .post(url)
                    .header("idempotency-key", id)
                    .json(&json!({ "id": id }))
            }
        };
        builder.bearer_auth(&request.key)
    }
}

fn messages(prompt: &str) -> Value {
    json!([{"role": "user", "content": prompt}])
}

/// Text that the stand-ins compute for this request.
fn expected_text(kind: &CallKind) -> String {
    match kind {
        CallKind::Chat {
            service,
            prompt,
            max_tokens,
            ..
        } => content::answer(service, &messages(prompt), *max_tokens),
        CallKind::Record { path, .. } => content::record(path),
        CallKind::Booking { id, .. } => content::record(id),
    }
}

async fn read_stream(response: Response, kind: &CallKind, result: &mut CallResult) -> Answer {
    let mut response = response;
    let mut parser = EventParser::default();
    let mut text = String::new();
    let mut is_done = false;
    loop {
        // Reads past the end marker to the end of the body: dropping the connection earlier would
        // count as a disconnected caller.
        let bytes = match response.chunk().await {
            Ok(Some(bytes)) => bytes,
            Ok(None) if is_done => return check_text(&text, kind),
            Ok(None) => return Answer::Cut(format!("ended after {} tokens", result.tokens)),
            Err(error) => return classify_body_error(result, &error),
        };
        for event in parser.push(&bytes) {
            match event {
                StreamEvent::Text(part) => {
                    text.push_str(&part);
                    result.tokens += 1;
                    result.part_times.push(Instant::now());
                }
                StreamEvent::Error(error) => return Answer::Refused(new_refusal(200, "", &error)),
                StreamEvent::Done => is_done = true,
            }
        }
    }
}

async fn read_body(response: Response, kind: &CallKind, result: &mut CallResult) -> Answer {
    let value: Value = match response.bytes().await {
        Err(error) => return classify_body_error(result, &error),
        Ok(bytes) => match serde_json::from_slice(&bytes) {
            Ok(value) => value,
            Err(error) => return Answer::Foreign(error.to_string()),
        },
    };
    let text = match kind {
        CallKind::Chat { .. } => &value["choices"][0]["message"]["content"],
        _ => &value["text"],
    };
    result.part_times.push(Instant::now());
    result.tokens = value["usage"]["completion_tokens"].as_u64().unwrap_or(1);
    check_text(text.as_str().unwrap_or_default(), kind)
}

/// Distinguishes a timeout ([`Answer::Lost`]) from a broken connection ([`Answer::Broken`]).
fn classify_body_error(result: &CallResult, error: &reqwest::Error) -> Answer {
    let message = format!("after {} tokens: {}", result.tokens, error_chain(error));
    if error.is_timeout() {
        Answer::Lost(message)
    } else {
        Answer::Broken(message)
    }
}

fn check_text(text: &str, kind: &CallKind) -> Answer {
    let expected = expected_text(kind);
    if text == expected {
        Answer::Whole
    } else {
        let (received_bytes, expected_bytes) = (text.len(), expected.len());
        Answer::Foreign(format!(
            "content differs: received {received_bytes} bytes, expected {expected_bytes} bytes"
        ))
    }
}

async fn read_refusal(response: Response) -> Answer {
    let status = response.status().as_u16();
    let outcome = response
        .headers()
        .get("bilberry-outcome")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_string();
    let body: Value = response.json().await.unwrap_or_default();
    Answer::Refused(new_refusal(status, &outcome, &body))
}

fn new_refusal(status: u16, outcome: &str, body: &Value) -> Refusal {
    let error = &body["error"];
    let outcome = match error["outcome"].as_str() {
        Some(body_outcome) if outcome.is_empty() => body_outcome,
        _ => outcome,
    };
    Refusal {
        status,
        outcome: outcome.to_string(),
        code: error["code"].as_str().unwrap_or_default().to_string(),
    }
}
