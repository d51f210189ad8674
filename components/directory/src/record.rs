//! What is known of one node, and which announcements replace it.

use std::time::Duration;

use units::ClockTime;
use wire::{DirectoryEntry, NodeKind, NodeState};

/// Time after a node's own announcement in which passed-on ones are ignored.
///
/// Two renewals: a node that renews here is known better here than at a control node that it
/// renewed with before.
const DIRECT_SPAN: Duration = Duration::from_secs(1);

/// Way that an announcement has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnnouncementSource {
    /// From the node itself.
    Direct,
    /// From another control node.
    PassedOn,
}

/// Live node.
#[derive(Debug, Clone)]
pub(crate) struct NodeRecord {
    pub(crate) entry: DirectoryEntry,
    /// Revision of its last meaningful change.
    pub(crate) revision: u64,
    /// Last announcement of any source.
    pub(crate) heard: ClockTime,
    /// Last announcement of the node itself.
    pub(crate) direct: Option<ClockTime>,
}

impl NodeRecord {
    /// Whether an announcement is newer than this record.
    ///
    /// Those of a target carry a number. Those of other nodes do not, but an installed configuration
    /// only grows, and a node that is leaving does not come back without a restart.
    pub(crate) fn is_replaced_by(
        &self,
        entry: &DirectoryEntry,
        source: AnnouncementSource,
        now: ClockTime,
    ) -> bool {
        if entry.incarnation != self.entry.incarnation {
            return entry.incarnation > self.entry.incarnation;
        }
        if let (NodeKind::Target(old), NodeKind::Target(new)) = (&self.entry.kind, &entry.kind) {
            return new.sequence > old.sequence;
        }
        let comes_back =
            self.entry.state == NodeState::Leaving && entry.state == NodeState::Serving;
        let is_known_better = source == AnnouncementSource::PassedOn
            && self
                .direct
                .is_some_and(|direct| now.since(direct) < DIRECT_SPAN);
        entry.config >= self.entry.config && !comes_back && !is_known_better
    }
}

/// Whether other nodes must learn of the difference of two entries.
///
/// Load, limit and installed configuration change with nearly every renewal. Sending each change of
/// 600 agents to 410 nodes would take far more than the control traffic that a node may cause.
pub(crate) fn is_meaningful(old: &DirectoryEntry, new: &DirectoryEntry) -> bool {
    old.incarnation != new.incarnation
        || old.address != new.address
        || old.data_centre != new.data_centre
        || old.state != new.state
        || is_kind_changed(&old.kind, &new.kind)
}

fn is_kind_changed(old: &NodeKind, new: &NodeKind) -> bool {
    match (old, new) {
        (NodeKind::Entry, NodeKind::Entry) => false,
        (NodeKind::Target(old), NodeKind::Target(new)) => {
            old.service != new.service
                || old.slots != new.slots
                || (old.cold_ms > 0) != (new.cold_ms > 0)
        }
        (NodeKind::Agent(old), NodeKind::Agent(new)) => {
            old.target != new.target
                || old.service != new.service
                || old.cold != new.cold
                || old.healthy != new.healthy
        }
        _ => true,
    }
}
