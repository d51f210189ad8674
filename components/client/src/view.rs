//! What a node knows of the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use registry::FleetConfig;
use units::{ClockTime, Incarnation, NodeName};
use wire::{DirectoryDelta, DirectoryEntry};

use crate::lease::LEASE_TIME;

/// Revision of the directory that a node has: the control node that counts it, and its count.
pub type DirectoryRevision = (Incarnation, u64);

/// Configuration, lease and directory of a node.
#[derive(Debug, Clone)]
pub struct FleetView {
    /// The installed configuration.
    pub config: FleetConfig,
    /// End of the lease; new work may be taken before it.
    pub lease_end: ClockTime,
    /// Time from the confirmation by a quorum to the end of a lease.
    pub lease_time: Duration,
    /// Live nodes, if the node asks for them.
    pub directory: BTreeMap<NodeName, DirectoryEntry>,
    /// Revision of `directory`.
    pub revision: Option<DirectoryRevision>,
}

impl Default for FleetView {
    fn default() -> Self {
        Self::with_lease_time(LEASE_TIME)
    }
}

impl FleetView {
    /// An empty view whose leases last for this time.
    pub fn with_lease_time(lease_time: Duration) -> Self {
        Self {
            config: FleetConfig::default(),
            lease_end: ClockTime::default(),
            lease_time,
            directory: BTreeMap::new(),
            revision: None,
        }
    }

    /// Whether the node may take new work.
    pub fn has_lease(&self, now: ClockTime) -> bool {
        now < self.lease_end
    }

    /// Takes over a change of the directory. A delta of another control node or of an older
    /// revision is passed over unless it is whole.
    pub fn update_directory(&mut self, delta: DirectoryDelta) {
        let same_source = self
            .revision
            .is_some_and(|(source, revision)| source == delta.source && revision <= delta.revision);
        if delta.is_complete {
            self.directory.clear();
        } else if !same_source {
            return;
        }
        for name in &delta.removed {
            self.directory.remove(name);
        }
        for entry in delta.changed {
            self.directory.insert(entry.name.clone(), entry);
        }
        self.revision = Some((delta.source, delta.revision));
    }
}
