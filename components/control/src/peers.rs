//! The other control nodes: where they are, and the queues to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use client::ControlClient;
use link::LinkEndpoint;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use units::NodeName;
use wire::DirectoryEntry;

use crate::peer_link::{PeerFrame, keep_stream};
use crate::state::ControlContext;

/// Frames that wait for one peer; more are dropped, and Raft sends them again.
const MAX_WAITING: usize = 1_024;

/// One other control node.
struct PeerRecord {
    address: SocketAddr,
    queue: mpsc::Sender<PeerFrame>,
    /// Forwards requests to it.
    client: ControlClient,
    /// Task that keeps the stream to it.
    stream: AbortHandle,
}

/// The other control nodes that this one knows.
#[derive(Clone, Default)]
pub(crate) struct PeerTable {
    peers: Arc<Mutex<BTreeMap<NodeName, PeerRecord>>>,
}

impl PeerTable {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeName, PeerRecord>> {
        self.peers.lock().expect("no holder of the peers panics")
    }

    /// Adds a peer, or takes over its new address, and keeps a stream to it.
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
        let (queue, frames) = mpsc::channel(MAX_WAITING);
        let keeping = keep_stream(context.clone(), endpoint.clone(), address, frames);
        let record = PeerRecord {
            address,
            queue,
            client: ControlClient::new(endpoint.clone(), vec![address]),
            stream: tokio::spawn(keeping).abort_handle(),
        };
        if let Some(old) = peers.insert(name.clone(), record) {
            old.stream.abort();
        }
    }

    /// Ends all streams.
    pub(crate) fn close(&self) {
        for (_, peer) in std::mem::take(&mut *self.lock()) {
            peer.stream.abort();
        }
    }

    /// Queues a frame; drops it if the peer is unknown or its queue is full.
    pub(crate) fn send(&self, name: &NodeName, frame: PeerFrame) {
        if let Some(peer) = self.lock().get(name) {
            let _ = peer.queue.try_send(frame);
        }
    }

    /// Queues a frame for all peers.
    pub(crate) fn broadcast(&self, frame: &PeerFrame) {
        for peer in self.lock().values() {
            let _ = peer.queue.try_send(frame.clone());
        }
    }

    /// Passes announcements on to all peers.
    pub(crate) fn pass_on(&self, entries: Vec<DirectoryEntry>) {
        self.broadcast(&PeerFrame::Directory(entries));
    }

    /// Client that forwards requests to a peer.
    pub(crate) fn client(&self, name: &NodeName) -> Option<ControlClient> {
        self.lock().get(name).map(|peer| peer.client.clone())
    }

    /// Addresses of the peers that `is_wanted` names.
    pub(crate) fn addresses(
        &self,
        is_wanted: impl Fn(&NodeName) -> bool,
    ) -> BTreeMap<NodeName, SocketAddr> {
        let peers = self.lock();
        let wanted = peers.iter().filter(|(name, _)| is_wanted(name));
        wanted
            .map(|(name, peer)| (name.clone(), peer.address))
            .collect()
    }
}
