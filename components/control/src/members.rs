//! Which membership change comes next when a control host was replaced or added.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use raft::{LogIndex, MemberChange, Membership};
use units::{ClockTime, DataCentreName, DiskId, NodeName};

use crate::formation::{PeerAnnouncement, SeenPeers};

/// Silence of a voter after which a new node of its data centre takes its place. Longer than an
/// election and a restart of the process, so that a short fault costs no vote.
pub const REPLACE_TIMEOUT: Duration = Duration::from_secs(3);

/// Silence of a voter after which it is removed while enough others are left.
pub const REMOVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Voters that a group keeps, whatever their silence: two of three bear the loss of one.
pub const MIN_VOTERS: usize = 3;

/// What the leader does next about its members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberStep {
    /// Record the name of a data folder.
    RecordName(DiskId, NodeName),
    /// Change one member.
    Change(MemberChange),
}

/// Commit index that each learner must reach before it may vote.
#[derive(Debug, Default)]
pub struct PromotionThresholds {
    targets: BTreeMap<DiskId, LogIndex>,
}

impl PromotionThresholds {
    /// Whether the learner holds the log up to the commit index at the time it was first seen here.
    fn reached(&mut self, announcement: &PeerAnnouncement, commit_index: LogIndex) -> bool {
        let target = *self.targets.entry(announcement.id).or_insert(commit_index);
        announcement.applied_index >= target
    }
}

/// The group as its leader sees it.
#[derive(Debug, Clone, Copy)]
pub struct MemberView<'a> {
    /// Data folder and name of the leader.
    pub own: (DiskId, &'a NodeName),
    /// Names of all control nodes in the settings.
    pub configured_names: &'a BTreeSet<NodeName>,
    /// Newest announcements.
    pub peers: &'a SeenPeers,
    /// Members.
    pub membership: &'a Membership,
    /// Recorded names of data folders.
    pub recorded_names: &'a BTreeMap<DiskId, NodeName>,
    /// Commit index.
    pub commit_index: LogIndex,
    /// Since when the leader listens for announcements.
    pub listening_since: ClockTime,
    /// Present time.
    pub now: ClockTime,
}

/// The next step, or none if the members are as they should be.
///
/// Order for a replaced host: record the name, add the new id as a learner, wait until it holds the
/// log, remove the old id, promote the new one. The group never has two voters of one host, so a
/// host counts once towards a majority, and the majority never grows through a host that is gone.
/// A host that was replaced under another name is known by its silence and its data centre.
pub fn next_step(view: &MemberView<'_>, targets: &mut PromotionThresholds) -> Option<MemberStep> {
    if view.recorded_names.get(&view.own.0) != Some(view.own.1) {
        return Some(MemberStep::RecordName(view.own.0, view.own.1.clone()));
    }
    let mut peers = view.peers.iter();
    peers
        .find_map(|(name, peer)| view.join_step(name, &peer.announcement, targets))
        .or_else(|| view.forget_step())
}

/// The member that a new data folder replaces.
enum Predecessor {
    /// No member has to leave.
    None,
    /// This member.
    Known(DiskId),
    /// A member may be the one, or may be a node that is heard of again soon.
    Undecided,
}

impl MemberView<'_> {
    fn join_step(
        &self,
        name: &NodeName,
        announcement: &PeerAnnouncement,
        targets: &mut PromotionThresholds,
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
        } else if !targets.reached(announcement, self.commit_index) {
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

    /// Another member with the same name, or a silent one. A host that was lost before its name was
    /// recorded has left a voter without a name: it is one of the lost hosts as soon as every other
    /// listed name is that of a member. Until then it may be a live node, which must not be removed.
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
        let Some(nameless) = others().find(|member| !self.recorded_names.contains_key(member))
        else {
            return self.silent_predecessor(data_centre);
        };
        let held: BTreeSet<&NodeName> = others()
            .filter_map(|member| self.recorded_names.get(&member))
            .collect();
        let mut rest = self.configured_names.iter().filter(|other| *other != name);
        match rest.all(|other| held.contains(other)) {
            true => Predecessor::Known(nameless),
            false => Predecessor::Undecided,
        }
    }

    /// A silent voter of a data centre, or one whose data centre is not known.
    fn silent_predecessor(&self, data_centre: Option<&DataCentreName>) -> Predecessor {
        let mut silent = self
            .membership
            .voters
            .iter()
            .filter(|voter| self.is_suspect(**voter))
            .filter(|voter| {
                let place = self.place(**voter);
                place.is_none() || place == data_centre
            });
        match silent.next() {
            None => Predecessor::None,
            Some(voter) if self.silence(*voter) >= REPLACE_TIMEOUT => Predecessor::Known(*voter),
            Some(_) => Predecessor::Undecided,
        }
    }

    /// Removes a voter that stays silent, so that a majority needs no host that is gone.
    fn forget_step(&self) -> Option<MemberStep> {
        let voters = &self.membership.voters;
        if voters.len() <= MIN_VOTERS {
            return None;
        }
        let silent = voters.iter().filter(|voter| **voter != self.own.0);
        let gone = silent.max_by_key(|voter| self.silence(**voter))?;
        (self.silence(*gone) >= REMOVE_TIMEOUT)
            .then_some(MemberStep::Change(MemberChange::Remove(*gone)))
    }

    fn announced(&self, member: DiskId) -> Option<&crate::formation::SeenPeer> {
        let mut peers = self.peers.values();
        peers.find(|peer| peer.announcement.id == member)
    }

    fn is_suspect(&self, member: DiskId) -> bool {
        let is_present = self
            .announced(member)
            .is_some_and(|peer| peer.is_present(self.now));
        member != self.own.0 && !is_present
    }

    fn place(&self, member: DiskId) -> Option<&DataCentreName> {
        self.announced(member)?.announcement.data_centre.as_ref()
    }

    fn silence(&self, member: DiskId) -> Duration {
        if member == self.own.0 {
            return Duration::ZERO;
        }
        let heard = self.announced(member).map(|peer| peer.received_at);
        self.now.since(
            heard
                .unwrap_or(self.listening_since)
                .max(self.listening_since),
        )
    }
}
