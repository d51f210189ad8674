//! Group of control nodes that run as separate processes, and its operator.

#![allow(dead_code, reason = "each test binary uses a part of this module")]

use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use client::ControlClient;
use control::FleetStatus;
use link::{KeyFiles, LinkEndpoint, LinkIdentity};
use tempfile::TempDir;
use units::{ConfigVersion, Incarnation, NodeName, OrderId, TargetName};
use wire::{ControlReply, ControlRequest, NodeRole, OperatorOrder, OrderReply};

use super::EVENT_TIMEOUT;
use super::process::{FleetProcess, sha256_hex};

/// Interval at which the status of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) const CONTROL_NAMES: [&str; 3] = ["control-1", "control-2", "control-3"];

/// Name of the entry whose keys the tests use to renew a lease.
pub(crate) const ENTRY_NAME: &str = "entry-1";

/// Runs `bilberryctl` as an operator. It is cloned for threads that poll the status.
#[derive(Clone)]
pub(crate) struct OperatorCli {
    keys_folder: PathBuf,
    addresses: Vec<SocketAddr>,
}

impl OperatorCli {
    /// Returns a command that is sent to the given control nodes.
    pub(crate) fn command(&self, controls: &[usize], arguments: &[&str]) -> Command {
        let addresses = controls.iter().map(|index| self.addresses[*index]);
        let addresses: Vec<String> = addresses.map(|address| address.to_string()).collect();
        let mut command = Command::new(env!("CARGO_BIN_EXE_bilberryctl"));
        command
            .args(["--controls", &addresses.join(","), "--keys"])
            .arg(&self.keys_folder)
            .args(["--operator", "anna", "--json"])
            .args(arguments);
        command
    }

    /// Status of the fleet as one control node reports it, or `None` if it does not answer.
    pub(crate) fn fetch_status(&self, index: usize) -> Option<FleetStatus> {
        let output = self.command(&[index], &["status"]).output().unwrap();
        serde_json::from_slice(&output.stdout).ok()
    }
}

/// Three control nodes and the folder of their files.
pub(crate) struct ControlGroup {
    folder: TempDir,
    pub(crate) nodes: Vec<FleetProcess>,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) operator: OperatorCli,
}

impl ControlGroup {
    /// Starts three nodes with empty data folders and waits until they have a quorum.
    pub(crate) fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        issue_keys(&folder.path().join("keys"));
        let addresses = reserve_addresses();
        let operator = OperatorCli {
            keys_folder: folder.path().join("keys"),
            addresses: addresses.clone(),
        };
        let mut group = Self {
            folder,
            nodes: Vec::new(),
            addresses,
            operator,
        };
        for index in 0..CONTROL_NAMES.len() {
            let node = group.start_node(index);
            group.nodes.push(node);
        }
        group.wait_until_confirmed(&[0, 1, 2]);
        group
    }

    fn start_node(&self, index: usize) -> FleetProcess {
        let name = CONTROL_NAMES[index];
        let mut arguments: Vec<String> = ["--name", name, "--listen"].map(String::from).into();
        arguments.push(self.addresses[index].to_string());
        arguments.extend(["--data".into(), path_text(&self.data_folder(index))]);
        arguments.extend(["--keys".into(), path_text(&self.keys_folder())]);
        for (peer, address) in CONTROL_NAMES.iter().zip(&self.addresses) {
            arguments.extend(["--peer".into(), format!("{peer}={address}")]);
        }
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let binary = env!("CARGO_BIN_EXE_bilberry-control");
        FleetProcess::start(self.folder.path(), name, binary, &arguments)
    }

    fn keys_folder(&self) -> PathBuf {
        self.folder.path().join("keys")
    }

    pub(crate) fn folder(&self) -> &Path {
        self.folder.path()
    }

    pub(crate) fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.path().join(CONTROL_NAMES[index])
    }

    /// Path of a node's newest log segment.
    pub(crate) fn newest_log_segment(&self, index: usize) -> PathBuf {
        let entries = std::fs::read_dir(self.data_folder(index)).unwrap();
        let files = entries.map(|entry| entry.unwrap().path());
        files
            .filter(|path| path_text(path).contains("/log-"))
            .max()
            .unwrap()
    }

    /// Restarts a killed node without its data, as on a replaced host.
    pub(crate) fn restart_without_data(&mut self, index: usize) {
        std::fs::remove_dir_all(self.data_folder(index)).unwrap();
        self.nodes[index].restart();
    }

    /// Runs a command of the operator and waits until it exits.
    pub(crate) fn run_operator(&self, arguments: &[&str]) -> Output {
        self.operator
            .command(&[0, 1, 2], arguments)
            .output()
            .unwrap()
    }

    /// Starts a command of the operator with piped output.
    pub(crate) fn spawn_operator(&self, arguments: &[&str]) -> Child {
        self.operator
            .command(&[0, 1, 2], arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    }

    /// Waits until a status that a node reports meets a condition, and returns that status.
    pub(crate) fn wait_for_status(
        &self,
        index: usize,
        description: &str,
        condition: impl Fn(&FleetStatus) -> bool,
    ) -> FleetStatus {
        let start = Instant::now();
        loop {
            let status = self.operator.fetch_status(index);
            if let Some(status) = status.as_ref().filter(|status| condition(status)) {
                return status.clone();
            }
            if start.elapsed() > EVENT_TIMEOUT {
                self.nodes.iter().for_each(FleetProcess::print_log);
                panic!(
                    "{} reported no {description} status: {status:#?}",
                    CONTROL_NAMES[index]
                );
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until a quorum has confirmed the state of each given node.
    pub(crate) fn wait_until_confirmed(&self, nodes: &[usize]) {
        for index in nodes {
            self.wait_for_status(*index, "confirmed", |status| status.confirmed_ms.is_some());
        }
    }

    /// Waits until a quorum has confirmed the state of each given node, then checks its version and
    /// the targets that are out.
    pub(crate) fn assert_in_force(
        &self,
        nodes: &[usize],
        version: u64,
        out: &BTreeSet<TargetName>,
    ) {
        for index in nodes {
            let status =
                self.wait_for_status(*index, "confirmed", |status| status.confirmed_ms.is_some());
            assert_eq!(
                status.version,
                ConfigVersion(version),
                "{}",
                CONTROL_NAMES[*index]
            );
            assert_eq!(&status.out_targets, out, "{}", CONTROL_NAMES[*index]);
        }
    }

    /// Waits until the first of the given nodes reports one of them as the leader, and returns its
    /// index.
    pub(crate) fn wait_for_leader(&self, nodes: &[usize]) -> usize {
        let leader_index = |status: &FleetStatus| {
            let leader = status.leader.as_ref();
            let index = CONTROL_NAMES
                .iter()
                .position(|name| leader.is_some_and(|leader| leader.as_str() == *name));
            index.filter(|index| nodes.contains(index))
        };
        let status = self.wait_for_status(nodes[0], "confirmed leader", |status| {
            status.confirmed_ms.is_some() && leader_index(status).is_some()
        });
        leader_index(&status).unwrap()
    }

    /// Endpoint that authenticates with the keys of a role.
    pub(crate) fn endpoint(&self, role: NodeRole, name: &str) -> LinkEndpoint {
        let name = NodeName::from(name);
        let files = KeyFiles::in_folder(&self.keys_folder(), role, &name);
        let identity = LinkIdentity::load(role, &name, &files).unwrap();
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        LinkEndpoint::bind(local, &identity, Incarnation(1)).unwrap()
    }

    /// Client that sends its requests to the given nodes.
    pub(crate) fn client(&self, role: NodeRole, name: &str, nodes: &[usize]) -> ControlClient {
        let addresses = nodes.iter().map(|index| self.addresses[*index]);
        ControlClient::new(self.endpoint(role, name), addresses.collect())
    }
}

impl Drop for ControlGroup {
    /// Prints the last log lines of each process if the test failed.
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.nodes.iter().for_each(FleetProcess::print_log);
        }
    }
}

/// Order that takes a target out.
pub(crate) fn target_out_order(order: &str, expected: u64, target: &TargetName) -> OperatorOrder {
    OperatorOrder::Target {
        order: OrderId::from(order),
        expected: ConfigVersion(expected),
        target: target.clone(),
        out: true,
    }
}

/// Sends an order until control replies. The order id prevents a second execution.
pub(crate) async fn send_order(client: &ControlClient, order: OperatorOrder) -> OrderReply {
    let request = ControlRequest::Order(order);
    let start = Instant::now();
    while start.elapsed() < EVENT_TIMEOUT {
        match client.request(&request).await {
            Ok(ControlReply::Order(reply)) => return reply,
            Ok(other) => panic!("unexpected reply to an order: {other:?}"),
            // The group may have no leader yet.
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
    panic!("no reply to {request:?} within {EVENT_TIMEOUT:?}");
}

/// Services text with one organisation for each weight.
pub(crate) fn services_text(weights: impl IntoIterator<Item = u64>) -> String {
    let mut text = String::from(
        "[[region]]\nname = \"bohemia\"\n\
         [[data_centre]]\nname = \"praha-1\"\nregion = \"bohemia\"\n\
         [[service]]\nname = \"stone-advice\"\nkind = \"model\"\n",
    );
    for (number, weight) in weights.into_iter().enumerate() {
        let hash = sha256_hex(&format!("key-{number}"));
        text += &format!(
            "[[organisation]]\nname = \"organisation-{number:05}\"\nweight = {weight}\n\
             key_sha256 = \"{hash}\"\n"
        );
    }
    text
}

fn path_text(path: &Path) -> String {
    path.to_str().unwrap().into()
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
    run_keys_command(&["issue", "entry", ENTRY_NAME]);
    CONTROL_NAMES
        .iter()
        .for_each(|name| run_keys_command(&["issue", "control", name]));
}

/// Chooses free ports by binding sockets and closing them, since the control nodes need the
/// addresses of their peers before they start.
fn reserve_addresses() -> Vec<SocketAddr> {
    let sockets = CONTROL_NAMES.map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    let addresses = sockets.iter().map(|socket| socket.local_addr().unwrap());
    addresses.collect()
}
