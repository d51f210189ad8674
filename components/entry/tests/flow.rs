//! Flow control of responses, and usage reports of agents through control.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use agent::TargetKind;
use common::target::{FakeTarget, LARGE_RESPONSE_BYTES};
use common::{Caller, Fleet, wait_until};
use tokio::task::JoinSet;
use units::CostUnits;
use wire::FlowKey;

/// Time without further writes after which the target counts as blocked.
const BLOCKED_TIME: Duration = Duration::from_millis(500);

/// Guards against a slow caller whose response is buffered without limit in the entry or the agent,
/// and against a large response that arrives incomplete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_caller_blocks_the_target() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let _agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let written_bytes = || target.state.written_bytes.load(Ordering::SeqCst);

    let response = Caller::new(&entry).get("/services/visits/large").await;
    let mut blocked_at_bytes = 0;
    while blocked_at_bytes == 0 || written_bytes() > blocked_at_bytes {
        blocked_at_bytes = written_bytes();
        tokio::time::sleep(BLOCKED_TIME).await;
    }
    let body = response.bytes().await.unwrap();

    assert!(
        blocked_at_bytes < LARGE_RESPONSE_BYTES / 2,
        "{blocked_at_bytes} bytes were buffered"
    );
    assert_eq!(body.len(), LARGE_RESPONSE_BYTES);
    assert!(body.iter().all(|byte| *byte == b'x'));
}

/// Guards against agents that know only the usage of their own target, and against usage that is
/// lost when the control node that adds up the flow's usage stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agents_learn_total_usage_of_their_service() {
    let mut fleet = Fleet::new();
    let mut homes = vec![fleet.start_home("control-1"), fleet.start_home("control-2")];
    fleet.controls = homes.iter().map(|home| home.address).collect();
    let targets = [FakeTarget::start(100).await, FakeTarget::start(50).await];
    let (service, kind) = ("stone-advice", TargetKind::Model);
    let first = fleet.start_agent("agent-1", service, kind, targets[0].address);
    let second = fleet.start_agent("agent-2", service, kind, targets[1].address);
    let (first, second) = tokio::join!(first, second);
    let entry = fleet.start_entry("entry-1").await;
    let flow = FlowKey {
        organisation: "mlyn-hora".into(),
        service: service.into(),
    };
    let totals = || [first.usage_total(&flow), second.usage_total(&flow)];

    // More requests than slots, so that both agents hold offers of the flow. The targets have
    // fewer permits than the requests have tokens, so no request ends.
    let mut callers = JoinSet::new();
    for _ in 0..12 {
        let caller = Caller::new(&entry);
        callers.spawn(async move {
            let mut response = caller.chat(200, true).await;
            while let Ok(Some(_)) = response.chunk().await {}
        });
    }
    wait_until("both agents know the total", || {
        totals() == [CostUnits(150); 2]
    })
    .await;
    let home = homes.iter().position(|home| home.flow_count() > 0);
    homes
        .remove(home.expect("a home has received usage"))
        .kill()
        .await;
    targets[0].state.permits.add_permits(10);

    wait_until("both agents know the total of the next home", || {
        totals() == [CostUnits(160); 2]
    })
    .await;
    assert_eq!(homes[0].flow_count(), 1);
}
