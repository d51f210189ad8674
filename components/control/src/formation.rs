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
    pub struct PeerAnnounce {
        /// Id of its data folder.
        pub id: DiskId,
        /// Whether it has never been part of a group.
        pub empty: bool,
        /// Names of all control nodes in its settings.
        pub listed: BTreeSet<NodeName>,
        /// Members that the group was formed with, while the node still knows them.
        pub founders: Option<BTreeSet<DiskId>>,
        /// Last entry that it has applied.
        pub applied: LogIndex,
        /// Address for links, if it is known where others reach it.
        pub address: Option<SocketAddr>,
        /// Data centre that it stands in.
        pub data_centre: Option<DataCentreName>,
        /// Other control nodes that it hears of, so that a new one is found by all.
        pub known: BTreeMap<NodeName, SocketAddr>,
    }
}

/// Newest announcement of a node.
#[derive(Debug, Clone)]
pub struct SeenPeer {
    /// The announcement.
    pub announce: PeerAnnounce,
    /// Time of its arrival.
    pub seen: ClockTime,
}

impl SeenPeer {
    /// Whether the node was heard of lately.
    pub fn is_present(&self, now: ClockTime) -> bool {
        now.0.saturating_sub(self.seen.0) <= PRESENT_MS
    }

    /// Time since the last announcement.
    pub fn silence(&self, now: ClockTime) -> Duration {
        now.since(self.seen)
    }
}

/// Newest announcement of each other control node.
pub type SeenPeers = BTreeMap<NodeName, SeenPeer>;

/// The members that an empty node forms a group with; none while it must wait or join.
///
/// All listed nodes must be present, empty and list the same names. When another node was first,
/// its members are taken over if this node is among them, so that all nodes form one group.
pub fn founders(own: &PeerAnnounce, seen: &SeenPeers, now: ClockTime) -> Option<BTreeSet<DiskId>> {
    // A node that lists itself nowhere joins a group that others form.
    if own.listed.is_empty() {
        return None;
    }
    let formed = seen
        .values()
        .filter_map(|peer| peer.announce.founders.as_ref());
    for founders in formed {
        if founders.contains(&own.id) {
            return Some(founders.clone());
        }
    }
    if seen.values().any(|peer| !peer.announce.empty) {
        return None;
    }
    let present: BTreeMap<_, _> = seen
        .iter()
        .filter(|(name, peer)| {
            own.listed.contains(*name) && peer.announce.listed == own.listed && peer.is_present(now)
        })
        .collect();
    if present.len() + 1 < own.listed.len() {
        return None;
    }
    let ids = present.values().map(|peer| peer.announce.id);
    Some(ids.chain([own.id]).collect())
}
