//! Three regions in one process. All connections to control nodes go through UDP proxies, which can
//! block or delay their packets.

#[path = "../../components/entry/tests/common/relay.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
pub(crate) mod relay;

mod load;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agent::{AgentHandle, AgentSettings, TargetKind};
use client::ControlClient;
use control::{ControlArguments, ControlHandle};
use entry::{EntryHandle, EntryLimits, EntrySettings};
use link::{KeyAuthority, LinkEndpoint, LinkIdentity};
use relay::{BOTH, UdpProxy};
use sha2::{Digest, Sha256};
use standin::{EngineSettings, EngineStatus, RunningStandin, start_engine};
use tempfile::TempDir;
use units::{ConfigVersion, Incarnation, NodeName, SlotCount};
use wire::{ControlReply, ControlRequest, NodeRole, OperatorOrder, OrderReply};

pub(crate) use load::CallLoad;

/// Maximum time that a test waits for an event before it fails.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a data centre or target that is taken out must stop receiving new requests.
pub(crate) const TAKE_OUT_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which the status of an engine is polled.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of regions, each with a control node, an entry, and an engine with its agent.
pub(crate) const REGIONS: usize = 3;
pub(crate) const BEARER_KEY: &str = "key-of-mlyn-hora";
const DATA_CENTRE_NAMES: [&str; REGIONS] = ["praha-1", "brno-1", "opava-1"];

const SERVICES_TEXT: &str = r#"
[[region]]
name = "bohemia"
[[region]]
name = "moravia"
[[region]]
name = "silesia"
[[data_centre]]
name = "praha-1"
region = "bohemia"
[[data_centre]]
name = "brno-1"
region = "moravia"
[[data_centre]]
name = "opava-1"
region = "silesia"
[[service]]
name = "stone-advice"
kind = "model"
[[organisation]]
name = "mlyn-hora"
weight = 1
key_sha256 = "KEY_HASH"
"#;

/// Nodes of a region and their proxies to the control nodes. The first proxy of each node leads to
/// the control node of its own region.
pub(crate) struct TestRegion {
    pub(crate) engine: RunningStandin,
    pub(crate) agent: Option<AgentHandle>,
    pub(crate) entry: EntryHandle,
    pub(crate) agent_proxies: Vec<UdpProxy>,
    pub(crate) entry_proxies: Vec<UdpProxy>,
}

pub(crate) struct RegionFleet {
    pub(crate) regions: Vec<TestRegion>,
    pub(crate) controls: Vec<ControlHandle>,
    /// Proxies between control nodes, by the indexes of the sender and the receiver.
    control_proxies: BTreeMap<(usize, usize), UdpProxy>,
    operator: ControlClient,
    _folder: TempDir,
}

fn any_local_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn control_name(index: usize) -> String {
    format!("control-{}", index + 1)
}

struct TestKeys {
    authority: KeyAuthority,
    folder: std::path::PathBuf,
}

impl TestKeys {
    fn endpoint(&self, role: NodeRole, name: &str) -> LinkEndpoint {
        let name = NodeName::from(name);
        let files = self.authority.issue(role, &name).unwrap();
        let identity = LinkIdentity::load(role, &name, &files).unwrap();
        LinkEndpoint::bind(any_local_address(), &identity, Incarnation(1)).unwrap()
    }
}

impl RegionFleet {
    /// Starts all nodes, applies the services text and waits until each engine has received a
    /// request.
    pub(crate) async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let keys = TestKeys {
            authority: KeyAuthority::open_or_create(folder.path()).unwrap(),
            folder: folder.path().into(),
        };
        let endpoints: Vec<LinkEndpoint> = (0..REGIONS)
            .map(|index| keys.endpoint(NodeRole::Control, &control_name(index)))
            .collect();
        let addresses: Vec<SocketAddr> = endpoints.iter().map(LinkEndpoint::address).collect();
        let control_proxies = start_control_proxies(&addresses).await;
        let mut controls = Vec::new();
        for (index, endpoint) in endpoints.into_iter().enumerate() {
            controls.push(start_control(&keys, index, endpoint, &control_proxies).await);
        }
        let operator = keys.endpoint(NodeRole::Operator, "anna");
        let mut fleet = Self {
            regions: Vec::new(),
            controls,
            control_proxies,
            operator: ControlClient::new(operator, addresses.clone()),
            _folder: folder,
        };
        let hash = Sha256::digest(BEARER_KEY.as_bytes());
        let hash: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        let apply_order = OperatorOrder::Apply {
            order: "first-text".into(),
            expected: ConfigVersion(0),
            text: SERVICES_TEXT.replace("KEY_HASH", &hash),
        };
        fleet.send_order(apply_order).await;
        let mut targets = Vec::new();
        for index in 0..REGIONS {
            targets.push(start_target(&keys, index, &addresses).await);
        }
        // Entries start after all agents have registered, so an entry learns of them all with its
        // first renewal.
        for control in &fleet.controls {
            let registered = control.wait_until(|status| status.nodes.len() == REGIONS);
            tokio::time::timeout(EVENT_TIMEOUT, registered)
                .await
                .unwrap();
        }
        for (index, target) in targets.into_iter().enumerate() {
            let region = start_entry(&keys, index, &addresses, target).await;
            fleet.regions.push(region);
        }
        fleet.wait_until_serving().await;
        fleet
    }

    /// Sends an order until it is accepted, and returns the time at which the reply arrived.
    pub(crate) async fn send_order(&self, order: OperatorOrder) -> Instant {
        let request = ControlRequest::Order(order);
        let start = Instant::now();
        loop {
            match self.operator.request(&request).await {
                Ok(ControlReply::Order(OrderReply::Accepted(_))) => return Instant::now(),
                Ok(reply) => panic!("control refused the order: {reply:?}"),
                Err(error) => assert!(
                    start.elapsed() < EVENT_TIMEOUT,
                    "order not accepted: {error}"
                ),
            }
        }
    }

    /// Sends an order to each control node at most once, and returns whether one accepted it.
    pub(crate) async fn try_order(&self, order: OperatorOrder) -> bool {
        let reply = self.operator.request(&ControlRequest::Order(order)).await;
        matches!(reply, Ok(ControlReply::Order(OrderReply::Accepted(_))))
    }

    /// Waits until control has a leader, and returns the index of its node.
    pub(crate) async fn wait_for_leader(&self) -> usize {
        let mut leader = None;
        let waiting = self.controls[0].wait_until(|status| {
            leader = status.leader.clone();
            leader.is_some()
        });
        tokio::time::timeout(EVENT_TIMEOUT, waiting).await.unwrap();
        let leader = leader.expect("the wait ends with a leader");
        (0..REGIONS)
            .find(|index| control_name(*index) == leader.as_str())
            .expect("the leader is one of the control nodes")
    }

    /// Waits until the nodes that control reports as lacking the newest version, or as silent with
    /// an older one, are exactly `names`, each for at least `min_lag`.
    pub(crate) async fn wait_for_lagging_nodes(&self, names: &[&str], min_lag: Duration) {
        let control = &self.controls[0];
        let waiting = control.wait_until(|status| {
            let lagging = status.nodes.iter().filter_map(|node| {
                let lag = node.lags_ms?;
                Some((node.name.as_str(), lag))
            });
            let missing = status.missing.iter();
            let missing = missing.filter(|node| node.config < status.version);
            let missing = missing.map(|node| (node.name.as_str(), node.silent_ms));
            let found: Vec<_> = lagging.chain(missing).collect();
            let found_names: Vec<&str> = found.iter().map(|(name, _)| *name).collect();
            let is_long = |(_, lag): &(&str, u64)| Duration::from_millis(*lag) >= min_lag;
            found_names == names && found.iter().all(is_long)
        });
        let waited = tokio::time::timeout(EVENT_TIMEOUT, waiting).await;
        assert!(
            waited.is_ok(),
            "lagging nodes are not {names:?}: {:?}",
            control.status()
        );
    }

    /// Blocks all packets between one control node and the others.
    pub(crate) fn isolate_control(&self, index: usize) {
        for ((from, to), proxy) in &self.control_proxies {
            if *from == index || *to == index {
                proxy.cut(&BOTH);
            }
        }
    }

    /// Makes all proxies deliver packets again.
    pub(crate) fn heal(&self) {
        self.control_proxies.values().for_each(UdpProxy::heal);
        for region in &self.regions {
            let proxies = region.agent_proxies.iter().chain(&region.entry_proxies);
            proxies.for_each(UdpProxy::heal);
        }
    }

    /// Starts callers that send requests to each entry.
    pub(crate) fn start_load(&self) -> CallLoad {
        CallLoad::start(
            self.regions
                .iter()
                .map(|region| region.entry.http())
                .collect(),
        )
    }

    /// Number of requests that the engine of a region has started.
    pub(crate) async fn fetch_started_requests(&self, region: usize) -> u64 {
        fetch_started_requests(self.regions[region].engine.address()).await
    }

    /// Waits until the engine of a region has started more requests than the given number.
    pub(crate) async fn wait_until_started(&self, region: usize, previous: u64) {
        let start = Instant::now();
        while self.fetch_started_requests(region).await <= previous {
            assert!(
                start.elapsed() < EVENT_TIMEOUT,
                "the engine of region {region} started no request within {EVENT_TIMEOUT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Observes the engine of a region until `window` after `since`, and returns the time from
    /// `since` to the last start of a request, or zero if none started.
    pub(crate) async fn observe_last_start(
        &self,
        region: usize,
        since: Instant,
        window: Duration,
    ) -> Duration {
        let address = self.regions[region].engine.address();
        let mut last_start = Duration::ZERO;
        let mut count = fetch_started_requests(address).await;
        while since.elapsed() < window {
            // The request started before the poll ended, so the time is an upper bound.
            let new_count = fetch_started_requests(address).await;
            if new_count > count {
                count = new_count;
                last_start = since.elapsed();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        last_start
    }

    async fn wait_until_serving(&self) {
        let load = self.start_load();
        for region in 0..REGIONS {
            self.wait_until_started(region, 0).await;
        }
        load.stop().await;
    }
}

/// Order that takes the data centre of a region out or brings it back.
pub(crate) fn data_centre_order(region: usize, out: bool, expected: u64) -> OperatorOrder {
    OperatorOrder::DataCentre {
        order: format!("data-centre-{region}-{out}").as_str().into(),
        expected: ConfigVersion(expected),
        data_centre: DATA_CENTRE_NAMES[region].into(),
        out,
    }
}

/// Order that takes the target of a region out.
pub(crate) fn target_out_order(region: usize, expected: u64) -> OperatorOrder {
    OperatorOrder::Target {
        order: format!("target-{region}").as_str().into(),
        expected: ConfigVersion(expected),
        target: format!("agent-{}", region + 1).as_str().into(),
        out: true,
    }
}

async fn fetch_started_requests(engine: SocketAddr) -> u64 {
    let url = format!("http://{engine}/standin/status");
    let status: EngineStatus = reqwest::get(url).await.unwrap().json().await.unwrap();
    status.started
}

async fn start_control_proxies(addresses: &[SocketAddr]) -> BTreeMap<(usize, usize), UdpProxy> {
    let mut proxies = BTreeMap::new();
    for from in 0..REGIONS {
        for to in (0..REGIONS).filter(|to| *to != from) {
            proxies.insert((from, to), UdpProxy::start(addresses[to]).await);
        }
    }
    proxies
}

async fn start_control(
    keys: &TestKeys,
    index: usize,
    endpoint: LinkEndpoint,
    proxies: &BTreeMap<(usize, usize), UdpProxy>,
) -> ControlHandle {
    let name = control_name(index);
    let peers = proxies
        .iter()
        .filter(|((from, _), _)| *from == index)
        .map(|((_, to), proxy)| format!("{}={}", control_name(*to), proxy.address));
    let arguments = ControlArguments {
        listen: Some(endpoint.address().to_string()),
        data: Some(keys.folder.join(&name)),
        keys: Some(keys.folder.clone()),
        peers: peers.collect(),
        name: Some(name),
        ..ControlArguments::default()
    };
    let settings = arguments.check().unwrap();
    control::start_on(settings, endpoint).await.unwrap()
}

/// Starts one proxy for each control node, beginning with the node of the region itself.
async fn start_proxies(index: usize, addresses: &[SocketAddr]) -> Vec<UdpProxy> {
    let mut proxies = Vec::new();
    for offset in 0..REGIONS {
        proxies.push(UdpProxy::start(addresses[(index + offset) % REGIONS]).await);
    }
    proxies
}

/// Engine with its agent and the agent's proxies to the control nodes.
struct TestTarget {
    engine: RunningStandin,
    agent: AgentHandle,
    proxies: Vec<UdpProxy>,
}

async fn start_target(keys: &TestKeys, index: usize, addresses: &[SocketAddr]) -> TestTarget {
    let engine = EngineSettings {
        token_time: Duration::from_millis(5),
        prefill_time: Duration::from_millis(20),
        cold_limit: 8,
        ..EngineSettings::default()
    };
    let engine = start_engine(engine).await.unwrap();
    let proxies = start_proxies(index, addresses).await;
    let name = NodeName::from(format!("agent-{}", index + 1).as_str());
    keys.authority.issue(NodeRole::Agent, &name).unwrap();
    let agent = agent::start(AgentSettings {
        target: name.as_str().into(),
        name,
        listen: any_local_address(),
        data_centre: DATA_CENTRE_NAMES[index].into(),
        controls: proxies.iter().map(|proxy| proxy.address).collect(),
        keys: keys.folder.clone(),
        service: "stone-advice".into(),
        kind: TargetKind::Model,
        target_url: format!("http://{}", engine.address()),
        cold_limit: SlotCount(4),
        most_slots: SlotCount(8),
        health: any_local_address(),
    });
    TestTarget {
        engine,
        agent: agent.await.unwrap(),
        proxies,
    }
}

/// Starts the entry of a region and combines it with the region's target.
async fn start_entry(
    keys: &TestKeys,
    index: usize,
    addresses: &[SocketAddr],
    target: TestTarget,
) -> TestRegion {
    let entry_proxies = start_proxies(index, addresses).await;
    let name = NodeName::from(format!("entry-{}", index + 1).as_str());
    keys.authority.issue(NodeRole::Entry, &name).unwrap();
    let entry = entry::start(EntrySettings {
        name,
        http: any_local_address(),
        listen: any_local_address(),
        data_centre: DATA_CENTRE_NAMES[index].into(),
        controls: entry_proxies.iter().map(|proxy| proxy.address).collect(),
        keys: keys.folder.clone(),
        limits: EntryLimits::default(),
    });
    TestRegion {
        engine: target.engine,
        agent: Some(target.agent),
        entry: entry.await.unwrap(),
        agent_proxies: target.proxies,
        entry_proxies,
    }
}
