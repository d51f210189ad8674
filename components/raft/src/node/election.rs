//! Elections: pre-votes, votes and the change of term.

use std::collections::BTreeSet;

use units::DiskId;

use super::{RaftNode, RoleState};
use crate::{EntryId, HardState, RaftMessage, Term};

impl RaftNode {
    /// Nodes vote from the time they find themselves in a membership. Learners vote as well: a
    /// candidate with newer members may count them as voters already.
    fn may_vote(&self) -> bool {
        !self.removed && self.log.membership().contains(self.id)
    }

    fn may_campaign(&self) -> bool {
        !self.removed && self.log.membership().voters.contains(&self.id)
    }

    fn hears_leader(&self) -> bool {
        if matches!(self.role, RoleState::Leader(_)) {
            return true;
        }
        let lease = self.settings.min_election_timeout;
        self.heard_leader
            .is_some_and(|heard| self.now.since(heard) < lease)
    }

    fn is_up_to_date(&self, last: EntryId) -> bool {
        let own = self.log.last();
        (last.term, last.index) >= (own.term, own.index)
    }

    pub(super) fn election_timeout(&mut self) {
        self.leader = None;
        self.reset_election_deadline();
        if !self.may_campaign() {
            return;
        }
        let granted = BTreeSet::from([self.id]);
        self.role = RoleState::PreCandidate { granted };
        let message = RaftMessage::PreVote {
            term: Term(self.hard_state.term.0 + 1),
            last: self.log.last(),
        };
        self.send_to_voters(&message);
        self.count_pre_votes();
    }

    fn send_to_voters(&mut self, message: &RaftMessage) {
        let mut voters = self.log.membership().voters.clone();
        voters.remove(&self.id);
        for id in voters {
            self.send(id, message.clone());
        }
    }

    pub(super) fn pre_vote_asked(&mut self, from: DiskId, term: Term, last: EntryId) {
        if self.answer_removed(from) {
            return;
        }
        let own = self.hard_state.term;
        let granted =
            self.may_vote() && term > own && !self.hears_leader() && self.is_up_to_date(last);
        let term = if granted { term } else { own };
        self.send(from, RaftMessage::PreVoteReply { term, granted });
    }

    /// Tells a removed node so. Only committed removals count, since others may be undone.
    fn answer_removed(&mut self, from: DiskId) -> bool {
        let removed = self
            .log
            .membership_at(self.commit_index)
            .removed
            .contains(&from);
        if removed {
            self.send_now(from, RaftMessage::Removed);
        }
        removed
    }

    pub(super) fn learn_removal(&mut self) {
        self.removed = true;
        if !matches!(self.role, RoleState::Leader(_)) {
            self.role = RoleState::Follower;
        }
    }

    pub(super) fn pre_vote_answered(&mut self, from: DiskId, term: Term, granted: bool) {
        if !granted {
            self.is_own_term(term);
            return;
        }
        let next = Term(self.hard_state.term.0 + 1);
        if let RoleState::PreCandidate { granted } = &mut self.role
            && term == next
        {
            granted.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        if let RoleState::PreCandidate { granted } = &self.role
            && self.log.membership().is_majority(granted.iter().copied())
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
            granted: BTreeSet::new(),
            vote_batch: self.persists.last_id(),
        };
        self.send_to_voters(&RaftMessage::Vote {
            term: self.hard_state.term,
            last: self.log.last(),
            transfer,
        });
    }

    pub(super) fn count_own_vote(&mut self, persisted: u64) {
        if let RoleState::Candidate {
            granted,
            vote_batch,
        } = &mut self.role
            && persisted >= *vote_batch
            && granted.insert(self.id)
        {
            self.count_votes();
        }
    }

    pub(super) fn vote_asked(&mut self, from: DiskId, term: Term, last: EntryId, transfer: bool) {
        if self.answer_removed(from) {
            return;
        }
        // A candidate with stale members or a flapping link must not depose a working leader.
        if term > self.hard_state.term && self.hears_leader() && !transfer {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted =
            term == self.hard_state.term && free && self.may_vote() && self.is_up_to_date(last);
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

    pub(super) fn vote_answered(&mut self, from: DiskId, term: Term, vote: bool) {
        if !self.is_own_term(term) {
            return;
        }
        if let RoleState::Candidate { granted, .. } = &mut self.role
            && vote
            && granted.insert(from)
        {
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        if let RoleState::Candidate { granted, .. } = &self.role
            && granted.contains(&self.id)
            && self.log.membership().is_majority(granted.iter().copied())
        {
            self.become_leader();
        }
    }

    pub(super) fn timeout_now(&mut self, from: DiskId, term: Term) {
        let from_leader = self.leader == Some(from) && self.hard_state.term == term;
        if from_leader && self.may_campaign() {
            self.campaign(true);
        }
    }

    /// Whether an answer is for the present term. A newer term ends any role in the old one.
    pub(super) fn is_own_term(&mut self, term: Term) -> bool {
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
            self.refuse_waiting(state.waiting);
            self.reset_election_deadline();
        }
        if leader.is_none() || self.leader != leader {
            self.fail_unconfirmed();
        }
        self.leader = leader;
    }
}
