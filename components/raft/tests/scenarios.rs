//! Scenarios with a single fault and a known outcome, on the simulated network of `support`.

mod support;

use raft::{
    MAX_COMMAND_BYTES, MemberChange, NodeRole, NodeStatus, PersistedState, ProposeError,
    RaftSettings,
};
use rstest::rstest;
use support::{FakeNet, ids, small_settings};
use units::{ClockTime, DiskId};

const OLD: DiskId = DiskId(3);
const NEW: DiskId = DiskId(100);

fn net(members: u128) -> FakeNet {
    FakeNet::new(members, small_settings(), 7)
}

fn status(net: &FakeNet, id: DiskId) -> NodeStatus {
    net.hosts[&id]
        .node
        .as_ref()
        .expect("the node is running")
        .status()
}

fn apply_change(net: &mut FakeNet, change: MemberChange) -> Result<(), ProposeError> {
    let leader = net.await_leader();
    let mut result = Ok(());
    net.call(leader, |node, now| {
        node.change_member(change, now).unwrap_or_else(|error| {
            result = Err(error);
            Vec::new()
        })
    });
    net.run_for(1000);
    result
}

/// Elects a node other than `OLD`, so that a test can remove `OLD`.
fn elect_leader_other_than_old(net: &mut FakeNet) -> DiskId {
    net.crash_node(OLD);
    let leader = net.await_leader();
    net.start_node(OLD);
    net.run_for(500);
    leader
}

/// Guards against stale reads and lost writes through a leader that is isolated by a partition.
#[rstest]
#[case(3)]
#[case(5)]
fn isolated_leader_confirms_no_barrier_and_steps_down(#[case] members: u128) {
    let mut net = net(members);
    let old_leader = net.await_leader();
    let others: Vec<DiskId> = ids(members)
        .into_iter()
        .filter(|id| *id != old_leader)
        .collect();
    let committed = net.history.len();
    net.isolate(&[old_leader]);
    let is_accepted = net.propose(old_leader, 1);
    for _ in 0..30 {
        net.request_barrier(old_leader);
        net.run_for(100);
    }
    assert!(is_accepted, "the isolated leader still accepts proposals");
    assert_eq!(net.hosts[&old_leader].confirmed_barriers, []);
    assert_ne!(status(&net, old_leader).role, NodeRole::Leader);
    net.write_value(2, &others);
    net.blocked_links.clear();
    net.run_for(3000);
    assert_eq!(net.hosts[&old_leader].value, 2);
    assert!(net.history.len() > committed);
    assert_eq!(
        net.value_at(net.history.len() as u64),
        2,
        "the uncommitted write of the isolated leader is discarded"
    );
}

/// Guards against a returning follower whose pre-vote or higher term deposes a working leader.
#[test]
fn follower_that_returns_from_a_partition_does_not_depose_the_leader() {
    let mut net = net(3);
    let leader = net.await_leader();
    let follower = ids(3)
        .into_iter()
        .find(|id| *id != leader)
        .expect("the group has a follower");
    let term = status(&net, leader).term;
    net.isolate(&[follower]);
    net.run_for(10_000);
    net.blocked_links.clear();
    net.run_for(3000);
    assert_eq!(net.leader(), Some(leader));
    assert_eq!(status(&net, follower).term, term);
}

/// Guards against the loss of committed entries when a second host fails right after the
/// replacement of the first.
#[test]
fn second_host_loss_right_after_a_repair_keeps_all_commits() {
    let mut net = net(3);
    let leader = elect_leader_other_than_old(&mut net);
    let survivor = ids(2)
        .into_iter()
        .find(|id| *id != leader)
        .expect("the group has another voter");
    for value in 1..=300 {
        net.propose(leader, value);
        net.run_for(5);
    }
    net.compact(leader);
    net.hosts.remove(&OLD);
    net.add_host(NEW, PersistedState::default());

    apply_change(&mut net, MemberChange::AddLearner(NEW)).expect("the learner is added");
    apply_change(&mut net, MemberChange::Remove(OLD)).expect("the old id is removed");
    apply_change(&mut net, MemberChange::Promote(NEW)).expect("the learner holds the log");
    net.hosts.remove(&leader);

    net.run_until(10_000, "a new leader", |net| net.leader().is_some());
    assert_eq!(net.hosts[&NEW].value, 300);
    net.write_value(301, &[survivor, NEW]);
}

/// Guards against the promotion of a learner without the committed log, which would then count
/// towards a majority.
#[test]
fn learner_that_is_behind_is_not_promoted() {
    let mut net = net(3);
    net.await_leader();
    net.add_host(NEW, PersistedState::default());
    net.isolate(&[NEW]);
    apply_change(&mut net, MemberChange::AddLearner(NEW)).expect("the learner is added");
    let refused = apply_change(&mut net, MemberChange::Promote(NEW));
    assert!(
        matches!(refused, Err(ProposeError::LearnerBehind { .. })),
        "{refused:?}"
    );
    net.blocked_links.clear();
    net.run_for(1000);
    apply_change(&mut net, MemberChange::Promote(NEW)).expect("the learner has caught up");
}

/// Guards against a removal that cannot be committed. The removed voter would not help to form a
/// majority when it comes back.
#[test]
fn voter_is_not_removed_if_the_others_are_no_majority() {
    let mut net = net(3);
    let leader = elect_leader_other_than_old(&mut net);
    let other = ids(2)
        .into_iter()
        .find(|id| *id != leader)
        .expect("the group has another voter");
    net.crash_node(other);
    net.run_for(600);

    let without_majority = apply_change(&mut net, MemberChange::Remove(OLD));
    net.start_node(other);
    net.run_for(500);
    let with_majority = apply_change(&mut net, MemberChange::Remove(OLD));

    assert_eq!(without_majority, Err(ProposeError::NoMajority));
    assert_eq!(with_majority, Ok(()));
}

/// Guards against the promotion of a learner that was lost after it had caught up.
#[test]
fn learner_that_does_not_reply_is_not_promoted() {
    let mut net = net(3);
    net.await_leader();
    net.add_host(NEW, PersistedState::default());
    apply_change(&mut net, MemberChange::AddLearner(NEW)).expect("the learner is added");
    net.crash_node(NEW);
    net.run_for(600);

    let refused = apply_change(&mut net, MemberChange::Promote(NEW));

    assert!(
        matches!(refused, Err(ProposeError::LearnerBehind { .. })),
        "{refused:?}"
    );
}

/// Guards against a removed host that votes, starts elections or rejoins with its old id.
#[test]
fn removed_id_neither_disturbs_the_group_nor_rejoins() {
    let mut net = net(3);
    let leader = elect_leader_other_than_old(&mut net);
    let term = status(&net, leader).term;
    apply_change(&mut net, MemberChange::Remove(OLD)).expect("the old id is removed");
    let refused = apply_change(&mut net, MemberChange::AddLearner(OLD));
    net.run_for(5000);
    assert_eq!(refused, Err(ProposeError::Removed { id: OLD }));
    assert!(status(&net, OLD).is_removed);
    assert_eq!(
        status(&net, leader).term,
        term,
        "the removed node must not cause an election"
    );

    let other = ids(2)
        .into_iter()
        .find(|id| *id != leader)
        .expect("the group has another voter");
    net.crash_node(leader);
    net.run_for(5000);
    assert_ne!(
        status(&net, other).role,
        NodeRole::Leader,
        "one of two voters must not form a majority"
    );
}

/// Guards against a vote of a host that lost its disk, which could elect a leader that lacks
/// committed entries.
#[test]
fn node_without_membership_neither_votes_nor_campaigns() {
    let mut net = net(3);
    let leader = net.await_leader();
    net.crash_node(leader);
    let other = ids(3)
        .into_iter()
        .find(|id| *id != leader)
        .expect("the group has a follower");
    // The empty node reuses the id of the old one, so messages to the old one must be delivered
    // before.
    net.run_for(50);
    net.hosts.remove(&other);
    net.add_host(other, PersistedState::default());
    net.run_for(5000);
    assert_eq!(net.leader(), None);
    assert_eq!(status(&net, other).term.0, 0);
}

/// Guards against a planned stop that interrupts the service for an election timeout.
#[test]
fn transfer_elects_another_voter_without_an_election_timeout() {
    let mut net = net(5);
    let old_leader = net.await_leader();
    net.call(old_leader, |node, now| {
        node.transfer_leadership(now)
            .expect("the group has other voters")
    });
    let is_accepted = net.propose(old_leader, 1);
    net.run_until(
        300,
        "a successor in less than the minimum election timeout",
        |net| net.leader().is_some_and(|leader| leader != old_leader),
    );
    assert!(!is_accepted, "proposals must be refused during a transfer");
    net.write_value(2, &[old_leader]);
}

/// Guards against a wrong replay when the processes restart with hundreds of log entries.
#[rstest]
#[case::without_snapshot(false)]
#[case::with_snapshot(true)]
fn state_is_restored_when_all_nodes_restart_after_hundreds_of_entries(#[case] compacted: bool) {
    let mut net = net(3);
    let leader = net.await_leader();
    for value in 1..=500 {
        net.propose(leader, value);
        net.run_for(5);
        if compacted && value % 90 == 0 {
            net.compact(DiskId(1 + u128::from(value) % 3));
        }
    }
    for id in ids(3) {
        net.crash_node(id);
    }
    for id in ids(3) {
        net.start_node(id);
    }
    net.await_leader();
    net.run_for(1000);
    for id in ids(3) {
        assert_eq!(net.hosts[&id].value, 500);
    }
    net.write_value(501, &[DiskId(1), DiskId(2), DiskId(3)]);
}

/// Guards against a barrier that reports the time of its confirmation, which would make stale state
/// appear newer than it is.
#[test]
fn barrier_reports_the_time_at_which_it_was_requested() {
    let mut net = net(3);
    let leader = net.await_leader();
    for id in ids(3) {
        let requested_at = ClockTime(net.now_ms);
        net.request_barrier(id);
        net.run_for(200);
        let (_, started) = net.hosts[&id]
            .confirmed_barriers
            .last()
            .copied()
            .expect("the barrier is confirmed");
        assert_eq!(started, requested_at);
    }
    assert_eq!(net.leader(), Some(leader));
}

/// Guards against unbounded memory use while no majority acknowledges entries.
#[test]
fn proposals_are_refused_beyond_the_limits() {
    let settings = RaftSettings {
        max_pending_entries: 10,
        ..small_settings()
    };
    let mut net = FakeNet::new(3, settings, 7);
    let leader = net.await_leader();
    net.isolate(&[leader]);
    let accepted = (0..50).filter(|value| net.propose(leader, *value)).count();
    let mut too_large = None;
    net.call(leader, |node, now| {
        too_large = node.propose(vec![0; MAX_COMMAND_BYTES + 1], now).err();
        Vec::new()
    });
    assert_eq!(accepted, 10);
    assert!(matches!(too_large, Some(ProposeError::TooLarge { .. })));
}

/// Guards against frames above the limit of 1 MiB, and against a whole log in one message.
#[test]
fn messages_stay_under_half_of_the_frame_limit() {
    let mut net = FakeNet::new(3, RaftSettings::default(), 7);
    let leader = elect_leader_other_than_old(&mut net);
    net.crash_node(OLD);
    for size in [MAX_COMMAND_BYTES, 300_000, 300_000, MAX_COMMAND_BYTES] {
        let command = 1_u64.to_le_bytes().repeat(size / 8);
        net.call(leader, |node, now| {
            node.propose(command, now)
                .expect("the proposal is within the limits")
                .1
        });
        net.run_for(100);
    }
    net.start_node(OLD);
    net.run_until(10_000, "the log is applied by the restarted node", |net| {
        net.hosts[&OLD].applied_index >= 6
    });
    assert!(
        net.max_message_bytes < 512 * 1024,
        "the largest message has {} bytes",
        net.max_message_bytes
    );
}

/// Guards against a leader that removes itself and leaves entries that no node can commit, and
/// against overlapping membership changes.
#[test]
fn leader_is_not_removed_and_membership_changes_do_not_overlap() {
    let mut net = net(3);
    let leader = net.await_leader();
    let self_removal = apply_change(&mut net, MemberChange::Remove(leader));
    net.call(leader, |node, now| {
        node.change_member(MemberChange::AddLearner(NEW), now)
            .expect("the first change is accepted")
    });
    let mut second = None;
    net.call(leader, |node, now| {
        second = node
            .change_member(MemberChange::AddLearner(DiskId(101)), now)
            .err();
        Vec::new()
    });
    assert_eq!(self_removal, Err(ProposeError::IsLeader { id: leader }));
    assert!(matches!(second, Some(ProposeError::ChangePending { .. })));
}

/// Guards against an endless loop when the log file of a follower is truncated while it is down.
/// The leader took the rejections for delayed messages and immediately probed the same entry again.
#[rstest]
#[case::no_entries_written_during_downtime(0)]
#[case::entries_written_during_downtime(5)]
fn follower_that_lost_the_end_of_its_log_receives_it_again(#[case] entry_count: u64) {
    const RECOVERY_MS: u64 = 3_000;
    let mut net = net(3);
    let leader = elect_leader_other_than_old(&mut net);
    net.write_value(1, &[OLD]);
    net.crash_node(OLD);
    for value in 0..entry_count {
        net.write_value(10 + value, &[leader]);
    }
    let entries = &mut net.host(OLD).disk.entries;
    entries.truncate(entries.len() / 2);
    let messages = net.message_count;

    net.start_node(OLD);
    net.run_for(RECOVERY_MS);

    let message_count = net.message_count - messages;
    println!("{message_count} messages sent in {RECOVERY_MS} ms");
    let (expected, actual) = (net.hosts[&leader].value, net.hosts[&OLD].value);
    assert_eq!(actual, expected);
    assert_eq!(net.await_leader(), leader, "the leader must not change");
    // Ten times the number of heartbeats to two followers and their replies.
    let heartbeats = RECOVERY_MS / small_settings().heartbeat_interval.as_millis() as u64;
    assert!(
        message_count < 10 * 4 * heartbeats,
        "sent {message_count} messages"
    );
}
