//! Services that an order would leave without capacity.

use std::collections::BTreeSet;

use control::{FleetStatus, NodeReport};
use units::{DataCentreName, ServiceName, TargetName};

/// Data centre or target that an order takes out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CapacityExclusion {
    /// Data centre with all its targets.
    DataCentre(DataCentreName),
    /// Single target.
    Target(TargetName),
}

impl CapacityExclusion {
    fn includes(&self, node: &NodeReport) -> bool {
        match self {
            Self::DataCentre(name) => node.data_centre == *name,
            Self::Target(name) => node
                .target
                .as_ref()
                .is_some_and(|target| target.target == *name),
        }
    }
}

/// Services that have capacity now and would have none after the exclusion. A service has capacity
/// while it and all services that it depends on have a serving target.
pub fn services_losing_capacity(
    status: &FleetStatus,
    exclusion: &CapacityExclusion,
) -> BTreeSet<ServiceName> {
    let serving = status.nodes.iter().filter(|node| is_serving(status, node));
    let before = services_of(serving.clone());
    let after = services_of(serving.filter(|node| !exclusion.includes(node)));
    let available_before = available_services(status, &before);
    let available_after = available_services(status, &after);
    available_before
        .difference(&available_after)
        .cloned()
        .collect()
}

/// Whether a node has a healthy target that accepts new work.
pub(crate) fn is_serving(status: &FleetStatus, node: &NodeReport) -> bool {
    let Some(target) = &node.target else {
        return false;
    };
    let out = status.out_data_centres.contains(&node.data_centre)
        || status.out_targets.contains(&target.target);
    target.healthy && !node.leaving && !out
}

fn services_of<'a>(nodes: impl Iterator<Item = &'a NodeReport>) -> BTreeSet<ServiceName> {
    nodes
        .filter_map(|node| node.target.as_ref())
        .map(|target| target.service.clone())
        .collect()
}

/// Services of `served` whose dependencies, direct and indirect, are in `served` too.
fn available_services(
    status: &FleetStatus,
    served: &BTreeSet<ServiceName>,
) -> BTreeSet<ServiceName> {
    let mut available = served.clone();
    loop {
        let unavailable = status.services.iter().find(|service| {
            let mut dependencies = service.depends_on.iter();
            available.contains(&service.name)
                && dependencies.any(|dependency| !available.contains(dependency))
        });
        match unavailable {
            Some(service) => available.remove(&service.name),
            None => return available,
        };
    }
}
