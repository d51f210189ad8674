//! Test fleet whose nodes and stand-ins run as separate processes.

mod process;

use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use load::{Answer, CallKind, CallRequest, CallResult, Caller};
use serde_json::Value;
use standin::{EngineStatus, ServiceStatus};
use tempfile::TempDir;

pub(crate) use process::FleetProcess;

/// Maximum time that a test waits for an event before it fails.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the status of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one request of a caller.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) const CONTROL_NAMES: [&str; 3] = ["control-1", "control-2", "control-3"];
pub(crate) const ENTRY_NAMES: [&str; 2] = ["entry-1", "entry-2"];
pub(crate) const ENGINE_NAMES: [&str; 2] = ["engine-1", "engine-2"];
pub(crate) const ADVICE_AGENT_NAMES: [&str; 2] = ["advice-1", "advice-2"];
pub(crate) const VISITS_AGENT_NAME: &str = "visits-1";
pub(crate) const BEARER_KEY: &str = "example-key-mlyn-hora";

const SERVICES_TEXT: &str = r#"
[[region]]
name = "bohemia"
[[data_centre]]
name = "praha-1"
region = "bohemia"
[[service]]
name = "visits"
kind = "plain"
[[service.call]]
method = "POST"
path = "/orders"
repeatable = false
[[service]]
name = "stone-advice"
kind = "model"
depends_on = ["visits"]
[[organisation]]
name = "mlyn-hora"
weight = 1
key_sha256 = "KEY_HASH"
"#;

/// Three control nodes, two entries and three agents with the stand-ins of their targets.
pub(crate) struct TestFleet {
    folder: TempDir,
    pub(crate) controls: Vec<FleetProcess>,
    pub(crate) entries: Vec<FleetProcess>,
    pub(crate) agents: Vec<FleetProcess>,
    pub(crate) engines: Vec<FleetProcess>,
    pub(crate) service: FleetProcess,
    control_addresses: Vec<SocketAddr>,
}

impl TestFleet {
    /// Starts all processes, applies the services text and waits until both entries serve requests.
    pub(crate) async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let keys_folder = folder.path().join("keys");
        issue_keys(&keys_folder);
        let control_addresses = reserve_addresses();
        let controls = start_controls(folder.path(), &control_addresses);
        let engines = ENGINE_NAMES.map(|name| start_engine(folder.path(), name));
        let service = FleetProcess::start(
            folder.path(),
            "service-1",
            env!("CARGO_BIN_EXE_bilberry-standin"),
            &["service"],
        );
        let mut fleet = Self {
            folder,
            controls,
            entries: Vec::new(),
            agents: Vec::new(),
            engines: engines.into(),
            service,
            control_addresses,
        };
        fleet.apply_services_text();
        for (name, engine) in ADVICE_AGENT_NAMES.iter().zip(0..) {
            let target = fleet.engines[engine].address("engine");
            let agent = fleet.start_agent(name, "stone-advice", "model", target);
            fleet.agents.push(agent);
        }
        let target = fleet.service.address("service");
        let agent = fleet.start_agent(VISITS_AGENT_NAME, "visits", "plain", target);
        fleet.agents.push(agent);
        for name in ENTRY_NAMES {
            let entry = fleet.start_entry(name);
            fleet.entries.push(entry);
        }
        fleet.wait_until_serving().await;
        fleet
    }

    fn keys_folder(&self) -> PathBuf {
        self.folder.path().join("keys")
    }

    fn join_control_addresses(&self) -> String {
        let addresses: Vec<String> = self
            .control_addresses
            .iter()
            .map(ToString::to_string)
            .collect();
        addresses.join(",")
    }

    fn start_agent(
        &self,
        name: &str,
        service: &str,
        kind: &str,
        target: SocketAddr,
    ) -> FleetProcess {
        let keys_folder = self.keys_folder();
        let (controls, url) = (self.join_control_addresses(), format!("http://{target}"));
        let target = format!("{name}-target");
        FleetProcess::start(
            self.folder.path(),
            name,
            env!("CARGO_BIN_EXE_bilberry-agent"),
            &[
                "--name",
                name,
                "--data-centre",
                "praha-1",
                "--controls",
                &controls,
                "--keys",
                keys_folder.to_str().unwrap(),
                "--target",
                &target,
                "--service",
                service,
                "--kind",
                kind,
                "--target-url",
                &url,
                "--cold-limit",
                "4",
                "--most-slots",
                "8",
                "--listen",
                "127.0.0.1:0",
                "--health",
                "127.0.0.1:0",
            ],
        )
    }

    fn start_entry(&self, name: &str) -> FleetProcess {
        let (keys_folder, controls) = (self.keys_folder(), self.join_control_addresses());
        FleetProcess::start(
            self.folder.path(),
            name,
            env!("CARGO_BIN_EXE_bilberry-entry"),
            &[
                "--name",
                name,
                "--data-centre",
                "praha-1",
                "--controls",
                &controls,
                "--keys",
                keys_folder.to_str().unwrap(),
                "--listen",
                "127.0.0.1:0",
                "--http",
                "127.0.0.1:0",
            ],
        )
    }

    /// Applies the services text, and retries until the control nodes have a quorum.
    fn apply_services_text(&self) {
        let path = self.folder.path().join("services.toml");
        let hash = process::sha256_hex(BEARER_KEY);
        std::fs::write(&path, SERVICES_TEXT.replace("KEY_HASH", &hash)).unwrap();
        let start = Instant::now();
        loop {
            let output = self.run_operator(&["apply", "--order", "first", path.to_str().unwrap()]);
            if output.status.success() {
                return;
            }
            assert!(start.elapsed() < EVENT_TIMEOUT, "{output:?}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn run_operator(&self, arguments: &[&str]) -> std::process::Output {
        Command::new(env!("CARGO_BIN_EXE_bilberryctl"))
            .args(["--controls", &self.join_control_addresses(), "--keys"])
            .arg(self.keys_folder())
            .args(["--operator", "anna", "--json"])
            .args(arguments)
            .output()
            .unwrap()
    }

    /// Waits until control reports a leader, and returns the index of its node.
    pub(crate) fn wait_for_leader(&self) -> usize {
        let start = Instant::now();
        loop {
            let output = self.run_operator(&["status"]);
            let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
            let leader = status["leader"].as_str();
            if let Some(index) = CONTROL_NAMES.iter().position(|name| Some(*name) == leader) {
                return index;
            }
            assert!(start.elapsed() < EVENT_TIMEOUT, "{output:?}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Client of the entries at their current addresses.
    pub(crate) fn caller(&self) -> Caller {
        let entries = self.entries.iter().map(|entry| entry.address("callers"));
        Caller::new(entries.collect(), REQUEST_TIMEOUT).unwrap()
    }

    /// Waits until each entry serves a streamed chat completion and a read with complete responses.
    pub(crate) async fn wait_until_serving(&self) {
        let caller = self.caller();
        for entry in 0..self.entries.len() {
            for kind in [chat("probe", true), record("probe")] {
                let start = Instant::now();
                loop {
                    let answer = caller
                        .send(&build_request(kind.clone()), entry)
                        .await
                        .answer;
                    if answer == Answer::Whole {
                        break;
                    }
                    assert!(
                        start.elapsed() < EVENT_TIMEOUT,
                        "entry {entry} answered {kind:?} with {answer:?}"
                    );
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Status of the plain service, which counts the executions of each booking.
    pub(crate) async fn fetch_service_status(&self) -> ServiceStatus {
        fetch_status(self.service.address("service")).await
    }

    /// Sets the faults that the plain service injects.
    pub(crate) async fn set_service_faults(&self, faults: Value) {
        let url = format!("http://{}/standin/faults", self.service.address("service"));
        let client = reqwest::Client::new();
        let response = client.put(url).json(&faults).send().await.unwrap();
        assert!(response.status().is_success());
    }

    pub(crate) async fn fetch_engine_status(&self, index: usize) -> EngineStatus {
        fetch_status(self.engines[index].address("engine")).await
    }

    /// Waits until a process that received SIGTERM has exited with status 0.
    pub(crate) async fn wait_until_exited(
        &mut self,
        select_process: impl Fn(&mut Self) -> &mut FleetProcess,
    ) {
        let start = Instant::now();
        while !select_process(self).has_exited() {
            assert!(
                start.elapsed() < EVENT_TIMEOUT,
                "the process did not exit within {EVENT_TIMEOUT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls a condition until it holds.
    pub(crate) async fn wait_until<F: Future<Output = bool>>(
        &self,
        description: &str,
        condition: impl Fn() -> F,
    ) {
        let start = Instant::now();
        while !condition().await {
            assert!(
                start.elapsed() < EVENT_TIMEOUT,
                "no {description} within {EVENT_TIMEOUT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL / 5).await;
        }
    }
}

impl Drop for TestFleet {
    /// Prints the last log lines of each process if the test failed.
    fn drop(&mut self) {
        if std::thread::panicking() {
            let groups = [&self.controls, &self.entries, &self.agents, &self.engines];
            for process in groups.into_iter().flatten().chain([&self.service]) {
                process.print_log();
            }
        }
    }
}

async fn fetch_status<T: serde::de::DeserializeOwned>(address: SocketAddr) -> T {
    let url = format!("http://{address}/standin/status");
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

fn issue_keys(folder: &Path) {
    let run_keys_command = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_bilberryctl"))
            .arg("--keys")
            .arg(folder)
            .arg("keys")
            .args(arguments)
            .output()
            .unwrap();
        assert!(output.status.success(), "{output:?}");
    };
    run_keys_command(&["init"]);
    run_keys_command(&["issue", "operator", "anna"]);
    CONTROL_NAMES
        .iter()
        .for_each(|name| run_keys_command(&["issue", "control", name]));
    ENTRY_NAMES
        .iter()
        .for_each(|name| run_keys_command(&["issue", "entry", name]));
    ADVICE_AGENT_NAMES
        .iter()
        .for_each(|name| run_keys_command(&["issue", "agent", name]));
    run_keys_command(&["issue", "agent", VISITS_AGENT_NAME]);
}

/// Chooses free ports by binding sockets and closing them, since the control nodes need the
/// addresses of their peers before they start.
fn reserve_addresses() -> Vec<SocketAddr> {
    let sockets = CONTROL_NAMES.map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    sockets
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect()
}

fn start_controls(folder: &Path, addresses: &[SocketAddr]) -> Vec<FleetProcess> {
    let keys_folder = folder.join("keys");
    let mut controls = Vec::new();
    for (name, address) in CONTROL_NAMES.iter().zip(addresses) {
        let (listen, data) = (address.to_string(), folder.join(name));
        let mut arguments: Vec<String> = [
            "--name",
            name,
            "--listen",
            &listen,
            "--data",
            data.to_str().unwrap(),
            "--keys",
            keys_folder.to_str().unwrap(),
            "--data-centre",
            "praha-1",
        ]
        .map(String::from)
        .into();
        for (peer, address) in CONTROL_NAMES.iter().zip(addresses) {
            arguments.extend(["--peer".into(), format!("{peer}={address}")]);
        }
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let binary = env!("CARGO_BIN_EXE_bilberry-control");
        controls.push(FleetProcess::start(folder, name, binary, &arguments));
    }
    controls
}

/// Starts an engine at a port that is chosen here, so that its address survives a restart.
fn start_engine(folder: &Path, name: &str) -> FleetProcess {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    FleetProcess::start(
        folder,
        name,
        env!("CARGO_BIN_EXE_bilberry-standin"),
        &[
            "engine",
            "--address",
            &address,
            "--cold",
            "8",
            "--token-ms",
            "15",
        ],
    )
}

pub(crate) fn build_request(kind: CallKind) -> CallRequest {
    CallRequest {
        key: BEARER_KEY.into(),
        kind,
    }
}

pub(crate) fn chat(prompt: &str, stream: bool) -> CallKind {
    CallKind::Chat {
        service: "stone-advice".into(),
        prompt: prompt.into(),
        max_tokens: 80,
        stream,
    }
}

pub(crate) fn record(path: &str) -> CallKind {
    CallKind::Record {
        service: "visits".into(),
        path: path.into(),
    }
}

pub(crate) fn booking(id: &str) -> CallKind {
    CallKind::Booking {
        service: "visits".into(),
        id: id.into(),
    }
}

/// Whether a response is complete or an error that states the outcome.
pub(crate) fn has_stated_outcome(result: &CallResult) -> bool {
    match &result.answer {
        Answer::Whole => true,
        Answer::Refused(refusal) => {
            ["not-run", "ran", "unknown"].contains(&refusal.outcome.as_str())
        }
        _ => false,
    }
}
