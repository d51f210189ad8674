//! Roll-outs at a group of control nodes, with entries that report what both versions answered.

mod support;

use std::time::{Duration, Instant};

use client::ControlClient;
use control::ApiError;
use registry::FleetConfig;
use rollout::{RolloutOrder, RolloutPhase, RolloutRecord};
use routes::{CallerBounds, PublishedPlan, RoutePlan, ServicePool};
use support::{NODE_NAMES, TestGroup, node};
use units::{ByteSize, ConfigVersion, CostUnits, Incarnation, PlanNumber, ServiceName, SlotCount};
use wire::{
    AnnouncedTarget, ControlReply, ControlRequest, CrashReport, DemandReport, EntryReport,
    NodeKind, NodeRole, RenewRequest, RolloutCounts, VersionCount,
};

/// Time within which a roll-out must end; a multiple of its duration.
const END_TIMEOUT: Duration = Duration::from_secs(60);

const DURATION_MS: u64 = 6_000;

/// Index of the control node to which the entries report.
const HOME: usize = 0;

fn service() -> ServiceName {
    "advice".into()
}

fn plan() -> PublishedPlan {
    let pool = ServicePool {
        health_path: "/health".into(),
        connections: 9,
        cold: None,
        engine: None,
    };
    PublishedPlan {
        number: PlanNumber(1),
        plan: RoutePlan {
            routes: Vec::new(),
            pools: [(service(), pool)].into(),
            organisations: Default::default(),
            bounds: CallerBounds {
                max_headers: ByteSize(1),
                max_body: ByteSize(1),
                header_timeout_ms: 1,
                idle_timeout_ms: 1,
                tokens_per_second: None,
            },
        },
    }
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: service(),
        to: "v2".into(),
        duration_ms: DURATION_MS,
    }
}

/// Repeats a call as operators do, until a quorum has confirmed it.
async fn resend<T>(call: impl AsyncFn() -> Result<T, ApiError>) -> T {
    let started_at = Instant::now();
    loop {
        match call().await {
            Ok(value) => return value,
            Err(ApiError::NoQuorum(reason)) => {
                assert!(started_at.elapsed() < END_TIMEOUT, "{reason}");
            }
            Err(error) => panic!("{error}"),
        }
    }
}

/// Publishes the plan, registers both versions and orders the roll-out at a node.
async fn start_rollout(group: &TestGroup, index: usize) {
    let api = group.nodes[index].as_ref().unwrap().api();
    resend(async || api.publish(&plan(), String::new()).await).await;
    let entry = group.client(NodeRole::Entry, "entry-0");
    let versions = ControlRequest::Versions(service());
    let both = ControlReply::Versions(["v1".into(), "v2".into()].into());
    let started_at = Instant::now();
    // A registration that takes too long is made again with the next announcement.
    while entry.request(&versions).await.ok().as_ref() != Some(&both) {
        assert!(started_at.elapsed() < END_TIMEOUT);
        announce_targets(group, index, 0).await;
    }
    resend(async || api.start_rollout(order()).await).await;
}

/// Announces a target of each version.
async fn announce_targets(group: &TestGroup, index: usize, sequence: u64) {
    let api = group.nodes[index].as_ref().unwrap().api();
    for version in ["v1", "v2"] {
        let target = AnnouncedTarget {
            service: service(),
            version: Some(version.into()),
            slots: SlotCount(4),
            cold_ms: 0,
            sequence,
            accepted_at: ConfigVersion(0),
        };
        let name = format!("target-{version}");
        let entry = node(&name, NodeKind::Target(target));
        api.announce(entry).await.unwrap();
    }
}

async fn read_rollout(group: &TestGroup, index: usize) -> RolloutRecord {
    let api = group.nodes[index].as_ref().unwrap().api();
    let record = resend(async || api.rollout(&service()).await).await;
    record.expect("the service has a roll-out")
}

/// Entry that sends requests to both versions as the phase demands, and reports their answers.
struct TestEntry {
    name: &'static str,
    any_control: ControlClient,
    home: ControlClient,
    config: FleetConfig,
    /// Whether each request to the new version fails.
    is_new_bad: bool,
    running_at_old: u64,
    /// Whether the entry installs the configurations that it gets.
    is_installing: bool,
    old_sent: u64,
    new_sent: u64,
}

impl TestEntry {
    fn new(group: &TestGroup, home: usize, name: &'static str, is_new_bad: bool) -> Self {
        Self {
            name,
            any_control: group.client(NodeRole::Entry, name),
            home: group.client_at(home, NodeRole::Entry, name),
            config: FleetConfig::default(),
            is_new_bad,
            running_at_old: 0,
            is_installing: true,
            old_sent: 0,
            new_sent: 0,
        }
    }

    /// Renews the lease, sends requests and reports them.
    async fn run_once(&mut self) {
        let mut entry = node(self.name, NodeKind::Entry);
        entry.config = self.config.version;
        let renewal = ControlRequest::Renew(RenewRequest {
            node: entry,
            config: self.config.version,
            directory: None,
        });
        let renewed = self.any_control.request(&renewal).await;
        if let (true, Ok(ControlReply::Renewed(reply))) = (self.is_installing, renewed) {
            self.config.install(&reply.changes).unwrap();
        }
        match self.phase() {
            Some(RolloutPhase::Running { .. }) => {
                self.old_sent += 40;
                self.new_sent += 4;
            }
            Some(RolloutPhase::Draining) => self.new_sent += 40,
            _ => self.old_sent += 40,
        }
        // A lost report is repeated by the next one, because counts are cumulative.
        let _ = self.home.request_once(&self.report()).await;
    }

    fn phase(&self) -> Option<RolloutPhase> {
        let record = self.config.rollouts.get(&service())?;
        Some(record.phase.clone())
    }

    fn report(&self) -> ControlRequest {
        let count = |version: &str, sent, failed| VersionCount {
            route: 1,
            version: version.into(),
            sent,
            ended: sent,
            failed,
            slow: 0,
        };
        let failed = if self.is_new_bad { self.new_sent } else { 0 };
        let record = self.config.rollouts.get(&service());
        let counts = record.map(|record| RolloutCounts {
            service: service(),
            number: record.number.0,
            running_at_old: self.running_at_old,
            counts: vec![
                count("v1", self.old_sent, 0),
                count("v2", self.new_sent, failed),
            ],
        });
        ControlRequest::Report(EntryReport {
            demand: DemandReport {
                reporter: self.name.into(),
                incarnation: Incarnation(1),
                service: "models".into(),
                interval_ms: 250,
                flows: Vec::new(),
                granted: CostUnits(0),
                served: CostUnits(0),
                answers: 0,
                lateness_permille: 0,
                known_capacity: None,
            },
            loads: None,
            crashes: CrashReport {
                source: None,
                observations: Vec::new(),
                served: Vec::new(),
                successes: Vec::new(),
                quarantine: Vec::new(),
                refused: Vec::new(),
            },
            config: self.config.version,
            rollouts: counts.into_iter().collect(),
        })
    }
}

/// Runs the targets and the entries for at least a time, until the first entry knows a phase that passes
/// `check`, which is returned.
async fn run_until(
    group: &TestGroup,
    entries: &mut [TestEntry],
    min_time: Duration,
    check: impl Fn(&RolloutPhase) -> bool,
) -> RolloutPhase {
    let started_at = Instant::now();
    while started_at.elapsed() < END_TIMEOUT {
        // Sequence numbers of announcements increase for as long as the process runs.
        let sequence = entries[0].old_sent + entries[0].new_sent;
        announce_targets(group, group.running()[0], sequence).await;
        for entry in entries.iter_mut() {
            entry.run_once().await;
        }
        let phase = entries[0].phase().filter(&check);
        if let Some(phase) = phase.filter(|_| started_at.elapsed() >= min_time) {
            return phase;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the last phase was {:?}", entries[0].phase());
}

/// Guards against acknowledged roll-outs that are lost when all control nodes are killed, and against
/// one that starts again when its order is resent afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_rollout_survives_a_kill_of_all_nodes() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    start_rollout(&group, HOME).await;
    let before = read_rollout(&group, HOME).await;

    for index in 0..NODE_NAMES.len() {
        group.kill(index).await;
    }
    for index in 0..NODE_NAMES.len() {
        group.restart(index, false).await;
    }
    group.wait_ready().await;
    let api = group.nodes[1].as_ref().unwrap().api();
    resend(async || api.start_rollout(order()).await).await;
    let after = read_rollout(&group, 1).await;

    assert_eq!(before.old, ["v1".into()].into());
    assert_eq!(after, before);
}

/// Guards against a good version that is never completed, and against completing it, which stops the
/// old targets, while an entry runs a request there or does not know that it must not.
#[tokio::test(flavor = "multi_thread")]
async fn good_version_is_completed_once_no_request_can_run_at_the_old_one() {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    start_rollout(&group, HOME).await;
    let mut entries =
        ["entry-1", "entry-2", "entry-3"].map(|name| TestEntry::new(&group, HOME, name, false));
    entries[1].running_at_old = 1;
    let (none, some) = (Duration::ZERO, Duration::from_secs(3));
    let is_draining = |phase: &RolloutPhase| *phase == RolloutPhase::Draining;

    run_until(&group, &mut entries[..2], none, is_draining).await;
    run_until(&group, &mut entries[..2], some, |_| true).await;
    let while_running = read_rollout(&group, HOME).await.phase;
    entries[2].is_installing = false;
    // Its announcement reaches the home within half a second.
    run_until(&group, &mut entries, Duration::from_secs(1), |_| true).await;
    entries[1].running_at_old = 0;
    run_until(&group, &mut entries, some, |_| true).await;
    let while_unknown = read_rollout(&group, HOME).await.phase;
    entries[2].is_installing = true;
    let last = run_until(&group, &mut entries, none, RolloutPhase::is_final).await;

    assert_eq!(while_running, RolloutPhase::Draining);
    assert_eq!(while_unknown, RolloutPhase::Draining);
    assert_eq!(last, RolloutPhase::Completed);
}

/// Guards against a roll-out that stops or starts again when its home is lost.
#[tokio::test(flavor = "multi_thread")]
async fn next_home_continues_with_the_committed_step() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    start_rollout(&group, HOME).await;
    let mut entries = [TestEntry::new(&group, HOME, "entry-1", false)];
    let is_second = |phase: &RolloutPhase| *phase == RolloutPhase::Running { step: 1 };
    run_until(&group, &mut entries, Duration::ZERO, is_second).await;

    group.kill(HOME).await;
    let (old_sent, new_sent) = (entries[0].old_sent, entries[0].new_sent);
    entries[0] = TestEntry {
        old_sent,
        new_sent,
        ..TestEntry::new(&group, HOME + 1, "entry-1", false)
    };
    let has_restarted = |phase: &RolloutPhase| *phase == RolloutPhase::Running { step: 0 };
    let is_ended = |phase: &RolloutPhase| phase.is_final() || has_restarted(phase);
    let last = run_until(&group, &mut entries, Duration::ZERO, is_ended).await;

    assert_eq!(last, RolloutPhase::Completed);
}

/// Guards against a bad version that gets all requests, also if the home is not the leader.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_is_rolled_back_before_it_gets_all_requests() {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    start_rollout(&group, HOME).await;
    let mut entries = ["entry-1", "entry-2"].map(|name| TestEntry::new(&group, HOME, name, true));

    let ended = |phase: &RolloutPhase| !matches!(phase, RolloutPhase::Running { .. });
    let next = run_until(&group, &mut entries, Duration::ZERO, ended).await;

    assert!(matches!(next, RolloutPhase::RolledBack { .. }), "{next:?}");
    assert_eq!(read_rollout(&group, 1).await.phase, next);
}
