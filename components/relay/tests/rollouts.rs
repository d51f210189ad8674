//! Roll-outs of a software version, with real control, entry and targets.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{TargetScript, TargetStep, TestFleet, TestTarget, header, ok_response, plan};
use futures_util::future::join_all;
use rollout::{RolloutOrder, RolloutPhase};

/// Number of requests that are sent at once, below the slots of the old targets.
const CALLERS: usize = 4;

/// Time within which a roll-out of these tests ends.
const END_TIMEOUT: Duration = Duration::from_secs(30);

async fn start_target(name: &str, version: &str, is_bad: bool) -> TestTarget {
    let script: TargetScript = Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        TargetStep::Write(match is_bad {
            true => common::response_bytes(500, id, "broken"),
            false => ok_response(head, "done"),
        })
    });
    TestTarget::start(name, script).await.with_version(version)
}

/// A fleet in which two targets run v1, and two run v2.
struct RolloutFleet {
    fleet: TestFleet,
    old: Vec<TestTarget>,
    new: Vec<TestTarget>,
    sent: AtomicUsize,
}

impl RolloutFleet {
    /// Starts the fleet and orders the roll-out to v2.
    async fn start(is_bad: bool, duration: Duration) -> Self {
        let old = [
            start_target("old-1", "v1", false).await,
            start_target("old-2", "v1", false).await,
        ];
        let new = [
            start_target("new-1", "v2", is_bad).await,
            start_target("new-2", "v2", is_bad).await,
        ];
        let fleet = TestFleet::start(Some(plan()), &[&old[0], &old[1], &new[0], &new[1]]).await;
        let order = RolloutOrder {
            service: "visits".into(),
            to: "v2".into(),
            duration_ms: duration.as_millis() as u64,
        };
        fleet.api.start_rollout(order).await.unwrap();
        common::wait_until(|| fleet.relay.rollout_phase(&"visits".into()).is_some()).await;
        Self {
            fleet,
            old: old.into(),
            new: new.into(),
            sent: AtomicUsize::new(0),
        }
    }

    fn phase(&self) -> RolloutPhase {
        self.fleet.relay.rollout_phase(&"visits".into()).unwrap()
    }

    fn arrivals(targets: &[TestTarget]) -> usize {
        targets.iter().map(TestTarget::arrivals).sum()
    }

    /// Sends requests until a condition holds.
    async fn send_until(&self, is_done: impl Fn(&Self) -> bool) {
        let send = async || {
            while !is_done(self) {
                let number = self.sent.fetch_add(1, Ordering::SeqCst);
                let request = self.fleet.request("/once/x", &format!("r-{number}"));
                let _ = request.send().await.unwrap().bytes().await;
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let sending = join_all((0..CALLERS).map(|_| send()));
        tokio::time::timeout(END_TIMEOUT, sending).await.unwrap();
    }
}

/// Guards against a new version that gets more than the share of its step, or on other targets than
/// the canary targets.
#[tokio::test]
async fn share_of_a_running_rollout_is_bounded() {
    let fleet = RolloutFleet::start(false, Duration::from_secs(600)).await;

    fleet
        .send_until(|fleet| fleet.sent.load(Ordering::SeqCst) >= 1_000)
        .await;

    // The first step has a share of 22 in 1,000 requests for 30 s.
    assert_eq!(fleet.phase(), RolloutPhase::Running { step: 0 });
    let new = RolloutFleet::arrivals(&fleet.new);
    assert!((15..=23).contains(&new), "{new} requests");
    assert!(fleet.new.iter().any(|target| target.arrivals() == 0));
}

/// Guards against a bad version that is not rolled back, or gets more than the permitted share.
#[tokio::test]
async fn version_that_fails_all_requests_is_rolled_back() {
    let fleet = RolloutFleet::start(true, Duration::from_secs(20)).await;

    fleet.send_until(|fleet| fleet.phase().is_final()).await;

    let phase = fleet.phase();
    assert!(
        matches!(phase, RolloutPhase::RolledBack { .. }),
        "{phase:?}"
    );
    let (new, sent) = (
        RolloutFleet::arrivals(&fleet.new),
        fleet.sent.load(Ordering::SeqCst),
    );
    assert!(new > 0 && new <= sent / 10 + 50, "{new} of {sent} requests");
    fleet
        .send_until(|fleet| fleet.sent.load(Ordering::SeqCst) >= sent + 200)
        .await;
    assert_eq!(RolloutFleet::arrivals(&fleet.new), new);
}

/// Guards against a good version that is not completed, and old targets that get requests after
/// their roll-out.
#[tokio::test]
async fn good_version_takes_over_all_requests() {
    let fleet = RolloutFleet::start(false, Duration::from_secs(4)).await;

    fleet.send_until(|fleet| fleet.phase().is_final()).await;

    assert_eq!(fleet.phase(), RolloutPhase::Completed);
    let (old, sent) = (
        RolloutFleet::arrivals(&fleet.old),
        fleet.sent.load(Ordering::SeqCst),
    );
    fleet
        .send_until(|fleet| fleet.sent.load(Ordering::SeqCst) >= sent + 200)
        .await;
    assert_eq!(RolloutFleet::arrivals(&fleet.old), old);
}
