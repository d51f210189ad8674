//! Software versions that may run a request.

use std::collections::BTreeSet;

use units::{ServiceName, SoftwareVersion};
use wire::stable_hash;

use crate::table::{PlacementRequest, PlacementTable};
use crate::target::TargetKey;

/// Version that a request requires.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum RequiredVersion {
    /// Any version may run the request.
    #[default]
    Any,
    /// Any version that control has registered may run the request.
    Registered,
    /// Only this version may run the request.
    Only(SoftwareVersion),
}

/// Requirement for the version of a target's software.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionRule {
    /// Version that the request requires.
    pub required: RequiredVersion,
    /// Versions that may not run the request.
    pub excluded: BTreeSet<SoftwareVersion>,
    /// Maximum number of targets that may run the request: those which come first by the hash of
    /// their names, so that all entries select the same ones. `None` allows all targets.
    pub max_targets: Option<usize>,
}

impl From<RequiredVersion> for VersionRule {
    fn from(required: RequiredVersion) -> Self {
        Self {
            required,
            ..Self::default()
        }
    }
}

impl VersionRule {
    /// Whether a target of this version may run the request, if the number of targets allows it.
    pub(crate) fn allows(&self, version: Option<&SoftwareVersion>) -> bool {
        let is_required = match &self.required {
            RequiredVersion::Any => true,
            RequiredVersion::Registered => version.is_some(),
            RequiredVersion::Only(only) => version == Some(only),
        };
        is_required && version.is_none_or(|version| !self.excluded.contains(version))
    }
}

impl PlacementTable {
    /// Number of targets of a service that accept requests and have one of these versions.
    pub fn serving_versions(
        &self,
        service: &ServiceName,
        versions: &BTreeSet<SoftwareVersion>,
    ) -> usize {
        let has_version = |version: &Option<SoftwareVersion>| {
            let version = version.as_ref();
            version.is_some_and(|version| versions.contains(version))
        };
        let targets = self.targets.values();
        let targets = targets.filter(|record| {
            record.is_serving()
                && record.info.service == *service
                && has_version(&record.info.version)
        });
        targets.count()
    }

    /// Number of this entry's requests that run at targets of a service with one of these versions.
    pub fn running_versions(
        &self,
        service: &ServiceName,
        versions: &BTreeSet<SoftwareVersion>,
    ) -> u64 {
        let runs = self.runs.values().filter(|record| {
            let version = record.version.as_ref();
            record.service == *service && version.is_some_and(|version| versions.contains(version))
        });
        runs.count() as u64
    }

    /// Targets to which the rule of a request bounds it; `None` without a bound.
    pub(crate) fn bounded_targets(&self, request: &PlacementRequest) -> Option<Vec<TargetKey>> {
        let max_targets = request.version.max_targets?;
        let targets = self.targets.iter().filter(|(_, record)| {
            record.is_serving()
                && record.info.service == request.service
                && request.version.allows(record.info.version.as_ref())
        });
        let mut targets: Vec<(u64, TargetKey)> = targets
            .map(|(key, record)| (stable_hash(&[record.info.name.as_str().as_bytes()]), key))
            .collect();
        targets.sort_unstable();
        targets.truncate(max_targets);
        Some(targets.into_iter().map(|(_, key)| key).collect())
    }
}
