//! Planned stop of a relay: what it still accepts, and what it refuses for another relay to take.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{
    STOP_TIMEOUT, TargetScript, TargetStep, TestFleet, TestTarget, header, ok_response, plan,
};

/// Deadline of a caller that outlasts the stop timeout of the test relays.
const LONG_DEADLINE: Duration = Duration::from_secs(12);

/// Begins a stream without an end on `/stream/`, and responds completely to any other request.
fn endless_streams() -> TargetScript {
    Arc::new(|head: &str| {
        if !head.starts_with("POST /stream/") {
            return TargetStep::Write(ok_response(head, "booked"));
        }
        let id = header(head, "request-id").unwrap();
        let event = "7\r\nid: 1\n\n\r\n";
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n";
        TargetStep::Hang(format!("{head}request-id: {id}\r\n\r\n{event}").into_bytes())
    })
}

/// Time for a leaving relay to change its state before requests arrive.
const LEAVE_DELAY: Duration = Duration::from_millis(100);

/// Guards against streams that are accepted after the start of a planned stop and cut at its end,
/// and against short requests that are refused although they end in time. The load balancer sends
/// callers to a leaving relay for up to two seconds.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_relay_refuses_what_may_outlast_its_stop() {
    let target = TestTarget::start("target-1", endless_streams()).await;
    let mut fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let other = fleet.start_other_relay().await;
    let stream = fleet.request_with_deadline("/stream/x", "r1", LONG_DEADLINE);
    let call = fleet.request("/once/x", "r2");

    let leaving = std::mem::replace(&mut fleet.relay, other);
    let leaving = tokio::spawn(leaving.leave());
    tokio::time::sleep(LEAVE_DELAY).await;
    let refused = stream.send().await.unwrap();
    let served = call.send().await.unwrap();

    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(refused.headers()["bilberry-outcome"], "not-run");
    assert_eq!(refused.headers()["retry-after"], "50");
    assert!(refused.text().await.unwrap().contains("entry-leaving"));
    assert_eq!(served.status().as_u16(), 200);
    assert_eq!(target.arrivals(), 1);
    leaving.await.unwrap();
}

/// Guards against refusals by the only relay of a fleet, which no other relay can take over.
#[tokio::test(flavor = "multi_thread")]
async fn last_relay_accepts_until_it_stops() {
    let target = TestTarget::start("target-1", endless_streams()).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let stream = fleet.request_with_deadline("/stream/x", "r1", LONG_DEADLINE);

    let leaving = tokio::spawn(fleet.relay.leave());
    tokio::time::sleep(LEAVE_DELAY).await;
    let accepted = stream.send().await.unwrap();

    assert_eq!(accepted.status().as_u16(), 200);
    leaving.abort();
}

/// Guards against streams that are cut although the stop timeout has not passed.
#[tokio::test(flavor = "multi_thread")]
async fn stop_lasts_until_shortly_before_its_timeout() {
    let target = TestTarget::start("target-1", endless_streams()).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let stream = fleet.request_with_deadline("/stream/x", "r1", LONG_DEADLINE);
    let accepted = stream.send().await.unwrap();

    let leave_start = Instant::now();
    let leaving = tokio::spawn(fleet.relay.leave());
    let body = accepted.bytes().await;
    let cut_after = leave_start.elapsed();
    leaving.await.unwrap();

    assert!(body.is_err(), "{body:?}");
    assert!(cut_after > STOP_TIMEOUT * 9 / 10, "cut after {cut_after:?}");
    assert!(leave_start.elapsed() <= STOP_TIMEOUT);
}
