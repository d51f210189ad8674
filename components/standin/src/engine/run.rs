//! One run: it produces tokens at the engine's rate while somebody reads them.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::state::EngineState;
use crate::content::{self, PromptHash};

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// It waits or produces tokens.
    Open,
    /// All tokens are produced.
    Done,
    /// It was cancelled.
    Cancelled,
    /// The engine fell over.
    Crashed,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct RunProgress {
    pub(crate) produced: u64,
    pub(crate) state: RunState,
    /// Connections that were open when this last changed send nothing more.
    pub(crate) silences: u64,
}

/// A request that the engine has admitted.
pub(crate) struct EngineRun {
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) hash: PromptHash,
    pub(crate) length: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) prefix: u64,
    progress: watch::Sender<RunProgress>,
}

impl EngineRun {
    pub(crate) fn new(id: String, model: String, hash: PromptHash, max_tokens: u64) -> Self {
        let progress = RunProgress {
            produced: 0,
            state: RunState::Open,
            silences: 0,
        };
        Self {
            id,
            model,
            hash,
            length: content::answer_token_count(hash, max_tokens),
            prompt_tokens: 0,
            prefix: 0,
            progress: watch::Sender::new(progress),
        }
    }

    pub(crate) fn state(&self) -> RunState {
        self.progress.borrow().state
    }

    pub(crate) fn watch(&self) -> watch::Receiver<RunProgress> {
        self.progress.subscribe()
    }

    /// Ends an open run.
    pub(crate) fn end(&self, state: RunState) {
        self.progress.send_if_modified(|progress| {
            let open = progress.state == RunState::Open;
            if open {
                progress.state = state;
            }
            open
        });
    }

    /// Makes the connections that read it now go silent.
    pub(crate) fn silence(&self) {
        self.progress.send_modify(|progress| progress.silences += 1);
    }

    fn produce(&self) -> u64 {
        let mut produced = 0;
        self.progress.send_modify(|progress| {
            progress.produced += 1;
            produced = progress.produced;
        });
        produced
    }

    async fn ended(&self) {
        let mut progress = self.watch();
        // The sender lives as long as `self`.
        let _ = progress
            .wait_for(|progress| progress.state != RunState::Open)
            .await;
    }
}

/// Takes a run through the queue and the batch to its end.
pub(crate) async fn drive(state: Arc<EngineState>, run: Arc<EngineRun>) {
    let place = tokio::select! {
        place = state.places.acquire() => place.ok(),
        () = run.ended() => None,
        () = unread(&run, state.settings.resume_time) => None,
    };
    let started = place.is_some();
    let mut end = RunState::Cancelled;
    if started {
        state.run_started();
        tokio::select! {
            () = produce_all(&state, &run) => end = RunState::Done,
            () = run.ended() => {}
            () = unread(&run, state.settings.resume_time) => {}
        }
    }
    state.end_run(&run, started, end);
    drop(place);
    tokio::time::sleep(state.settings.resume_time).await;
    state.forget(&run);
}

async fn produce_all(state: &EngineState, run: &EngineRun) {
    let cached = state.lock().cache.touch(run.prefix);
    let settings = &state.settings;
    let prefill = if cached {
        settings.cached_prefill_time
    } else {
        settings.prefill_time
    };
    let mut next = Instant::now() + prefill;
    loop {
        tokio::time::sleep_until(next).await;
        state.lock().status.tokens += 1;
        if run.produce() >= run.length {
            return;
        }
        next += settings.token_time;
    }
}

/// Ends once nobody has read the run for a time.
async fn unread(run: &EngineRun, limit: Duration) {
    loop {
        run.progress.closed().await;
        let deadline = Instant::now() + limit;
        while run.progress.receiver_count() == 0 {
            if Instant::now() >= deadline {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}
