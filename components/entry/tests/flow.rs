//! Flow control and usage across the path.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use agent::TargetKind;
use common::target::{FakeTarget, LARGE_SIZE};
use common::{Caller, Fleet, until};
use tokio::task::JoinSet;
use units::CostUnits;
use wire::FlowKey;

/// Time without growth after which the target counts as held.
const HELD_TIME: Duration = Duration::from_millis(500);

/// Guards against a slow caller whose response piles up in the entry or the agent, and against a
/// large response that arrives incomplete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_caller_holds_the_target() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _agent = fleet
        .agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.entry("entry-1").await;
    let written = || target.state.written.load(Ordering::SeqCst);

    let response = Caller::new(&entry).get("/services/visits/large").await;
    let mut held = 0;
    while held == 0 || written() > held {
        held = written();
        tokio::time::sleep(HELD_TIME).await;
    }
    let body = response.bytes().await.unwrap();

    assert!(held < LARGE_SIZE / 2, "{held} bytes on the way");
    assert_eq!(body.len(), LARGE_SIZE);
    assert!(body.iter().all(|byte| *byte == b'x'));
}

/// Guards against agents that know only the service of their own target, and against usage that is
/// lost when the control node that is the flow's home falls silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agents_learn_the_sum_of_their_service() {
    let mut fleet = Fleet::new();
    let mut homes = vec![fleet.home("control-1"), fleet.home("control-2")];
    fleet.controls = homes.iter().map(|home| home.address).collect();
    let targets = [FakeTarget::start(100).await, FakeTarget::start(50).await];
    let (service, kind) = ("stone-advice", TargetKind::Model);
    let first = fleet.agent("agent-1", service, kind, targets[0].address);
    let second = fleet.agent("agent-2", service, kind, targets[1].address);
    let (first, second) = tokio::join!(first, second);
    let entry = fleet.entry("entry-1").await;
    let flow = FlowKey {
        organisation: "mlyn-hora".into(),
        service: service.into(),
    };
    let totals = || [first.usage_total(&flow), second.usage_total(&flow)];

    // More requests than slots, so that both agents hold offers of the flow. Tokens are few, so
    // that none ends.
    let mut callers = JoinSet::new();
    for _ in 0..12 {
        let caller = Caller::new(&entry);
        callers.spawn(async move {
            let mut response = caller.chat(200, true).await;
            while let Ok(Some(_)) = response.chunk().await {}
        });
    }
    until("both agents know the sum", || {
        totals() == [CostUnits(150); 2]
    })
    .await;
    let home = homes.iter().position(|home| home.flows() > 0);
    homes.remove(home.expect("a home")).kill().await;
    targets[0].state.permits.add_permits(10);

    until("the next home knows the sum", || {
        totals() == [CostUnits(160); 2]
    })
    .await;
    assert_eq!(homes[0].flows(), 1);
}
