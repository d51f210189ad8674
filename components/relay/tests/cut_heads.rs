//! Answers that stop before their end, at every byte of their heads and of the framing of their bodies.
//!
//! Each case cuts one sound answer at all positions.

mod common;

use std::time::Duration;

use common::cutting::{
    CUT_AT, CUT_END, CUT_ONCE, CutEnd, CutRecord, check_each, start_crashing_target,
    start_cutting_target,
};
use common::{TestFleet, exchange_bytes, header, plan, wait_until};
use routes::RoutePlan;
use rstest::rstest;

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-length: 800\r\n\
                           x-response-signature: 3e1b.07\r\n\r\n";

const LENGTH_FIRST: &str = "HTTP/1.1 200 OK\r\ncontent-length: 800\r\nrequest-id: ID\r\n\
                            x-response-signature: 3e1b.07\r\n\r\n";

const EMPTY_BODY: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-length: 0\r\n\r\n";

const WITHOUT_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nx-response-signature: 3e1b\r\n\r\n";

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nrequest-id: ID\r\n\
                       x-response-signature: 3e1b.07\r\n\r\n";

const LINE_FEEDS: &str = "HTTP/1.1 200 OK\nrequest-id: ID\ncontent-length: 800\n\
                          x-response-signature: 3e1b\n\n";

const NO_REASON: &str = "HTTP/1.1 200\r\nrequest-id: ID\r\ncontent-length: 800\r\n\r\n";

const OLD_VERSION: &str = "HTTP/1.0 200 OK\r\nrequest-id: ID\r\ncontent-length: 800\r\n\r\n";

const AFTER_CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n\
                              HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-length: 800\r\n\r\n";

const AFTER_HINTS: &str = "HTTP/1.1 103 Early Hints\r\nrequest-id: ID\r\nlink: <x>\r\n\r\n\
                           HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-length: 800\r\n\r\n";

const EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nrequest-id: ID\r\n\
                      transfer-encoding: chunked\r\n\r\n";

const REFUSAL: &str =
    "HTTP/1.1 503 Full\r\nrequest-id: ID\r\nnot-run: 1\r\ncontent-length: 4\r\n\r\n";

/// A body with chunk extensions and a trailer.
const CHUNKED_EVENTS: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n\
                              7;a=b\r\nid: 1\n\n\r\n0010\r\nid: 2\ndata: ab\n\n\r\n\
                              0\r\nx-sum: 7\r\n\r\n";

/// Length of the ids of requests, so that all answers of a case have the same length.
const ID_LEN: usize = 8;

/// Number of attempts to have a request sent on a new or on a kept connection.
const MAX_ATTEMPTS: usize = 20;

/// Deadline of callers whose answers stall.
const SHORT_DEADLINE: Duration = Duration::from_millis(60);

/// Number of retries that the budget of the test relays allows besides a fifth of the requests.
const RETRY_SLACK: usize = 50;

/// A plan by which an entry serves also when other tests delay it.
fn patient_plan() -> RoutePlan {
    let mut plan = plan();
    for route in &mut plan.routes {
        route.objective_ms = 8_000;
    }
    plan
}

/// Length of the head of an answer, whose id is replaced.
fn head_len(answer: &str) -> usize {
    let answer = answer.replace("ID", &"0".repeat(ID_LEN));
    answer.find("\r\n\r\n").unwrap() + 4
}

/// Length of an answer, whose id is replaced.
fn answer_len(answer: &str) -> usize {
    answer.replace("ID", &"0".repeat(ID_LEN)).len()
}

/// Id of a request of a case.
fn request_id(round: usize, position: usize, attempt: usize) -> String {
    let id = format!("{round:02}{position:04}{attempt:02}");
    assert_eq!(id.len(), ID_LEN);
    id
}

/// What a caller received.
struct CallerAnswer {
    status: u16,
    outcome: Option<String>,
    is_signed: bool,
    /// Body; `None` if it broke off.
    body: Option<String>,
}

async fn send(request: reqwest::RequestBuilder) -> CallerAnswer {
    let response = request.send().await.unwrap();
    let outcome = response.headers().get("bilberry-outcome");
    CallerAnswer {
        status: response.status().as_u16(),
        outcome: outcome.map(|outcome| outcome.to_str().unwrap().into()),
        is_signed: response.headers().contains_key("x-response-signature"),
        body: response.text().await.ok(),
    }
}

fn cut_request(
    fleet: &TestFleet,
    path: &str,
    id: &str,
    position: usize,
    end: CutEnd,
) -> reqwest::RequestBuilder {
    let request = fleet.request(path, id).header(CUT_AT, position);
    request.header(CUT_END, end.as_str())
}

/// Sends a request whose answer stops, on a connection to the target that is kept or not. Returns
/// what its caller received.
async fn send_on(
    fleet: &TestFleet,
    record: &CutRecord,
    is_kept: bool,
    path: &str,
    round: usize,
    cut: (usize, CutEnd),
) -> CallerAnswer {
    for attempt in 0..MAX_ATTEMPTS {
        if is_kept {
            let id = request_id(round, cut.0, MAX_ATTEMPTS + attempt);
            let sound = send(fleet.request("/once/x", &id)).await;
            assert_eq!(sound.body.as_deref(), Some("sound"));
        }
        let id = request_id(round, cut.0, attempt);
        let answer = send(cut_request(fleet, path, &id, cut.0, cut.1)).await;
        let arrivals = record.arrivals(&id);
        let seen = format!("{path} at {cut:?}: {} {:?}", answer.status, answer.body);
        assert_eq!(arrivals.len(), 1, "{seen}");
        // Requests that run at the same time may take each other's connections.
        if arrivals[0].is_kept == is_kept {
            return answer;
        }
    }
    panic!("no request was sent on such a connection");
}

/// Guards against an answer that looks complete although its head stopped, against the promise that
/// its request has not run, against a request that is sent again although it may not be repeated,
/// and against a slot or a connection that is not given back.
#[rstest]
#[case::with_length(WITH_LENGTH)]
#[case::length_first(LENGTH_FIRST)]
#[case::empty_body(EMPTY_BODY)]
#[case::without_length(WITHOUT_LENGTH)]
#[case::chunked(CHUNKED)]
#[case::line_feeds(LINE_FEEDS)]
#[case::no_reason(NO_REASON)]
#[case::old_version(OLD_VERSION)]
#[case::after_continue(AFTER_CONTINUE)]
#[case::after_hints(AFTER_HINTS)]
#[case::events(EVENTS)]
#[case::refusal(REFUSAL)]
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_stops_in_its_head_has_an_unknown_outcome(#[case] answer: &'static str) {
    let record = CutRecord::default();
    let target = start_cutting_target("target-1", answer, &record).await;
    let fleet = TestFleet::start(Some(patient_plan()), &[&target]).await;
    let mut count = 0;

    let rounds = [
        ("/once/x", false, CutEnd::Close),
        ("/once/x", true, CutEnd::Close),
        ("/once/x", false, CutEnd::Reset),
        ("/once/x", true, CutEnd::LateReset),
        ("/stream/x", false, CutEnd::LateReset),
        ("/stream/x", true, CutEnd::Shutdown),
    ];
    for (round, (path, is_kept, end)) in rounds.into_iter().enumerate() {
        let check = async |position| {
            let cut = (position, end);
            let answer = send_on(&fleet, &record, is_kept, path, round, cut).await;

            let seen = format!("{path}, {end:?} at {position}: {:?}", answer.body);
            assert_eq!(answer.status, 502, "{seen}");
            assert_eq!(answer.outcome.as_deref(), Some("unknown"), "{seen}");
            assert!(answer.body.unwrap().contains("target-lost"), "{seen}");
            assert!(!answer.is_signed, "{seen}");
        };
        check_each(0..answer_len(answer), check).await;
        count += answer_len(answer) as u64;
    }

    assert!(fleet.counter("refusals_502_target_lost") >= count);
    assert_eq!(fleet.counter("target_crashes"), 0);
    wait_until(|| record.open_count() == 0).await;
    assert_eq!(record.reuse_count(), 0);
}

/// Guards against whole answers that are taken for ones that stopped: without a body, their last byte is
/// that of the head.
#[rstest]
#[case::empty_body(EMPTY_BODY)]
#[case::without_length(WITHOUT_LENGTH)]
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_ends_with_its_head_is_forwarded(
    #[case] answer: &'static str,
    #[values(false, true)] is_kept: bool,
) {
    let record = CutRecord::default();
    let target = start_cutting_target("target-1", answer, &record).await;
    let fleet = TestFleet::start(Some(patient_plan()), &[&target]).await;

    let cut = (answer_len(answer), CutEnd::Close);
    let answer = send_on(&fleet, &record, is_kept, "/once/x", 0, cut).await;

    assert_eq!((answer.status, answer.body.as_deref()), (200, Some("")));
}

/// Guards against a caller that waits longer than it said for a head that has stopped.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_stalls_ends_at_the_deadline() {
    let record = CutRecord::default();
    let target = start_cutting_target("target-1", WITH_LENGTH, &record).await;
    let fleet = TestFleet::start(Some(patient_plan()), &[&target]).await;

    let check = async |position| {
        for attempt in 0..MAX_ATTEMPTS {
            let id = request_id(0, position, attempt);
            let request = fleet.request_with_deadline("/once/x", &id, SHORT_DEADLINE);
            let request = request.header(CUT_AT, position);
            let answer = send(request.header(CUT_END, CutEnd::Stall.as_str())).await;

            assert_eq!(answer.status, 504, "at {position}: {:?}", answer.body);
            assert_eq!(answer.outcome.as_deref(), Some("unknown"));
            // A busy target may not have read the request by the deadline.
            match record.arrivals(&id).len() {
                0 => continue,
                count => return assert_eq!(count, 1),
            }
        }
        panic!("no request arrived before its deadline");
    };
    check_each(0..answer_len(WITH_LENGTH), check).await;

    wait_until(|| record.open_count() == 0).await;
    assert_eq!(record.reuse_count(), 0);
}

/// Guards against a request that fails although it may be repeated, and against an answer in which
/// parts of two are joined.
#[rstest]
#[case::again("/again/x", WITH_LENGTH)]
#[case::again_with_chunks("/again/x", CHUNKED)]
#[case::stream("/resumable/x", EVENTS)]
#[case::stream_after_hints("/resumable/x", AFTER_HINTS)]
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_request_whose_answer_stops_gets_that_of_another_target(
    #[case] path: &str,
    #[case] answer: &'static str,
    #[values(CutEnd::Close, CutEnd::LateReset)] end: CutEnd,
) {
    let record = CutRecord::default();
    let one = start_cutting_target("target-1", answer, &record).await;
    let two = start_cutting_target("target-2", answer, &record).await;
    let fleet = TestFleet::start(Some(patient_plan()), &[&one, &two]).await;

    let check = async |position| {
        // A retry is allowed for each five requests.
        for number in 0..5 {
            let id = request_id(1, position, number);
            assert_eq!(send(fleet.request("/again/x", &id)).await.status, 200);
        }
        let id = request_id(0, position, 0);
        let request = cut_request(&fleet, path, &id, position, end);
        let answer = send(request.header(CUT_ONCE, "1")).await;

        let seen = format!("at {position}: {:?}", answer.body);
        assert_eq!(answer.status, 200, "{seen}");
        assert_eq!(answer.body.as_deref(), Some("sound"), "{seen}");
        assert!(!answer.is_signed, "{seen}");
        let arrivals = record.arrivals(&id);
        assert_eq!(arrivals.len(), 2, "{seen}");
        assert_ne!(arrivals[0].target, arrivals[1].target, "{seen}");
    };
    check_each(0..answer_len(answer), check).await;
}

/// Guards against heads that stop at every target and multiply the load with retries, and against the
/// promise that a request has not run when its last attempt was not allowed.
#[tokio::test(flavor = "multi_thread")]
async fn retries_after_heads_that_stop_keep_to_the_budget() {
    let record = CutRecord::default();
    let one = start_cutting_target("target-1", WITH_LENGTH, &record).await;
    let two = start_cutting_target("target-2", WITH_LENGTH, &record).await;
    let fleet = TestFleet::start(Some(patient_plan()), &[&one, &two]).await;

    let check = async |position| {
        let id = request_id(0, position, 0);
        let answer = send(cut_request(
            &fleet,
            "/again/x",
            &id,
            position,
            CutEnd::Close,
        ))
        .await;

        assert_eq!(answer.status, 502, "at {position}: {:?}", answer.body);
        assert_eq!(answer.outcome.as_deref(), Some("unknown"));
    };
    let count = answer_len(WITH_LENGTH);
    check_each(0..count, check).await;

    let max_retries = RETRY_SLACK + count / 5;
    let retries = record.arrival_count() - count;
    assert!((1..=max_retries).contains(&retries), "{retries} retries");
}

/// Guards against a continued stream that looks complete, is refused as not run, or begins again,
/// after the answer with its rest stopped.
#[rstest]
#[case::chunks(EVENTS)]
#[case::length(WITH_LENGTH)]
#[tokio::test(flavor = "multi_thread")]
async fn continued_stream_whose_answer_stops_has_an_unknown_outcome(
    #[case] answer: &'static str,
    #[values(CutEnd::Close, CutEnd::LateReset)] end: CutEnd,
) {
    let record = CutRecord::default();
    let target = start_cutting_target("target-1", answer, &record).await;
    let fleet = TestFleet::start(Some(patient_plan()), &[&target]).await;
    assert_eq!(
        send(fleet.request("/resumable/x", "first")).await.status,
        200
    );

    let check = async |position| {
        let id = request_id(0, position, 0);
        let request = cut_request(&fleet, "/resumable/x", &id, position, end);
        let request = request
            .header("last-event", "1")
            .header("continues", "first");
        let answer = send(request).await;

        assert_eq!(answer.status, 502, "at {position}: {:?}", answer.body);
        assert_eq!(answer.outcome.as_deref(), Some("unknown"));
        assert_eq!(record.arrivals(&id).len(), 1);
    };
    check_each(0..answer_len(answer), check).await;
}

/// Guards against a body that looks complete although it stopped in the size of a chunk, in its
/// extension, in its data or in the trailer.
#[rstest]
#[case::buffered("/once/x", false)]
#[case::stream("/stream/x", true)]
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_stops_in_its_chunks_is_not_complete(
    #[case] path: &str,
    #[case] is_stream: bool,
    #[values(CutEnd::Close, CutEnd::Shutdown, CutEnd::Reset, CutEnd::LateReset)] end: CutEnd,
) {
    let record = CutRecord::default();
    let target = start_cutting_target("target-1", CHUNKED_EVENTS, &record).await;
    let fleet = TestFleet::start(Some(patient_plan()), &[&target]).await;
    let (len, head_len) = (answer_len(CHUNKED_EVENTS), head_len(CHUNKED_EVENTS));

    let check = async |position| {
        let id = request_id(0, position, 0);
        let answer = send(cut_request(&fleet, path, &id, position, end)).await;

        let seen = format!("at {position}: {} {:?}", answer.status, answer.body);
        match answer.status {
            200 => assert!(is_stream && answer.body.is_none(), "{seen}"),
            status => {
                assert_eq!(status, 502, "{seen}");
                assert_eq!(answer.outcome.as_deref(), Some("unknown"), "{seen}");
            }
        }
        assert_eq!(record.arrivals(&id).len(), 1, "{seen}");
    };
    check_each(head_len..len, check).await;

    let id = request_id(0, len, 0);
    let whole = send(cut_request(&fleet, path, &id, len, CutEnd::Close)).await;
    assert_eq!(whole.body.as_deref(), Some("id: 1\n\nid: 2\ndata: ab\n\n"));
    wait_until(|| record.open_count() == 0).await;
    assert_eq!(record.reuse_count(), 0);
}

/// Guards against a head that stops and looks like a whole answer to a caller of HTTP/1.0 or to one
/// that asks for the connection to be closed.
#[rstest]
#[case::closing("HTTP/1.1", "close", "502", 1)]
#[case::kept("HTTP/1.1", "keep-alive, close", "502", 1)]
#[case::old("HTTP/1.0", "close", "505", 0)]
#[case::old_and_kept("HTTP/1.0", "keep-alive, close", "505", 0)]
#[tokio::test(flavor = "multi_thread")]
async fn callers_without_kept_connections_see_the_failure(
    #[case] version: &str,
    #[case] connection: &str,
    #[case] status: &str,
    #[case] arrival_count: usize,
    #[values("/once/x", "/stream/x")] path: &str,
) {
    let record = CutRecord::default();
    let target = start_cutting_target("target-1", WITHOUT_LENGTH, &record).await;
    let fleet = TestFleet::start(Some(patient_plan()), &[&target]).await;

    let check = async |position| {
        let id = request_id(0, position, 0);
        let request = format!(
            "POST {path} {version}\r\nhost: mill.example\r\nrequest-id: {id}\r\nkey: secret\r\n\
             connection: {connection}\r\n{CUT_AT}: {position}\r\n{CUT_END}: close\r\n\
             content-length: 0\r\n\r\n"
        );
        let (answer, end) = exchange_bytes(fleet.relay.http(), request.as_bytes()).await;

        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        assert_eq!(
            head.split(' ').nth(1),
            Some(status),
            "at {position}: {head}"
        );
        assert!(body.contains("error"), "at {position}: {body}");
        let length = header(head, "content-length").map(|length| length.parse().unwrap());
        assert_eq!(length, Some(body.len()), "at {position}: {head}");
        assert!(end.is_ok(), "at {position}: {end:?}");
        assert_eq!(record.arrivals(&id).len(), arrival_count);
    };
    check_each(0..answer_len(WITHOUT_LENGTH), check).await;
}

/// Guards against a crash that is not counted because its target had begun the head of its answer.
#[rstest]
#[case::before_the_head(0)]
#[case::in_the_status_line(10)]
#[case::in_a_header(40)]
#[case::before_the_blank_line(60)]
#[tokio::test(flavor = "multi_thread")]
async fn crash_within_a_head_is_counted(#[case] position: usize) {
    let record = CutRecord::default();
    let target = start_crashing_target("target-1", WITH_LENGTH, &record).await;
    let fleet = TestFleet::start(Some(patient_plan()), &[&target]).await;

    let id = request_id(0, position, 0);
    let answer = send(cut_request(&fleet, "/once/x", &id, position, CutEnd::Close)).await;

    assert_eq!(answer.status, 502, "{:?}", answer.body);
    wait_until(|| fleet.counter("target_crashes") == 1).await;
}
