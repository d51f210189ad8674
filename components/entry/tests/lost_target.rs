//! Targets that die while they answer.

mod common;

use agent::TargetKind;
use common::target::FakeTarget;
use common::{Caller, Fleet, PATIENCE, expected_tokens, read_tokens, tokens, until};

/// Guards against a stream that ends as if it were complete when its engine died, and against one
/// that is repeated after a part was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_a_dead_engine_ends_with_an_error() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(20).await;
    let other = FakeTarget::start(100).await;
    let _agent = fleet
        .agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(60, true).await;
    let mut text = String::new();
    read_tokens(&mut response, &mut text, 20).await;
    let _other = fleet
        .agent("agent-2", "stone-advice", TargetKind::Model, other.address)
        .await;

    drop(target);
    let reading = async {
        loop {
            match response.chunk().await {
                Ok(Some(chunk)) => text.push_str(std::str::from_utf8(&chunk).unwrap()),
                Ok(None) => return false,
                Err(_) => return true,
            }
        }
    };
    let broken = tokio::time::timeout(PATIENCE, reading).await.unwrap();

    assert!(broken, "the stream ended as if it were complete");
    assert_eq!(tokens(&text), expected_tokens(20));
    assert!(!text.contains("[DONE]"), "{text}");
    let last = text.lines().rfind(|line| line.starts_with("data: "));
    let event: serde_json::Value =
        serde_json::from_str(last.unwrap().trim_start_matches("data: ")).unwrap();
    assert_eq!(event["error"]["outcome"], "unknown", "{text}");
    assert_eq!(other.count(|state| &state.requests), 0);
}

/// Guards against a whole answer that ends as if it were complete when its target died.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_answer_of_a_dead_target_breaks_off() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _agent = fleet
        .agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.entry("entry-1").await;
    let mut response = Caller::new(&entry).get("/services/visits/large").await;
    response.chunk().await.unwrap().unwrap();

    drop(target);
    let reading = async {
        loop {
            match response.chunk().await {
                Ok(Some(_)) => {}
                Ok(None) => return false,
                Err(_) => return true,
            }
        }
    };
    let broken = tokio::time::timeout(PATIENCE, reading).await.unwrap();

    assert!(broken, "the answer ended as if it were complete");
}

/// Guards against a request that fails with its target although another could answer it and
/// nothing was sent to its caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_answer_is_retried_when_nothing_was_sent() {
    let fleet = Fleet::new();
    let (target, other) = (FakeTarget::start(0).await, FakeTarget::start(1).await);
    let _agent = fleet
        .agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.entry("entry-1").await;
    let caller = Caller::new(&entry);
    let answer = tokio::spawn(async move {
        let response = caller.get("/services/visits/held").await;
        response.text().await.unwrap()
    });
    until("the request is at the target", || {
        target.count(|state| &state.requests) == 1
    })
    .await;
    let _other = fleet
        .agent("agent-2", "visits", TargetKind::Plain, other.address)
        .await;

    drop(target);
    let answer = tokio::time::timeout(PATIENCE, answer).await.unwrap();

    assert_eq!(answer.unwrap(), "held");
    assert_eq!(other.count(|state| &state.requests), 1);
}
