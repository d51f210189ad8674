//! Which services an order leaves without capacity.

use std::collections::BTreeSet;

use control::{FleetStatus, NodeReport};
use units::{DataCentreName, ServiceName, TargetName};

/// What an order takes out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CapacityExclusion {
    /// A data centre.
    DataCentre(DataCentreName),
    /// A target.
    Target(TargetName),
}

impl CapacityExclusion {
    fn covers(&self, node: &NodeReport) -> bool {
        match self {
            Self::DataCentre(name) => node.data_centre == *name,
            Self::Target(name) => node
                .target
                .as_ref()
                .is_some_and(|target| target.target == *name),
        }
    }
}

/// Services that have capacity now and none after the exclusion, including those that depend on
/// them.
pub fn services_losing_capacity(
    status: &FleetStatus,
    exclusion: &CapacityExclusion,
) -> BTreeSet<ServiceName> {
    let serving = status.nodes.iter().filter(|node| serves(status, node));
    let before = services_of(serving.clone());
    let after = services_of(serving.filter(|node| !exclusion.covers(node)));
    let available_before = available(status, &before);
    let available_after = available(status, &after);
    available_before
        .difference(&available_after)
        .cloned()
        .collect()
}

/// Whether a node's target takes new work.
pub(crate) fn serves(status: &FleetStatus, node: &NodeReport) -> bool {
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

/// The services with a live target whose dependencies have one too.
fn available(status: &FleetStatus, live: &BTreeSet<ServiceName>) -> BTreeSet<ServiceName> {
    let mut available = live.clone();
    loop {
        let missing = status.services.iter().find(|service| {
            let mut dependencies = service.depends_on.iter();
            available.contains(&service.name)
                && dependencies.any(|dependency| !available.contains(dependency))
        });
        match missing {
            Some(service) => available.remove(&service.name),
            None => return available,
        };
    }
}
