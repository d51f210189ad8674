//! What a node knows of the fleet.

use std::collections::BTreeMap;

use registry::FleetConfig;
use units::{ClockTime, Incarnation, NodeName};
use wire::{DirectoryDelta, DirectoryEntry};

/// Revision of the directory that a node has: the control node that counts it, and its count.
pub type DirectoryRevision = (Incarnation, u64);

/// Configuration, lease and directory of a node.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The installed configuration.
    pub config: FleetConfig,
    /// End of the lease; new work may be taken before it.
    pub lease_end: ClockTime,
    /// Live nodes, if the node asks for them.
    pub directory: BTreeMap<NodeName, DirectoryEntry>,
    /// Revision of `directory`.
    pub revision: Option<DirectoryRevision>,
}

impl FleetView {
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
        if delta.whole {
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
