//! One caller's request over HTTP, and the check of its answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail};
use reqwest::{Client, RequestBuilder, Response};
use serde::Serialize;
use serde_json::{Value, json};
use standin::content;
use units::error_chain;

use crate::sse::{EventReader, StreamEvent};

/// What is asked.
#[derive(Debug, Clone, PartialEq)]
pub enum CallKind {
    /// Chat completion.
    Chat {
        /// Model service.
        service: String,
        /// Text of the one message.
        prompt: String,
        /// Most tokens of the answer.
        max_tokens: u64,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// Read of a record, which may run more than once.
    Record {
        /// Plain service.
        service: String,
        /// Path of the record.
        path: String,
    },
    /// Booking, which must run at most once.
    Booking {
        /// Plain service.
        service: String,
        /// Id of the booking, also its idempotency key.
        id: String,
    },
}

/// A request and who sends it.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Bearer key of the organisation.
    pub key: String,
    /// What is asked.
    pub kind: CallKind,
}

/// A refusal or failure that the fleet states.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// `not-run`, `ran` or `unknown`; empty if the response does not say.
    pub outcome: String,
    /// Code of the error.
    pub code: String,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Complete and the request's own.
    Whole,
    /// Complete, but not what the request asks for.
    Foreign(String),
    /// Ended as if it were complete, but it is not.
    Cut(String),
    /// The connection broke during the answer, which the caller sees.
    Broken(String),
    /// Refused or failed with a stated error.
    Refused(Refusal),
    /// No answer: the connection broke or the time ran out.
    Lost(String),
}

/// Answer to one attempt, with its times.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// What became of it.
    pub answer: Answer,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When each part of the text arrived; for an answer in one piece, its end.
    pub part_times: Vec<Instant>,
    /// Tokens in the answer.
    pub tokens: u64,
    /// When the answer or its failure was complete.
    pub ended_at: Instant,
}

/// Sends requests to entries on loopback addresses.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    entries: Vec<SocketAddr>,
}

impl Caller {
    /// Opens a client. Refuses addresses that are not loopback.
    pub fn new(entries: Vec<SocketAddr>, timeout: Duration) -> Result<Self> {
        if entries.is_empty() {
            bail!("Failed to open a caller: no entry is given");
        }
        if let Some(address) = entries.iter().find(|entry| !entry.ip().is_loopback()) {
            bail!("Failed to open a caller: {address} is not a loopback address");
        }
        let client = Client::builder()
            .timeout(timeout)
            .no_proxy()
            .build()
            .wrap_err("Failed to open an HTTP client")?;
        Ok(Self { client, entries })
    }

    /// Sends a request once, to the entry with this number modulo their count.
    pub async fn send(&self, request: &CallRequest, entry: usize) -> CallResult {
        let address = self.entries[entry % self.entries.len()];
        let mut result = CallResult {
            answer: Answer::Lost(String::new()),
            sent_at: Instant::now(),
            part_times: Vec::new(),
            tokens: 0,
            ended_at: Instant::now(),
        };
        let response = self.build(request, address).send().await;
        result.answer = match response {
            Err(error) => Answer::Lost(error_chain(&error)),
            Ok(response) if !response.status().is_success() => refusal(response).await,
            Ok(response) => match &request.kind {
                CallKind::Chat { stream: true, .. } => {
                    read_stream(response, &request.kind, &mut result).await
                }
                kind => read_whole(response, kind, &mut result).await,
            },
        };
        result.ended_at = Instant::now();
        result
    }

    /// Sends a request until it is answered, at most `resends` times more, each to the next entry. A
    /// refusal is an answer; a lost or broken one is not.
    pub async fn send_until_answered(
        &self,
        request: &CallRequest,
        entry: usize,
        resends: u32,
    ) -> (CallResult, u32) {
        let first = Instant::now();
        let mut resent = 0;
        loop {
            let mut result = self.send(request, entry + resent as usize).await;
            result.sent_at = first;
            let is_answered = !matches!(result.answer, Answer::Lost(_) | Answer::Broken(_));
            if is_answered || resent == resends {
                return (result, resent);
            }
            resent += 1;
        }
    }

    fn build(&self, request: &CallRequest, address: SocketAddr) -> RequestBuilder {
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

/// The text that a whole answer carries.
fn wanted_text(kind: &CallKind) -> String {
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
    let mut reader = EventReader::default();
    let mut text = String::new();
    let mut done = false;
    loop {
        // The body is read to its end, since a connection dropped before it counts as a caller that
        // has gone away.
        let bytes = match response.chunk().await {
            Ok(Some(bytes)) => bytes,
            Ok(None) if done => return compare(&text, kind),
            Ok(None) => return Answer::Cut(format!("ended after {} tokens", result.tokens)),
            Err(error) => return broken(result, &error),
        };
        for event in reader.push(&bytes) {
            match event {
                StreamEvent::Text(part) => {
                    text.push_str(&part);
                    result.tokens += 1;
                    result.part_times.push(Instant::now());
                }
                StreamEvent::Error(error) => return Answer::Refused(stated(200, "", &error)),
                StreamEvent::Done => done = true,
            }
        }
    }
}

async fn read_whole(response: Response, kind: &CallKind, result: &mut CallResult) -> Answer {
    let value: Value = match response.bytes().await {
        Err(error) => return broken(result, &error),
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
    compare(text.as_str().unwrap_or_default(), kind)
}

/// An answer whose connection broke is told from one that ran out of time.
fn broken(result: &CallResult, error: &reqwest::Error) -> Answer {
    let message = format!("after {} tokens: {}", result.tokens, error_chain(error));
    if error.is_timeout() {
        Answer::Lost(message)
    } else {
        Answer::Broken(message)
    }
}

fn compare(text: &str, kind: &CallKind) -> Answer {
    let wanted = wanted_text(kind);
    if text == wanted {
        Answer::Whole
    } else {
        let (got, want) = (text.len(), wanted.len());
        Answer::Foreign(format!("{got} bytes differ from the {want} that are due"))
    }
}

async fn refusal(response: Response) -> Answer {
    let status = response.status().as_u16();
    let outcome = response
        .headers()
        .get("bilberry-outcome")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_string();
    let body: Value = response.json().await.unwrap_or_default();
    Answer::Refused(stated(status, &outcome, &body))
}

fn stated(status: u16, outcome: &str, body: &Value) -> Refusal {
    let error = &body["error"];
    let outcome = match error["outcome"].as_str() {
        Some(stated) if outcome.is_empty() => stated,
        _ => outcome,
    };
    Refusal {
        status,
        outcome: outcome.to_string(),
        code: error["code"].as_str().unwrap_or_default().to_string(),
    }
}
