//! Planned stop of a relay: what it still accepts, and what it refuses for another relay to take.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{
    STOP_TIMEOUT, TargetScript, TargetStep, TestFleet, TestTarget, header, ok_response, plan,
    response_bytes,
};
use relay::RelayHandle;
use routes::RoutePlan;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

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
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let other = fleet.start_other_relay().await;
    let stream = fleet.request_with_deadline("/stream/x", "r1", LONG_DEADLINE);
    let call = fleet.request("/once/x", "r2");

    let leaving = LeavingFleet::start(fleet, other).await;
    let refused = stream.send().await.unwrap();
    let served = call.send().await.unwrap();

    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(refused.headers()["bilberry-outcome"], "not-run");
    assert_eq!(refused.headers()["retry-after"], "50");
    assert!(refused.text().await.unwrap().contains("entry-leaving"));
    assert_eq!(served.status().as_u16(), 200);
    assert_eq!(target.arrivals(), 1);
    leaving.task.await.unwrap();
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

/// Number of short runs after which a relay judges a route by them.
const HISTORY_RUNS: usize = 60;

/// Body of a request that is sent in two halves.
const BODY: &str = "order of a visit";

/// Responds at once to requests whose path ends in `/short`, and never to any other.
fn silent_unless_short() -> TargetScript {
    Arc::new(|head: &str| match head.contains("/short ") {
        true => TargetStep::Write(ok_response(head, "booked")),
        false => TargetStep::Hang(Vec::new()),
    })
}

/// A fleet of two relays, one of which has just begun to leave.
struct LeavingFleet {
    _fleet: TestFleet,
    task: JoinHandle<()>,
    left_at: Instant,
}

impl LeavingFleet {
    /// Lets the first relay of the fleet leave, while the other one serves.
    async fn start(mut fleet: TestFleet, other: RelayHandle) -> Self {
        let leaving = std::mem::replace(&mut fleet.relay, other);
        let left_at = Instant::now();
        let task = tokio::spawn(leaving.leave());
        tokio::time::sleep(LEAVE_DELAY).await;
        Self {
            _fleet: fleet,
            task,
            left_at,
        }
    }

    async fn sleep_until(&self, elapsed: Duration) {
        tokio::time::sleep_until((self.left_at + elapsed).into()).await;
    }
}

/// The plan of the tests with routes that wait as long as their callers.
fn patient_plan() -> RoutePlan {
    let mut plan = plan();
    for route in &mut plan.routes {
        route.timeout_ms = LONG_DEADLINE.as_millis() as u64;
    }
    plan
}

/// Sends short requests on a route, so that the relay expects the next one to be short.
async fn run_short_requests(fleet: &TestFleet, route: &str) {
    for number in 0..HISTORY_RUNS {
        let path = format!("/{route}/short");
        let request = fleet.request(&path, &format!("short-{number}"));
        assert_eq!(request.send().await.unwrap().status().as_u16(), 200);
    }
}

/// Sends the head of a request and half of its body on a connection of its own.
async fn send_half(relay: SocketAddr, path: &str, deadline: Duration) -> TcpStream {
    let mut stream = TcpStream::connect(relay).await.unwrap();
    let (deadline_ms, length) = (deadline.as_millis(), BODY.len());
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: mill.example\r\nrequest-id: late\r\nkey: secret\r\n\
         deadline-ms: {deadline_ms}\r\ncontent-length: {length}\r\n\r\n"
    );
    let half = &BODY[..BODY.len() / 2];
    stream.write_all((head + half).as_bytes()).await.unwrap();
    stream
}

/// Sends the rest of the body and returns what the relay answers until it closes the connection.
async fn send_rest(stream: &mut TcpStream) -> String {
    let rest = &BODY[BODY.len() / 2..];
    // Fails if the relay has answered and closed the connection.
    let _ = stream.write_all(rest.as_bytes()).await;
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    String::from_utf8(received).unwrap()
}

/// Guards against a request that begins before a planned stop, whose body ends late in it, and that
/// is then sent to a target and cut.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_body_ends_late_in_the_stop_is_refused_as_not_run() {
    let target = TestTarget::start("target-1", silent_unless_short()).await;
    let fleet = TestFleet::start(Some(patient_plan()), &[&target]).await;
    let other = fleet.start_other_relay().await;
    let mut caller = send_half(fleet.relay.http(), "/stream/x", LONG_DEADLINE).await;
    tokio::time::sleep(LEAVE_DELAY).await;

    let leaving = LeavingFleet::start(fleet, other).await;
    leaving.sleep_until(Duration::from_secs(3)).await;
    let answer = send_rest(&mut caller).await;

    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("bilberry-outcome: not-run"), "{answer}");
    assert_eq!(target.arrivals(), 0);
    leaving.task.await.unwrap();
}

/// Guards against a request that may not be repeated and is accepted in a planned stop because
/// recent ones were short. It is cut if it is longer.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_not_be_repeated_is_not_judged_by_recent_ones() {
    let target = TestTarget::start("target-1", silent_unless_short()).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let other = fleet.start_other_relay().await;
    run_short_requests(&fleet, "stream").await;
    let stream = fleet.request_with_deadline("/stream/x", "r1", LONG_DEADLINE);

    let leaving = LeavingFleet::start(fleet, other).await;
    let refused = stream.send().await.unwrap();

    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(refused.headers()["bilberry-outcome"], "not-run");
    assert_eq!(target.arrivals(), HISTORY_RUNS);
    leaving.task.await.unwrap();
}

/// Guards against a connection that is closed without an answer at the end of a planned stop. Both
/// requests were accepted because recent ones were short.
#[rstest]
#[case::sent_late("/again/x", Duration::from_millis(2_300))]
#[case::sent_early("/resumable/x", Duration::from_millis(500))]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_outlasts_the_stop_is_answered(#[case] path: &str, #[case] at: Duration) {
    let target = TestTarget::start("target-1", silent_unless_short()).await;
    let fleet = TestFleet::start(Some(patient_plan()), &[&target]).await;
    let other = fleet.start_other_relay().await;
    run_short_requests(&fleet, path.split('/').nth(1).unwrap()).await;
    let request = fleet.request_with_deadline(path, "r1", LONG_DEADLINE);

    let leaving = LeavingFleet::start(fleet, other).await;
    leaving.sleep_until(at).await;
    let answer = request.send().await.unwrap();

    assert_eq!(answer.status().as_u16(), 502);
    assert_eq!(answer.headers()["bilberry-outcome"], "unknown");
    assert_eq!(target.arrivals(), HISTORY_RUNS + 1);
    leaving.task.await.unwrap();
}

/// Guards against a request that goes to another target after a refusal late in a planned stop, and
/// is cut there.
#[tokio::test(flavor = "multi_thread")]
async fn request_refused_late_in_the_stop_goes_to_no_other_target() {
    let release = Arc::new(tokio::sync::Notify::new());
    let released = release.clone();
    let refusal: TargetScript = Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        let answer = response_bytes(503, id, "full");
        let answer = String::from_utf8(answer).unwrap();
        let answer = answer.replacen("\r\n", "\r\nnot-run: 1\r\n", 1);
        let step = TargetStep::Write(answer.into_bytes());
        TargetStep::Await(released.clone(), Box::new(step))
    });
    let targets = [
        TestTarget::start("target-1", refusal.clone()).await,
        TestTarget::start("target-2", refusal).await,
    ];
    let fleet = TestFleet::start(Some(patient_plan()), &[&targets[0], &targets[1]]).await;
    let other = fleet.start_other_relay().await;
    let request = fleet.request_with_deadline("/once/x", "r1", LONG_DEADLINE);
    let answer = tokio::spawn(request.send());
    tokio::time::sleep(LEAVE_DELAY).await;

    let leaving = LeavingFleet::start(fleet, other).await;
    leaving.sleep_until(Duration::from_secs(3)).await;
    release.notify_one();
    let answer = answer.await.unwrap().unwrap();

    assert_eq!(answer.status().as_u16(), 503);
    assert_eq!(answer.headers()["bilberry-outcome"], "not-run");
    assert_eq!(targets[0].arrivals() + targets[1].arrivals(), 1);
    leaving.task.await.unwrap();
}

/// Guards against a request whose body ends after its deadline, and whose caller is told that it may
/// have run although no target saw it.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_body_ends_after_its_deadline_has_not_run() {
    let target = TestTarget::start("target-1", silent_unless_short()).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let relay = fleet.relay.http();
    let mut caller = send_half(relay, "/once/short", Duration::from_millis(300)).await;

    tokio::time::sleep(Duration::from_millis(600)).await;
    let answer = send_rest(&mut caller).await;

    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("bilberry-outcome: not-run"), "{answer}");
    assert_eq!(target.arrivals(), 0);
}
