//! Calls that may not be repeated, when entries, agents and targets fail.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agent::TargetKind;
use client::LEASE_TIME;
use common::recorder::RecorderLink;
use common::target::FakeTarget;
use common::{Caller, Fleet, header, until};
use entry::EntryLimits;
use units::{ManualClock, NodeName};

/// Guards against a second order when the entry that runs the first one dies, and against an
/// outcome that no later resend can learn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_of_a_dead_entry_is_found_at_its_agent() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _agent = fleet
        .agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let link = RecorderLink::new(fleet.recorder.clone());
    let first = fleet
        .entry_over("entry-1", EntryLimits::default(), link.clone())
        .await;
    let caller = Caller::new(&first);
    let broken = tokio::spawn(async move { caller.try_order("key-1", "visit").await });
    until("the order is at the target", || {
        target.count(|state| &state.orders) == 1
    })
    .await;

    link.cut.store(true, Ordering::SeqCst);
    first.kill().await;
    let second = fleet.entry("entry-2").await;
    let caller = Caller::new(&second);
    let running = caller.order("key-1", "visit").await;
    target.state.permits.add_permits(1);
    let found = loop {
        let response = caller.order("key-1", "visit").await;
        if response.status() != 409 {
            break response;
        }
    };

    assert_eq!(running.status(), 409);
    assert_eq!(header(&running, "bilberry-outcome"), "unknown");
    assert_eq!(found.text().await.unwrap(), "order 1");
    assert_eq!(target.count(|state| &state.orders), 1);
    broken.abort();
}

/// Guards against an order that is told as not run although the target counted it, and against a
/// repetition of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_of_a_lost_agent_is_unknown() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let agent = fleet
        .agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.entry("entry-1").await;
    let caller = Caller::new(&entry);
    let order = tokio::spawn(async move { caller.order("key-1", "visit").await });
    until("the order is at the target", || {
        target.count(|state| &state.orders) == 1
    })
    .await;

    agent.kill().await;
    let lost = order.await.unwrap();
    let _other = fleet
        .agent("agent-2", "visits", TargetKind::Plain, target.address)
        .await;
    until("the outcome is recorded", || fleet.recorder.ended() == 1).await;
    let again = Caller::new(&entry).order("key-1", "visit").await;

    assert_eq!(lost.status(), 502);
    assert_eq!(header(&lost, "bilberry-outcome"), "unknown");
    assert_eq!(again.status(), 409);
    assert_eq!(header(&again, "bilberry-outcome"), "unknown");
    assert_eq!(target.count(|state| &state.orders), 1);
}

/// Guards against an order that starts without a confirmed record.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_without_record_does_not_run() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(1).await;
    let _agent = fleet
        .agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let link = RecorderLink::new(fleet.recorder.clone());
    let entry = fleet
        .entry_over("entry-1", EntryLimits::default(), link.clone())
        .await;
    let caller = Caller::new(&entry);

    link.cut.store(true, Ordering::SeqCst);
    let refused = caller.order("key-1", "visit").await;
    link.cut.store(false, Ordering::SeqCst);
    let accepted = caller.order("key-1", "visit").await;

    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "bilberry-outcome"), "not-run");
    assert_eq!(accepted.text().await.unwrap(), "order 1");
}

/// Guards against an order that dies with its caller, so that its outcome is never recorded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_of_a_caller_that_is_gone_is_recorded() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _agent = fleet
        .agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.entry("entry-1").await;
    let caller = Caller::new(&entry);
    let order = tokio::spawn(async move { caller.try_order("key-1", "visit").await });
    until("the order is at the target", || {
        target.count(|state| &state.orders) == 1
    })
    .await;

    order.abort();
    target.state.permits.add_permits(1);
    until("the outcome is recorded", || fleet.recorder.ended() == 1).await;
    let again = Caller::new(&entry).order("key-1", "visit").await;

    assert_eq!(again.text().await.unwrap(), "order 1");
    assert_eq!(target.count(|state| &state.orders), 1);
}

/// Longest time that a call can run at its agent: its deadline, and 30 s in which its outcome is
/// still learned.
const REQUEST_TIME: Duration = Duration::from_secs(10);
const RUN_TIME: Duration = Duration::from_secs(10 + 30);

/// Code of an error.
async fn code(response: reqwest::Response) -> String {
    let body: serde_json::Value = response.json().await.unwrap();
    body["error"]["code"].as_str().unwrap().into()
}

/// Guards against a call that stays in progress for an hour after its agent was lost for good, and
/// against one that is given up while its agent may still run it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_of_an_agent_that_stays_lost_becomes_unknown() {
    let clock = ManualClock::default();
    let mut fleet = Fleet::new();
    fleet.clock = Arc::new(clock.clone());
    let (target, other) = (FakeTarget::start(0).await, FakeTarget::start(9).await);
    let agent = fleet
        .agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let limits = EntryLimits {
        request_timeout: REQUEST_TIME,
        ..EntryLimits::default()
    };
    let link = RecorderLink::new(fleet.recorder.clone());
    let first = fleet
        .entry_over("entry-1", limits.clone(), link.clone())
        .await;
    let caller = Caller::new(&first);
    let broken = tokio::spawn(async move { caller.try_order("key-1", "visit").await });
    until("the order is at the target", || {
        target.count(|state| &state.orders) == 1
    })
    .await;

    link.cut.store(true, Ordering::SeqCst);
    first.kill().await;
    agent.kill().await;
    fleet.view.write(|view| {
        view.directory.remove(&NodeName::from("agent-1"));
    });
    let _other = fleet
        .agent("agent-2", "visits", TargetKind::Plain, other.address)
        .await;
    let second = fleet.entry_with("entry-2", limits).await;
    let caller = Caller::new(&second);
    let found_lost = code(caller.order("key-1", "visit").await).await;
    clock.advance(RUN_TIME);
    let while_it_may_run = code(caller.order("key-1", "visit").await).await;
    clock.advance(LEASE_TIME);
    let after = code(caller.order("key-1", "visit").await).await;

    assert_eq!([found_lost, while_it_may_run], ["in-progress"; 2]);
    assert_eq!(after, "unknown");
    assert_eq!(fleet.recorder.ended(), 1);
    assert_eq!(other.count(|state| &state.orders), 0);
    broken.abort();
}
