//! Targets that state how many requests a second they take.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{TargetStep, TestFleet, TestTarget, header, plan};
use relay::RelayHandle;
use tokio::task::JoinSet;

/// Requests a second that the limited target takes from all entries together.
const STATED_LIMIT: usize = 5;

/// Time after the limit is first stated from which it must be kept.
const CONTACT_WINDOW: Duration = Duration::from_millis(3_000);

/// Span in which requests are counted, and number of them that the limit allows in it.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const MAX_REQUESTS: usize = STATED_LIMIT * 4 * 3 / 2 + 5;

/// Response with status 200, which states the limit if the target has one.
fn response(head: &str, is_limited: bool) -> Vec<u8> {
    let id = header(head, "request-id").unwrap();
    let limit = match is_limited {
        true => format!("server-limit: {STATED_LIMIT}.0\r\n"),
        false => String::new(),
    };
    format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n{limit}content-length: 4\r\n\r\ndone")
        .into_bytes()
}

/// Sends requests through all relays, 20 a second through each of four callers.
fn start_load(fleet: &TestFleet, relays: &[&RelayHandle]) -> JoinSet<()> {
    let mut load = JoinSet::new();
    for (index, relay) in relays.iter().enumerate() {
        for caller in 0..4 {
            let url = format!("http://{}/again/x", relay.http());
            let client = fleet.client.clone();
            load.spawn(async move {
                for number in 0.. {
                    let id = format!("r{index}-{caller}-{number}");
                    let request = client.post(&url).header("request-id", id);
                    let request = request.header("key", "secret").header("deadline-ms", 1_000);
                    // The status does not matter: what does not fit is refused.
                    let _ = request.body("order").send().await;
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            });
        }
    }
    load
}

/// Largest number of arrivals in any span of [`LIMIT_WINDOW`].
fn busiest_window(arrivals: &[Instant]) -> usize {
    let in_window = |start: &Instant| {
        let window = arrivals.iter().filter(|arrival| *arrival >= start);
        window
            .filter(|arrival| **arrival < *start + LIMIT_WINDOW)
            .count()
    };
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against a target in need that gets far more requests than the limit that it states, from
/// several entries, and against entries that keep to a limit after it has ended.
#[tokio::test(flavor = "multi_thread")]
async fn target_gets_no_more_requests_than_it_states() {
    let is_limited = Arc::new(AtomicBool::new(true));
    let arrivals = Arc::new(std::sync::Mutex::new(Vec::new()));
    let (limited, recorded) = (is_limited.clone(), arrivals.clone());
    let script = Arc::new(move |head: &str| {
        recorded.lock().unwrap().push(Instant::now());
        TargetStep::Write(response(head, limited.load(Ordering::SeqCst)))
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let other = fleet.start_other_relay().await;

    let _load = start_load(&fleet, &[&fleet.relay, &other]);
    tokio::time::sleep(CONTACT_WINDOW).await;
    arrivals.lock().unwrap().clear();
    tokio::time::sleep(LIMIT_WINDOW + Duration::from_secs(1)).await;
    let limited_arrivals = std::mem::take(&mut *arrivals.lock().unwrap());
    is_limited.store(false, Ordering::SeqCst);
    tokio::time::sleep(LIMIT_WINDOW).await;
    let free_arrivals = arrivals.lock().unwrap().len();

    let busiest = busiest_window(&limited_arrivals);
    assert!(
        busiest <= MAX_REQUESTS,
        "{busiest} requests in {LIMIT_WINDOW:?}"
    );
    assert!(
        busiest >= STATED_LIMIT,
        "{busiest} requests in {LIMIT_WINDOW:?}"
    );
    assert!(
        free_arrivals > 2 * MAX_REQUESTS,
        "{free_arrivals} requests without a limit"
    );
}
