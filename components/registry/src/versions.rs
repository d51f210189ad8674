//! Software versions of the targets of each service.

use std::collections::{BTreeMap, BTreeSet};

use units::{ServiceName, SoftwareVersion};
use wire::StreamOrigin;

/// Maximum number of registered versions of all services.
const MAX_VERSIONS: usize = 1_000;

units::data! {
    /// Versions at which streams may have begun that can still be continued.
    ///
    /// A version is registered before entries begin streams at its targets. If a service has only
    /// one, a stream whose origin nobody knows can only have begun there.
    #[derive(Default)]
    pub struct VersionTable {
        /// Number of consecutive rounds in which each version had no target.
        missed_rounds: BTreeMap<StreamOrigin, u32>,
    }
}

impl VersionTable {
    /// Whether a version of a service is registered.
    pub fn contains(&self, version: &StreamOrigin) -> bool {
        self.missed_rounds.contains_key(version)
    }

    /// Registered versions of a service.
    pub fn of_service(&self, service: &ServiceName) -> BTreeSet<SoftwareVersion> {
        let versions = self.missed_rounds.keys();
        versions
            .filter(|version| version.service == *service)
            .map(|version| version.version.clone())
            .collect()
    }

    /// Services with more than one registered version.
    pub fn has_mixed_service(&self) -> bool {
        let services = self.missed_rounds.keys().map(|version| &version.service);
        let mut services = services.collect::<Vec<_>>();
        let count = services.len();
        services.dedup();
        services.len() < count
    }

    /// Registers a version, and returns whether it is registered.
    pub(crate) fn register(&mut self, version: &StreamOrigin) -> bool {
        if !self.contains(version) && self.missed_rounds.len() >= MAX_VERSIONS {
            return false;
        }
        self.missed_rounds.insert(version.clone(), 0);
        true
    }

    pub(crate) fn count_round(&mut self, present: &BTreeSet<StreamOrigin>, max_rounds: u32) {
        for (version, missed) in &mut self.missed_rounds {
            *missed = match present.contains(version) {
                true => 0,
                false => *missed + 1,
            };
        }
        self.missed_rounds.retain(|_, missed| *missed <= max_rounds);
    }
}
