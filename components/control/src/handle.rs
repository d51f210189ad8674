//! Starts and stops a control node within a process.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use balance::LoadHome;
use board::StateBoard;
use cadence::StatsdClient;
use directory::{NodeDirectory, directory_source};
use eyre::{Result, WrapErr, eyre};
use fair::{DemandHome, UsageHome};
use link::{KeyFiles, LinkEndpoint, LinkError, LinkIdentity};
use quarantine::QuarantineHome;
use raft::NodeRole as RaftRole;
use store::{DiskFiles, SystemFiles};
use telemetry::{event, events};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::JoinSet;
use units::{ClockSource, DiskId, Incarnation, NodeName, SystemClock};
use wire::{HomeId, NodeRole, stable_hash};

use crate::api::ControlApi;
use crate::driver::{RaftDriver, WRITE_RETRY_DELAY, is_refused_write};
use crate::driver_event::DriverEvent;
use crate::health::{bind_health, serve_health};
use crate::origins::{JournalThread, OriginStore};
use crate::peer_lanes::FrameLane;
use crate::peer_link::{PeerFrame, build_announcement, replicate_directory};
use crate::peers::PeerTable;
use crate::quorum::{record_gauges, watch_quorum};
use crate::rollouts::{RolloutHomes, drive_rollouts, watch_rollouts};
use crate::server::serve;
use crate::settings::ControlSettings;
use crate::state::ControlContext;
use crate::status::{FleetStatus, fleet_status_json};
use crate::versions::remove_old_versions;

/// Interval between ticks of the Raft node.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Capacity of the driver's event queue.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// Maximum number of attempts to bind an address that is in use, 10 s in total.
const MAX_BIND_ATTEMPTS: u32 = 200;

/// Delay between attempts to bind.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout for the transfer of leadership at a planned stop.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for a learner to take the seat of a leaving voter. A new host needs about a second to
/// catch up; a planned stop must leave time for the other processes of the host.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between announcements while a voter waits for its successor.
const LEAVE_INTERVAL: Duration = Duration::from_millis(50);

/// Handle to a running control node.
pub struct ControlHandle {
    context: ControlContext,
    endpoint: LinkEndpoint,
    tasks: JoinSet<()>,
    driver_thread: Option<JoinHandle<()>>,
    driver_result: Option<oneshot::Receiver<Result<()>>>,
    journal_thread: Option<JournalThread>,
}

/// Starts a control node with the keys and the address in its settings. It runs until the handle is
/// stopped or dropped.
pub async fn start(settings: ControlSettings) -> Result<ControlHandle> {
    start_with_files(settings, Arc::new(SystemFiles)).await
}

/// Starts a control node like [`start`], with other operations on the files of its data folder.
pub async fn start_with_files(
    settings: ControlSettings,
    disk_files: Arc<dyn DiskFiles>,
) -> Result<ControlHandle> {
    let files = KeyFiles::find(&settings.keys, NodeRole::Control, &settings.name);
    let identity = LinkIdentity::load(NodeRole::Control, &settings.name, &files)
        .wrap_err_with(|| format!("Failed to load the keys of {}", settings.name))?;
    let endpoint = bind(settings.listen, &identity).await?;
    start_on_files(settings, endpoint, disk_files).await
}

/// Binds the address. Retries while it is in use, because a process or node that has just stopped
/// may hold it a little longer.
async fn bind(address: SocketAddr, identity: &LinkIdentity) -> Result<LinkEndpoint> {
    for _ in 1..MAX_BIND_ATTEMPTS {
        match LinkEndpoint::bind(address, identity, Incarnation::starting_now()) {
            Err(LinkError::Bind { source, .. }) if source.kind() == ErrorKind::AddrInUse => {
                tokio::time::sleep(BIND_RETRY_DELAY).await;
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

/// Starts a control node on an endpoint that is already bound.
pub async fn start_on(settings: ControlSettings, endpoint: LinkEndpoint) -> Result<ControlHandle> {
    start_on_files(settings, endpoint, Arc::new(SystemFiles)).await
}

/// Starts a control node like [`start_on`], with other operations on the files of its data folder.
pub async fn start_on_files(
    settings: ControlSettings,
    endpoint: LinkEndpoint,
    files: Arc<dyn DiskFiles>,
) -> Result<ControlHandle> {
    let settings = Arc::new(settings);
    let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::start());
    let peers = PeerTable::default();
    let (driver, events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let address = Some(endpoint.address()).filter(|address| !address.ip().is_unspecified());
    let open = || {
        let (settings, files) = (settings.clone(), files.clone());
        RaftDriver::open(settings, files, clock.clone(), peers.clone(), address)
    };
    let raft = open_with_room(open, clock.as_ref()).await?;
    let (origins, journal_thread) = OriginStore::open(files, &settings.data, clock.clone());
    let context = ControlContext {
        view: raft.view(),
        nodes: StateBoard::new(
            NodeDirectory::new(directory_source(
                &settings.name,
                Incarnation::starting_now(),
            ))
            .with_target_silence_timeout(settings.target_silence_timeout),
        ),
        usage: StateBoard::new(UsageHome::new()),
        demand: StateBoard::new(DemandHome::new()),
        rollouts: StateBoard::new(RolloutHomes::default()),
        rollout_due: Arc::new(Notify::new()),
        origins,
        quarantine: StateBoard::new(QuarantineHome::new(home_id(&settings.name))),
        loads: StateBoard::new(LoadHome::new(home_id(&settings.name))),
        driver,
        peers,
        clock,
        settings: settings.clone(),
    };
    let mut tasks = JoinSet::new();
    for (name, address) in &settings.peers {
        context.peers.add(&context, &endpoint, name, *address);
    }
    tasks.spawn(replicate_directory(context.clone()));
    tasks.spawn(remove_old_versions(context.clone()));
    tasks.spawn(drive_rollouts(context.clone()));
    tasks.spawn(watch_rollouts(context.clone()));
    tasks.spawn(send_ticks(context.driver.clone()));
    tasks.spawn(watch_quorum(context.clone()));
    tasks.spawn(serve(context.clone(), endpoint.clone()));
    if let Some(address) = settings.http {
        let acceptor = bind_health(address).await?;
        tasks.spawn(serve_health(context.clone(), acceptor));
    }
    let (result_sender, driver_result) = oneshot::channel();
    let driver_thread = std::thread::Builder::new()
        .name(format!("raft-{}", settings.name))
        .spawn(move || {
            let result = raft.run(events);
            if let Err(error) = &result {
                event!(events::DRIVER_FAILED, error = ?error);
            }
            // The receiver is dropped if the handle was dropped before the thread ended.
            let _ = result_sender.send(result);
        })
        .wrap_err("Failed to start the driver thread of the replicated log")?;
    event!(
        events::CONTROL_STARTED,
        name = settings.name,
        address = endpoint.address()
    );
    Ok(ControlHandle {
        context,
        endpoint,
        tasks,
        driver_thread: Some(driver_thread),
        driver_result: Some(driver_result),
        journal_thread: Some(journal_thread),
    })
}

/// Opens the data folder. Waits while its disk refuses writes: nobody may start the process again.
async fn open_with_room(
    open: impl Fn() -> Result<RaftDriver>,
    clock: &dyn ClockSource,
) -> Result<RaftDriver> {
    let started_at = clock.now();
    let mut is_refused = false;
    loop {
        let refused_ms = clock.now().since(started_at).as_millis();
        match open() {
            Err(error) if is_refused_write(&error) => {
                if !std::mem::replace(&mut is_refused, true) {
                    event!(events::DISK_REFUSED, error = ?error, refused_ms = refused_ms);
                }
                tokio::time::sleep(WRITE_RETRY_DELAY).await;
            }
            opened => {
                if is_refused && opened.is_ok() {
                    event!(events::DISK_WRITABLE, refused_ms = refused_ms);
                }
                return opened;
            }
        }
    }
}

/// Id that differs between control nodes that start in the same millisecond.
fn home_id(name: &NodeName) -> HomeId {
    let started_at = Incarnation::starting_now().0.to_le_bytes();
    HomeId(stable_hash(&[name.as_str().as_bytes(), &started_at]))
}

impl ControlHandle {
    /// Address for links.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.address()
    }

    /// API handle for an adapter in the same process.
    pub fn api(&self) -> ControlApi {
        ControlApi::new(self.context.clone(), self.endpoint.clone())
    }

    /// Starts to record the gauges of the group, for example the number of voters that are present.
    pub fn record_metrics(&mut self, metrics: StatsdClient) {
        self.tasks
            .spawn(record_gauges(self.context.clone(), metrics));
    }

    /// Status of the fleet as seen by this node, without a read barrier.
    pub fn status(&self) -> FleetStatus {
        let text = fleet_status_json(&self.context, true);
        serde_json::from_str(&text).expect("the fleet status can be read back from its own JSON")
    }

    /// Waits until the status of this node meets a condition. The condition is checked at each
    /// change and at least once per tick interval.
    pub async fn wait_until(&self, mut check: impl FnMut(&FleetStatus) -> bool) {
        let mut changes = self.context.view.changes();
        while !check(&self.status()) {
            // The presence of nodes and ages change with time, without a write to the board.
            let _ = tokio::time::timeout(TICK_INTERVAL, changes.changed()).await;
        }
    }

    /// Waits until the driver ends and returns its result, for example a disk error. Later calls
    /// never return.
    pub async fn failed(&mut self) -> Result<()> {
        match self.driver_result.take() {
            Some(driver_result) => driver_result
                .await
                .unwrap_or_else(|_| Err(eyre!("Failed to run the driver: its thread panicked"))),
            None => std::future::pending().await,
        }
    }

    /// Transfers leadership to another node if this one is the leader, then stops.
    pub async fn stop(mut self) {
        let view = self.context.view.clone();
        let is_leader = |status: &raft::NodeStatus| status.role == RaftRole::Leader;
        if view.read(|view| is_leader(&view.status))
            && self
                .context
                .driver
                .send(DriverEvent::TransferLeadership)
                .await
                .is_ok()
        {
            let transferred = view.wait_for(|view| (!is_leader(&view.status)).then_some(()));
            // The transfer times out if there is no other live voter.
            let _ = tokio::time::timeout(TRANSFER_TIMEOUT, transferred).await;
        }
        self.hand_over_seat().await;
        self.kill().await;
        event!(events::CONTROL_STOPPED);
    }

    /// Waits until a learner has taken the seat of this voter, if one stands by. Without that, the
    /// group would notice the loss only after a time of silence, and could not bear another one.
    async fn hand_over_seat(&self) {
        let view = &self.context.view;
        let now = self.context.clock.now();
        if !view.read(|view| view.has_successor(now))
            || self.context.driver.send(DriverEvent::Leave).await.is_err()
        {
            return;
        }
        let leaving = async {
            view.wait_for(|view| view.announcement.is_leaving.then_some(()))
                .await;
            let mut interval = tokio::time::interval(LEAVE_INTERVAL);
            while !view.read(|view| view.has_left) {
                interval.tick().await;
                let announcement = PeerFrame::Announce(build_announcement(&self.context));
                self.context
                    .peers
                    .broadcast(FrameLane::Urgent, &announcement);
            }
        };
        // Without a learner that catches up in time, the node stops as before a restart.
        let _ = tokio::time::timeout(LEAVE_TIMEOUT, leaving).await;
    }

    /// Stops immediately without a transfer of leadership, as in a crash, except that pending
    /// writes are synced.
    pub async fn kill(&mut self) {
        self.tasks.shutdown().await;
        self.context.peers.close();
        self.endpoint.close().await;
        let _ = self.context.driver.send(DriverEvent::Stop).await;
        if let Some(driver_thread) = self.driver_thread.take() {
            // The data folder can be reopened only after the thread has ended.
            let _ = tokio::task::spawn_blocking(move || driver_thread.join()).await;
        }
        if let Some(journal_thread) = self.journal_thread.take() {
            journal_thread.stop().await;
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
        // Ends the driver thread if the handle was not stopped. If the queue is full, the thread
        // ends once all senders have been dropped.
        let _ = self.context.driver.try_send(DriverEvent::Stop);
    }
}

async fn send_ticks(driver: mpsc::Sender<DriverEvent>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        if driver.send(DriverEvent::Tick).await.is_err() {
            return;
        }
    }
}
