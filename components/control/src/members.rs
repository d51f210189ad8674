//! Which membership change comes next when a control host was replaced.

use std::collections::{BTreeMap, BTreeSet};

use raft::{LogIndex, MemberChange, Membership};
use units::{DiskId, NodeName};

use crate::formation::{PeerAnnounce, SeenPeers};

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

/// The next step, or none if the members are as they should be.
///
/// Order for a replaced host: record the name, add the new id as a learner, wait until it holds the
/// log, remove the old id, promote the new one. The group never has two voters of one host, so a
/// host counts once towards a majority, and the majority never grows through a host that is gone.
///
/// `listed` are the names of all control nodes in the settings.
pub fn next_step(
    own: (DiskId, &NodeName),
    listed: &BTreeSet<NodeName>,
    seen: &SeenPeers,
    membership: &Membership,
    names: &BTreeMap<DiskId, NodeName>,
    commit: LogIndex,
    targets: &mut JoinTargets,
) -> Option<MemberStep> {
    if names.get(&own.0) != Some(own.1) {
        return Some(MemberStep::Record(own.0, own.1.clone()));
    }
    let mut peers = seen.iter();
    peers.find_map(|(name, peer)| {
        let announce = &peer.announce;
        let id = announce.id;
        if membership.removed.contains(&id) {
            return None;
        }
        if names.get(&id) != Some(name) {
            return Some(MemberStep::Record(id, name.clone()));
        }
        if membership.voters.contains(&id) {
            return None;
        }
        let change = if !membership.learners.contains(&id) {
            MemberChange::AddLearner(id)
        } else if !targets.reached(announce, commit) {
            return None;
        } else {
            match predecessor(id, name, listed, membership, names) {
                Predecessor::Known(old) => MemberChange::Remove(old),
                Predecessor::Undecided => return None,
                Predecessor::None => MemberChange::Promote(id),
            }
        };
        Some(MemberStep::Change(change))
    })
}

/// The member that a new data folder replaces.
enum Predecessor {
    /// No member has to leave.
    None,
    /// This member.
    Known(DiskId),
    /// A member without a name may be the one, or may be a node that is not heard of yet.
    Undecided,
}

/// Another member with the same name. A host that was lost before its name was recorded has left a
/// voter without a name: it is one of the lost hosts as soon as every other listed name is that of
/// a member. Until then it may be a live node, which must not be removed.
fn predecessor(
    id: DiskId,
    name: &NodeName,
    listed: &BTreeSet<NodeName>,
    membership: &Membership,
    names: &BTreeMap<DiskId, NodeName>,
) -> Predecessor {
    let others = || membership.members().filter(|member| *member != id);
    if let Some(old) = others().find(|member| names.get(member) == Some(name)) {
        return Predecessor::Known(old);
    }
    let Some(nameless) = others().find(|member| !names.contains_key(member)) else {
        return Predecessor::None;
    };
    let held: BTreeSet<&NodeName> = others().filter_map(|member| names.get(&member)).collect();
    let mut rest = listed.iter().filter(|other| *other != name);
    match rest.all(|other| held.contains(other)) {
        true => Predecessor::Known(nameless),
        false => Predecessor::Undecided,
    }
}
