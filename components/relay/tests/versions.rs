//! Streams that callers continue while targets of several software versions serve.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{TargetScript, TargetStep, TestFleet, TestTarget, header, key, plan, wait_until};
use relay::RelayHandle;
use routes::{RoutePlan, WeightedService};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use units::{Incarnation, PlanNumber};

/// A target that breaks off new streams after their first event, completes continued ones, and does
/// not answer other requests.
async fn start_target(name: &str, version: &str) -> TestTarget {
    let own_version = version.to_owned();
    let script: TargetScript = Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        let start = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n\r\n");
        match header(head, "last-event") {
            _ if head.contains("/once/") => TargetStep::Hang(Vec::new()),
            _ if header(head, "fail-at") == Some(&own_version) => TargetStep::Close(Vec::new()),
            Some(_) => TargetStep::Close(format!("{start}id: 2\ndata: b\n\n").into_bytes()),
            None => TargetStep::Close(format!("{start}id: 1\ndata: a\n\nid: 2\nda").into_bytes()),
        }
    });
    TestTarget::start(name, script).await.with_version(version)
}

/// A target that begins new streams once it is notified, and completes continued ones. It breaks new
/// streams off after their first event, or keeps them open.
async fn start_awaited_target(
    name: &str,
    version: &str,
    begin: Arc<Notify>,
    keeps_open: bool,
) -> TestTarget {
    let script: TargetScript = Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        let start = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n\r\n");
        if header(head, "last-event").is_some() {
            return TargetStep::Close(format!("{start}id: 2\ndata: b\n\n").into_bytes());
        }
        let event = format!("{start}id: 1\ndata: a\n\nid: 2\nda").into_bytes();
        let step = match keeps_open {
            true => TargetStep::Hang(event),
            false => TargetStep::Close(event),
        };
        TargetStep::Await(begin.clone(), Box::new(step))
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

/// Reads the body of a stream up to its break.
async fn read_until_break(mut response: reqwest::Response) -> String {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.transpose() {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => return String::from_utf8(body).unwrap(),
        }
    }
    panic!("the stream ended as complete");
}

/// Opens a connection on which the entry has answered one request.
async fn open_idle_connection(address: SocketAddr) -> TcpStream {
    let mut connection = TcpStream::connect(address).await.unwrap();
    let request = "POST /unknown HTTP/1.1\r\nhost: mill.example\r\ncontent-length: 0\r\n\r\n";
    connection.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    while !response.ends_with("}}") {
        response.push(connection.read_u8().await.unwrap().into());
    }
    connection
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

/// Starts a fleet with one target. Its plan has a second organisation.
async fn start_one_version() -> (TestFleet, TestTarget) {
    let old = start_target("target-1", "v1").await;
    let mut plan = plan();
    let mut access = plan.organisations[&"mlyn-hora".into()].clone();
    access.keys = [key("bakery")].into();
    plan.organisations.insert("pekarna".into(), access);
    let fleet = TestFleet::start(Some(plan), &[&old]).await;
    (fleet, old)
}

/// A plan in which callers may wait for 20 s.
fn patient_plan() -> RoutePlan {
    let mut plan = plan();
    for route in &mut plan.routes {
        route.timeout_ms = 20_000;
    }
    plan
}

/// A plan whose route of continued streams splits requests evenly between services.
fn split_plan(services: &[&str]) -> RoutePlan {
    let mut plan = plan();
    let pool = plan.pools[&"visits".into()].clone();
    plan.pools.insert("orders".into(), pool);
    for route in &mut plan.routes {
        let services = services.iter().map(|service| WeightedService {
            service: (*service).into(),
            weight: 1,
        });
        route.split = services.collect();
    }
    plan
}

/// Starts a target of a newer version, and returns when the entries list it besides the old one.
async fn announce_new_version(fleet: &TestFleet, entries: &[&RelayHandle]) -> TestTarget {
    let new = start_target("target-2", "v1.1").await;
    fleet.api.announce(new.announcement()).await.unwrap();
    wait_until(|| entries.iter().all(|entry| entry.target_count() == 2)).await;
    new
}

/// Guards against a stream that goes on at another software version than the one that began it,
/// when its caller continues it at the same entry.
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

/// Guards against a stream of another organisation whose version a caller learns or uses.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_another_organisation_is_unknown() {
    let (fleet, old) = start_one_version().await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    let new = announce_new_version(&fleet, &[&fleet.relay]).await;
    let request = fleet.client.post(fleet.url("/resumable/x"));
    let request = request.header("request-id", "a2").header("key", "bakery");

    let request = request.header("last-event", "1").header("continues", "a1");
    let response = request.send().await.unwrap();

    assert_eq!(response.status().as_u16(), 503);
    assert_eq!((old.arrivals(), new.arrivals()), (1, 0));
}

/// Guards against a stream that its entry repeats at another version after a target has failed.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_continuation_stays_at_the_version() {
    let (fleet, old) = start_one_version().await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    let new = announce_new_version(&fleet, &[&fleet.relay]).await;
    let request = fleet.request_at(&fleet.relay, "/resumable/x", "a2");

    let request = request.header("last-event", "1").header("continues", "a1");
    let response = request.header("fail-at", "v1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 502);
    assert_eq!((old.arrivals(), new.arrivals()), (2, 0));
}

/// Guards against a record of the target that was tried first, where another one brought the first
/// event.
#[tokio::test(flavor = "multi_thread")]
async fn version_that_brings_the_first_event_counts() {
    let (fleet, old) = start_one_version().await;
    let new = announce_new_version(&fleet, &[&fleet.relay]).await;
    let request = fleet.request_at(&fleet.relay, "/resumable/x", "a1");
    let response = request.header("fail-at", "v1").send().await.unwrap();
    assert!(response.bytes().await.is_err());
    let arrivals = [old.arrivals(), new.arrivals()];

    let (status, _) = continue_stream(&fleet, &fleet.relay, "a2", Some("a1")).await;

    assert_eq!(status, 200);
    assert_eq!(
        [old.arrivals(), new.arrivals()],
        [arrivals[0], arrivals[1] + 1]
    );
}

/// Guards against callers that are not told that their stream cannot go on, and against a stream
/// that goes on at another version when its own has left.
#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_version_has_left_is_refused_as_not_run() {
    let (fleet, old) = start_one_version().await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    let new = announce_new_version(&fleet, &[&fleet.relay]).await;
    let old_name = old.name.as_str().into();
    fleet.api.mark_leaving(&old_name, None).await.unwrap();
    wait_until(|| fleet.relay.serving_target_count() == 1).await;

    let request = fleet.request_at(&fleet.relay, "/resumable/x", "a2");
    let request = request.header("last-event", "1").header("continues", "a1");
    let response = request.send().await.unwrap();

    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()["bilberry-outcome"], "not-run");
    assert!(response.headers().contains_key("retry-after"));
    let text = response.text().await.unwrap();
    assert!(
        text.contains("stream-origin") && text.contains("anew"),
        "{text}"
    );
    assert_eq!((old.arrivals(), new.arrivals()), (1, 0));
}

/// Guards against streams that nobody knows any more after all control nodes and entries have lost
/// power at once, while two versions serve.
#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_at_its_version_after_all_have_restarted() {
    let (fleet, old) = start_one_version().await;
    let new = announce_new_version(&fleet, &[&fleet.relay]).await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    let arrivals = [old.arrivals(), new.arrivals()];
    fleet.wait_for_journal().await;

    let fleet = fleet.restart_all(&[&old, &new]).await;
    let known = continue_stream(&fleet, &fleet.relay, "a2", Some("a1")).await;
    let unknown = continue_stream(&fleet, &fleet.relay, "a3", Some("unknown")).await;

    assert_eq!((known.0, unknown.0), (200, 503));
    let expected = arrivals.map(|arrivals| arrivals * 2);
    assert_eq!([old.arrivals(), new.arrivals()], expected);
}

/// Guards against a guess after all control nodes and entries have lost power, when the version
/// that began the stream has just left and only another one announces itself.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_version_that_has_left_is_refused_after_all_have_restarted() {
    let (fleet, old) = start_one_version().await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    let new = announce_new_version(&fleet, &[&fleet.relay]).await;
    fleet.wait_for_journal().await;

    let fleet = fleet.restart_all(&[&new]).await;
    let known = continue_stream(&fleet, &fleet.relay, "a2", Some("a1")).await;
    let unknown = continue_stream(&fleet, &fleet.relay, "a3", Some("unknown")).await;

    assert_eq!((known.0, unknown.0), (503, 503));
    assert!(known.1.contains("version v1"), "{}", known.1);
    assert_eq!((old.arrivals(), new.arrivals()), (1, 0));
}

/// Guards against refusals after all control nodes and entries have lost power, while only one
/// version can have begun a stream.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_stream_goes_on_at_the_only_version_after_all_have_restarted() {
    let (fleet, target) = start_one_version().await;

    let fleet = fleet.restart_all(&[&target]).await;
    let (status, _) = continue_stream(&fleet, &fleet.relay, "a2", Some("unknown")).await;

    assert_eq!((status, target.arrivals()), (200, 1));
}

/// Guards against a stream that goes on at another service than the one that began it, where its
/// route splits requests between two.
#[tokio::test(flavor = "multi_thread")]
async fn continued_stream_stays_at_the_service_that_began_it() {
    let visits = start_target("target-1", "v1").await;
    let orders = start_target("target-2", "v1").await.with_service("orders");
    let fleet =
        TestFleet::start(Some(split_plan(&["visits", "orders"])), &[&visits, &orders]).await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    let began_at_visits = visits.arrivals() == 1;

    for number in 0..8 {
        let id = format!("b{number}");
        let (status, _) = continue_stream(&fleet, &fleet.relay, &id, Some("a1")).await;
        assert_eq!(status, 200);
    }

    let (at_visits, at_orders) = match began_at_visits {
        true => (9, 0),
        false => (0, 9),
    };
    assert_eq!(
        (visits.arrivals(), orders.arrivals()),
        (at_visits, at_orders)
    );
}

/// Guards against a stream that goes on at the only service that is left on its route, although
/// another one began it.
#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_service_has_left_the_route_is_refused() {
    let visits = start_target("target-1", "v1").await;
    let orders = start_target("target-2", "v1").await.with_service("orders");
    let fleet = TestFleet::start(Some(split_plan(&["visits"])), &[&visits, &orders]).await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    fleet.publish(2, split_plan(&["orders"])).await;
    wait_until(|| fleet.relay.plan_number() == Some(PlanNumber(2))).await;

    let (status, text) = continue_stream(&fleet, &fleet.relay, "a2", Some("a1")).await;

    assert_eq!(status, 503);
    assert!(text.contains("service visits"), "{text}");
    assert_eq!((visits.arrivals(), orders.arrivals()), (1, 0));
}

/// Guards against a wrong record of a stream that a restarted target began before the directory
/// told of its newer software: the stream would go on at the older version.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_target_that_restarted_unnoticed_is_not_continued_at_its_old_version() {
    let (fleet, mut restarted) = start_one_version().await;
    let other = start_target("target-2", "v1").await;
    fleet.api.announce(other.announcement()).await.unwrap();
    wait_until(|| fleet.relay.target_count() == 2).await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    let arrivals = [restarted.arrivals(), other.arrivals()];

    restarted.version = "v1.1".into();
    restarted.incarnation = Incarnation(2);
    fleet.api.announce(restarted.announcement()).await.unwrap();
    wait_until(|| fleet.relay.target_version(&"target-1".into()) == Some("v1.1".into())).await;
    let (status, _) = continue_stream(&fleet, &fleet.relay, "a2", Some("a1")).await;

    assert_eq!(status, 503);
    assert_eq!([restarted.arrivals(), other.arrivals()], arrivals);
}

/// Guards against events of a newer version in a continued stream, when the directory tells of the
/// restart of its target before the first of them.
#[tokio::test(flavor = "multi_thread")]
async fn continued_stream_gets_no_event_of_a_target_that_has_restarted() {
    let restart = Arc::new(Notify::new());
    let restarted = restart.clone();
    let script: TargetScript = Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        let start = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n\r\n");
        match header(head, "last-event") {
            Some(_) => {
                let event = format!("{start}id: 2\ndata: b\n\n");
                let step = TargetStep::Close(event.into_bytes());
                TargetStep::Await(restarted.clone(), Box::new(step))
            }
            None => TargetStep::Close(format!("{start}id: 1\ndata: a\n\nid: 2\nda").into_bytes()),
        }
    });
    let mut target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(patient_plan()), &[&target]).await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    let request = fleet.request_with_deadline("/resumable/x", "a2", Duration::from_secs(20));
    let request = request.header("last-event", "1").header("continues", "a1");
    let continuing = tokio::spawn(request.send());
    wait_until(|| target.arrivals() == 2).await;

    target.version = "v1.1".into();
    target.incarnation = Incarnation(2);
    fleet.api.announce(target.announcement()).await.unwrap();
    wait_until(|| fleet.relay.target_version(&"target-1".into()) == Some("v1.1".into())).await;
    restart.notify_one();
    let response = continuing.await.unwrap().unwrap();

    assert_eq!(response.status().as_u16(), 502);
    assert!(!response.text().await.unwrap().contains("data: b"));
}

/// A stream that begins at an entry which no longer accepts connections.
struct LateStream {
    fleet: TestFleet,
    leaving: JoinHandle<()>,
    /// Returns the body up to its break.
    streaming: JoinHandle<String>,
    /// Lets the targets return the first event.
    begin: Arc<Notify>,
    /// Targets of the versions v1 and v1.1.
    targets: [TestTarget; 2],
}

async fn start_late_stream(keeps_open: bool) -> LateStream {
    let begin = Arc::new(Notify::new());
    let targets = [
        start_awaited_target("target-1", "v1", begin.clone(), keeps_open).await,
        start_awaited_target("target-2", "v1.1", begin.clone(), keeps_open).await,
    ];
    let fleet = TestFleet::start(Some(patient_plan()), &[&targets[0], &targets[1]]).await;
    let entry = fleet.start_other_relay().await;
    wait_until(|| entry.target_count() == 2).await;
    let address = entry.http();
    let request = fleet.client.post(format!("http://{address}/resumable/x"));
    let request = request.header("request-id", "a1").header("key", "secret");
    let streaming = tokio::spawn(async { read_until_break(request.send().await.unwrap()).await });
    wait_until(|| targets.iter().any(|target| target.arrivals() == 1)).await;
    let mut idle = open_idle_connection(address).await;
    let leaving = tokio::spawn(entry.leave());
    // The entry closes idle connections when it stops accepting new ones.
    assert_eq!(idle.read(&mut [0]).await.unwrap(), 0);
    LateStream {
        fleet,
        leaving,
        streaming,
        begin,
        targets,
    }
}

/// Guards against a stream that cannot be continued because its entry, which was leaving when it
/// began, no longer reported where.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_began_at_a_leaving_entry_can_be_continued() {
    let late = start_late_stream(false).await;

    late.begin.notify_one();
    assert_eq!(late.streaming.await.unwrap(), "id: 1\ndata: a\n\nid: 2\nda");
    let (status, text) = continue_stream(&late.fleet, &late.fleet.relay, "a2", Some("a1")).await;

    late.leaving.await.unwrap();
    assert_eq!(status, 200, "{text}");
}

/// Guards against a wrong record of a stream that a restarted target begins at a leaving entry: the
/// stream would go on at the version that the target had before.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_entry_notices_that_a_target_has_restarted() {
    let mut late = start_late_stream(true).await;
    let began_at = late
        .targets
        .iter()
        .position(|target| target.arrivals() == 1);
    let restarted = &mut late.targets[began_at.unwrap()];
    restarted.version = "v2".into();
    restarted.incarnation = Incarnation(2);
    let name = restarted.name.as_str().into();
    late.fleet
        .api
        .announce(restarted.announcement())
        .await
        .unwrap();
    let relay = &late.fleet.relay;
    wait_until(|| relay.target_version(&name) == Some("v2".into())).await;
    late.begin.notify_one();

    // The leaving entry learns of the restart with its next renewal.
    let mut last_text = String::new();
    while !last_text.contains("several versions have this name") {
        assert!(!late.leaving.is_finished(), "{last_text}");
        let (status, text) = continue_stream(&late.fleet, relay, "a2", Some("a1")).await;
        assert_eq!(status, 503, "{text}");
        last_text = text;
    }

    late.leaving.await.unwrap();
    assert_eq!(late.streaming.await.unwrap(), "id: 1\ndata: a\n\nid: 2\nda");
}

/// Guards against a stream that is refused or split when its caller continues it twice at the same
/// moment, at two entries.
#[tokio::test(flavor = "multi_thread")]
async fn stream_continued_twice_at_once_stays_at_its_version() {
    let (fleet, old) = start_one_version().await;
    let other = fleet.start_other_relay().await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    let new = announce_new_version(&fleet, &[&fleet.relay, &other]).await;

    let (here, there) = tokio::join!(
        continue_stream(&fleet, &fleet.relay, "a2", Some("a1")),
        continue_stream(&fleet, &other, "a3", Some("a1")),
    );

    assert_eq!((here.0, there.0), (200, 200));
    assert_eq!((old.arrivals(), new.arrivals()), (3, 0));
}

/// Guards against a stream whose version is lost over a chain of continuations: each of them names
/// the attempt that brought the first event.
#[tokio::test(flavor = "multi_thread")]
async fn stream_stays_at_its_version_over_a_chain_of_continuations() {
    let (fleet, old) = start_one_version().await;
    let other = fleet.start_other_relay().await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    let new = announce_new_version(&fleet, &[&fleet.relay, &other]).await;

    let mut statuses = Vec::new();
    for (entry, id) in [(&other, "a2"), (&fleet.relay, "a3"), (&other, "a4")] {
        statuses.push(continue_stream(&fleet, entry, id, Some("a1")).await.0);
    }

    assert_eq!(statuses, [200; 3]);
    assert_eq!((old.arrivals(), new.arrivals()), (4, 0));
}

/// Guards against a stream that goes on at another software version at an entry that is out of step:
/// it knows the version that began the stream, but not that the target has restarted with a newer
/// one under its name and at its address.
#[tokio::test(flavor = "multi_thread")]
async fn entry_that_is_out_of_step_does_not_continue_streams() {
    let (mut fleet, old) = start_one_version().await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    fleet.kill_control().await;
    tokio::time::sleep(Duration::from_millis(1_800)).await;

    let (status, body) = continue_stream(&fleet, &fleet.relay, "a2", Some("a1")).await;

    assert_eq!((status, old.arrivals()), (503, 1), "{body}");
    assert!(body.contains("stream-origin"), "{body}");
}

/// Guards against a guess by an entry that can reach no control node.
#[tokio::test(flavor = "multi_thread")]
async fn entry_that_cannot_ask_refuses_unknown_streams() {
    let (mut fleet, old) = start_one_version().await;
    begin_stream(&fleet, &fleet.relay, "a1").await;
    fleet.kill_control().await;

    let unknown = continue_stream(&fleet, &fleet.relay, "a2", Some("unknown")).await;
    let own = continue_stream(&fleet, &fleet.relay, "a3", Some("a1")).await;

    assert_eq!((unknown.0, own.0, old.arrivals()), (503, 200, 2));
}
