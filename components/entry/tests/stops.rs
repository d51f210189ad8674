//! Planned stops, lost leases and callers that go away.

mod common;

use std::time::Duration;

use agent::TargetKind;
use common::target::FakeTarget;
use common::{Caller, Fleet, expected_tokens, header, read_rest, read_tokens, tokens, until};
use entry::EntryLimits;
use rstest::rstest;
use units::{ClockTime, DataCentreName, TargetName};

/// Guards against a stop of an agent that cuts a stream or takes new work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_agent_finishes_its_streams() {
    let fleet = Fleet::new();
    let (old, new) = (FakeTarget::start(5).await, FakeTarget::start(100).await);
    let leaving = fleet
        .agent("agent-1", "stone-advice", TargetKind::Model, old.address)
        .await;
    let entry = fleet.entry("entry-1").await;
    let caller = Caller::new(&entry);
    let mut response = caller.chat(30, true).await;
    let mut text = String::new();
    read_tokens(&mut response, &mut text, 5).await;
    let _staying = fleet
        .agent("agent-2", "stone-advice", TargetKind::Model, new.address)
        .await;

    let health = format!("http://{}/readyz", leaving.health_address());
    let stop = tokio::spawn(leaving.leave());
    while reqwest::get(&health).await.unwrap().status() == 200 {}
    let other = caller.chat(10, true).await.text().await.unwrap();
    old.state.permits.add_permits(25);
    read_rest(response, &mut text).await;
    stop.await.unwrap();

    assert_eq!(tokens(&other), expected_tokens(10));
    assert_eq!(tokens(&text), expected_tokens(30));
    assert_eq!(old.count(|state| &state.requests), 1);
}

/// Guards against a stop of an entry that cuts a stream or takes new work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_entry_finishes_its_streams() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let _agent = fleet
        .agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.entry("entry-1").await;
    let caller = Caller::new(&entry);
    let mut response = caller.chat(30, true).await;
    let mut text = String::new();
    read_tokens(&mut response, &mut text, 5).await;

    let stop = tokio::spawn(entry.leave());
    let refused = loop {
        let other = caller.get("/readyz").await;
        if other.status() == 503 {
            break caller.chat(10, true).await;
        }
    };
    target.state.permits.add_permits(25);
    read_rest(response, &mut text).await;
    stop.await.unwrap();

    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "bilberry-outcome"), "not-run");
    assert_eq!(tokens(&text), expected_tokens(30));
}

#[derive(Debug, Clone, Copy)]
enum Ban {
    Lease,
    DataCentre,
    Target,
}

/// Guards against an agent that takes new work which the entry, with an older view, still offers.
#[rstest]
#[case(Ban::Lease)]
#[case(Ban::DataCentre)]
#[case(Ban::Target)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_without_permission_takes_no_new_work(#[case] ban: Ban) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let agent = fleet
        .agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let limits = EntryLimits {
        request_timeout: Duration::from_secs(10),
        ..EntryLimits::default()
    };
    let entry = fleet.entry_with("entry-1", limits).await;
    let caller = Caller::new(&entry);
    let mut response = caller.chat(10, true).await;
    let mut text = String::new();
    read_tokens(&mut response, &mut text, 5).await;

    fleet.agent_view.write(|view| match ban {
        Ban::Lease => view.lease_end = ClockTime(0),
        Ban::DataCentre => {
            let out = &mut view.config.out_data_centres;
            out.insert(DataCentreName::from("praha-1"));
        }
        Ban::Target => {
            let out = &mut view.config.out_targets;
            out.insert(TargetName::from("target-of-agent-1"));
        }
    });
    let health = format!("http://{}/readyz", agent.health_address());
    while reqwest::get(&health).await.unwrap().status() == 200 {}
    let refused = caller.chat(10, true);
    let running = async {
        target.state.permits.add_permits(5);
        read_rest(response, &mut text).await;
    };
    let (refused, ()) = tokio::join!(refused, running);

    assert_eq!(tokens(&text), expected_tokens(10));
    assert_eq!(refused.status(), 504);
    assert_eq!(header(&refused, "bilberry-outcome"), "not-run");
    assert_eq!(target.count(|state| &state.requests), 1);
}

/// Guards against a target that goes on working for a caller that is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_disconnects_cancels_its_run() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let _agent = fleet
        .agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(10, true).await;
    read_tokens(&mut response, &mut String::new(), 5).await;

    drop(response);

    until("the target's connection is closed", || {
        target.count(|state| &state.broken) == 1
    })
    .await;
}

/// Guards against a request that is lost with the agent although nothing was sent to its caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_without_response_is_retried_elsewhere() {
    let fleet = Fleet::new();
    let (lost, target) = (FakeTarget::start(0).await, FakeTarget::start(100).await);
    let first = fleet
        .agent("agent-1", "stone-advice", TargetKind::Model, lost.address)
        .await;
    let entry = fleet.entry("entry-1").await;
    let caller = Caller::new(&entry);
    let request = tokio::spawn(async move { caller.chat(10, true).await.text().await.unwrap() });
    until("the request runs", || {
        lost.count(|state| &state.requests) == 1
    })
    .await;

    let _second = fleet
        .agent("agent-2", "stone-advice", TargetKind::Model, target.address)
        .await;
    fleet.set_leaving("agent-1");
    first.kill().await;

    assert_eq!(tokens(&request.await.unwrap()), expected_tokens(10));
    assert_eq!(target.count(|state| &state.requests), 1);
}

/// Guards against runs that go on for ever after their entry died.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_of_a_dead_entry_is_cancelled() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let _agent = fleet
        .agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(10, true).await;
    read_tokens(&mut response, &mut String::new(), 5).await;

    entry.kill().await;

    until("the target's connection is closed", || {
        target.count(|state| &state.broken) == 1
    })
    .await;
}

/// Guards against a request that waits for minutes at an entry that is cut off from control, while
/// other entries could serve it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_loses_its_lease_refuses_what_waits() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(100).await;
    let _agent = fleet
        .agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.entry("entry-1").await;
    fleet.agent_view.write(|view| view.lease_end = ClockTime(0));

    let refusing = async {
        loop {
            fleet
                .view
                .write(|view| view.lease_end = ClockTime(u64::MAX));
            let caller = Caller::new(&entry);
            let request = tokio::spawn(async move { caller.chat(10, true).await });
            tokio::task::yield_now().await;
            Caller::new(&entry).get("/readyz").await;
            fleet.view.write(|view| view.lease_end = ClockTime(0));
            let refused = request.await.unwrap();
            let (status, outcome) = (refused.status(), header(&refused, "bilberry-outcome"));
            // A request that comes after the loss is refused at once, and is asked again.
            if refused.text().await.unwrap().contains("waited") {
                return (status, outcome);
            }
        }
    };
    let refused = tokio::time::timeout(Duration::from_secs(10), refusing).await;

    let (status, outcome) = refused.expect("the waiting request is refused");
    assert_eq!((status.as_u16(), outcome.as_str()), (503, "not-run"));
    assert_eq!(target.count(|state| &state.requests), 0);
}
