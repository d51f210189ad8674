//! Proposals, membership changes and the transfer of leadership.

use units::{ClockTime, DiskId};

use super::leader::{LeaderState, LeaderTransfer};
use super::{RaftNode, RoleState};
use crate::{
    EntryPayload, LogIndex, MAX_COMMAND_BYTES, MemberChange, ProposeError, RaftAction, RaftMessage,
};

impl RaftNode {
    /// Appends a command on the leader and returns its index. The command is committed only once
    /// `Apply` returns it at that index; another entry there means that it was lost.
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
        self.check_bounds()?;
        let index = self.append_own(EntryPayload::Command(command.into()));
        Ok((index, self.take_actions()))
    }

    fn accepting(&self) -> Result<&LeaderState, ProposeError> {
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

    fn check_bounds(&self) -> Result<(), ProposeError> {
        let bytes = self.accepting()?.pending_bytes;
        let entries = (self.log.last().index.0 - self.commit_index.0) as usize;
        let settings = &self.settings;
        if entries >= settings.max_pending_entries || bytes >= settings.max_pending_bytes {
            return Err(ProposeError::Busy { entries, bytes });
        }
        Ok(())
    }

    /// Changes one member, on the leader. The change is in force once this returns and permanent
    /// once `Apply` returns it.
    pub fn change_member(
        &mut self,
        change: MemberChange,
        now: ClockTime,
    ) -> Result<Vec<RaftAction>, ProposeError> {
        self.advance_clock(now);
        self.check_bounds()?;
        self.check_change(&change)?;
        let members = self.log.membership().changed(&change)?;
        let (id, last, now) = (self.id, self.log.last().index, self.now);
        if let RoleState::Leader(state) = &mut self.role {
            state.follow_members(id, &members, last, now);
        }
        self.append_own(EntryPayload::Members(members));
        self.heartbeat();
        Ok(self.take_actions())
    }

    fn check_change(&self, change: &MemberChange) -> Result<(), ProposeError> {
        let state = self.accepting()?;
        // A change that an older leader left behind may still replace this one's predecessor.
        if self.commit_index < state.first {
            return Err(ProposeError::NotReady);
        }
        let index = self.log.membership_index();
        if index > self.commit_index {
            return Err(ProposeError::ChangePending { index });
        }
        match *change {
            MemberChange::Promote(id) => self.check_learner(state, id),
            MemberChange::Remove(id) if id == self.id => Err(ProposeError::IsLeader { id }),
            MemberChange::Remove(_) | MemberChange::AddLearner(_) => Ok(()),
        }
    }

    /// A learner without the committed log could be needed for a majority that it cannot serve.
    fn check_learner(&self, state: &LeaderState, id: DiskId) -> Result<(), ProposeError> {
        let Some(peer) = state.peers.get(&id) else {
            return Err(ProposeError::NotMember { id });
        };
        if peer.match_index < self.commit_index {
            return Err(ProposeError::LearnerBehind {
                id,
                match_index: peer.match_index,
                commit_index: self.commit_index,
            });
        }
        Ok(())
    }

    /// Hands leadership to the voter with the longest log, before a planned stop. Proposals are
    /// refused meanwhile; the leader goes on if the transfer fails within an election timeout.
    pub fn transfer_leadership(&mut self, now: ClockTime) -> Result<Vec<RaftAction>, ProposeError> {
        self.advance_clock(now);
        let state = self.accepting()?;
        let voters = &self.log.membership().voters;
        let peers = state.peers.iter().filter(|(id, _)| voters.contains(id));
        let best = peers.max_by_key(|(_, peer)| (peer.match_index, peer.heard));
        let Some((&to, _)) = best else {
            return Err(ProposeError::NoSuccessor);
        };
        let deadline = self.now + self.settings.max_election_timeout;
        if let RoleState::Leader(state) = &mut self.role {
            state.transfer = Some(LeaderTransfer { to, deadline });
        }
        self.continue_transfer();
        Ok(self.take_actions())
    }

    /// Starts the election of the successor once it holds the whole log.
    pub(super) fn continue_transfer(&mut self) {
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
