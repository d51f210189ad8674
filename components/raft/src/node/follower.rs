//! Receiving entries and snapshots from the leader.

use std::sync::Arc;

use units::DiskId;

use super::{RaftNode, RoleState};
use crate::{
    AppendOutcome, EntryId, LogEntry, LogIndex, PersistBatch, RaftAction, RaftMessage, Snapshot,
    SnapshotChunk, Term,
};

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    /// Term of the sender. Two leaders may encode the same state differently.
    term: Term,
    last: EntryId,
    data: Vec<u8>,
}

impl RaftNode {
    /// Accepts the sender as leader of its term, or refuses a message of an old term.
    pub(super) fn follow(&mut self, from: DiskId, term: Term, prev: LogIndex) -> bool {
        if term < self.hard_state.term {
            // The reply carries the newer term. If the sender leads that term by now, its rounds
            // have started again, so the old number would confirm a round that was never answered.
            let hint = EntryId::default();
            self.answer_append(from, 0, AppendOutcome::Rejected { prev, hint });
            return false;
        }
        if term == self.hard_state.term {
            let leads = matches!(self.role, RoleState::Leader(_));
            assert!(
                !leads,
                "{from} leads term {term} although this node was elected in it"
            );
        }
        self.become_follower(term, Some(from));
        self.heard_leader = Some(self.now);
        self.reset_election_deadline();
        true
    }

    fn answer_append(&mut self, to: DiskId, round: u64, outcome: AppendOutcome) {
        let term = self.hard_state.term;
        self.send(
            to,
            RaftMessage::AppendReply {
                term,
                round,
                outcome,
            },
        );
    }

    pub(super) fn append_received(
        &mut self,
        from: DiskId,
        prev: EntryId,
        mut entries: Vec<LogEntry>,
        commit_index: LogIndex,
        round: u64,
    ) {
        if !is_contiguous(prev, &entries) {
            return;
        }
        if prev.index >= self.commit_index && !self.log.contains(prev) {
            let hint = self.log.newest_within(prev.index, prev.term);
            let prev = prev.index;
            self.answer_append(from, round, AppendOutcome::Rejected { prev, hint });
            return;
        }
        let end = entries.last().map_or(prev.index, |entry| entry.id.index);
        // Committed entries agree with every later leader, and some are no longer in memory.
        entries.retain(|entry| entry.id.index > self.commit_index);
        self.store_entries(entries);
        let match_index = end.max(self.commit_index);
        self.commit_to(commit_index.min(match_index));
        self.answer_append(from, round, AppendOutcome::Accepted { match_index });
    }

    fn store_entries(&mut self, mut entries: Vec<LogEntry>) {
        let known = entries
            .iter()
            .take_while(|entry| self.log.contains(entry.id))
            .count();
        entries.drain(..known);
        let Some(first) = entries.first() else {
            return;
        };
        let first = first.id.index;
        assert!(
            first > self.commit_index,
            "entry {first} is committed and must not be replaced"
        );
        if first <= self.log.last().index {
            self.log.truncate(first);
        }
        for entry in &entries {
            self.log.append(entry.clone());
        }
        self.persist(PersistBatch {
            entries,
            ..PersistBatch::default()
        });
    }

    pub(super) fn chunk_received(&mut self, from: DiskId, chunk: SnapshotChunk, round: u64) {
        if chunk.last.index <= self.commit_index {
            self.incoming = None;
            let match_index = self.commit_index;
            self.answer_append(from, round, AppendOutcome::Accepted { match_index });
            return;
        }
        let (last, size) = (chunk.last, chunk.size);
        let received = self.collect(&chunk);
        if received < size {
            let term = self.hard_state.term;
            self.send(
                from,
                RaftMessage::SnapshotReply {
                    term,
                    round,
                    last,
                    received,
                },
            );
            return;
        }
        self.install(chunk);
        let match_index = last.index;
        self.answer_append(from, round, AppendOutcome::Accepted { match_index });
    }

    /// Adds a part if it is the next one and returns the bytes received so far.
    fn collect(&mut self, chunk: &SnapshotChunk) -> u64 {
        let (term, last) = (self.hard_state.term, chunk.last);
        let current = self
            .incoming
            .take()
            .filter(|known| known.term == term && known.last == last);
        let mut incoming = current.unwrap_or(IncomingSnapshot {
            term,
            last,
            data: Vec::new(),
        });
        let room = chunk.size.saturating_sub(incoming.data.len() as u64);
        if chunk.offset == incoming.data.len() as u64 && chunk.data.len() as u64 <= room {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received = incoming.data.len() as u64;
        self.incoming = Some(incoming);
        received
    }

    fn install(&mut self, chunk: SnapshotChunk) {
        let data = self
            .incoming
            .take()
            .map_or(Vec::new(), |incoming| incoming.data);
        let snapshot = Snapshot {
            last: chunk.last,
            membership: chunk.membership,
            data: Arc::from(data),
        };
        self.removed |= snapshot.membership.removed.contains(&self.id);
        self.log.restore(snapshot.clone());
        self.persist(PersistBatch {
            snapshot: Some(snapshot.clone()),
            ..PersistBatch::default()
        });
        self.commit_index = snapshot.last.index;
        self.actions.push(RaftAction::Restore { snapshot });
        self.finish_barriers();
    }
}

fn is_contiguous(prev: EntryId, entries: &[LogEntry]) -> bool {
    let expected = prev.index.0 + 1..;
    entries
        .iter()
        .zip(expected)
        .all(|(entry, index)| entry.id.index.0 == index)
}
