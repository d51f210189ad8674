//! Start and graceful shutdown of a relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use board::StateBoard;
use cadence::StatsdClient;
use cadence::prelude::*;
use client::{ControlClient, FleetView, keep_lease};
use entry::model_pool;
use eyre::WrapErr;
use fair::ShareGate;
use limits::TurnGate;
use link::{KeyFiles, LinkEndpoint, LinkIdentity};
use listener::{BodyGate, ConnectionTable};
use origins::OriginLog;
use place::{EntryRoster, PlacementSettings, PlacementTable, WaitQueue};
use quarantine::CrashLog;
use rollout::{RolloutPhase, VersionGates};
use salvo::Router;
use salvo::fuse::FuseConfig;
use salvo::server::ServerHandle;
use telemetry::{event, events};
use tokio::sync::watch;
use tokio::task::JoinSet;
use units::{
    ClockSource, Incarnation, NodeName, PlanNumber, ServiceName, SoftwareVersion, SystemClock,
};
use wire::{NodeRole, stable_hash};

use crate::demand::report_demand;
use crate::dialect::CallerDialect;
use crate::follow::{follow_view, poll_queue, prune_connections};
use crate::http::{ReadyCheck, RelayHandler};
use crate::pool::ConnectionPool;
use crate::reporter::OriginReporter;
use crate::settings::RelaySettings;
use crate::state::{RelayShared, RelayState};
use crate::stop::begin_stop;

/// Time for which a target is avoided after a failed connection. A live target announces itself
/// about once in this time.
const FAILED_TARGET_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which a leaving relay still accepts connections. The load balancer checks readiness
/// once a second and stops sending callers after two failures.
const DRAIN_DELAY: Duration = Duration::from_millis(2_500);

/// Part of the stop timeout that is reserved for the last report of origins, for closing the links,
/// and for the exit of the process.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Time within which the peers must acknowledge that the links are closed.
const LINK_CLOSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Handle of a running relay. Dropping it stops the relay immediately.
pub struct RelayHandle {
    shared: RelayShared,
    endpoint: LinkEndpoint,
    client: ControlClient,
    http_address: SocketAddr,
    server: ServerHandle,
    /// Task of the HTTP server, which ends after a graceful stop.
    server_task: JoinSet<()>,
    reporter: OriginReporter,
    /// Tasks that never end.
    tasks: JoinSet<()>,
}

/// Dependencies that a process supplies to its relay.
pub struct RelayParts {
    /// Format of the HTTP headers of callers and targets.
    pub dialect: Arc<dyn CallerDialect>,
    /// Client that metrics are sent through.
    pub metrics: StatsdClient,
}

/// Starts a relay. Fails if the keys cannot be loaded or an address cannot be bound.
pub async fn start(settings: RelaySettings, parts: RelayParts) -> eyre::Result<RelayHandle> {
    let incarnation = Incarnation::starting_now();
    let files = KeyFiles::find(&settings.keys, NodeRole::Entry, &settings.name);
    let identity = LinkIdentity::load(NodeRole::Entry, &settings.name, &files)
        .wrap_err("Failed to load the keys of the relay")?;
    let endpoint = LinkEndpoint::bind(settings.listen, &identity, incarnation)
        .wrap_err("Failed to open the link address")?;
    let client = ControlClient::new(endpoint.clone(), settings.controls.clone());
    let table = PlacementTable::new(PlacementSettings {
        region: settings.region().cloned(),
        avoid_duration: FAILED_TARGET_BACKOFF,
        announcement_time: settings.announcement_time,
    });
    let clock = Arc::new(SystemClock::start());
    let gate_seed = stable_hash(&[settings.name.as_str().as_bytes()]);
    let shared = RelayShared {
        board: StateBoard::new(RelayState {
            route_index: None,
            table,
            roster: EntryRoster::new(settings.name.clone(), settings.entry_retention()),
            queue: WaitQueue::new(),
            waiters: Default::default(),
            gate: ShareGate::new(model_pool(), gate_seed, clock.now()),
            retry_budgets: Default::default(),
            run_durations: Default::default(),
            crashes: CrashLog::new(),
            turns: TurnGate::default(),
            rollouts: VersionGates::new(),
        }),
        incarnation,
        view: StateBoard::new(FleetView::with_lease_time(settings.lease_time)),
        bodies: BodyGate::new(&settings.limits),
        settings: Arc::new(settings),
        clock,
        address: endpoint.address(),
        dialect: parts.dialect,
        metrics: Arc::new(parts.metrics),
        pool: ConnectionPool::default(),
        origins: StateBoard::new(OriginLog::new()),
        client: client.clone(),
        stop_deadline: watch::Sender::new(None),
    };
    let mut server_task = JoinSet::new();
    let (http_address, server) = serve_http(&shared, &mut server_task).await?;
    let mut tasks = JoinSet::new();
    tasks.spawn(follow_view(shared.clone()));
    tasks.spawn(poll_queue(shared.clone()));
    tasks.spawn(prune_connections(shared.clone()));
    tasks.spawn(report_demand(shared.clone(), client.clone()));
    let (view, clock, entry_shared) = (shared.view.clone(), shared.clock.clone(), shared.clone());
    let directory_entry = move || entry_shared.directory_entry();
    tasks.spawn(keep_lease(
        client.clone(),
        view,
        clock,
        directory_entry,
        true,
    ));
    event!(events::RELAY_STARTED, address = http_address);
    Ok(RelayHandle {
        reporter: OriginReporter::start(shared.clone()),
        shared,
        endpoint,
        client,
        http_address,
        server,
        server_task,
        tasks,
    })
}

async fn serve_http(
    shared: &RelayShared,
    server_task: &mut JoinSet<()>,
) -> eyre::Result<(SocketAddr, ServerHandle)> {
    let address = shared.settings.http;
    let connections = ConnectionTable::new(shared.settings.limits.max_connections());
    let acceptor = listener::listen(address)
        .await
        .wrap_err_with(|| format!("Failed to open the HTTP address {address}"))?
        .bounded_by(connections.clone());
    let address = acceptor
        .local_addr()
        .wrap_err("Failed to read the HTTP address")?;
    let router = Router::with_path("{**rest}").goal(RelayHandler::new(shared.clone()));
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(MAX_IDLE_TIME)
        .with_write_stall_timeout(WRITE_STALL_TIMEOUT);
    let server = listener::server(acceptor).fuse_config(fuse);
    let handle = server.handle();
    let shared = shared.clone();
    server_task.spawn(async move {
        tokio::select! {
            () = server.serve(router) => {}
            () = check_connections(shared, connections) => {}
        }
    });
    Ok((address, handle))
}

/// Time after which the server closes an idle connection in any case. The time-outs of the plan are
/// applied by [`check_connections`]; the server's own default of 30 s may be shorter than these.
const MAX_IDLE_TIME: Duration = Duration::from_secs(600);

/// Time without progress of a write after which a connection is closed. A caller that reads nothing
/// would keep a slot of the target as long as its connection lasts.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two checks of the connections' time-outs.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Closes connections by the time-outs of the plan in force. Never returns.
async fn check_connections(shared: RelayShared, connections: ConnectionTable) {
    loop {
        tokio::time::sleep(CONNECTION_CHECK_INTERVAL).await;
        let bounds = shared.board.read(|state| {
            let index = state.route_index.as_ref();
            index.map(|index| index.plan.bounds)
        });
        if let Some(bounds) = bounds {
            connections.close_expired(
                Duration::from_millis(bounds.header_timeout_ms),
                Duration::from_millis(bounds.idle_timeout_ms),
            );
        }
        let metrics = &shared.metrics;
        let _ = metrics.gauge("connections", connections.len() as u64);
        let _ = metrics.gauge("connections.closed-by-bound", connections.closed_by_bound());
        let _ = metrics.gauge("body-bytes", shared.bodies.used());
    }
}

impl RelayHandle {
    /// Address on which callers' HTTP is served.
    pub fn http(&self) -> SocketAddr {
        self.http_address
    }

    /// Number of targets that the directory lists for the relay.
    pub fn target_count(&self) -> usize {
        self.shared.board.read(|state| state.table.len())
    }

    /// Number of these targets that accept new requests.
    pub fn serving_target_count(&self) -> usize {
        self.shared.board.read(|state| state.table.serving_count())
    }

    /// Software version of a target as listed by the directory; `None` for an unknown target or an
    /// unregistered version.
    pub fn target_version(&self, name: &NodeName) -> Option<SoftwareVersion> {
        self.shared.listed(name)?.version
    }

    /// Phase of the newest roll-out of a service; `None` if none was ordered.
    pub fn rollout_phase(&self, service: &ServiceName) -> Option<RolloutPhase> {
        let phase = |state: &RelayState| state.rollouts.phase(service).cloned();
        self.shared.board.read(phase)
    }

    /// Number of the installed plan; `None` before the first plan arrives.
    pub fn plan_number(&self) -> Option<PlanNumber> {
        let index = self.shared.board.read(|state| state.route_index.clone());
        index.map(|index| index.number)
    }

    /// Number of other serving entries that the directory lists for the relay.
    pub fn other_entry_count(&self) -> u32 {
        self.shared.board.read(RelayState::other_entry_count)
    }

    /// Client for the control nodes, whose configured addresses may be changed through it.
    pub fn control_client(&self) -> ControlClient {
        self.client.clone()
    }

    /// Whether the load balancer should send new callers to the relay.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Readiness check for the load balancer: 200 if the relay accepts new callers, 503 otherwise.
    pub fn ready_check(&self) -> impl salvo::Handler {
        ReadyCheck::new(self.shared.clone())
    }

    /// Shuts down gracefully: announces that the relay is leaving, waits for its open requests and
    /// stops it.
    pub async fn leave(mut self) {
        event!(events::RELAY_LEAVING);
        let drain_timeout = self
            .shared
            .settings
            .stop_timeout
            .saturating_sub(STOP_MARGIN);
        begin_stop(&self.shared, drain_timeout);
        let drain_delay = DRAIN_DELAY.min(drain_timeout);
        tokio::time::sleep(drain_delay).await;
        // Idle connections are closed now, the others after their response.
        self.server.stop_graceful(Some(drain_timeout - drain_delay));
        // The other tasks run on: accepted requests still need the directory, and streams that begin
        // now are continued at other relays, which need their origins.
        self.server_task.join_next().await;
        self.reporter.finish().await;
        self.tasks.shutdown().await;
        let _ = tokio::time::timeout(LINK_CLOSE_TIMEOUT, self.endpoint.close()).await;
        event!(events::RELAY_STOPPED);
    }
}
