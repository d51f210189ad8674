//! Differences between two manifests.

use std::collections::BTreeMap;

use units::{DataCentreName, OrganisationName, RegionName, ServiceName};

use crate::spec::{FleetManifest, OrganisationSpec, ServiceSpec};

units::data! {
    /// One change from a manifest to a newer one.
    pub enum ManifestChange {
        /// Adds a region.
        AddRegion(RegionName),
        /// Removes a region.
        RemoveRegion(RegionName),
        /// Adds a data centre or changes its region.
        SetDataCentre(DataCentreName, RegionName),
        /// Removes a data centre.
        RemoveDataCentre(DataCentreName),
        /// Adds or changes a service.
        SetService(ServiceName, ServiceSpec),
        /// Removes a service.
        RemoveService(ServiceName),
        /// Adds or changes an organisation.
        SetOrganisation(OrganisationName, OrganisationSpec),
        /// Removes an organisation.
        RemoveOrganisation(OrganisationName),
    }
}

impl std::fmt::Display for ManifestChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::AddRegion(name) => write!(f, "add region {name}"),
            Self::RemoveRegion(name) => write!(f, "remove region {name}"),
            Self::SetDataCentre(name, region) => {
                write!(f, "set data centre {name} in region {region}")
            }
            Self::RemoveDataCentre(name) => write!(f, "remove data centre {name}"),
            Self::SetService(name, _) => write!(f, "set service {name}"),
            Self::RemoveService(name) => write!(f, "remove service {name}"),
            Self::SetOrganisation(name, spec) => {
                write!(f, "set organisation {name} with weight {}", spec.weight)
            }
            Self::RemoveOrganisation(name) => write!(f, "remove organisation {name}"),
        }
    }
}

impl FleetManifest {
    /// Changes that turn this manifest into a newer one when they are applied in order.
    pub fn diff(&self, newer: &Self) -> Vec<ManifestChange> {
        use ManifestChange as Change;
        let added = newer.regions.difference(&self.regions);
        let removed = self.regions.difference(&newer.regions);
        let mut changes: Vec<Change> = added.cloned().map(Change::AddRegion).collect();
        changes.extend(removed.cloned().map(Change::RemoveRegion));
        diff_maps(
            &self.data_centres,
            &newer.data_centres,
            &mut changes,
            Change::SetDataCentre,
            Change::RemoveDataCentre,
        );
        diff_maps(
            &self.services,
            &newer.services,
            &mut changes,
            Change::SetService,
            Change::RemoveService,
        );
        diff_maps(
            &self.organisations,
            &newer.organisations,
            &mut changes,
            Change::SetOrganisation,
            Change::RemoveOrganisation,
        );
        changes
    }

    /// Applies a change. Applying it again has no further effect.
    pub fn apply(&mut self, change: &ManifestChange) {
        use ManifestChange as Change;
        match change.clone() {
            Change::AddRegion(name) => {
                self.regions.insert(name);
            }
            Change::RemoveRegion(name) => {
                self.regions.remove(&name);
            }
            Change::SetDataCentre(name, region) => {
                self.data_centres.insert(name, region);
            }
            Change::RemoveDataCentre(name) => {
                self.data_centres.remove(&name);
            }
            Change::SetService(name, spec) => {
                self.services.insert(name, spec);
            }
            Change::RemoveService(name) => {
                self.services.remove(&name);
            }
            Change::SetOrganisation(name, spec) => {
                self.organisations.insert(name, spec);
            }
            Change::RemoveOrganisation(name) => {
                self.organisations.remove(&name);
            }
        }
    }
}

fn diff_maps<K: Ord + Clone, V: PartialEq + Clone>(
    older: &BTreeMap<K, V>,
    newer: &BTreeMap<K, V>,
    changes: &mut Vec<ManifestChange>,
    set: impl Fn(K, V) -> ManifestChange,
    remove: impl Fn(K) -> ManifestChange,
) {
    let changed = newer
        .iter()
        .filter(|(name, value)| older.get(name) != Some(value));
    changes.extend(changed.map(|(name, value)| set(name.clone(), value.clone())));
    let removed = older.keys().filter(|name| !newer.contains_key(name));
    changes.extend(removed.cloned().map(remove));
}
