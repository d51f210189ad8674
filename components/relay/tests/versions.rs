//! Streams that callers continue while targets of several software versions serve.

mod common;

use std::sync::Arc;

use common::{TargetScript, TargetStep, TestFleet, TestTarget, header, plan, wait_until};
use relay::RelayHandle;

/// A target that breaks off new streams after their first event, completes continued ones, and does
/// not answer other requests.
async fn start_target(name: &str, version: &str) -> TestTarget {
    let script: TargetScript = Arc::new(|head: &str| {
        let id = header(head, "request-id").unwrap();
        let start = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n\r\n");
        match header(head, "last-event") {
            _ if head.contains("/once/") => TargetStep::Hang(Vec::new()),
            Some(_) => TargetStep::Close(format!("{start}id: 2\ndata: b\n\n").into_bytes()),
            None => TargetStep::Close(format!("{start}id: 1\ndata: a\n\nid: 2\nda").into_bytes()),
        }
    });
    TestTarget::start(name, script).await.with_version(version)
}

/// Starts a stream at an entry and reads it up to its break.
async fn begin_stream(fleet: &TestFleet, entry: &RelayHandle, id: &str) {
    let request = fleet.request_at(entry, "/resumable/x", id);
    let response = request.send().await.unwrap();
    assert_eq!(response.status().as_u16(), 200);
    assert!(response.bytes().await.is_err());
}

/// Keeps an idle target busy, so that a new request at the entry is sent to another one.
async fn occupy(fleet: &TestFleet, entry: &RelayHandle, target: &TestTarget) {
    let arrivals = target.arrivals();
    let request = fleet.request_at(entry, "/once/x", "busy");
    tokio::spawn(request.send());
    wait_until(|| target.arrivals() == arrivals + 1).await;
}

/// Status and body of a request that continues the stream which an attempt began.
async fn continue_stream(
    fleet: &TestFleet,
    entry: &RelayHandle,
    id: &str,
    first_attempt: Option<&str>,
) -> (u16, String) {
    let request = fleet.request_at(entry, "/resumable/x", id);
    let mut request = request.header("last-event", "1");
    if let Some(attempt) = first_attempt {
        request = request.header("continues", attempt);
    }
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    (status, response.text().await.unwrap())
}

async fn start_one_version() -> (TestFleet, TestTarget) {
    let old = start_target("target-1", "v1").await;
    let fleet = TestFleet::start(Some(plan()), &[&old]).await;
    (fleet, old)
}

/// Starts a target of a newer version, and returns when the entries list it besides the old one.
async fn announce_new_version(fleet: &TestFleet, entries: &[&RelayHandle]) -> TestTarget {
    let new = start_target("target-2", "v1.1").await;
    fleet.api.announce(new.announcement());
    wait_until(|| entries.iter().all(|entry| entry.target_count() == 2)).await;
    new
}

/// Guards against a stream that goes on at another software version than the one that began it, when
/// its caller continues it at the same entry.
#[tokio::test(flavor = "multi_thread")]
async fn continued_stream_stays_at_the_version_that_began_it() {
    let (fleet, old) = start_one_version().await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    occupy(&fleet, &fleet.relay, &old).await;
    let new = announce_new_version(&fleet, &[&fleet.relay]).await;

    let (status, _) = continue_stream(&fleet, &fleet.relay, "a2", Some("a1")).await;

    assert_eq!((status, old.arrivals(), new.arrivals()), (200, 3, 0));
}

/// Guards against a stream that goes on at another software version when its caller continues it at
/// another entry.
#[tokio::test(flavor = "multi_thread")]
async fn stream_continued_at_another_entry_stays_at_its_version() {
    let (fleet, old) = start_one_version().await;
    let other = fleet.start_other_relay().await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    occupy(&fleet, &other, &old).await;
    let new = announce_new_version(&fleet, &[&fleet.relay, &other]).await;

    let (status, _) = continue_stream(&fleet, &other, "a2", Some("a1")).await;

    assert_eq!((status, old.arrivals(), new.arrivals()), (200, 3, 0));
}

/// Guards against a guess at the version of a stream that nobody knows, while two versions may have
/// begun it.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_stream_is_refused_while_two_versions_may_have_begun_it() {
    let (fleet, old) = start_one_version().await;
    let new = announce_new_version(&fleet, &[&fleet.relay]).await;

    let named = continue_stream(&fleet, &fleet.relay, "b1", Some("unknown")).await;
    let unnamed = continue_stream(&fleet, &fleet.relay, "b2", None).await;

    assert_eq!((named.0, unnamed.0), (503, 503));
    assert_eq!((old.arrivals(), new.arrivals()), (0, 0));
}

/// Guards against a refusal of an unknown stream that only one version can have begun.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_stream_goes_on_at_the_only_version() {
    let (fleet, _target) = start_one_version().await;

    let named = continue_stream(&fleet, &fleet.relay, "b1", Some("unknown")).await;
    let unnamed = continue_stream(&fleet, &fleet.relay, "b2", None).await;

    assert_eq!((named.0, unnamed.0), (200, 200));
}
