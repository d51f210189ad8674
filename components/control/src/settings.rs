//! Settings of a control node.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use raft::RaftSettings;
use units::{DataCentreName, NodeName, RegionName};

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
    /// The other control nodes that are known at the start; more are found through them.
    pub peers: BTreeMap<NodeName, SocketAddr>,
    /// Whether the node only joins a group that others have formed.
    pub is_join_only: bool,
    /// Whether control nodes are found by what they announce of themselves. Without it the settings
    /// list all of them, and each is reached only at the address listed there.
    pub has_peer_discovery: bool,
    /// Address for health checks.
    pub http: Option<SocketAddr>,
    /// Region that the node stands in.
    pub region: Option<RegionName>,
    /// Data centre that the node stands in.
    pub data_centre: Option<DataCentreName>,
    /// Timeouts of the replicated log.
    pub raft: RaftSettings,
    /// Time without announcements after which a target without an agent is removed.
    pub target_silence_timeout: Duration,
}

impl ControlSettings {
    /// Names of the control nodes that form a group; none if this node only joins one.
    pub fn configured_names(&self) -> BTreeSet<NodeName> {
        if self.is_join_only {
            return BTreeSet::new();
        }
        let peers = self.peers.keys().cloned();
        peers.chain([self.name.clone()]).collect()
    }
}

/// Settings as they come from flags and environment variables.
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
    /// The other control nodes, each as `NAME=ADDRESS`; one value may hold several, separated by
    /// commas.
    pub peers: Vec<String>,
    /// Address for health checks.
    pub http: Option<String>,
    /// Region that the node stands in.
    pub region: Option<String>,
    /// Data centre that the node stands in.
    pub data_centre: Option<String>,
}

impl ControlArguments {
    /// Checks all settings; on failure every fault.
    pub fn check(self) -> Result<ControlSettings, Vec<String>> {
        let mut faults = Vec::new();
        let name = required(self.name, "--name", &mut faults);
        let listen = required(self.listen, "--listen", &mut faults)
            .and_then(|text| address(&text, "--listen", &mut faults));
        let data = required(self.data, "--data", &mut faults);
        let keys = required(self.keys, "--keys", &mut faults);
        let http = self
            .http
            .and_then(|text| address(&text, "--http", &mut faults));
        let peers = peers(&self.peers, name.as_deref(), &mut faults);
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
            target_silence_timeout: directory::SILENCE_TIMEOUT,
            is_join_only: false,
            has_peer_discovery: false,
        })
    }
}

fn required<T>(value: Option<T>, flag: &str, faults: &mut Vec<String>) -> Option<T> {
    if value.is_none() {
        faults.push(format!("Failed to start: {flag} is missing"));
    }
    value
}

fn address(text: &str, flag: &str, faults: &mut Vec<String>) -> Option<SocketAddr> {
    match text.parse() {
        Ok(address) => Some(address),
        Err(_) => {
            faults.push(format!(
                "Failed to read {flag} {text:?}: want IP-ADDRESS:PORT"
            ));
            None
        }
    }
}

fn peers(
    texts: &[String],
    own: Option<&str>,
    faults: &mut Vec<String>,
) -> BTreeMap<NodeName, SocketAddr> {
    let mut peers = BTreeMap::new();
    let items = texts.iter().flat_map(|text| text.split(','));
    for item in items.filter(|item| !item.is_empty()) {
        let Some((name, text)) = item.split_once('=') else {
            faults.push(format!("Failed to read --peer {item:?}: want NAME=ADDRESS"));
            continue;
        };
        if Some(name) == own {
            // The same list may be given to all control nodes.
            continue;
        }
        let Some(address) = address(text, "--peer", faults) else {
            continue;
        };
        if peers.insert(NodeName::from(name), address).is_some() {
            faults.push(format!(
                "Failed to read --peer {item:?}: the name is listed twice"
            ));
        }
    }
    peers
}
