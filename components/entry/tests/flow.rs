//! Flow control and usage across the path.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use agent::TargetKind;
use common::target::{FakeTarget, LARGE_SIZE};
use common::{Caller, Fleet, until};
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

/// Guards against entries that know only the service of their own callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_learn_the_sum_of_their_service() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(150).await;
    let _agent = fleet
        .agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let (first, second) = (fleet.entry("entry-1").await, fleet.entry("entry-2").await);
    let flow = FlowKey {
        organisation: "mlyn-hora".into(),
        service: "stone-advice".into(),
    };

    let (one, two) = (Caller::new(&first), Caller::new(&second));
    let open = tokio::spawn(async move { tokio::join!(one.chat(200, true), two.chat(200, true)) });

    until("both entries know the sum", || {
        let totals = [first.usage_total(&flow), second.usage_total(&flow)];
        totals == [CostUnits(150); 2]
    })
    .await;
    open.abort();
}
