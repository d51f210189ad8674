//! Changes that are sent while the leadership is handed over.

mod support;

use std::time::Duration;

use support::TestGroup;
use support::changes::{ACK_TIMEOUT, ChangeSender};
use tokio::time::sleep;
use wire::NodeRole;

/// Guards against a valid change that is answered as a bad request while the leadership is being
/// transferred, or as conflicting with the very version that it expects by a new leader that has not
/// yet applied that version.
#[tokio::test(flavor = "multi_thread")]
async fn change_during_a_planned_stop_is_not_refused() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    let sender = ChangeSender::start(group.client(NodeRole::Operator, "operator"));

    for _ in 0..8 {
        let leader = group.leader().await;
        group.stop(leader).await;
        group.restart(leader, false).await;
        group.wait_ready().await;
        sleep(Duration::from_millis(200)).await;
    }

    let (accepted, longest) = sender.stop().await;
    assert!(longest <= ACK_TIMEOUT, "a change took {longest:?}");
    group.wait_version(accepted).await;
}
