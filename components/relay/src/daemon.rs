//! Start and planned stop of a relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use board::StateBoard;
use cadence::StatsdClient;
use client::{ControlClient, FleetView, keep_lease};
use eyre::WrapErr;
use fair::ShareGate;
use link::{KeyFiles, LinkEndpoint, LinkIdentity};
use place::{PlacementSettings, PlacementTable, WaitQueue};
use salvo::server::ServerHandle;
use salvo::{Router, Server};
use telemetry::{event, events};
use tokio::task::JoinSet;
use units::{ClockSource, Incarnation, SystemClock};
use wire::NodeRole;

use crate::demand::{model_pool, report_demand};
use crate::dialect::CallerDialect;
use crate::follow::{follow_view, prune_pool, serve_queue};
use crate::http::{ReadyCheck, RelayHandler};
use crate::pool::TargetPool;
use crate::settings::RelaySettings;
use crate::state::{RelayShared, RelayState};

/// Time for which a target is passed over after a failed connection; an announcement that shows it
/// alive comes about once in this time.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Largest buffer of a caller's connection, in bytes. It must hold the head of a request; bodies are
/// read in parts. The default of 400 KiB came to more memory than small hosts have.
const MAX_BUFFER: usize = 32 << 10;

/// Time for which a leaving relay still accepts connections: the load balancer asks once a second
/// and takes it out after two failures.
const LEAVE_NOTICE: Duration = Duration::from_millis(2_500);

/// Part of the stop time that is kept for the end of the links, which may take a second, and of the
/// process itself.
const STOP_MARGIN: Duration = Duration::from_millis(1_200);

/// A running relay. Dropping it stops the relay at once.
pub struct RelayHandle {
    shared: RelayShared,
    endpoint: LinkEndpoint,
    client: ControlClient,
    http: SocketAddr,
    server: ServerHandle,
    tasks: JoinSet<()>,
}

/// What a process gives to its relay.
pub struct RelayParts {
    /// Border towards callers and targets.
    pub dialect: Arc<dyn CallerDialect>,
    /// Where metrics go.
    pub metrics: StatsdClient,
}

/// Starts a relay.
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
        avoid_time: AVOID_TIME,
    });
    let clock = Arc::new(SystemClock::start());
    let shared = RelayShared {
        board: StateBoard::new(RelayState {
            index: None,
            table,
            queue: WaitQueue::new(),
            waiting: Default::default(),
            gate: ShareGate::new(model_pool(), clock.now()),
            budgets: Default::default(),
            entries: 1,
            leaving: false,
        }),
        incarnation,
        view: StateBoard::new(FleetView::with_lease_time(settings.lease_time)),
        settings: Arc::new(settings),
        clock,
        address: endpoint.address(),
        dialect: parts.dialect,
        metrics: Arc::new(parts.metrics),
        pool: TargetPool::default(),
    };
    let mut tasks = JoinSet::new();
    let (http, server) = serve_http(&shared, &mut tasks).await?;
    tasks.spawn(follow_view(shared.clone()));
    tasks.spawn(serve_queue(shared.clone()));
    tasks.spawn(prune_pool(shared.clone()));
    tasks.spawn(report_demand(shared.clone(), client.clone()));
    let (view, clock, node) = (shared.view.clone(), shared.clock.clone(), shared.clone());
    let entry = move || node.directory_entry();
    tasks.spawn(keep_lease(client.clone(), view, clock, entry, true));
    event!(events::RELAY_STARTED, address = http);
    Ok(RelayHandle {
        shared,
        endpoint,
        client,
        http,
        server,
        tasks,
    })
}

async fn serve_http(
    shared: &RelayShared,
    tasks: &mut JoinSet<()>,
) -> eyre::Result<(SocketAddr, ServerHandle)> {
    let address = shared.settings.http;
    let acceptor = listener::listen(address)
        .await
        .wrap_err_with(|| format!("Failed to open the HTTP address {address}"))?;
    let address = acceptor
        .local_addr()
        .wrap_err("Failed to read the HTTP address")?;
    let router = Router::with_path("{**rest}").goal(RelayHandler::new(shared.clone()));
    let mut server = Server::new(acceptor);
    server.http1_mut().max_buf_size(MAX_BUFFER);
    let handle = server.handle();
    tasks.spawn(async move { server.serve(router).await });
    Ok((address, handle))
}

impl RelayHandle {
    /// Address for callers' HTTP.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Number of targets that the relay may send to.
    pub fn target_count(&self) -> usize {
        self.shared.board.read(|state| state.table.len())
    }

    /// Client for control nodes, whose configured addresses may change.
    pub fn control_client(&self) -> ControlClient {
        self.client.clone()
    }

    /// Handler that tells whether new callers should come.
    pub fn ready_check(&self) -> impl salvo::Handler {
        ReadyCheck::new(self.shared.clone())
    }

    /// Announces that the relay leaves, finishes its requests and stops.
    pub async fn leave(mut self) {
        event!(events::RELAY_LEAVING);
        self.shared.board.write(|state| state.leaving = true);
        let stop_timeout = self
            .shared
            .settings
            .stop_timeout
            .saturating_sub(STOP_MARGIN);
        let notice = LEAVE_NOTICE.min(stop_timeout);
        tokio::time::sleep(notice).await;
        // Connections without a request end now, the others with their answer.
        self.server.stop_graceful(Some(stop_timeout - notice));
        while let Some(ended) = self.tasks.join_next().await {
            // The HTTP server is the only task that ends by itself.
            if ended.is_ok() {
                break;
            }
        }
        self.endpoint.close().await;
        self.tasks.shutdown().await;
        event!(events::RELAY_STOPPED);
    }
}
