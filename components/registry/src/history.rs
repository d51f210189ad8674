//! The newest steps of the configuration, for nodes that are a little behind.

use std::collections::VecDeque;

use units::ConfigVersion;

use crate::config::ConfigChange;

/// Steps that are kept. A node that is further behind gets the whole configuration.
const MAX_STEPS: usize = 4_000;

units::data! {
    /// Steps of one version.
    struct VersionSteps {
        version: ConfigVersion,
        steps: Vec<ConfigChange>,
    }

    /// Steps of the newest versions in order, without gaps.
    #[derive(Default)]
    pub(crate) struct ConfigHistory {
        versions: VecDeque<VersionSteps>,
        total: usize,
    }
}

impl ConfigHistory {
    /// Adds the steps to the next version.
    pub(crate) fn push(&mut self, version: ConfigVersion, steps: Vec<ConfigChange>) {
        self.total += steps.len();
        self.versions.push_back(VersionSteps { version, steps });
        while self.total > MAX_STEPS {
            let Some(oldest) = self.versions.pop_front() else {
                break;
            };
            self.total -= oldest.steps.len();
        }
    }

    /// Forgets all steps, so that nodes get the whole configuration. A published plan is as large
    /// as the rest together, and its steps would be kept in memory once more for each version.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// The steps after a version; none if they are no longer kept.
    pub(crate) fn since(&self, version: ConfigVersion) -> Option<Vec<ConfigChange>> {
        let first = self.versions.front()?;
        if first.version.0 > version.0 + 1 {
            return None;
        }
        let newer = self.versions.iter().filter(|step| step.version > version);
        Some(newer.flat_map(|step| step.steps.clone()).collect())
    }
}
