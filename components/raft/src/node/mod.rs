//! One voter or learner of the group.

mod barrier;
mod change;
mod election;
mod follower;
mod leader;

use std::collections::BTreeSet;
use std::mem;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use units::{ClockTime, DiskId};

use self::follower::IncomingSnapshot;
use self::leader::LeaderState;
use crate::barrier::LocalBarriers;
use crate::log::RaftLog;
use crate::persist::PersistQueue;
use crate::{
    EntryPayload, HardState, LogIndex, Membership, PersistBatch, PersistedState, RaftAction,
    RaftMessage, RaftSettings, Term,
};

/// Present role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// Receives the log from a leader, or waits for one.
    Follower,
    /// Asks whether an election could succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Accepts proposals.
    Leader,
}

/// What a node knows about the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// Id of the node.
    pub id: DiskId,
    /// Its role.
    pub role: NodeRole,
    /// Its term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<DiskId>,
    /// Last index of its log.
    pub last_index: LogIndex,
    /// Last index known to be committed; everything up to it was returned as `Apply` or `Restore`.
    pub commit_index: LogIndex,
    /// Last index of its newest snapshot.
    pub snapshot_index: LogIndex,
    /// Newest members in its log, committed or not.
    pub membership: Membership,
    /// Whether `membership` is committed.
    pub is_membership_committed: bool,
    /// The node knows that it was removed and must not be restarted with this disk.
    pub is_removed: bool,
}

/// Role with its own state.
#[derive(Debug)]
enum RoleState {
    Follower,
    PreCandidate {
        granted: BTreeSet<DiskId>,
    },
    Candidate {
        granted: BTreeSet<DiskId>,
        /// Batch with the own vote.
        vote_batch: u64,
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
    /// Time of the last message from the leader.
    heard_leader: Option<ClockTime>,
    election_deadline: ClockTime,
    /// A member has said that this node was removed, or a committed entry says so.
    removed: bool,
    persists: PersistQueue,
    incoming: Option<IncomingSnapshot>,
    barriers: LocalBarriers,
    actions: Vec<RaftAction>,
}

impl RaftNode {
    /// Starts a node from what its disk holds. The seed must be a new one at each start.
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
            persists: PersistQueue::new(log.last().index),
            log,
            role: RoleState::Follower,
            leader: None,
            heard_leader: None,
            election_deadline: now,
            removed: false,
            incoming: None,
            barriers: LocalBarriers::new(),
            actions: Vec::new(),
        };
        node.reset_election_deadline();
        if let Some(snapshot) = restore {
            node.removed = snapshot.membership.removed.contains(&id);
            node.actions.push(RaftAction::Restore { snapshot });
        }
        node
    }

    /// Handles timeouts.
    pub fn tick(&mut self, now: ClockTime) -> Vec<RaftAction> {
        self.advance_clock(now);
        self.expire_barriers();
        if matches!(self.role, RoleState::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.election_timeout();
        }
        self.take_actions()
    }

    /// Handles a message.
    pub fn receive(
        &mut self,
        from: DiskId,
        message: RaftMessage,
        now: ClockTime,
    ) -> Vec<RaftAction> {
        self.advance_clock(now);
        if from != self.id {
            self.dispatch(from, message);
        }
        self.take_actions()
    }

    fn dispatch(&mut self, from: DiskId, message: RaftMessage) {
        match message {
            RaftMessage::PreVote { term, last } => self.pre_vote_asked(from, term, last),
            RaftMessage::PreVoteReply { term, granted } => {
                self.pre_vote_answered(from, term, granted);
            }
            RaftMessage::Vote {
                term,
                last,
                transfer,
            } => {
                self.vote_asked(from, term, last, transfer);
            }
            RaftMessage::VoteReply { term, granted } => self.vote_answered(from, term, granted),
            RaftMessage::Append {
                term,
                prev,
                entries,
                commit_index,
                round,
            } => {
                if self.follow(from, term, prev.index) {
                    self.append_received(from, prev, entries, commit_index, round);
                }
            }
            RaftMessage::Snapshot { term, round, chunk } => {
                if self.follow(from, term, chunk.last.index) {
                    self.chunk_received(from, chunk, round);
                }
            }
            RaftMessage::AppendReply {
                term,
                round,
                outcome,
            } => {
                if self.is_own_term(term) {
                    self.append_answered(from, round, outcome);
                }
            }
            RaftMessage::SnapshotReply {
                term,
                round,
                last,
                received,
            } => {
                if self.is_own_term(term) {
                    self.chunk_answered(from, round, last, received);
                }
            }
            RaftMessage::Barrier { nonce } => self.barrier_asked(from, nonce),
            RaftMessage::BarrierReply { nonce, index } => self.barrier_answered(nonce, index),
            RaftMessage::TimeoutNow { term } => self.timeout_now(from, term),
            RaftMessage::Removed => self.learn_removal(),
        }
    }

    /// All batches up to and including this id are synced to disk.
    pub fn handle_persisted(&mut self, id: u64, now: ClockTime) -> Vec<RaftAction> {
        self.advance_clock(now);
        for (to, message) in self.persists.acknowledge(id) {
            self.actions.push(RaftAction::Send { to, message });
        }
        self.count_own_vote(id);
        self.advance_commit();
        self.take_actions()
    }

    /// Replaces the log up to an applied index with a snapshot of the state at that index. Ignored
    /// if the index is not applied yet or a newer snapshot exists. The batch to persist is returned
    /// by the next call.
    pub fn compact(&mut self, index: LogIndex, snapshot: Vec<u8>) {
        if index > self.commit_index || index <= self.log.snapshot_index() {
            return;
        }
        let retained = self.settings.retained_entries;
        if let Some(snapshot) = self.log.compact(index, snapshot, retained) {
            self.persist(PersistBatch {
                snapshot: Some(snapshot),
                ..PersistBatch::default()
            });
        }
    }

    /// What the node knows about the group.
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
            is_removed: self.removed,
        }
    }

    fn role(&self) -> NodeRole {
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
        let span = self
            .rng
            .random_range(self.settings.min_election_timeout..=self.settings.max_election_timeout);
        self.election_deadline = self.now + span;
    }

    /// Sends a message once everything that it promises is durable.
    fn send(&mut self, to: DiskId, message: RaftMessage) {
        if let Some(message) = self.persists.hold(to, message) {
            self.actions.push(RaftAction::Send { to, message });
        }
    }

    /// Sends a message that promises nothing about this node's disk.
    fn send_now(&mut self, to: DiskId, message: RaftMessage) {
        self.actions.push(RaftAction::Send { to, message });
    }

    fn persist(&mut self, batch: PersistBatch) {
        let id = self.persists.push(self.log.last().index);
        self.actions.push(RaftAction::Persist { id, batch });
    }

    fn persist_hard_state(&mut self) {
        self.persist(PersistBatch {
            hard_state: Some(self.hard_state),
            ..PersistBatch::default()
        });
    }

    /// Commits and applies entries up to an index.
    fn commit_to(&mut self, index: LogIndex) {
        while self.commit_index < index {
            let next = LogIndex(self.commit_index.0 + 1);
            let entry = self
                .log
                .get(next)
                .expect("committed entries are in the log")
                .clone();
            self.commit_index = next;
            if let RoleState::Leader(state) = &mut self.role {
                state.pending_bytes = state
                    .pending_bytes
                    .saturating_sub(entry.max_encoded_bytes());
            }
            if let EntryPayload::Members(members) = &entry.payload {
                self.removed |= members.removed.contains(&self.id);
            }
            self.actions.push(RaftAction::Apply { entry });
        }
        self.finish_barriers();
    }
}
