//! Losses at each moment of a replacement, on a model of the group.
//!
//! The model has hosts, their announcements and a membership, but no log: a change is committed at once
//! if a majority of the voters after it runs. It checks at each moment when the group must bear a loss
//! that each voter could be lost, and at all others that the group has a quorum.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use control::formation::{PeerAnnouncement, SeenPeer, SeenPeers};
use control::members::{MemberStep, MemberView, PromotionThresholds, next_step, replace_timeout};
use raft::{LogIndex, MemberChange, Membership};
use rstest::rstest;
use units::{ClockTime, DataCentreName, DiskId, NodeName};

/// Time between two looks at the membership.
const STEP_MS: u64 = 250;

/// Time between two announcements of a host.
const ANNOUNCE_MS: u64 = 500;

/// Time until a new leader acts after the loss of the previous one.
const ELECTION_MS: u64 = 1_250;

/// Time in which a learner receives the log.
const COPY_MS: u64 = 500;

/// Time from the start of a host to its first announcement.
const START_MS: u64 = 250;

/// Time after the start of a replacement from which the group must bear another loss.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Host with one data folder.
#[derive(Debug)]
struct ModelHost {
    name: NodeName,
    id: DiskId,
    data_centre: DataCentreName,
    is_running: bool,
    is_leaving: bool,
    started_at: u64,
    learner_since: Option<u64>,
}

#[derive(Debug)]
struct ModelGroup {
    now_ms: u64,
    hosts: Vec<ModelHost>,
    members: Membership,
    names: BTreeMap<DiskId, NodeName>,
    peers: SeenPeers,
    thresholds: PromotionThresholds,
    leader: DiskId,
    leader_from: u64,
    changes: Vec<String>,
}

impl ModelGroup {
    /// Group of running hosts, one in each data centre.
    fn new(count: u128) -> Self {
        let ids: BTreeSet<DiskId> = (1..=count).map(DiskId).collect();
        let mut group = Self {
            now_ms: 60_000,
            hosts: Vec::new(),
            members: Membership {
                voters: ids.clone(),
                ..Membership::default()
            },
            names: BTreeMap::new(),
            peers: SeenPeers::new(),
            thresholds: PromotionThresholds::default(),
            leader: DiskId(1),
            leader_from: 0,
            changes: Vec::new(),
        };
        for id in ids {
            let name = group.start(id.0, &format!("dc-{id}"));
            group.names.insert(id, name);
        }
        group.run_for(2_000, |_| {});
        group
    }

    /// Starts a host with an empty data folder under a name of its own.
    fn start(&mut self, id: u128, data_centre: &str) -> NodeName {
        let name = NodeName::from(format!("control-{id}").as_str());
        self.start_as(name.clone(), id, data_centre);
        name
    }

    fn start_as(&mut self, name: NodeName, id: u128, data_centre: &str) {
        self.hosts.push(ModelHost {
            name,
            id: DiskId(id),
            data_centre: data_centre.into(),
            is_running: true,
            is_leaving: false,
            started_at: self.now_ms,
            learner_since: None,
        });
    }

    fn host(&mut self, id: u128) -> &mut ModelHost {
        let mut hosts = self.hosts.iter_mut();
        hosts.find(|host| host.id == DiskId(id)).unwrap()
    }

    fn is_running(&self, id: DiskId) -> bool {
        let mut hosts = self.hosts.iter();
        hosts.any(|host| host.id == id && host.is_running)
    }

    fn has_majority(&self, members: &Membership, lost: Option<DiskId>) -> bool {
        let voters = members.voters.iter();
        let running = voters.filter(|id| self.is_running(**id) && Some(**id) != lost);
        running.count() >= members.majority_size()
    }

    /// Voters whose loss the group would not bear now.
    fn critical_voters(&self) -> Vec<DiskId> {
        let voters = self.members.voters.iter().copied();
        voters
            .filter(|id| self.is_running(*id) && !self.has_majority(&self.members, Some(*id)))
            .collect()
    }

    fn run_for(&mut self, ms: u64, check: impl Fn(&Self)) {
        for _ in 0..ms / STEP_MS {
            self.now_ms += STEP_MS;
            self.announce();
            self.elect();
            self.change_members();
            assert!(
                self.has_majority(&self.members, None),
                "no quorum: {self:#?}"
            );
            check(self);
        }
    }

    fn announce(&mut self) {
        let now = self.now_ms;
        for host in self.hosts.iter().filter(|host| host.is_running) {
            let is_due = now.is_multiple_of(ANNOUNCE_MS) || host.is_leaving;
            if now < host.started_at + START_MS || !is_due {
                continue;
            }
            let has_log = host
                .learner_since
                .is_none_or(|since| now >= since + COPY_MS);
            let announcement = PeerAnnouncement {
                id: host.id,
                is_empty: false,
                configured_names: BTreeSet::new(),
                initial_members: None,
                applied_index: LogIndex(if has_log { 50 } else { 0 }),
                address: None,
                is_leaving: host.is_leaving,
                data_centre: Some(host.data_centre.clone()),
                known_peers: BTreeMap::new(),
            };
            let received_at = ClockTime(now);
            let peer = SeenPeer {
                announcement,
                received_at,
            };
            self.peers.insert(host.name.clone(), peer);
        }
    }

    fn elect(&mut self) {
        if self.can_lead(self.leader) {
            return;
        }
        let mut voters = self.members.voters.iter().copied();
        let next = voters.find(|id| self.can_lead(*id)).unwrap();
        let is_transferred = self.is_running(self.leader);
        self.leader = next;
        self.leader_from = match is_transferred {
            true => self.now_ms,
            false => self.now_ms + ELECTION_MS,
        };
    }

    /// Whether a host may lead. A leader transfers its leadership before it leaves.
    fn can_lead(&self, id: DiskId) -> bool {
        let mut hosts = self.hosts.iter();
        let is_leaving = hosts.any(|host| host.id == id && host.is_leaving);
        self.is_running(id) && self.members.voters.contains(&id) && !is_leaving
    }

    fn change_members(&mut self) {
        // Steps that become possible by a commit follow without a pause.
        while let Some(step) = self.due_step() {
            match step {
                MemberStep::RecordName(id, name) => {
                    self.names.insert(id, name);
                }
                MemberStep::Change(change) => {
                    let members = with_change(&self.members, &change);
                    if !self.has_majority(&members, None) {
                        return;
                    }
                    self.changes.push(format!("{} ms: {change:?}", self.now_ms));
                    self.members = members;
                    self.apply(&change);
                }
            }
        }
    }

    fn due_step(&mut self) -> Option<MemberStep> {
        if self.now_ms < self.leader_from {
            return None;
        }
        let leader = self.hosts.iter().find(|host| host.id == self.leader)?;
        let mut peers = self.peers.clone();
        peers.remove(&leader.name);
        let view = MemberView {
            own: (leader.id, &leader.name),
            own_data_centre: Some(&leader.data_centre),
            configured_names: &BTreeSet::new(),
            peers: &peers,
            membership: &self.members,
            recorded_names: &self.names,
            commit_index: LogIndex(50),
            listening_since: ClockTime(leader.started_at),
            replace_timeout: replace_timeout(CATCH_UP_TIME),
            now: ClockTime(self.now_ms),
        };
        next_step(&view, &mut self.thresholds)
    }

    fn apply(&mut self, change: &MemberChange) {
        let now = self.now_ms;
        let id = change.id();
        let Some(host) = self.hosts.iter_mut().find(|host| host.id == id) else {
            return;
        };
        match change {
            MemberChange::AddLearner(_) => host.learner_since = Some(now),
            MemberChange::Promote(_) => {}
            // A removed host that runs joins again with another data folder, unless it is leaving.
            MemberChange::Remove(_) if host.is_leaving => host.is_running = false,
            MemberChange::Remove(_) => host.id = DiskId(id.0 + 1_000),
        }
    }

    fn crash(&mut self, id: u128) {
        self.host(id).is_running = false;
    }
}

fn with_change(members: &Membership, change: &MemberChange) -> Membership {
    let mut members = members.clone();
    match *change {
        MemberChange::AddLearner(id) => {
            members.learners.insert(id);
        }
        MemberChange::Promote(id) => {
            members.learners.remove(&id);
            members.voters.insert(id);
        }
        MemberChange::Remove(id) => {
            members.learners.remove(&id);
            members.voters.remove(&id);
            members.removed.insert(id);
        }
    }
    members
}

/// How a host is replaced: with a notice or without, and when its replacement starts.
#[derive(Debug, Clone, Copy)]
enum Replacement {
    /// The host is lost, and its replacement starts this much later.
    Lost(u64),
    /// The replacement starts first, and the host is told to stop this much later.
    Planned(u64),
}

/// Replaces a host, and runs until the group must bear another loss.
fn replace(group: &mut ModelGroup, old: u128, new: u128, data_centre: &str, how: Replacement) {
    let delay = match how {
        Replacement::Lost(delay) => {
            group.crash(old);
            group.run_for(delay, |_| {});
            group.start(new, data_centre);
            0
        }
        Replacement::Planned(delay) => {
            group.start(new, data_centre);
            group.run_for(delay, |_| {});
            group.host(old).is_leaving = true;
            delay
        }
    };
    let rest = CATCH_UP_TIME.as_millis() as u64 - delay.min(CATCH_UP_TIME.as_millis() as u64);
    group.run_for(rest, |_| {});
}

fn assert_bears_any_loss(group: &ModelGroup) {
    assert_eq!(group.critical_voters(), [], "{group:#?}");
}

/// Guards against a seat that a lost host keeps after the catch-up time of its replacement, at each
/// time between the loss and the start of the replacement.
#[rstest]
fn group_bears_any_loss_after_a_replacement(
    #[values(3, 5, 6, 7)] count: u128,
    #[values(1, 2)] old: u128,
    #[values(true, false)] is_same_data_centre: bool,
    #[values(true, false)] is_planned: bool,
) {
    for delay in (0..=6_000).step_by(250) {
        let mut group = ModelGroup::new(count);
        let how = match is_planned {
            true => Replacement::Planned(delay),
            false => Replacement::Lost(delay),
        };
        let data_centre = match is_same_data_centre || is_planned {
            true => format!("dc-{}", DiskId(old)),
            false => "dc-new".into(),
        };

        replace(&mut group, old, 100, &data_centre, how);

        assert_bears_any_loss(&group);
        group.run_for(20_000, assert_bears_any_loss);
        // A group that was formed with an even number keeps it: it bears as many losses.
        let is_odd = group.members.voters.len() % 2 == 1;
        assert!(is_odd || count == 6, "{how:?}: {group:#?}");
    }
}

/// Guards against a second replacement that meets an unfinished first one.
#[rstest]
fn group_bears_any_loss_after_replacements_in_series(
    #[values(0, 500, 1_000, 2_000, 3_500)] delay: u64,
    #[values(true, false)] is_planned: bool,
) {
    let mut group = ModelGroup::new(3);
    for (old, new) in [(1, 101), (2, 102), (3, 103), (101, 104), (102, 105)] {
        let how = match is_planned {
            true => Replacement::Planned(delay),
            false => Replacement::Lost(delay),
        };
        let data_centre = group.host(old).data_centre.clone();
        replace(&mut group, old, new, data_centre.as_str(), how);

        assert_bears_any_loss(&group);
    }

    assert_eq!(group.members.voters.len(), 3);
}

/// Guards against a replaced host's seat being decided anew when the next host loses its disk: at each
/// moment after the catch-up time of the first replacement.
#[test]
fn group_bears_a_lost_disk_after_a_replacement() {
    for after in (0..8_000).step_by(250) {
        for lost in [2, 3, 100] {
            let mut group = ModelGroup::new(3);
            let data_centre = group.host(1).data_centre.clone();
            replace(
                &mut group,
                1,
                100,
                data_centre.as_str(),
                Replacement::Lost(500),
            );
            group.run_for(after, assert_bears_any_loss);

            let name = group.host(lost).name.clone();
            let data_centre = group.host(lost).data_centre.clone();
            group.crash(lost);
            group.run_for(1_000, |_| {});
            group.start_as(name, 200, data_centre.as_str());
            group.run_for(4_000, |_| {});

            assert_bears_any_loss(&group);
            assert_eq!(group.members.voters.len(), 3, "{group:#?}");
        }
    }
}

/// Guards against a group that stays at three voters, or that counts on an even number, when hosts
/// are added one after the other.
#[rstest]
fn group_grows_to_an_odd_number_of_voters(#[values(1, 2, 3, 4)] added: u128) {
    let mut group = ModelGroup::new(3);

    for id in 0..added {
        group.start(100 + id, &format!("dc-new-{id}"));
        group.run_for(750, |_| {});
    }
    group.run_for(10_000, |_| {});

    assert_eq!(group.members.voters.len() as u128, 3 + added / 2 * 2);
    assert_bears_any_loss(&group);
}

/// Guards against a seat that is lost for good when a cut host comes back after its seat was given away.
#[test]
fn host_that_returns_after_its_seat_was_taken_stands_by() {
    let mut group = ModelGroup::new(3);
    group.start(100, "dc-new");
    group.run_for(5_000, assert_bears_any_loss);

    let (name, data_centre) = (
        group.host(3).name.clone(),
        group.host(3).data_centre.clone(),
    );
    group.crash(3);
    group.run_for(6_000, |_| {});
    group.start_as(name, 200, data_centre.as_str());
    group.run_for(5_000, |_| {});

    assert_bears_any_loss(&group);
    assert_eq!(group.members.voters.len(), 3, "{group:#?}");
}
