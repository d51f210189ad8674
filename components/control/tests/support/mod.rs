//! Test support: a group of control nodes in one process.

#![allow(dead_code)]

pub(crate) mod changes;
mod disk;
pub(crate) mod plans;
#[path = "../../../entry/tests/common/relay.rs"]
#[allow(unreachable_pub, missing_docs)]
pub(crate) mod relay;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use client::ControlClient;
use control::{ControlHandle, ControlSettings, FleetStatus, start_on_files, start_with_files};
use disk::TestDisk;
use link::{KeyAuthority, KeyFiles, LinkEndpoint, LinkIdentity};
use raft::RaftSettings;
use relay::{BOTH, LinkBounds, UdpProxy};
use tempfile::TempDir;
use units::{
    ConfigVersion, DataCentreName, Incarnation, NodeName, OrderId, ServiceName, SlotCount,
    TargetName,
};
use wire::{
    ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeRole, NodeState, OperatorOrder,
    OrderReply, RenewReply, RenewRequest, TargetState,
};

/// Timeout for an awaited condition; the test fails when it expires.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) const NODE_NAMES: [&str; 3] = ["control-1", "control-2", "control-3"];

/// Data centres of the nodes of a group that discovers others.
pub(crate) const DATA_CENTRES: [&str; 3] = ["praha-1", "brno-1", "ostrava-1"];

pub(crate) const SERVICES_TEXT: &str = r#"
[[region]]
name = "bohemia"
[[data_centre]]
name = "praha-1"
region = "bohemia"
[[service]]
name = "stone-advice"
kind = "model"
"#;

pub(crate) struct TestGroup {
    folder: TempDir,
    settings: Vec<ControlSettings>,
    bounds: Option<LinkBounds>,
    /// Proxy through which the other nodes reach each node, if the links between nodes have bounds.
    proxies: Vec<UdpProxy>,
    pub(crate) disks: Vec<Arc<TestDisk>>,
    pub(crate) nodes: Vec<Option<ControlHandle>>,
}

/// Returns a separate loopback address for each group, so that no other endpoint can take the port
/// of a stopped node.
fn group_address() -> IpAddr {
    static NEXT_GROUP: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::from([127, high, low, NEXT_GROUP.fetch_add(1, Ordering::Relaxed)])
}

/// Folder in memory, where the system has one. Builds beside a test delay writes to a disk by seconds,
/// which would hide what the links cost.
fn memory_folder() -> TempDir {
    tempfile::tempdir_in("/dev/shm").unwrap_or_else(|_| tempfile::tempdir().unwrap())
}

fn bind_endpoint(
    keys: &std::path::Path,
    role: NodeRole,
    name: &str,
    address: impl Into<IpAddr>,
) -> LinkEndpoint {
    let name = NodeName::from(name);
    let files = KeyFiles::in_folder(keys, role, &name);
    if !files.key.exists() {
        KeyAuthority::open_or_create(keys)
            .unwrap()
            .issue(role, &name)
            .unwrap();
    }
    let identity = LinkIdentity::load(role, &name, &files).unwrap();
    let address = SocketAddr::new(address.into(), 0);
    LinkEndpoint::bind(address, &identity, Incarnation(1)).unwrap()
}

impl TestGroup {
    /// Starts three nodes with empty data folders.
    pub(crate) async fn start() -> Self {
        Self::start_in([None; 3], None, None).await
    }

    /// Starts three nodes in three data centres that reach each other through links with bounds.
    pub(crate) async fn start_bounded(bounds: LinkBounds) -> Self {
        Self::start_in(DATA_CENTRES.map(Some), None, Some(bounds)).await
    }

    /// Starts three nodes. The disk of one of them is full once its data folder has been created.
    pub(crate) async fn start_with_full_disk(index: usize) -> Self {
        Self::start_in([None; 3], Some(index), None).await
    }

    /// Starts three nodes with empty data folders in three data centres. Control nodes that are added
    /// later are discovered.
    pub(crate) async fn start_discovering() -> Self {
        Self::start_in(DATA_CENTRES.map(Some), None, None).await
    }

    async fn start_in(
        data_centres: [Option<&str>; 3],
        full_disk: Option<usize>,
        bounds: Option<LinkBounds>,
    ) -> Self {
        let folder = match bounds {
            Some(_) => memory_folder(),
            None => tempfile::tempdir().unwrap(),
        };
        let keys = folder.path().join("keys");
        let address = group_address();
        let endpoints: Vec<_> = NODE_NAMES
            .iter()
            .map(|name| bind_endpoint(&keys, NodeRole::Control, name, address))
            .collect();
        let mut proxies = Vec::new();
        let mut addresses: BTreeMap<NodeName, SocketAddr> = BTreeMap::new();
        for (name, endpoint) in NODE_NAMES.iter().zip(&endpoints) {
            let mut address = endpoint.address();
            if let Some(bounds) = bounds {
                proxies.push(UdpProxy::start_bounded(address, bounds).await);
                address = proxies[proxies.len() - 1].address;
            }
            addresses.insert((*name).into(), address);
        }
        let mut group = Self {
            settings: Vec::new(),
            bounds,
            proxies,
            disks: Vec::new(),
            nodes: Vec::new(),
            folder,
        };
        let nodes = NODE_NAMES.iter().zip(endpoints).zip(data_centres);
        for ((name, endpoint), data_centre) in nodes {
            let mut peers = addresses.clone();
            peers.remove(&NodeName::from(*name));
            let settings = ControlSettings {
                name: (*name).into(),
                listen: endpoint.address(),
                data: group.folder.path().join(format!("{name}-1")),
                keys: keys.clone(),
                peers,
                http: None,
                region: None,
                data_centre: data_centre.map(DataCentreName::from),
                raft: RaftSettings::default(),
                catch_up_time: control::DEFAULT_CATCH_UP_TIME,
                rollout_bounds: control::DEFAULT_ROLLOUT_BOUNDS,
                plan_time: control::DEFAULT_PLAN_TIME,
                target_silence_timeout: directory::SILENCE_TIMEOUT,
                is_join_only: false,
                has_peer_discovery: data_centre.is_some() && bounds.is_none(),
            };
            let disk = Arc::new(TestDisk::default());
            let handle = start_on_files(settings.clone(), endpoint, disk.clone())
                .await
                .unwrap();
            disk.set_full(full_disk == Some(group.disks.len()));
            group.settings.push(settings);
            group.disks.push(disk);
            group.nodes.push(Some(handle));
        }
        group
    }

    /// Starts a further node with an empty data folder, which joins the group. Returns its index.
    pub(crate) async fn add(&mut self, data_centre: &str) -> usize {
        let index = self.nodes.len();
        let name = format!("control-{}", index + 1);
        let first = &self.settings[0];
        let endpoint = bind_endpoint(&first.keys, NodeRole::Control, &name, first.listen.ip());
        if let Some(bounds) = self.bounds {
            let proxy = UdpProxy::start_bounded(endpoint.address(), bounds).await;
            self.proxies.push(proxy);
        }
        let known = self.settings[..NODE_NAMES.len()].iter().enumerate();
        let settings = ControlSettings {
            name: name.as_str().into(),
            listen: endpoint.address(),
            data: self.folder.path().join(format!("{name}-1")),
            peers: known
                .map(|(known, settings)| (settings.name.clone(), self.peer_address(known)))
                .collect(),
            data_centre: Some(data_centre.into()),
            is_join_only: true,
            ..first.clone()
        };
        let disk = Arc::new(TestDisk::default());
        let handle = start_on_files(settings.clone(), endpoint, disk.clone())
            .await
            .unwrap();
        self.settings.push(settings);
        self.disks.push(disk);
        self.nodes.push(Some(handle));
        self.add_peers();
        index
    }

    /// Address at which the other nodes reach a node.
    fn peer_address(&self, index: usize) -> SocketAddr {
        let proxy = self.proxies.get(index);
        proxy.map_or(self.settings[index].listen, |proxy| proxy.address)
    }

    /// Adds all nodes to the peers of each running one, if they cannot discover each other because
    /// the announced address is not that of the proxy.
    fn add_peers(&self) {
        if self.bounds.is_none() {
            return;
        }
        let nodes = self.settings.iter().enumerate();
        let addresses = nodes
            .map(|(index, settings)| (settings.name.clone(), self.peer_address(index)))
            .collect();
        for node in self.nodes.iter().flatten() {
            node.api().add_peers(&addresses);
        }
    }

    /// Cuts a node off from all others.
    pub(crate) fn isolate(&self, index: usize) {
        self.proxies[index].cut(&BOTH);
        for proxy in &self.proxies {
            proxy.cut_client(self.settings[index].listen);
        }
    }

    /// Connects all nodes again.
    pub(crate) fn heal(&self) {
        self.proxies.iter().for_each(UdpProxy::heal);
    }

    /// Stops a node without a transfer of leadership.
    pub(crate) async fn kill(&mut self, index: usize) {
        self.nodes[index].take().unwrap().kill().await;
    }

    /// Stops a node as planned, with a transfer of leadership if it is the leader.
    pub(crate) async fn stop(&mut self, index: usize) {
        self.nodes[index].take().unwrap().stop().await;
    }

    /// Restarts a node with its data folder or an empty one.
    pub(crate) async fn restart(&mut self, index: usize, has_empty_folder: bool) {
        if has_empty_folder {
            let name = format!("{}-{}", self.settings[index].name, "replaced");
            self.settings[index].data = PathBuf::from(self.folder.path()).join(name);
        }
        let (settings, disk) = (self.settings[index].clone(), self.disks[index].clone());
        let handle = start_with_files(settings, disk).await.unwrap();
        self.nodes[index] = Some(handle);
        self.add_peers();
    }

    /// Waits until the status of a running node passes `check`. `condition` describes it in the
    /// failure message.
    pub(crate) async fn wait(
        &self,
        index: usize,
        condition: &str,
        check: impl FnMut(&FleetStatus) -> bool,
    ) {
        let node = self.nodes[index].as_ref().unwrap();
        let waited = tokio::time::timeout(WAIT_TIMEOUT, node.wait_until(check)).await;
        assert!(waited.is_ok(), "{condition}: {:#?}", node.status());
    }

    /// Waits until all running nodes have a confirmation by a quorum and can grant leases.
    pub(crate) async fn wait_ready(&self) {
        for index in self.running() {
            self.wait(
                index,
                "a quorum has confirmed the state of the node",
                |status| status.confirmed_ms.is_some(),
            )
            .await;
        }
    }

    /// Waits until all running nodes have applied a configuration version and can grant leases.
    pub(crate) async fn wait_version(&self, version: u64) {
        for index in self.running() {
            self.wait(index, "the version is in force", |status| {
                status.version == ConfigVersion(version) && status.confirmed_ms.is_some()
            })
            .await;
        }
    }

    /// Waits until a running node knows the leader and returns the leader's index.
    pub(crate) async fn leader(&self) -> usize {
        let any = self.running()[0];
        self.wait(any, "the leader is known", |status| status.leader.is_some())
            .await;
        let leader = self.nodes[any].as_ref().unwrap().status().leader.unwrap();
        let mut settings = self.settings.iter();
        settings
            .position(|settings| settings.name == leader)
            .unwrap()
    }

    /// Id of the data folder of a running node.
    pub(crate) fn id_of(&self, index: usize) -> String {
        let node = self.nodes[index].as_ref().unwrap();
        node.disk_id().to_string()
    }

    /// Path of the data folder of a node.
    pub(crate) fn data_folder(&self, index: usize) -> PathBuf {
        self.settings[index].data.clone()
    }

    /// Commit index of a running node.
    pub(crate) fn commit_of(&self, index: usize) -> u64 {
        self.nodes[index].as_ref().unwrap().status().commit
    }

    pub(crate) fn running(&self) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(_, node)| node.is_some())
            .map(|(index, _)| index)
            .collect()
    }

    /// Client of all nodes.
    pub(crate) fn client(&self, role: NodeRole, name: &str) -> ControlClient {
        let controls = self.settings.iter().map(|settings| settings.listen);
        self.client_of(role, name, controls.collect())
    }

    /// Client of one node.
    pub(crate) fn client_at(&self, index: usize, role: NodeRole, name: &str) -> ControlClient {
        self.client_of(role, name, vec![self.settings[index].listen])
    }

    /// Link address of a node.
    pub(crate) fn address(&self, index: usize) -> SocketAddr {
        self.settings[index].listen
    }

    /// Endpoint of a node outside the group.
    pub(crate) fn endpoint(&self, role: NodeRole, name: &str) -> LinkEndpoint {
        let keys = self.folder.path().join("keys");
        bind_endpoint(&keys, role, name, [127, 0, 0, 1])
    }

    fn client_of(&self, role: NodeRole, name: &str, controls: Vec<SocketAddr>) -> ControlClient {
        ControlClient::new(self.endpoint(role, name), controls)
    }
}

/// Sends an order until it is answered. Repetition is safe because the order has an id.
pub(crate) async fn order(client: &ControlClient, order: OperatorOrder) -> OrderReply {
    let request = ControlRequest::Order(order);
    for _ in 0..20 {
        match client.request(&request).await {
            Ok(ControlReply::Order(reply)) => return reply,
            Ok(other) => panic!("{other:?}"),
            // The request fails while an election is running, which takes up to 1 s.
            Err(error) => eprintln!("{error}"),
        }
    }
    panic!("no answer to {request:?} after 20 attempts");
}

pub(crate) fn apply(id: &str, expected: u64, text: &str) -> OperatorOrder {
    OperatorOrder::Apply {
        order: OrderId::from(id),
        expected: ConfigVersion(expected),
        text: text.into(),
    }
}

pub(crate) fn node(name: &str, kind: NodeKind) -> DirectoryEntry {
    DirectoryEntry {
        name: name.into(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "praha-1".into(),
        state: NodeState::Serving,
        config: ConfigVersion(0),
        kind,
    }
}

pub(crate) fn agent_kind() -> NodeKind {
    NodeKind::Agent(TargetState {
        target: TargetName::from("target-1"),
        service: ServiceName::from("stone-advice"),
        limit: SlotCount(4),
        running: SlotCount(0),
        cold: false,
        healthy: true,
    })
}

/// Lease request of a node without an installed configuration.
pub(crate) fn renew_request(node: DirectoryEntry) -> ControlRequest {
    ControlRequest::Renew(RenewRequest {
        node,
        config: ConfigVersion(0),
        directory: Some((Incarnation(0), 0)),
    })
}

/// Renews the lease of a node once.
pub(crate) async fn renew(client: &ControlClient, node: DirectoryEntry) -> RenewReply {
    match client.request(&renew_request(node)).await {
        Ok(ControlReply::Renewed(reply)) => reply,
        other => panic!("{other:?}"),
    }
}
