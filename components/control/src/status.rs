//! Status report of the fleet, which operators receive as JSON.

use std::collections::BTreeSet;

use raft::NodeRole;
use serde::{Deserialize, Serialize};
use units::{ConfigVersion, DataCentreName, DiskId, NodeName, RegionName, ServiceName, TargetName};
use wire::{DirectoryEntry, NodeKind, NodeState, TargetState};

use crate::quorum::MemberSign;
use crate::state::{ControlContext, DriverView};

/// Status of a control node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Name, if recorded.
    pub name: Option<NodeName>,
    /// Id of its data folder, in hexadecimal.
    pub id: String,
    /// Whether it is a voter.
    pub voter: bool,
    /// Whether it is the leader.
    pub leader: bool,
    /// Whether the replying node has received a recent announcement from it.
    pub present: bool,
    /// Time since its last announcement, in milliseconds, if it is not present. `None` if it has not
    /// announced itself since the replying node started, or announces another data folder.
    #[serde(default)]
    pub silent_ms: Option<u64>,
}

/// Service in the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub name: ServiceName,
    /// Services on which it depends.
    pub depends_on: Vec<ServiceName>,
}

/// Data centre in the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreReport {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// Region to which it belongs.
    pub region: RegionName,
}

/// Status of an entry, an agent, or a target without an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Name of the node.
    pub name: NodeName,
    /// Address for links.
    pub address: String,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Whether it accepts no new work and exits once its running work is done.
    pub leaving: bool,
    /// Version of its installed configuration.
    pub config: ConfigVersion,
    /// Time since the first configuration version that it lacks came into force, in milliseconds;
    /// `None` if its configuration is current.
    pub lags_ms: Option<u64>,
    /// State of its target, if the node is an agent.
    pub target: Option<TargetState>,
}

/// Node that stopped sending announcements without having announced that it was leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingReport {
    /// Name of the node.
    pub name: NodeName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Version of the configuration in its last announcement.
    pub config: ConfigVersion,
    /// Time since its last announcement, in milliseconds.
    pub silent_ms: u64,
}

/// Quarantine of the requests with one trait.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// Service and trait, as `SERVICE/part:HEX` or `SERVICE/content:HEX`.
    pub subject: String,
    /// Number of crashes for which the trait is held responsible.
    pub crashes: u64,
    /// Number of organisations whose requests are refused; 0 for all.
    pub organisations: usize,
    /// Time until one request is admitted as a trial, in milliseconds; 0 if a trial is due.
    pub trial_ms: u64,
}

/// Status of the fleet as seen by one control node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Control node that produced this status.
    pub node: NodeName,
    /// Leader of the control group, if known.
    pub leader: Option<NodeName>,
    /// Current election term.
    pub term: u64,
    /// Commit index of the replicated log.
    pub commit: u64,
    /// Time since a quorum last confirmed this node's state, in milliseconds. `None` if it is too
    /// long ago to grant leases, or if this status could not be confirmed; accepted orders may then
    /// be missing from it.
    pub confirmed_ms: Option<u64>,
    /// Version of the configuration in force.
    pub version: ConfigVersion,
    /// Data centres that are out.
    pub out_data_centres: BTreeSet<DataCentreName>,
    /// Targets that are out.
    pub out_targets: BTreeSet<TargetName>,
    /// Number of records of calls that must not be repeated.
    pub calls: usize,
    /// Members of the control group.
    pub controls: Vec<ControlStatus>,
    /// Data centres in the configuration.
    pub data_centres: Vec<DataCentreReport>,
    /// Services in the configuration.
    pub services: Vec<ServiceReport>,
    /// Entries, agents, and targets without an agent.
    pub nodes: Vec<NodeReport>,
    /// Requests that entries refuse because they crash targets, as far as the replying node knows.
    #[serde(default)]
    pub quarantine: Vec<QuarantineStatus>,
    /// Nodes that stopped sending announcements in the last minute.
    #[serde(default)]
    pub missing: Vec<MissingReport>,
}

/// Status of the fleet as JSON. `is_newest` states whether a quorum has confirmed that it includes
/// every accepted order; otherwise `confirmed_ms` is left empty.
pub(crate) fn fleet_status_json(context: &ControlContext, is_newest: bool) -> String {
    let entries: Vec<DirectoryEntry> =
        context.with_nodes(|nodes| nodes.entries().cloned().collect());
    let mut status = context
        .view
        .read(|view| build_status(context, view, &entries));
    status.confirmed_ms = status.confirmed_ms.filter(|_| is_newest);
    let now = context.clock.now();
    status.missing = context.with_nodes(|nodes| {
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
    serde_json::to_string(&status)
        .expect("the fleet status can be written as JSON because its maps have string keys")
}

fn build_status(
    context: &ControlContext,
    view: &DriverView,
    entries: &[DirectoryEntry],
) -> FleetStatus {
    let now = context.clock.now();
    let own = &context.settings.name;
    let config = view.registry.config();
    let data_centres = config.manifest.data_centres.iter();
    let services = config.manifest.services.iter();
    FleetStatus {
        node: own.clone(),
        leader: view.leader_name(own),
        term: view.status.term.0,
        commit: view.status.commit_index.0,
        confirmed_ms: view.confirmation_age(now).map(|age| age.as_millis() as u64),
        version: config.version,
        out_data_centres: config.out_data_centres.clone(),
        out_targets: config.out_targets.clone(),
        calls: view.registry.call_count(),
        controls: control_statuses(context, view),
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
                    .config_lag(entry.config, now)
                    .map(|lag| lag.as_millis() as u64),
                target: match &entry.kind {
                    NodeKind::Entry | NodeKind::Target(_) => None,
                    NodeKind::Agent(target) => Some(target.clone()),
                },
            })
            .collect(),
        quarantine: quarantine_statuses(context),
        missing: Vec::new(),
    }
}

fn quarantine_statuses(context: &ControlContext) -> Vec<QuarantineStatus> {
    let now = context.clock.now();
    let quarantined = context.quarantine.read(|home| home.quarantined(now));
    let statuses = quarantined.into_iter().map(|quarantined| QuarantineStatus {
        subject: quarantined.subject.to_string(),
        crashes: quarantined.crashes,
        organisations: quarantined.flows.len(),
        trial_ms: quarantined.trial_ms,
    });
    statuses.collect()
}

fn control_statuses(context: &ControlContext, view: &DriverView) -> Vec<ControlStatus> {
    let now = context.clock.now();
    let members = &view.status.membership;
    let is_leader = |id: DiskId| match view.status.role {
        NodeRole::Leader => id == view.status.id,
        _ => view.status.leader == Some(id),
    };
    let status_of = |id: DiskId| {
        let sign = MemberSign::of(id, view, now);
        ControlStatus {
            name: view
                .registry
                .controls()
                .get(&id)
                .cloned()
                .or_else(|| (id == view.status.id).then(|| context.settings.name.clone())),
            id: id.to_string(),
            voter: members.voters.contains(&id),
            leader: is_leader(id),
            present: sign == MemberSign::Present,
            silent_ms: match sign {
                MemberSign::Silent(silence) => Some(silence.as_millis() as u64),
                _ => None,
            },
        }
    };
    members.members().map(status_of).collect()
}
