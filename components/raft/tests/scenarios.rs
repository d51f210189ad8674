//! Single faults with a known right outcome, on the network of `support`.

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
        .expect("the node runs")
        .status()
}

fn change(net: &mut FakeNet, change: MemberChange) -> Result<(), ProposeError> {
    let leader = net.elect();
    let mut result = Ok(());
    net.call(leader, |node, now| {
        node.change_member(change, now).unwrap_or_else(|error| {
            result = Err(error);
            Vec::new()
        })
    });
    net.run(1000);
    result
}

/// Elects some other node than `OLD`, so that tests can remove it.
fn elect_without_old(net: &mut FakeNet) -> DiskId {
    net.crash(OLD);
    let leader = net.elect();
    net.start(OLD);
    net.run(500);
    leader
}

/// Guards against stale reads and lost writes through a leader that a partition has cut off.
#[rstest]
#[case(3)]
#[case(5)]
fn an_isolated_leader_confirms_nothing_and_steps_down(#[case] members: u128) {
    let mut net = net(members);
    let old = net.elect();
    let others: Vec<DiskId> = ids(members).into_iter().filter(|id| *id != old).collect();
    let committed = net.history.len();
    net.isolate(&[old]);
    let lost = net.propose(old, 1);
    for _ in 0..30 {
        net.barrier(old);
        net.run(100);
    }
    assert!(lost, "the isolated leader does not know yet");
    assert_eq!(net.hosts[&old].confirmed, []);
    assert_ne!(status(&net, old).role, NodeRole::Leader);
    net.write(2, &others);
    net.cut.clear();
    net.run(3000);
    assert_eq!(net.hosts[&old].value, 2);
    assert!(net.history.len() > committed);
    assert_eq!(
        net.value_at(net.history.len() as u64),
        2,
        "the uncommitted write is gone"
    );
}

/// Guards against a pre-vote or rejoin that deposes a working leader.
#[test]
fn a_follower_that_returns_from_a_partition_deposes_nobody() {
    let mut net = net(3);
    let leader = net.elect();
    let follower = ids(3)
        .into_iter()
        .find(|id| *id != leader)
        .expect("a follower");
    let term = status(&net, leader).term;
    net.isolate(&[follower]);
    net.run(10_000);
    net.cut.clear();
    net.run(3000);
    assert_eq!(net.leader(), Some(leader));
    assert_eq!(status(&net, follower).term, term);
}

/// Guards against the loss of committed entries when a second host dies right after a repair.
#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut net = net(3);
    let leader = elect_without_old(&mut net);
    let survivor = ids(2)
        .into_iter()
        .find(|id| *id != leader)
        .expect("a survivor");
    for value in 1..=300 {
        net.propose(leader, value);
        net.run(5);
    }
    net.compact(leader);
    net.hosts.remove(&OLD);
    net.add_host(NEW, PersistedState::default());

    change(&mut net, MemberChange::AddLearner(NEW)).expect("the learner joins");
    change(&mut net, MemberChange::Remove(OLD)).expect("the old id leaves");
    change(&mut net, MemberChange::Promote(NEW)).expect("the learner holds the log");
    net.hosts.remove(&leader);

    net.run_until(10_000, "no new leader", |net| net.leader().is_some());
    assert_eq!(net.hosts[&NEW].value, 300);
    net.write(301, &[survivor, NEW]);
}

/// Guards against a majority that counts a voter without the committed log.
#[test]
fn a_learner_that_is_behind_is_not_promoted() {
    let mut net = net(3);
    net.elect();
    net.add_host(NEW, PersistedState::default());
    net.isolate(&[NEW]);
    change(&mut net, MemberChange::AddLearner(NEW)).expect("the learner joins");
    let refused = change(&mut net, MemberChange::Promote(NEW));
    assert!(
        matches!(refused, Err(ProposeError::LearnerBehind { .. })),
        "{refused:?}"
    );
    net.cut.clear();
    net.run(1000);
    change(&mut net, MemberChange::Promote(NEW)).expect("the learner has caught up");
}

/// Guards against a removed host that votes, campaigns or comes back under its id.
#[test]
fn a_removed_id_never_returns() {
    let mut net = net(3);
    let leader = elect_without_old(&mut net);
    let term = status(&net, leader).term;
    change(&mut net, MemberChange::Remove(OLD)).expect("the member leaves");
    let refused = change(&mut net, MemberChange::AddLearner(OLD));
    net.run(5000);
    assert_eq!(refused, Err(ProposeError::Removed { id: OLD }));
    assert!(status(&net, OLD).is_removed);
    assert_eq!(
        status(&net, leader).term,
        term,
        "the removed node disturbs nobody"
    );

    let other = ids(2)
        .into_iter()
        .find(|id| *id != leader)
        .expect("the other voter");
    net.crash(leader);
    net.run(5000);
    assert_ne!(
        status(&net, other).role,
        NodeRole::Leader,
        "one of two voters is no majority"
    );
}

/// Guards against a vote of a host that lost its disk, which could elect a leader without
/// committed entries.
#[test]
fn an_empty_node_neither_votes_nor_campaigns() {
    let mut net = net(3);
    let leader = net.elect();
    net.crash(leader);
    let other = ids(3)
        .into_iter()
        .find(|id| *id != leader)
        .expect("a follower");
    // The empty node reuses the id here, so messages to the old one must have arrived before.
    net.run(50);
    net.hosts.remove(&other);
    net.add_host(other, PersistedState::default());
    net.run(5000);
    assert_eq!(net.leader(), None);
    assert_eq!(status(&net, other).term.0, 0);
}

/// Guards against an interruption of service at a planned stop.
#[test]
fn a_transfer_elects_another_voter_at_once() {
    let mut net = net(5);
    let old = net.elect();
    net.call(old, |node, now| {
        node.transfer_leadership(now)
            .expect("there are other voters")
    });
    let refused = net.propose(old, 1);
    net.run_until(
        300,
        "no successor within less than an election timeout",
        |net| net.leader().is_some_and(|leader| leader != old),
    );
    assert!(!refused, "no proposals during a transfer");
    net.write(2, &[old]);
}

/// Guards against wrong replay when a process restarts after hundreds of changes.
#[rstest]
#[case::without_snapshot(false)]
#[case::with_snapshot(true)]
fn all_nodes_restart_after_hundreds_of_entries(#[case] compacted: bool) {
    let mut net = net(3);
    let leader = net.elect();
    for value in 1..=500 {
        net.propose(leader, value);
        net.run(5);
        if compacted && value % 90 == 0 {
            net.compact(DiskId(1 + u128::from(value) % 3));
        }
    }
    for id in ids(3) {
        net.crash(id);
    }
    for id in ids(3) {
        net.start(id);
    }
    net.elect();
    net.run(1000);
    for id in ids(3) {
        assert_eq!(net.hosts[&id].value, 500);
    }
    net.write(501, &[DiskId(1), DiskId(2), DiskId(3)]);
}

/// Guards against confirmations that look younger than they are.
#[test]
fn a_barrier_reports_the_time_at_which_it_was_asked() {
    let mut net = net(3);
    let leader = net.elect();
    for id in ids(3) {
        let asked = ClockTime(net.now);
        net.barrier(id);
        net.run(200);
        let (_, started) = net.hosts[&id]
            .confirmed
            .last()
            .copied()
            .expect("it is confirmed");
        assert_eq!(started, asked);
    }
    assert_eq!(net.leader(), Some(leader));
}

/// Guards against unbounded memory while no majority acknowledges.
#[test]
fn proposals_are_refused_beyond_the_bounds() {
    let settings = RaftSettings {
        max_pending_entries: 10,
        ..small_settings()
    };
    let mut net = FakeNet::new(3, settings, 7);
    let leader = net.elect();
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

/// Guards against frames beyond the limit of 1 MiB, and against whole logs in one message.
#[test]
fn messages_stay_under_half_of_the_frame_limit() {
    let mut net = FakeNet::new(3, RaftSettings::default(), 7);
    let leader = elect_without_old(&mut net);
    net.crash(OLD);
    for size in [MAX_COMMAND_BYTES, 300_000, 300_000, MAX_COMMAND_BYTES] {
        let command = 1_u64.to_le_bytes().repeat(size / 8);
        net.call(leader, |node, now| {
            node.propose(command, now).expect("in bounds").1
        });
        net.run(100);
    }
    net.start(OLD);
    net.run_until(10_000, "the log is not sent", |net| {
        net.hosts[&OLD].applied >= 6
    });
    assert!(net.largest < 512 * 1024, "largest message {}", net.largest);
}

/// Guards against a leader that removes itself and leaves entries that nobody can commit.
#[test]
fn a_leader_is_not_removed_and_changes_do_not_overlap() {
    let mut net = net(3);
    let leader = net.elect();
    let itself = change(&mut net, MemberChange::Remove(leader));
    net.call(leader, |node, now| {
        node.change_member(MemberChange::AddLearner(NEW), now)
            .expect("the first change")
    });
    let mut second = None;
    net.call(leader, |node, now| {
        second = node
            .change_member(MemberChange::AddLearner(DiskId(101)), now)
            .err();
        Vec::new()
    });
    assert_eq!(itself, Err(ProposeError::IsLeader { id: leader }));
    assert!(matches!(second, Some(ProposeError::ChangePending { .. })));
}

/// Guards against a follower whose log file was cut off while it was down, and which its leader
/// then asks again and again without end for entries that it once held.
#[rstest]
#[case::nothing_written_meanwhile(0)]
#[case::entries_written_meanwhile(5)]
fn a_follower_that_lost_its_log_tail_gets_it_again(#[case] meanwhile: u64) {
    const HEALING_MS: u64 = 3_000;
    let mut net = net(3);
    let leader = elect_without_old(&mut net);
    net.write(1, &[OLD]);
    net.crash(OLD);
    for value in 0..meanwhile {
        net.write(10 + value, &[leader]);
    }
    let entries = &mut net.host(OLD).disk.entries;
    entries.truncate(entries.len() / 2);
    let messages = net.messages;

    net.start(OLD);
    net.run(HEALING_MS);

    let sent = net.messages - messages;
    println!("{sent} messages in {HEALING_MS} ms");
    let (expected, healed) = (net.hosts[&leader].value, net.hosts[&OLD].value);
    assert_eq!(healed, expected);
    assert_eq!(net.elect(), leader, "the leader goes on");
    // Ten times the heartbeats and answers of two followers.
    let heartbeats = HEALING_MS / small_settings().heartbeat_interval.as_millis() as u64;
    assert!(sent < 10 * 4 * heartbeats, "{sent} messages");
}
