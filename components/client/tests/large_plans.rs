//! Leases of an entry behind a narrow link, while a large plan changes three times a second.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use board::StateBoard;
use client::{ControlClient, ControlTransport, FleetView, ReplyFuture, ReplyProgress, keep_lease};
use manifest::KeyHash;
use registry::{PackedPlan, RegistryAction, RegistryCommand, RegistryState, WallTime};
use routes::{
    CallerBounds, KeyRule, OrganisationAccess, PublishedPlan, RepeatRule, RoutePlan, RouteSpec,
    ServicePool, WeightedService,
};
use rstest::rstest;
use tokio::time::{Instant, sleep};
use units::{ByteSize, ClockSource, ClockTime, ConfigVersion, Incarnation, PlanNumber};
use wire::{ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeState, RenewReply};

/// Interval between two changes of the plan.
const CHANGE_INTERVAL: Duration = Duration::from_millis(333);

/// Size of a part of a reply, as control nodes send it.
const PART_BYTES: usize = 32 << 10;

/// Round trip of the link.
const ROUND_TRIP: Duration = Duration::from_millis(17);

/// Age of the quorum's confirmation at the control node.
const AGE_MS: u64 = 100;

/// Clock that follows the paused time of the test.
#[derive(Debug)]
struct TestClock(Instant);

impl ClockSource for TestClock {
    fn now(&self) -> ClockTime {
        ClockTime(10_000) + self.0.elapsed()
    }
}

/// A control node behind a link, which transfers a reply at a constant rate. What was transferred of a
/// reply is lost when its attempt ends.
struct NarrowLink {
    started_at: Instant,
    bytes_per_second: usize,
    routes: usize,
    /// Number of plans, after which there are no further changes.
    plans: u64,
    state: Mutex<RegistryState>,
    largest_update: Mutex<usize>,
}

impl NarrowLink {
    /// Publishes the plans that are due.
    fn publish(&self, state: &mut RegistryState) {
        let due = 1 + self.started_at.elapsed().as_millis() / CHANGE_INTERVAL.as_millis();
        while state.config().version < ConfigVersion(self.plans.min(due as u64)) {
            let plan = plan(state.config().version.0 + 1, self.routes);
            state.apply(&RegistryCommand {
                at: WallTime(1),
                action: RegistryAction::PublishPacked(PackedPlan::pack(&plan, "").unwrap()),
            });
        }
    }

    fn renew(&self, installed: ConfigVersion) -> RenewReply {
        let mut state = self.state.lock().unwrap();
        self.publish(&mut state);
        let changes = state.changes_since(installed);
        let mut largest = self.largest_update.lock().unwrap();
        *largest = changes.len().max(*largest);
        RenewReply {
            age_ms: AGE_MS,
            version: state.config().version,
            changes,
            directory: None,
            controls: Vec::new(),
        }
    }
}

impl ControlTransport for NarrowLink {
    fn exchange<'a>(
        &'a self,
        _address: SocketAddr,
        request: &'a ControlRequest,
        progress: &'a ReplyProgress,
    ) -> ReplyFuture<'a> {
        Box::pin(async move {
            let ControlRequest::Renew(renewal) = request else {
                panic!("unexpected request");
            };
            sleep(ROUND_TRIP).await;
            let reply = self.renew(renewal.config);
            for part in reply.changes.chunks(PART_BYTES) {
                let seconds = part.len() as f64 / self.bytes_per_second as f64;
                sleep(Duration::from_secs_f64(seconds)).await;
                progress.record_part();
            }
            Ok(ControlReply::Renewed(reply))
        })
    }
}

/// Plan whose routes have names and addresses as operators have them, and 200 tenants with two keys.
fn plan(number: u64, routes: usize) -> PublishedPlan {
    let hash = |index: usize| wire::stable_hash(&[&index.to_le_bytes()]);
    let keys = |index: usize| {
        let parts = (0..8).flat_map(|part| hash(1_000_000 + index * 8 + part).to_le_bytes());
        let bytes: Vec<u8> = parts.collect();
        [
            KeyHash(bytes[..32].try_into().unwrap()),
            KeyHash(bytes[32..].try_into().unwrap()),
        ]
    };
    let organisations = (0..200).map(|index| {
        let access = OrganisationAccess {
            keys: keys(index).into(),
            priority: Some(1),
            regions: Default::default(),
        };
        (format!("tenant-{index}").as_str().into(), access)
    });
    let route = |index: usize| RouteSpec {
        name: format!("route-{index:04}").as_str().into(),
        host: format!("t{}.api.example.net", hash(index) % 400),
        prefix: format!("/v1/complete/{:06x}/", hash(index) >> 40),
        repeat: RepeatRule::Repeatable,
        timeout_ms: 1_000 + hash(index) % 20_000,
        objective_ms: 100 + hash(index) % 1_000,
        gap_ms: None,
        priority: 1,
        split: vec![WeightedService {
            service: format!("model-{}", index % 12).as_str().into(),
            weight: 1,
        }],
        max_targets: 2,
        key_rule: KeyRule::Required,
        affinity: false,
        regions: [["bohemia", "moravia", "silesia"][index % 3].into()].into(),
    };
    let pool = |index: usize| {
        let pool = ServicePool {
            health_path: "/healthz".into(),
            connections: 64,
            cold: None,
            engine: None,
        };
        (format!("model-{index}").as_str().into(), pool)
    };
    PublishedPlan {
        number: PlanNumber(number),
        plan: RoutePlan {
            routes: (0..routes).map(route).collect(),
            pools: (0..12).map(pool).collect(),
            organisations: organisations.collect(),
            bounds: CallerBounds {
                max_headers: ByteSize(16_384),
                max_body: ByteSize(1 << 20),
                header_timeout_ms: 5_000,
                idle_timeout_ms: 30_000,
                tokens_per_second: None,
            },
        },
    }
}

fn node() -> DirectoryEntry {
    DirectoryEntry {
        name: "entry-1".into(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "praha-1".into(),
        state: NodeState::Serving,
        config: ConfigVersion(0),
        kind: NodeKind::Entry,
    }
}

/// Starts the renewals of an entry behind a narrow link.
fn start(
    routes: usize,
    bytes_per_second: usize,
    plans: u64,
) -> (Arc<NarrowLink>, StateBoard<FleetView>, Arc<TestClock>) {
    let clock = Arc::new(TestClock(Instant::now()));
    let link = Arc::new(NarrowLink {
        started_at: Instant::now(),
        bytes_per_second,
        routes,
        plans,
        state: Mutex::default(),
        largest_update: Mutex::default(),
    });
    let controls = vec![SocketAddr::from(([127, 0, 0, 1], 1))];
    let client = ControlClient::with_transport(link.clone(), controls);
    let board = StateBoard::new(FleetView::default());
    let renewals = keep_lease(client, board.clone(), clock.clone(), node, false);
    tokio::spawn(renewals);
    (link, board, clock)
}

/// Guards against an entry that loses its lease because each attempt to renew it ends before the newest
/// plan has been transferred.
#[rstest]
#[case::quiet_link(350, 500_000)]
#[case::quiet_link_large_plan(8_000, 500_000)]
#[case::busy_link(1_050, 100_000)]
#[tokio::test(start_paused = true)]
async fn entry_behind_a_narrow_link_keeps_its_lease(
    #[case] routes: usize,
    #[case] bytes_per_second: usize,
) {
    let (link, board, clock) = start(routes, bytes_per_second, u64::MAX);

    sleep(Duration::from_secs(3)).await;
    let mut samples_without_lease = 0;
    for _ in 0..200 {
        sleep(Duration::from_millis(50)).await;
        let (lease_end, now) = (board.read(|view| view.lease_end), clock.now());
        samples_without_lease += u32::from(lease_end <= now);
    }

    let largest = *link.largest_update.lock().unwrap();
    assert_eq!(
        samples_without_lease, 0,
        "without a lease for {samples_without_lease} of 200 samples; updates have {largest} bytes"
    );
}

/// Guards against an entry that never gets a plan, although there are no further changes, because its
/// transfer takes longer than the timeout of an attempt.
#[tokio::test(start_paused = true)]
async fn large_plan_arrives_over_a_slow_link() {
    let (link, board, clock) = start(8_000, 100_000, 1);

    sleep(Duration::from_secs(5)).await;

    let largest = *link.largest_update.lock().unwrap();
    let (version, has_lease) =
        board.read(|view| (view.config.version, view.has_lease(clock.now())));
    assert_eq!(
        (version, has_lease),
        (ConfigVersion(1), true),
        "the update has {largest} bytes"
    );
}
