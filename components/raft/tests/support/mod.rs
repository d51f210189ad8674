//! Network of nodes in one thread, with a virtual clock and seeded faults.
//!
//! It checks after every event that committed entries agree with one history, that each term has
//! at most one leader, and that a confirmed barrier has seen every entry that any node had applied
//! when it was asked.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use raft::{
    EntryPayload, LogEntry, LogIndex, NodeRole, PersistBatch, PersistedState, RaftAction,
    RaftMessage, RaftNode, RaftSettings, Snapshot, Term,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use units::{ClockTime, DiskId};

/// Small bounds, so that short histories reach them.
pub(crate) fn small_settings() -> RaftSettings {
    RaftSettings {
        max_batch_bytes: 200,
        max_chunk_bytes: 32,
        max_in_flight_messages: 4,
        retained_entries: 3,
        ..RaftSettings::default()
    }
}

pub(crate) fn ids(count: u128) -> BTreeSet<DiskId> {
    (1..=count).map(DiskId).collect()
}

/// Probabilities in percent.
#[derive(Clone, Copy, Default)]
pub(crate) struct FaultRates {
    pub(crate) lost: u32,
    pub(crate) repeated: u32,
    pub(crate) late: u32,
}

pub(crate) struct FakeHost {
    pub(crate) node: Option<RaftNode>,
    pub(crate) disk: PersistedState,
    writes: VecDeque<(u64, PersistBatch)>,
    start: u64,
    pub(crate) applied: u64,
    pub(crate) value: u64,
    asked: BTreeMap<u64, u64>,
    pub(crate) confirmed: Vec<(u64, ClockTime)>,
    pub(crate) failed: Vec<u64>,
}

enum Event {
    Deliver {
        from: DiskId,
        to: DiskId,
        message: RaftMessage,
    },
    Written {
        host: DiskId,
        start: u64,
        id: u64,
    },
}

pub(crate) struct FakeNet {
    pub(crate) now: u64,
    pub(crate) rng: StdRng,
    pub(crate) hosts: BTreeMap<DiskId, FakeHost>,
    pub(crate) rates: FaultRates,
    /// Pairs that cannot reach each other, in both orders.
    pub(crate) cut: BTreeSet<(DiskId, DiskId)>,
    /// Every committed entry, from index 1.
    pub(crate) history: Vec<LogEntry>,
    /// Times of `Restore` since the start of the network.
    pub(crate) restores: u64,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) largest: usize,
    settings: RaftSettings,
    leaders: BTreeMap<Term, DiskId>,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_barrier: u64,
}

impl FakeNet {
    pub(crate) fn new(members: u128, settings: RaftSettings, seed: u64) -> Self {
        let mut net = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            rates: FaultRates::default(),
            cut: BTreeSet::new(),
            history: Vec::new(),
            restores: 0,
            messages: 0,
            bytes: 0,
            largest: 0,
            settings,
            leaders: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            next_barrier: 0,
        };
        for id in ids(members) {
            net.add_host(id, PersistedState::bootstrap(ids(members)));
        }
        net
    }

    /// Adds a host with a disk and starts it.
    pub(crate) fn add_host(&mut self, id: DiskId, disk: PersistedState) {
        let host = FakeHost {
            node: None,
            disk,
            writes: VecDeque::new(),
            start: 0,
            applied: 0,
            value: 0,
            asked: BTreeMap::new(),
            confirmed: Vec::new(),
            failed: Vec::new(),
        };
        self.hosts.insert(id, host);
        self.start(id);
    }

    pub(crate) fn start(&mut self, id: DiskId) {
        let seed = self.rng.random();
        let now = ClockTime(self.now);
        let settings = self.settings.clone();
        let host = self.host(id);
        if host.node.is_none() {
            host.start += 1;
            host.node = Some(RaftNode::new(id, host.disk.clone(), settings, seed, now));
        }
    }

    /// Stops a host; everything that was not persisted is lost.
    pub(crate) fn crash(&mut self, id: DiskId) {
        let host = self.host(id);
        host.node = None;
        host.writes.clear();
        host.asked.clear();
        host.applied = 0;
        host.value = 0;
    }

    pub(crate) fn host(&mut self, id: DiskId) -> &mut FakeHost {
        self.hosts.get_mut(&id).expect("the host exists")
    }

    pub(crate) fn running(&self) -> Vec<DiskId> {
        let running = self.hosts.iter().filter(|(_, host)| host.node.is_some());
        running.map(|(id, _)| *id).collect()
    }

    /// Cuts every connection between the group and all other hosts.
    pub(crate) fn isolate(&mut self, group: &[DiskId]) {
        let all: Vec<DiskId> = self.hosts.keys().copied().collect();
        for &inside in group {
            for &outside in all.iter().filter(|id| !group.contains(id)) {
                self.cut.insert((inside, outside));
                self.cut.insert((outside, inside));
            }
        }
    }

    /// Running leader with the newest term.
    pub(crate) fn leader(&self) -> Option<DiskId> {
        let leads = |node: &RaftNode| node.status().role == NodeRole::Leader;
        let nodes = self
            .hosts
            .iter()
            .filter_map(|(id, host)| Some((*id, host.node.as_ref()?)));
        let leaders = nodes.filter(|(_, node)| leads(node));
        leaders
            .max_by_key(|(_, node)| node.status().term)
            .map(|(id, _)| id)
    }

    /// Calls a method of a running node and carries out the actions.
    pub(crate) fn call(
        &mut self,
        id: DiskId,
        call: impl FnOnce(&mut RaftNode, ClockTime) -> Vec<RaftAction>,
    ) {
        let now = ClockTime(self.now);
        let Some(node) = self.host(id).node.as_mut() else {
            return;
        };
        let actions = call(node, now);
        let status = node.status();
        if status.role == NodeRole::Leader {
            let leader = *self.leaders.entry(status.term).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", status.term);
        }
        for action in actions {
            self.carry_out(id, action);
        }
    }

    pub(crate) fn propose(&mut self, id: DiskId, value: u64) -> bool {
        let mut accepted = false;
        self.call(id, |node, now| {
            match node.propose(value.to_le_bytes().to_vec(), now) {
                Ok((_, actions)) => {
                    accepted = true;
                    actions
                }
                Err(_) => Vec::new(),
            }
        });
        accepted
    }

    /// Asks for a barrier and notes what it must have seen.
    pub(crate) fn barrier(&mut self, id: DiskId) -> u64 {
        self.next_barrier += 1;
        let barrier = self.next_barrier;
        let newest = self.history.len() as u64;
        self.host(id).asked.insert(barrier, newest);
        self.call(id, |node, now| node.request_barrier(barrier, now));
        barrier
    }

    /// Snapshots the state that a host has applied.
    pub(crate) fn compact(&mut self, id: DiskId) {
        let host = self.host(id);
        let index = LogIndex(host.applied);
        let data = encode_state(host.value);
        self.call(id, |node, now| {
            node.compact(index, data);
            node.tick(now)
        });
    }

    fn carry_out(&mut self, id: DiskId, action: RaftAction) {
        match action {
            RaftAction::Send { to, message } => self.post(id, to, message),
            RaftAction::Persist { id: write, batch } => {
                let delay = self.write_time();
                let host = self.host(id);
                host.writes.push_back((write, batch));
                let start = host.start;
                self.schedule(
                    delay,
                    Event::Written {
                        host: id,
                        start,
                        id: write,
                    },
                );
            }
            RaftAction::Apply { entry } => self.apply(id, entry),
            RaftAction::Restore { snapshot } => self.restore(id, &snapshot),
            RaftAction::BarrierDone {
                id: barrier,
                started,
            } => {
                let host = self.host(id);
                let newest = host
                    .asked
                    .remove(&barrier)
                    .expect("the barrier was asked for");
                assert!(
                    host.applied >= newest,
                    "{id} confirmed {} before {newest}",
                    host.applied
                );
                host.confirmed.push((barrier, started));
            }
            RaftAction::BarrierFailed { id: barrier } => {
                let host = self.host(id);
                assert!(
                    host.asked.remove(&barrier).is_some(),
                    "one answer for each barrier"
                );
                host.failed.push(barrier);
            }
        }
    }

    /// Most writes are fast; with faults, some take longer than an election timeout.
    fn write_time(&mut self) -> u64 {
        let is_late = self.rng.random_range(0..200) < self.rates.late;
        let slowest = if is_late { 700 } else { 4 };
        self.rng.random_range(0..slowest)
    }

    fn apply(&mut self, id: DiskId, entry: LogEntry) {
        let index = entry.id.index.0;
        match self.history.get(index as usize - 1) {
            Some(known) => assert_eq!(*known, entry, "{id} committed another entry at {index}"),
            None => {
                assert_eq!(index, self.history.len() as u64 + 1, "{id} skipped entries");
                self.history.push(entry);
            }
        }
        let value = self.value_at(index);
        let host = self.host(id);
        assert_eq!(index, host.applied + 1, "{id} applies entries in order");
        host.applied = index;
        host.value = value;
    }

    fn restore(&mut self, id: DiskId, snapshot: &Snapshot) {
        let index = snapshot.last.index.0;
        let value = self.value_at(index);
        assert_eq!(
            *snapshot.data,
            *encode_state(value),
            "{id} restored another state at {index}"
        );
        self.restores += 1;
        let host = self.host(id);
        host.applied = index;
        host.value = value;
    }

    /// The register as a single copy holds it after the first entries of the history.
    pub(crate) fn value_at(&self, index: u64) -> u64 {
        let entries = self.history[..index as usize].iter().rev();
        entries.filter_map(command_value).next().unwrap_or(0)
    }

    fn post(&mut self, from: DiskId, to: DiskId, message: RaftMessage) {
        // Frames have a length of 4 bytes before the body.
        let size = postcard::to_allocvec(&message)
            .expect("messages can be encoded")
            .len()
            + 4;
        self.messages += 1;
        self.bytes += size as u64;
        self.largest = self.largest.max(size);
        let rates = self.rates;
        if self.rng.random_range(0..100) < rates.lost {
            return;
        }
        let copies = if self.rng.random_range(0..100) < rates.repeated {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_late = self.rng.random_range(0..100) < rates.late;
            let slowest = if is_late { 1500 } else { 10 };
            let delay = self.rng.random_range(1..=slowest);
            self.schedule(
                delay,
                Event::Deliver {
                    from,
                    to,
                    message: message.clone(),
                },
            );
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.queue
            .insert((self.now + delay, self.next_event), event);
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            while let Some(first) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let event = first.remove();
                self.handle(event);
            }
            if self.now.is_multiple_of(10) {
                for id in self.running() {
                    self.call(id, |node, now| node.tick(now));
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message } => {
                let reachable = !self.cut.contains(&(from, to));
                if reachable && self.hosts.contains_key(&to) {
                    self.call(to, |node, now| node.receive(from, message, now));
                }
            }
            Event::Written {
                host: id,
                start,
                id: write,
            } => {
                // The host may have lost its disk or restarted since the write began.
                let Some(host) = self.hosts.get_mut(&id) else {
                    return;
                };
                if host.start != start || host.node.is_none() {
                    return;
                }
                while host
                    .writes
                    .front()
                    .is_some_and(|(first, _)| *first <= write)
                {
                    let (_, batch) = host.writes.pop_front().expect("a write is waiting");
                    host.disk.apply(&batch);
                }
                self.call(id, |node, now| node.handle_persisted(write, now));
            }
        }
    }

    /// Runs until the condition holds, for at most the given time.
    pub(crate) fn run_until(&mut self, millis: u64, what: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now + millis;
        while !done(self) {
            assert!(self.now < end, "no progress within {millis} ms: {what}");
            self.run(10);
        }
    }

    /// Waits for a leader that has committed an entry of its own term.
    pub(crate) fn elect(&mut self) -> DiskId {
        self.run_until(10_000, "no leader", |net| net.ready_leader().is_some());
        self.ready_leader().expect("a leader was found")
    }

    fn ready_leader(&self) -> Option<DiskId> {
        let id = self.leader()?;
        let status = self.hosts[&id].node.as_ref()?.status();
        let newest = self
            .history
            .get(status.commit_index.0.checked_sub(1)? as usize)?;
        (newest.id.term == status.term).then_some(id)
    }

    /// Writes a value through the leader and waits until the given hosts have applied it.
    pub(crate) fn write(&mut self, value: u64, readers: &[DiskId]) {
        let leader = self.elect();
        assert!(self.propose(leader, value), "the leader accepts a proposal");
        self.run_until(10_000, "value not applied", |net| {
            readers.iter().all(|id| net.hosts[id].value == value)
        });
    }
}

fn command_value(entry: &LogEntry) -> Option<u64> {
    match &entry.payload {
        EntryPayload::Command(bytes) => Some(u64::from_le_bytes(
            bytes[..8].try_into().expect("values have 8 bytes"),
        )),
        _ => None,
    }
}

/// Padded, so that a snapshot takes several messages under [`small_settings`].
fn encode_state(value: u64) -> Vec<u8> {
    value.to_le_bytes().repeat(12)
}
