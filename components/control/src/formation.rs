//! Announcements of control nodes, and the decision when empty nodes form a group.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use raft::LogIndex;
use units::{ClockTime, DataCentreName, DiskId, NodeName};

/// Time after its last announcement for which a node counts as present.
const PRESENCE_TIMEOUT_MS: u64 = 2_000;

units::data! {
    /// Announcement that a control node sends to its peers.
    pub struct PeerAnnouncement {
        /// Id of the sender's data folder.
        pub id: DiskId,
        /// Whether the sender has never been part of a group.
        pub is_empty: bool,
        /// Names of the control nodes that form the group according to the sender's settings,
        /// including itself; empty if it only joins an existing group.
        pub configured_names: BTreeSet<NodeName>,
        /// Members with which the group was formed, if the sender still has its first log entry.
        pub initial_members: Option<BTreeSet<DiskId>>,
        /// Index of the last log entry that the sender has applied.
        pub applied_index: LogIndex,
        /// Address at which peers can open links to the sender, if known.
        pub address: Option<SocketAddr>,
        /// Whether the sender is about to stop and waits for a successor to take its seat.
        pub is_leaving: bool,
        /// Data centre of the sender, if configured.
        pub data_centre: Option<DataCentreName>,
        /// Addresses of the control nodes that the sender considers present. They let every node
        /// discover a new one.
        pub known_peers: BTreeMap<NodeName, SocketAddr>,
    }
}

/// Newest announcement of another control node.
#[derive(Debug, Clone)]
pub struct SeenPeer {
    /// Content of the announcement.
    pub announcement: PeerAnnouncement,
    /// Time at which the announcement arrived.
    pub received_at: ClockTime,
}

impl SeenPeer {
    /// Whether the last announcement is recent enough for the node to count as present.
    pub fn is_present(&self, now: ClockTime) -> bool {
        now.0.saturating_sub(self.received_at.0) <= PRESENCE_TIMEOUT_MS
    }

    /// Time since the last announcement.
    pub fn silence(&self, now: ClockTime) -> Duration {
        now.since(self.received_at)
    }
}

/// Newest announcement of each other control node, by node name.
pub type SeenPeers = BTreeMap<NodeName, SeenPeer>;

/// Initial members of the group that an empty node forms, or `None` while the node must wait or
/// join an existing group.
///
/// All configured nodes must be present and empty, and must have the same configured names. If
/// another node has already formed a group that includes this one, the same initial members are
/// returned, so that all nodes form a single group.
pub fn bootstrap_members(
    own: &PeerAnnouncement,
    peers: &SeenPeers,
    now: ClockTime,
) -> Option<BTreeSet<DiskId>> {
    // A node without configured names only joins a group that others have formed.
    if own.configured_names.is_empty() {
        return None;
    }
    let formed = peers
        .values()
        .filter_map(|peer| peer.announcement.initial_members.as_ref());
    for initial_members in formed {
        if initial_members.contains(&own.id) {
            return Some(initial_members.clone());
        }
    }
    if peers.values().any(|peer| !peer.announcement.is_empty) {
        return None;
    }
    let present: BTreeMap<_, _> = peers
        .iter()
        .filter(|(name, peer)| {
            own.configured_names.contains(*name)
                && peer.announcement.configured_names == own.configured_names
                && peer.is_present(now)
        })
        .collect();
    if present.len() + 1 < own.configured_names.len() {
        return None;
    }
    let ids = present.values().map(|peer| peer.announcement.id);
    Some(ids.chain([own.id]).collect())
}
