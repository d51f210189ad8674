//! Transport of requests to a single control node.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use link::{FrameReader, FrameWriter, LinkEndpoint, LinkError, PeerLink};
use tokio::sync::OnceCell;
use wire::{ControlReply, ControlRequest, NodeRole, OperatorOrder, StreamKind};

/// Maximum size of the part of a services text in one frame, in bytes.
const MAX_TEXT_PART_BYTES: usize = 512 << 10;

/// Future of a control node's reply.
pub type ReplyFuture<'a> =
    Pin<Box<dyn Future<Output = Result<ControlReply, LinkError>> + Send + 'a>>;

/// Number of parts of a reply that have arrived, by which a slow transfer is told from a node that does
/// not answer.
#[derive(Debug, Default)]
pub struct ReplyProgress(AtomicUsize);

impl ReplyProgress {
    /// Records the arrival of a part.
    pub fn record_part(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of parts that have arrived.
    pub fn part_count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Transport of requests to control nodes.
pub trait ControlTransport: Send + Sync {
    /// Sends a request to one control node and waits for the reply, without a timeout. Records each part
    /// of the reply that arrives.
    fn exchange<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a ControlRequest,
        progress: &'a ReplyProgress,
    ) -> ReplyFuture<'a>;
}

/// Transport over one QUIC link to each control node.
pub(crate) struct LinkTransport {
    endpoint: LinkEndpoint,
    links: Mutex<BTreeMap<SocketAddr, SharedLink>>,
}

/// Link that concurrent requests share; the first of them opens it.
type SharedLink = Arc<OnceCell<PeerLink>>;

impl LinkTransport {
    pub(crate) fn new(endpoint: LinkEndpoint) -> Self {
        Self {
            endpoint,
            links: Mutex::default(),
        }
    }

    fn shared_link(&self, address: SocketAddr) -> SharedLink {
        self.links().entry(address).or_default().clone()
    }

    fn links(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, SharedLink>> {
        self.links
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: &ControlRequest,
        progress: &ReplyProgress,
    ) -> Result<ControlReply, LinkError> {
        let opened = match self.open_stream(address).await {
            // A link that had no traffic has been closed. Nothing of the request was sent on it.
            Err(LinkError::Lost { .. }) => self.open_stream(address).await,
            opened => opened,
        };
        let (guard, mut writer, mut reader) = opened?;
        send_request(&mut writer, request).await?;
        writer.finish();
        let reply = receive_reply(&mut reader, progress).await?;
        guard.retain_link();
        Ok(reply)
    }

    async fn open_stream(
        &self,
        address: SocketAddr,
    ) -> Result<(LinkGuard<'_>, FrameWriter, FrameReader), LinkError> {
        let shared = self.shared_link(address);
        let guard = LinkGuard {
            transport: self,
            address,
            shared: shared.clone(),
            is_answered: false,
        };
        let connecting = || self.endpoint.connect(address, NodeRole::Control);
        let link = shared.get_or_try_init(connecting).await?;
        let (writer, reader) = link.open(StreamKind::Control).await?;
        Ok((guard, writer, reader))
    }
}

/// Removes a link whose exchange failed or timed out, so that the next attempt opens a new one: an
/// established connection may stop answering permanently while new connections work.
struct LinkGuard<'a> {
    transport: &'a LinkTransport,
    address: SocketAddr,
    shared: SharedLink,
    is_answered: bool,
}

impl LinkGuard<'_> {
    fn retain_link(mut self) {
        self.is_answered = true;
    }
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let mut links = self.transport.links();
        let current = links.get(&self.address);
        if current.is_some_and(|current| Arc::ptr_eq(current, &self.shared)) {
            links.remove(&self.address);
        }
    }
}

impl ControlTransport for LinkTransport {
    fn exchange<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a ControlRequest,
        progress: &'a ReplyProgress,
    ) -> ReplyFuture<'a> {
        Box::pin(self.send(address, request, progress))
    }
}

/// Sends a request. Parts of a large services text are sent before its order.
async fn send_request(writer: &mut FrameWriter, request: &ControlRequest) -> Result<(), LinkError> {
    let ControlRequest::Order(OperatorOrder::Apply {
        order,
        expected,
        text,
    }) = request
    else {
        return writer.send(request).await;
    };
    let mut rest = text.as_str();
    while rest.len() > MAX_TEXT_PART_BYTES {
        let mut end = MAX_TEXT_PART_BYTES;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, tail) = rest.split_at(end);
        writer.send(&ControlRequest::Text(part.into())).await?;
        rest = tail;
    }
    let last = OperatorOrder::Apply {
        order: order.clone(),
        expected: *expected,
        text: rest.into(),
    };
    writer.send(&ControlRequest::Order(last)).await
}

/// Receives all frames of a reply, up to the end of the stream, and joins their parts.
async fn receive_reply(
    reader: &mut FrameReader,
    progress: &ReplyProgress,
) -> Result<ControlReply, LinkError> {
    let mut joined: Option<ControlReply> = None;
    while let Some(part) = reader.receive::<ControlReply>().await? {
        progress.record_part();
        joined = Some(match (joined, part) {
            (Some(ControlReply::Renewed(mut first)), ControlReply::Renewed(next)) => {
                first.changes.extend(next.changes);
                ControlReply::Renewed(first)
            }
            (Some(ControlReply::Status(first)), ControlReply::Status(next)) => {
                ControlReply::Status(first + &next)
            }
            (_, part) => part,
        });
    }
    joined.ok_or_else(|| LinkError::Stream("the stream ended without a reply".into()))
}
