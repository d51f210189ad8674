//! Development fleet in one process on loopback: control, entries, agents and stand-ins.

mod guide;
mod nodes;
mod probe;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use agent::AgentHandle;
use client::ControlClient;
use control::{ControlHandle, FleetStatus};
use entry::EntryHandle;
use eyre::{Result, WrapErr, bail, ensure, eyre};
use manifest::{FleetManifest, ServiceKind};
use standin::{EngineSettings, RunningStandin, ServiceSettings, start_engine, start_service};
use tempfile::TempDir;
use units::{ConfigVersion, DataCentreName, NodeName, OrderId, ServiceName};
use wire::OperatorOrder;

pub use guide::print_guide;

/// Maximum time to wait for a quorum, and then for the fleet to serve requests.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of concurrent requests that an agent sends to its plain service.
const PLAIN_SERVICE_SLOTS: u32 = 16;

/// Composition and settings of a development fleet.
#[derive(Debug, Clone)]
pub struct DevSettings {
    /// Services text.
    pub services_text: String,
    /// Number of control nodes.
    pub controls: usize,
    /// Number of entries, which are distributed over the data centres.
    pub entries: usize,
    /// Number of engine stand-ins for each model service.
    pub engines: usize,
    /// Number of service stand-ins for each plain service.
    pub services: usize,
    /// Bearer key of an organisation in the services text, used for readiness probes.
    pub key: String,
    /// Address of the first entry for callers' HTTP. The other entries listen on loopback ports
    /// that the system chooses.
    pub http: SocketAddr,
    /// Settings of the engine stand-ins.
    pub engine: EngineSettings,
    /// Maximum number of concurrent requests that an agent sends to a cold engine; if `None`, the
    /// cold limit of the engine.
    pub cold_slots: Option<u32>,
    /// Settings of the service stand-ins.
    pub service: ServiceSettings,
}

impl DevSettings {
    /// Creates settings for a services text with one node or stand-in of each kind.
    pub fn new(text: &str, key: &str) -> Self {
        Self {
            services_text: text.to_string(),
            key: key.to_string(),
            controls: 1,
            entries: 1,
            engines: 1,
            services: 1,
            http: (Ipv4Addr::LOCALHOST, 0).into(),
            engine: EngineSettings::default(),
            cold_slots: None,
            service: ServiceSettings::default(),
        }
    }
}

/// Target of a development fleet: a stand-in and its agent.
pub struct DevTarget {
    /// Name of the agent and of the target.
    pub name: NodeName,
    /// Service of the target.
    pub service: ServiceName,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Data centre of the target.
    pub data_centre: DataCentreName,
    /// Stand-in that runs the requests.
    pub standin: RunningStandin,
    /// Agent of the target.
    pub agent: AgentHandle,
}

/// Running development fleet, which is stopped on drop.
pub struct DevFleet {
    /// Parsed and validated services text with which the fleet was started.
    pub manifest: FleetManifest,
    /// Handles of the control nodes.
    pub controls: Vec<ControlHandle>,
    /// Handles of the entries.
    pub entries: Vec<EntryHandle>,
    /// Targets with their agents.
    pub targets: Vec<DevTarget>,
    operator: ControlClient,
    folder: TempDir,
}

impl DevFleet {
    /// Starts a fleet and waits until every entry serves every service.
    pub async fn start(settings: DevSettings) -> Result<Self> {
        let manifest = parse_manifest(&settings.services_text)?;
        let folder = tempfile::tempdir().wrap_err("Failed to create a folder for the fleet")?;
        let keys = nodes::DevKeys::create(&folder.path().join("keys"))?;
        let controls = nodes::start_controls(&keys, folder.path(), settings.controls).await?;
        let addresses: Vec<SocketAddr> = controls.iter().map(ControlHandle::address).collect();
        wait_for_quorum(&controls).await?;
        let operator = nodes::operator_client(&keys, addresses.clone())?;
        let initial_order = OperatorOrder::Apply {
            order: OrderId::from("dev-first-text"),
            expected: ConfigVersion(0),
            text: settings.services_text.clone(),
        };
        nodes::send_order(&operator, initial_order).await?;
        let data_centres: Vec<_> = manifest.data_centres.keys().cloned().collect();
        let mut fleet = Self {
            manifest,
            controls,
            entries: Vec::new(),
            targets: Vec::new(),
            operator,
            folder,
        };
        fleet
            .start_targets(&settings, &keys, &addresses, &data_centres)
            .await?;
        for index in 0..settings.entries {
            let http = match index {
                0 => settings.http,
                _ => (Ipv4Addr::LOCALHOST, 0).into(),
            };
            let data_centre = data_centres
                [data_centre_index(index, settings.entries, data_centres.len())]
            .clone();
            let entry = nodes::start_entry(&keys, index, http, data_centre, &addresses).await?;
            fleet.entries.push(entry);
        }
        fleet.wait_until_ready(&settings.key).await?;
        telemetry::event!(telemetry::events::DEV_READY);
        Ok(fleet)
    }

    /// Folder with the key files, including those of the operator `dev`.
    pub fn keys(&self) -> std::path::PathBuf {
        self.folder.path().join("keys")
    }

    /// Sends an operator's order until it is answered. Returns the configuration version from which
    /// the order is in force.
    pub async fn order(&self, order: OperatorOrder) -> Result<ConfigVersion> {
        nodes::send_order(&self.operator, order).await
    }

    async fn start_targets(
        &mut self,
        settings: &DevSettings,
        keys: &nodes::DevKeys,
        controls: &[SocketAddr],
        data_centres: &[DataCentreName],
    ) -> Result<()> {
        let mut target_count = 0;
        for (service, spec) in &self.manifest.services {
            let (count, max_slots, cold_limit) = match spec.kind {
                ServiceKind::Model => (
                    settings.engines,
                    settings.engine.batch_limit as u32,
                    settings
                        .cold_slots
                        .unwrap_or(settings.engine.cold_limit as u32),
                ),
                ServiceKind::Plain => (settings.services, PLAIN_SERVICE_SLOTS, PLAIN_SERVICE_SLOTS),
            };
            for index in 0..count {
                let standin = match spec.kind {
                    ServiceKind::Model => start_engine(settings.engine.clone()).await?,
                    ServiceKind::Plain => start_service(settings.service.clone()).await?,
                };
                let data_centre = data_centres[target_count % data_centres.len()].clone();
                target_count += 1;
                let agent_spec = nodes::AgentSpec {
                    name: format!("{service}-{}", index + 1).as_str().into(),
                    service: service.clone(),
                    kind: spec.kind,
                    data_centre: data_centre.clone(),
                    target_address: standin.address(),
                    max_slots,
                    cold_limit,
                };
                let agent = nodes::start_agent(keys, &agent_spec, controls).await?;
                self.targets.push(DevTarget {
                    name: agent_spec.name,
                    service: service.clone(),
                    kind: spec.kind,
                    data_centre,
                    standin,
                    agent,
                });
            }
        }
        Ok(())
    }

    /// Waits until the first control node lists every entry and agent, and every entry serves every
    /// service.
    async fn wait_until_ready(&self, key: &str) -> Result<()> {
        let expected_names: BTreeSet<NodeName> = self
            .targets
            .iter()
            .map(|target| target.name.clone())
            .chain((0..self.entries.len()).map(nodes::entry_name))
            .collect();
        let all_listed = |status: &FleetStatus| {
            let listed_names: BTreeSet<_> = status.nodes.iter().map(|node| &node.name).collect();
            expected_names
                .iter()
                .all(|name| listed_names.contains(name))
        };
        let first_control = self
            .controls
            .first()
            .ok_or_else(|| eyre!("Failed to start the fleet: it has no control node"))?;
        let readiness = tokio::time::timeout(READY_TIMEOUT, async {
            first_control.wait_until(all_listed).await;
            for entry in &self.entries {
                for (service, spec) in &self.manifest.services {
                    probe::wait_until_served(entry.http(), key, service, spec.kind).await;
                }
            }
        })
        .await;
        ensure!(
            readiness.is_ok(),
            "Failed to start the fleet: it was not ready within {} s",
            READY_TIMEOUT.as_secs()
        );
        Ok(())
    }
}

/// Waits until the control nodes have a quorum, since orders are refused without one.
async fn wait_for_quorum(controls: &[ControlHandle]) -> Result<()> {
    let first_control = controls
        .first()
        .ok_or_else(|| eyre!("Failed to start the control nodes: there are none"))?;
    let confirmed = first_control.wait_until(|status| status.confirmed_ms.is_some());
    tokio::time::timeout(READY_TIMEOUT, confirmed)
        .await
        .wrap_err("Failed to start the control nodes: no quorum before the timeout")
}

/// Returns the index of an entry's data centre. The entries are spaced evenly over the list, so
/// that they are far apart.
fn data_centre_index(index: usize, entry_count: usize, data_centre_count: usize) -> usize {
    index * data_centre_count / entry_count.max(1) % data_centre_count
}

fn parse_manifest(text: &str) -> Result<FleetManifest> {
    let manifest = match FleetManifest::parse(text) {
        Ok(manifest) => manifest,
        Err(faults) => {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            bail!("Failed to read the services text:\n{}", lines.join("\n"));
        }
    };
    ensure!(
        !manifest.data_centres.is_empty(),
        "Failed to use the services text: it lists no data centre"
    );
    Ok(manifest)
}

/// Reads a services text from a file, without parsing it.
pub fn read_services_text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .wrap_err_with(|| format!("Failed to read services text {}", path.display()))
}
