//! State of the fleet as known to a node.

use std::collections::BTreeMap;
use std::time::Duration;

use registry::FleetConfig;
use units::{ClockTime, Incarnation, NodeName, PlanNumber};
use wire::{DirectoryDelta, DirectoryEntry};

use crate::history::ProcessHistory;
use crate::lease::LEASE_TIME;

/// Revision of a directory: the source that numbers it, and the number.
pub type DirectoryRevision = (Incarnation, u64);

/// Configuration, lease and directory that a node has received from control.
#[derive(Debug, Clone)]
pub struct FleetView {
    /// Installed configuration.
    pub config: FleetConfig,
    /// End of the lease, until which the node accepts new work.
    pub lease_end: ClockTime,
    /// Duration of a lease from its confirmation by a quorum.
    pub lease_time: Duration,
    /// Live nodes; empty if the node does not request the directory.
    pub directory: BTreeMap<NodeName, DirectoryEntry>,
    /// Revision of `directory`; `None` before the first update.
    pub revision: Option<DirectoryRevision>,
    /// Whether the control node of `revision` had heard of all live nodes.
    pub is_settled: bool,
    /// Processes that `directory` lacks or that the control node lists with an older state.
    pub history: ProcessHistory,
}

impl Default for FleetView {
    fn default() -> Self {
        Self::with_lease_time(LEASE_TIME)
    }
}

impl FleetView {
    /// Creates an empty view whose leases have this duration.
    pub fn with_lease_time(lease_time: Duration) -> Self {
        Self {
            config: FleetConfig::default(),
            lease_end: ClockTime::default(),
            lease_time,
            directory: BTreeMap::new(),
            revision: None,
            is_settled: false,
            history: ProcessHistory::default(),
        }
    }

    /// Whether the lease has not ended, so that the node may accept new work.
    pub fn has_lease(&self, now: ClockTime) -> bool {
        now < self.lease_end
    }

    /// Number of the published plan; `None` if there is none.
    pub fn published_number(&self) -> Option<PlanNumber> {
        let published = self.config.published.as_ref();
        published.map(|published| published.number)
    }

    /// Time since a quorum confirmed what the node knows; the longest time if none ever has.
    pub fn age(&self, now: ClockTime) -> Duration {
        if self.lease_end == ClockTime::default() {
            return Duration::MAX;
        }
        // The confirmation may be older than the clock of the process, where `ClockTime` saturates.
        (now + self.lease_time).since(self.lease_end)
    }

    /// Revision since which the node requests changes of the directory; `None` if it needs the complete
    /// one.
    pub fn requested_revision(&self) -> Option<DirectoryRevision> {
        self.revision
            .filter(|_| !self.history.has_older_announcements())
    }

    /// Applies a change of the directory. An incomplete delta is ignored if it comes from another
    /// control node or has an older revision. Nodes keep their state if the control node has only heard
    /// of an older one.
    pub fn update_directory(&mut self, delta: DirectoryDelta, now: ClockTime) {
        let is_applicable = self
            .revision
            .is_some_and(|(source, revision)| source == delta.source && revision <= delta.revision);
        let mut unlisted = BTreeMap::new();
        if delta.is_complete {
            unlisted = std::mem::take(&mut self.directory);
        } else if !is_applicable {
            return;
        }
        for name in &delta.removed {
            unlisted.extend(self.directory.remove_entry(name));
        }
        for entry in delta.changed {
            let known = self.directory.remove(&entry.name);
            let known = known.or_else(|| unlisted.remove(&entry.name));
            if let Some(newest) = self.history.newest(known, entry, now) {
                self.directory.insert(newest.name.clone(), newest);
            }
        }
        for entry in unlisted.into_values() {
            self.history.record_unlisted(entry, now);
        }
        self.history.discard_expired(&self.directory, now);
        self.revision = Some((delta.source, delta.revision));
        self.is_settled = delta.is_settled;
    }
}
