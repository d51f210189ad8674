//! Replacements of control hosts, each followed by the loss of another host.
//!
//! A host that is replaced counts as lost until its replacement has run for the catch-up time. From
//! then on, the group must bear the next loss, also of a disk.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{DATA_CENTRES, SERVICES_TEXT, TestGroup, apply, order};
use tokio::time::{Instant, sleep, sleep_until};
use units::ConfigVersion;
use wire::{NodeRole, OperatorOrder, OrderReply};

/// Time after the start of a replacement after which the group must bear another loss.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Time after the return of all hosts after which an order must be accepted.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// End of a replaced host.
#[derive(Debug, Clone, Copy)]
enum HostEnd {
    /// The host is lost without notice, and its replacement starts this much later.
    Lost(Duration),
    /// The replacement starts first, and the host is told to stop this much later.
    Planned(Duration),
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn second_order() -> OperatorOrder {
    let data_centre = "[[data_centre]]\nname = \"brno-9\"\nregion = \"bohemia\"\n";
    apply("order-2", 1, &format!("{SERVICES_TEXT}{data_centre}"))
}

/// Replaces a host, and returns when the replacement has run for the catch-up time.
async fn replace(group: &mut TestGroup, index: usize, end: HostEnd) -> usize {
    let data_centre = DATA_CENTRES[index];
    let (new, started_at) = match end {
        HostEnd::Lost(delay) => {
            group.kill(index).await;
            sleep(delay).await;
            (group.add(data_centre).await, Instant::now())
        }
        HostEnd::Planned(delay) => {
            let (new, started_at) = (group.add(data_centre).await, Instant::now());
            sleep(delay).await;
            group.stop(index).await;
            (new, started_at)
        }
    };
    sleep_until(started_at + CATCH_UP_TIME).await;
    new
}

/// Guards against a group that has no quorum for ever, because a host that is gone still has a seat
/// when the next one loses its disk.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn disk_lost_after_a_replacement_costs_no_quorum(
    #[values(
        HostEnd::Lost(ms(0)),
        HostEnd::Lost(ms(500)),
        HostEnd::Lost(ms(1_500)),
        HostEnd::Planned(ms(500)),
        HostEnd::Planned(ms(1_000)),
        HostEnd::Planned(ms(2_500))
    )]
    end: HostEnd,
    #[values(true, false)] is_leader_replaced: bool,
) {
    let mut group = TestGroup::start_discovering().await;
    group.wait_ready().await;
    let operator = group.client(NodeRole::Operator, "operator-1");
    let first = order(&operator, apply("order-1", 0, SERVICES_TEXT)).await;
    let leader = group.leader().await;
    let replaced = if is_leader_replaced {
        leader
    } else {
        (leader + 1) % 3
    };

    replace(&mut group, replaced, end).await;
    let lost = (replaced + 1) % 3;
    group.kill(lost).await;
    group.restart(lost, true).await;
    let operator = group.client(NodeRole::Operator, "operator-2");
    let second = tokio::time::timeout(RECOVERY_TIME, order(&operator, second_order())).await;

    assert_eq!(first, OrderReply::Accepted(ConfigVersion(1)));
    assert_eq!(second, Ok(OrderReply::Accepted(ConfigVersion(2))));
}

/// Guards against a vote that is taken from a host that is only down, for a learner that is lost before
/// it has one. More hosts are down than the group bears, but only one disk is lost, so that the group
/// must recover when all are back.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn disk_lost_beside_a_stopped_voter_and_a_lost_learner_costs_no_quorum(
    #[values(ms(1_500), ms(2_000))] lost_after: Duration,
    #[values(true, false)] is_leader_wiped: bool,
) {
    let mut group = TestGroup::start_discovering().await;
    group.wait_ready().await;
    let operator = group.client(NodeRole::Operator, "operator-1");
    let first = order(&operator, apply("order-1", 0, SERVICES_TEXT)).await;
    let leader = group.leader().await;
    let learner = group.add(DATA_CENTRES[leader]).await;
    sleep(CATCH_UP_TIME).await;
    let leader = group.leader().await;
    let (stopped, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let wiped = if is_leader_wiped { leader } else { other };

    group.kill(stopped).await;
    sleep(lost_after).await;
    group.kill(learner).await;
    sleep(CATCH_UP_TIME - lost_after).await;
    group.kill(wiped).await;
    group.restart(wiped, true).await;
    group.restart(stopped, false).await;
    group.restart(learner, false).await;
    // The group may be suspended for this time after all are back.
    sleep(RECOVERY_TIME).await;
    let operator = group.client(NodeRole::Operator, "operator-2");
    let second = tokio::time::timeout(RECOVERY_TIME, order(&operator, second_order())).await;

    assert_eq!(first, OrderReply::Accepted(ConfigVersion(1)));
    assert_eq!(second, Ok(OrderReply::Accepted(ConfigVersion(2))));
}
