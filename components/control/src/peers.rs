//! Table of the other control nodes with their addresses, frame queues and clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use client::ControlClient;
use link::LinkEndpoint;
use telemetry::{event, events};
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::AbortHandle;
use units::NodeName;
use wire::DirectoryEntry;

use crate::peer_lanes::{FrameLane, LaneSenders, lane_queues};
use crate::peer_link::{PeerFrame, maintain_link};
use crate::state::ControlContext;

/// Maximum number of frames queued in each lane to one peer. Further frames are dropped; Raft
/// retransmits its messages.
const MAX_QUEUED_FRAMES: usize = 1_024;

/// Another control node.
struct PeerRecord {
    address: SocketAddr,
    lanes: LaneSenders,
    /// Whether the last frame of each lane did not fit into its queue.
    is_dropping: [bool; FrameLane::ALL.len()],
    /// Client that forwards requests to the peer.
    client: ControlClient,
    /// Task that maintains the link to the peer.
    link_task: AbortHandle,
}

impl PeerRecord {
    fn send(&mut self, name: &NodeName, lane: FrameLane, frame: PeerFrame) {
        let sent = self.lanes.get(lane).try_send(frame);
        let is_full = matches!(sent, Err(TrySendError::Full(_)));
        let is_dropping = &mut self.is_dropping[lane as usize];
        if is_full && !*is_dropping {
            event!(events::PEER_FRAMES_DROPPED, name = name, lane = ?lane);
        }
        *is_dropping = is_full;
    }
}

/// Table of the known control nodes other than this one.
#[derive(Clone, Default)]
pub(crate) struct PeerTable {
    peers: Arc<Mutex<BTreeMap<NodeName, PeerRecord>>>,
}

impl PeerTable {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeName, PeerRecord>> {
        self.peers
            .lock()
            .expect("no thread panics while it holds the lock on the peer table")
    }

    /// Adds a peer or updates its address, and starts a task that maintains a link to it.
    pub(crate) fn add(
        &self,
        context: &ControlContext,
        endpoint: &LinkEndpoint,
        name: &NodeName,
        address: SocketAddr,
    ) {
        let mut peers = self.lock();
        let is_own = *name == context.settings.name;
        if is_own || peers.get(name).is_some_and(|peer| peer.address == address) {
            return;
        }
        let (lanes, frames) = lane_queues(MAX_QUEUED_FRAMES);
        let maintenance = maintain_link(
            context.clone(),
            endpoint.clone(),
            name.clone(),
            address,
            frames,
        );
        let record = PeerRecord {
            address,
            lanes,
            is_dropping: [false; FrameLane::ALL.len()],
            client: ControlClient::new(endpoint.clone(), vec![address]),
            link_task: tokio::spawn(maintenance).abort_handle(),
        };
        if let Some(old) = peers.insert(name.clone(), record) {
            old.link_task.abort();
        }
    }

    /// Removes all peers and aborts the tasks that maintain their links.
    pub(crate) fn close(&self) {
        for (_, peer) in std::mem::take(&mut *self.lock()) {
            peer.link_task.abort();
        }
    }

    /// Queues a frame in a lane to a peer. The frame is dropped if the peer is unknown or its queue is full.
    pub(crate) fn send(&self, name: &NodeName, lane: FrameLane, frame: PeerFrame) {
        if let Some(peer) = self.lock().get_mut(name) {
            peer.send(name, lane, frame);
        }
    }

    /// Queues a frame for every peer. The frame is dropped for peers whose queue is full.
    pub(crate) fn broadcast(&self, lane: FrameLane, frame: &PeerFrame) {
        for (name, peer) in self.lock().iter_mut() {
            peer.send(name, lane, frame.clone());
        }
    }

    /// Queues directory entries for every peer.
    pub(crate) fn broadcast_directory(&self, entries: Vec<DirectoryEntry>) {
        self.broadcast(FrameLane::Directory, &PeerFrame::Directory(entries));
    }

    /// Client that forwards requests to a peer, if the peer is known.
    pub(crate) fn client(&self, name: &NodeName) -> Option<ControlClient> {
        self.lock().get(name).map(|peer| peer.client.clone())
    }

    /// Addresses of the peers for which `is_selected` returns true.
    pub(crate) fn addresses(
        &self,
        is_selected: impl Fn(&NodeName) -> bool,
    ) -> BTreeMap<NodeName, SocketAddr> {
        let peers = self.lock();
        let selected = peers.iter().filter(|(name, _)| is_selected(name));
        selected
            .map(|(name, peer)| (name.clone(), peer.address))
            .collect()
    }
}
