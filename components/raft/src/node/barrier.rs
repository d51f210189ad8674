//! Read barriers on the leader and, through the leader, on followers.

use rand::Rng;
use units::{ClockTime, DiskId};

use super::{RaftNode, RoleState};
use crate::barrier::{LocalBarrier, WaitingBarrier};
use crate::{LogIndex, RaftAction, RaftMessage};

impl RaftNode {
    /// Asks for a confirmation that the applied state contains everything that was committed when
    /// this was called. Answered by `BarrierDone` or `BarrierFailed`, at the latest after the
    /// longest election timeout.
    pub fn request_barrier(&mut self, id: u64, now: ClockTime) -> Vec<RaftAction> {
        self.advance_clock(now);
        match self.leader {
            Some(leader) if self.barriers.len() < self.settings.max_pending_barriers => {
                self.ask_barrier(id, leader);
            }
            _ => self.actions.push(RaftAction::BarrierFailed { id }),
        }
        self.take_actions()
    }

    fn ask_barrier(&mut self, id: u64, leader: DiskId) {
        // Answers to an earlier process of this node must not match, so numbers are random.
        let nonce = self.rng.random();
        let barrier = LocalBarrier {
            id,
            started: self.now,
            index: None,
        };
        self.barriers.insert(nonce, barrier);
        if leader == self.id {
            self.barrier_asked(self.id, nonce);
        } else {
            self.send_now(leader, RaftMessage::Barrier { nonce });
        }
    }

    pub(super) fn barrier_asked(&mut self, asker: DiskId, nonce: u64) {
        let max_waiting = self.settings.max_pending_barriers;
        let now = self.now;
        let idle = self.answered_round();
        let RoleState::Leader(state) = &mut self.role else {
            self.answer_barrier(asker, nonce, None);
            return;
        };
        if state.waiting.len() >= max_waiting {
            self.answer_barrier(asker, nonce, None);
            return;
        }
        // Questions that come during a round share the next one, which bounds the messages.
        let start_round = idle == state.round;
        state.waiting.push(WaitingBarrier {
            asker,
            nonce,
            round: state.round + 1,
            asked: now,
        });
        if start_round {
            self.start_round();
        }
    }

    fn start_round(&mut self) {
        if let RoleState::Leader(state) = &mut self.role {
            state.round += 1;
            self.heartbeat();
            self.confirm_barriers();
        }
    }

    /// Newest round that a majority has answered.
    fn answered_round(&self) -> u64 {
        let RoleState::Leader(state) = &self.role else {
            return 0;
        };
        self.log
            .membership()
            .majority_value(|id| match state.peers.get(&id) {
                Some(peer) => peer.round,
                None => state.round,
            })
    }

    /// Answers the barriers whose round is complete and starts the next round if others wait.
    pub(super) fn confirm_barriers(&mut self) {
        let answered = self.answered_round();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        // Until an entry of the own term is committed, older leaders' commits may be unknown.
        if state.waiting.is_empty() || self.commit_index < state.first {
            return;
        }
        let done: Vec<WaitingBarrier> = state
            .waiting
            .extract_if(.., |barrier| barrier.round <= answered)
            .collect();
        let next_due = !state.waiting.is_empty() && answered == state.round;
        for barrier in done {
            self.answer_barrier(barrier.asker, barrier.nonce, Some(self.commit_index));
        }
        if next_due {
            self.start_round();
        }
    }

    fn answer_barrier(&mut self, asker: DiskId, nonce: u64, index: Option<LogIndex>) {
        if asker == self.id {
            self.barrier_answered(nonce, index);
            return;
        }
        self.tell_commit(asker);
        self.send_now(asker, RaftMessage::BarrierReply { nonce, index });
    }

    /// Spares a follower the wait for the next heartbeat before it can apply the confirmed index.
    fn tell_commit(&mut self, to: DiskId) {
        if let RoleState::Leader(state) = &self.role
            && state
                .peers
                .get(&to)
                .is_some_and(|peer| peer.told_commit < self.commit_index)
        {
            self.send_heartbeat(to);
        }
    }

    pub(super) fn barrier_answered(&mut self, nonce: u64, index: Option<LogIndex>) {
        match index {
            None => self.fail_barrier(nonce),
            Some(_) => {
                if let Some(barrier) = self.barriers.get_mut(&nonce) {
                    barrier.index = index;
                    self.finish_barriers();
                }
            }
        }
    }

    fn fail_barrier(&mut self, nonce: u64) {
        if let Some(barrier) = self.barriers.remove(&nonce) {
            self.actions
                .push(RaftAction::BarrierFailed { id: barrier.id });
        }
    }

    /// Reports the confirmed barriers whose index is applied.
    pub(super) fn finish_barriers(&mut self) {
        let commit_index = self.commit_index;
        let is_done =
            |barrier: &LocalBarrier| barrier.index.is_some_and(|index| index <= commit_index);
        for (_, barrier) in self.barriers.extract_if(.., |_, barrier| is_done(barrier)) {
            self.actions.push(RaftAction::BarrierDone {
                id: barrier.id,
                started: barrier.started,
            });
        }
    }

    /// Fails the barriers that no leader has confirmed.
    pub(super) fn fail_unconfirmed(&mut self) {
        for (_, barrier) in self
            .barriers
            .extract_if(.., |_, barrier| barrier.index.is_none())
        {
            self.actions
                .push(RaftAction::BarrierFailed { id: barrier.id });
        }
    }

    pub(super) fn expire_barriers(&mut self) {
        let (now, patience) = (self.now, self.settings.max_election_timeout);
        let is_late = |barrier: &LocalBarrier| now.since(barrier.started) >= patience;
        for (_, barrier) in self.barriers.extract_if(.., |_, barrier| is_late(barrier)) {
            self.actions
                .push(RaftAction::BarrierFailed { id: barrier.id });
        }
    }

    /// Tells followers that this node no longer leads.
    pub(super) fn refuse_waiting(&mut self, waiting: Vec<WaitingBarrier>) {
        for barrier in waiting {
            self.answer_barrier(barrier.asker, barrier.nonce, None);
        }
    }
}
