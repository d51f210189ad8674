//! Way of a response from a run to its caller.

use tokio::sync::mpsc;
use wire::{ResponseHead, StoredResponse};

use crate::refusal::Refusal;

/// Largest body that is recorded with a call, in bytes.
const MAX_RECORDED: usize = 8 << 10;

/// Parts of a response that wait for the caller; a slow caller slows the run.
const SINK_QUEUE: usize = 16;

/// Part of the answer to a caller.
#[derive(Debug)]
pub enum ResponsePart {
    /// Head of the response; the first part.
    Head(ResponseHead),
    /// Bytes of the body.
    Body(Vec<u8>),
    /// The response is complete.
    End,
    /// There is no response, or it breaks off here.
    Refusal(Refusal),
}

/// Passes a response on to the caller. The head is held back until the first byte or the end, so
/// that a run that produced nothing can be repeated.
pub struct ResponseSink {
    sender: mpsc::Sender<ResponsePart>,
    head: Option<ResponseHead>,
    sent: bool,
    record: Option<StoredResponse>,
    too_large: bool,
    /// Bytes of the body that the head announces and that were not passed on yet.
    missing: Option<u64>,
}

impl ResponseSink {
    /// Creates a sink and the parts that come out of it.
    pub fn new() -> (Self, mpsc::Receiver<ResponsePart>) {
        let (sender, parts) = mpsc::channel(SINK_QUEUE);
        let sink = Self {
            sender,
            head: None,
            sent: false,
            record: None,
            too_large: false,
            missing: None,
        };
        (sink, parts)
    }

    /// Whether the caller has got a part of the response.
    pub(crate) fn has_sent(&self) -> bool {
        self.sent
    }

    /// Waits until the caller is gone.
    ///
    /// An HTTP server drops the parts once the announced length is written. That is no sign of a
    /// caller that left: the run is complete and must not be cancelled.
    pub async fn closed(&self) {
        if self.missing == Some(0) {
            std::future::pending::<()>().await;
        }
        self.sender.closed().await;
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Takes the head; a repeated one is dropped.
    pub fn set_head(&mut self, head: ResponseHead) {
        if self.sent || self.head.is_some() {
            return;
        }
        self.missing = announced_length(&head);
        self.record = Some(StoredResponse {
            head: head.clone(),
            body: Vec::new(),
        });
        self.head = Some(head);
    }

    /// Passes bytes on. A caller that is gone is noticed through [`closed`](Self::closed).
    pub async fn send_body(&mut self, bytes: Vec<u8>) {
        self.keep(&bytes);
        self.missing = self
            .missing
            .map(|length| length.saturating_sub(bytes.len() as u64));
        self.send_head().await;
        let _ = self.sender.send(ResponsePart::Body(bytes)).await;
    }

    /// Ends the response.
    pub(crate) async fn end(&mut self) {
        self.send_head().await;
        let _ = self.sender.send(ResponsePart::End).await;
    }

    /// Ends without a response, or breaks the response off.
    pub(crate) async fn refuse(&mut self, refusal: Refusal) {
        let _ = self.sender.send(ResponsePart::Refusal(refusal)).await;
    }

    /// Sends a response that was recorded.
    pub(crate) async fn replay(&mut self, response: StoredResponse) {
        self.set_head(response.head);
        self.send_body(response.body).await;
        self.end().await;
    }

    /// Forgets the held head, before the run is repeated.
    pub(crate) fn reset(&mut self) {
        self.head = None;
        self.record = None;
        self.too_large = false;
        self.missing = None;
    }

    /// The whole response, unless it is too large to be recorded.
    pub(crate) fn recorded(&self) -> Option<StoredResponse> {
        self.record.clone().filter(|_| !self.too_large)
    }

    fn keep(&mut self, bytes: &[u8]) {
        let Some(record) = &mut self.record else {
            return;
        };
        if record.body.len() + bytes.len() <= MAX_RECORDED {
            record.body.extend_from_slice(bytes);
        } else {
            self.too_large = true;
        }
    }

    async fn send_head(&mut self) {
        if let Some(head) = self.head.take() {
            self.sent = true;
            let _ = self.sender.send(ResponsePart::Head(head)).await;
        }
    }
}

fn announced_length(head: &ResponseHead) -> Option<u64> {
    let field = head
        .headers
        .iter()
        .find(|field| field.name == "content-length")?;
    std::str::from_utf8(&field.value).ok()?.parse().ok()
}
