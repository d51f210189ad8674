//! Accepted configuration when control processes are killed or isolated, and when operators send
//! concurrent orders or are killed.

#[path = "support/control_group.rs"]
mod control_group;
#[path = "support/process.rs"]
mod process;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use board::StateBoard;
use client::{FleetView, LEASE_TIME, keep_lease};
use control::FleetStatus;
use control_group::{
    CONTROL_NAMES, ControlGroup, ENTRY_NAME, OperatorCli, send_order, services_text,
    target_out_order,
};
use directory::SILENCE_TIMEOUT;
use link::PeerLink;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::sync::{Mutex, MutexGuard};
use units::{ClockSource, ConfigVersion, Incarnation, SystemClock, TargetName};
use wire::{
    ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeRole, NodeState, OrderReply,
    RenewReply, RenewRequest, StreamKind,
};

/// Maximum time that a test waits for an event before it fails.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Exit status of `bilberryctl` for a conflict.
const CONFLICT_EXIT_STATUS: i32 = 3;

/// Serialises the tests, since several groups at once could delay elections on a busy machine.
async fn lock_control_group() -> MutexGuard<'static, ()> {
    static GROUP_LOCK: Mutex<()> = Mutex::const_new(());
    GROUP_LOCK.lock().await
}

fn directory_entry() -> DirectoryEntry {
    DirectoryEntry {
        name: ENTRY_NAME.into(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "praha-1".into(),
        state: NodeState::Serving,
        config: ConfigVersion(0),
        kind: NodeKind::Entry,
    }
}

/// Node that renews its lease and records the versions that it installs.
struct RenewingNode {
    board: StateBoard<FleetView>,
    clock: Arc<SystemClock>,
    watch_task: tokio::task::JoinHandle<()>,
    renewal_task: tokio::task::JoinHandle<()>,
    installed_versions: Arc<std::sync::Mutex<Vec<u64>>>,
}

impl RenewingNode {
    fn start(group: &ControlGroup) -> Self {
        let board = StateBoard::new(FleetView::default());
        let clock = Arc::new(SystemClock::start());
        let client = group.client(NodeRole::Entry, ENTRY_NAME, &[0, 1, 2]);
        let renewal_task = tokio::spawn(keep_lease(
            client,
            board.clone(),
            clock.clone(),
            directory_entry,
            false,
        ));
        let installed_versions = Arc::new(std::sync::Mutex::new(Vec::new()));
        let (mut changes, versions, watched_board) =
            (board.changes(), installed_versions.clone(), board.clone());
        let watch_task = tokio::spawn(async move {
            while changes.changed().await.is_ok() {
                let version = watched_board.read(|view| view.config.version.0);
                versions.lock().unwrap().push(version);
            }
        });
        Self {
            board,
            clock,
            watch_task,
            renewal_task,
            installed_versions,
        }
    }

    /// Waits until the node holds a lease with a version, and checks that no version decreased.
    async fn assert_installed(self, version: u64, out: &BTreeSet<TargetName>) {
        let installed = tokio::time::timeout(
            EVENT_TIMEOUT,
            self.board.wait_for(|view| {
                let is_current = view.config.version.0 >= version;
                (is_current && view.has_lease(self.clock.now())).then(|| view.config.clone())
            }),
        );
        let installed = installed
            .await
            .expect("the node receives the newest version");
        assert_eq!(installed.version.0, version);
        assert_eq!(&installed.out_targets, out);
        self.watch_task.abort();
        self.renewal_task.abort();
        assert!(self.installed_versions.lock().unwrap().is_sorted());
    }
}

/// Polls the status of nodes while orders are accepted.
struct StatusPoller {
    accepted_version: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
}

impl StatusPoller {
    fn new() -> Self {
        Self {
            accepted_version: Arc::default(),
            is_stopped: Arc::default(),
        }
    }

    /// Polls one node until the poller is stopped. Returns descriptions of the confirmed statuses
    /// that lack an order accepted before the poll, and the number of all confirmed statuses.
    fn poll_node(&self, operator: &OperatorCli, index: usize) -> (Vec<String>, usize) {
        let (mut stale, mut confirmed) = (Vec::new(), 0);
        while !self.is_stopped.load(Ordering::SeqCst) {
            let accepted = self.accepted_version.load(Ordering::SeqCst);
            let Some(status) = operator.fetch_status(index) else {
                continue;
            };
            if status.confirmed_ms.is_none() {
                continue;
            }
            confirmed += 1;
            if status.version.0 < accepted {
                let (version, name) = (status.version, CONTROL_NAMES[index]);
                let age = status.confirmed_ms;
                stale.push(format!(
                    "{name} reported version {version} after version {accepted} was accepted, \
                     confirmed_ms {age:?}"
                ));
            }
        }
        (stale, confirmed)
    }
}

/// Seeded schedule that kills control processes at certain orders and restarts each some orders
/// later.
struct KillSchedule {
    random: StdRng,
    /// Node that is down, and the order at which it is restarted.
    killed_node: Option<(usize, u64)>,
    next_kill: u64,
}

impl KillSchedule {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            killed_node: None,
            next_kill: 15,
        }
    }

    /// Restarts the killed node if it is due, and returns the node to kill during this order.
    fn advance(&mut self, group: &mut ControlGroup, order: u64) -> Option<usize> {
        if let Some((index, restart_order)) = self.killed_node
            && order >= restart_order
        {
            group.nodes[index].restart();
            self.killed_node = None;
        }
        if self.killed_node.is_some() || order < self.next_kill {
            return None;
        }
        let index = self.random.random_range(0..CONTROL_NAMES.len());
        self.killed_node = Some((index, order + self.random.random_range(5..20)));
        self.next_kill = order + self.random.random_range(30..50);
        Some(index)
    }
}

/// Guards against accepted orders that are lost and versions that decrease when control processes
/// are killed while orders are committed, and when all of them restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn accepted_orders_survive_kills_of_control_processes() {
    const ORDERS: u64 = 200;
    let _lock = lock_control_group().await;
    let mut group = ControlGroup::start();
    let node = RenewingNode::start(&group);
    let client = group.client(NodeRole::Operator, "anna", &[0, 1, 2]);
    let operator = group.operator.clone();
    let poller = StatusPoller::new();
    let mut schedule = KillSchedule::new(11);
    let mut out = BTreeSet::new();
    let mut version = 0;
    let mut kills = 0;

    let (stale, confirmed) = std::thread::scope(|scope| {
        let poll_threads = [0, 1, 2].map(|index| {
            let (poller, operator) = (&poller, &operator);
            scope.spawn(move || poller.poll_node(operator, index))
        });
        let runtime = tokio::runtime::Handle::current();
        for number in 0..ORDERS {
            let killed = schedule.advance(&mut group, number);
            let target = TargetName::from(format!("target-{number}").as_str());
            let order = target_out_order(&format!("order-{number}"), version, &target);
            let order_client = client.clone();
            let sent = runtime.spawn(async move { send_order(&order_client, order).await });
            if let Some(killed) = killed {
                let delay = schedule.random.random_range(0..6_000);
                std::thread::sleep(Duration::from_micros(delay));
                group.nodes[killed].kill();
                kills += 1;
            }
            let reply = tokio::task::block_in_place(|| runtime.block_on(sent)).unwrap();
            assert_eq!(reply, OrderReply::Accepted(ConfigVersion(version + 1)));
            out.insert(target);
            version += 1;
            poller.accepted_version.store(version, Ordering::SeqCst);
        }
        poller.is_stopped.store(true, Ordering::SeqCst);
        let results = poll_threads.map(|thread| thread.join().unwrap());
        let confirmed = results
            .iter()
            .map(|(_, confirmed)| confirmed)
            .sum::<usize>();
        let stale = results.into_iter().flat_map(|(stale, _)| stale);
        (stale.collect::<Vec<_>>(), confirmed)
    });
    group.nodes.iter_mut().for_each(|node| node.kill());
    group.nodes.iter_mut().for_each(|node| node.restart());

    group.assert_in_force(&[0, 1, 2], version, &out);
    node.assert_installed(version, &out).await;
    println!(
        "{ORDERS} orders, {kills} kills, {confirmed} confirmed statuses, stale statuses: {stale:?}"
    );
    assert!(
        kills >= 4 && confirmed >= 5,
        "{kills} kills, {confirmed} confirmed statuses"
    );
    assert_eq!(stale, Vec::<String>::new());
}

/// Sends a request over an open connection and waits for the reply without a request timeout.
async fn send_over_link(link: &link::PeerLink, request: &ControlRequest) -> ControlReply {
    let (mut writer, mut reader) = link.open(StreamKind::Control).await.unwrap();
    writer.send(request).await.unwrap();
    writer.finish();
    let reply = tokio::time::timeout(EVENT_TIMEOUT, reader.receive::<ControlReply>()).await;
    reply.expect("the resumed node replies").unwrap().unwrap()
}

/// Guards against a leader that was isolated without noticing and, when it is resumed, accepts
/// orders or confirms leases based on its old state.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn woken_leader_accepts_and_confirms_nothing_from_its_old_state() {
    const ROUNDS: u64 = 2;
    let _lock = lock_control_group().await;
    let group = ControlGroup::start();
    let mut out = BTreeSet::new();
    let mut version = 0;
    for round in 0..ROUNDS {
        group.wait_until_confirmed(&[0, 1, 2]);
        let isolated = group.wait_for_leader(&[0, 1, 2]);
        let others: Vec<usize> = (0..CONTROL_NAMES.len())
            .filter(|node| *node != isolated)
            .collect();
        let operator = group.endpoint(NodeRole::Operator, "anna");
        let node = group.endpoint(NodeRole::Entry, ENTRY_NAME);
        let address = group.addresses[isolated];
        let operator = operator.connect(address, NodeRole::Control).await.unwrap();
        let node = node.connect(address, NodeRole::Control).await.unwrap();
        let client = group.client(NodeRole::Operator, "anna", &others);
        let targets =
            [0, 1].map(|number| TargetName::from(format!("target-{round}-{number}").as_str()));

        let renewal = ControlRequest::Renew(RenewRequest {
            node: directory_entry(),
            config: ConfigVersion(version),
            directory: None,
        });
        // A resumed leader closes connections with an incomplete handshake, so both handshakes are
        // completed before it is suspended.
        send_over_link(&operator, &ControlRequest::Status).await;
        send_over_link(&node, &renewal).await;

        group.nodes[isolated].set_suspended(true);
        let suspended_at = Instant::now();
        let old_order = target_out_order(&format!("old-{round}"), version, &targets[0]);
        let late_order = ControlRequest::Order(old_order.clone());
        let late_replies = tokio::spawn(async move {
            let sent = Instant::now();
            let replies = tokio::join!(
                send_over_link(&operator, &late_order),
                send_over_link(&node, &renewal)
            );
            (replies, sent)
        });
        let order = target_out_order(&format!("new-{round}"), version, &targets[1]);
        let reply = send_order(&client, order).await;
        let accepted_at = Instant::now();
        version += 1;
        assert_eq!(reply, OrderReply::Accepted(ConfigVersion(version)));
        // The lease time has passed, so the last confirmation of the isolated leader is invalid.
        let isolation_time = LEASE_TIME + Duration::from_millis(500);
        tokio::time::sleep(isolation_time.saturating_sub(suspended_at.elapsed())).await;
        group.nodes[isolated].set_suspended(false);
        let ((order_reply, renewal_reply), sent) = late_replies.await.unwrap();

        println!("round {round}: {order_reply:?}, {renewal_reply:?}");
        match order_reply {
            ControlReply::NoQuorum { .. } | ControlReply::Order(OrderReply::Conflict { .. }) => {}
            other => panic!("the resumed leader replied to the order with {other:?}"),
        }
        if let ControlReply::Renewed(RenewReply {
            age_ms,
            version: renewed_version,
            ..
        }) = renewal_reply
            && renewed_version.0 < version
        {
            let lease_end = sent + LEASE_TIME - Duration::from_millis(age_ms);
            assert!(
                lease_end <= accepted_at + LEASE_TIME,
                "a lease of version {renewed_version} ends more than the lease time after version \
                 {version} was accepted"
            );
        }
        out.insert(targets[1].clone());
        group.assert_in_force(&[0, 1, 2], version, &out);
        // The old order is a conflict at the other nodes as well when it is resent.
        let resent_reply = send_order(&client, old_order).await;
        let conflict = OrderReply::Conflict {
            current: ConfigVersion(version),
        };
        assert_eq!(resent_reply, conflict);
    }
}

/// Guards against a control node that takes the time for which it did not run for silence of the other
/// nodes, and drops entries and targets from the directory that it passes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn woken_control_node_keeps_the_nodes_that_renewed_elsewhere() {
    const WATCH_TIME: Duration = Duration::from_secs(2);
    let _lock = lock_control_group().await;
    let group = ControlGroup::start();
    group.wait_until_confirmed(&[0, 1, 2]);
    let woken = (group.wait_for_leader(&[0, 1, 2]) + 1) % CONTROL_NAMES.len();
    let others: Vec<usize> = (0..CONTROL_NAMES.len())
        .filter(|node| *node != woken)
        .collect();
    let operator = group.endpoint(NodeRole::Operator, "anna");
    let operator = operator
        .connect(group.addresses[woken], NodeRole::Control)
        .await
        .unwrap();
    let renewals = tokio::spawn(keep_lease(
        group.client(NodeRole::Entry, ENTRY_NAME, &others),
        StateBoard::new(FleetView::default()),
        Arc::new(SystemClock::start()),
        directory_entry,
        false,
    ));
    let has_entry = |status: &FleetStatus| {
        let mut nodes = status.nodes.iter();
        nodes.any(|node| node.name.as_str() == ENTRY_NAME)
    };
    let listed = tokio::time::timeout(EVENT_TIMEOUT, async {
        while !has_entry(&fetch_status(&operator).await) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    listed.await.expect("the entry is listed at first");

    group.nodes[woken].set_suspended(true);
    tokio::time::sleep(SILENCE_TIMEOUT + Duration::from_secs(1)).await;
    group.nodes[woken].set_suspended(false);
    let woken_at = Instant::now();
    let mut confirmed = 0;
    while woken_at.elapsed() < WATCH_TIME {
        let status = fetch_status(&operator).await;
        confirmed += u32::from(status.confirmed_ms.is_some());

        assert!(
            status.confirmed_ms.is_none() || has_entry(&status),
            "not listed {:?} after the node was woken",
            woken_at.elapsed()
        );
    }
    renewals.abort();

    assert!(confirmed > 0, "the woken node has confirmed its state");
}

async fn fetch_status(operator: &PeerLink) -> FleetStatus {
    match send_over_link(operator, &ControlRequest::Status).await {
        ControlReply::Status(text) => serde_json::from_str(&text).unwrap(),
        reply => panic!("{reply:?}"),
    }
}

/// Writes a services text with one organisation of the given weight, and returns its path.
fn write_services_text(group: &ControlGroup, name: &str, weight: u64) -> String {
    let path = group.folder().join(name);
    std::fs::write(&path, services_text([weight])).unwrap();
    path.to_str().unwrap().into()
}

fn parse_reply(output: &Output) -> Value {
    let report: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    report["reply"].clone()
}

fn accepted_reply(version: u64) -> Value {
    serde_json::json!({ "Accepted": version })
}

/// Guards against concurrent orders of two operators that are both reported as accepted.
#[tokio::test]
async fn one_of_two_concurrent_orders_is_accepted() {
    const ROUNDS: u64 = 8;
    let _lock = lock_control_group().await;
    let group = ControlGroup::start();
    for version in 0..ROUNDS {
        let expected_version = version.to_string();
        let orders = [1, 2].map(|operator| {
            let path =
                write_services_text(&group, &format!("{operator}.toml"), 10 * version + operator);
            group.spawn_operator(&["apply", "--expect", &expected_version, &path])
        });

        let outputs = orders.map(|order| order.wait_with_output().unwrap());

        let mut statuses = outputs.each_ref().map(|output| output.status.code());
        statuses.sort();
        assert_eq!(
            statuses,
            [Some(0), Some(CONFLICT_EXIT_STATUS)],
            "{outputs:?}"
        );
        let winner = outputs.iter().find(|output| output.status.success());
        assert_eq!(parse_reply(winner.unwrap()), accepted_reply(version + 1));
    }
    group.assert_in_force(&[0, 1, 2], ROUNDS, &BTreeSet::new());
}

/// Guards against an order that takes effect twice or gets a different outcome when it is resent
/// after its reply was lost.
#[tokio::test]
async fn resent_order_gets_its_first_outcome() {
    const ROUNDS: u64 = 6;
    /// Interval, in rounds, at which the leader is killed as well.
    const LEADER_KILL_INTERVAL: u64 = 3;
    let _lock = lock_control_group().await;
    let mut group = ControlGroup::start();
    let mut random = StdRng::seed_from_u64(13);
    let mut version = 0;
    let (mut accepted_count, mut lost_count) = (0, 0);
    for round in 0..ROUNDS {
        let leader = group.wait_for_leader(&[0, 1, 2]);
        let (expected_version, id) = (version.to_string(), format!("order-{round}"));
        let path = write_services_text(&group, "first.toml", 10 + round);
        let arguments = [
            "apply",
            "--expect",
            &expected_version,
            "--order",
            &id,
            &path,
        ];

        let mut operator = group.spawn_operator(&arguments);
        // The order is lost in the first round and accepted in the second; later delays are random.
        let delay_ms = match round {
            0 => 0,
            1 => 500,
            _ => random.random_range(0..120),
        };
        std::thread::sleep(Duration::from_millis(delay_ms));
        let is_leader_killed = round % LEADER_KILL_INTERVAL == LEADER_KILL_INTERVAL - 1;
        if is_leader_killed {
            group.nodes[leader].kill();
        }
        operator.kill().unwrap();
        operator.wait().unwrap();
        // Another operator's order is accepted between the first attempt and the second.
        let path = write_services_text(&group, "other.toml", 100 + round);
        let other = group.run_operator(&["apply", &path]);
        assert!(other.status.success(), "{other:?}");
        let other_version = parse_reply(&other)["Accepted"].as_u64().unwrap();
        let resent = [0, 1].map(|_| group.run_operator(&arguments));

        match other_version - version {
            // The first attempt was lost before it was accepted, so the resent order conflicts.
            1 => {
                lost_count += 1;
                for output in &resent {
                    assert_eq!(
                        output.status.code(),
                        Some(CONFLICT_EXIT_STATUS),
                        "{output:?}"
                    );
                }
            }
            // The first attempt was accepted, so the reply states the same version again.
            2 => {
                accepted_count += 1;
                for output in &resent {
                    assert_eq!(
                        parse_reply(output),
                        accepted_reply(version + 1),
                        "{output:?}"
                    );
                }
            }
            increase => panic!("two orders increased the version by {increase}"),
        }
        version = other_version;
        if is_leader_killed {
            group.nodes[leader].restart();
        }
        group.assert_in_force(&[0, 1, 2], version, &BTreeSet::new());
    }
    println!(
        "{ROUNDS} rounds: {accepted_count} orders accepted before the operator was killed, \
         {lost_count} lost"
    );
    assert!(accepted_count > 0 && lost_count > 0);
}
