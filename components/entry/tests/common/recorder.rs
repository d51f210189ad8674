//! Fake control that stores call records in memory.

#![allow(unreachable_pub, missing_docs)]

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use entry::CallRecorder;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use registry::{RegistryAction, RegistryCommand, RegistryOutcome, RegistryState, WallTime};
use wire::{BeginCall, BeginOutcome, CallKey, EndCall};

/// Recorder that applies commands to an in-memory registry, without a network or a replicated log.
#[derive(Default)]
pub struct FakeRecorder {
    state: Mutex<RegistryState>,
    calls: Mutex<BTreeSet<CallKey>>,
}

impl FakeRecorder {
    pub fn apply_begin(&self, begin: &BeginCall) -> BeginOutcome {
        self.calls.lock().unwrap().insert(begin.call.clone());
        match self.apply(RegistryAction::Begin(begin.clone())) {
            RegistryOutcome::Begin(outcome) => outcome,
            outcome => panic!("expected a begin outcome, got {outcome:?}"),
        }
    }

    pub fn apply_end(&self, end: &EndCall) {
        self.apply(RegistryAction::End(end.clone()));
    }

    /// Number of calls whose outcome is recorded.
    pub fn outcomes(&self) -> usize {
        let state = self.state.lock().unwrap();
        let calls = self.calls.lock().unwrap();
        let records = calls.iter().filter_map(|call| state.call(call));
        records.filter(|record| record.outcome.is_some()).count()
    }

    fn apply(&self, action: RegistryAction) -> RegistryOutcome {
        let at = WallTime(0);
        self.state
            .lock()
            .unwrap()
            .apply(&RegistryCommand { at, action })
    }
}

impl CallRecorder for FakeRecorder {
    fn begin(&self, call: BeginCall) -> BoxFuture<'_, Option<BeginOutcome>> {
        async move { Some(self.apply_begin(&call)) }.boxed()
    }

    fn end(&self, call: EndCall) -> BoxFuture<'_, bool> {
        async move {
            self.apply_end(&call);
            true
        }
        .boxed()
    }
}

/// Connection of one entry to the fake control, which a test can interrupt.
pub struct RecorderConnection {
    pub recorder: Arc<FakeRecorder>,
    pub is_interrupted: AtomicBool,
}

impl RecorderConnection {
    pub fn new(recorder: Arc<FakeRecorder>) -> Arc<Self> {
        let is_interrupted = AtomicBool::new(false);
        Arc::new(Self {
            recorder,
            is_interrupted,
        })
    }

    fn is_interrupted(&self) -> bool {
        self.is_interrupted.load(Ordering::SeqCst)
    }
}

impl CallRecorder for RecorderConnection {
    fn begin(&self, call: BeginCall) -> BoxFuture<'_, Option<BeginOutcome>> {
        async move { (!self.is_interrupted()).then(|| self.recorder.apply_begin(&call)) }.boxed()
    }

    fn end(&self, call: EndCall) -> BoxFuture<'_, bool> {
        async move {
            let is_connected = !self.is_interrupted();
            if is_connected {
                self.recorder.apply_end(&call);
            }
            is_connected
        }
        .boxed()
    }
}
