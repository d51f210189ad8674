//! Records of calls that may not be repeated.

use client::ControlClient;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use wire::{BeginCall, BeginOutcome, ControlReply, ControlRequest, EndCall};

/// Store for the records of calls that may not be repeated.
pub trait CallRecorder: Send + Sync {
    /// Records that an attempt of a call is about to run. Returns `None` if the store did not
    /// confirm the record.
    fn begin(&self, call: BeginCall) -> BoxFuture<'_, Option<BeginOutcome>>;

    /// Records the outcome of an attempt. Returns whether the store confirmed the record.
    fn end(&self, call: EndCall) -> BoxFuture<'_, bool>;
}

/// Recorder that writes to the replicated log of control.
pub struct ControlRecorder {
    client: ControlClient,
}

impl ControlRecorder {
    /// Creates a recorder that sends its requests through the client.
    pub fn new(client: ControlClient) -> Self {
        Self { client }
    }
}

impl CallRecorder for ControlRecorder {
    fn begin(&self, call: BeginCall) -> BoxFuture<'_, Option<BeginOutcome>> {
        async move {
            match self.client.request(&ControlRequest::Begin(call)).await {
                Ok(ControlReply::Begun(outcome)) => Some(outcome),
                Ok(_) | Err(_) => None,
            }
        }
        .boxed()
    }

    fn end(&self, call: EndCall) -> BoxFuture<'_, bool> {
        async move {
            let reply = self.client.request(&ControlRequest::End(call)).await;
            matches!(reply, Ok(ControlReply::Done))
        }
        .boxed()
    }
}
