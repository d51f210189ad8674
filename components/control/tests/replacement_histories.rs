//! Seeded histories of losses, replacements and planned stops, on real Raft nodes with simulated
//! links and disks.
//!
//! One host is lost at a time, and the next one as soon as the group must bear it. The group must then
//! accept writes again and lose none. Losses that overlap may halt the group, but not for good, as long as
//! no more disks are lost than it bears. `seats.rs` checks the same decisions without a log.

#[path = "../../raft/tests/support/mod.rs"]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use control::formation::{PeerAnnouncement, SeenPeer, SeenPeers};
use control::members::{MemberStep, MemberView, PromotionThresholds, next_step, replace_timeout};
use raft::{LogIndex, NodeRole, NodeStatus, PersistedState, RaftSettings};
use rand::Rng;
use rstest::rstest;
use support::{FakeNet, FaultRates, small_settings};
use units::{ClockTime, DataCentreName, DiskId, NodeName};

/// Interval between two looks of the leader at the members. A control node looks every 250 ms, and at
/// once after a committed change.
const LOOK_MS: u64 = 50;

/// Interval between the announcements of a host.
const ANNOUNCE_MS: u64 = 500;

/// Time after the return or start of a host after which it no longer counts as lost.
const CATCH_UP_MS: u64 = 4_000;

/// Maximum time for which a leaving host waits for its successor.
const LEAVE_MS: u64 = 3_000;

/// Maximum time without a leader after a loss: two elections and the time to notice the loss.
const ELECTION_MS: u64 = 5_000;

/// Time after the return of all hosts after which the group must accept writes again.
const RECOVERY_MS: u64 = 12_000;

/// Number of histories of each kind in CI.
const SEEDS: u64 = 5;

/// Environment variable with another number of histories, for runs by hand.
const SEEDS_VARIABLE: &str = "REPLACEMENT_SEEDS";

/// Number of losses in a history.
const LOSSES: usize = 12;

/// Host with its name and its present data folder.
struct SimulatedHost {
    id: DiskId,
    data_centre: DataCentreName,
    is_leaving: bool,
    /// Start of the process, while it runs.
    listening_since: Option<ClockTime>,
    peers: SeenPeers,
    thresholds: PromotionThresholds,
}

/// Group of control hosts.
struct SimulatedGroup {
    net: FakeNet,
    hosts: BTreeMap<NodeName, SimulatedHost>,
    names: BTreeMap<DiskId, NodeName>,
    last_id: u128,
    /// Value of the last accepted write.
    value: u64,
}

fn settings() -> RaftSettings {
    RaftSettings {
        // Small limits as in the tests of `raft`, but whole messages for a larger membership.
        max_batch_bytes: 4_096,
        ..small_settings()
    }
}

impl SimulatedGroup {
    fn new(count: u128, seed: u64, fault_rates: FaultRates) -> Self {
        let net = FakeNet::new(count, settings(), seed);
        let mut group = Self {
            net,
            hosts: BTreeMap::new(),
            names: BTreeMap::new(),
            last_id: 1_000,
            value: 0,
        };
        for id in 1..=count {
            let name = group.add_process(DiskId(id), &format!("dc-{id}"));
            group.names.insert(DiskId(id), name);
        }
        group.run_for(4_000);
        group.net.fault_rates = fault_rates;
        group
    }

    fn add_process(&mut self, id: DiskId, data_centre: &str) -> NodeName {
        let name = NodeName::from(format!("control-{}", id.0).as_str());
        let host = SimulatedHost {
            id,
            data_centre: data_centre.into(),
            is_leaving: false,
            listening_since: Some(ClockTime(self.net.now_ms)),
            peers: SeenPeers::new(),
            thresholds: PromotionThresholds::default(),
        };
        self.hosts.insert(name.clone(), host);
        name
    }

    fn next_id(&mut self) -> DiskId {
        self.last_id += 1;
        DiskId(self.last_id)
    }

    /// Starts a new host with an empty data folder.
    fn add_host(&mut self, data_centre: &str) -> NodeName {
        let id = self.next_id();
        self.net.add_host(id, PersistedState::default());
        self.add_process(id, data_centre)
    }

    fn host(&mut self, name: &NodeName) -> &mut SimulatedHost {
        self.hosts.get_mut(name).unwrap()
    }

    fn stop(&mut self, name: &NodeName) {
        let id = self.host(name).id;
        self.host(name).listening_since = None;
        self.net.crash_node(id);
    }

    fn restart(&mut self, name: &NodeName) {
        let now = ClockTime(self.net.now_ms);
        let host = self.host(name);
        let id = host.id;
        host.listening_since = Some(now);
        host.is_leaving = false;
        host.peers.clear();
        host.thresholds = PromotionThresholds::default();
        self.net.start_node(id);
    }

    /// Gives a host an empty data folder with a new id and starts its process.
    fn replace_folder(&mut self, name: &NodeName) {
        let old = self.host(name).id;
        self.net.hosts.remove(&old);
        let id = self.next_id();
        self.net.add_host(id, PersistedState::default());
        self.host(name).id = id;
        self.restart(name);
    }

    fn remove_host(&mut self, name: &NodeName) {
        let host = self.hosts.remove(name).unwrap();
        self.net.hosts.remove(&host.id);
    }

    fn status(&self, id: DiskId) -> Option<NodeStatus> {
        Some(self.net.hosts.get(&id)?.node.as_ref()?.status())
    }

    fn run_for(&mut self, ms: u64) {
        let end_ms = self.net.now_ms + ms;
        while self.net.now_ms < end_ms {
            self.net.run_for(LOOK_MS);
            if self.net.now_ms.is_multiple_of(ANNOUNCE_MS) {
                self.announce();
            }
            self.change_members();
        }
    }

    /// Delivers the announcement of each running host to all that it reaches. A host whose data folder
    /// was removed joins again with an empty one, or ends if it is leaving.
    fn announce(&mut self) {
        let mut removed = BTreeSet::new();
        let names: Vec<NodeName> = self.hosts.keys().cloned().collect();
        for sender in &names {
            let host = &self.hosts[sender];
            if host.listening_since.is_none() {
                continue;
            }
            let (id, announcement) = (host.id, self.announcement(host));
            for receiver in names.iter().filter(|name| *name != sender) {
                let receiver_id = self.hosts[receiver].id;
                let is_blocked = self.net.blocked_links.contains(&(id, receiver_id));
                let Some(status) = self.status(receiver_id).filter(|_| !is_blocked) else {
                    continue;
                };
                if status.is_membership_committed && status.membership.removed.contains(&id) {
                    removed.insert(sender.clone());
                }
                if !status.membership.removed.contains(&id) {
                    let peer = SeenPeer {
                        announcement: announcement.clone(),
                        received_at: ClockTime(self.net.now_ms),
                    };
                    self.host(receiver).peers.insert(sender.clone(), peer);
                }
            }
        }
        for name in removed {
            match self.host(&name).is_leaving {
                true => self.stop(&name),
                false => self.replace_folder(&name),
            }
        }
    }

    fn announcement(&self, host: &SimulatedHost) -> PeerAnnouncement {
        PeerAnnouncement {
            id: host.id,
            is_empty: false,
            configured_names: BTreeSet::new(),
            initial_members: None,
            applied_index: LogIndex(self.net.hosts[&host.id].applied_index),
            address: None,
            is_leaving: host.is_leaving,
            data_centre: Some(host.data_centre.clone()),
            known_peers: BTreeMap::new(),
        }
    }

    fn change_members(&mut self) {
        let leaders = self.hosts.iter().filter_map(|(name, host)| {
            let status = self.status(host.id)?;
            (status.role == NodeRole::Leader).then(|| (name.clone(), status))
        });
        for (name, status) in leaders.collect::<Vec<_>>() {
            let now = ClockTime(self.net.now_ms);
            let host = self.hosts.get_mut(&name).unwrap();
            let view = MemberView {
                own: (host.id, &name),
                own_data_centre: Some(&host.data_centre),
                configured_names: &BTreeSet::new(),
                peers: &host.peers,
                membership: &status.membership,
                recorded_names: &self.names,
                commit_index: status.commit_index,
                listening_since: host.listening_since.unwrap(),
                replace_timeout: replace_timeout(Duration::from_millis(CATCH_UP_MS)),
                now,
            };
            match next_step(&view, &mut host.thresholds) {
                Some(MemberStep::RecordName(id, name)) => {
                    self.names.insert(id, name);
                }
                Some(MemberStep::Change(change)) => {
                    // A refused change is tried again at the next look.
                    self.net.call(status.id, |node, now| {
                        node.change_member(change, now).unwrap_or_default()
                    });
                }
                None => {}
            }
        }
    }

    fn leader(&self) -> Option<NodeName> {
        let id = self.net.leader()?;
        let mut hosts = self.hosts.iter();
        let (name, _) = hosts.find(|(_, host)| host.id == id)?;
        Some(name.clone())
    }

    /// Writes a value, and waits until a majority has applied it.
    fn write(&mut self) {
        self.value += 1;
        let value = self.value;
        let end_ms = self.net.now_ms + ELECTION_MS;
        loop {
            assert!(
                self.net.now_ms < end_ms,
                "value {value} is not accepted: {}",
                self.members_text()
            );
            if let Some(leader) = self.net.leader()
                && self.net.propose(leader, value)
            {
                self.run_for(200);
                if self.net.hosts[&leader].value == value {
                    return;
                }
            }
            self.run_for(LOOK_MS);
        }
    }

    /// Writes a value in half of the cases, so that some losses are followed by a change at once.
    fn write_at_random(&mut self) {
        if self.net.rng.random_range(0..2) == 0 {
            self.write();
        }
    }

    fn members_text(&self) -> String {
        let hosts = self.hosts.iter().map(|(name, host)| {
            let status = self.status(host.id);
            let members = status.map(|status| status.membership);
            format!("{name} {}: {members:?}\n", host.id)
        });
        hosts.collect()
    }

    /// Loses a random host, and runs until it no longer counts as lost.
    fn lose_host(&mut self) -> String {
        let names: Vec<NodeName> = self.hosts.keys().cloned().collect();
        let name = names[self.net.rng.random_range(0..names.len())].clone();
        let data_centre = self.host(&name).data_centre.clone();
        let delay = self.net.rng.random_range(0..20) * 250;
        let kind = self.net.rng.random_range(0..6);
        match kind {
            // Killed and started again.
            0 => {
                self.stop(&name);
                self.write_at_random();
                self.run_for(delay);
                self.restart(&name);
            }
            // Without its disk.
            1 => {
                self.stop(&name);
                self.write_at_random();
                self.run_for(delay);
                self.replace_folder(&name);
            }
            // Gone for good, with a replacement in the same data centre or a new one.
            2 | 3 => {
                self.stop(&name);
                self.write_at_random();
                self.run_for(delay);
                self.remove_host(&name);
                let new_data_centre = format!("dc-new-{}", self.last_id);
                self.add_host(match kind {
                    2 => data_centre.as_str(),
                    _ => &new_data_centre,
                });
            }
            // Replaced as planned. The replacement counts as lost until it has caught up.
            4 => {
                self.add_host(data_centre.as_str());
                let started_ms = self.net.now_ms;
                self.run_for(delay);
                self.leave(&name);
                self.remove_host(&name);
                let rest_ms = (started_ms + CATCH_UP_MS).saturating_sub(self.net.now_ms);
                self.run_for(rest_ms);
                return format!("{name} planned after {delay} ms");
            }
            // Cut off.
            _ => {
                let id = self.host(&name).id;
                self.net.isolate(&[id]);
                self.write_at_random();
                self.run_for(delay * 2);
                self.net.blocked_links.clear();
            }
        }
        self.run_for(CATCH_UP_MS);
        format!("{name} kind {kind} after {delay} ms")
    }

    /// Stops a host as planned: a leader transfers its leadership, a voter waits for a successor.
    fn leave(&mut self, name: &NodeName) {
        let id = self.host(name).id;
        if self.leader().as_ref() == Some(name) {
            self.net.call(id, |node, now| {
                node.transfer_leadership(now).unwrap_or_default()
            });
            self.run_for(500);
        }
        self.host(name).is_leaving = true;
        let end_ms = self.net.now_ms + LEAVE_MS;
        while self.net.now_ms < end_ms && self.host(name).listening_since.is_some() {
            self.run_for(LOOK_MS);
        }
        self.stop(name);
    }
}

fn seed_count() -> u64 {
    let count = std::env::var(SEEDS_VARIABLE);
    count.map_or(SEEDS, |count| count.parse().expect("a number of seeds"))
}

/// Guards against lost writes and a group that never has a quorum again, after each of a series of
/// losses that the group must bear.
#[rstest]
fn group_accepts_writes_after_each_loss(
    #[values(3, 5, 6)] count: u128,
    #[values(false, true)] has_link_faults: bool,
) {
    let fault_rates = match has_link_faults {
        true => FaultRates {
            lost_percent: 2,
            duplicated_percent: 2,
            late_percent: 1,
        },
        false => FaultRates::default(),
    };
    for seed in 0..seed_count() {
        let mut group = SimulatedGroup::new(count, seed, fault_rates);
        group.write();
        let mut losses = Vec::new();
        for _ in 0..LOSSES {
            losses.push(group.lose_host());
            println!("seed {seed}: {losses:?}");
            group.write();
        }
    }
}

/// Guards against a vote that is taken from a host that is only cut off, for a learner that is lost
/// before it has one: a single lost disk then ends the group.
#[rstest]
fn group_recovers_from_a_disk_lost_beside_a_cut_voter_and_a_lost_learner(
    #[values(0, 1_000, 1_500, 2_000, 2_500)] lost_after_ms: u64,
    #[values(0, 1)] wiped: usize,
) {
    let mut group = SimulatedGroup::new(3, 1, FaultRates::default());
    let learner = group.add_host("dc-1");
    group.run_for(6_000);
    group.write();
    let names = [1, 2, 3].map(|id| NodeName::from(format!("control-{id}").as_str()));

    let cut_id = group.host(&names[2]).id;
    group.net.isolate(&[cut_id]);
    group.run_for(lost_after_ms);
    group.stop(&learner);
    group.run_for(CATCH_UP_MS - lost_after_ms);
    group.stop(&names[wiped]);
    group.run_for(500);
    group.replace_folder(&names[wiped]);
    group.net.blocked_links.clear();
    group.restart(&learner);
    group.run_for(RECOVERY_MS);

    group.write();
}

/// Guards against a group that gives up the seats of hosts that are cut off, so that what it has
/// acknowledged is on fewer disks than may be lost.
#[rstest]
fn group_of_six_recovers_from_two_disks_lost_beside_two_cut_hosts(
    #[values(5, 6)] formed: u128,
    #[values(2_000, 4_000, 11_000)] cut_ms: u64,
) {
    let mut group = SimulatedGroup::new(formed, 1, FaultRates::default());
    for number in formed..6 {
        group.add_host(&format!("dc-{}", number + 1));
    }
    group.run_for(6_000);
    group.write();
    let names = [1, 2, 4, 5].map(|id| NodeName::from(format!("control-{id}").as_str()));
    let cut = [2, 3].map(|index: usize| group.hosts[&names[index]].id);

    group.net.isolate(&cut);
    group.run_for(cut_ms);
    group.write();
    group.stop(&names[0]);
    group.stop(&names[1]);
    group.run_for(500);
    group.replace_folder(&names[0]);
    group.replace_folder(&names[1]);
    group.net.blocked_links.clear();
    group.run_for(RECOVERY_MS);

    group.write();
}
