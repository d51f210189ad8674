//! Promotion of a learner while entries are proposed in each round trip, on the simulated network.

mod support;

use raft::{MemberChange, PersistedState, ProposeError, RaftSettings};
use rstest::rstest;
use support::FakeNet;
use units::DiskId;

const NEW: DiskId = DiskId(100);

/// Interval of the proposals, far below a round trip to the learner.
const PROPOSAL_INTERVAL_MS: u64 = 5;

/// Additional delay of messages to the learner. A voter acknowledges entries before it does.
const LEARNER_DELAY_MS: u64 = 40;

/// Group with a learner and proposals from the start on.
struct BusyGroup {
    net: FakeNet,
    leader: DiskId,
    value: u64,
}

impl BusyGroup {
    fn new(seed: u64) -> Self {
        let mut net = FakeNet::new(3, RaftSettings::default(), seed);
        let leader = net.await_leader();
        net.add_host(NEW, PersistedState::default());
        net.added_delays_ms.insert(NEW, LEARNER_DELAY_MS);
        let mut group = Self {
            net,
            leader,
            value: 0,
        };
        group.run_for(500);
        group
            .change(MemberChange::AddLearner(NEW))
            .expect("the learner is added");
        group
    }

    fn run_for(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / PROPOSAL_INTERVAL_MS {
            self.value += 1;
            self.net.propose(self.leader, self.value);
            self.net.run_for(PROPOSAL_INTERVAL_MS);
        }
    }

    fn change(&mut self, change: MemberChange) -> Result<(), ProposeError> {
        let mut result = Ok(());
        self.net.call(self.leader, |node, now| {
            node.change_member(change, now).unwrap_or_else(|error| {
                result = Err(error);
                Vec::new()
            })
        });
        result
    }

    /// Tries to promote the learner with each proposal. Returns whether it became a voter.
    fn try_promote(&mut self, duration_ms: u64) -> bool {
        (0..duration_ms / PROPOSAL_INTERVAL_MS).any(|_| {
            self.run_for(PROPOSAL_INTERVAL_MS);
            self.change(MemberChange::Promote(NEW)).is_ok()
        })
    }
}

/// Guards against a learner that is never promoted, because new entries are committed before it
/// acknowledges the last ones.
#[rstest]
fn learner_is_promoted_while_entries_are_committed_in_each_round_trip(
    #[values(1, 2, 3)] seed: u64,
) {
    let mut group = BusyGroup::new(seed);

    assert!(group.try_promote(2_000), "the learner is not promoted");
    group.run_for(1_000);
    let value = group.value;
    group.net.run_for(1_000);
    assert_eq!(group.net.hosts[&NEW].value, value);
}

/// Guards against the promotion of a learner that had caught up but lacks entries since, although it
/// replies, and of one that a new leader has not seen with its log.
#[rstest]
fn learner_that_falls_behind_again_is_not_promoted(#[values(true, false)] has_caught_up: bool) {
    let mut group = BusyGroup::new(4);
    if has_caught_up {
        group.run_for(500);
    }
    group.net.bulk_blocks.insert(NEW);
    if has_caught_up {
        // The learner counts as caught up for this time.
        group.run_for(1_100);
    }

    assert!(!group.try_promote(2_000), "the learner lacks entries");
    group.net.bulk_blocks.clear();
    assert!(group.try_promote(2_000), "the learner has caught up again");
}
