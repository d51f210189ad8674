//! Operator orders: plans, evacuations and graceful shutdown of a running relay.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{TargetStep, TestFleet, TestTarget, ok_response, plan};

/// Time within which an order must take effect. The lease is renewed every 500 ms.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

async fn request_status(fleet: &TestFleet, path: &str) -> u16 {
    let response = fleet.request(path, "r").send().await.unwrap();
    response.status().as_u16()
}

async fn wait_for_status(fleet: &TestFleet, expected: u16) {
    let waiting = async {
        while request_status(fleet, "/again/x").await != expected {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(ORDER_TIMEOUT, waiting).await.unwrap();
}

async fn start_fleet() -> (TestFleet, TestTarget) {
    let script = Arc::new(|head: &str| TargetStep::Write(ok_response(head, "done")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    (fleet, target)
}

/// Guards against a key that is accepted after a newer plan revoked it.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_is_refused() {
    let (fleet, _target) = start_fleet().await;
    assert_eq!(request_status(&fleet, "/again/x").await, 200);
    let mut revoked = plan();
    for access in revoked.organisations.values_mut() {
        access.keys = [common::key("other")].into();
    }

    fleet.publish(2, revoked).await;

    wait_for_status(&fleet, 401).await;
}

/// Guards against requests that are sent to an evacuated data centre, and against a data centre
/// that stays evacuated after it is brought back.
#[tokio::test(flavor = "multi_thread")]
async fn evacuated_data_centre_receives_no_requests_until_it_is_back() {
    let (fleet, target) = start_fleet().await;

    fleet.api.evacuate("praha-1".into(), true).await.unwrap();
    wait_for_status(&fleet, 503).await;
    let arrivals = target.arrivals();
    let refused = request_status(&fleet, "/again/x").await;
    fleet.api.evacuate("praha-1".into(), false).await.unwrap();
    wait_for_status(&fleet, 200).await;

    assert_eq!(refused, 503);
    assert_eq!(target.arrivals(), arrivals + 1);
}

/// Guards against the installation of an invalid plan, and of a plan older than the installed one.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_and_older_plans_change_nothing() {
    let (fleet, _target) = start_fleet().await;
    let mut invalid = plan();
    invalid.pools.clear();
    let published = routes::PublishedPlan {
        number: units::PlanNumber(9),
        plan: invalid,
    };
    let mut older = plan();
    older.routes.clear();

    let refused = fleet.api.publish(&published, "invalid".into()).await;
    fleet.publish(0, older).await;
    let read = fleet.api.published().await.unwrap().unwrap();

    assert!(matches!(refused, Err(control::ApiError::Invalid(_))));
    assert_eq!(read.text, "plan 1");
    assert_eq!(request_status(&fleet, "/again/x").await, 200);
}

/// Guards against a graceful shutdown that aborts an open request, and against one that keeps the
/// caller's connection open.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_finishes_open_requests() {
    let script = Arc::new(|head: &str| {
        std::thread::sleep(Duration::from_millis(600));
        TargetStep::Write(ok_response(head, "done"))
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let sending = tokio::spawn(fleet.request("/once/x", "r1").send());
    common::wait_until(|| target.arrivals() == 1).await;

    fleet.relay.leave().await;
    let response = sending.await.unwrap().unwrap();

    assert_eq!(response.status().as_u16(), 200);
    assert_eq!(response.headers()["connection"], "close");
}

/// Guards against a process that is killed at the end of its stop timeout because the time for
/// closing its links was not reserved.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_ends_within_the_stop_timeout() {
    let script = Arc::new(|_: &str| TargetStep::Hang(b"HTTP/1.1 200 OK\r\n".to_vec()));
    let target = TestTarget::start("target-1", script).await;
    let mut slow_plan = plan();
    for route in &mut slow_plan.routes {
        route.timeout_ms = 60_000;
    }
    let fleet = TestFleet::start(Some(slow_plan), &[&target]).await;
    let request = fleet.client.post(fleet.url("/once/x"));
    let request = request.header("request-id", "r1").header("key", "secret");
    let sending = tokio::spawn(request.header("deadline-ms", "60000").send());
    common::wait_until(|| target.arrivals() == 1).await;
    let started_at = Instant::now();

    fleet.relay.leave().await;

    // The `stop_timeout` of the test fleet is 5 s.
    assert!(started_at.elapsed() <= Duration::from_secs(5));
    sending.abort();
}
