//! Start and planned stop of an entry.

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
use crate::{http, links, upkeep};

/// Time for which a leaving entry still answers new connections with a refusal, so that the load
/// balancer sees the failing readiness check before connections are refused.
const LEAVE_NOTICE: Duration = Duration::from_secs(1);

/// Longest time that a leaving entry waits for its requests.
const LEAVE_LIMIT: Duration = Duration::from_secs(600);

/// What a test or an all-in-one process gives to an entry.
pub struct EntryParts {
    /// The node's view of the fleet. With `None` the entry keeps its own lease with control.
    pub view: Option<StateBoard<FleetView>>,
    /// Records of calls that may not be repeated; control's by default.
    pub recorder: Option<Arc<dyn CallRecorder>>,
    /// Clock of the leases in the view.
    pub clock: Arc<dyn ClockSource>,
    /// Where metrics go.
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

/// A running entry. Dropping it stops the entry at once.
pub struct EntryHandle {
    shared: EntryShared,
    http: SocketAddr,
    server: ServerHandle,
    tasks: JoinSet<()>,
}

impl EntryHandle {
    /// Address for callers' HTTP.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Address from which the entry opens links.
    pub fn address(&self) -> SocketAddr {
        self.shared.endpoint.address()
    }

    /// The entry as it stands in the directory.
    pub fn directory_entry(&self) -> wire::DirectoryEntry {
        self.shared.directory_entry()
    }

    /// Announces that the entry leaves, finishes its requests and stops.
    pub async fn leave(mut self) {
        telemetry::event!(telemetry::events::ENTRY_LEAVING);
        self.shared.board.write(|state| state.leaving = true);
        let finished = async {
            tokio::time::sleep(LEAVE_NOTICE).await;
            self.shared
                .board
                .wait_for(|state| (state.open_requests == 0).then_some(()))
                .await;
        };
        let _ = tokio::time::timeout(LEAVE_LIMIT, finished).await;
        self.server.stop_graceful(Some(LEAVE_LIMIT));
        while let Some(ended) = self.tasks.join_next().await {
            // The HTTP server is the only task that ends by itself.
            if ended.is_ok() {
                break;
            }
        }
        self.shared.endpoint.close().await;
        self.tasks.shutdown().await;
        telemetry::event!(telemetry::events::ENTRY_STOPPED);
    }

    /// Stops the entry at once, as a crash would.
    pub async fn kill(mut self) {
        self.shared.endpoint.close().await;
        self.tasks.shutdown().await;
    }
}

/// Starts an entry.
pub async fn start(settings: EntrySettings) -> eyre::Result<EntryHandle> {
    start_with(settings, EntryParts::default()).await
}

/// Starts an entry with given parts.
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
    let (http, server) = serve_http(&shared, &mut tasks).await?;
    tasks.spawn(links::open_links(shared.clone()));
    tasks.spawn(upkeep::tick_book(shared.clone()));
    tasks.spawn(upkeep::update_agents(shared.clone()));
    tasks.spawn(links::refuse_links(shared.clone()));
    if parts.view.is_none() {
        let (view, clock, node) = (shared.view.clone(), shared.clock.clone(), shared.clone());
        let entry = move || node.directory_entry();
        tasks.spawn(keep_lease(client, view, clock, entry, true));
    }
    telemetry::event!(telemetry::events::ENTRY_STARTED, address = http);
    Ok(EntryHandle {
        shared,
        http,
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
