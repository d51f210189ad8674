//! Decides the next membership change after a control host was replaced, added or lost.
//!
//! A group of three tolerates the loss of one voter, and a fourth voter adds no tolerance: if one of
//! the four is lost, the group depends on each of the others. The leader therefore keeps the number of
//! voters odd. A further control host is a learner that stands by with the whole log. It becomes a voter
//! to replace a lost, leaving or redundant voter, or together with a second learner.
//!
//! A successor is promoted before the voter that it replaces is removed. If it is lost between the two
//! changes, each voter that comes back still counts. Only a voter whose host has a new data folder is
//! removed first, because that voter cannot come back.
//!
//! A host is present for 2 s after its last announcement, and absent after that. An absent voter is lost
//! after the replacement timeout, or at once if it had announced that it is leaving.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use raft::{LogIndex, MemberChange, Membership};
use units::{ClockTime, DataCentreName, DiskId, NodeName};

use crate::formation::{PeerAnnouncement, SeenPeer, SeenPeers};

/// Maximum time without announcements after which a voter is replaced by a learner that stands by.
/// Longer than an election and a process restart, so that a short fault does not cost a voter.
pub const REPLACE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of voters up to which a silent voter is not removed without a replacement. A group of
/// three tolerates the loss of one.
pub const MIN_VOTERS: usize = 3;

/// Time without a tick after which silence counts anew. Ticks follow each other within 20 ms.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

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
    lagging: BTreeSet<DiskId>,
}

impl PromotionThresholds {
    /// Sets the members that have not held the whole log recently. A promotion of them would be refused,
    /// and a learner that could be promoted must not wait for it.
    pub fn set_lagging(&mut self, lagging: impl IntoIterator<Item = DiskId>) {
        self.lagging = lagging.into_iter().collect();
    }

    /// Returns whether the learner does not lag and has applied the log up to its threshold. The
    /// threshold is the commit index at the first call for this learner.
    fn has_reached(&mut self, announcement: &PeerAnnouncement, commit_index: LogIndex) -> bool {
        let threshold = *self
            .thresholds
            .entry(announcement.id)
            .or_insert(commit_index);
        announcement.applied_index >= threshold && !self.lagging.contains(&announcement.id)
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
/// majority larger. A host that was replaced under another name is identified by its silence, and is
/// removed after its successor was promoted, like a voter that is leaving or redundant.
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
    change.map(MemberStep::Change)
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
    /// replaces, or promotes a learner. Neither lowers the number of losses that the group tolerates.
    fn change_of_even(&self, learners: &[ReadyLearner<'_>]) -> Option<MemberChange> {
        let is_above_minimum = self.membership.voters.len() > MIN_VOTERS;
        let replaced = || self.lost_voters().max_by_key(|id| self.silence_of(*id));
        let removed = || replaced().or_else(|| self.leaving_voters().next());
        let redundant = || self.redundant_voter();
        let promoted = self.best_learner(learners);
        is_above_minimum
            .then(removed)
            .flatten()
            .map(MemberChange::Remove)
            .or_else(|| promoted.map(|learner| MemberChange::Promote(learner.id)))
            .or_else(|| {
                is_above_minimum
                    .then(redundant)
                    .flatten()
                    .map(MemberChange::Remove)
            })
    }

    /// Change of an odd number of voters: it promotes the successor of a voter, or enlarges the group if
    /// two learners stand by. A lost voter without a successor stays: the group would tolerate fewer
    /// lost disks without it.
    fn change_of_odd(&self, learners: &[ReadyLearner<'_>]) -> Option<MemberChange> {
        let successor = match self.lost_voters().next() {
            Some(_) => self.successor_of_lost(learners),
            // An absent voter may be lost. It is replaced before the group changes otherwise.
            None if self.has_absent_voter() => None,
            None => self
                .successor_of_running(learners)
                .or_else(|| self.first_of_two(learners)),
        };
        if let Some(learner) = successor {
            return Some(MemberChange::Promote(learner.id));
        }
        // With two voters in its data centre, a leaving voter has a successor already.
        let is_above_minimum = self.membership.voters.len() > MIN_VOTERS;
        let mut leaving = self.leaving_voters();
        let replaced = leaving.find(|id| self.has_other_in_data_centre(*id));
        replaced
            .filter(|_| is_above_minimum)
            .map(MemberChange::Remove)
    }

    /// Learner that replaces a lost voter, if possible one of the same data centre.
    fn successor_of_lost<'l>(
        &self,
        learners: &'l [ReadyLearner<'a>],
    ) -> Option<&'l ReadyLearner<'a>> {
        let is_near = |learner: &&ReadyLearner<'_>| {
            let mut lost = self.lost_voters();
            lost.any(|id| self.may_succeed(id, learner.data_centre))
        };
        learners
            .iter()
            .find(is_near)
            .or_else(|| self.best_learner(learners))
    }

    /// Learner that replaces a leaving voter of its data centre, or a redundant one of another.
    fn successor_of_running<'l>(
        &self,
        learners: &'l [ReadyLearner<'a>],
    ) -> Option<&'l ReadyLearner<'a>> {
        learners.iter().find(|learner| {
            let mut leaving = self.leaving_voters();
            let is_relocated = learner.data_centre.is_some()
                && self.voters_in(learner.data_centre) == 0
                && self.redundant_voter().is_some();
            is_relocated || leaving.any(|id| self.may_succeed(id, learner.data_centre))
        })
    }

    /// First of two learners that enlarge the group. No data centre may get a majority by them.
    fn first_of_two<'l>(&self, learners: &'l [ReadyLearner<'a>]) -> Option<&'l ReadyLearner<'a>> {
        let has_partner = |first: &&ReadyLearner<'_>| {
            let mut others = learners.iter().filter(|second| second.id != first.id);
            others.any(|second| {
                let is_same = second.data_centre == first.data_centre;
                self.may_enlarge(first.data_centre, 1 + usize::from(is_same))
                    && self.may_enlarge(second.data_centre, 1 + usize::from(is_same))
            })
        };
        let candidates = learners.iter().filter(has_partner);
        candidates.min_by_key(|learner| self.voters_in(learner.data_centre))
    }

    /// Whether the group bears the loss of a data centre that has this many of two additional voters.
    fn may_enlarge(&self, data_centre: Option<&DataCentreName>, joining: usize) -> bool {
        let max_losses = self.membership.voters.len().div_ceil(2);
        data_centre.is_none() || self.voters_in(data_centre) + joining <= max_losses
    }

    /// Learner of the data centre with the fewest voters.
    fn best_learner<'l>(&self, learners: &'l [ReadyLearner<'a>]) -> Option<&'l ReadyLearner<'a>> {
        let candidates = learners.iter();
        candidates.min_by_key(|learner| self.voters_in(learner.data_centre))
    }

    fn lost_voters(&self) -> impl Iterator<Item = DiskId> + '_ {
        let voters = self.membership.voters.iter().copied();
        voters.filter(|id| self.is_lost(*id))
    }

    fn is_lost(&self, member: DiskId) -> bool {
        let mut peer = self.find_peer(member).into_iter();
        let was_leaving = peer.any(|peer| peer.announcement.is_leaving);
        self.silence_of(member) >= self.replace_timeout || (was_leaving && self.is_absent(member))
    }

    fn has_absent_voter(&self) -> bool {
        let mut voters = self.membership.voters.iter();
        voters.any(|id| self.is_absent(*id))
    }

    /// Present voters other than the leader that have announced that they are leaving. The leader
    /// transfers its leadership before it leaves.
    fn leaving_voters(&self) -> impl Iterator<Item = DiskId> + '_ {
        let present = self.peers.values().filter(|peer| peer.is_present(self.now));
        let leaving = present.filter(|peer| peer.announcement.is_leaving);
        leaving
            .map(|peer| peer.announcement.id)
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
        data_centre.is_some() && self.voters_in(data_centre) > 1
    }

    fn voters_in(&self, data_centre: Option<&DataCentreName>) -> usize {
        let voters = self.membership.voters.iter();
        voters
            .filter(|id| self.data_centre_of(**id) == data_centre)
            .count()
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

/// Time since which a leader has handled what other nodes send, without a gap.
///
/// A process that did not run, or that waited for its disk, must not take that time for silence of the
/// others: their announcements have not been handled yet.
#[derive(Debug, Clone, Copy)]
pub struct ListeningTime {
    since: ClockTime,
    last_tick_at: ClockTime,
}

impl ListeningTime {
    /// Starts to listen.
    pub fn starting_at(now: ClockTime) -> Self {
        Self {
            since: now,
            last_tick_at: now,
        }
    }

    /// Records that the node runs; called at each tick.
    pub fn tick(&mut self, now: ClockTime) {
        if now.since(self.last_tick_at) >= MAX_TICK_GAP {
            self.since = now;
        }
        self.last_tick_at = now;
    }

    /// Time from which silence counts.
    pub fn since(&self) -> ClockTime {
        self.since
    }
}
