//! When a group of empty nodes is formed, and what nodes tell each other about themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use raft::LogIndex;
use units::{ClockTime, DataCentreName, DiskId, NodeName};

/// Age beyond which an announcement does not show that a node is present.
const PRESENT_MS: u64 = 2_000;

units::data! {
    /// What a control node tells the others about itself.
    pub struct PeerAnnouncement {
        /// Id of its data folder.
        pub id: DiskId,
        /// Whether it has never been part of a group.
        pub is_empty: bool,
        /// Names of all control nodes in its settings.
        pub configured_names: BTreeSet<NodeName>,
        /// Members that the group was formed with, while the node still knows them.
        pub initial_members: Option<BTreeSet<DiskId>>,
        /// Last entry that it has applied.
        pub applied_index: LogIndex,
        /// Address for links, if it is known where others reach it.
        pub address: Option<SocketAddr>,
        /// Data centre that it stands in.
        pub data_centre: Option<DataCentreName>,
        /// Other control nodes that it hears of, so that a new one is found by all.
        pub known_peers: BTreeMap<NodeName, SocketAddr>,
    }
}

/// Newest announcement of a node.
#[derive(Debug, Clone)]
pub struct SeenPeer {
    /// The announcement.
    pub announcement: PeerAnnouncement,
    /// Time of its arrival.
    pub received_at: ClockTime,
}

impl SeenPeer {
    /// Whether the node was heard of lately.
    pub fn is_present(&self, now: ClockTime) -> bool {
        now.0.saturating_sub(self.received_at.0) <= PRESENT_MS
    }

    /// Time since the last announcement.
    pub fn silence(&self, now: ClockTime) -> Duration {
        now.since(self.received_at)
    }
}

/// Newest announcement of each other control node.
pub type SeenPeers = BTreeMap<NodeName, SeenPeer>;

/// The members that an empty node forms a group with; none while it must wait or join.
///
/// All listed nodes must be present, empty and list the same names. When another node was first,
/// its members are taken over if this node is among them, so that all nodes form one group.
pub fn bootstrap_members(
    own: &PeerAnnouncement,
    peers: &SeenPeers,
    now: ClockTime,
) -> Option<BTreeSet<DiskId>> {
    // A node that lists itself nowhere joins a group that others form.
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
