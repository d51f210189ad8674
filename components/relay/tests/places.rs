//! Places at targets, taken and given back.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{TargetStep, TestFleet, TestTarget, plan, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time after which requests that were sent are in the relay's queue; the relay shows no count of
/// them. It is well below the timeout of the route, 1,500 ms.
const QUEUED: Duration = Duration::from_millis(200);

/// Places of the target in these tests.
const PLACES: usize = 4;

/// Opens a connection for each place and sends a request on each.
async fn callers(fleet: &TestFleet) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    for _ in 0..PLACES {
        let mut caller = TcpStream::connect(fleet.relay.http()).await.unwrap();
        let head = "POST /once/x HTTP/1.1\r\nhost: mill.example\r\nkey: secret\r\n\
            request-id: r\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(head.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    callers
}

/// Guards against a place that stays taken because its caller left between the grant and the
/// moment at which its task saw it. One thread makes the order certain: the connections close in
/// one step of the test, so the relay grants places to callers that have left already.
#[tokio::test]
async fn place_granted_to_a_caller_that_has_left_is_given_back() {
    let script = Arc::new(|_: &str| TargetStep::Hang(Vec::new()));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let running = callers(&fleet).await;
    wait_until(|| target.arrivals() == PLACES).await;
    let waiting = callers(&fleet).await;
    tokio::time::sleep(QUEUED).await;

    drop(running);
    drop(waiting);
    tokio::time::sleep(QUEUED).await;
    let before = target.arrivals();
    let _later = callers(&fleet).await;
    tokio::time::sleep(QUEUED).await;

    assert_eq!(target.arrivals(), before + PLACES);
}
