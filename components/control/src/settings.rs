//! Settings of a control node.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use client::LEASE_TIME;
use raft::RaftSettings;
use rollout::RolloutBounds;
use units::{DataCentreName, NodeName, RegionName};

/// Default of [`ControlSettings::catch_up_time`]. A replacement needs about a second beside the
/// silence of the host that it replaces.
pub const DEFAULT_CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Default of [`ControlSettings::rollout_bounds`].
pub const DEFAULT_ROLLOUT_BOUNDS: RolloutBounds = RolloutBounds {
    exposure_permille: 100,
    exposure_slack: 50,
    rollback_ms: 5_000,
};

/// Default of [`ControlSettings::plan_time`], the lease of entries and agents.
pub const DEFAULT_PLAN_TIME: Duration = LEASE_TIME;

/// Settings of a control node.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Name of the node, as stated in its certificate.
    pub name: NodeName,
    /// Address for links.
    pub listen: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
    /// Folder that contains the node's key and certificate.
    pub keys: PathBuf,
    /// Control nodes other than this one that are known at start. With peer discovery, further ones
    /// are found through them.
    pub peers: BTreeMap<NodeName, SocketAddr>,
    /// Whether the node never forms a group but only joins an existing one.
    pub is_join_only: bool,
    /// Whether control nodes are discovered through their announcements. If false, `peers` must
    /// list all of them, and each is contacted only at its address there.
    pub has_peer_discovery: bool,
    /// Address of the HTTP server for health checks, if enabled.
    pub http: Option<SocketAddr>,
    /// Region of the node.
    pub region: Option<RegionName>,
    /// Data centre of the node.
    pub data_centre: Option<DataCentreName>,
    /// Settings of the Raft node, such as its timeouts.
    pub raft: RaftSettings,
    /// Time after the start of a host that replaces another, after which the group bears the loss of
    /// a further host.
    pub catch_up_time: Duration,
    /// Time without announcements after which a target without an agent is removed.
    pub target_silence_timeout: Duration,
    /// Bounds of roll-outs.
    pub rollout_bounds: RolloutBounds,
    /// Time after the last confirmation by a quorum for which entries act on their configuration as
    /// the newest one.
    pub plan_time: Duration,
}

impl ControlSettings {
    /// Names of the control nodes that form the group, including this one; empty if this node only
    /// joins an existing group.
    pub fn configured_names(&self) -> BTreeSet<NodeName> {
        if self.is_join_only {
            return BTreeSet::new();
        }
        let peers = self.peers.keys().cloned();
        peers.chain([self.name.clone()]).collect()
    }
}

/// Unvalidated settings from command-line flags and environment variables.
#[derive(Debug, Clone, Default)]
pub struct ControlArguments {
    /// Name of the node.
    pub name: Option<String>,
    /// Address for links.
    pub listen: Option<String>,
    /// Data folder.
    pub data: Option<PathBuf>,
    /// Key folder.
    pub keys: Option<PathBuf>,
    /// Other control nodes as `NAME=ADDRESS`. One value may contain several, separated by commas.
    pub peers: Vec<String>,
    /// Address of the HTTP server for health checks, if enabled.
    pub http: Option<String>,
    /// Region of the node.
    pub region: Option<String>,
    /// Data centre of the node.
    pub data_centre: Option<String>,
}

impl ControlArguments {
    /// Validates the arguments. On failure, returns a message for every fault found.
    pub fn check(self) -> Result<ControlSettings, Vec<String>> {
        let mut faults = Vec::new();
        let name = require(self.name, "--name", &mut faults);
        let listen = require(self.listen, "--listen", &mut faults)
            .and_then(|text| parse_address(&text, "--listen", &mut faults));
        let data = require(self.data, "--data", &mut faults);
        let keys = require(self.keys, "--keys", &mut faults);
        let http = self
            .http
            .and_then(|text| parse_address(&text, "--http", &mut faults));
        let peers = parse_peers(&self.peers, name.as_deref(), &mut faults);
        let (Some(name), Some(listen), Some(data), Some(keys)) = (name, listen, data, keys) else {
            return Err(faults);
        };
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(ControlSettings {
            name: name.as_str().into(),
            listen,
            data,
            keys,
            peers,
            http,
            region: self.region.map(|name| name.as_str().into()),
            data_centre: self.data_centre.map(|name| name.as_str().into()),
            raft: RaftSettings::default(),
            catch_up_time: DEFAULT_CATCH_UP_TIME,
            target_silence_timeout: directory::SILENCE_TIMEOUT,
            rollout_bounds: DEFAULT_ROLLOUT_BOUNDS,
            plan_time: DEFAULT_PLAN_TIME,
            is_join_only: false,
            has_peer_discovery: false,
        })
    }
}

fn require<T>(value: Option<T>, flag: &str, faults: &mut Vec<String>) -> Option<T> {
    if value.is_none() {
        faults.push(format!(
            "Failed to start: required setting {flag} is missing"
        ));
    }
    value
}

fn parse_address(text: &str, flag: &str, faults: &mut Vec<String>) -> Option<SocketAddr> {
    match text.parse() {
        Ok(address) => Some(address),
        Err(_) => {
            faults.push(format!(
                "Failed to read {flag} {text:?}: expected IP-ADDRESS:PORT"
            ));
            None
        }
    }
}

fn parse_peers(
    texts: &[String],
    own: Option<&str>,
    faults: &mut Vec<String>,
) -> BTreeMap<NodeName, SocketAddr> {
    let mut peers = BTreeMap::new();
    let items = texts.iter().flat_map(|text| text.split(','));
    for item in items.filter(|item| !item.is_empty()) {
        let Some((name, text)) = item.split_once('=') else {
            faults.push(format!(
                "Failed to read --peer {item:?}: expected NAME=ADDRESS"
            ));
            continue;
        };
        if Some(name) == own {
            // Skip this node, so that all control nodes can be given the same list.
            continue;
        }
        let Some(address) = parse_address(text, "--peer", faults) else {
            continue;
        };
        if peers.insert(NodeName::from(name), address).is_some() {
            faults.push(format!(
                "Failed to read --peer {item:?}: the name {name:?} is listed twice"
            ));
        }
    }
    peers
}
