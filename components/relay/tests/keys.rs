//! Keys that are taken away, also while an entry stands still.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use common::{TargetStep, TestFleet, TestTarget, key, ok_response, plan};
use routes::{KeyRule, RoutePlan, RouteSpec};
use rstest::rstest;
use tokio::sync::{Notify, oneshot};
use units::PlanNumber;

/// Time for which the entry stands still. Its lease ends in that time.
const FREEZE_TIME: Duration = Duration::from_secs(4);

/// Time after the confirmation from which on no request with the key may run: the lease time of the
/// test relays and a margin for requests under way.
const REVOCATION_TIME: Duration = Duration::from_secs(3);

/// Number of callers that send one request after the other.
const CALLERS: usize = 300;

/// Number of worker threads of the relay.
const RELAY_THREADS: usize = 2;

/// Number of routes that the newer plan adds. The entry takes a while to install them.
const ADDED_ROUTES: usize = 3_000;

/// Starts a relay on threads of its own, which stand still for [`FREEZE_TIME`] when told to.
async fn start_freezable_relay(fleet: Arc<TestFleet>) -> (SocketAddr, mpsc::Sender<()>) {
    let (freeze, frozen) = mpsc::channel();
    let (address_sender, address) = oneshot::channel();
    std::thread::spawn(move || {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let builder = builder.worker_threads(RELAY_THREADS).enable_all();
        let runtime = builder.build().unwrap();
        runtime.block_on(async move {
            let relay = fleet.start_other_relay().await;
            address_sender.send(relay.http()).unwrap();
            loop {
                match frozen.try_recv() {
                    Ok(()) => {
                        for _ in 0..RELAY_THREADS {
                            tokio::spawn(async { std::thread::sleep(FREEZE_TIME) });
                        }
                    }
                    Err(mpsc::TryRecvError::Empty) => {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                    Err(mpsc::TryRecvError::Disconnected) => return,
                }
            }
        });
    });
    (address.await.unwrap(), freeze)
}

/// Sends requests until the test is over, and returns the times at which those were sent that ran.
async fn call(entry: SocketAddr, caller: usize, is_over: Arc<AtomicBool>) -> Vec<Instant> {
    let client = reqwest::Client::builder().pool_max_idle_per_host(0);
    let client = client.build().unwrap();
    let mut sent = Vec::new();
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let request = client.post(format!("http://{entry}/once/x"));
        let request = request
            .header("request-id", format!("r{caller}-{number}"))
            .header("key", "secret")
            .header("deadline-ms", "1000")
            .timeout(Duration::from_millis(300));
        let sent_at = Instant::now();
        let response = request.send().await;
        if response.is_ok_and(|response| response.status().is_success()) {
            sent.push(sent_at);
        }
    }
    sent
}

/// Guards against a key that was taken away while an entry stood still, and that it accepts when it
/// wakes because its lease was renewed before the newer plan was installed.
#[tokio::test(flavor = "multi_thread")]
async fn woken_entry_accepts_no_key_that_was_taken_away() {
    let script = Arc::new(|head: &str| TargetStep::Write(ok_response(head, "booked")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = Arc::new(TestFleet::start(Some(plan()), &[&target]).await);
    let (entry, freeze) = start_freezable_relay(fleet.clone()).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let calls: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(call(entry, caller, is_over.clone())))
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;

    freeze.send(()).unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut next = plan();
    for access in next.organisations.values_mut() {
        access.keys = [key("other")].into();
    }
    let added = (0..ADDED_ROUTES).map(|number| RouteSpec {
        name: format!("added-{number}").as_str().into(),
        prefix: format!("/added-{number}/"),
        ..next.routes[0].clone()
    });
    next.routes = next.routes.iter().cloned().chain(added).collect();
    fleet.publish(2, next).await;
    let confirmed_at = Instant::now();
    tokio::time::sleep(FREEZE_TIME + Duration::from_secs(1)).await;
    is_over.store(true, Ordering::SeqCst);
    let mut ran = Vec::new();
    for call in calls {
        ran.extend(call.await.unwrap());
    }

    let late = ran
        .iter()
        .filter(|sent_at| **sent_at > confirmed_at + REVOCATION_TIME);
    assert!(
        ran.iter().any(|sent_at| *sent_at < confirmed_at),
        "no request ran before"
    );
    assert_eq!(late.count(), 0);
}

/// Status of a request that may not be repeated, with a key or without one.
async fn status(fleet: &TestFleet, path: &str, key: Option<&str>) -> u16 {
    let request = fleet.client.post(fleet.url(path));
    let request = request
        .header("request-id", "r1")
        .header("deadline-ms", "1000");
    let request = key
        .iter()
        .fold(request, |request, key| request.header("key", *key));
    request.send().await.unwrap().status().as_u16()
}

/// Guards against routes that are open to everybody after the last organisation has left, also after all
/// processes were restarted.
#[tokio::test(flavor = "multi_thread")]
async fn plan_without_organisations_opens_no_route() {
    let script = Arc::new(|head: &str| TargetStep::Write(ok_response(head, "booked")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    assert_eq!(status(&fleet, "/once/x", Some("secret")).await, 200);

    let mut next = plan();
    next.organisations.clear();
    fleet.publish(2, next).await;
    common::wait_until(|| fleet.relay.plan_number() == Some(PlanNumber(2))).await;
    let mut statuses = Vec::new();
    for key in [Some("secret"), Some("never"), None] {
        statuses.push(status(&fleet, "/once/x", key).await);
    }
    let fleet = fleet.restart_all(&[&target]).await;
    for key in [Some("secret"), Some("never"), None] {
        statuses.push(status(&fleet, "/once/x", key).await);
    }

    assert_eq!(statuses, [401; 6]);
    assert_eq!(target.arrivals(), 1);
}

/// A plan with `/once/`, which needs a key, and `/open/`, which needs none.
fn open_plan(keys: &[&str]) -> RoutePlan {
    let mut plan = plan();
    let open = RouteSpec {
        name: "open".into(),
        prefix: "/open/".into(),
        key_rule: KeyRule::Optional,
        objective_ms: 4_000,
        timeout_ms: 5_000,
        ..plan.routes[0].clone()
    };
    plan.routes.push(open);
    for access in plan.organisations.values_mut() {
        access.keys = keys.iter().copied().map(key).collect();
    }
    plan
}

/// Guards against keys that nobody holds and that are accepted on routes that need none, whether the plan
/// lists organisations or not.
#[rstest]
#[case::other_key(&["other"], [200, 401, 401, 200])]
#[case::no_key(&[], [200, 401, 401, 401])]
#[tokio::test(flavor = "multi_thread")]
async fn route_without_keys_accepts_no_unknown_key(
    #[case] keys: &[&str],
    #[case] expected: [u16; 4],
) {
    let script = Arc::new(|head: &str| TargetStep::Write(ok_response(head, "booked")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(open_plan(&["secret", "other"])), &[&target]).await;
    assert_eq!(status(&fleet, "/open/x", Some("secret")).await, 200);

    fleet.publish(2, open_plan(keys)).await;
    common::wait_until(|| fleet.relay.plan_number() == Some(PlanNumber(2))).await;
    let mut statuses = Vec::new();
    for key in [None, Some("secret"), Some("never"), Some("other")] {
        statuses.push(status(&fleet, "/open/x", key).await);
    }

    assert_eq!(statuses, expected);
}

/// Guards against a request without a key that waits for a target and runs after a newer plan requires
/// one.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_request_is_checked_against_the_newer_plan() {
    let release = Arc::new(Notify::new());
    let held = release.clone();
    let script = Arc::new(move |head: &str| {
        let step = TargetStep::Write(ok_response(head, "booked"));
        match head.contains("request-id: blocking") {
            true => TargetStep::Await(held.clone(), Box::new(step)),
            false => step,
        }
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(open_plan(&["secret"])), &[&target]).await;
    let slots = 4;
    for number in 0..slots {
        let request = fleet.request_with_deadline(
            "/open/x",
            &format!("blocking-{number}"),
            Duration::from_secs(5),
        );
        tokio::spawn(request.send());
    }
    common::wait_until(|| target.arrivals() == slots).await;
    let waiting = fleet.client.post(fleet.url("/open/x"));
    let waiting = waiting
        .header("request-id", "waiting")
        .header("deadline-ms", "5000");
    let waiting = tokio::spawn(waiting.send());
    tokio::time::sleep(Duration::from_millis(200)).await;

    let mut next = open_plan(&["secret"]);
    for route in &mut next.routes {
        route.key_rule = KeyRule::Required;
    }
    fleet.publish(2, next).await;
    common::wait_until(|| fleet.relay.plan_number() == Some(PlanNumber(2))).await;
    for _ in 0..slots {
        release.notify_one();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    assert_eq!(waiting.await.unwrap().unwrap().status(), 401);
    assert_eq!(target.arrivals(), slots);
}
