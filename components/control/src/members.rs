//! Decides the next membership change after a control host was replaced, added or lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use raft::{LogIndex, MemberChange, Membership};
use units::{ClockTime, DataCentreName, DiskId, NodeName};

use crate::formation::{PeerAnnouncement, SeenPeers};

/// Time without announcements after which a voter may be replaced by a new node of its data centre.
/// Longer than an election and a process restart, so that a short fault does not cost a voter.
pub const REPLACE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without announcements after which a voter is removed if the group has more than
/// [`MIN_VOTERS`] voters.
pub const REMOVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of voters up to which a silent voter is not removed without a replacement. A group of
/// three tolerates the loss of one.
pub const MIN_VOTERS: usize = 3;

/// Next step of the leader towards the intended membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberStep {
    /// Records the node name of a data folder.
    RecordName(DiskId, NodeName),
    /// Changes one member.
    Change(MemberChange),
}

/// Log index that each learner must have applied before it is promoted to a voter.
#[derive(Debug, Default)]
pub struct PromotionThresholds {
    thresholds: BTreeMap<DiskId, LogIndex>,
}

impl PromotionThresholds {
    /// Returns whether the learner has applied the log up to its threshold. The threshold is the
    /// commit index at the first call for this learner.
    fn has_reached(&mut self, announcement: &PeerAnnouncement, commit_index: LogIndex) -> bool {
        let threshold = *self
            .thresholds
            .entry(announcement.id)
            .or_insert(commit_index);
        announcement.applied_index >= threshold
    }
}

/// State of the group as seen by its leader.
#[derive(Debug, Clone, Copy)]
pub struct MemberView<'a> {
    /// Data folder id and name of the leader.
    pub own: (DiskId, &'a NodeName),
    /// Names of the control nodes in the leader's settings; empty if it only joins a group.
    pub configured_names: &'a BTreeSet<NodeName>,
    /// Newest announcement of each other control node.
    pub peers: &'a SeenPeers,
    /// Members of the group, and ids removed from it.
    pub membership: &'a Membership,
    /// Recorded node name of each data folder.
    pub recorded_names: &'a BTreeMap<DiskId, NodeName>,
    /// Commit index of the leader.
    pub commit_index: LogIndex,
    /// Time since which the leader has been receiving announcements.
    pub listening_since: ClockTime,
    /// Current time.
    pub now: ClockTime,
}

/// Returns the next membership step, or `None` if no step is due.
///
/// For a replaced host the steps are: record the name of the new data folder, add its id as a
/// learner, wait until the learner has caught up with the log, remove the old id, promote the new
/// one. A host therefore never has two voters: it counts once towards a majority, and a lost host
/// never makes the majority larger. A host that was replaced under another name is identified by
/// its silence and its data centre.
pub fn next_step(
    view: &MemberView<'_>,
    thresholds: &mut PromotionThresholds,
) -> Option<MemberStep> {
    if view.recorded_names.get(&view.own.0) != Some(view.own.1) {
        return Some(MemberStep::RecordName(view.own.0, view.own.1.clone()));
    }
    let mut peers = view.peers.iter();
    peers
        .find_map(|(name, peer)| view.join_step(name, &peer.announcement, thresholds))
        .or_else(|| view.removal_step())
}

/// Member that a new data folder replaces.
enum Predecessor {
    /// The folder replaces no member.
    None,
    /// The folder replaces this member.
    Known(DiskId),
    /// The folder may replace a member, but that member may also be a live node that will announce
    /// itself soon.
    Undecided,
}

impl MemberView<'_> {
    fn join_step(
        &self,
        name: &NodeName,
        announcement: &PeerAnnouncement,
        thresholds: &mut PromotionThresholds,
    ) -> Option<MemberStep> {
        let id = announcement.id;
        if self.membership.removed.contains(&id) {
            return None;
        }
        if self.recorded_names.get(&id) != Some(name) {
            return Some(MemberStep::RecordName(id, name.clone()));
        }
        if self.membership.voters.contains(&id) {
            return None;
        }
        let change = if !self.membership.learners.contains(&id) {
            MemberChange::AddLearner(id)
        } else if !thresholds.has_reached(announcement, self.commit_index) {
            return None;
        } else {
            match self.predecessor(id, name, announcement.data_centre.as_ref()) {
                Predecessor::Known(old) => MemberChange::Remove(old),
                Predecessor::Undecided => return None,
                Predecessor::None => MemberChange::Promote(id),
            }
        };
        Some(MemberStep::Change(change))
    }

    /// Member that data folder `id` replaces: one with the same name, one without a recorded name,
    /// or a silent one.
    ///
    /// A host that was lost before its name was recorded leaves a voter without a name. That voter
    /// belongs to a lost host once every other configured name is recorded for a member. Until then
    /// it may be a live node, which must not be removed.
    fn predecessor(
        &self,
        id: DiskId,
        name: &NodeName,
        data_centre: Option<&DataCentreName>,
    ) -> Predecessor {
        let others = || self.membership.members().filter(|member| *member != id);
        if let Some(old) = others().find(|member| self.recorded_names.get(member) == Some(name)) {
            return Predecessor::Known(old);
        }
        let Some(unnamed) = others().find(|member| !self.recorded_names.contains_key(member))
        else {
            return self.silent_predecessor(data_centre);
        };
        let member_names: BTreeSet<&NodeName> = others()
            .filter_map(|member| self.recorded_names.get(&member))
            .collect();
        let mut other_names = self.configured_names.iter().filter(|other| *other != name);
        match other_names.all(|other| member_names.contains(other)) {
            true => Predecessor::Known(unnamed),
            false => Predecessor::Undecided,
        }
    }

    /// Silent voter in the given data centre or in an unknown one.
    fn silent_predecessor(&self, data_centre: Option<&DataCentreName>) -> Predecessor {
        let mut silent = self
            .membership
            .voters
            .iter()
            .filter(|voter| self.is_absent(**voter))
            .filter(|voter| {
                let voter_data_centre = self.data_centre_of(**voter);
                voter_data_centre.is_none() || voter_data_centre == data_centre
            });
        match silent.next() {
            None => Predecessor::None,
            Some(voter) if self.silence_of(*voter) >= REPLACE_TIMEOUT => Predecessor::Known(*voter),
            Some(_) => Predecessor::Undecided,
        }
    }

    /// Step that removes the voter that has been silent longest, once its silence reaches
    /// [`REMOVE_TIMEOUT`], so that a majority does not depend on a lost host.
    fn removal_step(&self) -> Option<MemberStep> {
        let voters = &self.membership.voters;
        if voters.len() <= MIN_VOTERS {
            return None;
        }
        let silent = voters.iter().filter(|voter| **voter != self.own.0);
        let longest_silent = silent.max_by_key(|voter| self.silence_of(**voter))?;
        (self.silence_of(*longest_silent) >= REMOVE_TIMEOUT)
            .then_some(MemberStep::Change(MemberChange::Remove(*longest_silent)))
    }

    fn find_peer(&self, member: DiskId) -> Option<&crate::formation::SeenPeer> {
        let mut peers = self.peers.values();
        peers.find(|peer| peer.announcement.id == member)
    }

    fn is_absent(&self, member: DiskId) -> bool {
        let is_present = self
            .find_peer(member)
            .is_some_and(|peer| peer.is_present(self.now));
        member != self.own.0 && !is_present
    }

    fn data_centre_of(&self, member: DiskId) -> Option<&DataCentreName> {
        self.find_peer(member)?.announcement.data_centre.as_ref()
    }

    fn silence_of(&self, member: DiskId) -> Duration {
        if member == self.own.0 {
            return Duration::ZERO;
        }
        let received_at = self.find_peer(member).map(|peer| peer.received_at);
        self.now.since(
            received_at
                .unwrap_or(self.listening_since)
                .max(self.listening_since),
        )
    }
}
