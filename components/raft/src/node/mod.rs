//! State machine of one voter or learner.

mod barrier;
mod change;
mod election;
mod follower;
mod leader;

use std::collections::BTreeSet;
use std::mem;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use units::{ClockTime, DiskId};

use self::follower::{IncomingSnapshot, LeaderLog};
use self::leader::LeaderState;
use crate::barrier::LocalBarriers;
use crate::log::RaftLog;
use crate::persist::PersistQueue;
use crate::progress::{PeerProgress, SendMode};
use crate::{
    EntryPayload, HardState, LogIndex, LogUsage, MemberProgress, Membership, PersistBatch,
    PersistedState, RaftAction, RaftMessage, RaftSettings, ReplicationMode, SendLane, Term,
};

/// Role of a node in the current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// Receives the log from a leader or waits for one.
    Follower,
    /// Asks the voters whether an election could succeed.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Accepts proposals and replicates the log.
    Leader,
}

/// State of a node and its view of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// Id of the node.
    pub id: DiskId,
    /// Current role.
    pub role: NodeRole,
    /// Current term.
    pub term: Term,
    /// Leader of the current term, if known.
    pub leader: Option<DiskId>,
    /// Last index of the log.
    pub last_index: LogIndex,
    /// Last index known to be committed. All entries up to it were returned as `Apply` or
    /// `Restore`.
    pub commit_index: LogIndex,
    /// Last index covered by the newest snapshot.
    pub snapshot_index: LogIndex,
    /// Newest membership in the log, committed or not.
    pub membership: Membership,
    /// Whether `membership` is committed.
    pub is_membership_committed: bool,
    /// Whether the node knows that it was removed. It must not be restarted with this disk id.
    pub is_removed: bool,
}

/// Role with the state specific to it.
#[derive(Debug)]
enum RoleState {
    Follower,
    PreCandidate {
        granted_by: BTreeSet<DiskId>,
    },
    Candidate {
        granted_by: BTreeSet<DiskId>,
        /// Id of the batch with this node's own vote.
        vote_batch_id: u64,
    },
    Leader(LeaderState),
}

/// One voter or learner of the group.
#[derive(Debug)]
pub struct RaftNode {
    id: DiskId,
    settings: RaftSettings,
    rng: SmallRng,
    now: ClockTime,
    hard_state: HardState,
    log: RaftLog,
    commit_index: LogIndex,
    role: RoleState,
    leader: Option<DiskId>,
    /// Time of the last message accepted from a leader.
    last_leader_contact: Option<ClockTime>,
    election_deadline: ClockTime,
    /// Set by a `Removed` message, or by a committed entry or snapshot with the removal.
    is_removed: bool,
    persist_queue: PersistQueue,
    incoming_snapshot: Option<IncomingSnapshot>,
    leader_log: LeaderLog,
    local_barriers: LocalBarriers,
    actions: Vec<RaftAction>,
}

impl RaftNode {
    /// Starts a node from its persisted state. The seed must differ at each start.
    pub fn new(
        id: DiskId,
        state: PersistedState,
        settings: RaftSettings,
        seed: u64,
        now: ClockTime,
    ) -> Self {
        let hard_state = state.hard_state;
        let log = RaftLog::from_state(state);
        let restore = log.snapshot().cloned();
        let mut node = Self {
            id,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            now,
            hard_state,
            commit_index: log.snapshot_index(),
            persist_queue: PersistQueue::new(log.last().index),
            log,
            role: RoleState::Follower,
            leader: None,
            last_leader_contact: None,
            election_deadline: now,
            is_removed: false,
            incoming_snapshot: None,
            leader_log: LeaderLog::default(),
            local_barriers: LocalBarriers::new(),
            actions: Vec::new(),
        };
        node.reset_election_deadline();
        if let Some(snapshot) = restore {
            node.is_removed = snapshot.membership.removed.contains(&id);
            node.actions.push(RaftAction::Restore { snapshot });
        }
        node
    }

    /// Handles expired timeouts and sends heartbeats that are due.
    pub fn tick(&mut self, now: ClockTime) -> Vec<RaftAction> {
        self.advance_clock(now);
        self.expire_barriers();
        if matches!(self.role, RoleState::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.handle_election_timeout();
        }
        self.take_actions()
    }

    /// Handles a message from another node.
    pub fn handle_message(
        &mut self,
        from: DiskId,
        message: RaftMessage,
        now: ClockTime,
    ) -> Vec<RaftAction> {
        self.advance_clock(now);
        if from != self.id {
            self.dispatch_message(from, message);
        }
        self.take_actions()
    }

    fn dispatch_message(&mut self, from: DiskId, message: RaftMessage) {
        match message {
            RaftMessage::PreVote { term, last } => self.handle_pre_vote(from, term, last),
            RaftMessage::PreVoteReply { term, granted } => {
                self.handle_pre_vote_reply(from, term, granted);
            }
            RaftMessage::Vote {
                term,
                last,
                transfer,
            } => {
                self.handle_vote(from, term, last, transfer);
            }
            RaftMessage::VoteReply { term, granted } => self.handle_vote_reply(from, term, granted),
            RaftMessage::Append {
                term,
                prev,
                entries,
                commit_index,
                round,
            } => {
                if self.accept_leader(from, term, prev.index) {
                    self.handle_append(from, prev, entries, commit_index, round);
                }
            }
            RaftMessage::Snapshot { term, round, chunk } => {
                if self.accept_leader(from, term, chunk.last.index) {
                    self.handle_snapshot_chunk(from, chunk, round);
                }
            }
            RaftMessage::AppendReply {
                term,
                round,
                outcome,
            } => {
                if self.check_reply_term(term) {
                    self.handle_append_reply(from, round, outcome);
                }
            }
            RaftMessage::SnapshotReply {
                term,
                round,
                last,
                received,
            } => {
                if self.check_reply_term(term) {
                    self.handle_snapshot_reply(from, round, last, received);
                }
            }
            RaftMessage::Barrier { nonce } => self.handle_barrier(from, nonce),
            RaftMessage::BarrierReply { nonce, index } => self.handle_barrier_reply(nonce, index),
            RaftMessage::TimeoutNow { term } => self.handle_timeout_now(from, term),
            RaftMessage::Removed => self.handle_removed(),
        }
    }

    /// Handles the acknowledgement that all batches up to and including this id are synced to disk.
    pub fn handle_persisted(&mut self, id: u64, now: ClockTime) -> Vec<RaftAction> {
        self.advance_clock(now);
        for (to, message) in self.persist_queue.acknowledge(id) {
            self.send_now(to, message);
        }
        self.grant_own_vote(id);
        self.advance_commit();
        self.take_actions()
    }

    /// Replaces the log up to an applied index with a snapshot of the state at that index. The call
    /// is ignored if the index is not yet applied or the newest snapshot covers it.
    pub fn compact(&mut self, index: LogIndex, snapshot: Vec<u8>) -> Vec<RaftAction> {
        if index > self.commit_index || index <= self.log.snapshot_index() {
            return Vec::new();
        }
        let max_entries = self.settings.retained_entries;
        // A peer that lacks more than the size of the snapshot costs less with the snapshot, unless one
        // message brings it all that it lacks.
        let max_bytes = snapshot.len().max(self.settings.max_batch_bytes);
        if let Some(snapshot) = self.log.compact(index, snapshot, max_entries, max_bytes) {
            self.persist(PersistBatch {
                snapshot: Some(snapshot),
                ..PersistBatch::default()
            });
        }
        self.take_actions()
    }

    /// State of the node and its view of the group.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            id: self.id,
            role: self.role(),
            term: self.hard_state.term,
            leader: self.leader,
            last_index: self.log.last().index,
            commit_index: self.commit_index,
            snapshot_index: self.log.snapshot_index(),
            membership: self.log.membership().clone(),
            is_membership_committed: self.log.membership_index() <= self.commit_index,
            is_removed: self.is_removed,
        }
    }

    /// Progress of the other members, if this node leads.
    pub fn member_progress(&self) -> Vec<MemberProgress> {
        let RoleState::Leader(state) = &self.role else {
            return Vec::new();
        };
        let report = |(id, peer): (&DiskId, &PeerProgress)| MemberProgress {
            id: *id,
            match_index: peer.match_index,
            mode: match peer.mode {
                SendMode::Probe => ReplicationMode::Probe,
                SendMode::Replicate { .. } => ReplicationMode::Entries,
                SendMode::Snapshot { .. } => ReplicationMode::Snapshot,
            },
            missing_bytes: self.log.bytes_after(peer.match_index),
            lag: peer.lag(self.now),
            silence: self.now.since(peer.reply_at),
        };
        state.peers.iter().map(report).collect()
    }

    /// Time since the last message of a leader that this node accepted, if there was one.
    pub fn leader_silence(&self) -> Option<Duration> {
        let contact = self.last_leader_contact?;
        Some(self.now.since(contact))
    }

    /// Size of the log in memory.
    pub fn log_usage(&self) -> LogUsage {
        self.log.usage()
    }

    /// Current role, as in the status.
    pub fn role(&self) -> NodeRole {
        match self.role {
            RoleState::Follower => NodeRole::Follower,
            RoleState::PreCandidate { .. } => NodeRole::PreCandidate,
            RoleState::Candidate { .. } => NodeRole::Candidate,
            RoleState::Leader(_) => NodeRole::Leader,
        }
    }

    fn advance_clock(&mut self, now: ClockTime) {
        self.now = self.now.max(now);
    }

    fn take_actions(&mut self) -> Vec<RaftAction> {
        mem::take(&mut self.actions)
    }

    fn reset_election_deadline(&mut self) {
        let timeout = self
            .rng
            .random_range(self.settings.min_election_timeout..=self.settings.max_election_timeout);
        self.election_deadline = self.now + timeout;
    }

    /// Sends a message once all batches so far are durable.
    fn send(&mut self, to: DiskId, message: RaftMessage) {
        if let Some(message) = self.persist_queue.hold(to, message) {
            self.send_now(to, message);
        }
    }

    /// Sends a message that does not depend on what is durable on this node.
    fn send_now(&mut self, to: DiskId, message: RaftMessage) {
        self.send_in(SendLane::Urgent, to, message);
    }

    fn send_in(&mut self, lane: SendLane, to: DiskId, message: RaftMessage) {
        self.actions.push(RaftAction::Send { to, message, lane });
    }

    fn persist(&mut self, batch: PersistBatch) {
        let id = self.persist_queue.push(self.log.last().index);
        self.actions.push(RaftAction::Persist { id, batch });
    }

    fn persist_hard_state(&mut self) {
        self.persist(PersistBatch {
            hard_state: Some(self.hard_state),
            ..PersistBatch::default()
        });
    }

    /// Marks the entries up to an index as committed and returns them as `Apply`.
    fn commit_up_to(&mut self, index: LogIndex) {
        while self.commit_index < index {
            let next = LogIndex(self.commit_index.0 + 1);
            let entry = self
                .log
                .get(next)
                .expect("entries after the commit index are in the log")
                .clone();
            self.commit_index = next;
            if let RoleState::Leader(state) = &mut self.role {
                state.pending_bytes = state
                    .pending_bytes
                    .saturating_sub(entry.max_encoded_bytes());
            }
            if let EntryPayload::Members(members) = &entry.payload {
                self.is_removed |= members.removed.contains(&self.id);
            }
            self.actions.push(RaftAction::Apply { entry });
        }
        self.complete_barriers();
    }
}
