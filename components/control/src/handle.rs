//! Start and end of a control node inside a process.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use board::StateBoard;
use directory::NodeDirectory;
use eyre::{Result, WrapErr, eyre};
use fair::{DemandHome, UsageHome};
use link::{KeyFiles, LinkEndpoint, LinkError, LinkIdentity};
use raft::NodeRole as RaftRole;
use telemetry::{event, events};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use units::{ClockSource, DiskId, Incarnation, NodeName, SystemClock};
use wire::NodeRole;

use crate::api::ControlApi;
use crate::driver::RaftDriver;
use crate::driver_event::DriverEvent;
use crate::health::{bind_health, serve_health};
use crate::peer_link::pass_directory;
use crate::peers::PeerTable;
use crate::server::serve;
use crate::settings::ControlSettings;
use crate::state::ControlContext;
use crate::status::{FleetStatus, fleet_status};

/// Time between two ticks of the Raft node.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Events that may wait for the driver.
const MAX_EVENTS: usize = 4_096;

/// Attempts to bind an address that is in use, 10 s together.
const BIND_ATTEMPTS: u32 = 200;

/// Time between two attempts to bind.
const BIND_DELAY: Duration = Duration::from_millis(50);

/// Longest wait for another leader at a planned stop.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// A running control node.
pub struct ControlHandle {
    context: ControlContext,
    endpoint: LinkEndpoint,
    tasks: JoinSet<()>,
    thread: Option<JoinHandle<()>>,
    ended: Option<oneshot::Receiver<Result<()>>>,
}

/// Starts a control node. It runs until the handle is stopped or dropped.
pub async fn start(settings: ControlSettings) -> Result<ControlHandle> {
    let files = KeyFiles::find(&settings.keys, NodeRole::Control, &settings.name);
    let identity = LinkIdentity::load(NodeRole::Control, &settings.name, &files)
        .wrap_err_with(|| format!("Failed to load the keys of {}", settings.name))?;
    let endpoint = bind(settings.listen, &identity).await?;
    start_on(settings, endpoint).await
}

/// Binds the address. A process or node that has just stopped may hold it for a moment longer.
async fn bind(address: SocketAddr, identity: &LinkIdentity) -> Result<LinkEndpoint> {
    for _ in 1..BIND_ATTEMPTS {
        match LinkEndpoint::bind(address, identity, Incarnation::starting_now()) {
            Err(LinkError::Bind { source, .. }) if source.kind() == ErrorKind::AddrInUse => {
                tokio::time::sleep(BIND_DELAY).await;
            }
            bound => return Ok(bound?),
        }
    }
    Ok(LinkEndpoint::bind(
        address,
        identity,
        Incarnation::starting_now(),
    )?)
}

/// Starts a control node on an endpoint that is bound already.
pub async fn start_on(settings: ControlSettings, endpoint: LinkEndpoint) -> Result<ControlHandle> {
    let settings = Arc::new(settings);
    let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::start());
    let peers = PeerTable::default();
    let (driver, events) = mpsc::channel(MAX_EVENTS);
    let address = Some(endpoint.address()).filter(|address| !address.ip().is_unspecified());
    let raft = RaftDriver::open(settings.clone(), clock.clone(), peers.clone(), address)?;
    let context = ControlContext {
        view: raft.view(),
        nodes: StateBoard::new(
            NodeDirectory::new(Incarnation::starting_now())
                .with_target_silence_timeout(settings.target_silence_timeout),
        ),
        usage: StateBoard::new(UsageHome::new()),
        demand: StateBoard::new(DemandHome::new()),
        driver,
        peers,
        clock,
        settings: settings.clone(),
    };
    let mut tasks = JoinSet::new();
    for (name, address) in &settings.peers {
        context.peers.add(&context, &endpoint, name, *address);
    }
    tasks.spawn(pass_directory(context.clone()));
    tasks.spawn(tick(context.driver.clone()));
    tasks.spawn(serve(context.clone(), endpoint.clone()));
    if let Some(address) = settings.http {
        let acceptor = bind_health(address).await?;
        tasks.spawn(serve_health(context.clone(), acceptor));
    }
    let (end, ended) = oneshot::channel();
    let thread = std::thread::Builder::new()
        .name(format!("raft-{}", settings.name))
        .spawn(move || {
            let result = raft.run(events);
            if let Err(error) = &result {
                event!(events::DRIVER_FAILED, error = ?error);
            }
            // The receiver is gone when the handle was dropped first.
            let _ = end.send(result);
        })
        .wrap_err("Failed to start the thread of the replicated log")?;
    event!(
        events::CONTROL_STARTED,
        name = settings.name,
        address = endpoint.address()
    );
    Ok(ControlHandle {
        context,
        endpoint,
        tasks,
        thread: Some(thread),
        ended: Some(ended),
    })
}

impl ControlHandle {
    /// Address for links.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.address()
    }

    /// Handle for an interface towards operators and targets.
    pub fn api(&self) -> ControlApi {
        ControlApi::new(self.context.clone(), self.endpoint.clone())
    }

    /// State of the fleet as this node sees it.
    pub fn status(&self) -> FleetStatus {
        let text = fleet_status(&self.context, true);
        serde_json::from_str(&text).expect("the report is JSON of this type")
    }

    /// Waits until this node's state fulfils a condition; it is checked at each change.
    pub async fn wait_until(&self, mut check: impl FnMut(&FleetStatus) -> bool) {
        let mut changes = self.context.view.changes();
        while !check(&self.status()) {
            // Presence and ages change without a write to the board.
            let _ = tokio::time::timeout(TICK_INTERVAL, changes.changed()).await;
        }
    }

    /// Waits until the node fails, for example because its disk does.
    pub async fn failed(&mut self) -> Result<()> {
        match self.ended.take() {
            Some(ended) => ended
                .await
                .unwrap_or_else(|_| Err(eyre!("the driver panicked"))),
            None => std::future::pending().await,
        }
    }

    /// Hands leadership to another node, and stops.
    pub async fn stop(mut self) {
        let view = &self.context.view;
        let leads = |status: &raft::NodeStatus| status.role == RaftRole::Leader;
        if view.read(|view| leads(&view.status))
            && self
                .context
                .driver
                .send(DriverEvent::Transfer)
                .await
                .is_ok()
        {
            let handed = view.wait_for(|view| (!leads(&view.status)).then_some(()));
            // Without another live voter there is nobody to hand it to.
            let _ = tokio::time::timeout(TRANSFER_TIMEOUT, handed).await;
        }
        self.kill().await;
        event!(events::CONTROL_STOPPED);
    }

    /// Stops at once, as a crash does, but for the sync of what was written.
    pub async fn kill(&mut self) {
        self.tasks.shutdown().await;
        self.context.peers.close();
        self.endpoint.close().await;
        let _ = self.context.driver.send(DriverEvent::Stop).await;
        if let Some(thread) = self.thread.take() {
            // The data folder may be opened again when the thread has ended.
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }

    /// Id of the data folder.
    pub fn disk_id(&self) -> DiskId {
        self.context.view.read(|view| view.announcement.id)
    }

    /// Name of the node.
    pub fn name(&self) -> &NodeName {
        &self.context.settings.name
    }
}

impl Drop for ControlHandle {
    fn drop(&mut self) {
        self.context.peers.close();
        // Ends the thread of a handle that was not stopped; a full queue ends with its senders.
        let _ = self.context.driver.try_send(DriverEvent::Stop);
    }
}

async fn tick(driver: mpsc::Sender<DriverEvent>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        if driver.send(DriverEvent::Tick).await.is_err() {
            return;
        }
    }
}
