//! Members of the group and the changes to them.

use std::collections::BTreeSet;

use units::DiskId;

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
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
