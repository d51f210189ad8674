//! Changes of the services text that are sent one after another.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use client::ControlClient;
use control::ApiError;
use rand::distr::{Alphanumeric, SampleString};
use routes::{CallerBounds, PublishedPlan, RoutePlan};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use units::{ByteSize, ConfigVersion, PlanNumber};
use wire::{ControlReply, ControlRequest, OrderReply};

use super::{SERVICES_TEXT, TestGroup, WAIT_TIMEOUT, apply};

/// Time within which a change must be accepted while a majority of the nodes is well.
pub(crate) const ACK_TIMEOUT: Duration = Duration::from_secs(4);

/// Text that differs from version to version.
pub(crate) fn text_of(version: u64) -> String {
    let data_centre = format!("[[data_centre]]\nname = \"brno-{version}\"\nregion = \"bohemia\"\n");
    format!("{SERVICES_TEXT}{data_centre}")
}

/// Sends the change that makes a version until it is answered.
pub(crate) async fn accept(client: &ControlClient, version: u64) {
    let change = apply(&format!("order-{version}"), version - 1, &text_of(version));
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
        let is_stopping = Arc::new(AtomicBool::new(false));
        let accepted = Arc::new(AtomicU64::new(0));
        let (stopping, counter) = (is_stopping.clone(), accepted.clone());
        let task = tokio::spawn(async move {
            let mut longest = Duration::ZERO;
            for version in 1.. {
                let started_at = Instant::now();
                accept(&client, version).await;
                longest = longest.max(started_at.elapsed());
                counter.store(version, Ordering::SeqCst);
                if stopping.load(Ordering::SeqCst) {
                    break;
                }
                sleep(Duration::from_millis(2)).await;
            }
            longest
        });
        Self {
            is_stopping,
            accepted,
            task,
        }
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
