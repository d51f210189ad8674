//! Simulated network of nodes in one thread, with a simulated clock and seeded faults.
//!
//! It checks after every event that all nodes commit the same entries, that each term has at most
//! one leader, and that, when a barrier is confirmed, its node has applied every entry that any
//! node had applied when the barrier was requested.
#![allow(dead_code, reason = "each test file uses a part of this module")]

mod host;

use std::collections::{BTreeMap, BTreeSet};

use raft::{
    LogEntry, LogIndex, NodeRole, PersistedState, RaftAction, RaftMessage, RaftNode, RaftSettings,
    SendLane, Snapshot, Term,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use units::{ClockTime, DiskId};

pub(crate) use host::FaultRates;
use host::{Event, FakeHost, command_value, encode_state};

/// Settings with small limits, so that short histories reach them.
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

pub(crate) struct FakeNet {
    pub(crate) now_ms: u64,
    pub(crate) rng: StdRng,
    pub(crate) hosts: BTreeMap<DiskId, FakeHost>,
    pub(crate) fault_rates: FaultRates,
    /// Bytes that a lane of a link carries in one millisecond, in order; unlimited if `None`.
    pub(crate) link_rate: Option<u64>,
    /// Time until which each lane of a link is busy.
    busy_until: BTreeMap<(DiskId, DiskId, SendLane), u64>,
    /// Sender and receiver of each interrupted connection.
    pub(crate) blocked_links: BTreeSet<(DiskId, DiskId)>,
    /// Additional delay of the messages to a host, in ms.
    pub(crate) added_delays_ms: BTreeMap<DiskId, u64>,
    /// Hosts that receive only urgent messages.
    pub(crate) bulk_blocks: BTreeSet<DiskId>,
    /// All committed entries, from index 1 on.
    pub(crate) history: Vec<LogEntry>,
    /// Number of `Restore` actions since the start of the network.
    pub(crate) restore_count: u64,
    pub(crate) message_count: u64,
    pub(crate) total_bytes: u64,
    pub(crate) max_message_bytes: usize,
    settings: RaftSettings,
    leaders: BTreeMap<Term, DiskId>,
    /// Events by due time in ms and sequence number.
    event_queue: BTreeMap<(u64, u64), Event>,
    next_event_id: u64,
    next_barrier: u64,
}

impl FakeNet {
    pub(crate) fn new(members: u128, settings: RaftSettings, seed: u64) -> Self {
        let mut net = Self {
            now_ms: 0,
            rng: StdRng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            fault_rates: FaultRates::default(),
            link_rate: None,
            busy_until: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            added_delays_ms: BTreeMap::new(),
            bulk_blocks: BTreeSet::new(),
            history: Vec::new(),
            restore_count: 0,
            message_count: 0,
            total_bytes: 0,
            max_message_bytes: 0,
            settings,
            leaders: BTreeMap::new(),
            event_queue: BTreeMap::new(),
            next_event_id: 0,
            next_barrier: 0,
        };
        for id in ids(members) {
            net.add_host(id, PersistedState::bootstrap(ids(members)));
        }
        net
    }

    /// Adds a host with the given disk content and starts its node.
    pub(crate) fn add_host(&mut self, id: DiskId, disk: PersistedState) {
        self.hosts.insert(id, FakeHost::new(disk));
        self.start_node(id);
    }

    pub(crate) fn start_node(&mut self, id: DiskId) {
        let seed = self.rng.random();
        let now = ClockTime(self.now_ms);
        let settings = self.settings.clone();
        let host = self.host(id);
        if host.node.is_none() {
            host.start_count += 1;
            host.node = Some(RaftNode::new(id, host.disk.clone(), settings, seed, now));
        }
    }

    /// Stops the node of a host. Everything that is not persisted is lost.
    pub(crate) fn crash_node(&mut self, id: DiskId) {
        let host = self.host(id);
        host.node = None;
        host.pending_writes.clear();
        host.pending_barriers.clear();
        host.applied_index = 0;
        host.value = 0;
    }

    pub(crate) fn host(&mut self, id: DiskId) -> &mut FakeHost {
        self.hosts.get_mut(&id).expect("the host exists")
    }

    pub(crate) fn running(&self) -> Vec<DiskId> {
        let running = self.hosts.iter().filter(|(_, host)| host.node.is_some());
        running.map(|(id, _)| *id).collect()
    }

    /// Interrupts every connection between the group and all other hosts.
    pub(crate) fn isolate(&mut self, group: &[DiskId]) {
        let all: Vec<DiskId> = self.hosts.keys().copied().collect();
        for &inside in group {
            for &outside in all.iter().filter(|id| !group.contains(id)) {
                self.blocked_links.insert((inside, outside));
                self.blocked_links.insert((outside, inside));
            }
        }
    }

    /// Running leader with the newest term.
    pub(crate) fn leader(&self) -> Option<DiskId> {
        let is_leader = |node: &RaftNode| node.status().role == NodeRole::Leader;
        let nodes = self
            .hosts
            .iter()
            .filter_map(|(id, host)| Some((*id, host.node.as_ref()?)));
        let leaders = nodes.filter(|(_, node)| is_leader(node));
        leaders
            .max_by_key(|(_, node)| node.status().term)
            .map(|(id, _)| id)
    }

    pub(crate) fn term(&self, id: DiskId) -> Option<Term> {
        let node = self.hosts[&id].node.as_ref()?;
        Some(node.status().term)
    }

    /// Time for which a running node has not heard a leader.
    pub(crate) fn leader_silence_ms(&self, id: DiskId) -> u64 {
        let node = self.hosts[&id].node.as_ref();
        let silence = node.and_then(RaftNode::leader_silence);
        silence.map_or(0, |silence| silence.as_millis() as u64)
    }

    /// Time for which the busiest lane to a host is occupied.
    pub(crate) fn queued_ms(&self, to: DiskId) -> u64 {
        let lanes = self.busy_until.iter();
        let ends = lanes.filter(|((_, receiver, _), _)| *receiver == to);
        let last = ends.map(|(_, busy_until)| *busy_until).max();
        last.unwrap_or(0).saturating_sub(self.now_ms)
    }

    /// Calls a method of a node, if it is running, and carries out the actions.
    pub(crate) fn call(
        &mut self,
        id: DiskId,
        call: impl FnOnce(&mut RaftNode, ClockTime) -> Vec<RaftAction>,
    ) {
        let now = ClockTime(self.now_ms);
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
        self.propose_padded(id, value, 0)
    }

    /// Proposes a value in a command that is larger by this many bytes.
    pub(crate) fn propose_padded(&mut self, id: DiskId, value: u64, padding: usize) -> bool {
        let mut command = value.to_le_bytes().to_vec();
        command.resize(command.len() + padding, 0);
        let mut accepted = false;
        self.call(id, |node, now| match node.propose(command, now) {
            Ok((_, actions)) => {
                accepted = true;
                actions
            }
            Err(_) => Vec::new(),
        });
        accepted
    }

    /// Requests a barrier and records the index that must be applied when it is confirmed.
    pub(crate) fn request_barrier(&mut self, id: DiskId) -> u64 {
        self.next_barrier += 1;
        let barrier = self.next_barrier;
        let min_index = self.history.len() as u64;
        self.host(id).pending_barriers.insert(barrier, min_index);
        self.call(id, |node, now| node.request_barrier(barrier, now));
        barrier
    }

    /// Compacts the log of a host with a snapshot of its applied state.
    pub(crate) fn compact(&mut self, id: DiskId) {
        let host = self.host(id);
        let index = LogIndex(host.applied_index);
        let data = encode_state(host.value);
        self.call(id, |node, _| node.compact(index, data));
    }

    fn carry_out(&mut self, id: DiskId, action: RaftAction) {
        match action {
            RaftAction::Send { to, message, lane } => self.send_message(id, to, message, lane),
            RaftAction::Persist {
                id: write_id,
                batch,
            } => {
                let delay_ms = self.write_delay_ms();
                let host = self.host(id);
                host.pending_writes.push_back((write_id, batch));
                let start_count = host.start_count;
                self.schedule(
                    delay_ms,
                    Event::Written {
                        host: id,
                        start_count,
                        id: write_id,
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
                let min_index = host
                    .pending_barriers
                    .remove(&barrier)
                    .expect("the barrier was requested");
                assert!(
                    host.applied_index >= min_index,
                    "{id} confirmed a barrier at index {} instead of at least {min_index}",
                    host.applied_index
                );
                host.confirmed_barriers.push((barrier, started));
            }
            RaftAction::BarrierFailed { id: barrier } => {
                let host = self.host(id);
                assert!(
                    host.pending_barriers.remove(&barrier).is_some(),
                    "barrier {barrier} of {id} failed although it is not pending"
                );
                host.failed_barriers.push(barrier);
            }
        }
    }

    /// Returns a random write duration in ms. With faults, some writes take longer than the minimum
    /// election timeout.
    fn write_delay_ms(&mut self) -> u64 {
        let is_slow = self.rng.random_range(0..200) < self.fault_rates.late_percent;
        let max_delay_ms = if is_slow { 700 } else { 4 };
        self.rng.random_range(0..max_delay_ms)
    }

    fn apply(&mut self, id: DiskId, entry: LogEntry) {
        let index = entry.id.index.0;
        match self.history.get(index as usize - 1) {
            Some(committed) => assert_eq!(
                *committed, entry,
                "{id} committed a different entry at {index}"
            ),
            None => {
                assert_eq!(index, self.history.len() as u64 + 1, "{id} skipped entries");
                self.history.push(entry);
            }
        }
        let value = self.value_at(index);
        let host = self.host(id);
        assert_eq!(
            index,
            host.applied_index + 1,
            "{id} skipped or repeated entries"
        );
        host.applied_index = index;
        host.value = value;
    }

    fn restore(&mut self, id: DiskId, snapshot: &Snapshot) {
        let index = snapshot.last.index.0;
        let value = self.value_at(index);
        assert_eq!(
            *snapshot.data,
            *encode_state(value),
            "{id} restored a wrong state at {index}"
        );
        self.restore_count += 1;
        let host = self.host(id);
        host.applied_index = index;
        host.value = value;
    }

    /// Value of a single-copy register after the first `index` entries of the history.
    pub(crate) fn value_at(&self, index: u64) -> u64 {
        let entries = self.history[..index as usize].iter().rev();
        entries.filter_map(command_value).next().unwrap_or(0)
    }

    fn send_message(&mut self, from: DiskId, to: DiskId, message: RaftMessage, lane: SendLane) {
        // A frame starts with a length field of 4 bytes.
        let size = postcard::to_allocvec(&message)
            .expect("messages can be encoded")
            .len()
            + 4;
        self.message_count += 1;
        self.total_bytes += size as u64;
        self.max_message_bytes = self.max_message_bytes.max(size);
        let fault_rates = self.fault_rates;
        if self.rng.random_range(0..100) < fault_rates.lost_percent {
            return;
        }
        if lane == SendLane::Bulk && self.bulk_blocks.contains(&to) {
            return;
        }
        let added_delay_ms = self.added_delays_ms.get(&to).copied().unwrap_or(0);
        let copy_count = if self.rng.random_range(0..100) < fault_rates.duplicated_percent {
            2
        } else {
            1
        };
        for _ in 0..copy_count {
            let is_slow = self.rng.random_range(0..100) < fault_rates.late_percent;
            let max_delay_ms = if is_slow { 1500 } else { 10 };
            let random_ms = self.rng.random_range(1..=max_delay_ms);
            let delay_ms = added_delay_ms
                + self
                    .queue_delay_ms(from, to, lane, size)
                    .unwrap_or(random_ms);
            self.schedule(
                delay_ms,
                Event::Deliver {
                    from,
                    to,
                    message: message.clone(),
                },
            );
        }
    }

    /// Time until a message of this size has passed its lane, if the links have a rate.
    fn queue_delay_ms(
        &mut self,
        from: DiskId,
        to: DiskId,
        lane: SendLane,
        size: usize,
    ) -> Option<u64> {
        const PROPAGATION_MS: u64 = 8;
        let rate = self.link_rate?;
        let busy_until = self.busy_until.entry((from, to, lane)).or_default();
        *busy_until = self.now_ms.max(*busy_until) + size as u64 / rate;
        Some(*busy_until - self.now_ms + PROPAGATION_MS)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.next_event_id += 1;
        self.event_queue
            .insert((self.now_ms + delay_ms, self.next_event_id), event);
    }

    /// Advances the clock in steps of 1 ms, delivers due events and ticks all nodes every 10 ms.
    pub(crate) fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            while let Some(first_event) = self
                .event_queue
                .first_entry()
                .filter(|e| e.key().0 <= self.now_ms)
            {
                let event = first_event.remove();
                self.handle_event(event);
            }
            if self.now_ms.is_multiple_of(10) {
                for id in self.running() {
                    self.call(id, |node, now| node.tick(now));
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message } => {
                let is_reachable = !self.blocked_links.contains(&(from, to));
                if is_reachable && self.hosts.contains_key(&to) {
                    self.call(to, |node, now| node.handle_message(from, message, now));
                }
            }
            Event::Written {
                host: id,
                start_count,
                id: write_id,
            } => {
                // The host may have lost its disk or restarted since the write started.
                let Some(host) = self.hosts.get_mut(&id) else {
                    return;
                };
                if host.start_count != start_count || host.node.is_none() {
                    return;
                }
                while host
                    .pending_writes
                    .front()
                    .is_some_and(|(first_id, _)| *first_id <= write_id)
                {
                    let (_, batch) = host
                        .pending_writes
                        .pop_front()
                        .expect("the queue is not empty");
                    host.disk.apply(&batch);
                }
                self.call(id, |node, now| node.handle_persisted(write_id, now));
            }
        }
    }

    /// Runs until the condition holds and fails if it does not within the given time.
    pub(crate) fn run_until(
        &mut self,
        duration_ms: u64,
        condition: &str,
        is_reached: impl Fn(&Self) -> bool,
    ) {
        let end_ms = self.now_ms + duration_ms;
        while !is_reached(self) {
            assert!(
                self.now_ms < end_ms,
                "not reached within {duration_ms} ms: {condition}"
            );
            self.run_for(10);
        }
    }

    /// Runs until a leader has committed an entry of its own term, and returns it.
    pub(crate) fn await_leader(&mut self) -> DiskId {
        self.run_until(10_000, "a ready leader", |net| net.ready_leader().is_some());
        self.ready_leader().expect("the group has a ready leader")
    }

    fn ready_leader(&self) -> Option<DiskId> {
        let id = self.leader()?;
        let status = self.hosts[&id].node.as_ref()?.status();
        let last_committed = self
            .history
            .get(status.commit_index.0.checked_sub(1)? as usize)?;
        (last_committed.id.term == status.term).then_some(id)
    }

    /// Writes a value through the leader and runs until the given hosts have applied it.
    pub(crate) fn write_value(&mut self, value: u64, readers: &[DiskId]) {
        let leader = self.await_leader();
        assert!(
            self.propose(leader, value),
            "the leader must accept a proposal"
        );
        self.run_until(10_000, "value applied by all readers", |net| {
            readers.iter().all(|id| net.hosts[id].value == value)
        });
    }
}
