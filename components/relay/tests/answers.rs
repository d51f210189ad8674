//! Responses of targets: complete, truncated, belonging to another request, or missing.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{TargetStep, TestFleet, TestTarget, header, ok_response, plan, response_bytes};
use rstest::rstest;

/// Guards against altered request or response bytes, keys of callers that reach a target, and
/// requests that do not name the target that may run them.
#[tokio::test(flavor = "multi_thread")]
async fn complete_response_is_forwarded() {
    let script = Arc::new(|head: &str| TargetStep::Write(ok_response(head, "booked")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request("/once/a%20b?c=d", "r1").send().await.unwrap();
    let (status, body) = (response.status(), response.text().await.unwrap());

    assert_eq!((status.as_u16(), body.as_str()), (200, "booked"));
    let head = target.heads.lock().unwrap()[0].clone();
    assert!(head.starts_with("POST /once/a%20b?c=d HTTP/1.1"), "{head}");
    assert_eq!(header(&head, "instance"), Some("target-1"));
    assert_eq!(header(&head, "key"), None);
}

/// Guards against callers and targets that remove headers of the system by naming them in `Connection`,
/// in any case and in several headers, and against those of their own that are forwarded although they
/// name them.
#[rstest]
#[case::one_list(&["close, Instance, REQUEST-ID, host, deadline-ms, x-hop"])]
#[case::several_headers(&["instance", "x-hop", "request-id,,", ", content-length, host"])]
#[tokio::test(flavor = "multi_thread")]
async fn connection_header_does_not_remove_headers_of_the_system(#[case] lists: &[&str]) {
    let list = lists.join(", ");
    let script = Arc::new(move |head: &str| {
        let answer = String::from_utf8(ok_response(head, "booked")).unwrap();
        let names = format!("\r\nx-hop: 1\r\nconnection: {list}\r\n");
        TargetStep::Write(answer.replacen("\r\n", &names, 1).into_bytes())
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let mut request = fleet.request("/once/x", "r1").header("x-hop", "1");
    for list in lists {
        request = request.header("connection", *list);
    }

    let response = request.send().await.unwrap();

    let head = target.heads.lock().unwrap()[0].clone();
    assert_eq!(header(&head, "instance"), Some("target-1"));
    assert_eq!(header(&head, "request-id"), Some("r1"));
    assert_eq!(header(&head, "deadline-ms"), Some("2000"));
    assert!(header(&head, "host").is_some(), "{head}");
    assert_eq!(header(&head, "x-hop"), None);
    assert_eq!(response.headers()["request-id"], "r1");
    assert!(!response.headers().contains_key("x-hop"));
    assert_eq!(response.text().await.unwrap(), "booked");
}

/// Guards against requests that are forwarded for a route or key that the plan does not have, and
/// against refusals that do not state that the request has not run.
#[rstest]
#[case::no_route("/nothing/x", "secret", 404)]
#[case::unknown_key("/once/x", "stolen", 401)]
#[tokio::test(flavor = "multi_thread")]
async fn request_without_route_or_valid_key_is_refused(
    #[case] path: &str,
    #[case] key: &str,
    #[case] expected: u16,
) {
    let script = Arc::new(|head: &str| TargetStep::Write(ok_response(head, "booked")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let request = fleet.client.post(fleet.url(path)).header("key", key);
    let response = request.send().await.unwrap();

    assert_eq!(response.status().as_u16(), expected);
    assert_eq!(response.headers()["bilberry-outcome"], "not-run");
    assert_eq!(target.arrivals(), 0);
}

/// Guards against status 404 from an entry that has not received a plan yet.
#[tokio::test(flavor = "multi_thread")]
async fn entry_without_a_plan_is_unavailable() {
    let fleet = TestFleet::start(None, &[]).await;

    let response = fleet.request("/once/x", "r1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 503);
    assert!(response.headers().contains_key("retry-after"));
}

/// Guards against the response to another request being forwarded to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn response_to_another_request_is_not_forwarded() {
    let script = Arc::new(|_: &str| TargetStep::Write(response_bytes(200, "another", "not yours")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request("/once/x", "r1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 502);
    assert_eq!(response.headers()["bilberry-outcome"], "unknown");
    assert_eq!(target.arrivals(), 1);
}

/// Guards against a surplus response on a connection that is taken for the response to the next
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn surplus_response_is_not_given_to_the_next_request() {
    let script = Arc::new(|head: &str| {
        let mut bytes = ok_response(head, "first");
        bytes.extend(response_bytes(200, "extra", "extra"));
        TargetStep::Write(bytes)
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    for number in 0..5 {
        let id = format!("r{number}");
        let response = fleet.request("/again/x", &id).send().await.unwrap();

        assert_eq!(response.status().as_u16(), 200);
        assert_eq!(response.headers()["request-id"], id);
        assert_eq!(response.text().await.unwrap(), "first");
    }
}

/// Guards against a truncated response that looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_a_failure() {
    let script = Arc::new(|head: &str| {
        let bytes = ok_response(head, "a long answer");
        TargetStep::Close(bytes[..bytes.len() - 4].to_vec())
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request("/once/x", "r1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 502);
    assert_eq!(target.arrivals(), 1);
}

/// Guards against a stream that ends normally although its target closed the connection early.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream_ends_with_an_error() {
    let script = Arc::new(|head: &str| {
        let id = header(head, "request-id").unwrap();
        let events = "7\r\nid: 1\n\n\r\n";
        TargetStep::Close(
            format!(
                "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n{events}"
            )
            .into_bytes(),
        )
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request("/stream/x", "r1").send().await.unwrap();
    let status = response.status();
    let body = response.bytes().await;

    assert_eq!(status.as_u16(), 200);
    assert!(body.is_err(), "{body:?}");
}

/// Guards against a stream without a length that looks complete although its target ended it inside
/// an event, or before the first one.
#[rstest]
#[case::after_an_event("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Some(true))]
#[case::with_other_line_ends("id: 1\r\ndata: a\r\n\r\n", Some(true))]
#[case::inside_an_event("id: 1\ndata: a\n\nid: 2\nda", Some(false))]
#[case::before_the_blank_line("id: 1\ndata: a\n\nid: 2\ndata: b\n", Some(false))]
#[case::before_the_first_event("", None)]
#[tokio::test(flavor = "multi_thread")]
async fn stream_without_a_length_is_complete_after_an_event(
    #[case] events: &'static str,
    #[case] is_complete: Option<bool>,
) {
    let script = Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n\r\n");
        TargetStep::Close((head + events).into_bytes())
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request("/stream/x", "r1").send().await.unwrap();
    let status = response.status();
    let body = response.bytes().await;

    match is_complete {
        Some(is_complete) => assert_eq!((status.as_u16(), body.is_ok()), (200, is_complete)),
        None => assert_eq!(status.as_u16(), 502),
    }
}

/// Guards against a body without a length that looks complete although the connection of its target
/// was reset: before its first bytes, after an event, and in a response that is not a stream,
/// whether it is buffered or too long for that.
#[rstest]
#[case::stream_before_the_first_event("/stream/x", String::new(), None)]
#[case::stream_after_an_event("/stream/x", "id: 1\ndata: a\n\n".into(), Some(200))]
#[case::buffered("/once/x", "half".into(), None)]
#[case::long("/once/x", "half".repeat(20_000), Some(200))]
#[tokio::test(flavor = "multi_thread")]
async fn body_without_a_length_is_broken_by_a_reset(
    #[case] path: &str,
    #[case] body: String,
    #[case] status: Option<u16>,
) {
    let script = Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n\r\n");
        TargetStep::Reset((head + &body).into_bytes())
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request(path, "r1").send().await.unwrap();
    let received_status = response.status().as_u16();
    let body = response.bytes().await;

    match status {
        Some(status) => assert_eq!((received_status, body.is_err()), (status, true)),
        None => assert_eq!(received_status, 502),
    }
}

/// Guards against a short body that looks complete, and against coded bytes that are forwarded as if they
/// were the body, when the target names a transfer coding other than chunks. Such a coding makes any
/// length void.
#[rstest]
#[case::short(
    "/once/x",
    "transfer-encoding: identity\r\ncontent-length: 800",
    "short"
)]
#[case::short_after_the_length(
    "/once/x",
    "content-length: 800\r\ntransfer-encoding: identity",
    "short"
)]
#[case::coded("/again/x", "transfer-encoding: gzip", "coded")]
#[case::coded_in_chunks(
    "/once/x",
    "transfer-encoding: gzip, chunked",
    "5\r\ncoded\r\n0\r\n\r\n"
)]
#[case::coded_in_two_headers(
    "/once/x",
    "transfer-encoding: gzip\r\ntransfer-encoding: chunked",
    "5\r\ncoded\r\n0\r\n\r\n"
)]
#[case::stream("/stream/x", "transfer-encoding: identity", "id: 1\n\nid: 2\nda")]
#[case::continued("/resumable/x", "transfer-encoding: identity", "id: 1\n\nid: 2\nda")]
#[case::misspelt("/once/x", "transfer-encoding: chunke", "short")]
#[tokio::test(flavor = "multi_thread")]
async fn body_in_another_transfer_coding_is_not_forwarded(
    #[case] path: &str,
    #[case] headers: &'static str,
    #[case] body: &'static str,
) {
    let script = Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n{headers}\r\n\r\n");
        TargetStep::Close((head + body).into_bytes())
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request(path, "r1").send().await.unwrap();
    let status = response.status().as_u16();
    let outcome = response.headers().get("bilberry-outcome").cloned();
    let body = response.text().await;

    assert_eq!(status, 502, "{body:?}");
    assert_eq!(outcome.unwrap(), "unknown");
    assert_eq!(target.arrivals(), 1);
}

/// Guards against a body in chunks that is refused because of the spelling of their name.
#[tokio::test(flavor = "multi_thread")]
async fn name_of_chunks_may_be_in_capitals() {
    let script = Arc::new(|head: &str| {
        let id = header(head, "request-id").unwrap();
        let head =
            format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nTransfer-Encoding: Chunked \r\n");
        TargetStep::Write((head + "\r\n4\r\ndone\r\n0\r\n\r\n").into_bytes())
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request("/once/x", "r1").send().await.unwrap();

    assert_eq!(response.text().await.unwrap(), "done");
}

/// Guards against a broken body that looks complete to a caller of HTTP/1.0, for which the end of
/// the connection ends the body, and to one that asks for the connection to be closed.
#[rstest]
#[case::old_stream("HTTP/1.0", "/stream/x", "id: 1\ndata: a\n\n".into())]
#[case::old_long_response("HTTP/1.0", "/once/x", "half".repeat(20_000))]
#[case::closed_stream("HTTP/1.1", "/stream/x", "id: 1\ndata: a\n\n".into())]
#[case::closed_long_response("HTTP/1.1", "/once/x", "half".repeat(20_000))]
#[tokio::test(flavor = "multi_thread")]
async fn broken_body_is_broken_for_callers_without_kept_connections(
    #[case] version: &str,
    #[case] path: &str,
    #[case] body: String,
) {
    let script = Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n\r\n");
        TargetStep::Reset((head + &body).into_bytes())
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let request = format!(
        "POST {path} {version}\r\nhost: mill.example\r\nrequest-id: r1\r\nkey: secret\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n"
    );

    let (answer, end) = common::exchange_bytes(fleet.relay.http(), request.as_bytes()).await;

    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    let is_refused = [" 502 ", " 505 "]
        .iter()
        .any(|status| head.contains(status));
    let has_length = header(head, "content-length")
        .and_then(|length| length.parse::<usize>().ok())
        .is_some_and(|length| length > body.len());
    let is_open_chunk = header(head, "transfer-encoding").is_some() && !body.ends_with("0\r\n\r\n");
    let is_reset = end.is_err();
    assert!(
        is_refused || has_length || is_open_chunk || is_reset,
        "{head}"
    );
}

/// Guards against a request that must run at most once but is sent to a second target, and against
/// a repeatable request that is not.
#[rstest]
#[case::once("/once/x", 502, 1)]
#[case::again("/again/x", 200, 2)]
#[tokio::test(flavor = "multi_thread")]
async fn lost_response_is_retried_only_if_the_route_allows(
    #[case] path: &str,
    #[case] status: u16,
    #[case] arrivals: usize,
) {
    let first = Arc::new(std::sync::atomic::AtomicBool::new(true));
    let script: common::TargetScript =
        Arc::new(
            move |head: &str| match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
                true => TargetStep::Close(Vec::new()),
                false => TargetStep::Write(ok_response(head, "done")),
            },
        );
    let one = TestTarget::start("target-1", script.clone()).await;
    let two = TestTarget::start("target-2", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&one, &two]).await;

    let response = fleet.request(path, "r1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), status);
    assert_eq!(one.arrivals() + two.arrivals(), arrivals);
}

/// A refusal by a target that has not run the request with this id.
fn refusal_bytes(id: Option<&str>) -> Vec<u8> {
    let id = id.map_or_else(String::new, |id| format!("request-id: {id}\r\n"));
    format!("HTTP/1.1 503 Full\r\nnot-run: 1\r\n{id}content-length: 0\r\n\r\n").into_bytes()
}

/// Guards against a target that writes an earlier refusal once more on a kept connection: callers
/// would be told that a request has not run that runs, or it would run at a second target. The
/// connection must not be used again.
#[rstest]
#[case::that_names_its_request(Some("r1"))]
#[case::without_an_id(None)]
#[tokio::test(flavor = "multi_thread")]
async fn copy_of_an_earlier_refusal_is_not_believed(#[case] id: Option<&'static str>) {
    let script: common::TargetScript = Arc::new(move |head: &str| {
        let own_id = header(head, "request-id").unwrap();
        match own_id {
            "r1" => TargetStep::Write(refusal_bytes(Some(own_id))),
            "r2" => TargetStep::Write([refusal_bytes(id), ok_response(head, "late")].concat()),
            _ => TargetStep::Write(ok_response(head, "done")),
        }
    });
    let one = TestTarget::start("target-1", script.clone()).await;
    let two = TestTarget::start("target-2", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&one, &two]).await;
    fleet.request("/once/x", "r1").send().await.unwrap();
    let arrivals = || one.arrivals() + two.arrivals();
    assert_eq!(arrivals(), 2);

    let response = fleet.request("/once/x", "r2").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 502);
    assert_eq!(response.headers()["bilberry-outcome"], "unknown");
    assert_eq!(arrivals(), 3);
    for number in 3..7 {
        let response = fleet.request("/once/x", &format!("r{number}"));
        let response = response.send().await.unwrap();
        assert_eq!(response.text().await.unwrap(), "done");
    }
}

/// Guards against a request that fails when one target is full although another could run it, and
/// against an outcome other than not-run when all targets refuse it.
#[tokio::test(flavor = "multi_thread")]
async fn refused_request_is_sent_to_another_target_and_ends_as_not_run() {
    let script: common::TargetScript =
        Arc::new(|head: &str| TargetStep::Write(refusal_bytes(header(head, "request-id"))));
    let one = TestTarget::start("target-1", script.clone()).await;
    let two = TestTarget::start("target-2", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&one, &two]).await;

    let response = fleet.request("/once/x", "r1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()["bilberry-outcome"], "not-run");
    assert_eq!((one.arrivals(), two.arrivals()), (1, 1));
}

/// Guards against callers that are left with a connection of which neither side knows the protocol,
/// because a target claims to have switched to another one.
#[tokio::test(flavor = "multi_thread")]
async fn switch_of_protocols_is_not_forwarded() {
    let script = Arc::new(|head: &str| {
        let id = header(head, "request-id").unwrap();
        let head = format!("HTTP/1.1 101 Switching Protocols\r\nrequest-id: {id}\r\n");
        TargetStep::Write((head + "connection: upgrade\r\nupgrade: x\r\n\r\n").into_bytes())
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let request = "POST /once/x HTTP/1.1\r\nhost: mill.example\r\nrequest-id: r1\r\nkey: secret\r\n\
                   connection: close\r\ncontent-length: 0\r\n\r\n";

    let (answer, _) = common::exchange_bytes(fleet.relay.http(), request.as_bytes()).await;

    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
}

/// Guards against answers without a body that count as broken because nothing follows their heads.
#[rstest]
#[case::no_content(reqwest::Method::POST, "204 No Content", "")]
#[case::not_modified(reqwest::Method::POST, "304 Not Modified", "")]
#[case::head(reqwest::Method::HEAD, "200 OK", "")]
#[case::head_with_a_length(reqwest::Method::HEAD, "200 OK", "content-length: 800\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_has_no_body_is_complete(
    #[case] method: reqwest::Method,
    #[case] status: &'static str,
    #[case] headers: &'static str,
    #[values("/once/x", "/stream/x")] path: &str,
) {
    let script = Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        TargetStep::Write(
            format!("HTTP/1.1 {status}\r\nrequest-id: {id}\r\n{headers}\r\n").into_bytes(),
        )
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let request = fleet.client.request(method, fleet.url(path));
    let request = request.header("request-id", "r1").header("key", "secret");

    let response = request.send().await.unwrap();

    let expected = status.split(' ').next().unwrap();
    assert_eq!(response.status().as_str(), expected);
    assert_eq!(response.headers()["request-id"], "r1");
}

/// Guards against a target's server error that the relay replaces with its own because no other
/// target is left for a retry.
#[tokio::test(flavor = "multi_thread")]
async fn server_error_of_the_only_target_is_forwarded() {
    let script = Arc::new(|head: &str| {
        let id = header(head, "request-id").unwrap();
        TargetStep::Write(response_bytes(500, id, "no disk"))
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request("/again/x", "r1").send().await.unwrap();

    let (status, body) = (response.status(), response.text().await.unwrap());
    assert_eq!((status.as_u16(), body.as_str()), (500, "no disk"));
    assert_eq!(target.arrivals(), 1);
}

/// Guards against a target that keeps working for a caller that has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn disconnect_of_the_caller_closes_the_connection_to_the_target() {
    let script = Arc::new(|_: &str| TargetStep::Hang(Vec::new()));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let sending = fleet.request("/once/x", "r1").send();
    let result = tokio::time::timeout(Duration::from_millis(200), sending).await;
    target.wait_closed().await;

    assert!(result.is_err());
    assert_eq!(target.arrivals(), 1);
}

/// Guards against a caller that waits longer than the timeout of its route.
#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_target_leads_to_a_timeout() {
    let script = Arc::new(|_: &str| TargetStep::Hang(Vec::new()));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request("/once/x", "r1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 504);
    assert_eq!(response.headers()["bilberry-outcome"], "unknown");
}

/// Guards against work for a caller that disconnected before its request was read.
#[tokio::test(flavor = "current_thread")]
async fn request_of_a_caller_that_disconnected_early_is_not_forwarded() {
    let script = Arc::new(|head: &str| TargetStep::Write(ok_response(head, "booked")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    // The relay runs on this thread, so it reads nothing before the caller has disconnected.
    let mut caller = std::net::TcpStream::connect(fleet.relay.http()).unwrap();
    let request = "POST /again/x HTTP/1.1\r\nhost: mill.example\r\nrequest-id: r1\r\nkey: secret\r\n\
                   content-length: 5\r\n\r\norder";
    caller.write_all(request.as_bytes()).unwrap();
    drop(caller);

    // A later request is still forwarded.
    let response = fleet.request("/again/x", "r2").send().await.unwrap();
    assert_eq!(response.status().as_u16(), 200);
    let heads = target.heads.lock().unwrap();
    let ids: Vec<_> = heads
        .iter()
        .map(|head| header(head, "request-id"))
        .collect();
    assert_eq!(ids, [Some("r2")]);
}

/// Time for which an entry is overloaded, more than the load balancer needs between two checks.
const OVERLOAD_TIME: Duration = Duration::from_millis(1_200);

/// Guards against requests that an overloaded entry accepts and completes late although other
/// entries are idle, and against new callers that are sent to it again and again.
///
/// The runtime polls 61 tasks before it checks connections again. Four such turns take the whole of the
/// route's objective of 500 ms, or half of it.
#[rstest]
#[case::whole_objective(Duration::from_millis(3))]
#[case::half_of_the_objective(Duration::from_millis(1))]
#[tokio::test(flavor = "current_thread")]
async fn overloaded_entry_refuses_requests_as_not_run(#[case] poll_duration: Duration) {
    let script = Arc::new(|head: &str| TargetStep::Write(ok_response(head, "booked")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    assert!(fleet.relay.is_ready());
    let busy_task = tokio::spawn(std::future::poll_fn(move |context| {
        std::thread::sleep(poll_duration);
        context.waker().wake_by_ref();
        std::task::Poll::<()>::Pending
    }));

    let started_at = Instant::now();
    let mut responses = Vec::new();
    while started_at.elapsed() < OVERLOAD_TIME {
        responses.push(fleet.request("/once/x", "r1").send().await.unwrap());
    }
    let is_ready = fleet.relay.is_ready();
    busy_task.abort();

    assert!(!is_ready);
    common::wait_until(|| fleet.relay.is_ready()).await;
    for response in responses {
        assert_eq!(response.status().as_u16(), 503);
        assert_eq!(response.headers()["bilberry-outcome"], "not-run");
        assert!(response.headers().contains_key("retry-after"));
        let body = response.text().await.unwrap();
        assert!(body.contains("entry-busy"), "{body}");
    }
    assert_eq!(target.arrivals(), 0);
}

/// Guards against a panic that breaks the connection of a caller who states a time beyond that of
/// the clock.
#[tokio::test(flavor = "multi_thread")]
async fn caller_may_wait_for_ever() {
    let script = Arc::new(|head: &str| TargetStep::Write(ok_response(head, "done")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let request = fleet.request_with_deadline("/again/x", "a1", Duration::from_secs(1 << 63));
    let response = request.send().await.unwrap();

    assert_eq!(response.text().await.unwrap(), "done");
}
