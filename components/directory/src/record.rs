//! Record of a live node, and the rules by which an announcement replaces it.

use std::time::Duration;

use units::ClockTime;
use wire::{DirectoryEntry, NodeKind, NodeState};

/// Time after a node's direct announcement during which forwarded ones are ignored.
///
/// It spans two lease renewals: while a node renews its lease here, its direct announcements are
/// more recent than those forwarded by a control node with which it renewed before.
const DIRECT_PRECEDENCE_WINDOW: Duration = Duration::from_secs(1);

/// Sender of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnnouncementSource {
    /// The announced node itself.
    Direct,
    /// Another control node.
    Forwarded,
}

#[derive(Debug, Clone)]
pub(crate) struct NodeRecord {
    pub(crate) entry: DirectoryEntry,
    /// Directory revision of the last significant change.
    pub(crate) revision: u64,
    /// Time of the last announcement, direct or forwarded.
    pub(crate) announced_at: ClockTime,
    /// Time of the last direct announcement.
    pub(crate) direct_at: Option<ClockTime>,
}

impl NodeRecord {
    /// Whether an announcement is newer than this record.
    ///
    /// Announcements of a target carry a sequence number. Those of other nodes do not, but the
    /// version of their installed configuration never decreases, and a leaving node serves again
    /// only after a restart.
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
        let returns_from_leaving =
            self.entry.state == NodeState::Leaving && entry.state == NodeState::Serving;
        let is_superseded_by_direct = source == AnnouncementSource::Forwarded
            && self
                .direct_at
                .is_some_and(|direct_at| now.since(direct_at) < DIRECT_PRECEDENCE_WINDOW);
        entry.config >= self.entry.config && !returns_from_leaving && !is_superseded_by_direct
    }
}

/// Whether the difference between two entries has to be sent to other nodes.
///
/// Load, limit and installed configuration change with nearly every renewal. Sending every such
/// change of 600 agents to 410 nodes would far exceed the control traffic allowed per node.
pub(crate) fn is_significant_change(old: &DirectoryEntry, new: &DirectoryEntry) -> bool {
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
                || old.version != new.version
                || old.slots != new.slots
                || (old.cold_ms > 0) != (new.cold_ms > 0)
                // Entries count down by themselves; more than before means that it is cold again.
                || new.cold_ms > old.cold_ms
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
