//! Fake control that keeps call records in memory.

#![allow(unreachable_pub, missing_docs)]

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use entry::CallRecorder;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use registry::{RegistryAction, RegistryCommand, RegistryOutcome, RegistryState, WallTime};
use wire::{BeginCall, BeginOutcome, CallKey, EndCall};

/// Control without a network: the registry of the replicated log, in memory.
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
            outcome => panic!("a begin has the outcome {outcome:?}"),
        }
    }

    pub fn apply_end(&self, end: &EndCall) {
        self.apply(RegistryAction::End(end.clone()));
    }

    /// Calls whose outcome is recorded.
    pub fn ended(&self) -> usize {
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

/// Way of one entry to the fake control, which can be cut.
pub struct RecorderLink {
    pub recorder: Arc<FakeRecorder>,
    pub cut: AtomicBool,
}

impl RecorderLink {
    pub fn new(recorder: Arc<FakeRecorder>) -> Arc<Self> {
        let cut = AtomicBool::new(false);
        Arc::new(Self { recorder, cut })
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }
}

impl CallRecorder for RecorderLink {
    fn begin(&self, call: BeginCall) -> BoxFuture<'_, Option<BeginOutcome>> {
        async move { (!self.is_cut()).then(|| self.recorder.apply_begin(&call)) }.boxed()
    }

    fn end(&self, call: EndCall) -> BoxFuture<'_, bool> {
        async move {
            let open = !self.is_cut();
            if open {
                self.recorder.apply_end(&call);
            }
            open
        }
        .boxed()
    }
}
