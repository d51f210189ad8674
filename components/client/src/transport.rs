//! How a request reaches one control node.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Mutex;

use link::{FrameReader, FrameWriter, LinkEndpoint, LinkError, PeerLink};
use wire::{ControlReply, ControlRequest, NodeRole, OperatorOrder, StreamKind};

/// Largest part of a services text in one frame, in bytes.
const TEXT_PART: usize = 512 << 10;

/// Reply that is being waited for.
pub type ReplyFuture<'a> =
    Pin<Box<dyn Future<Output = Result<ControlReply, LinkError>> + Send + 'a>>;

/// Way to a control node.
pub trait ControlTransport: Send + Sync {
    /// Sends a request to one control node and waits for its reply.
    fn exchange<'a>(&'a self, address: SocketAddr, request: &'a ControlRequest) -> ReplyFuture<'a>;
}

/// Transport over QUIC links, one for each control node.
pub(crate) struct LinkTransport {
    endpoint: LinkEndpoint,
    links: Mutex<BTreeMap<SocketAddr, PeerLink>>,
}

impl LinkTransport {
    pub(crate) fn new(endpoint: LinkEndpoint) -> Self {
        Self {
            endpoint,
            links: Mutex::default(),
        }
    }

    async fn link(&self, address: SocketAddr) -> Result<PeerLink, LinkError> {
        if let Some(link) = self.links().get(&address) {
            return Ok(link.clone());
        }
        let link = self.endpoint.connect(address, NodeRole::Control).await?;
        self.links().insert(address, link.clone());
        Ok(link)
    }

    fn links(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, PeerLink>> {
        self.links.lock().expect("no holder of the links panics")
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: &ControlRequest,
    ) -> Result<ControlReply, LinkError> {
        let link = self.link(address).await?;
        let guard = LinkGuard {
            transport: self,
            address,
            answered: false,
        };
        let (mut writer, mut reader) = link.open(StreamKind::Control).await?;
        send_request(&mut writer, request).await?;
        writer.finish();
        let reply = receive_reply(&mut reader).await?;
        guard.keep();
        Ok(reply)
    }
}

/// Forgets a link whose exchange failed or was given up, so that the next attempt opens a new one:
/// a connection can stay silent for ever while new ones work.
struct LinkGuard<'a> {
    transport: &'a LinkTransport,
    address: SocketAddr,
    answered: bool,
}

impl LinkGuard<'_> {
    fn keep(mut self) {
        self.answered = true;
    }
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.transport.links().remove(&self.address);
        }
    }
}

impl ControlTransport for LinkTransport {
    fn exchange<'a>(&'a self, address: SocketAddr, request: &'a ControlRequest) -> ReplyFuture<'a> {
        Box::pin(self.send(address, request))
    }
}

/// Sends a request; a large services text goes in parts before its order.
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
    while rest.len() > TEXT_PART {
        let mut end = TEXT_PART;
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

/// Receives the frames of a reply up to the end of the stream and joins them.
async fn receive_reply(reader: &mut FrameReader) -> Result<ControlReply, LinkError> {
    let mut joined: Option<ControlReply> = None;
    while let Some(part) = reader.receive::<ControlReply>().await? {
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
    joined.ok_or_else(|| LinkError::Stream("the stream ended before the reply".into()))
}
