//! Streams that break off, and what the next target answers when they are sent there or continued.

mod common;

use std::sync::Arc;

use common::{TargetScript, TargetStep, TestFleet, TestTarget, header, plan, response_bytes};
use rstest::rstest;

/// Status and body that a caller received, or `None` for a body that broke off.
type CallerAnswer = (u16, Option<String>);

/// Answers the first attempt of a stream with `first`, and all others with `next`. `ID` stands for the
/// id of the request.
fn script(first: &'static str, next: &'static str, is_closed: bool) -> TargetScript {
    let is_first = std::sync::atomic::AtomicBool::new(true);
    Arc::new(move |head: &str| {
        let id = header(head, "request-id").unwrap();
        let is_first = is_first.swap(false, std::sync::atomic::Ordering::SeqCst);
        let text = if is_first { first } else { next };
        let bytes = text.replace("ID", id).into_bytes();
        match is_first || is_closed {
            true => TargetStep::Close(bytes),
            false => TargetStep::Write(bytes),
        }
    })
}

async fn answer(request: reqwest::RequestBuilder) -> CallerAnswer {
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    (status, response.text().await.ok())
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n";

/// A stream that breaks off after its first event.
const ONE_EVENT: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n\
                         7\r\nid: 1\n\n\r\n";

/// Guards against an answer to a continued stream that mixes an error into it, or that looks like its
/// complete rest: errors, another request's answer, a refusal, and a second head after an event.
#[rstest]
#[case::error(
    "HTTP/1.1 500 Error\r\nrequest-id: ID\r\ncontent-length: 4\r\n\r\nfail",
    500,
    Some("fail")
)]
#[case::error_without_a_length(
    "HTTP/1.1 500 Error\r\nrequest-id: ID\r\n\r\nfail",
    500,
    Some("fail")
)]
#[case::head_of_another_request(
    "HTTP/1.1 200 OK\r\nrequest-id: x\r\ncontent-length: 4\r\n\r\nfail",
    502,
    None
)]
#[case::refusal(
    "HTTP/1.1 503 Full\r\nrequest-id: ID\r\nnot-run: 1\r\ncontent-length: 4\r\n\r\nfull",
    503,
    None
)]
#[case::text_without_an_event("HTTP/1.1 200 OK\r\nrequest-id: ID\r\n\r\nfail", 200, None)]
#[case::refusal_after_an_event(
    "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n7\r\nid: 2\n\n\r\n\
     HTTP/1.1 503 Full\r\nrequest-id: ID\r\nnot-run: 1\r\n\r\n",
    200,
    None
)]
#[case::short_length(
    "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-length: 90\r\n\r\nid: 2\n\n",
    200,
    None
)]
#[tokio::test(flavor = "multi_thread")]
async fn continued_stream_gets_the_next_answer_as_it_is(
    #[case] next: &'static str,
    #[case] status: u16,
    #[case] body: Option<&str>,
) {
    let target = TestTarget::start("target-1", script(ONE_EVENT, next, true)).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let broken = answer(fleet.request("/resumable/x", "r1")).await;
    assert_eq!(broken, (200, None));

    let request = fleet.request("/resumable/x", "r2");
    let request = request.header("last-event", "1").header("continues", "r1");
    let (next_status, next_body) = answer(request).await;

    assert_eq!(next_status, status);
    match (status, body) {
        (200, _) => assert_eq!(next_body, None, "the rest looks complete"),
        (_, Some(body)) => assert_eq!(next_body.as_deref(), Some(body)),
        (_, None) => assert!(next_body.unwrap().contains("error")),
    }
    assert_eq!(target.arrivals(), 2);
}

/// Guards against a head that is passed on before its first event, so that the answer of the next
/// target is written into the body of the first.
#[rstest]
#[case::error("HTTP/1.1 500 Error\r\nrequest-id: ID\r\ncontent-length: 4\r\n\r\nfail", (500, Some("fail")))]
#[case::stream("HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-length: 7\r\n\r\nid: 1\n\n", (200, Some("id: 1\n\n")))]
#[tokio::test(flavor = "multi_thread")]
async fn stream_without_an_event_is_replaced_whole(
    #[case] next: &'static str,
    #[case] expected: (u16, Option<&str>),
) {
    let script = script(CHUNKED, next, false);
    let one = TestTarget::start("target-1", script.clone()).await;
    let two = TestTarget::start("target-2", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&one, &two]).await;

    let (status, body) = answer(fleet.request("/resumable/x", "r1")).await;

    assert_eq!((status, body.as_deref()), expected);
    assert_eq!((one.arrivals(), two.arrivals()), (1, 1));
}

/// Guards against a stream that goes on at another target after its first event.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_has_begun_is_sent_to_no_other_target() {
    let next = String::from_utf8(response_bytes(200, "r1", "id: 2\n\n")).unwrap();
    let script = script(ONE_EVENT, next.leak(), false);
    let one = TestTarget::start("target-1", script.clone()).await;
    let two = TestTarget::start("target-2", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&one, &two]).await;

    let broken = answer(fleet.request("/resumable/x", "r1")).await;

    assert_eq!(broken, (200, None));
    assert_eq!(one.arrivals() + two.arrivals(), 1);
}
