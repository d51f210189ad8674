//! Refusals that are sent to callers.

mod common;

use std::time::Duration;

use agent::TargetKind;
use common::target::FakeTarget;
use common::{Caller, EVENT_TIMEOUT, Fleet, header_value, wait_until};
use entry::EntryLimits;
use reqwest::Response;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use units::{ByteSize, ClockTime, NodeName};

/// Status, code and outcome of a refusal.
async fn read_refusal(response: Response) -> (u16, String, String) {
    let status = response.status().as_u16();
    let outcome = header_value(&response, "bilberry-outcome");
    let text = response.text().await.unwrap();
    let body: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert!(body["error"]["message"].is_string(), "{text}");
    (
        status,
        body["error"]["code"].as_str().unwrap().into(),
        outcome,
    )
}

/// Guards against a broken response that looks complete to a caller of HTTP/1.0, for which the end of
/// the connection ends the body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_without_chunks_is_refused_as_not_run() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _records = fleet
        .start_agent("agent-1", "records", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;

    let request = Caller::new(&entry).post("/services/records/x", "");
    let response = request.version(reqwest::Version::HTTP_10).send().await;

    let (status, code, outcome) = read_refusal(response.unwrap()).await;
    assert_eq!(
        (status, &*code, &*outcome),
        (505, "http-version", "not-run")
    );
}

#[rstest]
#[case::service("/services/unknown/x", "", 404, "not-found")]
#[case::path("/elsewhere", "", 404, "not-found")]
#[case::no_target("/services/records/x", "", 503, "no-target")]
#[case::no_dependency("/services/bookings/x", "", 503, "no-target")]
#[case::no_key("/services/visits/orders", "", 400, "idempotency-key")]
#[case::spelling("/services/visits//orders", "", 400, "bad-path")]
#[case::json("/v1/chat/completions", "{", 400, "bad-request")]
#[case::cost(
    "/v1/chat/completions",
    "{\"model\":\"stone-advice\",\"max_tokens\":5000}",
    400,
    "too-costly"
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_is_refused_as_not_run(
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _visits = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let _bookings = fleet
        .start_agent("agent-2", "bookings", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;

    let response = Caller::new(&entry).post(path, body).send().await.unwrap();

    let expected = (status, code.to_owned(), "not-run".to_owned());
    assert_eq!(read_refusal(response).await, expected);
    assert_eq!(target.count(|state| &state.requests), 0);
}

/// Guards against requests with an unknown key, an oversized body or oversized headers that reach a
/// target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_and_size_limits_are_checked() {
    let fleet = Fleet::new();
    let limits = EntryLimits {
        max_body: ByteSize(1000),
        max_headers: ByteSize(2000),
        ..EntryLimits::default()
    };
    let entry = fleet.start_entry_with_limits("entry-1", limits).await;
    let caller = Caller::new(&entry);
    let path = "/services/visits/stones";

    let unknown_key = caller
        .post(path, "")
        .header("authorization", "Bearer other");
    let large_body = caller.post(path, &"x".repeat(1001));
    let large_headers = caller.post(path, "").header("x-wide", "x".repeat(2000));

    let unknown_key = reqwest::Client::new()
        .execute({
            let mut request = unknown_key.build().unwrap();
            let value = "Bearer other".parse().unwrap();
            request.headers_mut().insert("authorization", value);
            request
        })
        .await
        .unwrap();
    assert_eq!(read_refusal(unknown_key).await.0, 401);
    assert_eq!(read_refusal(large_body.send().await.unwrap()).await.0, 413);
    assert_eq!(
        read_refusal(large_headers.send().await.unwrap()).await.0,
        431
    );
}

/// Guards against a request that stays open forever because its body never ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_body_times_out() {
    let fleet = Fleet::new();
    let limits = EntryLimits {
        body_timeout: Duration::from_millis(100),
        ..EntryLimits::default()
    };
    let entry = fleet.start_entry_with_limits("entry-1", limits).await;
    let endless = reqwest::Body::wrap_stream(futures_util::stream::pending::<
        Result<Vec<u8>, std::io::Error>,
    >());

    let request = Caller::new(&entry).post("/services/visits/stones", "");
    let response = request.body(endless).send().await.unwrap();

    assert_eq!(read_refusal(response).await.0, 408);
}

/// Guards against an entry that accepts new work without a lease, and against HTTP/2 callers that
/// are not served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_without_lease_refuses_over_http2() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let client = reqwest::Client::builder()
        .no_proxy()
        .http2_prior_knowledge()
        .build()
        .unwrap();
    let url = format!("http://{}/services/visits/stones", entry.http());
    let read = || client.get(&url).bearer_auth(common::BEARER_KEY).send();

    let served = read().await.unwrap();
    fleet.view.write(|view| view.lease_end = ClockTime(0));
    let response = read().await.unwrap();

    assert_eq!(served.text().await.unwrap(), "read /stones");
    assert_eq!(header_value(&response, "retry-after"), "1");
    let expected = (503, "not-serving".to_owned(), "not-run".to_owned());
    assert_eq!(read_refusal(response).await, expected);
}

/// Guards against a refusal that callers never retry, for a key that a configuration has possibly added
/// that the entry did not receive.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_key_is_not_refused_for_good_without_a_lease() {
    let fleet = Fleet::new();
    let entry = fleet.start_entry("entry-1").await;
    let url = format!("http://{}/services/visits/stones", entry.http());
    let read = || reqwest::Client::new().get(&url).bearer_auth("added").send();

    let confirmed = read().await.unwrap();
    fleet.view.write(|view| view.lease_end = ClockTime(0));
    let unconfirmed = read().await.unwrap();

    assert_eq!(read_refusal(confirmed).await.0, 401);
    assert_eq!(header_value(&unconfirmed, "retry-after"), "1");
    let expected = (503, "not-serving".to_owned(), "not-run".to_owned());
    assert_eq!(read_refusal(unconfirmed).await, expected);
}

/// Guards against a refusal that callers never retry, for a service that a configuration has possibly
/// added after the lease ended, while the body was being read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_service_is_not_refused_for_good_after_the_lease_ended() {
    let fleet = Fleet::new();
    let entry = fleet.start_entry("entry-1").await;
    let mut stream = TcpStream::connect(entry.http()).await.unwrap();
    let key = common::BEARER_KEY;
    let head = format!(
        "POST /services/added/x HTTP/1.1\r\nhost: mill.example\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\ncontent-length: 1\r\n\r\n"
    );

    stream.write_all(head.as_bytes()).await.unwrap();
    // No state outside the entry shows that it waits for the body, so wait a fixed time.
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.view.write(|view| view.lease_end = ClockTime(0));
    stream.write_all(b"x").await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();

    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
}

/// Guards against requests that wait until their timeout for a service whose last target is gone,
/// although new requests are refused immediately. Also guards against a refusal before a target can
/// have restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waiting_request_is_refused_when_the_last_target_is_gone() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _agent = fleet
        .start_agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let mut running = tokio::task::JoinSet::new();
    for _ in 0..4 {
        let caller = Caller::new(&entry);
        running.spawn(async move { caller.chat(10, true).await });
    }
    wait_until("all slots of the target are in use", || {
        target.count(|state| &state.requests) == 4
    })
    .await;
    let caller = Caller::new(&entry);
    let waiting = tokio::spawn(async move { caller.chat(10, true).await });
    // No state outside the entry shows that the fifth request is queued, so wait a fixed time.
    tokio::time::sleep(Duration::from_secs(1)).await;

    let removed_at = std::time::Instant::now();
    fleet
        .view
        .write(|view| view.directory.remove(&NodeName::from("agent-1")));
    let response = tokio::time::timeout(EVENT_TIMEOUT, waiting).await;
    let response = response
        .expect("the request is refused before the timeout")
        .unwrap();

    assert!(removed_at.elapsed() >= Duration::from_secs(5));
    assert_eq!(header_value(&response, "retry-after"), "1");
    let expected = (503, "no-target".to_owned(), "not-run".to_owned());
    assert_eq!(read_refusal(response).await, expected);
    assert_eq!(target.count(|state| &state.requests), 4);
}

/// Guards against error pages of the HTTP library, which do not state whether the request ran.
#[rstest]
#[case::get("GET", "/v1/chat/completions", 405)]
#[case::delete("DELETE", "/v1/chat/completions", 405)]
#[case::unknown("BREW", "/v1/chat/completions", 405)]
#[case::check("POST", "/healthz", 405)]
#[case::ready("PUT", "/readyz", 405)]
#[case::elsewhere("PATCH", "/elsewhere", 404)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wrong_method_is_refused_as_json(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: u16,
) {
    let fleet = Fleet::new();
    let entry = fleet.start_entry("entry-1").await;
    let url = format!("http://{}{path}", entry.http());
    let method = reqwest::Method::from_bytes(method.as_bytes()).unwrap();

    let request = reqwest::Client::new().request(method, url);
    let (status, _, outcome) = read_refusal(request.send().await.unwrap()).await;

    assert_eq!((status, outcome.as_str()), (expected, "not-run"));
}
