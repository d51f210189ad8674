//! Three regions in one process. Every way to a control node leads over a relay that can be cut.

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

/// Longest wait for an event; a run that needs it has failed.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);
/// Time after which a data centre or target that was taken out gets no new work.
pub(crate) const OUT_TIME: Duration = Duration::from_secs(3);
/// Time between two looks at what tells nothing by itself.
pub(crate) const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of regions, each with a control node, an entry, and an engine with its agent.
pub(crate) const REGIONS: usize = 3;
pub(crate) const KEY: &str = "key-of-mlyn-hora";
const DATA_CENTRES: [&str; REGIONS] = ["praha-1", "brno-1", "opava-1"];

const TEXT: &str = r#"
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

/// A region, and the ways of its nodes to the control nodes; the first leads to its own.
pub(crate) struct TestRegion {
    pub(crate) engine: RunningStandin,
    pub(crate) agent: Option<AgentHandle>,
    pub(crate) entry: EntryHandle,
    pub(crate) agent_ways: Vec<UdpProxy>,
    pub(crate) entry_ways: Vec<UdpProxy>,
}

pub(crate) struct RegionFleet {
    pub(crate) regions: Vec<TestRegion>,
    pub(crate) controls: Vec<ControlHandle>,
    /// Ways between control nodes, by the index of the sender and the receiver.
    control_ways: BTreeMap<(usize, usize), UdpProxy>,
    operator: ControlClient,
    _folder: TempDir,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn control_name(index: usize) -> String {
    format!("control-{}", index + 1)
}

/// Keys of every node.
struct TestKeys {
    authority: KeyAuthority,
    folder: std::path::PathBuf,
}

impl TestKeys {
    fn endpoint(&self, role: NodeRole, name: &str) -> LinkEndpoint {
        let name = NodeName::from(name);
        let files = self.authority.issue(role, &name).unwrap();
        let identity = LinkIdentity::load(role, &name, &files).unwrap();
        LinkEndpoint::bind(any_port(), &identity, Incarnation(1)).unwrap()
    }
}

impl RegionFleet {
    /// Starts all nodes, applies the text and waits until every engine has got work.
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
        let control_ways = control_ways(&addresses).await;
        let mut controls = Vec::new();
        for (index, endpoint) in endpoints.into_iter().enumerate() {
            controls.push(start_control(&keys, index, endpoint, &control_ways).await);
        }
        let operator = keys.endpoint(NodeRole::Operator, "anna");
        let mut fleet = Self {
            regions: Vec::new(),
            controls,
            control_ways,
            operator: ControlClient::new(operator, addresses.clone()),
            _folder: folder,
        };
        let hash = Sha256::digest(KEY.as_bytes());
        let hash: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        let text = OperatorOrder::Apply {
            order: "first-text".into(),
            expected: ConfigVersion(0),
            text: TEXT.replace("KEY_HASH", &hash),
        };
        fleet.order(text).await;
        let mut targets = Vec::new();
        for index in 0..REGIONS {
            targets.push(start_target(&keys, index, &addresses).await);
        }
        // An entry knows every agent from its first renewal on.
        for control in &fleet.controls {
            let listed = control.wait_until(|status| status.nodes.len() == REGIONS);
            tokio::time::timeout(PATIENCE, listed).await.unwrap();
        }
        for (index, target) in targets.into_iter().enumerate() {
            let region = start_entry(&keys, index, &addresses, target).await;
            fleet.regions.push(region);
        }
        fleet.wait_serving().await;
        fleet
    }

    /// Sends an order until it is accepted, and returns when the operator learned that.
    pub(crate) async fn order(&self, order: OperatorOrder) -> Instant {
        let request = ControlRequest::Order(order);
        let start = Instant::now();
        loop {
            match self.operator.request(&request).await {
                Ok(ControlReply::Order(OrderReply::Accepted(_))) => return Instant::now(),
                Ok(reply) => panic!("the order was refused: {reply:?}"),
                Err(error) => assert!(start.elapsed() < PATIENCE, "{error}"),
            }
        }
    }

    /// Sends an order once to each control node, and tells whether one accepted it.
    pub(crate) async fn try_order(&self, order: OperatorOrder) -> bool {
        let reply = self.operator.request(&ControlRequest::Order(order)).await;
        matches!(reply, Ok(ControlReply::Order(OrderReply::Accepted(_))))
    }

    /// Waits for a leader and returns the index of its control node.
    pub(crate) async fn leader(&self) -> usize {
        let mut leader = None;
        let waiting = self.controls[0].wait_until(|status| {
            leader = status.leader.clone();
            leader.is_some()
        });
        tokio::time::timeout(PATIENCE, waiting).await.unwrap();
        let leader = leader.expect("the wait has ended with a leader");
        (0..REGIONS)
            .find(|index| control_name(*index) == leader.as_str())
            .expect("the leader is a member")
    }

    /// Waits until exactly these nodes are reported to lack the newest version, or to be silent with
    /// an older one, for at least some time.
    pub(crate) async fn wait_unconfirmed(&self, names: &[&str], least: Duration) {
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
            let is_long = |(_, time): &(&str, u64)| Duration::from_millis(*time) >= least;
            found_names == names && found.iter().all(is_long)
        });
        let waited = tokio::time::timeout(PATIENCE, waiting).await;
        assert!(waited.is_ok(), "{names:?}: {:?}", control.status());
    }

    /// Cuts the ways between one control node and the others.
    pub(crate) fn cut_control(&self, index: usize) {
        for ((from, to), way) in &self.control_ways {
            if *from == index || *to == index {
                way.cut(&BOTH);
            }
        }
    }

    /// Heals every way.
    pub(crate) fn heal(&self) {
        self.control_ways.values().for_each(UdpProxy::heal);
        for region in &self.regions {
            let ways = region.agent_ways.iter().chain(&region.entry_ways);
            ways.for_each(UdpProxy::heal);
        }
    }

    /// Callers that ask each entry, one after another.
    pub(crate) fn load(&self) -> CallLoad {
        CallLoad::start(
            self.regions
                .iter()
                .map(|region| region.entry.http())
                .collect(),
        )
    }

    /// Requests that the engine of a region has started.
    pub(crate) async fn started(&self, region: usize) -> u64 {
        started(self.regions[region].engine.address()).await
    }

    /// Waits until an engine has started more requests.
    pub(crate) async fn wait_started(&self, region: usize, more_than: u64) {
        let start = Instant::now();
        while self.started(region).await <= more_than {
            assert!(
                start.elapsed() < PATIENCE,
                "the engine of {region} got no work"
            );
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Time from an instant to the last start at a region's engine, observed up to an end.
    pub(crate) async fn last_start(
        &self,
        region: usize,
        since: Instant,
        span: Duration,
    ) -> Duration {
        let address = self.regions[region].engine.address();
        let mut last = Duration::ZERO;
        let mut count = started(address).await;
        while since.elapsed() < span {
            // The start took place before the look at it ends, so the time is an upper bound.
            let now = started(address).await;
            if now > count {
                count = now;
                last = since.elapsed();
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        last
    }

    async fn wait_serving(&self) {
        let load = self.load();
        for region in 0..REGIONS {
            self.wait_started(region, 0).await;
        }
        load.stop().await;
    }
}

/// An order that takes a region's data centre out or brings it back.
pub(crate) fn data_centre(region: usize, out: bool, expected: u64) -> OperatorOrder {
    OperatorOrder::DataCentre {
        order: format!("data-centre-{region}-{out}").as_str().into(),
        expected: ConfigVersion(expected),
        data_centre: DATA_CENTRES[region].into(),
        out,
    }
}

/// An order that takes a region's target out.
pub(crate) fn target_out(region: usize, expected: u64) -> OperatorOrder {
    OperatorOrder::Target {
        order: format!("target-{region}").as_str().into(),
        expected: ConfigVersion(expected),
        target: format!("agent-{}", region + 1).as_str().into(),
        out: true,
    }
}

async fn started(engine: SocketAddr) -> u64 {
    let url = format!("http://{engine}/standin/status");
    let status: EngineStatus = reqwest::get(url).await.unwrap().json().await.unwrap();
    status.started
}

async fn control_ways(addresses: &[SocketAddr]) -> BTreeMap<(usize, usize), UdpProxy> {
    let mut ways = BTreeMap::new();
    for from in 0..REGIONS {
        for to in (0..REGIONS).filter(|to| *to != from) {
            ways.insert((from, to), UdpProxy::start(addresses[to]).await);
        }
    }
    ways
}

async fn start_control(
    keys: &TestKeys,
    index: usize,
    endpoint: LinkEndpoint,
    ways: &BTreeMap<(usize, usize), UdpProxy>,
) -> ControlHandle {
    let name = control_name(index);
    let peers = ways
        .iter()
        .filter(|((from, _), _)| *from == index)
        .map(|((_, to), way)| format!("{}={}", control_name(*to), way.address));
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

/// Relays to all control nodes, the region's own first.
async fn ways(index: usize, addresses: &[SocketAddr]) -> Vec<UdpProxy> {
    let mut ways = Vec::new();
    for offset in 0..REGIONS {
        ways.push(UdpProxy::start(addresses[(index + offset) % REGIONS]).await);
    }
    ways
}

/// An engine with its agent.
struct TestTarget {
    engine: RunningStandin,
    agent: AgentHandle,
    ways: Vec<UdpProxy>,
}

async fn start_target(keys: &TestKeys, index: usize, addresses: &[SocketAddr]) -> TestTarget {
    let engine = EngineSettings {
        token_time: Duration::from_millis(5),
        prefill_time: Duration::from_millis(20),
        cold_limit: 8,
        ..EngineSettings::default()
    };
    let engine = start_engine(engine).await.unwrap();
    let ways = ways(index, addresses).await;
    let name = NodeName::from(format!("agent-{}", index + 1).as_str());
    keys.authority.issue(NodeRole::Agent, &name).unwrap();
    let agent = agent::start(AgentSettings {
        target: name.as_str().into(),
        name,
        listen: any_port(),
        data_centre: DATA_CENTRES[index].into(),
        controls: ways.iter().map(|way| way.address).collect(),
        keys: keys.folder.clone(),
        service: "stone-advice".into(),
        kind: TargetKind::Model,
        target_url: format!("http://{}", engine.address()),
        cold_limit: SlotCount(4),
        most_slots: SlotCount(8),
        health: any_port(),
    });
    TestTarget {
        engine,
        agent: agent.await.unwrap(),
        ways,
    }
}

/// Starts the entry of a region beside its target.
async fn start_entry(
    keys: &TestKeys,
    index: usize,
    addresses: &[SocketAddr],
    target: TestTarget,
) -> TestRegion {
    let entry_ways = ways(index, addresses).await;
    let name = NodeName::from(format!("entry-{}", index + 1).as_str());
    keys.authority.issue(NodeRole::Entry, &name).unwrap();
    let entry = entry::start(EntrySettings {
        name,
        http: any_port(),
        listen: any_port(),
        data_centre: DATA_CENTRES[index].into(),
        controls: entry_ways.iter().map(|way| way.address).collect(),
        keys: keys.folder.clone(),
        limits: EntryLimits::default(),
    });
    TestRegion {
        engine: target.engine,
        agent: Some(target.agent),
        entry: entry.await.unwrap(),
        agent_ways: target.ways,
        entry_ways,
    }
}
