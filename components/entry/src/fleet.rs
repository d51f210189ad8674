//! Queries on the view of the fleet, as pure functions of [`FleetView`].

use std::collections::{HashMap, HashSet};

use client::FleetView;
use offers::AgentView;
use units::{
    ClockTime, ConfigVersion, DataCentreName, FlowWeight, Incarnation, NodeName, OrganisationName,
    ServiceName, SlotCount,
};
use wire::{DirectoryEntry, NodeKind, NodeState, TargetState};

/// Agents that requests may be offered to. `own_data_centre` is that of the entry.
pub(crate) fn serving_agents(
    view: &FleetView,
    own_data_centre: &DataCentreName,
    failed_agents: &HashMap<NodeName, ClockTime>,
    leaving_agents: &HashSet<(NodeName, Incarnation)>,
) -> Vec<AgentView> {
    view.directory
        .values()
        .filter(|node| !failed_agents.contains_key(&node.name))
        .filter(|node| !leaving_agents.contains(&(node.name.clone(), node.incarnation)))
        .filter_map(|node| Some((node, serving_target(view, node)?)))
        .map(|(node, target)| AgentView {
            name: node.name.clone(),
            service: target.service.clone(),
            is_local: is_local(view, own_data_centre, &node.data_centre),
            free_slots: SlotCount(target.limit.0.saturating_sub(target.running.0)),
        })
        .collect()
}

/// Target of a node, if the node is an agent whose target may receive new requests.
fn serving_target<'a>(view: &FleetView, node: &'a DirectoryEntry) -> Option<&'a TargetState> {
    let NodeKind::Agent(target) = &node.kind else {
        return None;
    };
    let may_serve = node.state == NodeState::Serving
        && target.healthy
        && !view.config.is_out(&node.data_centre, &target.target);
    may_serve.then_some(target)
}

/// Whether two data centres are in the same region. A data centre that the services text does not
/// list is local only to itself.
fn is_local(view: &FleetView, own: &DataCentreName, other: &DataCentreName) -> bool {
    let regions = &view.config.manifest.data_centres;
    match (regions.get(own), regions.get(other)) {
        (Some(own_region), Some(other_region)) => own_region == other_region,
        _ => own == other,
    }
}

/// Services with a target that may receive new requests.
pub(crate) fn available_services(view: &FleetView) -> HashSet<ServiceName> {
    let targets = view.directory.values();
    targets
        .filter_map(|node| serving_target(view, node))
        .map(|target| target.service.clone())
        .collect()
}

/// Whether a service has a target that may receive new requests.
pub(crate) fn has_target(view: &FleetView, service: &ServiceName) -> bool {
    view.directory
        .values()
        .filter_map(|node| serving_target(view, node))
        .any(|target| target.service == *service)
}

/// First service without a live target among the direct and indirect dependencies of a service.
pub(crate) fn missing_dependency(view: &FleetView, service: &ServiceName) -> Option<ServiceName> {
    let spec = view.config.manifest.services.get(service)?;
    spec.depends_on.iter().find_map(|dependency| {
        if has_target(view, dependency) {
            missing_dependency(view, dependency)
        } else {
            Some(dependency.clone())
        }
    })
}

/// Organisations by the SHA-256 hash of their key, cached for one version of the configuration.
#[derive(Debug, Default)]
pub(crate) struct KeyIndex {
    version: Option<ConfigVersion>,
    organisations: HashMap<[u8; 32], (OrganisationName, FlowWeight)>,
}

impl KeyIndex {
    /// Organisation with the given key hash and its weight.
    pub(crate) fn find(
        &mut self,
        view: &FleetView,
        hash: &[u8; 32],
    ) -> Option<(OrganisationName, FlowWeight)> {
        if self.version != Some(view.config.version) {
            self.version = Some(view.config.version);
            let organisations = view.config.manifest.organisations.iter();
            self.organisations = organisations
                .map(|(name, spec)| (spec.key_sha256.0, (name.clone(), spec.weight)))
                .collect();
        }
        self.organisations.get(hash).cloned()
    }
}
