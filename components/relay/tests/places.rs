//! Slots at targets: occupied by runs and released afterwards.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{TargetStep, TestFleet, TestTarget, plan, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time after which the relay has processed what callers sent or closed. The relay exposes no count
/// of queued requests to wait for. The time is well below the route's timeout of 1,500 ms.
const SETTLE_DELAY: Duration = Duration::from_millis(200);

/// Slots of the target in these tests.
const SLOT_COUNT: usize = 4;

/// Opens a connection for each slot and sends a request on each.
async fn connect_callers(fleet: &TestFleet) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    for _ in 0..SLOT_COUNT {
        let mut caller = TcpStream::connect(fleet.relay.http()).await.unwrap();
        let head = "POST /once/x HTTP/1.1\r\nhost: mill.example\r\nkey: secret\r\n\
            request-id: r\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(head.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    callers
}

/// Guards against a slot that stays occupied because the caller disconnected after its run was
/// started and before its task received the run. The single-threaded runtime makes the order
/// certain: the test closes all connections without yielding, so the relay starts runs for callers
/// that have already disconnected.
#[tokio::test]
async fn slot_of_a_disconnected_caller_is_released() {
    let script = Arc::new(|_: &str| TargetStep::Hang(Vec::new()));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let running_callers = connect_callers(&fleet).await;
    wait_until(|| target.arrivals() == SLOT_COUNT).await;
    let waiting_callers = connect_callers(&fleet).await;
    tokio::time::sleep(SETTLE_DELAY).await;

    drop(running_callers);
    drop(waiting_callers);
    tokio::time::sleep(SETTLE_DELAY).await;
    let arrivals_before = target.arrivals();
    let _later_callers = connect_callers(&fleet).await;
    tokio::time::sleep(SETTLE_DELAY).await;

    assert_eq!(target.arrivals(), arrivals_before + SLOT_COUNT);
}
