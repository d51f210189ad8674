//! Accepts links from nodes, operators and other control nodes, and serves their streams.

use std::sync::Arc;
use std::time::Duration;

use link::{FrameReader, FrameWriter, LinkEndpoint, LinkError, LinkStream, PeerLink};
use telemetry::{event, events};
use tokio::sync::Semaphore;
use wire::{ControlReply, ControlRequest, Hello, NodeRole, OperatorOrder, RenewReply, StreamKind};

use crate::peer_link::serve_peer;
use crate::requests::handle_request;
use crate::state::ControlContext;

/// Timeout for receiving all frames of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a services text: four times the size for 38,000 organisations.
const MAX_TEXT_BYTES: usize = 16 << 20;

/// Maximum size of the part of a reply that is sent in one frame. The receiver waits for up to 1 s for each
/// part, also on a link with 50 KB/s.
const MAX_REPLY_PART_BYTES: usize = 32 << 10;

/// Maximum number of concurrent handshakes. Further ones wait without any state but their first
/// datagrams; a whole fleet that connects at once would need more memory than a small host has.
const MAX_HANDSHAKES: usize = 8;

/// Number of concurrent handshakes from which peers must prove that they receive datagrams. Peers
/// behind a link that passes packets one way only would otherwise occupy all handshakes.
const VALIDATE_FROM_HANDSHAKES: usize = 4;

/// Accepts peers until the endpoint is closed.
pub(crate) async fn serve(context: ControlContext, endpoint: LinkEndpoint) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    while let Some(incoming) = endpoint.accept().await {
        let running = MAX_HANDSHAKES - handshakes.available_permits();
        if running >= VALIDATE_FROM_HANDSHAKES && incoming.may_retry() {
            // Fails only for a peer that has answered a previous retry.
            let _ = incoming.retry();
            continue;
        }
        let permit = handshakes.clone().acquire_owned().await;
        let (context, endpoint) = (context.clone(), endpoint.clone());
        tokio::spawn(async move {
            let result = endpoint.complete_handshake(incoming).await;
            drop(permit);
            match result {
                Ok(link) => serve_link(context, endpoint, link).await,
                Err(error) => event!(events::PEER_REFUSED, error = %error),
            }
        });
    }
}

async fn serve_link(context: ControlContext, endpoint: LinkEndpoint, link: PeerLink) {
    loop {
        match link.accept().await {
            Ok(stream) => {
                tokio::spawn(serve_stream(context.clone(), endpoint.clone(), stream));
            }
            Err(LinkError::Lost { .. }) => return,
            Err(error) => event!(events::PEER_REFUSED, error = %error),
        }
    }
}

async fn serve_stream(context: ControlContext, endpoint: LinkEndpoint, stream: LinkStream) {
    let LinkStream {
        hello,
        mut writer,
        reader,
    } = stream;
    // The certificate proves the role. A control node that was added later is missing from the
    // settings; with peer discovery it is accepted nevertheless.
    let is_listed = context.peers.client(&hello.name).is_some();
    let is_peer =
        hello.role == NodeRole::Control && (is_listed || context.settings.has_peer_discovery);
    // An error ends only this stream; the peer can open a new one.
    let _ = match hello.kind {
        StreamKind::Control => serve_requests(&context, &hello, writer, reader).await,
        StreamKind::Raft if is_peer => {
            serve_peer(context, endpoint, hello.name, writer, reader).await
        }
        _ => {
            event!(events::STREAM_REFUSED, role = hello.role, name = hello.name);
            writer.reset();
            Ok(())
        }
    };
}

async fn serve_requests(
    context: &ControlContext,
    hello: &Hello,
    mut writer: FrameWriter,
    mut reader: FrameReader,
) -> Result<(), LinkError> {
    let request = tokio::time::timeout(REQUEST_TIMEOUT, receive_request(&mut reader))
        .await
        .map_err(|_| LinkError::Stream("request timed out".into()))??;
    let reply = match request {
        Some(request) => handle_request(context, hello, request).await,
        None => ControlReply::BadRequest("the request is too large or incomplete".into()),
    };
    for part in split_reply(reply) {
        writer.send(&part).await?;
    }
    writer.finish();
    Ok(())
}

/// Receives one request and concatenates the parts of a services text. Returns `None` if the stream
/// ends early or the text exceeds [`MAX_TEXT_BYTES`].
async fn receive_request(reader: &mut FrameReader) -> Result<Option<ControlRequest>, LinkError> {
    let mut buf = String::new();
    while let Some(request) = reader.receive::<ControlRequest>().await? {
        match request {
            ControlRequest::Text(part) if buf.len() + part.len() <= MAX_TEXT_BYTES => buf += &part,
            ControlRequest::Text(_) => return Ok(None),
            ControlRequest::Order(OperatorOrder::Apply {
                order,
                expected,
                text,
            }) => {
                let text = buf + &text;
                let apply = OperatorOrder::Apply {
                    order,
                    expected,
                    text,
                };
                return Ok(Some(ControlRequest::Order(apply)));
            }
            request => return Ok(Some(request)),
        }
    }
    Ok(None)
}

/// Splits a reply into frames. The receiver concatenates them until the stream ends.
fn split_reply(reply: ControlReply) -> Vec<ControlReply> {
    match reply {
        ControlReply::Renewed(mut first) if first.changes.len() > MAX_REPLY_PART_BYTES => {
            let rest = first.changes.split_off(MAX_REPLY_PART_BYTES);
            let (age_ms, version) = (first.age_ms, first.version);
            let mut parts = vec![ControlReply::Renewed(first)];
            parts.extend(rest.chunks(MAX_REPLY_PART_BYTES).map(|changes| {
                ControlReply::Renewed(RenewReply {
                    age_ms,
                    version,
                    changes: changes.to_vec(),
                    directory: None,
                    controls: Vec::new(),
                })
            }));
            parts
        }
        ControlReply::Status(text) if text.len() > MAX_REPLY_PART_BYTES => {
            let mut parts = Vec::new();
            let mut rest = text.as_str();
            while !rest.is_empty() {
                let mut end = rest.len().min(MAX_REPLY_PART_BYTES);
                while !rest.is_char_boundary(end) {
                    end -= 1;
                }
                let (part, tail) = rest.split_at(end);
                parts.push(ControlReply::Status(part.into()));
                rest = tail;
            }
            parts
        }
        reply => vec![reply],
    }
}
