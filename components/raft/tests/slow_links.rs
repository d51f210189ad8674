//! Members that lack megabytes of the log, on links that carry 500 bytes in one millisecond.

mod support;

use raft::RaftSettings;
use rstest::rstest;
use support::{FakeNet, ids};
use units::DiskId;

const LINK_RATE: u64 = 500;

/// Size of an entry with a configuration of 350 routes.
const ENTRY_BYTES: usize = 110_000;

const MISSING_ENTRIES: u64 = 40;

/// Time in which the missing entries pass the link, and half of it again.
const CATCH_UP_MS: u64 = MISSING_ENTRIES * ENTRY_BYTES as u64 / LINK_RATE * 3 / 2;

/// Group in which a follower has missed entries. Returns the leader and the follower.
fn net_with_lagging_follower() -> (FakeNet, DiskId, DiskId) {
    let mut net = FakeNet::new(3, RaftSettings::default(), 5);
    net.link_rate = Some(LINK_RATE);
    let leader = net.await_leader();
    let mut others = ids(3).into_iter().filter(|id| *id != leader);
    let follower = others.next().expect("the group has a follower");
    net.isolate(&[follower]);
    for value in 1..=MISSING_ENTRIES {
        net.propose_padded(leader, value, ENTRY_BYTES);
        net.run_for(400);
    }
    net.blocked_links.clear();
    (net, leader, follower)
}

/// Guards against a leader that is not heard, and steps down, because its heartbeats wait behind the
/// entries that a member lacks.
#[rstest]
#[case::of_three(false)]
#[case::of_two(true)]
fn leader_is_heard_while_a_member_receives_megabytes(#[case] is_other_lost: bool) {
    let (mut net, leader, follower) = net_with_lagging_follower();
    net.run_for(300);
    if is_other_lost {
        let mut others = ids(3).into_iter();
        let other = others.find(|id| *id != leader && *id != follower);
        net.crash_node(other.expect("the group has another follower"));
    }
    let term = net.term(leader);

    let mut silence_ms = 0;
    for _ in 0..CATCH_UP_MS / 10 {
        net.run_for(10);
        silence_ms = silence_ms.max(net.leader_silence_ms(follower));
    }

    let timeout = RaftSettings::default().min_election_timeout;
    assert!(
        u128::from(silence_ms) < timeout.as_millis(),
        "the follower did not hear its leader for {silence_ms} ms"
    );
    assert_eq!((net.leader(), net.term(leader)), (Some(leader), term));
    assert_eq!(net.hosts[&follower].value, MISSING_ENTRIES);
}

/// Guards against a lane that fills with entries, all of which are lost with the connection.
#[test]
fn entries_in_flight_are_bounded_by_their_size() {
    let (mut net, _, follower) = net_with_lagging_follower();
    net.run_for(300);
    let bytes = net.total_bytes;

    let queued_ms = net.queued_ms(follower);

    let max_bytes = RaftSettings::default().max_in_flight_bytes + ENTRY_BYTES;
    let queued_bytes = queued_ms * LINK_RATE;
    assert!(
        queued_bytes <= max_bytes as u64,
        "{queued_bytes} bytes of entries wait, of {bytes} sent"
    );
}

/// Guards against entries that are sent several times after a connection has lost some of them.
#[test]
fn lost_entries_are_sent_again_once() {
    let (mut net, leader, follower) = net_with_lagging_follower();
    net.run_for(1_000);
    let bytes = net.total_bytes;
    net.isolate(&[follower]);
    net.run_for(300);
    net.blocked_links.clear();
    net.run_for(CATCH_UP_MS);

    let sent_bytes = net.total_bytes - bytes;
    let in_flight = RaftSettings::default().max_in_flight_bytes as u64;
    let max_bytes = MISSING_ENTRIES * ENTRY_BYTES as u64 + 2 * in_flight;
    assert_eq!(net.hosts[&follower].value, MISSING_ENTRIES);
    assert_eq!(net.leader(), Some(leader));
    assert!(
        sent_bytes <= max_bytes,
        "{sent_bytes} bytes sent, {max_bytes} allowed"
    );
}

/// Guards against lost entries that are never sent again, because frequent reads start a round of heartbeats
/// before each check is due.
#[test]
fn lost_entries_are_found_beside_frequent_barriers() {
    let mut net = FakeNet::new(3, RaftSettings::default(), 6);
    let leader = net.await_leader();
    let others = ids(3).into_iter().filter(|id| *id != leader);
    let followers: Vec<DiskId> = others.collect();
    net.bulk_blocks.insert(followers[0]);
    for value in 1..=MISSING_ENTRIES {
        net.propose(leader, value);
        net.run_for(10);
    }
    net.bulk_blocks.clear();

    for _ in 0..40 {
        net.request_barrier(leader);
        net.run_for(50);
    }

    assert_eq!(net.hosts[&followers[0]].value, MISSING_ENTRIES);
}
