//! Way of a response to its caller.

use std::time::Duration;

use entry::ResponseSink;
use rstest::rstest;
use wire::{HeaderField, ResponseHead};

/// Sink that has passed on a body of some length under a head that announces another, and whose
/// parts the HTTP server has dropped.
async fn dropped_sink(announced: Option<usize>, passed: usize) -> ResponseSink {
    let (mut sink, parts) = ResponseSink::new();
    let headers = announced.map(|length| HeaderField::new("content-length", &length.to_string()));
    sink.set_head(ResponseHead {
        status: 200,
        headers: headers.into_iter().collect(),
    });
    sink.send_body(vec![7; passed]).await;
    drop(parts);
    sink
}

/// Guards against a complete run that is cancelled because the server drops the parts as soon as
/// the announced length is written, and against a caller that leaves early and is not noticed.
#[rstest]
#[case::complete(Some(10), 10, false)]
#[case::incomplete(Some(10), 9, true)]
#[case::without_length(None, 10, true)]
#[tokio::test(start_paused = true)]
async fn only_an_early_end_is_a_caller_that_left(
    #[case] announced: Option<usize>,
    #[case] passed: usize,
    #[case] left: bool,
) {
    let sink = dropped_sink(announced, passed).await;

    let closed = tokio::time::timeout(Duration::from_secs(1), sink.closed()).await;

    assert_eq!(closed.is_ok(), left);
}
