//! Handlers of chat completions, with and without streaming, and of resumed and cancelled streams.

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::http::body::BodySender;
use salvo::{Request, Response, Router, handler};
use serde::Deserialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::sync::watch;

use super::run::{EngineRun, RunProgress, RunState, execute_run};
use super::state::{AdmitError, EngineState};
use crate::content;
use crate::http::{
    abort_response, query_number, read_json, start_streaming, write_error, write_json,
};

/// Length of the prompt's beginning whose hash identifies its prefix in the cache.
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
        let messages_text = chat.messages.to_string();
        let run = Arc::new(new_run(id, &chat, &messages_text));
        let progress = run.subscribe();
        if let Err(error) = self.0.admit(&run, &messages_text) {
            return write_admit_error(response, error);
        }
        tokio::spawn(execute_run(self.0.clone(), run.clone()));
        if chat.stream {
            let sender = start_streaming(response, "text/event-stream");
            tokio::spawn(send_stream(self.0.clone(), run, progress, sender, 0));
        } else {
            write_completion(&run, progress, response).await;
        }
    }
}

struct ResumeHandler(Arc<EngineState>);

#[handler]
impl ResumeHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<String>("id").unwrap_or_default();
        let first_token = query_number(request, "from").unwrap_or(0);
        let Some(run) = self.0.lock().runs.get(&id).cloned() else {
            return write_error(
                response,
                StatusCode::NOT_FOUND,
                "no-stream",
                "no such stream",
            );
        };
        let sender = start_streaming(response, "text/event-stream");
        let progress = run.subscribe();
        tokio::spawn(send_stream(
            self.0.clone(),
            run,
            progress,
            sender,
            first_token,
        ));
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

fn new_run(id: Option<String>, chat: &ChatRequest, messages_text: &str) -> EngineRun {
    let hash = content::prompt_hash(&chat.model, &chat.messages);
    let max_tokens = chat.max_tokens.unwrap_or(content::DEFAULT_MAX_TOKENS);
    let id = id.unwrap_or_else(generate_stream_id);
    let mut run = EngineRun::new(id, chat.model.clone(), hash, max_tokens);
    run.prompt_tokens = messages_text.len() as u64 / 4;
    run.prefix = prefix_hash(messages_text);
    run
}

/// Generates the id of a request that has no `X-Request-Id`.
fn generate_stream_id() -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("unnamed-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

fn prefix_hash(messages_text: &str) -> u64 {
    let bytes = messages_text.as_bytes();
    let digest = Sha256::digest(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first_bytes)
}

fn write_admit_error(response: &mut Response, error: AdmitError) {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    match error {
        AdmitError::Down => write_error(response, status, "down", "the engine is out of service"),
        AdmitError::Busy => write_error(response, status, "busy", "the engine is full"),
        AdmitError::Crashed => abort_response(response),
    }
}

async fn write_completion(
    run: &EngineRun,
    mut progress: watch::Receiver<RunProgress>,
    response: &mut Response,
) {
    let state = match progress
        .wait_for(|progress| progress.state != RunState::Open || progress.silence_count > 0)
        .await
    {
        Ok(progress) if progress.state == RunState::Open => None,
        Ok(progress) => Some(progress.state),
        Err(_) => Some(RunState::Crashed),
    };
    match state {
        Some(RunState::Done) => write_json(response, StatusCode::OK, &completion_body(run)),
        Some(_) => abort_response(response),
        None => std::future::pending().await,
    }
}

fn completion_body(run: &EngineRun) -> Value {
    let text: String = (0..run.token_count)
        .map(|index| content::token(run.hash, index))
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
        "completion_tokens": run.token_count,
        "total_tokens": run.prompt_tokens + run.token_count,
    })
}

/// Injected fault of one connection that reads a stream; `after` is the index of the first token
/// that is not sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamFault {
    None,
    Silent { after: u64 },
    Cut { after: u64 },
}

/// Takes one of the faults that are set, silence before a cut, and decrements its count.
fn take_stream_fault(state: &EngineState) -> StreamFault {
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

/// Sends the tokens of a run, from the one at index `next_token` on, as server-sent events.
async fn send_stream(
    state: Arc<EngineState>,
    run: Arc<EngineRun>,
    mut progress: watch::Receiver<RunProgress>,
    mut sender: BodySender,
    mut next_token: u64,
) {
    let fault = take_stream_fault(&state);
    let initial_silence_count = progress.borrow().silence_count;
    loop {
        let current = *progress.borrow_and_update();
        while next_token < current.produced_tokens {
            let is_silent = current.silence_count > initial_silence_count
                || matches!(fault, StreamFault::Silent { after } if next_token >= after);
            if is_silent {
                return hold_open(sender).await;
            }
            if matches!(fault, StreamFault::Cut { after } if next_token >= after) {
                return sender.send_error(std::io::Error::other("stream cut by an injected fault"));
            }
            if sender
                .send_data(token_event(&run, next_token))
                .await
                .is_err()
            {
                return;
            }
            next_token += 1;
        }
        match current.state {
            RunState::Open => {}
            RunState::Done => return send_final_events(&run, &mut sender).await,
            RunState::Cancelled | RunState::Crashed => {
                return sender.send_error(std::io::Error::other(
                    "run cancelled or crashed before the end of the stream",
                ));
            }
        }
        if progress.changed().await.is_err() {
            return;
        }
    }
}

/// Keeps a connection open without sending anything until the client closes it.
async fn hold_open(sender: BodySender) {
    while !sender.is_closed() {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

async fn send_final_events(run: &EngineRun, sender: &mut BodySender) {
    let end = json!({
        "id": run.id,
        "object": "chat.completion.chunk",
        "model": run.model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": usage(run),
    });
    let text = format!("data: {end}\n\ndata: [DONE]\n\n");
    // An error means that the client has disconnected.
    let _ = sender.send_data(text).await;
}

fn token_event(run: &EngineRun, index: u64) -> String {
    let event = json!({
        "id": run.id,
        "object": "chat.completion.chunk",
        "model": run.model,
        "choices": [{
            "index": 0,
            "delta": {"content": content::token(run.hash, index)},
            "finish_reason": null,
        }],
    });
    format!("data: {event}\n\n")
}
