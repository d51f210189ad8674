//! Changes of the services text that are sent one after another.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use client::ControlClient;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use units::ConfigVersion;
use wire::{ControlReply, ControlRequest, OrderReply};

use super::{SERVICES_TEXT, apply};

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
