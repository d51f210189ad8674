//! Decides the next membership change after a control host was replaced, added or lost.
//!
//! A group of three tolerates the loss of one voter, and a fourth voter adds no tolerance: if one of
//! the four is lost, the group depends on each of the others. The leader therefore keeps the number of
//! voters odd. A learner without a seat stands by with the whole log. It becomes a voter when it takes
//! the seat of a lost, leaving or redundant voter, or when two of them stand by.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use raft::{LogIndex, MemberChange, Membership};
use units::{ClockTime, DataCentreName, DiskId, NodeName};

use crate::formation::{PeerAnnouncement, SeenPeer, SeenPeers};

/// Maximum time without announcements after which a voter is replaced by a learner that stands by.
/// Longer than an election and a process restart, so that a short fault does not cost a voter.
pub const REPLACE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without announcements after which a voter is removed without a replacement if the group has
/// more than [`MIN_VOTERS`] voters and none but this one is silent.
pub const REMOVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of voters up to which a silent voter is not removed without a replacement. A group of
/// three tolerates the loss of one.
pub const MIN_VOTERS: usize = 3;

/// Silence after which a voter is replaced, if a replaced host must bear the loss of another one
/// `catch_up_time` after its start. The last quarter is left for the changes themselves.
pub fn replace_timeout(catch_up_time: Duration) -> Duration {
    REPLACE_TIMEOUT.min(catch_up_time * 3 / 4)
}

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
    /// Data centre of the leader, if configured.
    pub own_data_centre: Option<&'a DataCentreName>,
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
    /// Silence after which a voter is replaced.
    pub replace_timeout: Duration,
    /// Current time.
    pub now: ClockTime,
}

/// Returns the next membership step, or `None` if no step is due.
///
/// For a lost host the steps are: record the name of the new data folder, add its id as a learner, wait
/// until the learner has caught up with the log, remove the old id, promote the new one. A host
/// therefore never has two voters: it counts once towards a majority, and a lost host never makes the
/// majority larger. A host that was replaced under another name is identified by its silence. A voter
/// that still runs, because it is leaving or redundant, is removed after its successor was promoted, so
/// that the group can lose any one voter at each moment.
pub fn next_step(
    view: &MemberView<'_>,
    thresholds: &mut PromotionThresholds,
) -> Option<MemberStep> {
    if view.recorded_names.get(&view.own.0) != Some(view.own.1) {
        return Some(MemberStep::RecordName(view.own.0, view.own.1.clone()));
    }
    if let Some(step) = view.join_step() {
        return Some(step);
    }
    let learners = view.ready_learners(thresholds);
    if let Some(old) = learners.iter().find_map(|learner| learner.predecessor) {
        return Some(MemberStep::Change(MemberChange::Remove(old)));
    }
    let change = match view.membership.voters.len() % 2 {
        0 => view.change_of_even(&learners),
        _ => view.change_of_odd(&learners),
    };
    change
        .or_else(|| view.removal_of_lost())
        .map(MemberStep::Change)
}

/// Learner that has caught up with the log.
struct ReadyLearner<'a> {
    id: DiskId,
    data_centre: Option<&'a DataCentreName>,
    /// Member that the learner's host had before, under the same name.
    predecessor: Option<DiskId>,
}

/// Member that a new data folder replaces.
enum Predecessor {
    /// The folder replaces no member that can be identified by its name.
    None,
    /// The folder replaces this member.
    Known(DiskId),
    /// The folder may replace a member, but that member may also be a live node that will announce
    /// itself soon.
    Undecided,
}

impl<'a> MemberView<'a> {
    /// Step that records the name of a new data folder, or adds it as a learner.
    fn join_step(&self) -> Option<MemberStep> {
        let mut joining = self.peers.iter().filter(|(_, peer)| {
            let removed = &self.membership.removed;
            !removed.contains(&peer.announcement.id)
        });
        joining.find_map(|(name, peer)| {
            let id = peer.announcement.id;
            if self.recorded_names.get(&id) != Some(name) {
                return Some(MemberStep::RecordName(id, name.clone()));
            }
            let is_member = self.membership.contains(id);
            (!is_member).then_some(MemberStep::Change(MemberChange::AddLearner(id)))
        })
    }

    /// Learners that could become voters now. One whose predecessor is not yet known must wait.
    fn ready_learners(&self, thresholds: &mut PromotionThresholds) -> Vec<ReadyLearner<'a>> {
        let mut learners = Vec::new();
        for (name, peer) in self.peers {
            let announcement = &peer.announcement;
            let is_candidate = self.membership.learners.contains(&announcement.id)
                && peer.is_present(self.now)
                && !announcement.is_leaving;
            if !is_candidate || !thresholds.has_reached(announcement, self.commit_index) {
                continue;
            }
            let predecessor = match self.predecessor(announcement.id, name) {
                Predecessor::None => None,
                Predecessor::Known(old) => Some(old),
                Predecessor::Undecided => continue,
            };
            learners.push(ReadyLearner {
                id: announcement.id,
                data_centre: announcement.data_centre.as_ref(),
                predecessor,
            });
        }
        learners
    }

    /// Member that data folder `id` replaces: one with the same name, or one without a recorded name.
    ///
    /// A host that was lost before its name was recorded leaves a voter without a name. That voter
    /// belongs to a lost host once every other configured name is recorded for a member. Until then
    /// it may be a live node, which must not be removed. A leader without configured names cannot
    /// tell, and waits until the voter is silent for long enough.
    fn predecessor(&self, id: DiskId, name: &NodeName) -> Predecessor {
        let others = || self.membership.members().filter(|member| *member != id);
        if let Some(old) = others().find(|member| self.recorded_names.get(member) == Some(name)) {
            return Predecessor::Known(old);
        }
        let Some(unnamed) = others().find(|member| !self.recorded_names.contains_key(member))
        else {
            return Predecessor::None;
        };
        if self.configured_names.is_empty() {
            return Predecessor::None;
        }
        let member_names: BTreeSet<&NodeName> = others()
            .filter_map(|member| self.recorded_names.get(&member))
            .collect();
        let mut other_names = self.configured_names.iter().filter(|other| *other != name);
        match other_names.all(|other| member_names.contains(other)) {
            true => Predecessor::Known(unnamed),
            false => Predecessor::Undecided,
        }
    }

    /// Change that makes an even number of voters odd: it removes the voter that a promoted learner
    /// replaces, or promotes a learner.
    fn change_of_even(&self, learners: &[ReadyLearner<'_>]) -> Option<MemberChange> {
        let is_above_minimum = self.membership.voters.len() > MIN_VOTERS;
        let removed = is_above_minimum
            .then(|| {
                self.lost_voter(None)
                    .or_else(|| self.leaving_voters().next())
            })
            .flatten();
        let promoted = || {
            let has_voter = |learner: &&ReadyLearner| self.has_voter_in(learner.data_centre);
            learners
                .iter()
                .min_by_key(has_voter)
                .map(|learner| learner.id)
        };
        let redundant = || is_above_minimum.then(|| self.redundant_voter()).flatten();
        removed
            .map(MemberChange::Remove)
            .or_else(|| promoted().map(MemberChange::Promote))
            .or_else(|| redundant().map(MemberChange::Remove))
    }

    /// Change of an odd number of voters: it gives the seat of a voter to a learner, or enlarges the
    /// group if two learners stand by.
    fn change_of_odd(&self, learners: &[ReadyLearner<'_>]) -> Option<MemberChange> {
        let first = learners.first()?;
        if let Some(lost) = self.lost_voter(first.data_centre) {
            return Some(MemberChange::Remove(lost));
        }
        // An absent voter may be lost. Its seat is decided before any other.
        if self.membership.voters.iter().any(|id| self.is_absent(*id)) {
            return None;
        }
        let successor = learners.iter().find(|learner| {
            let mut leaving = self.leaving_voters();
            let is_relocated = !self.has_voter_in(learner.data_centre)
                && learner.data_centre.is_some()
                && self.redundant_voter().is_some();
            is_relocated || leaving.any(|id| self.may_succeed(id, learner.data_centre))
        });
        let promoted = match (successor, learners) {
            (Some(successor), _) => Some(successor),
            (None, [first, _, ..]) => Some(first),
            _ => None,
        };
        promoted.map(|learner| MemberChange::Promote(learner.id))
    }

    /// Voter that is no longer needed because the group has enough others: one of two lost voters, one
    /// whose successor in its data centre has a seat, or one that was lost long ago.
    fn removal_of_lost(&self) -> Option<MemberChange> {
        let voters = &self.membership.voters;
        if voters.len() <= MIN_VOTERS {
            return None;
        }
        let lost = voters.iter().filter(|id| self.is_lost(**id));
        let long_lost = |id: &DiskId| self.silence_of(*id) >= REMOVE_TIMEOUT;
        let removed = match lost.count() {
            0 => self
                .leaving_voters()
                .find(|id| self.has_other_in_data_centre(*id)),
            1 => self.lost_voter(None).filter(long_lost),
            _ => self.lost_voter(None),
        };
        removed.map(MemberChange::Remove)
    }

    /// Voter that has been silent for the replacement timeout, or since it said that it leaves. One in the given data centre, or in an
    /// unknown one, comes first, then the one that has been silent longest.
    fn lost_voter(&self, data_centre: Option<&DataCentreName>) -> Option<DiskId> {
        let voters = self.membership.voters.iter().copied();
        let lost = voters.filter(|id| self.is_lost(*id));
        lost.max_by_key(|id| (self.may_succeed(*id, data_centre), self.silence_of(*id)))
    }

    fn is_lost(&self, member: DiskId) -> bool {
        let has_left = || {
            self.find_peer(member)
                .is_some_and(|peer| peer.announcement.is_leaving)
        };
        self.is_absent(member) && (has_left() || self.silence_of(member) >= self.replace_timeout)
    }

    /// Voters other than the leader that have announced that they are leaving. The leader transfers
    /// its leadership before it leaves.
    fn leaving_voters(&self) -> impl Iterator<Item = DiskId> + '_ {
        let peers = self.peers.values().map(|peer| &peer.announcement);
        let leaving = peers.filter(|announcement| announcement.is_leaving);
        leaving
            .map(|announcement| announcement.id)
            .filter(|id| self.membership.voters.contains(id))
    }

    /// Voter other than the leader in a data centre that has several.
    fn redundant_voter(&self) -> Option<DiskId> {
        let voters = self.membership.voters.iter().copied();
        voters
            .filter(|id| *id != self.own.0 && self.has_other_in_data_centre(*id))
            .max_by_key(|id| Reverse(self.is_configured(*id)))
    }

    fn is_configured(&self, member: DiskId) -> bool {
        let name = self.recorded_names.get(&member);
        name.is_some_and(|name| self.configured_names.contains(name))
    }

    fn has_other_in_data_centre(&self, member: DiskId) -> bool {
        let data_centre = self.data_centre_of(member);
        let mut others = self.membership.voters.iter().filter(|id| **id != member);
        data_centre.is_some() && others.any(|id| self.data_centre_of(*id) == data_centre)
    }

    fn has_voter_in(&self, data_centre: Option<&DataCentreName>) -> bool {
        let mut voters = self.membership.voters.iter();
        voters.any(|id| self.data_centre_of(*id) == data_centre)
    }

    /// Whether a learner of this data centre may take the seat of a voter without moving it to another
    /// data centre.
    fn may_succeed(&self, voter: DiskId, data_centre: Option<&DataCentreName>) -> bool {
        let voter_data_centre = self.data_centre_of(voter);
        voter_data_centre.is_none() || voter_data_centre == data_centre
    }

    fn find_peer(&self, member: DiskId) -> Option<&'a SeenPeer> {
        let mut peers = self.peers.values();
        peers.find(|peer| peer.announcement.id == member)
    }

    fn is_absent(&self, member: DiskId) -> bool {
        let is_present = self
            .find_peer(member)
            .is_some_and(|peer| peer.is_present(self.now));
        member != self.own.0 && !is_present
    }

    fn data_centre_of(&self, member: DiskId) -> Option<&'a DataCentreName> {
        if member == self.own.0 {
            return self.own_data_centre;
        }
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
