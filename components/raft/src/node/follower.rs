//! Receipt of entries and snapshots from the leader.

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
    /// Term of the sender. Chunks of different terms are not combined, because two leaders may
    /// encode the same state differently.
    term: Term,
    last: EntryId,
    data: Vec<u8>,
}

/// What a follower knows of the log of a term's leader. The commit index may arrive before the entries.
#[derive(Debug, Default)]
pub(super) struct LeaderLog {
    term: Term,
    /// Last index up to which this node's log is known to match.
    matched: LogIndex,
    /// Newest commit index.
    committed: LogIndex,
}

impl LeaderLog {
    /// Records a part of the log, and returns the index up to which this node may commit.
    fn record(&mut self, term: Term, matched: LogIndex, committed: LogIndex) -> LogIndex {
        if self.term != term {
            *self = Self {
                term,
                ..Self::default()
            };
        }
        self.matched = self.matched.max(matched);
        self.committed = self.committed.max(committed);
        self.matched.min(self.committed)
    }
}

impl RaftNode {
    /// Accepts the sender as leader of its term, or rejects a message of an old term. Returns
    /// whether the sender was accepted.
    pub(super) fn accept_leader(&mut self, from: DiskId, term: Term, prev: LogIndex) -> bool {
        if term < self.hard_state.term {
            // The reply contains the newer term. If the sender has become leader of that term in
            // the meantime, its rounds have started again at 0, and the old round number would
            // confirm a round that this node never replied to.
            let hint = EntryId::default();
            self.send_append_reply(from, 0, AppendOutcome::Rejected { prev, hint });
            return false;
        }
        if term == self.hard_state.term {
            let leads = matches!(self.role, RoleState::Leader(_));
            assert!(
                !leads,
                "{from} claims to lead term {term}, in which this node was elected"
            );
        }
        self.become_follower(term, Some(from));
        self.last_leader_contact = Some(self.now);
        self.reset_election_deadline();
        true
    }

    fn send_append_reply(&mut self, to: DiskId, round: u64, outcome: AppendOutcome) {
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

    pub(super) fn handle_append(
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
            let hint = self.log.find_conflict_by_term(prev.index, prev.term);
            let prev = prev.index;
            self.send_append_reply(from, round, AppendOutcome::Rejected { prev, hint });
            return;
        }
        let end_index = entries.last().map_or(prev.index, |entry| entry.id.index);
        // Committed entries match the log of every later leader, and some are no longer in memory.
        entries.retain(|entry| entry.id.index > self.commit_index);
        self.append_entries(entries);
        let match_index = end_index.max(self.commit_index);
        let term = self.hard_state.term;
        let committed = self.leader_log.record(term, match_index, commit_index);
        self.commit_up_to(committed);
        self.send_append_reply(from, round, AppendOutcome::Accepted { match_index });
    }

    fn append_entries(&mut self, mut entries: Vec<LogEntry>) {
        let known_count = entries
            .iter()
            .take_while(|entry| self.log.contains(entry.id))
            .count();
        entries.drain(..known_count);
        let Some(first) = entries.first() else {
            return;
        };
        let first = first.id.index;
        assert!(
            first > self.commit_index,
            "entry {first} is committed and cannot be replaced"
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

    pub(super) fn handle_snapshot_chunk(&mut self, from: DiskId, chunk: SnapshotChunk, round: u64) {
        if chunk.last.index <= self.commit_index {
            self.incoming_snapshot = None;
            let match_index = self.commit_index;
            self.send_append_reply(from, round, AppendOutcome::Accepted { match_index });
            return;
        }
        let (last, size) = (chunk.last, chunk.size);
        let received = self.add_chunk(&chunk);
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
        self.install_snapshot(chunk);
        let match_index = last.index;
        self.send_append_reply(from, round, AppendOutcome::Accepted { match_index });
    }

    /// Adds a chunk if it is the next one, and returns the number of bytes received so far.
    fn add_chunk(&mut self, chunk: &SnapshotChunk) -> u64 {
        let (term, last) = (self.hard_state.term, chunk.last);
        let current = self
            .incoming_snapshot
            .take()
            .filter(|current| current.term == term && current.last == last);
        let mut incoming_snapshot = current.unwrap_or(IncomingSnapshot {
            term,
            last,
            data: Vec::new(),
        });
        let remaining_bytes = chunk
            .size
            .saturating_sub(incoming_snapshot.data.len() as u64);
        if chunk.offset == incoming_snapshot.data.len() as u64
            && chunk.data.len() as u64 <= remaining_bytes
        {
            incoming_snapshot.data.extend_from_slice(&chunk.data);
        }
        let received = incoming_snapshot.data.len() as u64;
        self.incoming_snapshot = Some(incoming_snapshot);
        received
    }

    fn install_snapshot(&mut self, chunk: SnapshotChunk) {
        let data = self
            .incoming_snapshot
            .take()
            .map_or(Vec::new(), |incoming_snapshot| incoming_snapshot.data);
        let snapshot = Snapshot {
            last: chunk.last,
            membership: chunk.membership,
            data: Arc::from(data),
        };
        self.is_removed |= snapshot.membership.removed.contains(&self.id);
        self.log.restore(snapshot.clone());
        self.persist(PersistBatch {
            snapshot: Some(snapshot.clone()),
            ..PersistBatch::default()
        });
        self.commit_index = snapshot.last.index;
        self.actions.push(RaftAction::Restore { snapshot });
        self.complete_barriers();
    }
}

fn is_contiguous(prev: EntryId, entries: &[LogEntry]) -> bool {
    let expected = prev.index.0 + 1..;
    entries
        .iter()
        .zip(expected)
        .all(|(entry, index)| entry.id.index.0 == index)
}
