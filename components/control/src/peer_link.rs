//! Streams to the other control nodes.
//!
//! Each node keeps one stream to each other node and sends only on its own streams. The receiver
//! acknowledges announcements, so that a connection that went silent is replaced.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use link::{FrameReader, FrameWriter, LinkEndpoint, LinkError};
use raft::RaftMessage;
use tokio::sync::mpsc;
use units::{DiskId, NodeName};
use wire::{DirectoryEntry, NodeRole, StreamKind};

use crate::driver_event::DriverEvent;
use crate::formation::PeerAnnounce;
use crate::state::ControlContext;

/// Frames that wait for one peer; more are dropped, and Raft sends them again.
const MAX_WAITING: usize = 1_024;

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
        Announce(PeerAnnounce),
        /// Acknowledges an announcement.
        Seen,
        /// Answers an announcement of a folder that was removed from the group.
        Removed,
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

/// Queues to the other control nodes.
#[derive(Clone)]
pub(crate) struct PeerSenders {
    queues: BTreeMap<NodeName, mpsc::Sender<PeerFrame>>,
}

impl PeerSenders {
    /// Creates a queue for each peer, and the receiving ends.
    pub(crate) fn new<'a>(
        names: impl Iterator<Item = &'a NodeName>,
    ) -> (Self, BTreeMap<NodeName, mpsc::Receiver<PeerFrame>>) {
        let mut queues = BTreeMap::new();
        let mut receivers = BTreeMap::new();
        for name in names {
            let (sender, receiver) = mpsc::channel(MAX_WAITING);
            queues.insert(name.clone(), sender);
            receivers.insert(name.clone(), receiver);
        }
        (Self { queues }, receivers)
    }

    /// Queues a frame; drops it if the peer is unknown or its queue is full.
    pub(crate) fn send(&self, name: &NodeName, frame: PeerFrame) {
        if let Some(queue) = self.queues.get(name) {
            let _ = queue.try_send(frame);
        }
    }

    /// Passes announcements on to all peers.
    pub(crate) fn pass_on(&self, entries: Vec<DirectoryEntry>) {
        self.broadcast(&PeerFrame::Directory(entries));
    }

    /// Queues a frame for all peers.
    pub(crate) fn broadcast(&self, frame: &PeerFrame) {
        for queue in self.queues.values() {
            let _ = queue.try_send(frame.clone());
        }
    }
}

/// Passes the directory on and removes silent nodes, for ever.
pub(crate) async fn pass_directory(context: ControlContext, peers: PeerSenders) {
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
            peers.broadcast(&PeerFrame::Directory(part.to_vec()));
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
                PeerFrame::Announce(context.view.read(|view| view.announce.clone()))
            }
            frame = queue.recv() => match frame {
                Some(frame) => frame,
                None => return Ok(()),
            },
        };
        writer.send(&frame).await?;
    }
}

/// Reads acknowledgements until they stay away.
async fn watch_replies(context: &ControlContext, mut reader: FrameReader) -> Result<(), LinkError> {
    loop {
        let reply = tokio::time::timeout(SILENCE_LIMIT, reader.receive::<PeerFrame>()).await;
        match reply {
            Ok(Ok(Some(PeerFrame::Removed))) => {
                // The driver may have ended already.
                let _ = context.driver.send(DriverEvent::Removed).await;
            }
            Ok(Ok(Some(_))) => {}
            Ok(Ok(None)) => return Ok(()),
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(LinkError::Stream("the peer is silent".into())),
        }
    }
}

/// Serves the stream that a peer has opened.
pub(crate) async fn serve_peer(
    context: ControlContext,
    name: NodeName,
    mut writer: FrameWriter,
    mut reader: FrameReader,
) -> Result<(), LinkError> {
    while let Some(frame) = reader.receive::<PeerFrame>().await? {
        let event = match frame {
            PeerFrame::Announce(announce) => {
                let removed = context.view.read(|view| {
                    let members = &view.status.membership;
                    members.removed.contains(&announce.id)
                });
                let reply = match removed {
                    true => PeerFrame::Removed,
                    false => PeerFrame::Seen,
                };
                writer.send(&reply).await?;
                let name = name.clone();
                DriverEvent::Announce { name, announce }
            }
            PeerFrame::Raft { from, to, message } => DriverEvent::Message { from, to, message },
            PeerFrame::Directory(entries) => {
                take_directory(&context, entries);
                continue;
            }
            PeerFrame::Seen | PeerFrame::Removed => continue,
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
    context.nodes.write(|nodes| nodes.passed_on(entries, now));
}
