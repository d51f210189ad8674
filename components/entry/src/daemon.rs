//! Start and graceful shutdown of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use board::StateBoard;
use cadence::{NopMetricSink, StatsdClient};
use client::{ControlClient, FleetView, keep_lease};
use eyre::WrapErr;
use link::{KeyFiles, LinkEndpoint, LinkIdentity};
use salvo::Server;
use salvo::server::ServerHandle;
use tokio::task::JoinSet;
use units::{ClockSource, Incarnation, SystemClock};
use wire::NodeRole;

use crate::recorder::{CallRecorder, ControlRecorder};
use crate::settings::EntrySettings;
use crate::state::{EntryShared, EntryState};
use crate::{crashes, http, links, upkeep};

/// Time for which a leaving entry still accepts connections and answers requests with a refusal.
/// The load balancer needs it to see the failing readiness check before connections are rejected.
const DRAIN_DELAY: Duration = Duration::from_secs(1);

/// Maximum time that a leaving entry waits for its open requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// Dependencies of an entry that a test or an all-in-one process may replace.
pub struct EntryParts {
    /// View of the fleet, kept up to date by the owner. With `None`, the entry renews its own lease
    /// with control and updates its own view.
    pub view: Option<StateBoard<FleetView>>,
    /// Recorder of calls that may not be repeated. [`ControlRecorder`] by default.
    pub recorder: Option<Arc<dyn CallRecorder>>,
    /// Clock that measures the lease in the view.
    pub clock: Arc<dyn ClockSource>,
    /// Client that metrics are sent through.
    pub metrics: StatsdClient,
}

impl Default for EntryParts {
    fn default() -> Self {
        Self {
            view: None,
            recorder: None,
            clock: Arc::new(SystemClock::start()),
            metrics: StatsdClient::from_sink("bilberry.entry", NopMetricSink),
        }
    }
}

/// Handle of a running entry. Dropping it stops the entry immediately.
pub struct EntryHandle {
    shared: EntryShared,
    http_address: SocketAddr,
    server: ServerHandle,
    tasks: JoinSet<()>,
}

impl EntryHandle {
    /// Address on which callers' HTTP is served.
    pub fn http(&self) -> SocketAddr {
        self.http_address
    }

    /// Local address of the links to agents and control nodes.
    pub fn address(&self) -> SocketAddr {
        self.shared.endpoint.address()
    }

    /// Current directory entry of the entry.
    pub fn directory_entry(&self) -> wire::DirectoryEntry {
        self.shared.directory_entry()
    }

    /// Shuts down gracefully: announces that the entry is leaving, waits for its open requests and
    /// stops it.
    pub async fn leave(mut self) {
        telemetry::event!(telemetry::events::ENTRY_LEAVING);
        self.shared.board.write(|state| state.is_leaving = true);
        let wait_for_requests = async {
            tokio::time::sleep(DRAIN_DELAY).await;
            self.shared
                .board
                .wait_for(|state| (state.open_requests == 0).then_some(()))
                .await;
        };
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, wait_for_requests).await;
        self.server.stop_graceful(Some(DRAIN_TIMEOUT));
        while let Some(result) = self.tasks.join_next().await {
            // Only the task of the HTTP server returns; the others run until they are aborted.
            if result.is_ok() {
                break;
            }
        }
        self.shared.endpoint.close().await;
        self.tasks.shutdown().await;
        telemetry::event!(telemetry::events::ENTRY_STOPPED);
    }

    /// Stops the entry immediately, without announcement, as a crash would.
    pub async fn kill(mut self) {
        self.shared.endpoint.close().await;
        self.tasks.shutdown().await;
    }
}

/// Starts an entry with the default [`EntryParts`].
///
/// Fails if the keys cannot be loaded or an address cannot be bound.
pub async fn start(settings: EntrySettings) -> eyre::Result<EntryHandle> {
    start_with(settings, EntryParts::default()).await
}

/// Starts an entry with the given dependencies. Fails in the same cases as [`start`].
pub async fn start_with(settings: EntrySettings, parts: EntryParts) -> eyre::Result<EntryHandle> {
    let incarnation = Incarnation::starting_now();
    let files = KeyFiles::in_folder(&settings.keys, NodeRole::Entry, &settings.name);
    let identity = LinkIdentity::load(NodeRole::Entry, &settings.name, &files)
        .wrap_err("Failed to load the keys of the entry")?;
    let endpoint = LinkEndpoint::bind(settings.listen, &identity, incarnation)
        .wrap_err("Failed to open the link address")?;
    let client = ControlClient::new(endpoint.clone(), settings.controls.clone());
    let recorder = parts
        .recorder
        .unwrap_or_else(|| Arc::new(ControlRecorder::new(client.clone())));
    let shared = EntryShared {
        board: StateBoard::new(EntryState::new(&settings)),
        settings: Arc::new(settings),
        incarnation,
        view: parts
            .view
            .clone()
            .unwrap_or_else(|| StateBoard::new(FleetView::default())),
        clock: parts.clock,
        endpoint,
        recorder,
        metrics: Arc::new(parts.metrics),
    };
    let mut tasks = JoinSet::new();
    let (http_address, server) = serve_http(&shared, &mut tasks).await?;
    tasks.spawn(links::open_links(shared.clone()));
    tasks.spawn(upkeep::tick_book(shared.clone()));
    tasks.spawn(upkeep::update_agents(shared.clone()));
    tasks.spawn(links::refuse_links(shared.clone()));
    tasks.spawn(crashes::report_crashes(shared.clone(), client.clone()));
    if parts.view.is_none() {
        let (view, clock, node) = (shared.view.clone(), shared.clock.clone(), shared.clone());
        let directory_entry = move || node.directory_entry();
        tasks.spawn(keep_lease(client, view, clock, directory_entry, true));
    }
    telemetry::event!(telemetry::events::ENTRY_STARTED, address = http_address);
    Ok(EntryHandle {
        shared,
        http_address,
        server,
        tasks,
    })
}

async fn serve_http(
    shared: &EntryShared,
    tasks: &mut JoinSet<()>,
) -> eyre::Result<(SocketAddr, ServerHandle)> {
    let acceptor = listener::listen(shared.settings.http)
        .await
        .wrap_err_with(|| format!("Failed to open the HTTP address {}", shared.settings.http))?;
    let address = acceptor
        .local_addr()
        .wrap_err("Failed to read the HTTP address")?;
    let routes = http::routes(shared.clone());
    let server = Server::new(acceptor);
    let handle = server.handle();
    tasks.spawn(async move { server.serve(routes).await });
    Ok((address, handle))
}
