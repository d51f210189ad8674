//! State of the fleet as JSON.

use std::collections::BTreeSet;

use raft::NodeRole;
use serde::{Deserialize, Serialize};
use units::{ConfigVersion, DataCentreName, DiskId, NodeName, RegionName, ServiceName, TargetName};
use wire::{DirectoryEntry, NodeKind, NodeState, TargetState};

use crate::state::{ControlContext, DriverView};

/// A control node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Name, if it is known.
    pub name: Option<NodeName>,
    /// Id of its data folder, in hexadecimal.
    pub id: String,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it leads.
    pub leader: bool,
    /// Whether the replying node has heard of it lately.
    pub present: bool,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Name.
    pub name: ServiceName,
    /// Services that it depends on.
    pub depends_on: Vec<ServiceName>,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreReport {
    /// Name.
    pub name: DataCentreName,
    /// Region that it is in.
    pub region: RegionName,
}

/// An entry or agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Name.
    pub name: NodeName,
    /// Address for links.
    pub address: String,
    /// Data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Whether it finishes its work and then ends.
    pub leaving: bool,
    /// Configuration that it has installed.
    pub config: ConfigVersion,
    /// Time since the first version that it lacks, in milliseconds; none if it lacks none.
    pub lags_ms: Option<u64>,
    /// Its target, if it is an agent.
    pub target: Option<TargetState>,
}

/// Entry or agent that fell silent without leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingReport {
    /// Name.
    pub name: NodeName,
    /// Data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Configuration that it had installed when it was last heard.
    pub config: ConfigVersion,
    /// Time since it was last heard, in milliseconds.
    pub silent_ms: u64,
}

/// State of the fleet as one control node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The replying control node.
    pub node: NodeName,
    /// The leader, if known.
    pub leader: Option<NodeName>,
    /// Election term.
    pub term: u64,
    /// Commit index of the log.
    pub commit: u64,
    /// Time since the last confirmation by a quorum, in milliseconds; none if it is too long ago,
    /// or if an operator's request could not be confirmed: orders may be missing then.
    pub confirmed_ms: Option<u64>,
    /// Configuration in force.
    pub version: ConfigVersion,
    /// Data centres that are out.
    pub out_data_centres: BTreeSet<DataCentreName>,
    /// Targets that are out.
    pub out_targets: BTreeSet<TargetName>,
    /// Records of calls that may not be repeated.
    pub calls: usize,
    /// Control nodes.
    pub controls: Vec<ControlStatus>,
    /// Data centres.
    pub data_centres: Vec<DataCentreReport>,
    /// Services.
    pub services: Vec<ServiceReport>,
    /// Entries and agents.
    pub nodes: Vec<NodeReport>,
    /// Entries and agents that fell silent in the last minute.
    #[serde(default)]
    pub missing: Vec<MissingReport>,
}

/// The state of the fleet as JSON; `is_newest` tells whether every accepted order is in it.
pub(crate) fn fleet_status(context: &ControlContext, is_newest: bool) -> String {
    let entries: Vec<DirectoryEntry> = context
        .nodes
        .read(|nodes| nodes.entries().cloned().collect());
    let mut status = context.view.read(|view| report(context, view, &entries));
    status.confirmed_ms = status.confirmed_ms.filter(|_| is_newest);
    let now = context.clock.now();
    status.missing = context.nodes.read(|nodes| {
        let missing = nodes.missing(now);
        missing
            .map(|(entry, silent)| MissingReport {
                name: entry.name.clone(),
                data_centre: entry.data_centre.clone(),
                config: entry.config,
                silent_ms: silent.as_millis() as u64,
            })
            .collect()
    });
    serde_json::to_string(&status).expect("a report has only text keys")
}

fn report(context: &ControlContext, view: &DriverView, entries: &[DirectoryEntry]) -> FleetStatus {
    let now = context.clock.now();
    let own = &context.settings.name;
    let config = view.registry.config();
    let data_centres = config.manifest.data_centres.iter();
    let services = config.manifest.services.iter();
    FleetStatus {
        node: own.clone(),
        leader: view.leader(own),
        term: view.status.term.0,
        commit: view.status.commit_index.0,
        confirmed_ms: view.age(now).map(|age| age.as_millis() as u64),
        version: config.version,
        out_data_centres: config.out_data_centres.clone(),
        out_targets: config.out_targets.clone(),
        calls: view.registry.call_count(),
        controls: controls(context, view),
        data_centres: data_centres
            .map(|(name, region)| DataCentreReport {
                name: name.clone(),
                region: region.clone(),
            })
            .collect(),
        services: services
            .map(|(name, spec)| ServiceReport {
                name: name.clone(),
                depends_on: spec.depends_on.clone(),
            })
            .collect(),
        nodes: entries
            .iter()
            .map(|entry| NodeReport {
                name: entry.name.clone(),
                address: entry.address.to_string(),
                data_centre: entry.data_centre.clone(),
                leaving: entry.state == NodeState::Leaving,
                config: entry.config,
                lags_ms: view
                    .lag(entry.config, now)
                    .map(|lag| lag.as_millis() as u64),
                target: match &entry.kind {
                    NodeKind::Entry | NodeKind::Target(_) => None,
                    NodeKind::Agent(target) => Some(target.clone()),
                },
            })
            .collect(),
        missing: Vec::new(),
    }
}

fn controls(context: &ControlContext, view: &DriverView) -> Vec<ControlStatus> {
    let now = context.clock.now();
    let members = &view.status.membership;
    let leads = |id: DiskId| match view.status.role {
        NodeRole::Leader => id == view.status.id,
        _ => view.status.leader == Some(id),
    };
    let is_present = |id: DiskId| {
        id == view.status.id
            || view
                .peers
                .values()
                .any(|peer| peer.announcement.id == id && peer.is_present(now))
    };
    let report = |id: DiskId| ControlStatus {
        name: view
            .registry
            .controls()
            .get(&id)
            .cloned()
            .or_else(|| (id == view.status.id).then(|| context.settings.name.clone())),
        id: id.to_string(),
        voter: members.voters.contains(&id),
        leader: leads(id),
        present: is_present(id),
    };
    members.members().map(report).collect()
}
