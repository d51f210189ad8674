//! Elections: pre-votes, votes and changes of term.

use std::collections::BTreeSet;

use units::DiskId;

use super::{RaftNode, RoleState};
use crate::{EntryId, HardState, RaftMessage, Term};

impl RaftNode {
    /// Whether this node can vote, which requires that it is a member. Learners vote too, because a
    /// candidate with a newer membership may already count them as voters.
    fn can_vote(&self) -> bool {
        !self.is_removed && self.log.membership().contains(self.id)
    }

    fn can_campaign(&self) -> bool {
        !self.is_removed && self.log.membership().voters.contains(&self.id)
    }

    /// Whether this node leads or has heard from a leader within the minimum election timeout.
    fn is_leader_active(&self) -> bool {
        if matches!(self.role, RoleState::Leader(_)) {
            return true;
        }
        let timeout = self.settings.min_election_timeout;
        self.last_leader_contact
            .is_some_and(|contact| self.now.since(contact) < timeout)
    }

    fn is_up_to_date(&self, last: EntryId) -> bool {
        let own_last = self.log.last();
        (last.term, last.index) >= (own_last.term, own_last.index)
    }

    pub(super) fn handle_election_timeout(&mut self) {
        self.leader = None;
        self.reset_election_deadline();
        if !self.can_campaign() {
            return;
        }
        let granted_by = BTreeSet::from([self.id]);
        self.role = RoleState::PreCandidate { granted_by };
        let message = RaftMessage::PreVote {
            term: Term(self.hard_state.term.0 + 1),
            last: self.log.last(),
        };
        self.send_to_voters(&message);
        self.check_pre_votes();
    }

    fn send_to_voters(&mut self, message: &RaftMessage) {
        let mut voters = self.log.membership().voters.clone();
        voters.remove(&self.id);
        for id in voters {
            self.send(id, message.clone());
        }
    }

    pub(super) fn handle_pre_vote(&mut self, from: DiskId, term: Term, last: EntryId) {
        if self.reply_if_removed(from) {
            return;
        }
        let own_term = self.hard_state.term;
        let granted = self.can_vote()
            && term > own_term
            && !self.is_leader_active()
            && self.is_up_to_date(last);
        let term = if granted { term } else { own_term };
        self.send(from, RaftMessage::PreVoteReply { term, granted });
    }

    /// Notifies the sender if it was removed from the group, and returns whether it was. Only
    /// committed removals count, because others may be undone.
    fn reply_if_removed(&mut self, from: DiskId) -> bool {
        let is_removed = self
            .log
            .membership_at(self.commit_index)
            .removed
            .contains(&from);
        if is_removed {
            self.send_now(from, RaftMessage::Removed);
        }
        is_removed
    }

    pub(super) fn handle_removed(&mut self) {
        self.is_removed = true;
        if !matches!(self.role, RoleState::Leader(_)) {
            self.role = RoleState::Follower;
        }
    }

    pub(super) fn handle_pre_vote_reply(&mut self, from: DiskId, term: Term, granted: bool) {
        if !granted {
            self.check_reply_term(term);
            return;
        }
        let next_term = Term(self.hard_state.term.0 + 1);
        if let RoleState::PreCandidate { granted_by } = &mut self.role
            && term == next_term
        {
            granted_by.insert(from);
            self.check_pre_votes();
        }
    }

    fn check_pre_votes(&mut self) {
        if let RoleState::PreCandidate { granted_by } = &self.role
            && self
                .log
                .membership()
                .is_majority(granted_by.iter().copied())
        {
            self.campaign(false);
        }
    }

    fn campaign(&mut self, transfer: bool) {
        self.leader = None;
        self.reset_election_deadline();
        self.hard_state = HardState {
            term: Term(self.hard_state.term.0 + 1),
            vote: Some(self.id),
        };
        self.persist_hard_state();
        self.role = RoleState::Candidate {
            granted_by: BTreeSet::new(),
            vote_batch_id: self.persist_queue.last_id(),
        };
        self.send_to_voters(&RaftMessage::Vote {
            term: self.hard_state.term,
            last: self.log.last(),
            transfer,
        });
    }

    pub(super) fn grant_own_vote(&mut self, persisted_id: u64) {
        if let RoleState::Candidate {
            granted_by,
            vote_batch_id,
        } = &mut self.role
            && persisted_id >= *vote_batch_id
            && granted_by.insert(self.id)
        {
            self.check_votes();
        }
    }

    pub(super) fn handle_vote(&mut self, from: DiskId, term: Term, last: EntryId, transfer: bool) {
        if self.reply_if_removed(from) {
            return;
        }
        // A candidate with an outdated membership or an unstable connection must not depose a
        // working leader.
        if term > self.hard_state.term && self.is_leader_active() && !transfer {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard_state.term
            && vote_available
            && self.can_vote()
            && self.is_up_to_date(last);
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.persist_hard_state();
        }
        if granted {
            self.reset_election_deadline();
        }
        let term = self.hard_state.term;
        self.send(from, RaftMessage::VoteReply { term, granted });
    }

    pub(super) fn handle_vote_reply(&mut self, from: DiskId, term: Term, granted: bool) {
        if !self.check_reply_term(term) {
            return;
        }
        if let RoleState::Candidate { granted_by, .. } = &mut self.role
            && granted
            && granted_by.insert(from)
        {
            self.check_votes();
        }
    }

    fn check_votes(&mut self) {
        if let RoleState::Candidate { granted_by, .. } = &self.role
            && granted_by.contains(&self.id)
            && self
                .log
                .membership()
                .is_majority(granted_by.iter().copied())
        {
            self.become_leader();
        }
    }

    pub(super) fn handle_timeout_now(&mut self, from: DiskId, term: Term) {
        let from_leader = self.leader == Some(from) && self.hard_state.term == term;
        if from_leader && self.can_campaign() {
            self.campaign(true);
        }
    }

    /// Returns whether a reply belongs to the current term. A newer term makes this node a
    /// follower.
    pub(super) fn check_reply_term(&mut self, term: Term) -> bool {
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return false;
        }
        term == self.hard_state.term
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<DiskId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.persist_hard_state();
        }
        if let RoleState::Leader(state) = std::mem::replace(&mut self.role, RoleState::Follower) {
            self.fail_waiting_barriers(state.waiting_barriers);
            self.reset_election_deadline();
        }
        if leader.is_none() || self.leader != leader {
            self.fail_unconfirmed_barriers();
        }
        self.leader = leader;
    }
}
