//! When a group is formed, and in which order a replaced host comes back.

use std::collections::{BTreeMap, BTreeSet};

use control::formation::{PeerAnnouncement, SeenPeer, SeenPeers, bootstrap_members};
use control::members::{MemberStep, MemberView, PromotionThresholds, next_step};
use raft::{LogIndex, MemberChange, Membership};
use units::{ClockTime, DiskId, NodeName};

const NOW: ClockTime = ClockTime(10_000);

fn names(all: &[&str]) -> BTreeSet<NodeName> {
    all.iter().map(|name| NodeName::from(*name)).collect()
}

fn ids(all: &[u128]) -> BTreeSet<DiskId> {
    all.iter().copied().map(DiskId).collect()
}

fn empty(id: u128) -> PeerAnnouncement {
    PeerAnnouncement {
        id: DiskId(id),
        is_empty: true,
        configured_names: names(&["a", "b", "c"]),
        initial_members: None,
        applied_index: LogIndex(0),
        address: None,
        data_centre: None,
        known_peers: BTreeMap::new(),
    }
}

fn formed(id: u128, initial_members: &[u128]) -> PeerAnnouncement {
    PeerAnnouncement {
        is_empty: false,
        initial_members: (!initial_members.is_empty()).then(|| ids(initial_members)),
        ..empty(id)
    }
}

fn seen(peers: &[(&str, PeerAnnouncement)]) -> SeenPeers {
    let peers = peers.iter().map(|(name, announcement)| {
        let peer = SeenPeer {
            announcement: announcement.clone(),
            received_at: NOW,
        };
        (NodeName::from(*name), peer)
    });
    peers.collect()
}

#[test]
fn all_present_and_empty_nodes_form_a_group() {
    let peers = seen(&[("b", empty(2)), ("c", empty(3))]);

    assert_eq!(
        bootstrap_members(&empty(1), &peers, NOW),
        Some(ids(&[1, 2, 3]))
    );
}

/// Guards against a second group beside one that exists or may exist.
#[test]
fn group_is_not_formed_without_every_listed_node() {
    let other_list = PeerAnnouncement {
        configured_names: names(&["a", "c"]),
        ..empty(3)
    };
    let mut silent = seen(&[("b", empty(2)), ("c", empty(3))]);
    silent.get_mut(&NodeName::from("c")).unwrap().received_at = ClockTime(7_000);
    let cases = [
        seen(&[("b", empty(2))]),
        seen(&[("b", empty(2)), ("d", empty(4))]),
        seen(&[("b", empty(2)), ("c", other_list)]),
        seen(&[("b", empty(2)), ("c", formed(3, &[]))]),
        seen(&[("b", empty(2)), ("c", formed(3, &[2, 3, 9]))]),
        silent,
    ];

    for peers in cases {
        assert_eq!(bootstrap_members(&empty(1), &peers, NOW), None, "{peers:?}");
    }
}

/// Guards against a node that waits for ever since another one formed the group a moment earlier.
#[test]
fn founding_members_are_taken_over() {
    let peers = seen(&[("b", formed(2, &[1, 2, 3]))]);

    assert_eq!(
        bootstrap_members(&empty(1), &peers, NOW),
        Some(ids(&[1, 2, 3]))
    );
}

/// A group of a, b and c on the leader a, where the folder 3 of c was replaced by 4.
struct ReplacedHost {
    members: Membership,
    recorded_names: BTreeMap<DiskId, NodeName>,
    targets: PromotionThresholds,
    applied_index: u64,
}

impl ReplacedHost {
    fn new() -> Self {
        let known = [(1, "a"), (2, "b"), (3, "c")];
        Self {
            members: Membership {
                voters: ids(&[1, 2, 3]),
                ..Membership::default()
            },
            recorded_names: known
                .map(|(id, name)| (DiskId(id), NodeName::from(name)))
                .into(),
            targets: PromotionThresholds::default(),
            applied_index: 0,
        }
    }

    fn next(&mut self, commit_index: u64) -> Option<MemberStep> {
        let replacement = PeerAnnouncement {
            applied_index: LogIndex(self.applied_index),
            ..empty(4)
        };
        let peers = seen(&[("b", formed(2, &[])), ("c", replacement)]);
        let view = MemberView {
            own: (DiskId(1), &NodeName::from("a")),
            configured_names: &names(&["a", "b", "c"]),
            peers: &peers,
            membership: &self.members,
            recorded_names: &self.recorded_names,
            commit_index: LogIndex(commit_index),
            listening_since: NOW,
            now: NOW,
        };
        next_step(&view, &mut self.targets)
    }

    fn carry_out(&mut self, step: MemberStep) {
        match step {
            MemberStep::RecordName(id, name) => {
                self.recorded_names.insert(id, name);
            }
            MemberStep::Change(MemberChange::AddLearner(id)) => {
                self.members.learners.insert(id);
            }
            MemberStep::Change(MemberChange::Promote(id)) => {
                self.members.learners.remove(&id);
                self.members.voters.insert(id);
            }
            MemberStep::Change(MemberChange::Remove(id)) => {
                self.members.voters.remove(&id);
                self.members.learners.remove(&id);
                self.members.removed.insert(id);
            }
        }
    }
}

/// Guards against two votes of one host, and against an old id that is removed before the new one
/// holds the log: a second lost host would then take the majority with it.
#[test]
fn replaced_host_catches_up_before_its_old_id_is_removed() {
    let mut host = ReplacedHost::new();
    let (old, new) = (DiskId(3), DiskId(4));
    let change = |change| Some(MemberStep::Change(change));

    let record = host.next(50);
    host.carry_out(record.clone().unwrap());
    let join = host.next(50);
    host.carry_out(join.clone().unwrap());
    let behind = host.next(50);
    host.applied_index = 49;
    let still_behind = host.next(60);
    host.applied_index = 50;
    let remove = host.next(70);
    host.carry_out(remove.clone().unwrap());
    let promote = host.next(70);
    host.carry_out(promote.clone().unwrap());
    let settled = host.next(70);

    assert_eq!(record, Some(MemberStep::RecordName(new, "c".into())));
    assert_eq!(join, change(MemberChange::AddLearner(new)));
    assert_eq!((behind, still_behind), (None, None));
    assert_eq!(remove, change(MemberChange::Remove(old)));
    assert_eq!(promote, change(MemberChange::Promote(new)));
    assert_eq!(settled, None);
}

/// Guards against a replaced folder that comes back and is added again.
#[test]
fn removed_folder_is_not_added_again() {
    let mut host = ReplacedHost::new();
    host.members.removed.insert(DiskId(4));

    assert_eq!(host.next(50), None);
}

/// Guards against a host that lost its disk twice and keeps both new ids as learners.
#[test]
fn unfinished_replacement_is_removed_too() {
    let mut host = ReplacedHost::new();
    for id in [5, 4] {
        host.recorded_names.insert(DiskId(id), "c".into());
        host.members.learners.insert(DiskId(id));
    }
    host.applied_index = 50;
    let mut removed = Vec::new();

    while let Some(step) = host.next(50) {
        if let MemberStep::Change(MemberChange::Remove(id)) = &step {
            removed.push(*id);
        }
        host.carry_out(step);
    }

    assert_eq!(removed, [DiskId(3), DiskId(5)]);
    assert_eq!(host.members.voters, ids(&[1, 2, 4]));
    assert!(host.members.learners.is_empty());
}

/// Guards against a voter that nobody can remove: its host was lost before its name was recorded.
#[test]
fn host_lost_before_its_name_was_recorded_is_replaced() {
    let mut host = ReplacedHost::new();
    host.recorded_names.remove(&DiskId(3));
    host.applied_index = 50;

    while let Some(step) = host.next(50) {
        host.carry_out(step);
    }

    assert_eq!(host.members.voters, ids(&[1, 2, 4]));
    assert!(host.members.removed.contains(&DiskId(3)));
}

/// Guards against the removal of a live voter: the leader has not heard of it yet, so it has no
/// name, and it could be mistaken for the old folder of a replaced host.
#[test]
fn voter_that_is_not_heard_of_yet_is_not_removed() {
    let mut host = ReplacedHost::new();
    host.recorded_names.remove(&DiskId(3));
    host.recorded_names.remove(&DiskId(2));
    host.members.learners.insert(DiskId(4));
    host.recorded_names.insert(DiskId(4), "c".into());
    host.applied_index = 50;
    let replacement = PeerAnnouncement {
        applied_index: LogIndex(50),
        ..empty(4)
    };

    let view = MemberView {
        own: (DiskId(1), &NodeName::from("a")),
        configured_names: &names(&["a", "b", "c"]),
        peers: &seen(&[("c", replacement)]),
        membership: &host.members,
        recorded_names: &host.recorded_names,
        commit_index: LogIndex(50),
        listening_since: NOW,
        now: NOW,
    };

    let step = next_step(&view, &mut host.targets);

    assert_eq!(step, None);
}

fn placed(id: u128, data_centre: &str) -> PeerAnnouncement {
    PeerAnnouncement {
        data_centre: Some(data_centre.into()),
        applied_index: LogIndex(50),
        ..formed(id, &[])
    }
}

/// Three voters, of which `c` was heard of last at a time, and a learner under a new name.
struct GoneHost {
    peers: SeenPeers,
    members: Membership,
    recorded_names: BTreeMap<DiskId, NodeName>,
}

impl GoneHost {
    fn new(silent_since: u64, learner: PeerAnnouncement) -> Self {
        let mut peers = seen(&[
            ("b", placed(2, "brno-1")),
            ("c", placed(3, "ostrava-1")),
            ("d", learner),
        ]);
        peers.get_mut(&NodeName::from("c")).unwrap().received_at = ClockTime(silent_since);
        let names = [(1, "a"), (2, "b"), (3, "c"), (4, "d")];
        Self {
            peers,
            members: Membership {
                voters: ids(&[1, 2, 3]),
                learners: ids(&[4]),
                ..Membership::default()
            },
            recorded_names: names
                .map(|(id, name)| (DiskId(id), NodeName::from(name)))
                .into(),
        }
    }

    fn next(&self) -> Option<MemberStep> {
        let view = MemberView {
            own: (DiskId(1), &NodeName::from("a")),
            configured_names: &names(&["a", "b", "c"]),
            peers: &self.peers,
            membership: &self.members,
            recorded_names: &self.recorded_names,
            commit_index: LogIndex(50),
            listening_since: ClockTime(0),
            now: NOW,
        };
        next_step(&view, &mut PromotionThresholds::default())
    }
}

fn change(change: MemberChange) -> Option<MemberStep> {
    Some(MemberStep::Change(change))
}

/// Guards against a group that keeps a vote of a host that is gone for good: its successor has
/// another name and address.
#[test]
fn silent_host_is_replaced_by_one_of_its_data_centre() {
    let host = GoneHost::new(NOW.0 - 3_000, placed(4, "ostrava-1"));

    assert_eq!(host.next(), change(MemberChange::Remove(DiskId(3))));
}

/// Guards against the removal of a host that restarts, and against one more voter meanwhile.
#[test]
fn host_that_is_silent_for_a_moment_keeps_its_vote() {
    let host = GoneHost::new(NOW.0 - 2_500, placed(4, "ostrava-1"));

    assert_eq!(host.next(), None);
}

/// Guards against a host that loses its vote to one of another data centre.
#[test]
fn host_of_another_data_centre_becomes_one_more_voter() {
    let host = GoneHost::new(NOW.0 - 3_000, placed(4, "praha-1"));

    assert_eq!(host.next(), change(MemberChange::Promote(DiskId(4))));
}

/// Guards against a majority that needs a host that is gone, after its successor came before it left.
#[test]
fn voter_that_stays_silent_is_removed_while_three_are_left() {
    let mut host = GoneHost::new(0, placed(4, "ostrava-1"));
    host.members.voters.insert(DiskId(4));
    host.members.learners.clear();

    let of_four = host.next();
    host.members.voters.remove(&DiskId(4));
    host.peers.remove(&NodeName::from("d"));
    let of_three = host.next();

    assert_eq!(of_four, change(MemberChange::Remove(DiskId(3))));
    assert_eq!(of_three, None);
}

/// Guards against a second group that is formed by a node that was added later.
#[test]
fn node_that_only_joins_forms_no_group() {
    let joiner = PeerAnnouncement {
        configured_names: BTreeSet::new(),
        ..empty(4)
    };
    let peers = seen(&[("a", empty(1)), ("b", empty(2)), ("c", empty(3))]);

    assert_eq!(bootstrap_members(&joiner, &peers, NOW), None);
}
