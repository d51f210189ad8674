//! Chat completions, whole and streamed, and streams that are resumed or cancelled.

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::http::body::BodySender;
use salvo::{Request, Response, Router, handler};
use serde::Deserialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::sync::watch;

use super::run::{EngineRun, RunProgress, RunState, drive};
use super::state::{AdmitError, EngineState};
use crate::content;
use crate::http::{cut, query_number, read_json, write_error, write_json, write_parts};

/// Bytes of the prompt whose hash is the prefix.
const PREFIX_BYTES: usize = 256;

pub(crate) fn routes(state: &Arc<EngineState>) -> Router {
    Router::new()
        .push(Router::with_path("v1/chat/completions").post(ChatHandler(state.clone())))
        .push(
            Router::with_path("streams/{id}")
                .get(ResumeHandler(state.clone()))
                .delete(CancelHandler(state.clone())),
        )
}

#[derive(Deserialize)]
struct ChatRequest {
    model: String,
    messages: Value,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

struct ChatHandler(Arc<EngineState>);

#[handler]
impl ChatHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.header::<String>("x-request-id");
        let chat: ChatRequest = match read_json(request).await {
            Ok(chat) => chat,
            Err(error) => {
                let message = format!("{error:#}");
                return write_error(response, StatusCode::BAD_REQUEST, "bad-request", &message);
            }
        };
        let text = chat.messages.to_string();
        let run = Arc::new(new_run(id, &chat, &text));
        let progress = run.watch();
        if let Err(error) = self.0.admit(&run, &text) {
            return refuse(response, error);
        }
        tokio::spawn(drive(self.0.clone(), run.clone()));
        if chat.stream {
            let sender = write_parts(response, "text/event-stream");
            tokio::spawn(send_stream(self.0.clone(), run, progress, sender, 0));
        } else {
            write_whole(&run, progress, response).await;
        }
    }
}

struct ResumeHandler(Arc<EngineState>);

#[handler]
impl ResumeHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<String>("id").unwrap_or_default();
        let first = query_number(request, "from").unwrap_or(0);
        let Some(run) = self.0.lock().runs.get(&id).cloned() else {
            return write_error(
                response,
                StatusCode::NOT_FOUND,
                "no-stream",
                "no such stream",
            );
        };
        let sender = write_parts(response, "text/event-stream");
        let progress = run.watch();
        tokio::spawn(send_stream(self.0.clone(), run, progress, sender, first));
    }
}

struct CancelHandler(Arc<EngineState>);

#[handler]
impl CancelHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<String>("id").unwrap_or_default();
        let Some(run) = self.0.lock().runs.get(&id).cloned() else {
            return write_error(
                response,
                StatusCode::NOT_FOUND,
                "no-stream",
                "no such stream",
            );
        };
        run.end(RunState::Cancelled);
        write_json(response, StatusCode::OK, &json!({"cancelled": id}));
    }
}

fn new_run(id: Option<String>, chat: &ChatRequest, text: &str) -> EngineRun {
    let hash = content::prompt_hash(&chat.model, &chat.messages);
    let max_tokens = chat.max_tokens.unwrap_or(content::DEFAULT_MAX_TOKENS);
    let id = id.unwrap_or_else(unique_id);
    let mut run = EngineRun::new(id, chat.model.clone(), hash, max_tokens);
    run.prompt_tokens = text.len() as u64 / 4;
    run.prefix = prefix_of(text);
    run
}

/// Id of a stream that its caller does not name.
fn unique_id() -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("unnamed-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

fn prefix_of(text: &str) -> u64 {
    let bytes = text.as_bytes();
    let digest = Sha256::digest(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first)
}

fn refuse(response: &mut Response, error: AdmitError) {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    match error {
        AdmitError::Down => write_error(response, status, "down", "the engine is out of service"),
        AdmitError::Busy => write_error(response, status, "busy", "the engine is full"),
        AdmitError::FellOver => cut(response),
    }
}

async fn write_whole(
    run: &EngineRun,
    mut progress: watch::Receiver<RunProgress>,
    response: &mut Response,
) {
    let state = match progress
        .wait_for(|progress| progress.state != RunState::Open || progress.silences > 0)
        .await
    {
        Ok(progress) if progress.state == RunState::Open => None,
        Ok(progress) => Some(progress.state),
        Err(_) => Some(RunState::Crashed),
    };
    match state {
        Some(RunState::Done) => write_json(response, StatusCode::OK, &whole_answer(run)),
        Some(_) => cut(response),
        None => std::future::pending().await,
    }
}

fn whole_answer(run: &EngineRun) -> Value {
    let text: String = (0..run.length)
        .map(|number| content::token(run.hash, number))
        .collect();
    json!({
        "id": run.id,
        "object": "chat.completion",
        "model": run.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": usage(run),
    })
}

fn usage(run: &EngineRun) -> Value {
    json!({
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.length,
        "total_tokens": run.prompt_tokens + run.length,
    })
}

/// What becomes of one connection that reads a stream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamFault {
    None,
    Silent { after: u64 },
    Cut { after: u64 },
}

/// Takes the next fault that is set, so that each counts for one stream.
fn take_fault(state: &EngineState) -> StreamFault {
    let faults = &mut state.lock().faults;
    if faults.silent_streams > 0 {
        faults.silent_streams -= 1;
        let after = faults.silent_after;
        return StreamFault::Silent { after };
    }
    if faults.cut_streams > 0 {
        faults.cut_streams -= 1;
        let after = faults.cut_after;
        return StreamFault::Cut { after };
    }
    StreamFault::None
}

/// Sends the tokens of a run from `next` on as server-sent events.
async fn send_stream(
    state: Arc<EngineState>,
    run: Arc<EngineRun>,
    mut progress: watch::Receiver<RunProgress>,
    mut sender: BodySender,
    mut next: u64,
) {
    let fault = take_fault(&state);
    let silences = progress.borrow().silences;
    loop {
        let now = *progress.borrow_and_update();
        while next < now.produced {
            let silent = now.silences > silences
                || matches!(fault, StreamFault::Silent { after } if next >= after);
            if silent {
                return hold_silent(sender).await;
            }
            if matches!(fault, StreamFault::Cut { after } if next >= after) {
                return sender.send_error(std::io::Error::other("stream cut by a fault"));
            }
            if sender.send_data(token_event(&run, next)).await.is_err() {
                return;
            }
            next += 1;
        }
        match now.state {
            RunState::Open => {}
            RunState::Done => return send_end(&run, &mut sender).await,
            RunState::Cancelled | RunState::Crashed => {
                return sender.send_error(std::io::Error::other("stream ended early"));
            }
        }
        if progress.changed().await.is_err() {
            return;
        }
    }
}

/// Keeps a connection open without sending, until the reader closes it.
async fn hold_silent(sender: BodySender) {
    while !sender.is_closed() {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

async fn send_end(run: &EngineRun, sender: &mut BodySender) {
    let end = json!({
        "id": run.id,
        "object": "chat.completion.chunk",
        "model": run.model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": usage(run),
    });
    let text = format!("data: {end}\n\ndata: [DONE]\n\n");
    // A reader that has gone away needs no end.
    let _ = sender.send_data(text).await;
}

fn token_event(run: &EngineRun, number: u64) -> String {
    let event = json!({
        "id": run.id,
        "object": "chat.completion.chunk",
        "model": run.model,
        "choices": [{
            "index": 0,
            "delta": {"content": content::token(run.hash, number)},
            "finish_reason": null,
        }],
    });
    format!("data: {event}\n\n")
}
