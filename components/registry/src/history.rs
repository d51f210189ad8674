//! Recent changes of the configuration, for nodes that lag behind by a few versions.

use std::collections::VecDeque;

use units::ConfigVersion;

use crate::config::ConfigChange;

/// Maximum number of changes in the history. A node that lags further behind gets the complete
/// configuration.
const MAX_CHANGES: usize = 4_000;

units::data! {
    /// Changes that led to one version.
    struct VersionChanges {
        version: ConfigVersion,
        changes: Vec<ConfigChange>,
    }

    /// Changes of the most recent versions, in order and without gaps.
    #[derive(Default)]
    pub(crate) struct ConfigHistory {
        versions: VecDeque<VersionChanges>,
        change_count: usize,
    }
}

impl ConfigHistory {
    /// Appends the changes that led to a new version, and drops the oldest versions beyond the
    /// maximum.
    pub(crate) fn push(&mut self, version: ConfigVersion, changes: Vec<ConfigChange>) {
        self.change_count += changes.len();
        self.versions.push_back(VersionChanges { version, changes });
        while self.change_count > MAX_CHANGES {
            let Some(oldest) = self.versions.pop_front() else {
                break;
            };
            self.change_count -= oldest.changes.len();
        }
    }

    /// Removes all changes, so that nodes get the complete configuration. A published plan is as
    /// large as the rest of the configuration, and the history would hold another copy for each
    /// version.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Changes after a version; `None` if the history no longer contains all of them.
    pub(crate) fn since(&self, version: ConfigVersion) -> Option<Vec<ConfigChange>> {
        let first = self.versions.front()?;
        if first.version.0 > version.0 + 1 {
            return None;
        }
        let newer = self.versions.iter().filter(|entry| entry.version > version);
        Some(newer.flat_map(|entry| entry.changes.clone()).collect())
    }
}
