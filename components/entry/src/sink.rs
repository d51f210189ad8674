//! Channel that carries a response from its run to the caller.

use tokio::sync::mpsc;
use wire::{ResponseHead, StoredResponse};

use crate::refusal::Refusal;

/// Maximum size of a response body that is recorded with a call.
const MAX_RECORDED_BYTES: usize = 8 << 10;

/// Maximum number of parts that wait for the caller. A full channel blocks the run, so that a slow
/// caller slows its run down.
const SINK_CAPACITY: usize = 16;

/// Part of the response to a caller.
#[derive(Debug)]
pub enum ResponsePart {
    /// Head of the response. It comes first.
    Head(ResponseHead),
    /// Bytes of the body.
    Body(Vec<u8>),
    /// The response is complete.
    End,
    /// The request has no response, or the response ends incomplete.
    Refusal(Refusal),
}

/// Forwards a response to the caller.
///
/// The head is held until the first byte of the body or the end of the response, so that a run that
/// has produced no bytes can be repeated.
pub struct ResponseSink {
    sender: mpsc::Sender<ResponsePart>,
    head: Option<ResponseHead>,
    has_sent_head: bool,
    recorded: Option<StoredResponse>,
    is_too_large: bool,
    /// Remaining bytes of the body, if the head has a `Content-Length`.
    remaining_bytes: Option<u64>,
}

impl ResponseSink {
    /// Creates a sink and the receiver of its parts.
    pub fn new() -> (Self, mpsc::Receiver<ResponsePart>) {
        let (sender, parts) = mpsc::channel(SINK_CAPACITY);
        let sink = Self {
            sender,
            head: None,
            has_sent_head: false,
            recorded: None,
            is_too_large: false,
            remaining_bytes: None,
        };
        (sink, parts)
    }

    /// Whether a part of the response was sent to the caller.
    pub(crate) fn has_sent_head(&self) -> bool {
        self.has_sent_head
    }

    /// Waits until the caller disconnects.
    ///
    /// The HTTP server also drops the receiver once it has written `Content-Length` bytes. The run
    /// is then complete and must not be cancelled, so the future stays pending.
    pub async fn closed(&self) {
        if self.remaining_bytes == Some(0) {
            std::future::pending::<()>().await;
        }
        self.sender.closed().await;
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sets the head. The head of a resumed run, which comes again, is ignored.
    pub fn set_head(&mut self, head: ResponseHead) {
        if self.has_sent_head || self.head.is_some() {
            return;
        }
        self.remaining_bytes = content_length(&head);
        self.recorded = Some(StoredResponse {
            head: head.clone(),
            body: Vec::new(),
        });
        self.head = Some(head);
    }

    /// Sends bytes of the body. If the caller has disconnected, the bytes are dropped, and
    /// [`closed`](Self::closed) reports it.
    pub async fn send_body(&mut self, bytes: Vec<u8>) {
        self.record_bytes(&bytes);
        self.remaining_bytes = self
            .remaining_bytes
            .map(|length| length.saturating_sub(bytes.len() as u64));
        self.send_head().await;
        let _ = self.sender.send(ResponsePart::Body(bytes)).await;
    }

    /// Marks the response as complete.
    pub(crate) async fn finish(&mut self) {
        self.send_head().await;
        let _ = self.sender.send(ResponsePart::End).await;
    }

    /// Sends a refusal, or aborts a response that has begun.
    pub(crate) async fn send_refusal(&mut self, refusal: Refusal) {
        let _ = self.sender.send(ResponsePart::Refusal(refusal)).await;
    }

    /// Sends a recorded response.
    pub(crate) async fn replay(&mut self, response: StoredResponse) {
        self.set_head(response.head);
        self.send_body(response.body).await;
        self.finish().await;
    }

    /// Discards the held head and the recorded response before the run is repeated.
    pub(crate) fn reset(&mut self) {
        self.head = None;
        self.recorded = None;
        self.is_too_large = false;
        self.remaining_bytes = None;
    }

    /// Whether the response, as received so far, has a status of success.
    pub(crate) fn has_success(&self) -> bool {
        let recorded = self.recorded.as_ref();
        recorded.is_some_and(|recorded| (200..300).contains(&recorded.head.status))
    }

    /// Response as received so far, or `None` if it has no head or is too large to be recorded.
    pub(crate) fn recorded_response(&self) -> Option<StoredResponse> {
        self.recorded.clone().filter(|_| !self.is_too_large)
    }

    fn record_bytes(&mut self, bytes: &[u8]) {
        let Some(recorded) = &mut self.recorded else {
            return;
        };
        if recorded.body.len() + bytes.len() <= MAX_RECORDED_BYTES {
            recorded.body.extend_from_slice(bytes);
        } else {
            self.is_too_large = true;
        }
    }

    async fn send_head(&mut self) {
        if let Some(head) = self.head.take() {
            self.has_sent_head = true;
            let _ = self.sender.send(ResponsePart::Head(head)).await;
        }
    }
}

fn content_length(head: &ResponseHead) -> Option<u64> {
    let field = head
        .headers
        .iter()
        .find(|field| field.name == "content-length")?;
    std::str::from_utf8(&field.value).ok()?.parse().ok()
}
