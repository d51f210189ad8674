//! Fake control that keeps call records in memory.

#![allow(unreachable_pub, missing_docs)]

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use entry::CallRecorder;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use units::{Incarnation, NodeName, RequestId};
use wire::{BeginCall, BeginOutcome, CallKey, CallOutcome, EndCall};

#[derive(Clone, Debug)]
struct CallRecord {
    body_hash: [u8; 32],
    request: RequestId,
    agent: NodeName,
    incarnation: Incarnation,
    outcome: Option<CallOutcome>,
}

#[derive(Debug, Default)]
pub struct FakeRecorder {
    records: Mutex<HashMap<CallKey, CallRecord>>,
}

impl FakeRecorder {
    pub fn apply_begin(&self, begin: &BeginCall) -> BeginOutcome {
        let mut records = self.records.lock().unwrap();
        let fresh = CallRecord {
            body_hash: begin.body_hash,
            request: begin.request,
            agent: begin.agent.clone(),
            incarnation: begin.incarnation,
            outcome: None,
        };
        let Some(record) = records.get_mut(&begin.call) else {
            records.insert(begin.call.clone(), fresh);
            return BeginOutcome::Granted;
        };
        if record.body_hash != begin.body_hash {
            return BeginOutcome::Mismatch;
        }
        match &record.outcome {
            None if record.request == begin.request => BeginOutcome::Granted,
            None => BeginOutcome::InProgress {
                request: record.request,
                agent: record.agent.clone(),
                incarnation: record.incarnation,
            },
            Some(CallOutcome::NotRun) => {
                *record = fresh;
                BeginOutcome::Granted
            }
            Some(outcome) => BeginOutcome::Ended(outcome.clone()),
        }
    }

    pub fn apply_end(&self, end: &EndCall) {
        let mut records = self.records.lock().unwrap();
        if let Some(record) = records.get_mut(&end.call)
            && record.request == end.request
            && record.outcome.is_none()
        {
            record.outcome = Some(end.outcome.clone());
        }
    }

    pub fn ended(&self) -> usize {
        let records = self.records.lock().unwrap();
        records
            .values()
            .filter(|record| record.outcome.is_some())
            .count()
    }

    pub fn begun(&self) -> usize {
        self.records.lock().unwrap().len()
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
#[derive(Debug)]
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
