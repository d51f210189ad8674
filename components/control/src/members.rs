//! Which membership change comes next when a control host was replaced or added.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use raft::{LogIndex, MemberChange, Membership};
use units::{ClockTime, DataCentreName, DiskId, NodeName};

use crate::formation::{PeerAnnounce, SeenPeers};

/// Silence of a voter after which a new node of its data centre takes its place. Longer than an
/// election and a restart of the process, so that a short fault costs no vote.
pub const REPLACE_SILENCE: Duration = Duration::from_secs(3);

/// Silence of a voter after which it is removed while enough others are left.
pub const FORGET_SILENCE: Duration = Duration::from_secs(10);

/// Voters that a group keeps, whatever their silence: two of three bear the loss of one.
pub const LEAST_VOTERS: usize = 3;

/// What the leader does next about its members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberStep {
    /// Record the name of a data folder.
    Record(DiskId, NodeName),
    /// Change one member.
    Change(MemberChange),
}

/// Commit index that each learner must reach before it may vote.
#[derive(Debug, Default)]
pub struct JoinTargets {
    targets: BTreeMap<DiskId, LogIndex>,
}

impl JoinTargets {
    /// Whether the learner holds the log up to the commit index at the time it was first seen here.
    fn reached(&mut self, announce: &PeerAnnounce, commit: LogIndex) -> bool {
        let target = *self.targets.entry(announce.id).or_insert(commit);
        announce.applied >= target
    }
}

/// The group as its leader sees it.
#[derive(Debug, Clone, Copy)]
pub struct MemberView<'a> {
    /// Data folder and name of the leader.
    pub own: (DiskId, &'a NodeName),
    /// Names of all control nodes in the settings.
    pub listed: &'a BTreeSet<NodeName>,
    /// Newest announcements.
    pub seen: &'a SeenPeers,
    /// Members.
    pub membership: &'a Membership,
    /// Recorded names of data folders.
    pub names: &'a BTreeMap<DiskId, NodeName>,
    /// Commit index.
    pub commit: LogIndex,
    /// Since when the leader listens for announcements.
    pub since: ClockTime,
    /// Present time.
    pub now: ClockTime,
}

/// The next step, or none if the members are as they should be.
///
/// Order for a replaced host: record the name, add the new id as a learner, wait until it holds the
/// log, remove the old id, promote the new one. The group never has two voters of one host, so a
/// host counts once towards a majority, and the majority never grows through a host that is gone.
/// A host that was replaced under another name is known by its silence and its data centre.
pub fn next_step(view: &MemberView<'_>, targets: &mut JoinTargets) -> Option<MemberStep> {
    if view.names.get(&view.own.0) != Some(view.own.1) {
        return Some(MemberStep::Record(view.own.0, view.own.1.clone()));
    }
    let mut peers = view.seen.iter();
    peers
        .find_map(|(name, peer)| view.join_step(name, &peer.announce, targets))
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
        announce: &PeerAnnounce,
        targets: &mut JoinTargets,
    ) -> Option<MemberStep> {
        let id = announce.id;
        if self.membership.removed.contains(&id) {
            return None;
        }
        if self.names.get(&id) != Some(name) {
            return Some(MemberStep::Record(id, name.clone()));
        }
        if self.membership.voters.contains(&id) {
            return None;
        }
        let change = if !self.membership.learners.contains(&id) {
            MemberChange::AddLearner(id)
        } else if !targets.reached(announce, self.commit) {
            return None;
        } else {
            match self.predecessor(id, name, announce.data_centre.as_ref()) {
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
        if let Some(old) = others().find(|member| self.names.get(member) == Some(name)) {
            return Predecessor::Known(old);
        }
        let Some(nameless) = others().find(|member| !self.names.contains_key(member)) else {
            return self.silent_predecessor(data_centre);
        };
        let held: BTreeSet<&NodeName> = others()
            .filter_map(|member| self.names.get(&member))
            .collect();
        let mut rest = self.listed.iter().filter(|other| *other != name);
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
            Some(voter) if self.silence(*voter) >= REPLACE_SILENCE => Predecessor::Known(*voter),
            Some(_) => Predecessor::Undecided,
        }
    }

    /// Removes a voter that stays silent, so that a majority needs no host that is gone.
    fn forget_step(&self) -> Option<MemberStep> {
        let voters = &self.membership.voters;
        if voters.len() <= LEAST_VOTERS {
            return None;
        }
        let silent = voters.iter().filter(|voter| **voter != self.own.0);
        let gone = silent.max_by_key(|voter| self.silence(**voter))?;
        (self.silence(*gone) >= FORGET_SILENCE)
            .then_some(MemberStep::Change(MemberChange::Remove(*gone)))
    }

    fn announced(&self, member: DiskId) -> Option<&crate::formation::SeenPeer> {
        let mut peers = self.seen.values();
        peers.find(|peer| peer.announce.id == member)
    }

    fn is_suspect(&self, member: DiskId) -> bool {
        let is_present = self
            .announced(member)
            .is_some_and(|peer| peer.is_present(self.now));
        member != self.own.0 && !is_present
    }

    fn place(&self, member: DiskId) -> Option<&DataCentreName> {
        self.announced(member)?.announce.data_centre.as_ref()
    }

    fn silence(&self, member: DiskId) -> Duration {
        if member == self.own.0 {
            return Duration::ZERO;
        }
        let heard = self.announced(member).map(|peer| peer.seen);
        self.now.since(heard.unwrap_or(self.since).max(self.since))
    }
}
