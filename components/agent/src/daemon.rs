//! Start and graceful shutdown of an agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use board::StateBoard;
use cadence::{NopMetricSink, StatsdClient};
use client::{ControlClient, FleetView, keep_lease};
use eyre::WrapErr;
use link::{KeyFiles, LinkEndpoint, LinkIdentity};
use salvo::Server;
use tokio::task::JoinSet;
use units::{ClockSource, CostUnits, Incarnation, SystemClock};
use wire::{AgentMessage, FlowKey, NodeRole};

use crate::settings::AgentSettings;
use crate::state::{AgentShared, AgentState};
use crate::target::HttpTarget;
use crate::{health, sessions, upkeep, usage};

/// Time for which a leaving agent still starts requests that it claimed before.
///
/// Requirement P8 allows no new work later than 3 s after the agent began to leave. The time is
/// shorter than 3 s by the same margin as the lease time.
const CLAIM_GRACE_PERIOD: Duration = Duration::from_millis(2_500);

/// Maximum time that a leaving agent waits for its runs to end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// Dependencies of an agent that a test or an all-in-one process may replace.
pub struct AgentParts {
    /// View of the fleet, kept up to date by the owner. With `None`, the agent renews its own lease
    /// with control and updates its own view.
    pub view: Option<StateBoard<FleetView>>,
    /// Clock that measures the lease in the view.
    pub clock: Arc<dyn ClockSource>,
    /// Client that metrics are sent through.
    pub metrics: StatsdClient,
}

impl Default for AgentParts {
    fn default() -> Self {
        Self {
            view: None,
            clock: Arc::new(SystemClock::start()),
            metrics: StatsdClient::from_sink("bilberry.agent", NopMetricSink),
        }
    }
}

/// Handle of a running agent. Dropping it stops the agent immediately.
pub struct AgentHandle {
    shared: AgentShared,
    endpoint: LinkEndpoint,
    health_address: SocketAddr,
    tasks: JoinSet<()>,
}

impl AgentHandle {
    /// Address to which entries connect.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.address()
    }

    /// HTTP address of `/healthz` and `/readyz`.
    pub fn health_address(&self) -> SocketAddr {
        self.health_address
    }

    /// Current directory entry of the agent.
    pub fn directory_entry(&self) -> wire::DirectoryEntry {
        self.shared.directory_entry(self.address())
    }

    /// Total usage of a flow in the whole fleet, as far as this agent knows.
    pub fn usage_total(&self, flow: &FlowKey) -> CostUnits {
        self.shared
            .board
            .read(|state| state.table.ledger().total(flow))
    }

    /// Shuts down gracefully: announces that the agent is leaving, waits for its runs to end and
    /// stops it.
    pub async fn leave(mut self) {
        telemetry::event!(telemetry::events::AGENT_LEAVING);
        self.shared.board.write(|state| {
            state.is_leaving = true;
            state.broadcast(&AgentMessage::Leaving);
        });
        let wait_for_runs = async {
            tokio::time::sleep(CLAIM_GRACE_PERIOD).await;
            self.shared
                .board
                .write(|state| state.is_refusing_starts = true);
            self.shared
                .board
                .wait_for(|state| {
                    let all_finished = state.runs.values().all(|run| run.is_finished());
                    (all_finished && state.open_stream_count == 0).then_some(())
                })
                .await;
        };
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, wait_for_runs).await;
        self.endpoint.close().await;
        self.tasks.shutdown().await;
        telemetry::event!(telemetry::events::AGENT_STOPPED);
    }

    /// Stops the agent immediately, without announcement, as a crash would.
    pub async fn kill(mut self) {
        self.endpoint.close().await;
        self.tasks.shutdown().await;
    }
}

/// Starts an agent with the default [`AgentParts`].
///
/// Fails if the keys cannot be loaded, an address cannot be bound or the target URL is invalid.
pub async fn start(settings: AgentSettings) -> eyre::Result<AgentHandle> {
    start_with(settings, AgentParts::default()).await
}

/// Starts an agent with the given dependencies. Fails in the same cases as [`start`].
pub async fn start_with(settings: AgentSettings, parts: AgentParts) -> eyre::Result<AgentHandle> {
    let incarnation = Incarnation::starting_now();
    let files = KeyFiles::in_folder(&settings.keys, NodeRole::Agent, &settings.name);
    let identity = LinkIdentity::load(NodeRole::Agent, &settings.name, &files)
        .wrap_err("Failed to load the keys of the agent")?;
    let endpoint = LinkEndpoint::bind(settings.listen, &identity, incarnation)
        .wrap_err("Failed to open the link address")?;
    let target = HttpTarget::new(&settings.target_url)?;
    let shared = AgentShared {
        board: StateBoard::new(AgentState::new(&settings)),
        settings: Arc::new(settings),
        incarnation,
        view: parts
            .view
            .clone()
            .unwrap_or_else(|| StateBoard::new(FleetView::default())),
        clock: parts.clock,
        target: Arc::new(target),
        metrics: Arc::new(parts.metrics),
    };
    let mut tasks = JoinSet::new();
    let health_address = serve_health(&shared, &mut tasks).await?;
    tasks.spawn(sessions::accept_links(shared.clone(), endpoint.clone()));
    tasks.spawn(upkeep::update_serving(shared.clone()));
    tasks.spawn(upkeep::probe_target(shared.clone()));
    tasks.spawn(upkeep::clean_up(shared.clone()));
    let client = ControlClient::new(endpoint.clone(), shared.settings.controls.clone());
    tasks.spawn(usage::report_usage(shared.clone(), client.clone()));
    if parts.view.is_none() {
        spawn_lease_renewal(&shared, client, endpoint.address(), &mut tasks);
    }
    let address = endpoint.address();
    telemetry::event!(telemetry::events::AGENT_STARTED, address = address);
    Ok(AgentHandle {
        shared,
        endpoint,
        health_address,
        tasks,
    })
}

async fn serve_health(shared: &AgentShared, tasks: &mut JoinSet<()>) -> eyre::Result<SocketAddr> {
    let acceptor = listener::listen(shared.settings.health)
        .await
        .wrap_err_with(|| {
            format!(
                "Failed to open the health address {}",
                shared.settings.health
            )
        })?;
    let address = acceptor
        .local_addr()
        .wrap_err("Failed to read the health address")?;
    let routes = health::routes(shared.clone());
    tasks.spawn(async move { Server::new(acceptor).serve(routes).await });
    Ok(address)
}

fn spawn_lease_renewal(
    shared: &AgentShared,
    client: ControlClient,
    address: SocketAddr,
    tasks: &mut JoinSet<()>,
) {
    let (view, clock) = (shared.view.clone(), shared.clock.clone());
    let node = shared.clone();
    let directory_entry = move || node.directory_entry(address);
    tasks.spawn(keep_lease(client, view, clock, directory_entry, false));
}
