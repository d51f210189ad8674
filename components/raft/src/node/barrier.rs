//! Read barriers on the leader and, through the leader, on followers.

use rand::Rng;
use units::{ClockTime, DiskId};

use super::{RaftNode, RoleState};
use crate::barrier::{LocalBarrier, WaitingBarrier};
use crate::{LogIndex, RaftAction, RaftMessage};

impl RaftNode {
    /// Requests confirmation that the applied state contains every entry that was committed before
    /// the call. It ends with `BarrierDone` or `BarrierFailed` for this id. An unconfirmed barrier
    /// fails after the maximum election timeout.
    pub fn request_barrier(&mut self, id: u64, now: ClockTime) -> Vec<RaftAction> {
        self.advance_clock(now);
        match self.leader {
            Some(leader) if self.local_barriers.len() < self.settings.max_pending_barriers => {
                self.start_barrier(id, leader);
            }
            _ => self.actions.push(RaftAction::BarrierFailed { id }),
        }
        self.take_actions()
    }

    fn start_barrier(&mut self, id: u64, leader: DiskId) {
        // Replies to an earlier process of this node must not match, so nonces are random.
        let nonce = self.rng.random();
        let barrier = LocalBarrier {
            id,
            started_at: self.now,
            index: None,
        };
        self.local_barriers.insert(nonce, barrier);
        if leader == self.id {
            self.handle_barrier(self.id, nonce);
        } else {
            self.send_now(leader, RaftMessage::Barrier { nonce });
        }
    }

    pub(super) fn handle_barrier(&mut self, requester: DiskId, nonce: u64) {
        let max_pending = self.settings.max_pending_barriers;
        let now = self.now;
        let completed_round = self.majority_round();
        let RoleState::Leader(state) = &mut self.role else {
            self.reply_to_barrier(requester, nonce, None);
            return;
        };
        if state.waiting_barriers.len() >= max_pending {
            self.reply_to_barrier(requester, nonce, None);
            return;
        }
        // Requests that arrive during a round share the next one, which limits the number of
        // heartbeats.
        let is_idle = completed_round == state.round;
        state.waiting_barriers.push(WaitingBarrier {
            requester,
            nonce,
            round: state.round + 1,
            requested_at: now,
        });
        if is_idle {
            self.start_heartbeat_round();
        }
    }

    pub(super) fn start_heartbeat_round(&mut self) {
        if let RoleState::Leader(state) = &mut self.role {
            state.round += 1;
            self.send_heartbeats();
            self.confirm_barriers();
        }
    }

    /// Newest heartbeat round that a majority has replied to.
    fn majority_round(&self) -> u64 {
        let RoleState::Leader(state) = &self.role else {
            return 0;
        };
        self.log
            .membership()
            .majority_value(|id| match state.peers.get(&id) {
                Some(peer) => peer.last_round,
                None => state.round,
            })
    }

    /// Confirms the barriers whose round is complete and starts the next round if others wait.
    pub(super) fn confirm_barriers(&mut self) {
        let completed_round = self.majority_round();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        // Until this leader has committed an entry of its own term, it may not know of all entries
        // that earlier leaders have committed.
        if state.waiting_barriers.is_empty() || self.commit_index < state.term_start_index {
            return;
        }
        let confirmed: Vec<WaitingBarrier> = state
            .waiting_barriers
            .extract_if(.., |barrier| barrier.round <= completed_round)
            .collect();
        let is_next_due = !state.waiting_barriers.is_empty() && completed_round == state.round;
        for barrier in confirmed {
            self.reply_to_barrier(barrier.requester, barrier.nonce, Some(self.commit_index));
        }
        if is_next_due {
            self.start_heartbeat_round();
        }
    }

    fn reply_to_barrier(&mut self, requester: DiskId, nonce: u64, index: Option<LogIndex>) {
        if requester == self.id {
            self.handle_barrier_reply(nonce, index);
            return;
        }
        self.send_commit_index(requester);
        self.send_now(requester, RaftMessage::BarrierReply { nonce, index });
    }

    /// Sends the commit index to a follower that does not know it, so that it can apply entries up
    /// to the confirmed index without waiting for the next heartbeat.
    fn send_commit_index(&mut self, to: DiskId) {
        if let RoleState::Leader(state) = &self.role
            && state
                .peers
                .get(&to)
                .is_some_and(|peer| peer.sent_commit_index < self.commit_index)
        {
            self.send_heartbeat(to);
        }
    }

    pub(super) fn handle_barrier_reply(&mut self, nonce: u64, index: Option<LogIndex>) {
        match index {
            None => self.fail_barrier(nonce),
            Some(_) => {
                if let Some(barrier) = self.local_barriers.get_mut(&nonce) {
                    barrier.index = index;
                    self.complete_barriers();
                }
            }
        }
    }

    fn fail_barrier(&mut self, nonce: u64) {
        if let Some(barrier) = self.local_barriers.remove(&nonce) {
            self.actions
                .push(RaftAction::BarrierFailed { id: barrier.id });
        }
    }

    /// Completes the confirmed barriers whose index is applied.
    pub(super) fn complete_barriers(&mut self) {
        let commit_index = self.commit_index;
        let is_complete =
            |barrier: &LocalBarrier| barrier.index.is_some_and(|index| index <= commit_index);
        for (_, barrier) in self
            .local_barriers
            .extract_if(.., |_, barrier| is_complete(barrier))
        {
            self.actions.push(RaftAction::BarrierDone {
                id: barrier.id,
                started: barrier.started_at,
            });
        }
    }

    /// Fails the barriers of this node that no leader has confirmed.
    pub(super) fn fail_unconfirmed_barriers(&mut self) {
        for (_, barrier) in self
            .local_barriers
            .extract_if(.., |_, barrier| barrier.index.is_none())
        {
            self.actions
                .push(RaftAction::BarrierFailed { id: barrier.id });
        }
    }

    pub(super) fn expire_barriers(&mut self) {
        let (now, timeout) = (self.now, self.settings.max_election_timeout);
        let is_expired = |barrier: &LocalBarrier| now.since(barrier.started_at) >= timeout;
        for (_, barrier) in self
            .local_barriers
            .extract_if(.., |_, barrier| is_expired(barrier))
        {
            self.actions
                .push(RaftAction::BarrierFailed { id: barrier.id });
        }
    }

    /// Fails the barriers that wait on this node when it stops leading.
    pub(super) fn fail_waiting_barriers(&mut self, waiting: Vec<WaitingBarrier>) {
        for barrier in waiting {
            self.reply_to_barrier(barrier.requester, barrier.nonce, None);
        }
    }
}
