//! Replication by the leader: entries, heartbeats, snapshots and their acknowledgements.

use std::collections::BTreeMap;

use units::{ClockTime, DiskId};

use super::{RaftNode, RoleState};
use crate::barrier::WaitingBarrier;
use crate::progress::{PeerProgress, SendMode, SentBatch};
use crate::{
    AppendOutcome, EntryId, EntryPayload, LogEntry, LogIndex, Membership, PersistBatch,
    RaftMessage, SendLane, SnapshotChunk, Term,
};

/// State that exists only while a node leads.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<DiskId, PeerProgress>,
    /// Index of the first entry of the term.
    pub(super) term_start_index: LogIndex,
    /// Newest heartbeat round.
    pub(super) round: u64,
    next_heartbeat: ClockTime,
    /// Time of the next checks. Each round of heartbeats moves the time of the next one, so that the
    /// checks need a time of their own.
    next_check: ClockTime,
    /// Upper bound of the encoded size of the uncommitted entries.
    pub(super) pending_bytes: usize,
    pub(super) waiting_barriers: Vec<WaitingBarrier>,
    pub(super) transfer: Option<LeaderTransfer>,
}

/// A transfer of leadership in progress.
#[derive(Debug)]
pub(super) struct LeaderTransfer {
    pub(super) to: DiskId,
    pub(super) deadline: ClockTime,
}

impl LeaderState {
    /// Starts to track the progress of new members and stops that of removed ones.
    pub(super) fn sync_peers(
        &mut self,
        own_id: DiskId,
        members: &Membership,
        last: LogIndex,
        now: ClockTime,
    ) {
        self.peers.retain(|id, _| members.contains(*id));
        for id in members.members().filter(|id| *id != own_id) {
            let new_progress = || PeerProgress::new(last, now);
            self.peers.entry(id).or_insert_with(new_progress);
        }
    }
}

impl RaftNode {
    pub(super) fn become_leader(&mut self) {
        let last = self.log.last().index;
        let mut state = LeaderState {
            peers: BTreeMap::new(),
            term_start_index: LogIndex(last.0 + 1),
            round: 0,
            next_heartbeat: self.now,
            next_check: self.now,
            pending_bytes: self.log.bytes_after(self.commit_index),
            waiting_barriers: Vec::new(),
            transfer: None,
        };
        state.sync_peers(self.id, self.log.membership(), last, self.now);
        self.role = RoleState::Leader(state);
        self.leader = Some(self.id);
        self.incoming_snapshot = None;
        self.append_entry(EntryPayload::Noop);
        self.send_heartbeats();
    }

    /// Appends an entry of the current term and sends it to the peers.
    pub(super) fn append_entry(&mut self, payload: EntryPayload) -> LogIndex {
        let index = LogIndex(self.log.last().index.0 + 1);
        let id = EntryId {
            index,
            term: self.hard_state.term,
        };
        let entry = LogEntry { id, payload };
        if let RoleState::Leader(state) = &mut self.role {
            state.pending_bytes += entry.max_encoded_bytes();
        }
        self.log.append(entry.clone());
        self.persist(PersistBatch {
            entries: vec![entry],
            ..PersistBatch::default()
        });
        self.send_entries_to_all();
        index
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.is_majority_active() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        let now = self.now;
        let timeout = self.settings.max_election_timeout;
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        state
            .waiting_barriers
            .retain(|barrier| now.since(barrier.requested_at) < timeout);
        state.transfer.take_if(|transfer| now >= transfer.deadline);
        let is_check_due = now >= state.next_check;
        if now >= state.next_heartbeat {
            self.send_heartbeats();
        }
        if is_check_due {
            self.send_checks();
            self.try_finish_transfer();
        }
    }

    /// Whether a majority has replied recently. A leader without such a majority may have been
    /// replaced (check quorum).
    fn is_majority_active(&self) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let active_peers = state
            .peers
            .iter()
            .filter(|(_, peer)| self.now.since(peer.reply_at) < self.settings.max_election_timeout);
        let ids = active_peers.map(|(id, _)| *id).chain([self.id]);
        self.log.membership().is_majority(ids)
    }

    pub(super) fn send_heartbeats(&mut self) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        state.next_heartbeat = self.now + self.settings.heartbeat_interval;
        let ids: Vec<DiskId> = state.peers.keys().copied().collect();
        for id in ids {
            self.send_heartbeat(id);
        }
    }

    /// Sends a message without entries. It follows the last acknowledged entry, since those in flight
    /// may arrive later, so that a peer that has lost durable entries rejects it. Entries in flight
    /// that are lost are found by the checks only.
    pub(super) fn send_heartbeat(&mut self, to: DiskId) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(peer) = state.peers.get_mut(&to) else {
            return;
        };
        let prev = match peer.mode {
            SendMode::Snapshot { .. } => Some(EntryId::default()),
            // The acknowledgement of entries in flight may be on its way when they are compacted.
            SendMode::Replicate { .. } => {
                let timeout = self.settings.min_election_timeout;
                let is_stalled = peer.is_stalled(self.now, timeout);
                entry_id_at(&self.log, peer.match_index)
                    .or_else(|| (!is_stalled).then(EntryId::default))
            }
            SendMode::Probe => entry_id_at(&self.log, peer.prev_index()),
        };
        let Some(prev) = prev else {
            self.start_snapshot(to);
            return;
        };
        peer.sent_commit_index = self.commit_index;
        let message = RaftMessage::Append {
            term: self.hard_state.term,
            prev,
            entries: Vec::new(),
            commit_index: self.commit_index,
            round: state.round,
        };
        self.send_now(to, message);
    }

    /// Checks whether the entries in flight to stalled peers were lost: a peer that lacks one of them
    /// rejects a message that follows them in the same lane.
    fn send_checks(&mut self) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let timeout = self.settings.heartbeat_interval;
        state.next_check = self.now + timeout;
        let stalled = state
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_stalled(self.now, timeout));
        let checks: Vec<(DiskId, RaftMessage)> = stalled
            .filter_map(|(id, peer)| {
                let check = RaftMessage::Append {
                    term: self.hard_state.term,
                    prev: entry_id_at(&self.log, peer.prev_index())?,
                    entries: Vec::new(),
                    commit_index: self.commit_index,
                    round: state.round,
                };
                Some((*id, check))
            })
            .collect();
        for (id, check) in checks {
            self.send_in(SendLane::Bulk, id, check);
        }
    }

    fn send_entries_to_all(&mut self) {
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let ids: Vec<DiskId> = state.peers.keys().copied().collect();
        for id in ids {
            self.send_entries(id);
        }
    }

    /// Sends entries until the limit of unacknowledged messages of the peer is reached.
    fn send_entries(&mut self, to: DiskId) {
        while let Some(message) = self.next_append(to) {
            self.send_in(SendLane::Bulk, to, message);
        }
    }

    fn next_append(&mut self, to: DiskId) -> Option<RaftMessage> {
        let RoleState::Leader(state) = &mut self.role else {
            return None;
        };
        let peer = state.peers.get_mut(&to)?;
        let prev = entry_id_at(&self.log, peer.prev_index());
        let SendMode::Replicate { in_flight } = &peer.mode else {
            return None;
        };
        let Some(prev) = prev else {
            self.start_snapshot(to);
            return None;
        };
        if in_flight.len() >= self.settings.max_in_flight_messages {
            return None;
        }
        let in_flight_bytes = in_flight.iter().map(|sent| sent.bytes).sum();
        let free_bytes = self
            .settings
            .max_in_flight_bytes
            .saturating_sub(in_flight_bytes);
        let max_bytes = self.settings.max_batch_bytes.min(free_bytes);
        let entries = self.log.entries_from(peer.next_index, max_bytes);
        let last = entries.last()?.id.index;
        let bytes = entries.iter().map(LogEntry::max_encoded_bytes).sum();
        if bytes > free_bytes && !in_flight.is_empty() {
            return None;
        }
        peer.record_sent(SentBatch { last, bytes }, self.now);
        peer.sent_commit_index = self.commit_index;
        Some(RaftMessage::Append {
            term: self.hard_state.term,
            prev,
            entries,
            commit_index: self.commit_index,
            round: state.round,
        })
    }

    pub(super) fn handle_append_reply(&mut self, from: DiskId, round: u64, outcome: AppendOutcome) {
        let (first_index, last) = (self.log.first_index(), self.log.last().index);
        let timeout = self.settings.max_election_timeout;
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(peer) = state.peers.get_mut(&from) else {
            return;
        };
        peer.record_reply(round, self.now);
        let next_round = state.round + 1;
        match outcome {
            AppendOutcome::Accepted { match_index } => {
                peer.record_accept(match_index, first_index, last, self.now);
                self.resend_snapshot_chunk(from);
                self.send_entries(from);
                self.advance_commit();
                self.try_finish_transfer();
            }
            AppendOutcome::Rejected { prev, hint }
                if peer.is_new_rejection(prev, round)
                    || peer.has_lost_entries(prev, self.now, timeout) =>
            {
                if prev <= peer.match_index {
                    peer.reset_match_index();
                }
                let candidate = self.log.find_conflict_by_term(hint.index, hint.term).index;
                peer.probe_from(
                    candidate.min(LogIndex(prev.0.saturating_sub(1))),
                    next_round,
                );
                self.start_heartbeat_round();
            }
            AppendOutcome::Rejected { .. } => {}
        }
        self.confirm_barriers();
    }

    /// Commits the entries that a majority holds durably, if the last of them is of the current
    /// term.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let durable_index = self.persist_queue.durable_index();
        let durable_on = |id: DiskId| match state.peers.get(&id) {
            Some(peer) => peer.match_index.0,
            None if id == self.id => durable_index.0,
            None => 0,
        };
        let index = LogIndex(self.log.membership().majority_value(durable_on));
        if index > self.commit_index && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_up_to(index);
            self.confirm_barriers();
        }
    }

    fn start_snapshot(&mut self, to: DiskId) {
        let snapshot = self
            .log
            .snapshot()
            .expect("entries are dropped only after a snapshot");
        let snapshot = snapshot.clone();
        if let RoleState::Leader(state) = &mut self.role
            && let Some(peer) = state.peers.get_mut(&to)
        {
            peer.start_snapshot(snapshot, self.now);
            self.send_snapshot_chunk(to);
        }
    }

    fn send_snapshot_chunk(&mut self, to: DiskId) {
        let max_chunk_bytes = self.settings.max_chunk_bytes;
        let (term, now) = (self.hard_state.term, self.now);
        if let Some(message) = self.next_snapshot_chunk(to, term, now, max_chunk_bytes) {
            self.send_in(SendLane::Bulk, to, message);
        }
    }

    fn next_snapshot_chunk(
        &mut self,
        to: DiskId,
        term: Term,
        now: ClockTime,
        max_chunk_bytes: usize,
    ) -> Option<RaftMessage> {
        let RoleState::Leader(state) = &mut self.role else {
            return None;
        };
        let round = state.round;
        let SendMode::Snapshot {
            snapshot,
            offset,
            sent_at,
        } = &mut state.peers.get_mut(&to)?.mode
        else {
            return None;
        };
        *sent_at = now;
        let start = *offset as usize;
        let end = (start + max_chunk_bytes).min(snapshot.data.len());
        let chunk = SnapshotChunk {
            last: snapshot.last,
            membership: snapshot.membership.clone(),
            size: snapshot.data.len() as u64,
            offset: *offset,
            data: snapshot.data[start..end].into(),
        };
        Some(RaftMessage::Snapshot { term, round, chunk })
    }

    /// Sends a lost snapshot chunk again. Called only when the peer replies to a heartbeat, so that
    /// a peer that is down causes no traffic.
    fn resend_snapshot_chunk(&mut self, to: DiskId) {
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let mode = state.peers.get(&to).map(|peer| &peer.mode);
        if let Some(SendMode::Snapshot { sent_at, .. }) = mode
            && self.now.since(*sent_at) >= self.settings.max_election_timeout
        {
            self.send_snapshot_chunk(to);
        }
    }

    pub(super) fn handle_snapshot_reply(
        &mut self,
        from: DiskId,
        round: u64,
        last: EntryId,
        received: u64,
    ) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(peer) = state.peers.get_mut(&from) else {
            return;
        };
        peer.record_reply(round, self.now);
        if peer.record_received(last, received) {
            self.send_snapshot_chunk(from);
        }
        self.confirm_barriers();
    }
}

fn entry_id_at(log: &crate::log::RaftLog, index: LogIndex) -> Option<EntryId> {
    log.term_at(index).map(|term| EntryId { index, term })
}
