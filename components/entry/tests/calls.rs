//! Calls that may not be repeated, under failures of entries, agents and control.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agent::TargetKind;
use client::LEASE_TIME;
use common::recorder::RecorderConnection;
use common::target::FakeTarget;
use common::{Caller, Fleet, header_value, wait_until};
use entry::EntryLimits;
use units::{ManualClock, NodeName};

/// Guards against a second execution of an order whose entry crashed while it ran, and against a
/// resend through another entry that does not receive the response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_of_crashed_entry_is_resumed_from_its_agent() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let connection = RecorderConnection::new(fleet.recorder.clone());
    let first_entry = fleet
        .start_entry_with_recorder("entry-1", EntryLimits::default(), connection.clone())
        .await;
    let caller = Caller::new(&first_entry);
    let interrupted_order = tokio::spawn(async move { caller.try_order("key-1", "visit").await });
    wait_until("the order is at the target", || {
        target.count(|state| &state.orders) == 1
    })
    .await;

    connection.is_interrupted.store(true, Ordering::SeqCst);
    first_entry.kill().await;
    let second_entry = fleet.start_entry("entry-2").await;
    let caller = Caller::new(&second_entry);
    let running_response = caller.order("key-1", "visit").await;
    target.state.permits.add_permits(1);
    let final_response = loop {
        let response = caller.order("key-1", "visit").await;
        if response.status() != 409 {
            break response;
        }
    };

    assert_eq!(running_response.status(), 409);
    assert_eq!(
        header_value(&running_response, "bilberry-outcome"),
        "unknown"
    );
    assert_eq!(final_response.text().await.unwrap(), "order 1");
    assert_eq!(target.count(|state| &state.orders), 1);
    interrupted_order.abort();
}

/// Guards against an order that is reported as not run although the target executed it, and against
/// a second execution when it is sent again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_of_crashed_agent_has_unknown_outcome() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let caller = Caller::new(&entry);
    let order = tokio::spawn(async move { caller.order("key-1", "visit").await });
    wait_until("the order is at the target", || {
        target.count(|state| &state.orders) == 1
    })
    .await;

    agent.kill().await;
    let lost_response = order.await.unwrap();
    let _other_agent = fleet
        .start_agent("agent-2", "visits", TargetKind::Plain, target.address)
        .await;
    wait_until("the outcome is recorded", || fleet.recorder.outcomes() == 1).await;
    let resent_response = Caller::new(&entry).order("key-1", "visit").await;

    assert_eq!(lost_response.status(), 502);
    assert_eq!(header_value(&lost_response, "bilberry-outcome"), "unknown");
    assert_eq!(resent_response.status(), 409);
    assert_eq!(
        header_value(&resent_response, "bilberry-outcome"),
        "unknown"
    );
    assert_eq!(target.count(|state| &state.orders), 1);
}

/// Guards against an order that runs although control did not confirm its record.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_without_confirmed_record_does_not_run() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(1).await;
    let _agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let connection = RecorderConnection::new(fleet.recorder.clone());
    let entry = fleet
        .start_entry_with_recorder("entry-1", EntryLimits::default(), connection.clone())
        .await;
    let caller = Caller::new(&entry);

    connection.is_interrupted.store(true, Ordering::SeqCst);
    let refused = caller.order("key-1", "visit").await;
    connection.is_interrupted.store(false, Ordering::SeqCst);
    let accepted = caller.order("key-1", "visit").await;

    assert_eq!(refused.status(), 503);
    assert_eq!(header_value(&refused, "bilberry-outcome"), "not-run");
    assert_eq!(accepted.text().await.unwrap(), "order 1");
}

/// Guards against an order that is cancelled when its caller disconnects, so that its outcome is
/// never recorded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_of_disconnected_caller_is_recorded() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let caller = Caller::new(&entry);
    let order = tokio::spawn(async move { caller.try_order("key-1", "visit").await });
    wait_until("the order is at the target", || {
        target.count(|state| &state.orders) == 1
    })
    .await;

    order.abort();
    target.state.permits.add_permits(1);
    wait_until("the outcome is recorded", || fleet.recorder.outcomes() == 1).await;
    let resent_response = Caller::new(&entry).order("key-1", "visit").await;

    assert_eq!(resent_response.text().await.unwrap(), "order 1");
    assert_eq!(target.count(|state| &state.orders), 1);
}

/// Request timeout of the entries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time that a call can run at its agent: the request timeout and another 30 s for which
/// the agent continues the call so that its outcome can be recorded.
const MAX_RUN_TIME: Duration = Duration::from_secs(10 + 30);

/// Code in the JSON body of a refusal.
async fn error_code(response: reqwest::Response) -> String {
    let body: serde_json::Value = response.json().await.unwrap();
    body["error"]["code"].as_str().unwrap().into()
}

/// Guards against a call that stays in progress for an hour after its agent was lost permanently,
/// and against an outcome that is reported as unknown while the agent may still run the call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_of_permanently_lost_agent_becomes_unknown() {
    let clock = ManualClock::default();
    let mut fleet = Fleet::new();
    fleet.clock = Arc::new(clock.clone());
    let (target, other_target) = (FakeTarget::start(0).await, FakeTarget::start(9).await);
    let agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let limits = EntryLimits {
        request_timeout: REQUEST_TIMEOUT,
        ..EntryLimits::default()
    };
    let connection = RecorderConnection::new(fleet.recorder.clone());
    let first_entry = fleet
        .start_entry_with_recorder("entry-1", limits.clone(), connection.clone())
        .await;
    let caller = Caller::new(&first_entry);
    let interrupted_order = tokio::spawn(async move { caller.try_order("key-1", "visit").await });
    wait_until("the order is at the target", || {
        target.count(|state| &state.orders) == 1
    })
    .await;

    connection.is_interrupted.store(true, Ordering::SeqCst);
    first_entry.kill().await;
    agent.kill().await;
    fleet.view.write(|view| {
        view.directory.remove(&NodeName::from("agent-1"));
    });
    let _other_agent = fleet
        .start_agent("agent-2", "visits", TargetKind::Plain, other_target.address)
        .await;
    let second_entry = fleet.start_entry_with_limits("entry-2", limits).await;
    let caller = Caller::new(&second_entry);
    let after_loss = error_code(caller.order("key-1", "visit").await).await;
    clock.advance(MAX_RUN_TIME);
    let while_it_may_run = error_code(caller.order("key-1", "visit").await).await;
    clock.advance(LEASE_TIME);
    let after_run_time = error_code(caller.order("key-1", "visit").await).await;

    assert_eq!([after_loss, while_it_may_run], ["in-progress"; 2]);
    assert_eq!(after_run_time, "unknown");
    assert_eq!(fleet.recorder.outcomes(), 1);
    assert_eq!(other_target.count(|state| &state.orders), 0);
    interrupted_order.abort();
}
