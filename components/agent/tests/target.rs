//! Tests of the HTTP client for the target.

use std::time::Duration;

use agent::{HttpTarget, TargetClient, TargetError, TargetRequest};
use futures_util::StreamExt;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use wire::RequestHead;

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
}

/// Starts a target that answers one request with these bytes and closes the connection. Returns its
/// URL.
async fn start_target(response: String) -> String {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    format!("http://{address}")
}

fn get_request() -> TargetRequest {
    TargetRequest {
        head: RequestHead {
            method: "GET".into(),
            path: "/".into(),
            headers: Vec::new(),
        },
        body: Vec::new(),
        is_repeatable: true,
        trace: None,
    }
}

/// Guards against the response to a HEAD request that counts as broken because no event follows it.
#[tokio::test]
async fn response_to_head_request_for_a_stream_is_complete() {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    let url = start_target(head.into()).await;
    let target = HttpTarget::new(&url).unwrap();
    let mut request = get_request();
    request.head.method = "HEAD".into();

    let response = target.send(request).await.unwrap();
    let parts: Vec<_> = response.body.collect().await;

    assert!(parts.is_empty(), "{parts:?}");
}

/// Guards against a stream without a length that looks complete although its target ended it inside
/// an event, or before the first one.
#[rstest]
#[case::after_an_event("data: a\n\ndata: b\n\n", true)]
#[case::inside_an_event("data: a\n\ndata: b\n", false)]
#[case::before_the_first_event("", false)]
#[tokio::test]
async fn stream_without_a_length_is_complete_after_an_event(
    #[case] events: &str,
    #[case] is_complete: bool,
) {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    let url = start_target(format!("{head}{events}")).await;
    let target = HttpTarget::new(&url).unwrap();

    let response = target.send(get_request()).await.unwrap();
    let parts: Vec<_> = response.body.collect().await;

    let last = parts.last();
    let is_lost = matches!(last, Some(Err(TargetError::Lost(_))));
    assert_eq!(!is_lost, is_complete, "{parts:?}");
}

/// Starts a target that answers one request before it has read the body, and resets the connection after a
/// time. Returns its URL.
async fn start_resetting_target(response: &'static str, reset_after: Duration) -> String {
    let socket = TcpSocket::new_v4().unwrap();
    // Most of a long body is unsent when the target answers.
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(response.as_bytes()).await.unwrap();
        tokio::time::sleep(reset_after).await;
        stream.set_zero_linger().unwrap();
    });
    format!("http://{address}")
}

/// Guards against a part of an answer that looks complete, because the connection was reset while the
/// request was still being written.
#[rstest]
#[tokio::test]
async fn early_answer_that_is_reset_is_not_complete(
    #[values(
        "HTTP/1.1 200 OK\r\n\r\npart of a body",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: a\n\n"
    )]
    answer: &'static str,
    #[values(0, 5, 200)] reset_after_ms: u64,
    #[values(true, false)] is_repeatable: bool,
) {
    let url = start_resetting_target(answer, Duration::from_millis(reset_after_ms)).await;
    let target = HttpTarget::new(&url).unwrap();
    let mut request = get_request();
    request.head.method = "POST".into();
    request.body = vec![b'x'; 6 << 20];
    request.is_repeatable = is_repeatable;

    let Ok(response) = target.send(request).await else {
        return;
    };
    let parts: Vec<_> = response.body.collect().await;

    assert!(
        matches!(parts.last(), Some(Err(TargetError::Lost(_)))),
        "{parts:?}"
    );
}

/// Guards against an answer whose status is no status of HTTP.
#[rstest]
#[tokio::test]
async fn answer_without_a_status_is_lost(
    #[values("000", "00", "099", "0200", "20", "abc", "-20", "2000", "+200", "")] status: &str,
) {
    let url = start_target(format!(
        "HTTP/1.1 {status} OK\r\ncontent-length: 4\r\n\r\ndone"
    ))
    .await;
    let target = HttpTarget::new(&url).unwrap();

    let result = target.send(get_request()).await;

    assert!(matches!(result, Err(TargetError::Lost(_))));
}
