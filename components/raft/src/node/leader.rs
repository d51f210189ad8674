//! Sending entries, heartbeats and snapshots, and counting acknowledgements.

use std::collections::BTreeMap;

use units::{ClockTime, DiskId};

use super::{RaftNode, RoleState};
use crate::barrier::WaitingBarrier;
use crate::progress::{PeerProgress, SendMode};
use crate::{
    AppendOutcome, EntryId, EntryPayload, LogEntry, LogIndex, Membership, PersistBatch,
    RaftMessage, SnapshotChunk, Term,
};

/// State that exists only while a node leads.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<DiskId, PeerProgress>,
    /// First entry of the term.
    pub(super) first: LogIndex,
    /// Newest heartbeat round.
    pub(super) round: u64,
    next_heartbeat: ClockTime,
    /// Size of the uncommitted entries.
    pub(super) pending_bytes: usize,
    pub(super) waiting: Vec<WaitingBarrier>,
    pub(super) transfer: Option<LeaderTransfer>,
}

/// A transfer of leadership in progress.
#[derive(Debug)]
pub(super) struct LeaderTransfer {
    pub(super) to: DiskId,
    pub(super) deadline: ClockTime,
}

impl LeaderState {
    /// Adds progress of new members and drops that of removed ones.
    pub(super) fn follow_members(
        &mut self,
        own: DiskId,
        members: &Membership,
        last: LogIndex,
        now: ClockTime,
    ) {
        self.peers.retain(|id, _| members.contains(*id));
        for id in members.members().filter(|id| *id != own) {
            let new = || PeerProgress::new(last, now);
            self.peers.entry(id).or_insert_with(new);
        }
    }
}

impl RaftNode {
    pub(super) fn become_leader(&mut self) {
        let last = self.log.last().index;
        let mut state = LeaderState {
            peers: BTreeMap::new(),
            first: LogIndex(last.0 + 1),
            round: 0,
            next_heartbeat: self.now,
            pending_bytes: self.log.bytes_after(self.commit_index),
            waiting: Vec::new(),
            transfer: None,
        };
        state.follow_members(self.id, self.log.membership(), last, self.now);
        self.role = RoleState::Leader(state);
        self.leader = Some(self.id);
        self.incoming = None;
        self.append_own(EntryPayload::Noop);
        self.heartbeat();
    }

    /// Appends an entry of the own term and sends it.
    pub(super) fn append_own(&mut self, payload: EntryPayload) -> LogIndex {
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
        if !self.hears_majority() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        let now = self.now;
        let patience = self.settings.max_election_timeout;
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        state
            .waiting
            .retain(|barrier| now.since(barrier.asked) < patience);
        state.transfer.take_if(|transfer| now >= transfer.deadline);
        if now >= state.next_heartbeat {
            self.heartbeat();
            self.continue_transfer();
        }
    }

    /// Check-quorum: a leader that no majority answers may have been replaced.
    fn hears_majority(&self) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let heard = state
            .peers
            .iter()
            .filter(|(_, peer)| self.now.since(peer.heard) < self.settings.max_election_timeout);
        let ids = heard.map(|(id, _)| *id).chain([self.id]);
        self.log.membership().is_majority(ids)
    }

    pub(super) fn heartbeat(&mut self) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        state.next_heartbeat = self.now + self.settings.heartbeat_interval;
        let ids: Vec<DiskId> = state.peers.keys().copied().collect();
        for id in ids {
            self.send_heartbeat(id);
        }
    }

    /// Sends a message without entries. It also finds lost entries: the peer refuses it if it lacks
    /// the entry before the next one.
    pub(super) fn send_heartbeat(&mut self, to: DiskId) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(peer) = state.peers.get_mut(&to) else {
            return;
        };
        let prev = match peer.mode {
            SendMode::Snapshot { .. } => Some(EntryId::default()),
            _ => entry_id(&self.log, peer.prev_index()),
        };
        let Some(prev) = prev else {
            self.start_snapshot(to);
            return;
        };
        peer.told_commit = self.commit_index;
        let message = RaftMessage::Append {
            term: self.hard_state.term,
            prev,
            entries: Vec::new(),
            commit_index: self.commit_index,
            round: state.round,
        };
        self.send_now(to, message);
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

    /// Sends entries as far as the peer's window allows.
    fn send_entries(&mut self, to: DiskId) {
        while let Some(message) = self.next_entries(to) {
            self.send_now(to, message);
        }
    }

    fn next_entries(&mut self, to: DiskId) -> Option<RaftMessage> {
        let RoleState::Leader(state) = &mut self.role else {
            return None;
        };
        let peer = state.peers.get_mut(&to)?;
        let prev = entry_id(&self.log, peer.prev_index());
        let SendMode::Replicate { in_flight } = &mut peer.mode else {
            return None;
        };
        let Some(prev) = prev else {
            self.start_snapshot(to);
            return None;
        };
        if in_flight.len() >= self.settings.max_in_flight_messages {
            return None;
        }
        let entries = self.log.batch(peer.next, self.settings.max_batch_bytes);
        let last = entries.last()?.id.index;
        in_flight.push_back(last);
        peer.next = LogIndex(last.0 + 1);
        peer.told_commit = self.commit_index;
        Some(RaftMessage::Append {
            term: self.hard_state.term,
            prev,
            entries,
            commit_index: self.commit_index,
            round: state.round,
        })
    }

    pub(super) fn append_answered(&mut self, from: DiskId, round: u64, outcome: AppendOutcome) {
        let (first, patience) = (self.log.first_index(), self.settings.max_election_timeout);
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(peer) = state.peers.get_mut(&from) else {
            return;
        };
        peer.answered(round, self.now);
        match outcome {
            AppendOutcome::Accepted { match_index } => {
                peer.accepted(match_index, first, self.now);
                self.resend_chunk(from);
                self.send_entries(from);
                self.advance_commit();
                self.continue_transfer();
            }
            AppendOutcome::Rejected { prev, hint }
                if peer.is_rejection_new(prev) || peer.has_lost(prev, self.now, patience) =>
            {
                if prev <= peer.match_index {
                    peer.forget_matched();
                }
                let candidate = self.log.newest_within(hint.index, hint.term).index;
                peer.probe_from(candidate.min(LogIndex(prev.0.saturating_sub(1))));
                self.send_heartbeat(from);
            }
            AppendOutcome::Rejected { .. } => {}
        }
        self.confirm_barriers();
    }

    /// Commits what a majority holds durably, if it ends with an entry of the own term.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let durable = self.persists.durable();
        let held = |id: DiskId| match state.peers.get(&id) {
            Some(peer) => peer.match_index.0,
            None if id == self.id => durable.0,
            None => 0,
        };
        let index = LogIndex(self.log.membership().majority_value(held));
        if index > self.commit_index && self.log.term(index) == Some(self.hard_state.term) {
            self.commit_to(index);
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
            self.send_chunk(to);
        }
    }

    fn send_chunk(&mut self, to: DiskId) {
        let max_chunk_bytes = self.settings.max_chunk_bytes;
        let (term, now) = (self.hard_state.term, self.now);
        if let Some(message) = self.next_chunk(to, term, now, max_chunk_bytes) {
            self.send_now(to, message);
        }
    }

    fn next_chunk(
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
            sent,
        } = &mut state.peers.get_mut(&to)?.mode
        else {
            return None;
        };
        *sent = now;
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

    /// Repeats a part that was lost. Parts are only repeated to a peer that answers heartbeats, so
    /// that a peer that is down costs no traffic.
    fn resend_chunk(&mut self, to: DiskId) {
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let mode = state.peers.get(&to).map(|peer| &peer.mode);
        if let Some(SendMode::Snapshot { sent, .. }) = mode
            && self.now.since(*sent) >= self.settings.min_election_timeout
        {
            self.send_chunk(to);
        }
    }

    pub(super) fn chunk_answered(
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
        peer.answered(round, self.now);
        if peer.received(last, received) {
            self.send_chunk(from);
        }
        self.confirm_barriers();
    }
}

fn entry_id(log: &crate::log::RaftLog, index: LogIndex) -> Option<EntryId> {
    log.term(index).map(|term| EntryId { index, term })
}
