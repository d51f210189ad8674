//! Members of the group and the changes to them.

use std::collections::BTreeSet;

use units::DiskId;

use crate::ProposeError;

units::data! {
    /// Members of the group. It takes effect as soon as it is in the log.
    #[derive(Default)]
    pub struct Membership {
        /// Members that vote and count towards a majority.
        pub voters: BTreeSet<DiskId>,
        /// Members that only receive the log.
        pub learners: BTreeSet<DiskId>,
        /// Ids that were members once. They never vote and are never added again.
        pub removed: BTreeSet<DiskId>,
    }

    /// Change of one member.
    pub enum MemberChange {
        /// Adds a node that receives the log without a vote.
        AddLearner(DiskId),
        /// Gives a learner that holds the committed log a vote.
        Promote(DiskId),
        /// Removes a voter or learner for good.
        Remove(DiskId),
    }
}

impl Membership {
    /// Whether the id is a voter or learner.
    pub fn contains(&self, id: DiskId) -> bool {
        self.voters.contains(&id) || self.learners.contains(&id)
    }

    /// Voters and learners.
    pub fn members(&self) -> impl Iterator<Item = DiskId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Number of voters that form a majority.
    pub fn majority_size(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the given voters form a majority; others are not counted.
    pub(crate) fn is_majority(&self, ids: impl Iterator<Item = DiskId>) -> bool {
        let ids: BTreeSet<DiskId> = ids.filter(|id| self.voters.contains(id)).collect();
        ids.len() >= self.majority_size()
    }

    /// Largest value that a majority of voters has reached.
    pub(crate) fn majority_value(&self, value: impl Fn(DiskId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.iter().map(|id| value(*id)).collect();
        values.sort_unstable();
        values
            .len()
            .checked_sub(self.majority_size())
            .map_or(0, |place| values[place])
    }

    /// The members after the change.
    pub(crate) fn changed(&self, change: &MemberChange) -> Result<Self, ProposeError> {
        let mut next = self.clone();
        match *change {
            MemberChange::AddLearner(id) => next.add_learner(id)?,
            MemberChange::Promote(id) => next.promote(id)?,
            MemberChange::Remove(id) => next.remove(id)?,
        }
        Ok(next)
    }

    fn add_learner(&mut self, id: DiskId) -> Result<(), ProposeError> {
        if self.removed.contains(&id) {
            return Err(ProposeError::Removed { id });
        }
        if self.contains(id) {
            return Err(ProposeError::AlreadyMember { id });
        }
        self.learners.insert(id);
        Ok(())
    }

    fn promote(&mut self, id: DiskId) -> Result<(), ProposeError> {
        if !self.learners.remove(&id) {
            return Err(ProposeError::NotMember { id });
        }
        self.voters.insert(id);
        Ok(())
    }

    fn remove(&mut self, id: DiskId) -> Result<(), ProposeError> {
        if !self.voters.remove(&id) && !self.learners.remove(&id) {
            return Err(ProposeError::NotMember { id });
        }
        self.removed.insert(id);
        Ok(())
    }
}
