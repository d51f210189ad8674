//! Flow control and usage across the path.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use agent::TargetKind;
use common::target::{FakeTarget, LARGE_SIZE};
use common::{Caller, Fleet};

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
