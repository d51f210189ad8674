//! Requests on the complete path from an HTTP client through entry and agent to a target.

mod common;

use agent::TargetKind;
use common::target::FakeTarget;
use common::{Caller, Fleet, expected_tokens, header_value, parse_tokens};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streamed_chat_arrives_complete() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(1000).await;
    let _agent = fleet
        .start_agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;

    let response = Caller::new(&entry).chat(100, true).await;

    assert_eq!(response.status(), 200);
    assert_eq!(header_value(&response, "content-type"), "text/event-stream");
    assert_eq!(
        parse_tokens(&response.text().await.unwrap()),
        expected_tokens(100)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unstreamed_chat_and_plain_read_arrive() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _model = fleet
        .start_agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let _plain = fleet
        .start_agent("agent-2", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let caller = Caller::new(&entry);

    let chat: serde_json::Value =
        serde_json::from_str(&caller.chat(3, false).await.text().await.unwrap()).unwrap();
    let read = caller.get("/services/visits/stones/7?full=1").await;

    assert_eq!(chat["choices"][0]["message"]["content"], "t0 t1 t2 ");
    assert_eq!(read.text().await.unwrap(), "read /stones/7?full=1");
}

/// Guards against a resent order that is executed again or receives a different response, and
/// against a reused key that is accepted for another body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_order_runs_once() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(10).await;
    let _agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let caller = Caller::new(&entry);

    let first = caller.order("key-1", "visit").await.text().await.unwrap();
    common::wait_until("the outcome is recorded", || fleet.recorder.outcomes() == 1).await;
    let second = caller.order("key-1", "visit").await.text().await.unwrap();
    let other = caller.order("key-1", "another visit").await;

    assert_eq!(first, "order 1");
    assert_eq!(second, "order 1");
    assert_eq!(other.status(), 422);
    assert_eq!(header_value(&other, "bilberry-outcome"), "not-run");
    assert_eq!(target.count(|state| &state.orders), 1);
}
