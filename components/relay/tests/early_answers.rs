//! Targets that answer before they have read a long body and then reset the connection, and answers
//! whose status is none.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{TestFleet, TestTarget, header, ok_response, plan, read_head, read_request};
use routes::RoutePlan;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use units::ByteSize;

/// Size of an upload, more than what the buffers of a connection on loopback take.
const UPLOAD_BYTES: usize = 6 << 20;

/// Receive buffer of the target, so that most of an upload is unsent when it answers.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// Answer without a length to an upload, and when the connection is reset after it.
#[derive(Clone, Copy)]
struct EarlyAnswer {
    /// `ID` stands for the id of the request.
    text: &'static str,
    reset_after: Duration,
    /// Number of requests that a connection serves before an upload.
    served_before: usize,
}

fn listener() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    socket.listen(16).unwrap()
}

/// Serves short requests, and answers an upload before it has read its body.
async fn serve(mut stream: TcpStream, answer: EarlyAnswer, uploads: &AtomicUsize) -> Option<()> {
    for _ in 0..answer.served_before {
        let head = read_request(&mut stream).await?;
        stream.write_all(&ok_response(&head, "done")).await.ok()?;
    }
    let head = read_head(&mut stream).await?;
    uploads.fetch_add(1, Ordering::SeqCst);
    let text = answer.text.replace("ID", header(&head, "request-id")?);
    stream.write_all(text.as_bytes()).await.ok()?;
    tokio::time::sleep(answer.reset_after).await;
    // Closing a socket with unread bytes and no linger time resets the connection.
    stream.set_zero_linger().ok()
}

async fn start_target(answer: EarlyAnswer, uploads: &Arc<AtomicUsize>) -> TestTarget {
    let listener = listener();
    let target = TestTarget::at("target-1", listener.local_addr().unwrap());
    let uploads = uploads.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let uploads = uploads.clone();
            tokio::spawn(async move { serve(stream, answer, &uploads).await });
        }
    });
    target
}

/// A plan that allows uploads.
fn upload_plan() -> RoutePlan {
    let mut plan = plan();
    plan.bounds.max_body = ByteSize(UPLOAD_BYTES as u64);
    plan
}

const TEXT: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nx-response-signature: 3e1b\r\n\r\n\
                    part of a body";

const EVENT: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-type: text/event-stream\r\n\
                     x-response-signature: 3e1b\r\n\r\nid: 1\ndata: a\n\n";

/// Guards against a part of an answer that looks complete, because the connection was reset while the
/// request was still being written.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_that_is_reset_is_not_complete(
    #[values("/once/x", "/again/x", "/stream/x", "/resumable/x")] path: &str,
    #[values(TEXT, EVENT)] text: &'static str,
    #[values(0, 5, 200)] reset_after_ms: u64,
    #[values(0, 1)] served_before: usize,
) {
    let uploads = Arc::default();
    let answer = EarlyAnswer {
        text,
        reset_after: Duration::from_millis(reset_after_ms),
        served_before,
    };
    let target = start_target(answer, &uploads).await;
    let fleet = TestFleet::start(Some(upload_plan()), &[&target]).await;
    for round in 0..served_before {
        let id = format!("short-{round}");
        let response = fleet.request("/again/x", &id).send().await.unwrap();
        assert_eq!(response.text().await.unwrap(), "done");
    }

    let request = fleet.request(path, "upload");
    let response = request.body(vec![b'x'; UPLOAD_BYTES]).send().await.unwrap();

    let status = response.status().as_u16();
    let body = response.text().await.ok();
    assert!(uploads.load(Ordering::SeqCst) > 0, "no upload arrived");
    assert!(
        status == 502 || body.is_none(),
        "status {status} with {body:?}"
    );
}

/// Guards against an answer whose status is no status of HTTP.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_without_a_status_is_a_failure(
    #[values("000", "00", "099", "0200", "20", "abc", "-20", "2000", "+200", "")] status: &str,
    #[values("/once/x", "/stream/x")] path: &str,
) {
    let text = format!("HTTP/1.1 {status} OK\r\nrequest-id: ID\r\ncontent-length: 4\r\n\r\ndone");
    let answer = EarlyAnswer {
        text: text.leak(),
        reset_after: Duration::from_millis(5),
        served_before: 0,
    };
    let target = start_target(answer, &Arc::default()).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let response = fleet.request(path, "r1").send().await.unwrap();

    assert_eq!(response.status(), 502);
    assert!(response.text().await.unwrap().contains("error"));
}
