//! Compaction while peers lack a part of the log.

mod support;

use std::time::Duration;

use raft::{MemberChange, PersistedState, RaftSettings};
use rstest::rstest;
use support::{FakeNet, ids};
use units::DiskId;

const LEARNER: DiskId = DiskId(9);

/// Bytes of a command beside its value, so that an entry is about as large as a snapshot.
const PADDING_BYTES: usize = 64;

/// Number of entries between compactions.
const COMPACTION_INTERVAL: u64 = 4;

/// Settings with which a message holds four entries.
fn settings(max_chunk_bytes: usize) -> RaftSettings {
    RaftSettings {
        max_batch_bytes: 500,
        max_chunk_bytes,
        ..RaftSettings::default()
    }
}

/// Guards against memory that grows with the size of the entries, and against a lagging peer that gets
/// superseded entries of many times the size of the whole state.
#[test]
fn peer_that_lacks_more_than_the_snapshot_gets_the_snapshot() {
    let mut net = FakeNet::new(3, settings(1_000), 5);
    let leader = net.await_leader();
    let lagging = *ids(3).iter().find(|id| **id != leader).unwrap();
    net.isolate(&[lagging]);
    for value in 1..=100 {
        assert!(net.propose_padded(leader, value, 1_000));
        net.run_for(20);
    }

    net.compact(leader);
    let usage = net.hosts[&leader].node.as_ref().unwrap().log_usage();
    let sent_bytes = net.total_bytes;
    net.blocked_links.clear();
    net.run_until(5_000, "the lagging node has the state", |net| {
        net.hosts[&lagging].value == 100
    });

    assert!(usage.entry_bytes <= 500, "{usage:?}");
    assert_eq!(net.restore_count, 1);
    let sent_bytes = net.total_bytes - sent_bytes;
    assert!(sent_bytes <= 10_000, "{sent_bytes} bytes");
}

/// Guards against a learner whose transfer starts again with each compaction, so that it stays behind
/// for as long as the state changes.
#[rstest]
fn learner_catches_up_while_changes_are_compacted(
    #[values(32, 1_000)] max_chunk_bytes: usize,
    #[values(5, 20, 100)] gap_ms: u64,
) {
    let mut net = FakeNet::new(3, settings(max_chunk_bytes), gap_ms);
    let leader = net.await_leader();
    let mut value = 0;
    let mut change = |net: &mut FakeNet| {
        value += 1;
        assert!(net.propose_padded(leader, value, PADDING_BYTES));
        net.run_for(gap_ms);
        if value.is_multiple_of(COMPACTION_INTERVAL) {
            net.compact(leader);
        }
    };
    (0..20).for_each(|_| change(&mut net));

    net.add_host(LEARNER, PersistedState::default());
    net.call(leader, |node, now| {
        node.change_member(MemberChange::AddLearner(LEARNER), now)
            .unwrap()
    });
    let added_at = net.now_ms;
    let mut max_lag = Duration::ZERO;
    while net.now_ms < added_at + 5_000 {
        change(&mut net);
        let members = net.hosts[&leader].node.as_ref().unwrap().member_progress();
        let learner = members.iter().find(|member| member.id == LEARNER).unwrap();
        if net.now_ms >= added_at + 1_000 {
            max_lag = max_lag.max(learner.lag);
        }
    }

    assert!(max_lag < Duration::from_millis(500), "{max_lag:?}");
    net.run_until(1_000, "the learner has the state", |net| {
        net.hosts[&LEARNER].value == net.hosts[&leader].value
    });
}
