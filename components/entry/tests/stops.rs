//! Graceful shutdowns, crashes, lost leases and callers that disconnect.

mod common;

use std::time::Duration;

use agent::TargetKind;
use common::target::FakeTarget;
use common::{
    Caller, Fleet, expected_tokens, header_value, parse_tokens, read_rest, read_tokens, wait_until,
};
use entry::EntryLimits;
use rstest::rstest;
use units::{ClockTime, DataCentreName, TargetName};

/// Guards against a leaving agent that aborts a stream or accepts new work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_agent_finishes_its_streams() {
    let fleet = Fleet::new();
    let (old_target, new_target) = (FakeTarget::start(5).await, FakeTarget::start(100).await);
    let leaving_agent = fleet
        .start_agent(
            "agent-1",
            "stone-advice",
            TargetKind::Model,
            old_target.address,
        )
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let caller = Caller::new(&entry);
    let mut response = caller.chat(30, true).await;
    let mut text = String::new();
    read_tokens(&mut response, &mut text, 5).await;
    let _new_agent = fleet
        .start_agent(
            "agent-2",
            "stone-advice",
            TargetKind::Model,
            new_target.address,
        )
        .await;

    let readiness_url = format!("http://{}/readyz", leaving_agent.health_address());
    let stop = tokio::spawn(leaving_agent.leave());
    while reqwest::get(&readiness_url).await.unwrap().status() == 200 {}
    let other = caller.chat(10, true).await.text().await.unwrap();
    old_target.state.permits.add_permits(25);
    read_rest(response, &mut text).await;
    stop.await.unwrap();

    assert_eq!(parse_tokens(&other), expected_tokens(10));
    assert_eq!(parse_tokens(&text), expected_tokens(30));
    assert_eq!(old_target.count(|state| &state.requests), 1);
}

/// Guards against a leaving entry that aborts a stream or accepts new work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_entry_finishes_its_streams() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let _agent = fleet
        .start_agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
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
    assert_eq!(header_value(&refused, "bilberry-outcome"), "not-run");
    assert_eq!(parse_tokens(&text), expected_tokens(30));
}

/// Reason why the agent may not accept new work.
#[derive(Debug, Clone, Copy)]
enum Restriction {
    LeaseEnded,
    DataCentreOut,
    TargetOut,
}

/// Guards against an agent that accepts new work without permission, because an entry with an
/// outdated view still offers it.
#[rstest]
#[case(Restriction::LeaseEnded)]
#[case(Restriction::DataCentreOut)]
#[case(Restriction::TargetOut)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_without_permission_accepts_no_new_work(#[case] restriction: Restriction) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let agent = fleet
        .start_agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let limits = EntryLimits {
        request_timeout: Duration::from_secs(10),
        ..EntryLimits::default()
    };
    let entry = fleet.start_entry_with_limits("entry-1", limits).await;
    let caller = Caller::new(&entry);
    let mut response = caller.chat(10, true).await;
    let mut text = String::new();
    read_tokens(&mut response, &mut text, 5).await;

    fleet.agent_view.write(|view| match restriction {
        Restriction::LeaseEnded => view.lease_end = ClockTime(0),
        Restriction::DataCentreOut => {
            let out_data_centres = &mut view.config.out_data_centres;
            out_data_centres.insert(DataCentreName::from("praha-1"));
        }
        Restriction::TargetOut => {
            let out_targets = &mut view.config.out_targets;
            out_targets.insert(TargetName::from("target-of-agent-1"));
        }
    });
    let readiness_url = format!("http://{}/readyz", agent.health_address());
    while reqwest::get(&readiness_url).await.unwrap().status() == 200 {}
    let refused = caller.chat(10, true);
    let running = async {
        target.state.permits.add_permits(5);
        read_rest(response, &mut text).await;
    };
    let (refused, ()) = tokio::join!(refused, running);

    assert_eq!(parse_tokens(&text), expected_tokens(10));
    assert_eq!(refused.status(), 504);
    assert_eq!(header_value(&refused, "bilberry-outcome"), "not-run");
    assert_eq!(target.count(|state| &state.requests), 1);
}

/// Guards against a target that continues to work for a caller that has disconnected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_of_disconnected_caller_is_cancelled() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let _agent = fleet
        .start_agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(10, true).await;
    read_tokens(&mut response, &mut String::new(), 5).await;

    drop(response);

    wait_until("the target's connection is closed", || {
        target.count(|state| &state.failed_connections) == 1
    })
    .await;
}

/// Guards against a request that fails because its agent crashed, although nothing was sent to the
/// caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_without_response_is_retried_at_another_agent() {
    let fleet = Fleet::new();
    let (lost_target, target) = (FakeTarget::start(0).await, FakeTarget::start(100).await);
    let first_agent = fleet
        .start_agent(
            "agent-1",
            "stone-advice",
            TargetKind::Model,
            lost_target.address,
        )
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let caller = Caller::new(&entry);
    let request = tokio::spawn(async move { caller.chat(10, true).await.text().await.unwrap() });
    wait_until("the request runs", || {
        lost_target.count(|state| &state.requests) == 1
    })
    .await;

    let _second_agent = fleet
        .start_agent("agent-2", "stone-advice", TargetKind::Model, target.address)
        .await;
    fleet.set_leaving("agent-1");
    first_agent.kill().await;

    assert_eq!(parse_tokens(&request.await.unwrap()), expected_tokens(10));
    assert_eq!(target.count(|state| &state.requests), 1);
}

/// Guards against runs that continue forever after their entry crashed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_of_crashed_entry_is_cancelled() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let _agent = fleet
        .start_agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(10, true).await;
    read_tokens(&mut response, &mut String::new(), 5).await;

    entry.kill().await;

    wait_until("the target's connection is closed", || {
        target.count(|state| &state.failed_connections) == 1
    })
    .await;
}

/// Guards against a request that waits for minutes at an entry that has lost its connection to
/// control, while other entries could serve it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_without_lease_refuses_waiting_requests() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(100).await;
    let _agent = fleet
        .start_agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    fleet.agent_view.write(|view| view.lease_end = ClockTime(0));

    let refuse_waiting = async {
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
            let (status, outcome) = (refused.status(), header_value(&refused, "bilberry-outcome"));
            // A request that arrives after the loss is refused immediately and is sent again.
            if refused.text().await.unwrap().contains("waited") {
                return (status, outcome);
            }
        }
    };
    let refused = tokio::time::timeout(Duration::from_secs(10), refuse_waiting).await;

    let (status, outcome) = refused.expect("the waiting request is refused before the timeout");
    assert_eq!((status.as_u16(), outcome.as_str()), (503, "not-run"));
    assert_eq!(target.count(|state| &state.requests), 0);
}
