//! Comparison of randomly generated histories with a single-copy register.
//!
//! Guards against lost or reordered commits, two leaders in a term, stale reads, and a group that
//! does not recover once the faults have ended. The checks during a history are in `support`.

mod support;

use raft::{EntryPayload, LogEntry, MemberChange, NodeStatus, PersistedState};
use rand::Rng;
use rand::seq::IndexedRandom;
use rstest::rstest;
use support::{FakeNet, FaultRates, small_settings};
use units::DiskId;

/// A running history, in which hosts with a lost disk are replaced one at a time.
struct History {
    net: FakeNet,
    next_value: u64,
    next_id: u128,
    /// Old and new id of a disk that is being replaced.
    repair: Option<(DiskId, DiskId)>,
    repair_count: u32,
}

impl History {
    fn new(members: u128, seed: u64) -> Self {
        Self {
            net: FakeNet::new(members, small_settings(), seed),
            next_value: 0,
            next_id: 100,
            repair: None,
            repair_count: 0,
        }
    }

    fn run_step(&mut self) {
        let choice = self.net.rng.random_range(0..100);
        match choice {
            0..45 => self.propose(),
            45..65 => self.request_read(),
            65..72 => self.crash_or_start_host(),
            72..78 => self.partition(),
            78..86 => self.net.blocked_links.clear(),
            86..92 => self.compact(),
            92..94 => self.replace_disk(),
            94..96 => self.transfer(),
            _ => self.change_fault_rates(),
        }
        self.continue_repair();
        let pause = self.net.rng.random_range(0..150);
        self.net.run_for(pause);
    }

    fn random_running_host(&mut self) -> Option<DiskId> {
        self.net.running().choose(&mut self.net.rng).copied()
    }

    fn propose(&mut self) {
        for id in self.net.running() {
            self.next_value += 1;
            self.net.propose(id, self.next_value);
        }
    }

    fn request_read(&mut self) {
        if let Some(id) = self.random_running_host() {
            self.net.request_barrier(id);
        }
    }

    fn crash_or_start_host(&mut self) {
        let stopped_hosts: Vec<DiskId> = self.stopped_hosts();
        match stopped_hosts.choose(&mut self.net.rng) {
            Some(&id) => self.net.start_node(id),
            None => {
                if let Some(id) = self.random_running_host() {
                    self.net.crash_node(id);
                }
            }
        }
    }

    /// Hosts without a running node. Their disks are intact.
    fn stopped_hosts(&self) -> Vec<DiskId> {
        let hosts = self
            .net
            .hosts
            .iter()
            .filter(|(_, host)| host.node.is_none());
        hosts.map(|(id, _)| *id).collect()
    }

    fn partition(&mut self) {
        let leader = self.net.leader();
        let first = match leader {
            Some(leader) if self.net.rng.random_bool(0.5) => Some(leader),
            _ => self.random_running_host(),
        };
        let mut group: Vec<DiskId> = first.into_iter().collect();
        if self.net.hosts.len() > 3 {
            group.extend(self.random_running_host());
        }
        self.net.isolate(&group);
    }

    fn compact(&mut self) {
        if let Some(id) = self.random_running_host() {
            self.net.compact(id);
        }
    }

    fn transfer(&mut self) {
        if let Some(leader) = self.net.leader() {
            self.net.call(leader, |node, now| {
                node.transfer_leadership(now).unwrap_or_default()
            });
        }
    }

    fn change_fault_rates(&mut self) {
        self.net.fault_rates = FaultRates {
            lost_percent: self.net.rng.random_range(0..20),
            duplicated_percent: self.net.rng.random_range(0..20),
            late_percent: self.net.rng.random_range(0..20),
        };
    }

    /// Replaces a random voter with an empty host under a new id, unless a repair is in progress.
    fn replace_disk(&mut self) {
        let status = self.leader_status();
        let Some(status) = status.filter(|_| self.repair.is_none()) else {
            return;
        };
        let voters: Vec<DiskId> = status.membership.voters.into_iter().collect();
        let lost_id = *voters
            .choose(&mut self.net.rng)
            .expect("the group has voters");
        let new_id = DiskId(self.next_id);
        self.next_id += 1;
        self.net.hosts.remove(&lost_id);
        self.net.add_host(new_id, PersistedState::default());
        self.repair = Some((lost_id, new_id));
    }

    fn leader_status(&self) -> Option<NodeStatus> {
        let leader = self.net.leader()?;
        Some(self.net.hosts[&leader].node.as_ref()?.status())
    }

    /// Takes the next step of a repair: adds the new id, removes the old id or promotes the new id.
    fn continue_repair(&mut self) {
        let (Some((old_id, new_id)), Some(status)) = (self.repair, self.leader_status()) else {
            return;
        };
        let members = &status.membership;
        let change = if !members.contains(new_id) {
            MemberChange::AddLearner(new_id)
        } else if members.contains(old_id) {
            MemberChange::Remove(old_id)
        } else if members.learners.contains(&new_id) {
            MemberChange::Promote(new_id)
        } else {
            self.end_repair_if_committed(new_id);
            return;
        };
        let leader = status.id;
        self.net.call(leader, |node, now| {
            node.change_member(change, now).unwrap_or_default()
        });
    }

    /// Ends the repair if the promotion is committed. Before that, a majority of the old voters may
    /// still be needed, which another lost disk could make impossible.
    fn end_repair_if_committed(&mut self, new_id: DiskId) {
        let promotes_new = |entry: &LogEntry| match &entry.payload {
            EntryPayload::Members(members) => members.voters.contains(&new_id),
            _ => false,
        };
        if self.net.history.iter().any(promotes_new) {
            self.repair = None;
            self.repair_count += 1;
        }
    }

    /// Ends all faults and checks that the group recovers and serves writes and reads on every
    /// member.
    fn finish_and_check(&mut self) {
        self.net.fault_rates = FaultRates::default();
        self.net.blocked_links.clear();
        for id in self.stopped_hosts() {
            self.net.start_node(id);
        }
        for _ in 0..200 {
            self.continue_repair();
            self.net.run_for(100);
        }
        assert_eq!(
            self.repair, None,
            "the repair must end after the faults have ended"
        );
        self.net.await_leader();
        let members = self
            .leader_status()
            .expect("the group has a leader")
            .membership
            .voters;
        let members: Vec<DiskId> = members.into_iter().collect();
        self.next_value += 1;
        self.net.write_value(self.next_value, &members);
        for &id in &members {
            let barrier = self.net.request_barrier(id);
            self.net.run_until(2000, "barrier confirmed", |net| {
                net.hosts[&id]
                    .confirmed_barriers
                    .iter()
                    .any(|(done, _)| *done == barrier)
            });
        }
    }
}

#[rstest]
#[case::three_members(3, 0)]
#[case::three_members_more_seeds(3, 160)]
#[case::five_members(5, 1000)]
fn histories_match_a_single_copy(#[case] members: u128, #[case] first_seed: u64) {
    let (mut repair_count, mut restore_count, mut confirmed_count) = (0, 0, 0);
    for seed in first_seed..first_seed + 50 {
        println!("seed {seed}");
        let mut history = History::new(members, seed);
        for _ in 0..400 {
            history.run_step();
        }
        history.finish_and_check();
        repair_count += history.repair_count;
        restore_count += history.net.restore_count;
        confirmed_count += history
            .net
            .hosts
            .values()
            .map(|host| host.confirmed_barriers.len())
            .sum::<usize>();
    }
    println!(
        "repairs {repair_count}, restores {restore_count}, confirmed barriers {confirmed_count}"
    );
    assert!(
        repair_count >= 50,
        "replaced {repair_count} disks instead of at least 50"
    );
    assert!(
        restore_count >= 125,
        "restored {restore_count} snapshots instead of at least 125"
    );
    assert!(
        confirmed_count >= 500,
        "confirmed {confirmed_count} barriers instead of at least 500"
    );
}
