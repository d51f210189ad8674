//! Number of messages and bytes between nodes. `--nocapture` shows the figures.

mod support;

use raft::RaftSettings;
use rstest::rstest;
use support::FakeNet;

const ENTRY_COUNT: u64 = 200;
const IDLE_S: u64 = 10;

/// Guards against traffic that grows faster than the number of members. Each entry and each
/// heartbeat costs one message to each follower and one reply.
#[rstest]
#[case(3)]
#[case(5)]
#[case(7)]
fn traffic_is_two_messages_for_each_follower(#[case] members: u128) {
    let mut net = FakeNet::new(members, RaftSettings::default(), 11);
    let leader = net.await_leader();
    net.run_for(1000);

    let (messages, bytes) = (net.message_count, net.total_bytes);
    net.run_for(IDLE_S * 1000);
    let idle_messages = net.message_count - messages;
    let idle_bytes = net.total_bytes - bytes;

    let (messages, bytes) = (net.message_count, net.total_bytes);
    for value in 0..ENTRY_COUNT {
        net.propose(leader, value);
        net.run_for(50);
    }
    // The proposals take as long as the idle period, so its heartbeats can be subtracted.
    let entry_messages = net.message_count - messages - idle_messages;
    let entry_bytes = net.total_bytes - bytes - idle_bytes;

    let followers = members as u64 - 1;
    println!(
        "members {members}: {} messages and {} bytes for each entry, {} bytes/s idle",
        entry_messages / ENTRY_COUNT,
        entry_bytes / ENTRY_COUNT,
        idle_bytes / IDLE_S,
    );
    let heartbeats = IDLE_S * 10 * 2 * followers;
    assert!(
        idle_messages <= heartbeats,
        "{idle_messages} messages while idle"
    );
    assert!(
        entry_messages <= ENTRY_COUNT * 2 * followers,
        "{entry_messages} messages for {ENTRY_COUNT} entries"
    );
}
