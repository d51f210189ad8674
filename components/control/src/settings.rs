//! Settings of a control node.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

use raft::RaftSettings;
use units::NodeName;

/// Settings of a control node.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Name of the node, as in its certificate.
    pub name: NodeName,
    /// Address for links.
    pub listen: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
    /// Folder with the node's keys.
    pub keys: PathBuf,
    /// The other control nodes.
    pub peers: BTreeMap<NodeName, SocketAddr>,
    /// Address for health checks.
    pub http: Option<SocketAddr>,
    /// Timeouts of the replicated log.
    pub raft: RaftSettings,
}

impl ControlSettings {
    /// Names of all control nodes, this one included.
    pub fn listed(&self) -> BTreeSet<NodeName> {
        let peers = self.peers.keys().cloned();
        peers.chain([self.name.clone()]).collect()
    }
}
