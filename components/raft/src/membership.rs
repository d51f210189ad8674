//! Membership of the group and changes to it.

use std::collections::BTreeSet;

use units::DiskId;

use crate::ProposeError;

units::data! {
    /// Members of the group. A new membership takes effect as soon as it is in the log.
    #[derive(Default)]
    pub struct Membership {
        /// Members that count towards a majority.
        pub voters: BTreeSet<DiskId>,
        /// Members that receive the log without counting towards a majority.
        pub learners: BTreeSet<DiskId>,
        /// Ids of former members. They never vote and are never added again.
        pub removed: BTreeSet<DiskId>,
    }

    /// Change of a single member.
    pub enum MemberChange {
        /// Adds a node as learner.
        AddLearner(DiskId),
        /// Turns a learner that has caught up with the log into a voter.
        Promote(DiskId),
        /// Removes a voter or learner permanently.
        Remove(DiskId),
    }
}

impl MemberChange {
    /// Id of the member that is changed.
    pub fn id(&self) -> DiskId {
        match self {
            Self::AddLearner(id) | Self::Promote(id) | Self::Remove(id) => *id,
        }
    }
}

impl Membership {
    /// Whether the id is that of a voter or learner.
    pub fn contains(&self, id: DiskId) -> bool {
        self.voters.contains(&id) || self.learners.contains(&id)
    }

    /// Ids of all voters and learners.
    pub fn members(&self) -> impl Iterator<Item = DiskId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Number of voters that form a majority.
    pub fn majority_size(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the given ids contain a majority of the voters. Ids of other nodes are ignored.
    pub(crate) fn is_majority(&self, ids: impl Iterator<Item = DiskId>) -> bool {
        let ids: BTreeSet<DiskId> = ids.filter(|id| self.voters.contains(id)).collect();
        ids.len() >= self.majority_size()
    }

    /// Largest value that a majority of the voters has reached.
    pub(crate) fn majority_value(&self, value: impl Fn(DiskId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.iter().map(|id| value(*id)).collect();
        values.sort_unstable();
        values
            .len()
            .checked_sub(self.majority_size())
            .map_or(0, |place| values[place])
    }

    /// Membership that results from the change.
    pub(crate) fn with_change(&self, change: &MemberChange) -> Result<Self, ProposeError> {
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
