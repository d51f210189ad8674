//! Links to the other control nodes.
//!
//! Each node maintains one link to each other node and sends frames only on the links that it has
//! opened, with a stream for each lane. The receiver acknowledges announcements, so that the sender
//! detects and replaces a connection that no longer delivers frames.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use link::{FrameReader, FrameWriter, LinkEndpoint, LinkError, PeerLink};
use raft::RaftMessage;
use telemetry::{event, events};
use tokio::sync::mpsc;
use units::{ClockTime, DiskId, NodeName, error_chain};
use wire::{DirectoryEntry, NodeRole, StreamKind};

use crate::driver_event::DriverEvent;
use crate::formation::PeerAnnouncement;
use crate::peer_lanes::{FrameLane, LaneReceivers};
use crate::state::ControlContext;

/// Interval between announcements, and between batches of directory entries.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an acknowledgement after which the connection is closed.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay between attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of directory entries in one frame, about 300 KB.
const MAX_BATCH_ENTRIES: usize = 2_000;

units::data! {
    /// Frame between control nodes.
    pub(crate) enum PeerFrame {
        /// Announcement of the sender.
        Announce(PeerAnnouncement),
        /// Acknowledges an announcement.
        Acknowledge,
        /// Replies to the announcement of a data folder that was removed from the group.
        Removed(DiskId),
        /// Raft message between two data folders.
        Raft {
            /// Data folder of the sender.
            from: DiskId,
            /// Data folder of the receiver. A node that has since replaced its folder ignores the
            /// message.
            to: DiskId,
            /// Content of the message.
            message: RaftMessage,
        },
        /// Directory entries that the sender has received directly from nodes.
        Directory(Vec<DirectoryEntry>),
    }
}

/// Periodically removes silent nodes from the directory, and forwards the entries that nodes have
/// announced to this control node. Runs until the task is aborted.
pub(crate) async fn replicate_directory(context: ControlContext) {
    let mut interval = tokio::time::interval(ANNOUNCE_INTERVAL);
    let mut last_sent_at = context.clock.now();
    loop {
        interval.tick().await;
        let now = context.clock.now();
        let batch = context.with_nodes(|nodes| {
            nodes.tick(now);
            nodes.announced_since(last_sent_at)
        });
        last_sent_at = now;
        for entries in batch.chunks(MAX_BATCH_ENTRIES) {
            context.peers.broadcast_directory(entries.to_vec());
        }
    }
}

/// Maintains a link to one peer and reopens it after failures. Runs until the task is aborted.
pub(crate) async fn maintain_link(
    context: ControlContext,
    endpoint: LinkEndpoint,
    name: NodeName,
    address: SocketAddr,
    mut queues: LaneReceivers,
) {
    loop {
        // All errors are treated as transient: the link is reopened after the delay.
        let _ = run_link(&context, &endpoint, (&name, address), &mut queues).await;
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn run_link(
    context: &ControlContext,
    endpoint: &LinkEndpoint,
    (name, address): (&NodeName, SocketAddr),
    queues: &mut LaneReceivers,
) -> Result<(), LinkError> {
    let connecting_at = context.clock.now();
    let link = endpoint.connect(address, NodeRole::Control).await?;
    let (urgent_writer, urgent_reader) = open_lane(&link, FrameLane::Urgent).await?;
    let (directory_writer, _directory_reader) = open_lane(&link, FrameLane::Directory).await?;
    let (log_writer, _log_reader) = open_lane(&link, FrameLane::Log).await?;
    let opened_at = context.clock.now();
    event!(
        events::PEER_LINK_OPENED,
        name = name,
        connect_ms = opened_at.since(connecting_at).as_millis()
    );
    let acknowledged_at = AtomicU64::new(opened_at.0);
    let [urgent, directory, log] = queues;
    let result = tokio::select! {
        result = send_urgent_frames(context, urgent_writer, urgent) => result,
        result = send_frames(directory_writer, directory) => result,
        result = send_frames(log_writer, log) => result,
        result = read_replies(context, urgent_reader, &acknowledged_at) => result,
    };
    link.close("link ended");
    let now = context.clock.now();
    let acknowledged_at = ClockTime(acknowledged_at.into_inner());
    let traffic = link.traffic();
    let queued: usize = queues.iter().map(mpsc::Receiver::len).sum();
    event!(
        events::PEER_LINK_CLOSED,
        name = name,
        reason = ?result.as_ref().err().map(|error| error_chain(error)),
        open_ms = now.since(opened_at).as_millis(),
        sent_bytes = traffic.sent,
        lost_packets = traffic.lost_packets,
        round_trip_ms = traffic.round_trip.as_millis(),
        queued = queued,
        unacknowledged_ms = now.since(acknowledged_at).as_millis()
    );
    result
}

async fn open_lane(
    link: &PeerLink,
    lane: FrameLane,
) -> Result<(FrameWriter, FrameReader), LinkError> {
    let (mut writer, reader) = link.open(StreamKind::Raft).await?;
    writer.set_priority(lane.priority());
    Ok((writer, reader))
}

/// Sends the frames of the urgent lane, and announcements at their interval.
async fn send_urgent_frames(
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

async fn send_frames(
    mut writer: FrameWriter,
    queue: &mut mpsc::Receiver<PeerFrame>,
) -> Result<(), LinkError> {
    while let Some(frame) = queue.recv().await {
        writer.send(&frame).await?;
    }
    Ok(())
}

/// This node's announcement, with the addresses of the peers that are present.
pub(crate) fn build_announcement(context: &ControlContext) -> PeerAnnouncement {
    let now = context.clock.now();
    let (announcement, present_names) = context.view.read(|view| {
        let present_peers = view.peers.iter().filter(|(_, peer)| peer.is_present(now));
        let present_names: BTreeSet<NodeName> =
            present_peers.map(|(name, _)| name.clone()).collect();
        (view.announcement.clone(), present_names)
    });
    PeerAnnouncement {
        known_peers: context.peers.addresses(|name| present_names.contains(name)),
        ..announcement
    }
}

/// Reads acknowledgements until the stream ends or none arrives in time.
async fn read_replies(
    context: &ControlContext,
    mut reader: FrameReader,
    acknowledged_at: &AtomicU64,
) -> Result<(), LinkError> {
    loop {
        let reply =
            tokio::time::timeout(ACKNOWLEDGEMENT_TIMEOUT, reader.receive::<PeerFrame>()).await;
        if reply.is_ok() {
            acknowledged_at.store(context.clock.now().0, Ordering::Relaxed);
        }
        match reply {
            Ok(Ok(Some(PeerFrame::Removed(id)))) => {
                // The send fails if the driver has already ended.
                let _ = context.driver.send(DriverEvent::FolderRemoved(id)).await;
            }
            Ok(Ok(Some(_))) => {}
            Ok(Ok(None)) => return Ok(()),
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(LinkError::Stream("acknowledgement timed out".into())),
        }
    }
}

/// With peer discovery, adds the sender of an announcement or updates its address, and adds the
/// unknown peers that it lists.
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

/// Serves a stream opened by a peer.
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
                let is_removed = context.view.read(|view| {
                    let members = &view.status.membership;
                    view.status.is_membership_committed
                        && members.removed.contains(&announcement.id)
                });
                let reply = match is_removed {
                    true => PeerFrame::Removed(announcement.id),
                    false => PeerFrame::Acknowledge,
                };
                writer.send(&reply).await?;
                add_peers(&context, &endpoint, &name, &announcement);
                let name = name.clone();
                DriverEvent::Announce { name, announcement }
            }
            PeerFrame::Raft { from, to, message } => DriverEvent::Message { from, to, message },
            PeerFrame::Directory(entries) => {
                apply_directory(&context, entries);
                continue;
            }
            PeerFrame::Acknowledge | PeerFrame::Removed(_) => continue,
        };
        if context.driver.send(event).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}

/// Applies directory entries that another control node has received from nodes and forwarded.
pub(crate) fn apply_directory(context: &ControlContext, entries: Vec<DirectoryEntry>) {
    let now = context.clock.now();
    context.with_nodes(|nodes| nodes.apply_forwarded(entries, now));
}
