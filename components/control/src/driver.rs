//! The thread that owns the Raft node and its files.
//!
//! It drains all waiting events, carries out the actions, and then writes everything that must be
//! durable with one sync, so that proposals that arrive together share its cost.

mod group;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use board::StateBoard;
use eyre::{Result, WrapErr};
use raft::{
    EntryPayload, LogEntry, LogIndex, PersistBatch, PersistedState, ProposeError, RaftAction,
    RaftMessage, RaftNode, Snapshot, Term,
};
use registry::{RegistryAction, RegistryCommand, RegistryOutcome, RegistryState, WallTime};
use store::LogStore;
use telemetry::{event, events};
use tokio::sync::{mpsc, oneshot};
use units::{ClockSource, ClockTime, DiskId, NodeName};

use crate::driver_event::{DriverEvent, ProposeFailure};
use crate::formation::{PeerAnnouncement, SeenPeer};
use crate::members::PromotionThresholds;
use crate::peer_link::PeerFrame;
use crate::peers::PeerTable;
use crate::settings::ControlSettings;
use crate::state::DriverView;

/// Time between two read barriers. Half of the renewal interval, so the age in a reply stays small
/// against the lease.
const BARRIER_INTERVAL: Duration = Duration::from_millis(250);

/// Entries between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 1_000;

/// Events handled before a sync.
const MAX_EVENTS: usize = 256;

/// A proposal whose entry is not committed yet.
struct WaitingProposal {
    term: Term,
    reply: oneshot::Sender<Result<RegistryOutcome, ProposeFailure>>,
}

/// The Raft node, its files and the state that it feeds.
pub(crate) struct RaftDriver {
    settings: Arc<ControlSettings>,
    clock: Arc<dyn ClockSource>,
    wall_start: WallTime,
    view: StateBoard<DriverView>,
    peers: PeerTable,
    node: RaftNode,
    store: LogStore,
    pending: VecDeque<(u64, PersistBatch)>,
    waiting: BTreeMap<LogIndex, WaitingProposal>,
    confirming: BTreeMap<u64, oneshot::Sender<bool>>,
    targets: PromotionThresholds,
    barriers: u64,
    last_barrier: ClockTime,
    applied_index: LogIndex,
    compacted: LogIndex,
    transferring: bool,
    started: ClockTime,
}

/// The founding members that a log still shows.
fn initial_members_of(state: &PersistedState) -> Option<std::collections::BTreeSet<DiskId>> {
    let first = state.entries.first()?;
    match &first.payload {
        EntryPayload::Members(members) if first.id.index == LogIndex(1) => {
            Some(members.voters.clone())
        }
        _ => None,
    }
}

impl RaftDriver {
    /// Opens the data folder.
    pub(crate) fn open(
        settings: Arc<ControlSettings>,
        clock: Arc<dyn ClockSource>,
        peers: PeerTable,
        address: Option<SocketAddr>,
    ) -> Result<Self> {
        let (store, state) = LogStore::open(&settings.data)
            .wrap_err_with(|| format!("Failed to open data folder {}", settings.data.display()))?;
        let now = clock.now();
        let announcement = PeerAnnouncement {
            id: store.id(),
            is_empty: state.is_empty(),
            configured_names: settings.configured_names(),
            initial_members: initial_members_of(&state),
            applied_index: LogIndex(0),
            address,
            data_centre: settings.data_centre.clone(),
            known_peers: BTreeMap::new(),
        };
        let node = RaftNode::new(
            store.id(),
            state,
            settings.raft.clone(),
            rand::random(),
            now,
        );
        let view = StateBoard::new(DriverView::empty(announcement, node.status()));
        Ok(Self {
            settings,
            clock,
            wall_start: wall_start(now),
            view,
            peers,
            node,
            store,
            pending: VecDeque::new(),
            waiting: BTreeMap::new(),
            confirming: BTreeMap::new(),
            targets: PromotionThresholds::default(),
            barriers: 0,
            last_barrier: now,
            applied_index: LogIndex(0),
            compacted: LogIndex(0),
            transferring: false,
            started: now,
        })
    }

    /// What the driver publishes.
    pub(crate) fn view(&self) -> StateBoard<DriverView> {
        self.view.clone()
    }

    /// Handles events until it is stopped or a write fails.
    pub(crate) fn run(mut self, mut events: mpsc::Receiver<DriverEvent>) -> Result<()> {
        while let Some(event) = events.blocking_recv() {
            let mut next = Some(event);
            let mut handled = 0;
            while let Some(event) = next {
                if matches!(event, DriverEvent::Stop) {
                    return self.flush();
                }
                self.handle(event)?;
                handled += 1;
                next = match handled < MAX_EVENTS {
                    true => events.try_recv().ok(),
                    false => None,
                };
            }
            self.flush()?;
            self.publish();
        }
        Ok(())
    }

    fn handle(&mut self, event: DriverEvent) -> Result<()> {
        let now = self.clock.now();
        match event {
            DriverEvent::Tick => self.tick(now),
            DriverEvent::Message { from, to, message } => self.message(from, to, message, now),
            DriverEvent::Announce { name, announcement } => self.announced(name, announcement, now),
            DriverEvent::Propose { action, reply } => self.propose(action, Some(reply), now),
            DriverEvent::Confirm { reply } => self.barrier(Some(reply), now),
            // A late notice may be about the folder that was cleared before.
            DriverEvent::Removed(id) if id != self.store.id() => Ok(()),
            DriverEvent::Removed(_) => self.start_over(),
            DriverEvent::Transfer => self.transfer(now),
            DriverEvent::Stop => Ok(()),
        }
    }

    fn tick(&mut self, now: ClockTime) -> Result<()> {
        let actions = self.node.tick(now);
        self.carry_out(actions)?;
        if self.view.read(|view| view.announcement.is_empty) {
            self.form(now)?;
        }
        if now.since(self.last_barrier) >= BARRIER_INTERVAL {
            self.last_barrier = now;
            self.barrier(None, now)?;
            self.change_members(now)?;
        }
        Ok(())
    }

    fn message(
        &mut self,
        from: DiskId,
        to: DiskId,
        message: RaftMessage,
        now: ClockTime,
    ) -> Result<()> {
        let status = self.node.status();
        let from_leader = matches!(
            message,
            RaftMessage::Append { .. } | RaftMessage::Snapshot { .. } | RaftMessage::Removed
        );
        // A node without a log must stay as it is until it forms a group or a leader reaches it: a
        // term from an election would make its folder look used.
        let has_log = status.last_index > LogIndex(0) || status.snapshot_index > LogIndex(0);
        if to != status.id || !(has_log || from_leader) {
            return Ok(());
        }
        let actions = self.node.receive(from, message, now);
        self.carry_out(actions)
    }

    fn announced(
        &mut self,
        name: NodeName,
        announcement: PeerAnnouncement,
        now: ClockTime,
    ) -> Result<()> {
        // A replaced folder that comes back must not hide the one that replaced it.
        if self
            .node
            .status()
            .membership
            .removed
            .contains(&announcement.id)
        {
            return Ok(());
        }
        let seen = SeenPeer {
            announcement,
            received_at: now,
        };
        self.view
            .write_quietly(|view| view.peers.insert(name, seen));
        Ok(())
    }

    /// Proposes a command. Without a waiting caller the outcome is dropped.
    fn propose(
        &mut self,
        action: RegistryAction,
        reply: Option<oneshot::Sender<Result<RegistryOutcome, ProposeFailure>>>,
        now: ClockTime,
    ) -> Result<()> {
        let command = RegistryCommand {
            at: self.wall_time(now),
            action,
        };
        let bytes = postcard::to_stdvec(&command).wrap_err("Failed to encode a command")?;
        match self.node.propose(bytes, now) {
            Ok((index, actions)) => {
                if let Some(reply) = reply {
                    let term = self.node.status().term;
                    self.waiting.insert(index, WaitingProposal { term, reply });
                }
                self.carry_out(actions)
            }
            Err(error) => {
                let failure = match error {
                    ProposeError::NotLeader { .. } => ProposeFailure::NotLeader,
                    error => ProposeFailure::Refused(error.to_string()),
                };
                if let Some(reply) = reply {
                    let _ = reply.send(Err(failure));
                }
                Ok(())
            }
        }
    }

    /// Wall time of a command. It is read once at the start and carried on by the clock of the
    /// process, so that a host clock that is set forward does not end the retention of call records.
    fn wall_time(&self, now: ClockTime) -> WallTime {
        WallTime(self.wall_start.0 + now.0)
    }

    /// Starts a read barrier.
    fn barrier(&mut self, reply: Option<oneshot::Sender<bool>>, now: ClockTime) -> Result<()> {
        self.barriers += 1;
        if let Some(reply) = reply {
            self.confirming.insert(self.barriers, reply);
        }
        let actions = self.node.request_barrier(self.barriers, now);
        self.carry_out(actions)
    }

    fn barrier_ended(&mut self, id: u64, done: bool) {
        if let Some(reply) = self.confirming.remove(&id) {
            // The waiting request may have timed out.
            let _ = reply.send(done);
        }
    }

    fn transfer(&mut self, now: ClockTime) -> Result<()> {
        self.transferring = true;
        match self.node.transfer_leadership(now) {
            Ok(actions) => self.carry_out(actions),
            Err(_) => Ok(()),
        }
    }

    fn carry_out(&mut self, actions: Vec<RaftAction>) -> Result<()> {
        for action in actions {
            match action {
                RaftAction::Send { to, message } => self.send(to, message),
                RaftAction::Persist { id, batch } => self.enqueue(id, batch),
                RaftAction::Apply { entry } => self.apply(entry)?,
                RaftAction::Restore { snapshot } => self.restore(&snapshot)?,
                RaftAction::BarrierDone { id, started } => {
                    self.view
                        .write(|view| view.confirmed = view.confirmed.max(Some(started)));
                    self.barrier_ended(id, true);
                }
                RaftAction::BarrierFailed { id } => self.barrier_ended(id, false),
            }
        }
        Ok(())
    }

    fn send(&self, to: DiskId, message: RaftMessage) {
        let name = self.view.read(|view| {
            let mut peers = view.peers.iter();
            peers
                .find(|(_, peer)| peer.announcement.id == to)
                .map(|(name, _)| name.clone())
        });
        if let Some(name) = name {
            let from = self.store.id();
            self.peers
                .send(&name, PeerFrame::Raft { from, to, message });
        }
    }

    fn enqueue(&mut self, id: u64, batch: PersistBatch) {
        match self.pending.back_mut() {
            Some((last, joined)) if joined.can_merge(&batch) => {
                joined.merge(batch);
                *last = id;
            }
            _ => self.pending.push_back((id, batch)),
        }
    }

    /// Writes what must be durable, and carries out what follows from it.
    fn flush(&mut self) -> Result<()> {
        while let Some((id, batch)) = self.pending.pop_front() {
            self.store
                .persist(&batch)
                .wrap_err("Failed to write the log")?;
            let now = self.clock.now();
            let actions = self.node.handle_persisted(id, now);
            self.carry_out(actions)?;
        }
        Ok(())
    }

    fn apply(&mut self, entry: LogEntry) -> Result<()> {
        let index = entry.id.index;
        let waiting = self.waiting.remove(&index);
        if let EntryPayload::Command(bytes) = &entry.payload {
            let command: RegistryCommand = postcard::from_bytes(bytes)
                .wrap_err_with(|| format!("Failed to decode log entry {index}"))?;
            let now = self.clock.now();
            let outcome = self.view.write(|view| {
                let outcome = view.registry.apply(&command);
                view.note_version(now);
                outcome
            });
            if let Some(waiting) = waiting {
                let result = match waiting.term == entry.id.term {
                    true => Ok(outcome),
                    false => Err(ProposeFailure::NotLeader),
                };
                let _ = waiting.reply.send(result);
            }
        } else if let Some(waiting) = waiting {
            // Another leader's entry took the place of the proposal.
            let _ = waiting.reply.send(Err(ProposeFailure::NotLeader));
        }
        self.applied_index = index;
        self.compact();
        Ok(())
    }

    fn compact(&mut self) {
        if self.applied_index.0 >= self.compacted.0 + SNAPSHOT_ENTRIES {
            let snapshot = self.view.read(|view| view.registry.snapshot());
            event!(
                events::SNAPSHOT_WRITTEN,
                index = self.applied_index,
                bytes = snapshot.len()
            );
            self.node.compact(self.applied_index, snapshot);
            self.compacted = self.applied_index;
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<()> {
        let registry = RegistryState::restore(&snapshot.data)
            .wrap_err_with(|| format!("Failed to restore at entry {}", snapshot.last.index))?;
        let now = self.clock.now();
        self.view.write(|view| {
            view.registry = registry;
            view.note_version(now);
        });
        self.applied_index = snapshot.last.index;
        self.compacted = self.applied_index;
        let later = self.waiting.split_off(&LogIndex(self.applied_index.0 + 1));
        for waiting in std::mem::replace(&mut self.waiting, later).into_values() {
            let _ = waiting.reply.send(Err(ProposeFailure::Unknown));
        }
        Ok(())
    }

    /// Publishes the node's state, and wakes readers when it has changed.
    fn publish(&mut self) {
        let status = self.node.status();
        let applied_index = self.applied_index;
        let changed = self.view.read(|view| view.status != status);
        if !changed {
            return;
        }
        if self.view.read(|view| view.status.role != status.role) {
            let (role, term) = (status.role, status.term);
            event!(events::ROLE_CHANGED, role = ?role, term = term);
        }
        self.view.write(|view| {
            view.status = status;
            view.announcement.applied_index = applied_index;
        });
    }
}

/// Wall time at which the clock of the process was zero.
fn wall_start(now: ClockTime) -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall = since.map_or(0, |since| since.as_millis() as u64);
    WallTime(wall.saturating_sub(now.0))
}
