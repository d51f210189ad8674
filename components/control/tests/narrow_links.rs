//! Large changes of the configuration over links that carry little more than these changes.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::changes::{ACK_TIMEOUT, ChangeSender};
use support::relay::LinkBounds;
use support::{DATA_CENTRES, TestGroup};
use tokio::time::{sleep, timeout};
use wire::NodeRole;

/// Links that carry twice the rate of the large changes. Rate and round trip are those of a link
/// between two regions.
const BOUNDS: LinkBounds = LinkBounds {
    bytes_per_second: 500_000,
    delay: Duration::from_micros(8_500),
    max_queue_time: Duration::from_millis(60),
};

/// Time after the start of a replacement after which the group must bear another loss.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Time after the return of all hosts after which a change must be accepted.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Time for which changes are sent before the first fault.
const LEAD_TIME: Duration = Duration::from_secs(2);

/// Time for which a follower misses changes.
const FAULT_TIME: Duration = Duration::from_secs(9);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a group, and sends large changes to it.
async fn start_with_changes() -> (TestGroup, ChangeSender) {
    let group = TestGroup::start_bounded(BOUNDS).await;
    group.wait_ready().await;
    let sender = ChangeSender::start_large(group.client(NodeRole::Operator, "operator-1"));
    let first = timeout(ACK_TIMEOUT, wait_accepted(&sender, 1)).await;
    assert!(first.is_ok(), "the first change was not accepted");
    sleep(LEAD_TIME).await;
    (group, sender)
}

async fn wait_accepted(sender: &ChangeSender, version: u64) {
    while sender.accepted() < version {
        sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a group that has no quorum for ever, because the successor of a lost host is never
/// promoted while large changes go on, when the next host loses its disk.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn disk_lost_after_a_replacement_beside_large_changes_costs_no_quorum(
    #[values(true, false)] has_new_name: bool,
    #[values(true, false)] is_leader_replaced: bool,
) {
    let (mut group, sender) = start_with_changes().await;
    let leader = group.leader().await;
    let replaced = (leader + usize::from(!is_leader_replaced)) % 3;

    group.kill(replaced).await;
    if has_new_name {
        group.add(DATA_CENTRES[replaced]).await;
    } else {
        group.restart(replaced, true).await;
    }
    sleep(CATCH_UP_TIME).await;
    let lost = (replaced + 1) % 3;
    group.kill(lost).await;
    group.restart(lost, true).await;
    // The change that was under way may have been accepted before the loss.
    let accepted = sender.accepted();
    let recovered = timeout(RECOVERY_TIME, wait_accepted(&sender, accepted + 2)).await;

    assert!(recovered.is_ok(), "no change after {accepted} was accepted");
}

/// Way in which a follower misses changes.
#[derive(Debug, Clone, Copy)]
enum FollowerFault {
    FullDisk,
    CutOff,
}

/// Guards against a follower that never catches up once it lacks some megabytes, and against a leader
/// that is deposed or changes that wait meanwhile.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn follower_that_missed_large_changes_catches_up_beside_further_ones(
    #[values(FollowerFault::FullDisk, FollowerFault::CutOff)] fault: FollowerFault,
) {
    let (group, sender) = start_with_changes().await;
    let leader = group.leader().await;
    let follower = (leader + 1) % 3;
    let status_of = |index: usize| group.nodes[index].as_ref().unwrap().status();
    let term = status_of(leader).term;

    match fault {
        FollowerFault::FullDisk => group.disks[follower].set_full(true),
        FollowerFault::CutOff => group.isolate(follower),
    }
    sleep(FAULT_TIME).await;
    group.disks[follower].set_full(false);
    group.heal();
    let catch_up = async {
        while status_of(follower).version < status_of(leader).version {
            sleep(POLL_INTERVAL).await;
        }
    };
    let caught_up = timeout(RECOVERY_TIME, catch_up).await;
    let last_term = status_of(leader).term;
    let (accepted, longest) = sender.stop().await;

    let versions = [leader, follower].map(|index| status_of(index).version);
    assert!(
        caught_up.is_ok(),
        "versions {versions:?}, {accepted} accepted, terms {term} and {last_term}, longest {longest:?}"
    );
    assert_eq!(last_term, term, "a leader was deposed");
    assert!(longest <= ACK_TIMEOUT, "a change took {longest:?}");
}

/// Guards against a group that stays without a leader after a restart of all nodes, because one of them
/// lacks some megabytes and another one its whole folder.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn group_restarted_with_one_node_behind_and_one_empty_accepts_a_change(
    #[values(true, false)] is_leader_emptied: bool,
) {
    let (mut group, sender) = start_with_changes().await;
    let leader = group.leader().await;
    let (behind, other) = ((leader + 1) % 3, (leader + 2) % 3);
    group.kill(behind).await;
    sleep(FAULT_TIME).await;

    group.kill(leader).await;
    group.kill(other).await;
    let emptied = if is_leader_emptied { leader } else { other };
    for index in 0..3 {
        group.restart(index, index == emptied).await;
    }
    let accepted = sender.accepted();
    let recovered = timeout(RECOVERY_TIME, wait_accepted(&sender, accepted + 2)).await;

    assert!(recovered.is_ok(), "no change after {accepted} was accepted");
}
