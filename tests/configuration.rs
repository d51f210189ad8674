//! Accepted configuration over control processes that are killed and isolated, and over operators
//! who are.

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
use control_group::{CONTROLS, ControlGroup, NODE, StatusReader, send, services_text, target_out};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::sync::{Mutex, MutexGuard};
use units::{ClockSource, ConfigVersion, Incarnation, SystemClock, TargetName};
use wire::{
    ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeRole, NodeState, OrderReply,
    RenewReply, RenewRequest, StreamKind,
};

/// Longest wait for an event; a run that needs it has failed.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// Exit status of `bilberryctl` for a conflict.
const CONFLICT: i32 = 3;

/// Groups run one after the other, so that a busy machine does not delay their elections.
async fn one_at_a_time() -> MutexGuard<'static, ()> {
    static GATE: Mutex<()> = Mutex::const_new(());
    GATE.lock().await
}

fn entry() -> DirectoryEntry {
    DirectoryEntry {
        name: NODE.into(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "praha-1".into(),
        state: NodeState::Serving,
        config: ConfigVersion(0),
        kind: NodeKind::Entry,
    }
}

/// A node that renews, and the versions that it had installed.
struct RenewingNode {
    board: StateBoard<FleetView>,
    clock: Arc<SystemClock>,
    watch: tokio::task::JoinHandle<()>,
    renewals: tokio::task::JoinHandle<()>,
    seen: Arc<std::sync::Mutex<Vec<u64>>>,
}

impl RenewingNode {
    fn start(group: &ControlGroup) -> Self {
        let board = StateBoard::new(FleetView::default());
        let clock = Arc::new(SystemClock::start());
        let client = group.client(NodeRole::Entry, NODE, &[0, 1, 2]);
        let renewals = tokio::spawn(keep_lease(
            client,
            board.clone(),
            clock.clone(),
            entry,
            false,
        ));
        let seen = Arc::new(std::sync::Mutex::new(Vec::new()));
        let (mut changes, list, watched) = (board.changes(), seen.clone(), board.clone());
        let watch = tokio::spawn(async move {
            while changes.changed().await.is_ok() {
                let version = watched.read(|view| view.config.version.0);
                list.lock().unwrap().push(version);
            }
        });
        Self {
            board,
            clock,
            watch,
            renewals,
            seen,
        }
    }

    /// Waits until the node holds a lease for a version, and checks that no version went back.
    async fn check(self, version: u64, out: &BTreeSet<TargetName>) {
        let installed = tokio::time::timeout(
            PATIENCE,
            self.board.wait_for(|view| {
                let current = view.config.version.0 >= version;
                (current && view.has_lease(self.clock.now())).then(|| view.config.clone())
            }),
        );
        let installed = installed.await.expect("the node gets the newest version");
        assert_eq!(installed.version.0, version);
        assert_eq!(&installed.out_targets, out);
        self.watch.abort();
        self.renewals.abort();
        assert!(self.seen.lock().unwrap().is_sorted());
    }
}

/// Asks nodes for the status while orders are accepted.
struct StatusWatch {
    accepted: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
}

impl StatusWatch {
    fn new() -> Self {
        Self {
            accepted: Arc::default(),
            ended: Arc::default(),
        }
    }

    /// Confirmed statuses that are older than an order accepted before they were asked for, and
    /// the number of confirmed ones.
    fn run(&self, reader: &StatusReader, index: usize) -> (Vec<String>, usize) {
        let (mut stale, mut confirmed) = (Vec::new(), 0);
        while !self.ended.load(Ordering::SeqCst) {
            let accepted = self.accepted.load(Ordering::SeqCst);
            let Some(status) = reader.status(index) else {
                continue;
            };
            if status.confirmed_ms.is_none() {
                continue;
            }
            confirmed += 1;
            if status.version.0 < accepted {
                let (version, name) = (status.version, CONTROLS[index]);
                let age = status.confirmed_ms;
                stale.push(format!(
                    "{name}: {version} after {accepted}, confirmed {age:?}"
                ));
            }
        }
        (stale, confirmed)
    }
}

/// Kills of control processes at seeded orders, each restarted some orders later.
struct KillPlan {
    random: StdRng,
    down: Option<(usize, u64)>,
    next: u64,
}

impl KillPlan {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            down: None,
            next: 15,
        }
    }

    /// Restarts what is due, and tells which node is to be killed during this order.
    fn step(&mut self, group: &mut ControlGroup, order: u64) -> Option<usize> {
        if let Some((index, until)) = self.down
            && order >= until
        {
            group.nodes[index].restart();
            self.down = None;
        }
        if self.down.is_some() || order < self.next {
            return None;
        }
        let victim = self.random.random_range(0..CONTROLS.len());
        self.down = Some((victim, order + self.random.random_range(5..20)));
        self.next = order + self.random.random_range(30..50);
        Some(victim)
    }
}

/// Guards against accepted orders that are lost, and versions that go back, when control processes
/// are killed while orders are committed and all start again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn accepted_orders_survive_kills_of_control_processes() {
    const ORDERS: u64 = 200;
    let _gate = one_at_a_time().await;
    let mut group = ControlGroup::start();
    let node = RenewingNode::start(&group);
    let client = group.client(NodeRole::Operator, "anna", &[0, 1, 2]);
    let reader = group.reader.clone();
    let watch = StatusWatch::new();
    let mut plan = KillPlan::new(11);
    let mut out = BTreeSet::new();
    let mut version = 0;
    let mut kills = 0;

    let (stale, confirmed) = std::thread::scope(|scope| {
        let watches = [0, 1, 2].map(|index| {
            let (watch, reader) = (&watch, &reader);
            scope.spawn(move || watch.run(reader, index))
        });
        let runtime = tokio::runtime::Handle::current();
        for number in 0..ORDERS {
            let victim = plan.step(&mut group, number);
            let target = TargetName::from(format!("target-{number}").as_str());
            let order = target_out(&format!("order-{number}"), version, &target);
            let sender = client.clone();
            let sent = runtime.spawn(async move { send(&sender, order).await });
            if let Some(victim) = victim {
                let delay = plan.random.random_range(0..6_000);
                std::thread::sleep(Duration::from_micros(delay));
                group.nodes[victim].kill();
                kills += 1;
            }
            let reply = tokio::task::block_in_place(|| runtime.block_on(sent)).unwrap();
            assert_eq!(reply, OrderReply::Accepted(ConfigVersion(version + 1)));
            out.insert(target);
            version += 1;
            watch.accepted.store(version, Ordering::SeqCst);
        }
        watch.ended.store(true, Ordering::SeqCst);
        let watched = watches.map(|watch| watch.join().unwrap());
        let confirmed = watched
            .iter()
            .map(|(_, confirmed)| confirmed)
            .sum::<usize>();
        let stale = watched.into_iter().flat_map(|(stale, _)| stale);
        (stale.collect::<Vec<_>>(), confirmed)
    });
    group.nodes.iter_mut().for_each(|node| node.kill());
    group.nodes.iter_mut().for_each(|node| node.restart());

    group.check_in_force(&[0, 1, 2], version, &out);
    node.check(version, &out).await;
    println!("{ORDERS} orders, {kills} kills, {confirmed} confirmed statuses, {stale:?} stale");
    assert!(
        kills >= 4 && confirmed >= 5,
        "{kills} kills, {confirmed} statuses"
    );
    assert_eq!(stale, Vec::<String>::new());
}

/// Sends a request over an open connection and waits for the reply as long as it takes.
async fn ask(link: &link::PeerLink, request: &ControlRequest) -> ControlReply {
    let (mut writer, mut reader) = link.open(StreamKind::Control).await.unwrap();
    writer.send(request).await.unwrap();
    writer.finish();
    let reply = tokio::time::timeout(PATIENCE, reader.receive::<ControlReply>()).await;
    reply.expect("the woken node answers").unwrap().unwrap()
}

/// Guards against a leader that was isolated without notice and, once it hears again, accepts
/// orders or confirms leases from its old state.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn woken_leader_accepts_and_confirms_nothing_from_its_old_state() {
    const ROUNDS: u64 = 2;
    let _gate = one_at_a_time().await;
    let group = ControlGroup::start();
    let mut out = BTreeSet::new();
    let mut version = 0;
    for round in 0..ROUNDS {
        group.wait_ready(&[0, 1, 2]);
        let frozen = group.leader(&[0, 1, 2]);
        let others: Vec<usize> = (0..CONTROLS.len()).filter(|node| *node != frozen).collect();
        let operator = group.endpoint(NodeRole::Operator, "anna");
        let node = group.endpoint(NodeRole::Entry, NODE);
        let address = group.addresses[frozen];
        let operator = operator.connect(address, NodeRole::Control).await.unwrap();
        let node = node.connect(address, NodeRole::Control).await.unwrap();
        let client = group.client(NodeRole::Operator, "anna", &others);
        let targets =
            [0, 1].map(|part| TargetName::from(format!("target-{round}-{part}").as_str()));

        let renewal = ControlRequest::Renew(RenewRequest {
            node: entry(),
            config: ConfigVersion(version),
            directory: None,
        });
        // The leader closes a connection whose handshake it has not finished when it wakes.
        ask(&operator, &ControlRequest::Status).await;
        ask(&node, &renewal).await;

        group.nodes[frozen].set_frozen(true);
        let start = Instant::now();
        let old_order = target_out(&format!("old-{round}"), version, &targets[0]);
        let late_order = ControlRequest::Order(old_order.clone());
        let late = tokio::spawn(async move {
            let sent = Instant::now();
            let replies = tokio::join!(ask(&operator, &late_order), ask(&node, &renewal));
            (replies, sent)
        });
        let order = target_out(&format!("new-{round}"), version, &targets[1]);
        let accepted = send(&client, order).await;
        let accepted_at = Instant::now();
        version += 1;
        assert_eq!(accepted, OrderReply::Accepted(ConfigVersion(version)));
        // The lease time is over, so the isolated leader must not count on its last confirmation.
        let isolated = LEASE_TIME + Duration::from_millis(500);
        tokio::time::sleep(isolated.saturating_sub(start.elapsed())).await;
        group.nodes[frozen].set_frozen(false);
        let ((order_reply, renewal_reply), sent) = late.await.unwrap();

        println!("round {round}: {order_reply:?}, {renewal_reply:?}");
        match order_reply {
            ControlReply::NoQuorum { .. } | ControlReply::Order(OrderReply::Conflict { .. }) => {}
            other => panic!("the woken leader answered the order with {other:?}"),
        }
        if let ControlReply::Renewed(RenewReply {
            age_ms,
            version: told,
            ..
        }) = renewal_reply
            && told.0 < version
        {
            let lease_end = sent + LEASE_TIME - Duration::from_millis(age_ms);
            assert!(
                lease_end <= accepted_at + LEASE_TIME,
                "a lease of version {told} ends after it"
            );
        }
        out.insert(targets[1].clone());
        group.check_in_force(&[0, 1, 2], version, &out);
        // Repeated, the old order has one outcome at all nodes.
        let again = send(&client, old_order).await;
        let conflict = OrderReply::Conflict {
            current: ConfigVersion(version),
        };
        assert_eq!(again, conflict);
    }
}

/// Text with an organisation whose weight differs for each version and operator.
fn write_text(group: &ControlGroup, name: &str, weight: u64) -> String {
    let path = group.folder().join(name);
    std::fs::write(&path, services_text([weight])).unwrap();
    path.to_str().unwrap().into()
}

fn reply_of(output: &Output) -> Value {
    let report: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    report["reply"].clone()
}

fn accepted(version: u64) -> Value {
    serde_json::json!({ "Accepted": version })
}

/// Guards against two operators who both believe that their text is in force.
#[tokio::test]
async fn one_of_two_concurrent_orders_is_accepted() {
    const ROUNDS: u64 = 8;
    let _gate = one_at_a_time().await;
    let group = ControlGroup::start();
    for version in 0..ROUNDS {
        let expect = version.to_string();
        let orders = [1, 2].map(|operator| {
            let path = write_text(&group, &format!("{operator}.toml"), 10 * version + operator);
            group.spawn(&["apply", "--expect", &expect, &path])
        });

        let outputs = orders.map(|order| order.wait_with_output().unwrap());

        let mut statuses = outputs.each_ref().map(|output| output.status.code());
        statuses.sort();
        assert_eq!(statuses, [Some(0), Some(CONFLICT)], "{outputs:?}");
        let winner = outputs.iter().find(|output| output.status.success());
        assert_eq!(reply_of(winner.unwrap()), accepted(version + 1));
    }
    group.check_in_force(&[0, 1, 2], ROUNDS, &BTreeSet::new());
}

/// Guards against an order that takes effect twice, or gets another outcome, when it is sent again
/// after its answer was lost.
#[tokio::test]
async fn resent_order_gets_its_first_outcome() {
    const ROUNDS: u64 = 6;
    /// Every so many rounds the leader is killed as well.
    const LEADER_KILLS: u64 = 3;
    let _gate = one_at_a_time().await;
    let mut group = ControlGroup::start();
    let mut random = StdRng::seed_from_u64(13);
    let mut version = 0;
    let (mut first_accepted, mut first_lost) = (0, 0);
    for round in 0..ROUNDS {
        let leader = group.leader(&[0, 1, 2]);
        let (expect, id) = (version.to_string(), format!("order-{round}"));
        let path = write_text(&group, "first.toml", 10 + round);
        let arguments = ["apply", "--expect", &expect, "--order", &id, &path];

        let mut operator = group.spawn(&arguments);
        // The first round is lost and the second one accepted for certain; the others are drawn.
        let delay_ms = match round {
            0 => 0,
            1 => 500,
            _ => random.random_range(0..120),
        };
        std::thread::sleep(Duration::from_millis(delay_ms));
        let kills_leader = round % LEADER_KILLS == LEADER_KILLS - 1;
        if kills_leader {
            group.nodes[leader].kill();
        }
        operator.kill().unwrap();
        operator.wait().unwrap();
        // Another operator's order comes between the first sending and the second.
        let path = write_text(&group, "other.toml", 100 + round);
        let other = group.run(&["apply", &path]);
        assert!(other.status.success(), "{other:?}");
        let between = reply_of(&other)["Accepted"].as_u64().unwrap();
        let resent = [0, 1].map(|_| group.run(&arguments));

        match between - version {
            // The first sending was lost before it was accepted, so it comes too late now.
            1 => {
                first_lost += 1;
                for output in &resent {
                    assert_eq!(output.status.code(), Some(CONFLICT), "{output:?}");
                }
            }
            // It was accepted, and the version that it led to is told again.
            2 => {
                first_accepted += 1;
                for output in &resent {
                    assert_eq!(reply_of(output), accepted(version + 1), "{output:?}");
                }
            }
            more => panic!("{more} versions for two orders"),
        }
        version = between;
        if kills_leader {
            group.nodes[leader].restart();
        }
        group.check_in_force(&[0, 1, 2], version, &BTreeSet::new());
    }
    println!("{ROUNDS} rounds: {first_accepted} accepted before the kill, {first_lost} lost");
    assert!(first_accepted > 0 && first_lost > 0);
}
