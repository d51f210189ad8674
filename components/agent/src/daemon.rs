//! Start and planned stop of an agent.

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

/// Time for which a leaving agent goes on serving claims that it made before. No work starts later
/// than 3 s after the agent began to leave (P8), so it is shorter by the same margin as a lease.
const CLAIM_TIME: Duration = Duration::from_millis(2_500);

/// Longest time that a leaving agent waits for its runs.
const LEAVE_LIMIT: Duration = Duration::from_secs(600);

/// What a test or an all-in-one process gives to an agent.
pub struct AgentParts {
    /// The node's view of the fleet. With `None` the agent keeps its own lease with control.
    pub view: Option<StateBoard<FleetView>>,
    /// Clock of the leases in the view.
    pub clock: Arc<dyn ClockSource>,
    /// Where metrics go.
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

/// A running agent. Dropping it stops the agent at once.
pub struct AgentHandle {
    shared: AgentShared,
    endpoint: LinkEndpoint,
    health: SocketAddr,
    tasks: JoinSet<()>,
}

impl AgentHandle {
    /// Address for links of entries.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.address()
    }

    /// Address for `/healthz` and `/readyz`.
    pub fn health_address(&self) -> SocketAddr {
        self.health
    }

    /// The agent as it stands in the directory, with an address where it can be reached.
    pub fn directory_entry(&self) -> wire::DirectoryEntry {
        self.shared.directory_entry(self.address())
    }

    /// Service that a flow has received in the fleet, as this agent knows it.
    pub fn usage_total(&self, flow: &FlowKey) -> CostUnits {
        self.shared
            .board
            .read(|state| state.table.ledger().total(flow))
    }

    /// Announces that the agent leaves, finishes its runs and stops.
    pub async fn leave(mut self) {
        telemetry::event!(telemetry::events::AGENT_LEAVING);
        self.shared.board.write(|state| {
            state.leaving = true;
            state.broadcast(&AgentMessage::Leaving);
        });
        let finished = async {
            tokio::time::sleep(CLAIM_TIME).await;
            self.shared.board.write(|state| state.closed = true);
            self.shared
                .board
                .wait_for(|state| {
                    let finished = state.runs.values().all(|run| run.is_finished());
                    (finished && state.open_streams == 0).then_some(())
                })
                .await;
        };
        let _ = tokio::time::timeout(LEAVE_LIMIT, finished).await;
        self.endpoint.close().await;
        self.tasks.shutdown().await;
        telemetry::event!(telemetry::events::AGENT_STOPPED);
    }

    /// Stops the agent at once, as a crash would.
    pub async fn kill(mut self) {
        self.endpoint.close().await;
        self.tasks.shutdown().await;
    }
}

/// Starts an agent.
pub async fn start(settings: AgentSettings) -> eyre::Result<AgentHandle> {
    start_with(settings, AgentParts::default()).await
}

/// Starts an agent with given parts.
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
    let health = serve_health(&shared, &mut tasks).await?;
    tasks.spawn(sessions::accept_links(shared.clone(), endpoint.clone()));
    tasks.spawn(upkeep::decide_serving(shared.clone()));
    tasks.spawn(upkeep::probe_target(shared.clone()));
    tasks.spawn(upkeep::clean_up(shared.clone()));
    let client = ControlClient::new(endpoint.clone(), shared.settings.controls.clone());
    tasks.spawn(usage::report_usage(shared.clone(), client.clone()));
    if parts.view.is_none() {
        spawn_lease(&shared, client, endpoint.address(), &mut tasks);
    }
    let address = endpoint.address();
    telemetry::event!(telemetry::events::AGENT_STARTED, address = address);
    Ok(AgentHandle {
        shared,
        endpoint,
        health,
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

fn spawn_lease(
    shared: &AgentShared,
    client: ControlClient,
    address: SocketAddr,
    tasks: &mut JoinSet<()>,
) {
    let (view, clock) = (shared.view.clone(), shared.clock.clone());
    let node = shared.clone();
    let node = move || node.directory_entry(address);
    tasks.spawn(keep_lease(client, view, clock, node, false));
}
