//! Targets in trouble: bytes without end, dripping streams, and late copies of earlier responses.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{TargetScript, TargetStep, TestFleet, TestTarget, header, ok_response, plan};
use rstest::rstest;

/// Time between the parts that a target sends without end.
const PART_INTERVAL: Duration = Duration::from_millis(1);

/// Deadline of the callers.
const DEADLINE: Duration = Duration::from_millis(1_200);

/// Time after the deadline within which a call must have ended.
const END_DELAY: Duration = Duration::from_millis(500);

/// Sends `start`, in which `ID` stands for the id of the request, and then `part` without end.
fn endless(start: &'static str, part: &'static str) -> TargetScript {
    Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        let start = start.replace("ID", id).into_bytes();
        TargetStep::Endless(start, part.as_bytes().repeat(4_096), PART_INTERVAL)
    })
}

/// Guards against calls that last longer than their deadline, and against an endless response that
/// looks complete.
#[rstest]
#[case::header("HTTP/1.1 200 OK\r\nrequest-id: ID\r\n", "x: y\r\n")]
#[case::header_line("HTTP/1.1 200 OK\r\nrequest-id: ID\r\nx: ", "y")]
#[case::status_line("", "y")]
#[case::interim_responses("", "HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::body("HTTP/1.1 200 OK\r\nrequest-id: ID\r\n\r\n", "y")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n",
    "1\r\ny\r\n"
)]
#[case::chunk_size(
    "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n",
    "0"
)]
#[case::chunk_extension(
    "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n1;",
    "y"
)]
#[case::trailer(
    "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "x: y\r\n"
)]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_bounded(
    #[case] start: &'static str,
    #[case] part: &'static str,
    #[values("/once/x", "/stream/x")] path: &str,
) {
    let target = TestTarget::start("target-1", endless(start, part)).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let call_start = Instant::now();
    let request = fleet.request_with_deadline(path, "r1", DEADLINE);
    let call = tokio::spawn(async move {
        let mut response = request.send().await.unwrap();
        let is_success = response.status().is_success();
        loop {
            match response.chunk().await {
                Ok(Some(_)) => {}
                Ok(None) => return is_success,
                Err(_) => return false,
            }
        }
    });
    target.wait_closed().await;
    // The caller may still read what was sent until then.
    let ended_after = call_start.elapsed();
    let is_complete_success = call.await.unwrap();

    assert!(ended_after < DEADLINE + END_DELAY, "{ended_after:?}");
    assert!(!is_complete_success, "the response looks complete");
}

/// Guards against streams that are cut because they are slow, and against stalled ones that never
/// end because they send a byte now and then.
#[rstest]
#[case::slow_but_sound(Duration::from_millis(250), 3, true)]
#[case::dripping(Duration::from_millis(250), 1_000, false)]
#[tokio::test(flavor = "multi_thread")]
async fn deadline_ends_dripping_streams_only(
    #[case] interval: Duration,
    #[case] count: usize,
    #[case] expected: bool,
) {
    let script: TargetScript = Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        let start =
            format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n");
        TargetStep::Drip {
            start: start.into_bytes(),
            part: b"1\r\n:\r\n".to_vec(),
            end: b"0\r\n\r\n".to_vec(),
            interval,
            count,
        }
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let call_start = Instant::now();
    let request = fleet.request_with_deadline("/stream/x", "r1", DEADLINE);
    let body = request.send().await.unwrap().bytes().await;

    assert_eq!(body.is_ok(), expected, "{body:?}");
    assert!(call_start.elapsed() < DEADLINE + END_DELAY);
}

/// Guards against a second copy of a response that arrives on a connection in use again and is
/// taken for the response to the next request.
#[rstest]
#[case::once("/once/x")]
#[case::again("/again/x")]
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_is_not_given_to_the_next_request(#[case] path: &str) {
    let previous = std::sync::Mutex::new(Vec::new());
    let script: TargetScript = Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        let response = ok_response(head, &format!("answer to {id}"));
        let mut bytes = std::mem::replace(&mut *previous.lock().unwrap(), response.clone());
        bytes.extend(response);
        TargetStep::Write(bytes)
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    for number in 0..6 {
        let id = format!("r{number}");
        let response = fleet.request(path, &id).send().await.unwrap();
        let is_success = response.status().is_success();
        let body = response.text().await.unwrap();

        assert_eq!(
            is_success,
            body == format!("answer to {id}"),
            "{id}: {body}"
        );
    }
}
