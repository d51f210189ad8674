//! Proposals, membership changes and transfer of leadership.

use units::{ClockTime, DiskId};

use super::leader::{LeaderState, LeaderTransfer};
use super::{RaftNode, RoleState};
use crate::progress::PeerProgress;
use crate::{
    EntryPayload, LogIndex, MAX_COMMAND_BYTES, MemberChange, ProposeError, RaftAction, RaftMessage,
};

impl RaftNode {
    /// Appends a command on the leader and returns its index. The command is committed only when
    /// an `Apply` action contains it at that index. If `Apply` has another entry at the index, the
    /// command was lost.
    pub fn propose(
        &mut self,
        command: Vec<u8>,
        now: ClockTime,
    ) -> Result<(LogIndex, Vec<RaftAction>), ProposeError> {
        self.advance_clock(now);
        let bytes = command.len();
        if bytes > MAX_COMMAND_BYTES {
            let limit = MAX_COMMAND_BYTES;
            return Err(ProposeError::TooLarge { bytes, limit });
        }
        self.check_pending_limits()?;
        let index = self.append_entry(EntryPayload::Command(command.into()));
        Ok((index, self.take_actions()))
    }

    fn require_accepting_leader(&self) -> Result<&LeaderState, ProposeError> {
        let RoleState::Leader(state) = &self.role else {
            return Err(ProposeError::NotLeader {
                leader: self.leader,
            });
        };
        match &state.transfer {
            Some(transfer) => Err(ProposeError::Transferring { to: transfer.to }),
            None => Ok(state),
        }
    }

    fn check_pending_limits(&self) -> Result<(), ProposeError> {
        let bytes = self.require_accepting_leader()?.pending_bytes;
        let entries = (self.log.last().index.0 - self.commit_index.0) as usize;
        let settings = &self.settings;
        if entries >= settings.max_pending_entries || bytes >= settings.max_pending_bytes {
            return Err(ProposeError::Busy { entries, bytes });
        }
        Ok(())
    }

    /// Changes one member, on the leader. The change takes effect immediately and is permanent once
    /// an `Apply` action contains it.
    pub fn change_member(
        &mut self,
        change: MemberChange,
        now: ClockTime,
    ) -> Result<Vec<RaftAction>, ProposeError> {
        self.advance_clock(now);
        self.check_pending_limits()?;
        self.check_change(&change)?;
        let members = self.log.membership().with_change(&change)?;
        let (id, last, now) = (self.id, self.log.last().index, self.now);
        if let RoleState::Leader(state) = &mut self.role {
            state.sync_peers(id, &members, last, now);
        }
        self.append_entry(EntryPayload::Members(members));
        self.send_heartbeats();
        Ok(self.take_actions())
    }

    fn check_change(&self, change: &MemberChange) -> Result<(), ProposeError> {
        let state = self.require_accepting_leader()?;
        // Until this leader has committed an entry of its own term, an uncommitted change of an
        // earlier leader may still replace the membership on which this change is based.
        if self.commit_index < state.term_start_index {
            return Err(ProposeError::NotReady);
        }
        let index = self.log.membership_index();
        if index > self.commit_index {
            return Err(ProposeError::ChangePending { index });
        }
        match *change {
            MemberChange::Promote(id) => self.check_promotion(state, id),
            MemberChange::Remove(id) if id == self.id => Err(ProposeError::IsLeader { id }),
            MemberChange::Remove(_) => self.check_majority_without(state, change),
            MemberChange::AddLearner(_) => Ok(()),
        }
    }

    fn is_replying(&self, peer: &PeerProgress) -> bool {
        let timeout = self.settings.min_election_timeout;
        peer.replied_at
            .is_some_and(|replied_at| self.now.since(replied_at) < timeout)
    }

    /// Refuses a removal after which the voters that reply form no majority.
    fn check_majority_without(
        &self,
        state: &LeaderState,
        change: &MemberChange,
    ) -> Result<(), ProposeError> {
        let members = self.log.membership().with_change(change)?;
        let peers = state.peers.iter();
        let replying = peers
            .filter(|(_, peer)| self.is_replying(peer))
            .map(|(id, _)| *id);
        match members.is_majority(replying.chain([self.id])) {
            true => Ok(()),
            false => Err(ProposeError::NoMajority),
        }
    }

    /// Refuses to promote a learner that has not caught up or does not reply: it could be needed for a
    /// majority before it can acknowledge new entries. While entries are committed in each round trip,
    /// no learner holds all of them at the time of the call. It is sufficient that it held the whole
    /// log of the leader within the maximum election timeout, so that a majority which needs it
    /// acknowledges an entry before the leader steps down.
    fn check_promotion(&self, state: &LeaderState, id: DiskId) -> Result<(), ProposeError> {
        let Some(peer) = state.peers.get(&id) else {
            return Err(ProposeError::NotMember { id });
        };
        let max_lag = self.settings.max_election_timeout;
        if !peer.is_caught_up(max_lag, self.now) || !self.is_replying(peer) {
            return Err(ProposeError::LearnerBehind {
                id,
                match_index: peer.match_index,
                commit_index: self.commit_index,
            });
        }
        Ok(())
    }

    /// Transfers leadership to the voter that holds most of the log, for use before a planned stop.
    /// Proposals are refused during the transfer. If it has not succeeded after the maximum
    /// election timeout, it is abandoned and this node remains leader.
    pub fn transfer_leadership(&mut self, now: ClockTime) -> Result<Vec<RaftAction>, ProposeError> {
        self.advance_clock(now);
        let state = self.require_accepting_leader()?;
        let voters = &self.log.membership().voters;
        let peers = state.peers.iter().filter(|(id, _)| voters.contains(id));
        let best = peers.max_by_key(|(_, peer)| (peer.match_index, peer.reply_at));
        let Some((&to, _)) = best else {
            return Err(ProposeError::NoSuccessor);
        };
        let deadline = self.now + self.settings.max_election_timeout;
        if let RoleState::Leader(state) = &mut self.role {
            state.transfer = Some(LeaderTransfer { to, deadline });
        }
        self.try_finish_transfer();
        Ok(self.take_actions())
    }

    /// Asks the successor to start an election if it holds the whole log.
    pub(super) fn try_finish_transfer(&mut self) {
        let last = self.log.last().index;
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let Some(transfer) = &state.transfer else {
            return;
        };
        let to = transfer.to;
        if state
            .peers
            .get(&to)
            .is_some_and(|peer| peer.match_index == last)
        {
            let term = self.hard_state.term;
            self.send_now(to, RaftMessage::TimeoutNow { term });
        }
    }
}
