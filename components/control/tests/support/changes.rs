//! Changes of the configuration that are sent one after another.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use client::ControlClient;
use control::ApiError;
use manifest::KeyHash;
use rand::distr::{Alphanumeric, SampleString};
use registry::PackedPlan;
use routes::{CallerBounds, OrganisationAccess, PublishedPlan, RoutePlan};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use units::{ByteSize, ConfigVersion, PlanNumber};
use wire::{ControlReply, ControlRequest, OperatorOrder, OrderReply};

use super::plans::plan_of;
use super::{SERVICES_TEXT, TestGroup, WAIT_TIMEOUT, apply};

/// Time within which a change must be accepted while a majority of the nodes is well.
pub(crate) const ACK_TIMEOUT: Duration = Duration::from_secs(4);

/// Text that differs from version to version.
pub(crate) fn text_of(version: u64) -> String {
    let data_centre = format!("[[data_centre]]\nname = \"brno-{version}\"\nregion = \"bohemia\"\n");
    format!("{SERVICES_TEXT}{data_centre}")
}

/// Interval between large changes, unless one of them takes longer.
const LARGE_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of keys in a large change. Their hashes take 110 KB, as a plan with 350 routes does, and
/// cannot be compressed.
const LARGE_CHANGE_KEYS: usize = 3_400;

fn small_change(version: u64) -> OperatorOrder {
    apply(&format!("order-{version}"), version - 1, &text_of(version))
}

/// Plan with random keys, under the number of the version that it makes.
pub(crate) fn large_change(version: u64) -> OperatorOrder {
    let access = OrganisationAccess {
        keys: (0..LARGE_CHANGE_KEYS)
            .map(|_| KeyHash(rand::random()))
            .collect(),
        priority: None,
        regions: Default::default(),
    };
    let (mut plan, text) = plan_of(version, 0, 0);
    plan.plan.organisations.insert("mlyn-hora".into(), access);
    let packed = PackedPlan::pack(&plan, &text).unwrap().into_bytes();
    OperatorOrder::Publish { packed }
}

/// Sends the change that makes a version until it is answered.
pub(crate) async fn accept(client: &ControlClient, version: u64) {
    accept_change(client, version, small_change(version)).await;
}

async fn accept_change(client: &ControlClient, version: u64, change: OperatorOrder) {
    let request = ControlRequest::Order(change);
    loop {
        match client.request(&request).await {
            Ok(ControlReply::Order(OrderReply::Accepted(accepted))) => {
                assert_eq!(accepted, ConfigVersion(version));
                return;
            }
            Ok(other) => panic!("{other:?}"),
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Publishes a plan with a text of this size until a node accepts it. The text cannot be compressed.
pub(crate) async fn publish_text(group: &TestGroup, number: u64, text_bytes: usize) {
    let plan = PublishedPlan {
        number: PlanNumber(number),
        plan: RoutePlan {
            routes: Vec::new(),
            pools: Default::default(),
            organisations: Default::default(),
            bounds: CallerBounds {
                max_headers: ByteSize(1),
                max_body: ByteSize(1),
                header_timeout_ms: 1,
                idle_timeout_ms: 1,
                tokens_per_second: None,
            },
        },
    };
    let text = Alphanumeric.sample_string(&mut rand::rng(), text_bytes);
    let publishing = async {
        for index in group.running().into_iter().cycle() {
            let api = group.nodes[index].as_ref().unwrap().api();
            match api.publish(&plan, text.clone()).await {
                Ok(()) => return,
                Err(ApiError::NoQuorum(_)) => sleep(Duration::from_millis(20)).await,
                Err(error) => panic!("{error}"),
            }
        }
    };
    let published = timeout(WAIT_TIMEOUT, publishing).await;
    assert!(published.is_ok(), "no node accepts plan {number}");
}

/// Changes that are sent one after another until the sender is told to stop.
pub(crate) struct ChangeSender {
    is_stopping: Arc<AtomicBool>,
    accepted: Arc<AtomicU64>,
    task: JoinHandle<Duration>,
}

impl ChangeSender {
    pub(crate) fn start(client: ControlClient) -> Self {
        Self::start_with(client, Duration::from_millis(2), small_change)
    }

    /// Sends large changes, two a second.
    pub(crate) fn start_large(client: ControlClient) -> Self {
        Self::start_with(client, LARGE_CHANGE_INTERVAL, large_change)
    }

    fn start_with(
        client: ControlClient,
        change_interval: Duration,
        change: fn(u64) -> OperatorOrder,
    ) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let accepted = Arc::new(AtomicU64::new(0));
        let (stopping, counter) = (is_stopping.clone(), accepted.clone());
        let task = tokio::spawn(async move {
            let mut longest = Duration::ZERO;
            let mut ticks = interval(change_interval);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            for version in 1.. {
                ticks.tick().await;
                let started_at = Instant::now();
                accept_change(&client, version, change(version)).await;
                longest = longest.max(started_at.elapsed());
                counter.store(version, Ordering::SeqCst);
                if stopping.load(Ordering::SeqCst) {
                    break;
                }
            }
            longest
        });
        Self {
            is_stopping,
            accepted,
            task,
        }
    }

    /// Newest accepted version.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Stops the sender. Returns the newest accepted version, and the longest time that a change took.
    pub(crate) async fn stop(self) -> (u64, Duration) {
        self.is_stopping.store(true, Ordering::SeqCst);
        let longest = timeout(ACK_TIMEOUT, self.task)
            .await
            .expect("a change is accepted in time")
            .unwrap();
        (self.accepted.load(Ordering::SeqCst), longest)
    }
}
