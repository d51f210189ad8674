//! Answers of targets: whole, broken, of another request, or none.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use common::{TargetStep, TestFleet, TestTarget, answer, header, plan, whole};
use rstest::rstest;

/// Guards against changed bytes, keys that targets see, and requests without a named target.
#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_is_passed_on() {
    let script = Arc::new(|head: &str| TargetStep::Write(answer(head, "booked")));
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

/// Guards against refusals that leave it open whether the request ran, and against routes and keys
/// that no plan has.
#[rstest]
#[case::no_route("/nothing/x", "secret", 404)]
#[case::unknown_key("/once/x", "stolen", 401)]
#[tokio::test(flavor = "multi_thread")]
async fn what_the_plan_does_not_allow_is_refused(
    #[case] path: &str,
    #[case] key: &str,
    #[case] expected: u16,
) {
    let script = Arc::new(|head: &str| TargetStep::Write(answer(head, "booked")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let request = fleet.client.post(fleet.url(path)).header("key", key);
    let response = request.send().await.unwrap();

    assert_eq!(response.status().as_u16(), expected);
    assert_eq!(response.headers()["bilberry-outcome"], "not-run");
    assert_eq!(target.arrivals(), 0);
}

/// Guards against 404 of an entry that has not heard of any plan yet.
#[tokio::test(flavor = "multi_thread")]
async fn entry_without_a_plan_is_unavailable() {
    let fleet = TestFleet::start(None, &[]).await;

    let response = fleet.request("/once/x", "r1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 503);
    assert!(response.headers().contains_key("retry-after"));
}

/// Guards against an answer that belongs to another request.
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_another_request_reaches_no_caller() {
    let script = Arc::new(|_: &str| TargetStep::Write(whole(200, "another", "not yours")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request("/once/x", "r1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 502);
    assert_eq!(response.headers()["bilberry-outcome"], "unknown");
    assert_eq!(target.arrivals(), 1);
}

/// Guards against a second answer on a connection that is taken for that of the next request.
#[tokio::test(flavor = "multi_thread")]
async fn extra_answer_is_not_given_to_the_next_request() {
    let script = Arc::new(|head: &str| {
        let mut bytes = answer(head, "first");
        bytes.extend(whole(200, "extra", "extra"));
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

/// Guards against a cut answer that looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_is_a_failure() {
    let script = Arc::new(|head: &str| {
        let bytes = answer(head, "a long answer");
        TargetStep::Close(bytes[..bytes.len() - 4].to_vec())
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request("/once/x", "r1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 502);
    assert_eq!(target.arrivals(), 1);
}

/// Guards against a stream that ends as complete although its target broke off.
#[tokio::test(flavor = "multi_thread")]
async fn cut_stream_breaks_visibly() {
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

/// Guards against a request that may not be repeated and reaches a second target, and against one
/// that may and does not.
#[rstest]
#[case::once("/once/x", 502, 1)]
#[case::again("/again/x", 200, 2)]
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_retried_only_if_the_route_allows(
    #[case] path: &str,
    #[case] status: u16,
    #[case] arrivals: usize,
) {
    let first = Arc::new(std::sync::atomic::AtomicBool::new(true));
    let script: common::TargetScript =
        Arc::new(
            move |head: &str| match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
                true => TargetStep::Close(Vec::new()),
                false => TargetStep::Write(answer(head, "done")),
            },
        );
    let one = TestTarget::start("target-1", script.clone()).await;
    let two = TestTarget::start("target-2", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&one, &two]).await;

    let response = fleet.request(path, "r1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), status);
    assert_eq!(one.arrivals() + two.arrivals(), arrivals);
}

/// Guards against a refusal of a full target that ends a request which another one could serve, and
/// against one that is told as anything but not run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_request_goes_to_another_target_and_ends_as_not_run() {
    let script: common::TargetScript = Arc::new(|_: &str| {
        TargetStep::Write(b"HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n".to_vec())
    });
    let one = TestTarget::start("target-1", script.clone()).await;
    let two = TestTarget::start("target-2", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&one, &two]).await;

    let response = fleet.request("/once/x", "r1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()["bilberry-outcome"], "not-run");
    assert_eq!((one.arrivals(), two.arrivals()), (1, 1));
}

/// Guards against a target's own failure that is replaced by one of the relay because no other target
/// can run the request again.
#[tokio::test(flavor = "multi_thread")]
async fn failure_of_the_only_target_is_passed_on() {
    let script = Arc::new(|head: &str| {
        let id = header(head, "request-id").unwrap();
        TargetStep::Write(whole(500, id, "no disk"))
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request("/again/x", "r1").send().await.unwrap();

    let (status, body) = (response.status(), response.text().await.unwrap());
    assert_eq!((status.as_u16(), body.as_str()), (500, "no disk"));
    assert_eq!(target.arrivals(), 1);
}

/// Guards against work for a caller that has left.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_leaves_ends_the_work() {
    let script = Arc::new(|_: &str| TargetStep::Hang(Vec::new()));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let sending = fleet.request("/once/x", "r1").send();
    let left = tokio::time::timeout(Duration::from_millis(200), sending).await;
    target.wait_closed().await;

    assert!(left.is_err());
    assert_eq!(target.arrivals(), 1);
}

/// Guards against a caller that is kept waiting past the timeout of its route.
#[tokio::test(flavor = "multi_thread")]
async fn silent_target_ends_at_the_timeout() {
    let script = Arc::new(|_: &str| TargetStep::Hang(Vec::new()));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request("/once/x", "r1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 504);
    assert_eq!(response.headers()["bilberry-outcome"], "unknown");
}

/// Guards against work for a caller that left before its request was read.
#[tokio::test(flavor = "current_thread")]
async fn request_whose_caller_left_before_it_was_read_is_not_sent() {
    let script = Arc::new(|head: &str| TargetStep::Write(answer(head, "booked")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    // The relay shares this thread, so it reads nothing before the caller has gone.
    let mut caller = std::net::TcpStream::connect(fleet.relay.http()).unwrap();
    let request = "POST /again/x HTTP/1.1\r\nhost: mill.example\r\nrequest-id: r1\r\nkey: secret\r\n\
                   content-length: 5\r\n\r\norder";
    caller.write_all(request.as_bytes()).unwrap();
    drop(caller);

    // Another request passes after it.
    let response = fleet.request("/again/x", "r2").send().await.unwrap();
    assert_eq!(response.status().as_u16(), 200);
    let heads = target.heads.lock().unwrap();
    let ids: Vec<_> = heads
        .iter()
        .map(|head| header(head, "request-id"))
        .collect();
    assert_eq!(ids, [Some("r2")]);
}

/// Guards against requests that an overloaded entry accepts and answers late, while other entries are
/// free.
#[tokio::test(flavor = "current_thread")]
async fn entry_that_is_behind_sends_its_callers_on() {
    /// Work of one task. The runtime polls 61 tasks before it looks at connections again, so that a
    /// turn takes more than a third of the route's objective of 500 ms.
    const WORK: Duration = Duration::from_millis(3);
    let script = Arc::new(|head: &str| TargetStep::Write(answer(head, "booked")));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let busy = tokio::spawn(std::future::poll_fn(|context| {
        std::thread::sleep(WORK);
        context.waker().wake_by_ref();
        std::task::Poll::<()>::Pending
    }));

    let response = fleet.request("/once/x", "r1").send().await.unwrap();

    busy.abort();
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()["bilberry-outcome"], "not-run");
    assert!(response.headers().contains_key("retry-after"));
    let body = response.text().await.unwrap();
    assert!(body.contains("entry-busy"), "{body}");
    assert_eq!(target.arrivals(), 0);
}
