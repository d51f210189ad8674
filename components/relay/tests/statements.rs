//! Targets that state in their responses that they are leaving, or want no requests for a while.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{TargetScript, TargetStep, TestFleet, TestTarget, header, ok_response, plan};
use rstest::rstest;
use tokio::task::JoinSet;
use units::{Incarnation, SlotCount};
use wire::{DirectoryEntry, NodeKind};

/// Time for which the target wants no requests.
const STATED_PAUSE: Duration = Duration::from_secs(4);

/// Time after which a target must no longer get requests from an entry that it told to pause.
const PAUSE_SLACK: Duration = Duration::from_millis(500);

/// Number of requests that may reach a target in its pause.
const MAX_PAUSE_ARRIVALS: usize = 2;

/// Time after which a leaving target must no longer get requests.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Times at which requests arrived at a target.
type ArrivalTimes = Arc<Mutex<Vec<Instant>>>;

/// Script of a target that records arrivals and writes a response to each.
fn recording_script(
    arrivals: &ArrivalTimes,
    response: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static,
) -> TargetScript {
    let arrivals = arrivals.clone();
    Arc::new(move |head: &str| {
        arrivals.lock().unwrap().push(Instant::now());
        TargetStep::Write(response(head))
    })
}

/// Response with these additional header lines and the id of its request.
fn response_with(head: &str, status: u16, lines: &str) -> Vec<u8> {
    let id = header(head, "request-id").unwrap();
    format!("HTTP/1.1 {status} Test\r\nrequest-id: {id}\r\n{lines}content-length: 4\r\n\r\ndone")
        .into_bytes()
}

/// A refusal that asks for [`STATED_PAUSE`].
fn pausing_response(head: &str, lines: &str) -> Vec<u8> {
    let pause = STATED_PAUSE.as_millis();
    response_with(head, 503, &format!("pause-ms: {pause}\r\n{lines}"))
}

async fn start_sound_target() -> TestTarget {
    let script = Arc::new(|head: &str| TargetStep::Write(ok_response(head, "done")));
    TestTarget::start("target-sound", script).await
}

/// Sends requests through the relay from four callers, and counts those that are not served.
fn start_load(fleet: &TestFleet, failures: &Arc<AtomicUsize>) -> JoinSet<()> {
    let mut load = JoinSet::new();
    for caller in 0..4 {
        let (client, url) = (fleet.client.clone(), fleet.url("/again/x"));
        let failures = failures.clone();
        load.spawn(async move {
            for number in 0.. {
                let request = client
                    .post(&url)
                    .header("request-id", format!("r{caller}-{number}"))
                    .header("key", "secret")
                    .header("deadline-ms", 1_000);
                let response = request.body("order").send().await;
                let is_served = response.is_ok_and(|response| response.status() == 200);
                failures.fetch_add(usize::from(!is_served), Ordering::SeqCst);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
    }
    load
}

fn first_arrival(arrivals: &ArrivalTimes) -> Option<Instant> {
    arrivals.lock().unwrap().first().copied()
}

/// Time of the first arrival, once there is one.
async fn wait_for_arrival(arrivals: &ArrivalTimes) -> Instant {
    common::wait_until(|| first_arrival(arrivals).is_some()).await;
    first_arrival(arrivals).unwrap()
}

fn arrivals_between(arrivals: &ArrivalTimes, start: Instant, end: Instant) -> usize {
    let arrivals = arrivals.lock().unwrap();
    let in_span = arrivals.iter().filter(|at| (start..end).contains(*at));
    in_span.count()
}

/// Guards against an entry that goes on sending requests to a target that has refused one and
/// stated for how long it wants none, also if the refusal does not say that the request has not
/// run, and if a later refusal states a shorter time.
#[rstest]
#[case::not_run("not-run: 1\r\n", "")]
#[case::unknown_outcome("", "")]
#[case::shortened("not-run: 1\r\n", "pause-ms: 1\r\nnot-run: 1\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn target_gets_no_requests_while_it_wants_none(
    #[case] lines: &'static str,
    #[case] later_lines: &'static str,
) {
    let arrivals = ArrivalTimes::default();
    let count = AtomicUsize::new(0);
    let script = recording_script(&arrivals, move |head| {
        let is_first = count.fetch_add(1, Ordering::SeqCst) == 0;
        match is_first || later_lines.is_empty() {
            true => pausing_response(head, lines),
            false => response_with(head, 503, later_lines),
        }
    });
    let target = TestTarget::start("target-pausing", script).await;
    let sound = start_sound_target().await;
    let fleet = TestFleet::start(Some(plan()), &[&target, &sound]).await;
    let failures = Arc::new(AtomicUsize::new(0));

    let _load = start_load(&fleet, &failures);
    let told_at = wait_for_arrival(&arrivals).await;
    let ends_at = told_at + STATED_PAUSE;
    tokio::time::sleep_until((ends_at + Duration::from_secs(1)).into()).await;

    let pause_arrivals = arrivals_between(&arrivals, told_at + PAUSE_SLACK, ends_at);
    assert!(
        pause_arrivals <= MAX_PAUSE_ARRIVALS,
        "{pause_arrivals} requests in the pause"
    );
    let later_arrivals = arrivals_between(&arrivals, ends_at, Instant::now());
    assert!(later_arrivals > 0, "no request after the pause");
    assert_eq!(failures.load(Ordering::SeqCst), 0);
}

/// Guards against requests that wait at an entry although the only target wants none until after
/// their deadline, and against callers that are told to return too early.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_while_no_target_wants_any() {
    let arrivals = ArrivalTimes::default();
    let script = recording_script(&arrivals, |head| pausing_response(head, "not-run: 1\r\n"));
    let target = TestTarget::start("target-pausing", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    fleet.request("/again/x", "first").send().await.unwrap();

    let sent_at = Instant::now();
    let response = fleet.request("/again/x", "second").send().await.unwrap();
    let elapsed = sent_at.elapsed();

    assert_eq!(response.status(), 503);
    let retry_after = response.headers()["retry-after"].to_str().unwrap();
    let retry_after = Duration::from_millis(retry_after.parse().unwrap());
    let earliest = STATED_PAUSE - Duration::from_millis(500);
    assert!(
        (earliest..=STATED_PAUSE).contains(&retry_after),
        "callers return after {retry_after:?}"
    );
    assert!(elapsed < Duration::from_millis(100), "after {elapsed:?}");
    assert_eq!(arrivals.lock().unwrap().len(), 1);
}

/// A later announcement of the same process, which differs from the first one.
fn serving_again(target: &TestTarget) -> DirectoryEntry {
    let mut entry = target.announcement();
    if let NodeKind::Target(announced) = &mut entry.kind {
        announced.sequence += 1;
        announced.slots = SlotCount(announced.slots.0 + 1);
    }
    entry
}

/// Guards against an entry that goes on sending requests to a target that has stated that it is
/// leaving, before the directory knows, or after an announcement from before that arrives late; and
/// against one that sends none to the next process of the target.
#[rstest]
#[case::served(200, "")]
#[case::refused(503, "not-run: 1\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_target_gets_no_requests(#[case] status: u16, #[case] lines: &'static str) {
    let arrivals = ArrivalTimes::default();
    let script = recording_script(&arrivals, move |head| {
        response_with(head, status, &format!("leaving: 1\r\n{lines}"))
    });
    let target = TestTarget::start("target-leaving", script).await;
    let sound = start_sound_target().await;
    let fleet = TestFleet::start(Some(plan()), &[&target, &sound]).await;
    let failures = Arc::new(AtomicUsize::new(0));

    let _load = start_load(&fleet, &failures);
    let told_at = wait_for_arrival(&arrivals).await;
    fleet.api.announce(serving_again(&target)).await.unwrap();
    let counted_from = told_at + DRAIN_TIMEOUT;
    tokio::time::sleep_until((counted_from + Duration::from_secs(3)).into()).await;
    let late_arrivals = arrivals_between(&arrivals, counted_from, Instant::now());
    let mut restarted = target.announcement();
    restarted.incarnation = Incarnation(restarted.incarnation.0 + 1);
    let restarted_at = Instant::now();
    fleet.api.announce(restarted).await.unwrap();
    common::wait_until(|| arrivals_between(&arrivals, restarted_at, Instant::now()) > 0).await;

    assert_eq!(late_arrivals, 0);
    assert_eq!(failures.load(Ordering::SeqCst), 0);
}
