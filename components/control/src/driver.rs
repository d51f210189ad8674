//! The thread that owns the Raft node and its files.
//!
//! The driver handles all queued events and runs the resulting Raft actions. It then writes
//! everything that must be durable with one sync, so concurrent proposals share the cost of a sync.

mod compact;
mod disk;
mod group;
mod report;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use board::StateBoard;
use eyre::{Result, WrapErr};
use raft::{
    EntryPayload, LogEntry, LogIndex, PersistBatch, PersistedState, ProposeError, RaftAction,
    RaftMessage, RaftNode, SendLane, Snapshot, Term,
};
use registry::{RegistryAction, RegistryCommand, RegistryOutcome, RegistryState, WallTime};
use store::{DiskFiles, LogStore};
use telemetry::{event, events};
use tokio::sync::{mpsc, oneshot};
use units::{ClockSource, ClockTime, DiskId, NodeName};

use self::compact::UncompactedEntries;
use self::disk::WriteFault;
pub(crate) use self::disk::{WRITE_RETRY_DELAY, is_refused_write};
use self::report::MemberLags;
use crate::driver_event::{DriverEvent, ProposeFailure};
use crate::formation::{PeerAnnouncement, SeenPeer};
use crate::members::{ListeningTime, PromotionThresholds};
use crate::peer_link::PeerFrame;
use crate::peers::PeerTable;
use crate::settings::ControlSettings;
use crate::state::DriverView;

/// Interval between read barriers. Half of the lease renewal interval, so that the age reported in
/// a renewal reply stays small compared with the lease time.
const BARRIER_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of events handled before a sync.
const MAX_EVENTS_PER_SYNC: usize = 256;

/// A proposal whose entry has not been committed yet.
struct WaitingProposal {
    term: Term,
    reply: oneshot::Sender<Result<RegistryOutcome, ProposeFailure>>,
}

/// The Raft node, its files, and the state machine that applies its entries.
pub(crate) struct RaftDriver {
    settings: Arc<ControlSettings>,
    files: Arc<dyn DiskFiles>,
    clock: Arc<dyn ClockSource>,
    wall_time_origin: WallTime,
    view: StateBoard<DriverView>,
    peers: PeerTable,
    node: RaftNode,
    store: LogStore,
    pending_batches: VecDeque<(u64, PersistBatch)>,
    /// Set while the disk refuses writes.
    write_fault: Option<WriteFault>,
    /// Whether the data folder is being replaced by an empty one.
    is_rejoining: bool,
    waiting_proposals: BTreeMap<LogIndex, WaitingProposal>,
    waiting_barriers: BTreeMap<u64, oneshot::Sender<bool>>,
    promotion_thresholds: PromotionThresholds,
    last_barrier_id: u64,
    last_barrier_at: ClockTime,
    applied_index: LogIndex,
    uncompacted_entries: UncompactedEntries,
    is_transferring: bool,
    /// Whether a change of the members may be due at the next tick.
    are_members_due: bool,
    listening_time: ListeningTime,
    member_lags: MemberLags,
}

/// Initial members of the group if the log still starts with its first entry.
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
        files: Arc<dyn DiskFiles>,
        clock: Arc<dyn ClockSource>,
        peers: PeerTable,
        address: Option<SocketAddr>,
    ) -> Result<Self> {
        let (store, state) = LogStore::open_on(files.clone(), &settings.data)
            .wrap_err_with(|| format!("Failed to open data folder {}", settings.data.display()))?;
        let now = clock.now();
        let announcement = PeerAnnouncement {
            id: store.id(),
            is_empty: state.is_empty(),
            configured_names: settings.configured_names(),
            initial_members: initial_members_of(&state),
            applied_index: LogIndex(0),
            address,
            is_leaving: false,
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
            files,
            clock,
            wall_time_origin: wall_time_origin(now),
            view,
            peers,
            node,
            store,
            pending_batches: VecDeque::new(),
            write_fault: None,
            is_rejoining: false,
            waiting_proposals: BTreeMap::new(),
            waiting_barriers: BTreeMap::new(),
            promotion_thresholds: PromotionThresholds::default(),
            last_barrier_id: 0,
            last_barrier_at: now,
            applied_index: LogIndex(0),
            uncompacted_entries: UncompactedEntries::default(),
            is_transferring: false,
            are_members_due: false,
            listening_time: ListeningTime::starting_at(now),
            member_lags: MemberLags::default(),
        })
    }

    /// Board on which the driver publishes its state.
    pub(crate) fn view(&self) -> StateBoard<DriverView> {
        self.view.clone()
    }

    /// Handles events until [`DriverEvent::Stop`] arrives, all senders are dropped, or an event or
    /// a write fails.
    pub(crate) fn run(mut self, mut events: mpsc::Receiver<DriverEvent>) -> Result<()> {
        while let Some(event) = events.blocking_recv() {
            let mut next = Some(event);
            let mut handled = 0;
            while let Some(event) = next {
                if matches!(event, DriverEvent::Stop) {
                    return self.flush();
                }
                self.handle_event(event)?;
                handled += 1;
                next = match handled < MAX_EVENTS_PER_SYNC {
                    true => events.try_recv().ok(),
                    false => None,
                };
            }
            self.flush()?;
            self.publish();
        }
        Ok(())
    }

    fn handle_event(&mut self, event: DriverEvent) -> Result<()> {
        let now = self.clock.now();
        if self.is_paused() {
            return self.handle_paused(event, now);
        }
        match event {
            DriverEvent::Tick => self.handle_tick(now),
            DriverEvent::Message { from, to, message } => {
                self.handle_message(from, to, message, now)
            }
            DriverEvent::Announce { name, announcement } => {
                self.handle_announcement(name, announcement, now)
            }
            DriverEvent::Propose { action, reply } => self.propose(action, Some(reply), now),
            DriverEvent::Confirm { reply } => self.start_barrier(Some(reply), now),
            // A delayed notice may refer to a data folder that has been cleared since.
            DriverEvent::FolderRemoved(id) if id != self.store.id() => Ok(()),
            DriverEvent::FolderRemoved(_) => self.handle_removed_folder(),
            DriverEvent::Leave => {
                self.announce_leaving();
                Ok(())
            }
            DriverEvent::TransferLeadership => self.transfer_leadership(now),
            DriverEvent::Stop => Ok(()),
        }
    }

    fn handle_tick(&mut self, now: ClockTime) -> Result<()> {
        self.listening_time.tick(now);
        let members = self.node.member_progress();
        let actions = self.node.tick(now);
        self.log_lost_leadership(&members);
        self.run_actions(actions)?;
        if self.view.read(|view| view.announcement.is_empty) {
            self.try_form_group(now)?;
        }
        if now.since(self.last_barrier_at) >= BARRIER_INTERVAL {
            self.last_barrier_at = now;
            self.start_barrier(None, now)?;
            self.are_members_due = true;
            self.log_lagging_members(now);
            self.publish_log_size();
        }
        if std::mem::take(&mut self.are_members_due) {
            self.change_members(now)?;
        }
        Ok(())
    }

    fn handle_message(
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
        // A node without a log ignores elections until it forms a group or a leader contacts it.
        // Storing an election term would make its data folder look used.
        let has_log = status.last_index > LogIndex(0) || status.snapshot_index > LogIndex(0);
        if to != status.id || !(has_log || from_leader) {
            return Ok(());
        }
        let actions = self.node.handle_message(from, message, now);
        self.run_actions(actions)
    }

    /// Records an announcement as the newest one of another control node.
    fn handle_announcement(
        &mut self,
        name: NodeName,
        announcement: PeerAnnouncement,
        now: ClockTime,
    ) -> Result<()> {
        // An announcement of a removed data folder must not overwrite that of its replacement.
        if self
            .node
            .status()
            .membership
            .removed
            .contains(&announcement.id)
        {
            return Ok(());
        }
        let peer = SeenPeer {
            announcement,
            received_at: now,
        };
        self.view
            .write_quietly(|view| view.peers.insert(name, peer));
        Ok(())
    }

    fn announce_leaving(&self) {
        self.view.write(|view| view.announcement.is_leaving = true);
    }

    /// Proposes a command. The outcome is dropped if `reply` is `None`.
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
        let bytes =
            postcard::to_stdvec(&command).wrap_err("Failed to encode a registry command")?;
        match self.node.propose(bytes, now) {
            Ok((index, actions)) => {
                if let Some(reply) = reply {
                    let term = self.node.status().term;
                    self.waiting_proposals
                        .insert(index, WaitingProposal { term, reply });
                }
                self.run_actions(actions)
            }
            Err(error) => {
                let failure = match error {
                    ProposeError::TooLarge { .. } => ProposeFailure::Refused(error.to_string()),
                    // The command is valid, and can be proposed again after a transfer or to another
                    // node.
                    _ => ProposeFailure::NotLeader,
                };
                if let Some(reply) = reply {
                    let _ = reply.send(Err(failure));
                }
                Ok(())
            }
        }
    }

    /// Wall time for a command. The system time is read once at start and advanced by the monotonic
    /// clock, so that setting the host clock forward does not expire call records early.
    fn wall_time(&self, now: ClockTime) -> WallTime {
        WallTime(self.wall_time_origin.0 + now.0)
    }

    /// Starts a read barrier. Sends to `reply` whether a quorum confirmed it.
    fn start_barrier(
        &mut self,
        reply: Option<oneshot::Sender<bool>>,
        now: ClockTime,
    ) -> Result<()> {
        self.last_barrier_id += 1;
        if let Some(reply) = reply {
            self.waiting_barriers.insert(self.last_barrier_id, reply);
        }
        let actions = self.node.request_barrier(self.last_barrier_id, now);
        self.run_actions(actions)
    }

    fn finish_barrier(&mut self, id: u64, is_confirmed: bool) {
        if let Some(reply) = self.waiting_barriers.remove(&id) {
            // The receiver is dropped if the request timed out.
            let _ = reply.send(is_confirmed);
        }
    }

    fn transfer_leadership(&mut self, now: ClockTime) -> Result<()> {
        self.is_transferring = true;
        match self.node.transfer_leadership(now) {
            Ok(actions) => self.run_actions(actions),
            Err(_) => Ok(()),
        }
    }

    fn run_actions(&mut self, actions: Vec<RaftAction>) -> Result<()> {
        for action in actions {
            match action {
                RaftAction::Send { to, message, lane } => self.send_message(to, message, lane),
                RaftAction::Persist { id, batch } => self.enqueue_batch(id, batch),
                RaftAction::Apply { entry } => self.apply_entry(entry)?,
                RaftAction::Restore { snapshot } => self.restore_snapshot(&snapshot)?,
                RaftAction::BarrierDone { id, started } => {
                    self.view
                        .write(|view| view.confirmed_at = view.confirmed_at.max(Some(started)));
                    self.finish_barrier(id, true);
                }
                RaftAction::BarrierFailed { id } => self.finish_barrier(id, false),
            }
        }
        self.compact_if_due();
        Ok(())
    }

    fn send_message(&self, to: DiskId, message: RaftMessage, lane: SendLane) {
        let name = self.view.read(|view| {
            let mut peers = view.peers.iter();
            peers
                .find(|(_, peer)| peer.announcement.id == to)
                .map(|(name, _)| name.clone())
        });
        if let Some(name) = name {
            let from = self.store.id();
            let frame = PeerFrame::Raft { from, to, message };
            self.peers.send(&name, lane.into(), frame);
        }
    }

    fn enqueue_batch(&mut self, id: u64, batch: PersistBatch) {
        match self.pending_batches.back_mut() {
            Some((last_id, last_batch)) if last_batch.can_merge(&batch) => {
                last_batch.merge(batch);
                *last_id = id;
            }
            _ => self.pending_batches.push_back((id, batch)),
        }
    }

    fn apply_entry(&mut self, entry: LogEntry) -> Result<()> {
        let index = entry.id.index;
        let waiting = self.waiting_proposals.remove(&index);
        if let EntryPayload::Command(bytes) = &entry.payload {
            let command: RegistryCommand = postcard::from_bytes(bytes)
                .wrap_err_with(|| format!("Failed to decode the command in log entry {index}"))?;
            let now = self.clock.now();
            let outcome = self.view.write(|view| {
                let outcome = view.registry.apply(&command);
                view.record_version_time(now);
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
            // An entry of another leader replaced the proposal at this index.
            let _ = waiting.reply.send(Err(ProposeFailure::NotLeader));
        }
        if let EntryPayload::Members(members) = &entry.payload {
            self.log_members(members);
            // The next step of a replacement follows at once: until the last one, the group may not
            // bear a further loss.
            self.are_members_due = true;
        }
        self.applied_index = index;
        self.uncompacted_entries.record(&entry);
        Ok(())
    }

    fn restore_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        let registry = RegistryState::restore(&snapshot.data)
            .wrap_err_with(|| format!("Failed to restore snapshot {}", snapshot.last.index))?;
        let now = self.clock.now();
        self.view.write(|view| {
            view.registry = registry;
            view.record_version_time(now);
        });
        self.applied_index = snapshot.last.index;
        self.uncompacted_entries = UncompactedEntries::after(self.applied_index);
        let later = self
            .waiting_proposals
            .split_off(&LogIndex(self.applied_index.0 + 1));
        for waiting in std::mem::replace(&mut self.waiting_proposals, later).into_values() {
            let _ = waiting.reply.send(Err(ProposeFailure::Unknown));
        }
        Ok(())
    }

    /// Publishes the status of the Raft node and wakes readers if it has changed.
    fn publish(&mut self) {
        let status = self.node.status();
        let applied_index = self.applied_index;
        let changed = self.view.read(|view| view.status != status);
        if !changed {
            return;
        }
        if self.view.read(|view| view.status.role != status.role) {
            let (role, term) = (status.role, status.term);
            event!(
                events::ROLE_CHANGED,
                role = ?role,
                term = term,
                leader_silence_ms = ?self.node.leader_silence().map(|silence| silence.as_millis())
            );
        }
        self.view.write(|view| {
            view.status = status;
            view.announcement.applied_index = applied_index;
        });
    }
}

/// Wall time at which the process clock read zero.
fn wall_time_origin(now: ClockTime) -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall = since.map_or(0, |since| since.as_millis() as u64);
    WallTime(wall.saturating_sub(now.0))
}
