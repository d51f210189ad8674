//! Decisions on forming a group and on the order of membership changes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use control::formation::{PeerAnnouncement, SeenPeer, SeenPeers, bootstrap_members};
use control::members::{
    ListeningTime, MemberStep, MemberView, PromotionThresholds, REPLACE_TIMEOUT, next_step,
    replace_timeout,
};
use raft::{LogIndex, MemberChange, Membership};
use rstest::rstest;
use units::{ClockTime, DiskId, NodeName};

const NOW: ClockTime = ClockTime(10_000);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn names(values: &[&str]) -> BTreeSet<NodeName> {
    values.iter().map(|name| NodeName::from(*name)).collect()
}

fn ids(values: &[u128]) -> BTreeSet<DiskId> {
    values.iter().copied().map(DiskId).collect()
}

fn empty_node(id: u128) -> PeerAnnouncement {
    PeerAnnouncement {
        id: DiskId(id),
        is_empty: true,
        configured_names: names(&["a", "b", "c"]),
        initial_members: None,
        applied_index: LogIndex(0),
        address: None,
        is_leaving: false,
        data_centre: None,
        known_peers: BTreeMap::new(),
    }
}

fn formed_node(id: u128, initial_members: &[u128]) -> PeerAnnouncement {
    PeerAnnouncement {
        is_empty: false,
        initial_members: (!initial_members.is_empty()).then(|| ids(initial_members)),
        ..empty_node(id)
    }
}

fn announced(peers: &[(&str, PeerAnnouncement)]) -> SeenPeers {
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
    let peers = announced(&[("b", empty_node(2)), ("c", empty_node(3))]);

    assert_eq!(
        bootstrap_members(&empty_node(1), &peers, NOW),
        Some(ids(&[1, 2, 3]))
    );
}

/// Guards against forming a second group while another one exists or may exist.
#[test]
fn group_is_not_formed_unless_all_configured_nodes_are_present_and_empty() {
    let other_list = PeerAnnouncement {
        configured_names: names(&["a", "c"]),
        ..empty_node(3)
    };
    let mut silent = announced(&[("b", empty_node(2)), ("c", empty_node(3))]);
    silent.get_mut(&NodeName::from("c")).unwrap().received_at = ClockTime(7_000);
    let cases = [
        announced(&[("b", empty_node(2))]),
        announced(&[("b", empty_node(2)), ("d", empty_node(4))]),
        announced(&[("b", empty_node(2)), ("c", other_list)]),
        announced(&[("b", empty_node(2)), ("c", formed_node(3, &[]))]),
        announced(&[("b", empty_node(2)), ("c", formed_node(3, &[2, 3, 9]))]),
        silent,
    ];

    for peers in cases {
        assert_eq!(
            bootstrap_members(&empty_node(1), &peers, NOW),
            None,
            "{peers:?}"
        );
    }
}

/// Guards against a node that never joins because another node formed the group shortly before.
#[test]
fn initial_members_are_adopted_from_a_node_that_formed_the_group() {
    let peers = announced(&[("b", formed_node(2, &[1, 2, 3]))]);

    assert_eq!(
        bootstrap_members(&empty_node(1), &peers, NOW),
        Some(ids(&[1, 2, 3]))
    );
}

/// Group of the nodes a, b and c with the leader a, in which data folder 3 of c was replaced by 4.
struct ReplacedHost {
    members: Membership,
    recorded_names: BTreeMap<DiskId, NodeName>,
    thresholds: PromotionThresholds,
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
            thresholds: PromotionThresholds::default(),
            applied_index: 0,
        }
    }

    fn next_step(&mut self, commit_index: u64) -> Option<MemberStep> {
        let replacement = PeerAnnouncement {
            applied_index: LogIndex(self.applied_index),
            ..empty_node(4)
        };
        let peers = announced(&[("b", formed_node(2, &[])), ("c", replacement)]);
        let view = MemberView {
            own: (DiskId(1), &NodeName::from("a")),
            own_data_centre: None,
            configured_names: &names(&["a", "b", "c"]),
            peers: &peers,
            membership: &self.members,
            recorded_names: &self.recorded_names,
            commit_index: LogIndex(commit_index),
            listening_since: NOW,
            replace_timeout: REPLACE_TIMEOUT,
            now: NOW,
        };
        next_step(&view, &mut self.thresholds)
    }

    fn apply(&mut self, step: MemberStep) {
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

/// Guards against two voters on one host, and against removing the old id before the new one has
/// caught up with the log: losing a second host would then cost the majority.
#[test]
fn replaced_host_catches_up_before_its_old_id_is_removed() {
    let mut host = ReplacedHost::new();
    let (old, new) = (DiskId(3), DiskId(4));
    let change = |change| Some(MemberStep::Change(change));

    let record = host.next_step(50);
    host.apply(record.clone().unwrap());
    let join = host.next_step(50);
    host.apply(join.clone().unwrap());
    let behind = host.next_step(50);
    host.applied_index = 49;
    let still_behind = host.next_step(60);
    host.applied_index = 50;
    let remove = host.next_step(70);
    host.apply(remove.clone().unwrap());
    let promote = host.next_step(70);
    host.apply(promote.clone().unwrap());
    let settled = host.next_step(70);

    assert_eq!(record, Some(MemberStep::RecordName(new, "c".into())));
    assert_eq!(join, change(MemberChange::AddLearner(new)));
    assert_eq!((behind, still_behind), (None, None));
    assert_eq!(remove, change(MemberChange::Remove(old)));
    assert_eq!(promote, change(MemberChange::Promote(new)));
    assert_eq!(settled, None);
}

/// Guards against adding a removed data folder again when its node comes back.
#[test]
fn removed_folder_is_not_added_again() {
    let mut host = ReplacedHost::new();
    host.members.removed.insert(DiskId(4));

    assert_eq!(host.next_step(50), None);
}

/// Guards against both new ids staying learners after a host has lost its data folder twice.
#[test]
fn learner_of_unfinished_replacement_is_removed_too() {
    let mut host = ReplacedHost::new();
    for id in [5, 4] {
        host.recorded_names.insert(DiskId(id), "c".into());
        host.members.learners.insert(DiskId(id));
    }
    host.applied_index = 50;
    let mut removed = Vec::new();

    while let Some(step) = host.next_step(50) {
        if let MemberStep::Change(MemberChange::Remove(id)) = &step {
            removed.push(*id);
        }
        host.apply(step);
    }

    assert_eq!(removed, [DiskId(3), DiskId(5)]);
    assert_eq!(host.members.voters, ids(&[1, 2, 4]));
    assert!(host.members.learners.is_empty());
}

/// Guards against a voter that is never removed because its host was lost before its name was
/// recorded.
#[test]
fn host_lost_before_its_name_was_recorded_is_replaced() {
    let mut host = ReplacedHost::new();
    host.recorded_names.remove(&DiskId(3));
    host.applied_index = 50;

    while let Some(step) = host.next_step(50) {
        host.apply(step);
    }

    assert_eq!(host.members.voters, ids(&[1, 2, 4]));
    assert!(host.members.removed.contains(&DiskId(3)));
}

/// Guards against removing a live voter. The leader has received no announcement from it, so its
/// name is not recorded, and it could be mistaken for the old data folder of a replaced host.
#[test]
fn voter_without_an_announcement_is_not_removed() {
    let mut host = ReplacedHost::new();
    host.recorded_names.remove(&DiskId(3));
    host.recorded_names.remove(&DiskId(2));
    host.members.learners.insert(DiskId(4));
    host.recorded_names.insert(DiskId(4), "c".into());
    host.applied_index = 50;
    let replacement = PeerAnnouncement {
        applied_index: LogIndex(50),
        ..empty_node(4)
    };

    let view = MemberView {
        own: (DiskId(1), &NodeName::from("a")),
        own_data_centre: None,
        configured_names: &names(&["a", "b", "c"]),
        peers: &announced(&[("c", replacement)]),
        membership: &host.members,
        recorded_names: &host.recorded_names,
        commit_index: LogIndex(50),
        listening_since: NOW,
        replace_timeout: REPLACE_TIMEOUT,
        now: NOW,
    };

    let step = next_step(&view, &mut host.thresholds);

    assert_eq!(step, None);
}

fn node_in(id: u128, data_centre: &str) -> PeerAnnouncement {
    PeerAnnouncement {
        data_centre: Some(data_centre.into()),
        applied_index: LogIndex(50),
        ..formed_node(id, &[])
    }
}

/// Three voters, of which `c` sent its last announcement at `silent_since`, and a learner `d`.
struct SilentHost {
    peers: SeenPeers,
    members: Membership,
    recorded_names: BTreeMap<DiskId, NodeName>,
}

impl SilentHost {
    fn new(silent_since: u64, learner: PeerAnnouncement) -> Self {
        let mut peers = announced(&[
            ("b", node_in(2, "brno-1")),
            ("c", node_in(3, "ostrava-1")),
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

    fn next_step(&self) -> Option<MemberStep> {
        let view = MemberView {
            own: (DiskId(1), &NodeName::from("a")),
            own_data_centre: None,
            configured_names: &names(&["a", "b", "c"]),
            peers: &self.peers,
            membership: &self.members,
            recorded_names: &self.recorded_names,
            commit_index: LogIndex(50),
            listening_since: ClockTime(0),
            replace_timeout: REPLACE_TIMEOUT,
            now: NOW,
        };
        next_step(&view, &mut PromotionThresholds::default())
    }
}

fn change(change: MemberChange) -> Option<MemberStep> {
    Some(MemberStep::Change(change))
}

/// Guards against a group that keeps the vote of a lost host because its replacement has another
/// name and address, and against a vote that is taken away before its successor has one: if the
/// successor is lost then, the silent host could not help when it comes back.
#[rstest]
#[case::same_data_centre("ostrava-1")]
#[case::other_data_centre("praha-1")]
fn silent_host_is_removed_after_its_successor_was_promoted(#[case] data_centre: &str) {
    let mut host = SilentHost::new(NOW.0 - 3_000, node_in(4, data_centre));

    let promote = host.next_step();
    host.members.learners.clear();
    host.members.voters.insert(DiskId(4));
    let remove = host.next_step();

    assert_eq!(promote, change(MemberChange::Promote(DiskId(4))));
    assert_eq!(remove, change(MemberChange::Remove(DiskId(3))));
}

/// Guards against removing a host that is only restarting, and against promoting an additional
/// voter in the meantime.
#[test]
fn briefly_silent_host_keeps_its_vote() {
    let host = SilentHost::new(NOW.0 - 2_500, node_in(4, "ostrava-1"));

    assert_eq!(host.next_step(), None);
}

/// Guards against a majority that depends on a lost host whose replacement became a voter before
/// the lost host was removed.
#[test]
fn silent_voter_is_removed_only_if_three_voters_are_left() {
    let mut host = SilentHost::new(0, node_in(4, "ostrava-1"));
    host.members.voters.insert(DiskId(4));
    host.members.learners.clear();

    let of_four = host.next_step();
    host.members.voters.remove(&DiskId(4));
    host.peers.remove(&NodeName::from("d"));
    let of_three = host.next_step();

    assert_eq!(of_four, change(MemberChange::Remove(DiskId(3))));
    assert_eq!(of_three, None);
}

/// Guards against a second group formed by a node that was added later.
#[test]
fn join_only_node_forms_no_group() {
    let joiner = PeerAnnouncement {
        configured_names: BTreeSet::new(),
        ..empty_node(4)
    };
    let peers = announced(&[
        ("a", empty_node(1)),
        ("b", empty_node(2)),
        ("c", empty_node(3)),
    ]);

    assert_eq!(bootstrap_members(&joiner, &peers, NOW), None);
}

/// Group of the voters a, b and c in three data centres, led by a, with learners that have caught up.
struct SeatedGroup {
    members: Membership,
    peers: SeenPeers,
    recorded_names: BTreeMap<DiskId, NodeName>,
    replace_timeout: Duration,
    lagging: Option<DiskId>,
}

impl SeatedGroup {
    fn new(learners: &[(&str, PeerAnnouncement)]) -> Self {
        let voters = [("b", node_in(2, "brno-1")), ("c", node_in(3, "ostrava-1"))];
        let learner_ids: Vec<u128> = learners.iter().map(|(_, node)| node.id.0).collect();
        let known = [(1, "a"), (2, "b"), (3, "c")];
        let known = known.map(|(id, name)| (DiskId(id), NodeName::from(name)));
        let joined = learners
            .iter()
            .map(|(name, node)| (node.id, NodeName::from(*name)));
        Self {
            members: Membership {
                voters: ids(&[1, 2, 3]),
                learners: ids(&learner_ids),
                ..Membership::default()
            },
            peers: announced(&[&voters[..], learners].concat()),
            recorded_names: known.into_iter().chain(joined).collect(),
            replace_timeout: REPLACE_TIMEOUT,
            lagging: None,
        }
    }

    fn peer(&mut self, name: &str) -> &mut SeenPeer {
        self.peers.get_mut(&NodeName::from(name)).unwrap()
    }

    fn next_step(&self) -> Option<MemberStep> {
        let view = MemberView {
            own: (DiskId(1), &NodeName::from("a")),
            own_data_centre: Some(&"praha-1".into()),
            configured_names: &names(&["a", "b", "c"]),
            peers: &self.peers,
            membership: &self.members,
            recorded_names: &self.recorded_names,
            commit_index: LogIndex(50),
            listening_since: ClockTime(0),
            replace_timeout: self.replace_timeout,
            now: NOW,
        };
        let mut thresholds = PromotionThresholds::default();
        thresholds.set_lagging(self.lagging);
        next_step(&view, &mut thresholds)
    }
}

/// Guards against a fourth voter beside three that are present. If one of the four is lost later, the
/// group depends on each of the others.
#[test]
fn single_learner_beside_present_voters_stands_by() {
    let group = SeatedGroup::new(&[("d", node_in(4, "ostrava-1"))]);

    assert_eq!(group.next_step(), None);
}

/// Guards against a fourth voter beside a lost one whose silence is too short to be noticed.
#[test]
fn learner_stands_by_while_the_loss_of_a_voter_is_unnoticed() {
    let mut group = SeatedGroup::new(&[("d", node_in(4, "ostrava-1"))]);
    group.peer("c").received_at = NOW - ms(1_700);

    let unnoticed = group.next_step();
    group.peer("c").received_at = NOW - ms(2_500);
    let absent = group.next_step();
    group.peer("c").received_at = NOW - REPLACE_TIMEOUT;
    let lost = group.next_step();

    assert_eq!((unnoticed, absent), (None, None));
    assert_eq!(lost, change(MemberChange::Promote(DiskId(4))));
}

/// Guards against a group that never grows because single learners stand by.
#[test]
fn two_learners_enlarge_the_group_one_after_the_other() {
    let learners = [("d", node_in(4, "plzen-1")), ("e", node_in(5, "olomouc-1"))];
    let mut group = SeatedGroup::new(&learners);

    let first = group.next_step();
    group.members.learners = ids(&[5]);
    group.members.voters = ids(&[1, 2, 3, 4]);
    let second = group.next_step();

    assert_eq!(first, change(MemberChange::Promote(DiskId(4))));
    assert_eq!(second, change(MemberChange::Promote(DiskId(5))));
}

/// Guards against a data centre that gets a majority of the votes, so that its loss halts the group.
#[test]
fn two_learners_of_one_data_centre_with_a_voter_do_not_enlarge_the_group() {
    let learners = [("d", node_in(4, "brno-1")), ("e", node_in(5, "brno-1"))];
    let group = SeatedGroup::new(&learners);

    assert_eq!(group.next_step(), None);
}

/// Guards against a successor that is promoted beside a voter of which nothing was heard since it said
/// that it is leaving.
#[test]
fn leaving_voter_that_has_fallen_silent_is_lost_once_it_is_absent() {
    let mut group = SeatedGroup::new(&[("d", node_in(4, "ostrava-1"))]);
    group.peer("c").announcement.is_leaving = true;
    group.peer("c").received_at = NOW - ms(2_100);

    let promote = group.next_step();
    group.members.learners.clear();
    group.members.voters.insert(DiskId(4));
    let remove = group.next_step();

    assert_eq!(promote, change(MemberChange::Promote(DiskId(4))));
    assert_eq!(remove, change(MemberChange::Remove(DiskId(3))));
}

/// Guards against acknowledged changes on so few disks that tolerated losses destroy them.
#[test]
fn lost_voters_of_an_odd_number_stay_without_a_successor() {
    let learners = [("d", node_in(4, "plzen-1")), ("e", node_in(5, "olomouc-1"))];
    let mut group = SeatedGroup::new(&learners);
    group.members.learners.clear();
    group.members.voters = ids(&[1, 2, 3, 4, 5]);
    group.peer("d").received_at = ClockTime(0);
    group.peer("e").received_at = ClockTime(0);

    assert_eq!(group.next_step(), None);
}

/// Guards against a replacement timeout that is shorter than the time for which hosts count as present,
/// and therefore has no effect.
#[test]
fn short_replacement_timeout_is_kept() {
    let mut group = SeatedGroup::new(&[("d", node_in(4, "ostrava-1"))]);
    group.replace_timeout = ms(1_500);
    group.peer("c").received_at = NOW - ms(1_500);

    assert_eq!(group.next_step(), change(MemberChange::Promote(DiskId(4))));
}

/// Guards against a leader that takes the time for which it did not run for silence of the others.
#[test]
fn silence_counts_anew_after_a_gap_between_ticks() {
    let mut listening = ListeningTime::starting_at(ClockTime(0));
    let mut since = Vec::new();

    for now in [20, 980, 1_900, 6_000, 6_020] {
        listening.tick(ClockTime(now));
        since.push(listening.since().0);
    }

    assert_eq!(since, [0, 0, 0, 6_000, 6_000]);
}

/// Guards against a planned stop that leaves an empty seat, although a successor stands by.
#[test]
fn leaving_voter_is_removed_after_its_successor_was_promoted() {
    let mut group = SeatedGroup::new(&[("d", node_in(4, "ostrava-1"))]);
    group.peer("c").announcement.is_leaving = true;

    let promote = group.next_step();
    group.members.learners.clear();
    group.members.voters.insert(DiskId(4));
    let remove = group.next_step();

    assert_eq!(promote, change(MemberChange::Promote(DiskId(4))));
    assert_eq!(remove, change(MemberChange::Remove(DiskId(3))));
}

/// Guards against a restart that costs a voter its seat, because a learner elsewhere stands by.
#[test]
fn leaving_voter_keeps_its_seat_without_a_successor_in_its_data_centre() {
    let mut group = SeatedGroup::new(&[("d", node_in(4, "brno-1"))]);
    group.peer("c").announcement.is_leaving = true;

    assert_eq!(group.next_step(), None);
}

/// Guards against a majority that depends on one data centre after a lost host there has come back.
#[test]
fn seat_moves_to_the_data_centre_without_a_voter() {
    let mut group = SeatedGroup::new(&[("d", node_in(4, "plzen-1"))]);
    group.peer("c").announcement.data_centre = Some("brno-1".into());

    let promote = group.next_step();
    group.members.learners.clear();
    group.members.voters.insert(DiskId(4));
    let Some(MemberStep::Change(MemberChange::Remove(removed))) = group.next_step() else {
        panic!("{:?}", group.next_step());
    };

    assert_eq!(promote, change(MemberChange::Promote(DiskId(4))));
    assert!(ids(&[2, 3]).contains(&removed), "{removed}");
}

/// Guards against a lost voter that keeps its seat, because a learner that lags hides the one that could
/// take it.
#[test]
fn learner_that_lags_does_not_hide_another_one() {
    let learners = [
        ("d", node_in(4, "ostrava-1")),
        ("e", node_in(5, "ostrava-1")),
    ];
    let mut group = SeatedGroup::new(&learners);
    group.peer("c").received_at = NOW - REPLACE_TIMEOUT;

    group.lagging = Some(DiskId(4));

    assert_eq!(group.next_step(), change(MemberChange::Promote(DiskId(5))));
}

/// Guards against ten seconds without tolerance: one of an even number of voters is lost.
#[test]
fn lost_voter_of_four_is_removed_after_the_replacement_timeout() {
    let mut group = SeatedGroup::new(&[("d", node_in(4, "plzen-1"))]);
    group.members.learners.clear();
    group.members.voters.insert(DiskId(4));
    group.peer("c").received_at = NOW - REPLACE_TIMEOUT;

    assert_eq!(group.next_step(), change(MemberChange::Remove(DiskId(3))));
}

/// Guards against the removal of a live voter by a leader that was added later and has not heard of it
/// yet.
#[test]
fn voter_without_a_name_is_not_removed_by_a_leader_without_configured_names() {
    let mut group = SeatedGroup::new(&[("d", node_in(4, "ostrava-1"))]);
    group.recorded_names.remove(&DiskId(3));
    group.peers.remove(&NodeName::from("c"));
    let view = MemberView {
        own: (DiskId(1), &NodeName::from("a")),
        own_data_centre: Some(&"praha-1".into()),
        configured_names: &BTreeSet::new(),
        peers: &group.peers,
        membership: &group.members,
        recorded_names: &group.recorded_names,
        commit_index: LogIndex(50),
        listening_since: NOW - ms(1_000),
        replace_timeout: REPLACE_TIMEOUT,
        now: NOW,
    };

    let step = next_step(&view, &mut PromotionThresholds::default());

    assert_eq!(step, None);
}

/// Guards against a replacement that takes as long as the deployment gives it.
#[test]
fn replacement_timeout_leaves_time_for_the_changes() {
    assert_eq!(replace_timeout(ms(4_000)), ms(3_000));
    assert_eq!(replace_timeout(ms(2_000)), ms(1_500));
    assert_eq!(replace_timeout(ms(60_000)), REPLACE_TIMEOUT);
}
