//! Checks of the references between the tables of a text.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use units::{RegionName, ServiceName};

use crate::error::ManifestFault;
use crate::reader::FaultList;
use crate::spec::FleetManifest;

/// References between tables, with their byte ranges in the text.
#[derive(Debug, Default)]
pub(crate) struct ReferenceSpans {
    /// Region of each data centre.
    pub(crate) regions: Vec<(RegionName, Range<usize>)>,
    /// Dependencies: the service, the service on which it depends, and the range of the latter.
    pub(crate) dependencies: Vec<(ServiceName, ServiceName, Range<usize>)>,
}

/// Reports references to regions and services that are not listed, and cycles of dependencies.
pub(crate) fn check_references(
    manifest: &FleetManifest,
    references: &ReferenceSpans,
    faults: &mut FaultList<'_>,
) {
    for (region, span) in &references.regions {
        if !manifest.regions.contains(region) {
            faults.push(span, ManifestFault::UnknownRegion);
        }
    }
    for (_, dependency, span) in &references.dependencies {
        if !manifest.services.contains_key(dependency) {
            faults.push(span, ManifestFault::UnknownDependency);
        }
    }
    let graph = ServiceGraph::new(references);
    for (service, dependency, span) in &references.dependencies {
        if graph.depends_on(dependency, service) {
            let cycle = ManifestFault::DependencyCycle(dependency.to_string());
            faults.push(span, cycle);
        }
    }
}

/// Directed graph from each service to its dependencies.
struct ServiceGraph<'p> {
    edges: BTreeMap<&'p ServiceName, Vec<&'p ServiceName>>,
}

impl<'p> ServiceGraph<'p> {
    fn new(references: &'p ReferenceSpans) -> Self {
        let mut edges: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (service, dependency, _) in &references.dependencies {
            edges.entry(service).or_default().push(dependency);
        }
        Self { edges }
    }

    /// Whether `from` is `to`, or depends on it directly or indirectly.
    fn depends_on(&self, from: &ServiceName, to: &ServiceName) -> bool {
        let mut visited = BTreeSet::new();
        let mut pending = vec![from];
        while let Some(service) = pending.pop() {
            if service == to {
                return true;
            }
            if visited.insert(service) {
                pending.extend(self.edges.get(service).into_iter().flatten());
            }
        }
        false
    }
}
