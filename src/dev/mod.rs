//! A whole fleet in one process on loopback: control, entries, agents and stand-ins.

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

/// Longest wait for the fleet to serve.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Requests that an agent lets its plain service run at once.
const PLAIN_SLOTS: u32 = 16;

/// What a development fleet consists of.
#[derive(Debug, Clone)]
pub struct DevSettings {
    /// Services text.
    pub services_text: String,
    /// Control nodes.
    pub controls: usize,
    /// Entries, spread over the data centres.
    pub entries: usize,
    /// Engine stand-ins for each model service.
    pub engines: usize,
    /// Service stand-ins for each plain service.
    pub services: usize,
    /// Bearer key of an organisation of the text, with which the fleet is probed at the start.
    pub key: String,
    /// Address of the first entry for callers' HTTP; the others get ports from the system.
    pub http: SocketAddr,
    /// How the engines work.
    pub engine: EngineSettings,
    /// Requests that an agent lets a cold engine run at once; without it, the engine's cold limit.
    pub cold_slots: Option<u32>,
    /// How the plain services work.
    pub service: ServiceSettings,
}

impl DevSettings {
    /// Settings with a text and one of each part.
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

/// A target and what stands in for it.
pub struct DevTarget {
    /// The agent's name, also the target's.
    pub name: NodeName,
    /// Service of the target.
    pub service: ServiceName,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Data centre of the target.
    pub data_centre: DataCentreName,
    /// The stand-in.
    pub standin: RunningStandin,
    /// The agent.
    pub agent: AgentHandle,
}

/// A running fleet. It ends when it is dropped.
pub struct DevFleet {
    /// The checked services text.
    pub manifest: FleetManifest,
    /// Control nodes.
    pub controls: Vec<ControlHandle>,
    /// Entries.
    pub entries: Vec<EntryHandle>,
    /// Targets.
    pub targets: Vec<DevTarget>,
    operator: ControlClient,
    folder: TempDir,
}

impl DevFleet {
    /// Starts a fleet and waits until it serves.
    pub async fn start(settings: DevSettings) -> Result<Self> {
        let manifest = parse(&settings.services_text)?;
        let folder = tempfile::tempdir().wrap_err("Failed to create a folder for the fleet")?;
        let keys = nodes::DevKeys::create(&folder.path().join("keys"))?;
        let controls = nodes::start_controls(&keys, folder.path(), settings.controls).await?;
        let addresses: Vec<SocketAddr> = controls.iter().map(ControlHandle::address).collect();
        wait_quorum(&controls).await?;
        let operator = nodes::operator_client(&keys, addresses.clone())?;
        let first_text = OperatorOrder::Apply {
            order: OrderId::from("dev-first-text"),
            expected: ConfigVersion(0),
            text: settings.services_text.clone(),
        };
        nodes::send_order(&operator, first_text).await?;
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
            let place = data_centres[spread(index, settings.entries, data_centres.len())].clone();
            let entry = nodes::start_entry(&keys, index, http, place, &addresses).await?;
            fleet.entries.push(entry);
        }
        fleet.wait_ready(&settings.key).await?;
        telemetry::event!(telemetry::events::DEV_READY);
        Ok(fleet)
    }

    /// Folder with the keys, among them those of the operator `dev`.
    pub fn keys(&self) -> std::path::PathBuf {
        self.folder.path().join("keys")
    }

    /// Sends an operator's order until it is answered, and returns the version from which on it is
    /// in force.
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
        let mut place = 0;
        for (service, spec) in &self.manifest.services {
            let (count, slots, cold) = match spec.kind {
                ServiceKind::Model => (
                    settings.engines,
                    settings.engine.batch_limit as u32,
                    settings
                        .cold_slots
                        .unwrap_or(settings.engine.cold_limit as u32),
                ),
                ServiceKind::Plain => (settings.services, PLAIN_SLOTS, PLAIN_SLOTS),
            };
            for index in 0..count {
                let standin = match spec.kind {
                    ServiceKind::Model => start_engine(settings.engine.clone()).await?,
                    ServiceKind::Plain => start_service(settings.service.clone()).await?,
                };
                let data_centre = data_centres[place % data_centres.len()].clone();
                place += 1;
                let plan = nodes::AgentPlan {
                    name: format!("{service}-{}", index + 1).as_str().into(),
                    service: service.clone(),
                    kind: spec.kind,
                    data_centre: data_centre.clone(),
                    target: standin.address(),
                    slots,
                    cold,
                };
                let agent = nodes::start_agent(keys, &plan, controls).await?;
                self.targets.push(DevTarget {
                    name: plan.name,
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

    /// Waits until control lists every node and every entry serves every service.
    async fn wait_ready(&self, key: &str) -> Result<()> {
        let wanted: BTreeSet<NodeName> = self
            .targets
            .iter()
            .map(|target| target.name.clone())
            .chain((0..self.entries.len()).map(nodes::entry_name))
            .collect();
        let all_listed = |status: &FleetStatus| {
            let listed: BTreeSet<_> = status.nodes.iter().map(|node| &node.name).collect();
            wanted.iter().all(|name| listed.contains(name))
        };
        let first = self
            .controls
            .first()
            .ok_or_else(|| eyre!("no control node"))?;
        let waited = tokio::time::timeout(READY_TIMEOUT, async {
            first.wait_until(all_listed).await;
            for entry in &self.entries {
                for (service, spec) in &self.manifest.services {
                    probe::wait_service(entry.http(), key, service, spec.kind).await;
                }
            }
        })
        .await;
        ensure!(
            waited.is_ok(),
            "Failed to start the fleet: it is not ready after {} s",
            READY_TIMEOUT.as_secs()
        );
        Ok(())
    }
}

/// Waits until a control node has a quorum; orders before that are refused at once.
async fn wait_quorum(controls: &[ControlHandle]) -> Result<()> {
    let first = controls.first().ok_or_else(|| eyre!("no control node"))?;
    let confirmed = first.wait_until(|status| status.confirmed_ms.is_some());
    tokio::time::timeout(READY_TIMEOUT, confirmed)
        .await
        .wrap_err("Failed to start the control nodes: no quorum")
}

/// Index of the data centre of one of several entries, so that they stand far apart.
fn spread(index: usize, count: usize, places: usize) -> usize {
    index * places / count.max(1) % places
}

fn parse(text: &str) -> Result<FleetManifest> {
    let manifest = match FleetManifest::parse(text) {
        Ok(manifest) => manifest,
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            bail!("Failed to read the services text:\n{}", lines.join("\n"));
        }
    };
    ensure!(
        !manifest.data_centres.is_empty(),
        "Failed to use the services text: it lists no data centre"
    );
    Ok(manifest)
}

/// Reads a services text from a file.
pub fn read_services_text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .wrap_err_with(|| format!("Failed to read services text {}", path.display()))
}
