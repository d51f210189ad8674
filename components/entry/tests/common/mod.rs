//! Test fleet in one process: entries, agents, fake targets and a fake control.

#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod crashing;
pub mod home;
pub mod recorder;
pub mod relay;
pub mod target;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agent::{AgentHandle, AgentParts, AgentSettings, TargetKind};
use board::StateBoard;
use client::FleetView;
use entry::{CallRecorder, EntryHandle, EntryLimits, EntryParts, EntrySettings};
use link::{KeyAuthority, LinkEndpoint, LinkIdentity};
use manifest::FleetManifest;
use tempfile::TempDir;
use units::{
    ClockSource, ClockTime, DataCentreName, Incarnation, NodeName, ServiceName, SlotCount,
    TargetName,
};
use wire::{DirectoryEntry, NodeKind, NodeRole, NodeState};

use home::FakeHome;
use recorder::FakeRecorder;

/// Bearer key of the organisation in the services text.
pub const BEARER_KEY: &str = "key-of-mlyn-hora";

/// Maximum time that a test waits for an event.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

const SERVICES_TEXT: &str = r#"
[[region]]
name = "bohemia"

[[data_centre]]
name = "praha-1"
region = "bohemia"

[[service]]
name = "stone-advice"
kind = "model"
max_waiting = 256
max_cost = 4096

[[service]]
name = "visits"
kind = "plain"
max_waiting = 256
max_cost = 1
[[service.call]]
method = "POST"
path = "/orders"
repeatable = false

[[service]]
name = "bookings"
kind = "plain"
depends_on = ["records"]
max_waiting = 256
max_cost = 1

[[service]]
name = "records"
kind = "plain"
max_waiting = 256
max_cost = 1

[[organisation]]
name = "mlyn-hora"
weight = 1
key_sha256 = "KEY_HASH"
"#;

pub struct Fleet {
    pub folder: TempDir,
    /// View of the entries.
    pub view: StateBoard<FleetView>,
    /// View of the agents.
    pub agent_view: StateBoard<FleetView>,
    pub clock: Arc<dyn ClockSource>,
    pub recorder: Arc<FakeRecorder>,
    /// Addresses of the control nodes that agents and entries report to.
    pub controls: Vec<SocketAddr>,
    authority: KeyAuthority,
}

fn any_local_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn services_text() -> String {
    use sha2::{Digest, Sha256};
    let hash = Sha256::digest(BEARER_KEY.as_bytes());
    let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    SERVICES_TEXT.replace("KEY_HASH", &hex)
}

fn fleet_view() -> FleetView {
    let mut view = FleetView {
        lease_end: ClockTime(u64::MAX),
        ..FleetView::default()
    };
    view.config.version = units::ConfigVersion(1);
    view.config.manifest = FleetManifest::parse(&services_text()).unwrap();
    view
}

impl Fleet {
    pub fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let authority = KeyAuthority::open_or_create(folder.path()).unwrap();
        Self {
            folder,
            view: StateBoard::new(fleet_view()),
            agent_view: StateBoard::new(fleet_view()),
            clock: Arc::new(units::SystemClock::start()),
            recorder: Arc::default(),
            controls: vec![any_local_address()],
            authority,
        }
    }

    pub async fn start_entry(&self, name: &str) -> EntryHandle {
        self.start_entry_with_limits(name, EntryLimits::default())
            .await
    }

    pub async fn start_entry_with_limits(&self, name: &str, limits: EntryLimits) -> EntryHandle {
        self.start_entry_with_recorder(name, limits, self.recorder.clone())
            .await
    }

    /// Starts an entry that records calls through the given recorder.
    pub async fn start_entry_with_recorder(
        &self,
        name: &str,
        limits: EntryLimits,
        recorder: Arc<dyn CallRecorder>,
    ) -> EntryHandle {
        let name = NodeName::from(name);
        self.authority.issue(NodeRole::Entry, &name).unwrap();
        let settings = EntrySettings {
            name,
            http: any_local_address(),
            listen: any_local_address(),
            data_centre: DataCentreName::from("praha-1"),
            controls: self.controls.clone(),
            keys: self.folder.path().into(),
            limits,
        };
        let parts = EntryParts {
            view: Some(self.view.clone()),
            recorder: Some(recorder),
            clock: self.clock.clone(),
            ..EntryParts::default()
        };
        let entry = entry::start_with(settings, parts).await.unwrap();
        self.list_node(entry.directory_entry());
        entry
    }

    /// Starts a control node that only merges the reports of agents and entries.
    pub fn start_home(&self, name: &str) -> FakeHome {
        let name = NodeName::from(name);
        let files = self.authority.issue(NodeRole::Control, &name).unwrap();
        let identity = LinkIdentity::load(NodeRole::Control, &name, &files).unwrap();
        let endpoint = LinkEndpoint::bind(any_local_address(), &identity, Incarnation(1)).unwrap();
        FakeHome::start(endpoint, self.clock.clone())
    }

    /// Starts an agent and lists it in the directory once its target is healthy.
    pub async fn start_agent(
        &self,
        name: &str,
        service: &str,
        kind: TargetKind,
        target: SocketAddr,
    ) -> AgentHandle {
        let agent = self.start_unlisted_agent(name, service, kind, target).await;
        self.list_node(agent.directory_entry());
        agent
    }

    pub async fn start_unlisted_agent(
        &self,
        name: &str,
        service: &str,
        kind: TargetKind,
        target: SocketAddr,
    ) -> AgentHandle {
        let name = NodeName::from(name);
        self.authority.issue(NodeRole::Agent, &name).unwrap();
        let settings = AgentSettings {
            target: TargetName::from(format!("target-of-{name}").as_str()),
            name,
            listen: any_local_address(),
            data_centre: DataCentreName::from("praha-1"),
            controls: self.controls.clone(),
            keys: self.folder.path().into(),
            service: ServiceName::from(service),
            kind,
            target_url: format!("http://{target}"),
            cold_limit: SlotCount(4),
            most_slots: SlotCount(8),
            health: any_local_address(),
        };
        let parts = AgentParts {
            view: Some(self.agent_view.clone()),
            clock: self.clock.clone(),
            ..AgentParts::default()
        };
        let agent = agent::start_with(settings, parts).await.unwrap();
        wait_until("the target is healthy", || {
            is_healthy(&agent.directory_entry())
        })
        .await;
        agent
    }

    pub fn list_node(&self, node: DirectoryEntry) {
        self.view.write(|view| {
            view.directory.insert(node.name.clone(), node);
        });
    }

    /// Binds an endpoint for a test that sends and receives single frames.
    pub fn bind_endpoint(&self, role: NodeRole, name: &str) -> LinkEndpoint {
        let name = NodeName::from(name);
        let files = self.authority.issue(role, &name).unwrap();
        let identity = LinkIdentity::load(role, &name, &files).unwrap();
        LinkEndpoint::bind(any_local_address(), &identity, Incarnation(1)).unwrap()
    }

    /// Adds a node to the directory under another address.
    pub fn list_node_at(&self, mut node: DirectoryEntry, address: SocketAddr) {
        node.address = address;
        self.list_node(node);
    }

    pub fn set_leaving(&self, name: &str) {
        self.view.write(|view| {
            let node = view.directory.get_mut(&NodeName::from(name)).unwrap();
            node.state = NodeState::Leaving;
        });
    }
}

fn is_healthy(node: &DirectoryEntry) -> bool {
    matches!(&node.kind, NodeKind::Agent(target) if target.healthy)
}

/// Waits until a condition holds.
pub async fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    if tokio::time::timeout(EVENT_TIMEOUT, waiting).await.is_err() {
        panic!("timed out while waiting until {condition}");
    }
}

/// HTTP client of an entry.
pub struct Caller {
    client: reqwest::Client,
    base: String,
}

impl Caller {
    pub fn new(entry: &EntryHandle) -> Self {
        Self {
            client: reqwest::Client::builder().no_proxy().build().unwrap(),
            base: format!("http://{}", entry.http()),
        }
    }

    pub async fn chat(&self, tokens: u64, stream: bool) -> reqwest::Response {
        let body = serde_json::json!({
            "model": "stone-advice",
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "advise"}],
        });
        let request = self
            .client
            .post(format!("{}/v1/chat/completions", self.base));
        let request = request.bearer_auth(BEARER_KEY).body(body.to_string());
        request.send().await.unwrap()
    }

    pub async fn get(&self, path: &str) -> reqwest::Response {
        let request = self.client.get(format!("{}{path}", self.base));
        request.bearer_auth(BEARER_KEY).send().await.unwrap()
    }

    pub async fn order(&self, key: &str, body: &str) -> reqwest::Response {
        self.try_order(key, body).await.unwrap()
    }

    pub async fn try_order(&self, key: &str, body: &str) -> reqwest::Result<reqwest::Response> {
        self.post("/services/visits/orders", body)
            .header("idempotency-key", key)
            .send()
            .await
    }

    pub fn post(&self, path: &str, body: &str) -> reqwest::RequestBuilder {
        let request = self.client.post(format!("{}{path}", self.base));
        request.bearer_auth(BEARER_KEY).body(body.to_owned())
    }
}

/// Reads an event stream until `text` contains `count` tokens.
pub async fn read_tokens(response: &mut reqwest::Response, text: &mut String, count: usize) {
    let reading = async {
        while parse_tokens(text).len() < count {
            let chunk = response
                .chunk()
                .await
                .unwrap()
                .expect("the stream has another chunk");
            text.push_str(std::str::from_utf8(&chunk).unwrap());
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, reading)
        .await
        .expect("the tokens arrive before the timeout");
}

/// Reads the rest of an event stream.
pub async fn read_rest(mut response: reqwest::Response, text: &mut String) {
    let reading = async {
        while let Some(chunk) = response.chunk().await.unwrap() {
            text.push_str(std::str::from_utf8(&chunk).unwrap());
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, reading)
        .await
        .expect("the stream ends before the timeout");
}

/// Value of a header, or an empty string if the header is missing.
pub fn header_value(response: &reqwest::Response, name: &str) -> String {
    let value = response.headers().get(name);
    value.map_or(String::new(), |value| value.to_str().unwrap().into())
}

/// Tokens of an event stream, in order.
pub fn parse_tokens(stream: &str) -> Vec<String> {
    stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]")
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|event| {
            event["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect()
}

/// First tokens that the fake target sends.
pub fn expected_tokens(count: u64) -> Vec<String> {
    (0..count).map(|number| format!("t{number} ")).collect()
}
