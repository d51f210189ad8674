//! Execution of an admitted request, which produces tokens at the engine's rate.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::state::EngineState;
use crate::content::{self, PromptHash};

/// State of a run; all but `Open` are final.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// Waiting for the batch or producing tokens.
    Open,
    /// All tokens have been produced.
    Done,
    /// Cancelled by a client, or abandoned by its readers.
    Cancelled,
    /// Ended by an outage or a restart of the engine.
    Crashed,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct RunProgress {
    pub(crate) produced_tokens: u64,
    pub(crate) state: RunState,
    /// Number of calls of [`EngineRun::silence`]. A connection that was open at the last one sends
    /// nothing more.
    pub(crate) silence_count: u64,
}

/// A request that the engine has admitted.
pub(crate) struct EngineRun {
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) hash: PromptHash,
    pub(crate) token_count: u64,
    pub(crate) prompt_tokens: u64,
    /// Hash of the start of the prompt.
    pub(crate) prefix: u64,
    progress: watch::Sender<RunProgress>,
}

impl EngineRun {
    pub(crate) fn new(id: String, model: String, hash: PromptHash, max_tokens: u64) -> Self {
        let progress = RunProgress {
            produced_tokens: 0,
            state: RunState::Open,
            silence_count: 0,
        };
        Self {
            id,
            model,
            hash,
            token_count: content::answer_token_count(hash, max_tokens),
            prompt_tokens: 0,
            prefix: 0,
            progress: watch::Sender::new(progress),
        }
    }

    pub(crate) fn state(&self) -> RunState {
        self.progress.borrow().state
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<RunProgress> {
        self.progress.subscribe()
    }

    /// Ends an open run; a run that has ended keeps its state.
    pub(crate) fn end(&self, state: RunState) {
        self.progress.send_if_modified(|progress| {
            let is_open = progress.state == RunState::Open;
            if is_open {
                progress.state = state;
            }
            is_open
        });
    }

    /// Makes the connections that read this run now stop sending, without closing them.
    pub(crate) fn silence(&self) {
        self.progress
            .send_modify(|progress| progress.silence_count += 1);
    }

    fn count_token(&self) -> u64 {
        let mut produced_tokens = 0;
        self.progress.send_modify(|progress| {
            progress.produced_tokens += 1;
            produced_tokens = progress.produced_tokens;
        });
        produced_tokens
    }

    async fn wait_for_end(&self) {
        let mut progress = self.subscribe();
        // Cannot fail: the sender lives as long as `self`.
        let _ = progress
            .wait_for(|progress| progress.state != RunState::Open)
            .await;
    }
}

/// Queues a run, executes it in the batch and keeps it for `resume_time` after its end.
pub(crate) async fn execute_run(state: Arc<EngineState>, run: Arc<EngineRun>) {
    let permit = tokio::select! {
        permit = state.batch_permits.acquire() => permit.ok(),
        () = run.wait_for_end() => None,
        () = wait_until_abandoned(&run, state.settings.resume_time) => None,
    };
    let has_started = permit.is_some();
    let mut end_state = RunState::Cancelled;
    if has_started {
        state.record_run_start();
        tokio::select! {
            () = produce_tokens(&state, &run) => end_state = RunState::Done,
            () = run.wait_for_end() => {}
            () = wait_until_abandoned(&run, state.settings.resume_time) => {}
        }
    }
    state.end_run(&run, has_started, end_state);
    drop(permit);
    tokio::time::sleep(state.settings.resume_time).await;
    state.remove_run(&run);
}

async fn produce_tokens(state: &EngineState, run: &EngineRun) {
    let is_cached = state.lock().cache.touch(run.prefix);
    let settings = &state.settings;
    let prefill_time = if is_cached {
        settings.cached_prefill_time
    } else {
        settings.prefill_time
    };
    let mut next_token_at = Instant::now() + prefill_time;
    loop {
        tokio::time::sleep_until(next_token_at).await;
        state.lock().status.tokens += 1;
        if run.count_token() >= run.token_count {
            return;
        }
        next_token_at += settings.token_time;
    }
}

/// Returns once the run has had no reader for `resume_time`.
async fn wait_until_abandoned(run: &EngineRun, resume_time: Duration) {
    loop {
        run.progress.closed().await;
        let deadline = Instant::now() + resume_time;
        while run.progress.receiver_count() == 0 {
            if Instant::now() >= deadline {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}
