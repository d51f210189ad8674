//! Control nodes as separate processes, and their operator.

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

use super::PATIENCE;
use super::process::{FleetProcess, sha256_hex};

/// Time between two looks at a process that tells nothing by itself.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];

/// Node whose keys the tests renew with.
pub(crate) const NODE: &str = "entry-1";

/// Command line of an operator, for threads of their own too.
#[derive(Clone)]
pub(crate) struct StatusReader {
    keys: PathBuf,
    addresses: Vec<SocketAddr>,
}

impl StatusReader {
    /// Command line of an operator who asks some of the nodes.
    pub(crate) fn operator(&self, controls: &[usize], arguments: &[&str]) -> Command {
        let addresses = controls.iter().map(|index| self.addresses[*index]);
        let addresses: Vec<String> = addresses.map(|address| address.to_string()).collect();
        let mut command = Command::new(env!("CARGO_BIN_EXE_bilberryctl"));
        command
            .args(["--controls", &addresses.join(","), "--keys"])
            .arg(&self.keys)
            .args(["--operator", "anna", "--json"])
            .args(arguments);
        command
    }

    /// State of the fleet as one node tells it.
    pub(crate) fn status(&self, index: usize) -> Option<FleetStatus> {
        let output = self.operator(&[index], &["status"]).output().unwrap();
        serde_json::from_slice(&output.stdout).ok()
    }
}

/// Three control nodes.
pub(crate) struct ControlGroup {
    folder: TempDir,
    pub(crate) nodes: Vec<FleetProcess>,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) reader: StatusReader,
}

impl ControlGroup {
    /// Starts three nodes with empty folders and waits until they have a quorum.
    pub(crate) fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        issue_keys(&folder.path().join("keys"));
        let addresses = reserve_addresses();
        let reader = StatusReader {
            keys: folder.path().join("keys"),
            addresses: addresses.clone(),
        };
        let mut group = Self {
            folder,
            nodes: Vec::new(),
            addresses,
            reader,
        };
        for index in 0..CONTROLS.len() {
            let node = group.start_node(index);
            group.nodes.push(node);
        }
        group.wait_ready(&[0, 1, 2]);
        group
    }

    fn start_node(&self, index: usize) -> FleetProcess {
        let name = CONTROLS[index];
        let mut arguments: Vec<String> = ["--name", name, "--listen"].map(String::from).into();
        arguments.push(self.addresses[index].to_string());
        arguments.extend(["--data".into(), text(&self.data(index))]);
        arguments.extend(["--keys".into(), text(&self.keys())]);
        for (peer, address) in CONTROLS.iter().zip(&self.addresses) {
            arguments.extend(["--peer".into(), format!("{peer}={address}")]);
        }
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let binary = env!("CARGO_BIN_EXE_bilberry-control");
        FleetProcess::start(self.folder.path(), name, binary, &arguments)
    }

    fn keys(&self) -> PathBuf {
        self.folder.path().join("keys")
    }

    /// Folder for files of the test.
    pub(crate) fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Data folder of a node.
    pub(crate) fn data(&self, index: usize) -> PathBuf {
        self.folder.path().join(CONTROLS[index])
    }

    /// Newest log segment of a node.
    pub(crate) fn last_log_file(&self, index: usize) -> PathBuf {
        let entries = std::fs::read_dir(self.data(index)).unwrap();
        let files = entries.map(|entry| entry.unwrap().path());
        files
            .filter(|path| text(path).contains("/log-"))
            .max()
            .unwrap()
    }

    /// Starts a killed node again without its data, as a replaced host.
    pub(crate) fn replace(&mut self, index: usize) {
        std::fs::remove_dir_all(self.data(index)).unwrap();
        self.nodes[index].restart();
    }

    /// Runs an operator's command to its end.
    pub(crate) fn run(&self, arguments: &[&str]) -> Output {
        self.reader
            .operator(&[0, 1, 2], arguments)
            .output()
            .unwrap()
    }

    /// Starts an operator's command.
    pub(crate) fn spawn(&self, arguments: &[&str]) -> Child {
        self.reader
            .operator(&[0, 1, 2], arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    }

    /// Waits until a node's state fulfils a condition.
    pub(crate) fn wait(
        &self,
        index: usize,
        what: &str,
        check: impl Fn(&FleetStatus) -> bool,
    ) -> FleetStatus {
        let start = Instant::now();
        loop {
            let status = self.reader.status(index);
            if let Some(status) = status.as_ref().filter(|status| check(status)) {
                return status.clone();
            }
            if start.elapsed() > PATIENCE {
                self.nodes.iter().for_each(FleetProcess::print_log);
                panic!("{} did not become {what}: {status:#?}", CONTROLS[index]);
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
    }

    /// Waits until nodes are confirmed by a quorum.
    pub(crate) fn wait_ready(&self, nodes: &[usize]) {
        for index in nodes {
            self.wait(*index, "ready", |status| status.confirmed_ms.is_some());
        }
    }

    /// Waits until nodes are confirmed by a quorum, and checks what they say is in force.
    pub(crate) fn check_in_force(&self, nodes: &[usize], version: u64, out: &BTreeSet<TargetName>) {
        for index in nodes {
            let status = self.wait(*index, "confirmed", |status| status.confirmed_ms.is_some());
            assert_eq!(
                status.version,
                ConfigVersion(version),
                "{}",
                CONTROLS[*index]
            );
            assert_eq!(&status.out_targets, out, "{}", CONTROLS[*index]);
        }
    }

    /// Index of the leader as some of the nodes see it.
    pub(crate) fn leader(&self, nodes: &[usize]) -> usize {
        let led = |status: &FleetStatus| {
            let leader = status.leader.as_ref();
            let index = CONTROLS
                .iter()
                .position(|name| leader.is_some_and(|leader| leader.as_str() == *name));
            index.filter(|index| nodes.contains(index))
        };
        let status = self.wait(nodes[0], "led", |status| {
            status.confirmed_ms.is_some() && led(status).is_some()
        });
        led(&status).unwrap()
    }

    /// Endpoint with the keys of a role.
    pub(crate) fn endpoint(&self, role: NodeRole, name: &str) -> LinkEndpoint {
        let name = NodeName::from(name);
        let files = KeyFiles::in_folder(&self.keys(), role, &name);
        let identity = LinkIdentity::load(role, &name, &files).unwrap();
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        LinkEndpoint::bind(local, &identity, Incarnation(1)).unwrap()
    }

    /// Client of some of the nodes.
    pub(crate) fn client(&self, role: NodeRole, name: &str, nodes: &[usize]) -> ControlClient {
        let addresses = nodes.iter().map(|index| self.addresses[*index]);
        ControlClient::new(self.endpoint(role, name), addresses.collect())
    }
}

impl Drop for ControlGroup {
    /// Prints the last log lines of every process if the test has failed.
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.nodes.iter().for_each(FleetProcess::print_log);
        }
    }
}

/// An order that takes a target out.
pub(crate) fn target_out(order: &str, expected: u64, target: &TargetName) -> OperatorOrder {
    OperatorOrder::Target {
        order: OrderId::from(order),
        expected: ConfigVersion(expected),
        target: target.clone(),
        out: true,
    }
}

/// Sends an order until it is answered; the order id makes that safe.
pub(crate) async fn send(client: &ControlClient, order: OperatorOrder) -> OrderReply {
    let request = ControlRequest::Order(order);
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        match client.request(&request).await {
            Ok(ControlReply::Order(reply)) => return reply,
            Ok(other) => panic!("{other:?}"),
            // The group has no leader yet.
            Err(_) => tokio::time::sleep(LOOK_INTERVAL).await,
        }
    }
    panic!("no answer to {request:?}");
}

/// Services text with organisations of the given weights.
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

fn text(path: &Path) -> String {
    path.to_str().unwrap().into()
}

fn issue_keys(folder: &Path) {
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_bilberryctl"))
            .arg("--keys")
            .arg(folder)
            .arg("keys")
            .args(arguments)
            .output()
            .unwrap();
        assert!(output.status.success(), "{output:?}");
    };
    run(&["init"]);
    run(&["issue", "operator", "anna"]);
    run(&["issue", "entry", NODE]);
    CONTROLS
        .iter()
        .for_each(|name| run(&["issue", "control", name]));
}

/// Control nodes list each other before they start, so their ports are chosen by binding sockets
/// that are closed again.
fn reserve_addresses() -> Vec<SocketAddr> {
    let sockets = CONTROLS.map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    let addresses = sockets.iter().map(|socket| socket.local_addr().unwrap());
    addresses.collect()
}
