//! Checks between the parts of a text.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use units::{RegionName, ServiceName};

use crate::error::ManifestFault;
use crate::reader::FaultList;
use crate::spec::FleetManifest;

/// Places of the references in the text.
#[derive(Debug, Default)]
pub(crate) struct TextPlaces {
    /// Regions that data centres name.
    pub(crate) regions: Vec<(RegionName, Range<usize>)>,
    /// Services and the services that they depend on.
    pub(crate) dependencies: Vec<(ServiceName, ServiceName, Range<usize>)>,
}

/// Reports references to nothing, and cycles.
pub(crate) fn check_references(
    manifest: &FleetManifest,
    places: &TextPlaces,
    faults: &mut FaultList<'_>,
) {
    for (region, span) in &places.regions {
        if !manifest.regions.contains(region) {
            faults.push(span, ManifestFault::UnknownRegion);
        }
    }
    for (_, dependency, span) in &places.dependencies {
        if !manifest.services.contains_key(dependency) {
            faults.push(span, ManifestFault::UnknownDependency);
        }
    }
    let graph = ServiceGraph::new(places);
    for (service, dependency, span) in &places.dependencies {
        if graph.reaches(dependency, service) {
            let through = ManifestFault::DependencyCycle(dependency.to_string());
            faults.push(span, through);
        }
    }
}

/// Dependencies of each service.
struct ServiceGraph<'p> {
    edges: BTreeMap<&'p ServiceName, Vec<&'p ServiceName>>,
}

impl<'p> ServiceGraph<'p> {
    fn new(places: &'p TextPlaces) -> Self {
        let mut edges: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (service, dependency, _) in &places.dependencies {
            edges.entry(service).or_default().push(dependency);
        }
        Self { edges }
    }

    /// Whether `from` is `to` or depends on it, directly or through others.
    fn reaches(&self, from: &ServiceName, to: &ServiceName) -> bool {
        let mut seen = BTreeSet::new();
        let mut open = vec![from];
        while let Some(service) = open.pop() {
            if service == to {
                return true;
            }
            if seen.insert(service) {
                open.extend(self.edges.get(service).into_iter().flatten());
            }
        }
        false
    }
}
