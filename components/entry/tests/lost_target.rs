//! Targets that crash while they send a response.

mod common;

use std::time::Duration;

use agent::TargetKind;
use common::target::FakeTarget;
use common::{
    Caller, EVENT_TIMEOUT, Fleet, expected_tokens, header_value, parse_tokens, read_tokens,
    wait_until,
};
use entry::EntryLimits;

/// Appends the rest of a body to `text`, and returns whether the body broke off.
async fn read_to_end(response: &mut reqwest::Response, text: &mut String) -> bool {
    let reading = async {
        loop {
            match response.chunk().await {
                Ok(Some(chunk)) => text.push_str(std::str::from_utf8(&chunk).unwrap()),
                Ok(None) => return false,
                Err(_) => return true,
            }
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, reading).await.unwrap()
}

/// Guards against a stream that ends as if it were complete after its engine crashed, and against a
/// retry after a part of the response was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_crashed_engine_ends_with_error() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(20).await;
    let other_target = FakeTarget::start(100).await;
    let _agent = fleet
        .start_agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(60, true).await;
    let mut text = String::new();
    read_tokens(&mut response, &mut text, 20).await;
    let _other_agent = fleet
        .start_agent(
            "agent-2",
            "stone-advice",
            TargetKind::Model,
            other_target.address,
        )
        .await;

    drop(target);
    let has_failed = read_to_end(&mut response, &mut text).await;

    assert!(has_failed, "the stream ended without an error");
    assert_eq!(parse_tokens(&text), expected_tokens(20));
    assert!(!text.contains("[DONE]"), "{text}");
    let last_event = text.lines().rfind(|line| line.starts_with("data: "));
    let event: serde_json::Value =
        serde_json::from_str(last_event.unwrap().trim_start_matches("data: ")).unwrap();
    assert_eq!(event["error"]["outcome"], "unknown", "{text}");
    assert_eq!(other_target.count(|state| &state.requests), 0);
}

/// Guards against the text of an error that is joined to an event which its engine broke off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn error_is_not_written_into_a_broken_event() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(100).await;
    let breaks = &target.state.breaks_inside_event;
    breaks.store(true, std::sync::atomic::Ordering::SeqCst);
    let _agent = fleet
        .start_agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(5, true).await;

    let mut text = String::new();
    let has_failed = read_to_end(&mut response, &mut text).await;

    assert!(has_failed, "the stream ended without an error");
    assert!(text.ends_with("data: {\"cho"), "{text}");
}

/// Guards against an unstreamed response that ends as if it were complete after its target crashed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unstreamed_response_of_crashed_target_is_truncated() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let mut response = Caller::new(&entry).get("/services/visits/large").await;
    response.chunk().await.unwrap().unwrap();

    drop(target);
    let read_to_end = async {
        loop {
            match response.chunk().await {
                Ok(Some(_)) => {}
                Ok(None) => return false,
                Err(_) => return true,
            }
        }
    };
    let has_failed = tokio::time::timeout(EVENT_TIMEOUT, read_to_end)
        .await
        .unwrap();

    assert!(has_failed, "the response ended without an error");
}

/// Guards against a request that fails because its target crashed, although nothing was sent to the
/// caller and another target could serve it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_is_retried_when_nothing_was_sent() {
    let fleet = Fleet::new();
    let (target, other_target) = (FakeTarget::start(0).await, FakeTarget::start(1).await);
    let _agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let caller = Caller::new(&entry);
    let response = tokio::spawn(async move {
        let response = caller.get("/services/visits/held").await;
        response.text().await.unwrap()
    });
    wait_until("the request is at the target", || {
        target.count(|state| &state.requests) == 1
    })
    .await;
    let _other_agent = fleet
        .start_agent("agent-2", "visits", TargetKind::Plain, other_target.address)
        .await;

    drop(target);
    let response = tokio::time::timeout(EVENT_TIMEOUT, response).await.unwrap();

    assert_eq!(response.unwrap(), "held");
    assert_eq!(other_target.count(|state| &state.requests), 1);
}

/// Guards against callers that are told that their request did not run, when its first attempt may
/// have run at a target that crashed and no other target took the second one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_without_a_second_target_has_an_unknown_outcome() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let limits = EntryLimits {
        request_timeout: Duration::from_secs(2),
        ..EntryLimits::default()
    };
    let entry = fleet.start_entry_with_limits("entry-1", limits).await;
    let caller = Caller::new(&entry);
    let response = tokio::spawn(async move { caller.get("/services/visits/held").await });
    wait_until("the request is at the target", || {
        target.count(|state| &state.requests) == 1
    })
    .await;

    drop(target);
    let response = tokio::time::timeout(EVENT_TIMEOUT, response).await.unwrap();

    let outcome = header_value(&response.unwrap(), "bilberry-outcome");
    assert_eq!(outcome, "unknown");
}
