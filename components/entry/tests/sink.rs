//! Detection of disconnected callers by the response sink.

use std::time::Duration;

use entry::ResponseSink;
use rstest::rstest;
use wire::{HeaderField, ResponseHead};

/// Creates a sink that has sent a head with the given `Content-Length` and `sent_bytes` bytes of
/// the body. Its receiver has been dropped, as the HTTP server does.
async fn dropped_sink(content_length: Option<usize>, sent_bytes: usize) -> ResponseSink {
    let (mut sink, parts) = ResponseSink::new();
    let headers =
        content_length.map(|length| HeaderField::new("content-length", &length.to_string()));
    sink.set_head(ResponseHead {
        status: 200,
        headers: headers.into_iter().collect(),
    });
    sink.send_body(vec![7; sent_bytes]).await;
    drop(parts);
    sink
}

/// Guards against a complete run that is cancelled because the server drops the receiver as soon as
/// it has written the whole body, and against an early disconnect that is not detected.
#[rstest]
#[case::complete(Some(10), 10, false)]
#[case::incomplete(Some(10), 9, true)]
#[case::without_length(None, 10, true)]
#[tokio::test(start_paused = true)]
async fn only_an_incomplete_body_means_a_disconnected_caller(
    #[case] content_length: Option<usize>,
    #[case] sent_bytes: usize,
    #[case] is_disconnected: bool,
) {
    let sink = dropped_sink(content_length, sent_bytes).await;

    let closed = tokio::time::timeout(Duration::from_secs(1), sink.closed()).await;

    assert_eq!(closed.is_ok(), is_disconnected);
}
