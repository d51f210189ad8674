//! Counts of messages and bytes. The table is in the output with `--nocapture`.

mod support;

use raft::RaftSettings;
use rstest::rstest;
use support::FakeNet;

const ENTRIES: u64 = 200;
const IDLE_SECONDS: u64 = 10;

/// Guards against traffic that grows faster than the number of members: each entry costs each
/// follower one message and one reply, each heartbeat the same.
#[rstest]
#[case(3)]
#[case(5)]
#[case(7)]
fn traffic_is_two_messages_for_each_follower(#[case] members: u128) {
    let mut net = FakeNet::new(members, RaftSettings::default(), 11);
    let leader = net.elect();
    net.run(1000);

    let (messages, bytes) = (net.messages, net.bytes);
    net.run(IDLE_SECONDS * 1000);
    let idle_messages = net.messages - messages;
    let idle_bytes = net.bytes - bytes;

    let (messages, bytes) = (net.messages, net.bytes);
    for value in 0..ENTRIES {
        net.propose(leader, value);
        net.run(50);
    }
    // The proposals take as long as the idle time, so the heartbeats are subtracted.
    let entry_messages = net.messages - messages - idle_messages;
    let entry_bytes = net.bytes - bytes - idle_bytes;

    let followers = members as u64 - 1;
    println!(
        "members {members}: {} messages and {} bytes for each entry, {} bytes/s idle",
        entry_messages / ENTRIES,
        entry_bytes / ENTRIES,
        idle_bytes / IDLE_SECONDS,
    );
    let heartbeats = IDLE_SECONDS * 10 * 2 * followers;
    assert!(idle_messages <= heartbeats, "{idle_messages} idle messages");
    assert!(
        entry_messages <= ENTRIES * 2 * followers,
        "{entry_messages} messages"
    );
}
