//! Streams to the other control nodes.
//!
//! Each node keeps one stream to each other node and sends only on its own streams. The receiver
//! acknowledges announcements, so that a connection that went silent is replaced.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use link::{FrameReader, FrameWriter, LinkEndpoint, LinkError};
use raft::RaftMessage;
use tokio::sync::mpsc;
use units::{DiskId, NodeName};
use wire::{DirectoryEntry, NodeRole, StreamKind};

use crate::driver_event::DriverEvent;
use crate::formation::PeerAnnouncement;
use crate::state::ControlContext;

/// Time between two announcements and two batches of the directory.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an acknowledgement after which a connection is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Time between two attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Entries of the directory in one frame, about 300 KB.
const BATCH_ENTRIES: usize = 2_000;

units::data! {
    /// Frame between control nodes.
    pub(crate) enum PeerFrame {
        /// The sender tells about itself.
        Announce(PeerAnnouncement),
        /// Acknowledges an announcement.
        Seen,
        /// Answers an announcement of a folder that was removed from the group.
        Removed(DiskId),
        /// Message between two data folders.
        Raft {
            /// Sender.
            from: DiskId,
            /// Receiver; another folder of the same name must not take it.
            to: DiskId,
            /// The message.
            message: RaftMessage,
        },
        /// Renewals that the sender has received.
        Directory(Vec<DirectoryEntry>),
    }
}

/// Passes the directory on and removes silent nodes, for ever.
pub(crate) async fn pass_directory(context: ControlContext) {
    let mut interval = tokio::time::interval(ANNOUNCE_INTERVAL);
    let mut last = context.clock.now();
    loop {
        interval.tick().await;
        let now = context.clock.now();
        let batch = context.nodes.write(|nodes| {
            nodes.tick(now);
            nodes.announced_since(last)
        });
        last = now;
        for part in batch.chunks(BATCH_ENTRIES) {
            context.peers.pass_on(part.to_vec());
        }
    }
}

/// Keeps a stream to one peer, for ever.
pub(crate) async fn keep_stream(
    context: ControlContext,
    endpoint: LinkEndpoint,
    address: SocketAddr,
    mut queue: mpsc::Receiver<PeerFrame>,
) {
    loop {
        // Errors are transient here: the stream is opened again until the process ends.
        let _ = run_stream(&context, &endpoint, address, &mut queue).await;
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn run_stream(
    context: &ControlContext,
    endpoint: &LinkEndpoint,
    address: SocketAddr,
    queue: &mut mpsc::Receiver<PeerFrame>,
) -> Result<(), LinkError> {
    let link = endpoint.connect(address, NodeRole::Control).await?;
    let (writer, reader) = link.open(StreamKind::Raft).await?;
    let result = tokio::select! {
        result = send_frames(context, writer, queue) => result,
        result = watch_replies(context, reader) => result,
    };
    link.close("stream ended");
    result
}

async fn send_frames(
    context: &ControlContext,
    mut writer: FrameWriter,
    queue: &mut mpsc::Receiver<PeerFrame>,
) -> Result<(), LinkError> {
    let mut interval = tokio::time::interval(ANNOUNCE_INTERVAL);
    loop {
        let frame = tokio::select! {
            _ = interval.tick() => {
                PeerFrame::Announce(build_announcement(context))
            }
            frame = queue.recv() => match frame {
                Some(frame) => frame,
                None => return Ok(()),
            },
        };
        writer.send(&frame).await?;
    }
}

/// What this node tells about itself and the nodes that it hears of.
fn build_announcement(context: &ControlContext) -> PeerAnnouncement {
    let now = context.clock.now();
    let (announcement, present) = context.view.read(|view| {
        let seen = view.peers.iter().filter(|(_, peer)| peer.is_present(now));
        let names: BTreeSet<NodeName> = seen.map(|(name, _)| name.clone()).collect();
        (view.announcement.clone(), names)
    });
    PeerAnnouncement {
        known_peers: context.peers.addresses(|name| present.contains(name)),
        ..announcement
    }
}

/// Reads acknowledgements until they stay away.
async fn watch_replies(context: &ControlContext, mut reader: FrameReader) -> Result<(), LinkError> {
    loop {
        let reply = tokio::time::timeout(SILENCE_LIMIT, reader.receive::<PeerFrame>()).await;
        match reply {
            Ok(Ok(Some(PeerFrame::Removed(id)))) => {
                // The driver may have ended already.
                let _ = context.driver.send(DriverEvent::Removed(id)).await;
            }
            Ok(Ok(Some(_))) => {}
            Ok(Ok(None)) => return Ok(()),
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(LinkError::Stream("the peer is silent".into())),
        }
    }
}

/// Adds a peer that was not known, and those that it hears of.
fn add_peers(
    context: &ControlContext,
    endpoint: &LinkEndpoint,
    name: &NodeName,
    announcement: &PeerAnnouncement,
) {
    if !context.settings.has_peer_discovery {
        return;
    }
    if let Some(address) = announcement.address {
        context.peers.add(context, endpoint, name, address);
    }
    for (name, address) in &announcement.known_peers {
        if context.peers.client(name).is_none() {
            context.peers.add(context, endpoint, name, *address);
        }
    }
}

/// Serves the stream that a peer has opened.
pub(crate) async fn serve_peer(
    context: ControlContext,
    endpoint: LinkEndpoint,
    name: NodeName,
    mut writer: FrameWriter,
    mut reader: FrameReader,
) -> Result<(), LinkError> {
    while let Some(frame) = reader.receive::<PeerFrame>().await? {
        let event = match frame {
            PeerFrame::Announce(announcement) => {
                let removed = context.view.read(|view| {
                    let members = &view.status.membership;
                    view.status.is_membership_committed
                        && members.removed.contains(&announcement.id)
                });
                let reply = match removed {
                    true => PeerFrame::Removed(announcement.id),
                    false => PeerFrame::Seen,
                };
                writer.send(&reply).await?;
                add_peers(&context, &endpoint, &name, &announcement);
                let name = name.clone();
                DriverEvent::Announce { name, announcement }
            }
            PeerFrame::Raft { from, to, message } => DriverEvent::Message { from, to, message },
            PeerFrame::Directory(entries) => {
                take_directory(&context, entries);
                continue;
            }
            PeerFrame::Seen | PeerFrame::Removed(_) => continue,
        };
        if context.driver.send(event).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}

/// Takes renewals that another control node has received.
pub(crate) fn take_directory(context: &ControlContext, entries: Vec<DirectoryEntry>) {
    let now = context.clock.now();
    context
        .nodes
        .write(|nodes| nodes.apply_forwarded(entries, now));
}
