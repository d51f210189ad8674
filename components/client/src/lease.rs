//! The lease of a node and the loop that renews it.

use std::sync::Arc;
use std::time::Duration;

use board::StateBoard;
use registry::ConfigError;
use telemetry::{event, events};
use thiserror::Error;
use units::{ClockSource, ClockTime, ConfigVersion, Incarnation};
use wire::{ControlReply, ControlRequest, DirectoryEntry, RenewReply, RenewRequest};

use crate::failover::{ClientError, ControlClient};
use crate::view::FleetView;

/// Time from the confirmation by a quorum to the end of the lease. With it, work stops within 3 s
/// of an order that a node did not receive (P4).
pub const LEASE_TIME: Duration = Duration::from_millis(2_500);

/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// End of a lease, which never moves back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseState {
    end: ClockTime,
    span: Duration,
}

impl Default for LeaseState {
    fn default() -> Self {
        Self::ending_at(ClockTime::default(), LEASE_TIME)
    }
}

impl LeaseState {
    /// A lease that ends at a time, and that each confirmation prolongs by a span.
    pub fn ending_at(end: ClockTime, span: Duration) -> Self {
        Self { end, span }
    }

    /// End of the lease.
    pub fn end(&self) -> ClockTime {
        self.end
    }

    /// Takes over a reply to the renewal that was sent at `sent`, and tells whether the lease grew.
    ///
    /// `age` is the time since the replying node was confirmed by a quorum. The reply counts only
    /// when the installed configuration is at least that of the reply.
    pub fn apply_renewal(
        &mut self,
        sent: ClockTime,
        age: Duration,
        version: ConfigVersion,
        installed: ConfigVersion,
    ) -> bool {
        // The age is subtracted last: subtracted from a sending time near the start of the clock it
        // would be cut off at zero, and the lease would be too long.
        let end = sent + self.span - age;
        if installed < version || end <= self.end {
            return false;
        }
        self.end = end;
        true
    }
}

impl FleetView {
    /// Installs a reply to the renewal that was sent at `sent`, and tells whether the lease grew.
    /// A configuration that cannot be installed leaves the lease as it is.
    pub fn apply_renewal(
        &mut self,
        sent: ClockTime,
        reply: RenewReply,
    ) -> Result<bool, ConfigError> {
        self.config.install(&reply.changes)?;
        if let Some(delta) = reply.directory {
            self.update_directory(delta);
        }
        let mut lease = LeaseState::ending_at(self.lease_end, self.lease_time);
        let age = Duration::from_millis(reply.age_ms);
        let grew = lease.apply_renewal(sent, age, reply.version, self.config.version);
        self.lease_end = lease.end();
        Ok(grew)
    }
}

/// Renews the lease of a node every 500 ms, for ever.
///
/// `node` gives the node as it wants to stand in the directory; its `config` field is filled in.
pub async fn keep_lease(
    client: ControlClient,
    board: StateBoard<FleetView>,
    clock: Arc<dyn ClockSource>,
    node: impl Fn() -> DirectoryEntry,
    wants_directory: bool,
) {
    let mut interval = tokio::time::interval(RENEW_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut report = LeaseReport::default();
    loop {
        interval.tick().await;
        report.look(&board, clock.now());
        // A failed renewal is repeated at once at the next control node; the lease tells the
        // node's controllers how long failures may last.
        let mut result = renew(&client, &board, &clock, node(), wants_directory).await;
        if result.is_err() {
            result = renew(&client, &board, &clock, node(), wants_directory).await;
        }
        report.renewed(&result);
        report.look(&board, clock.now());
    }
}

/// What was logged about the lease; only changes are.
#[derive(Debug, Default)]
struct LeaseReport {
    held: bool,
    failed: bool,
}

impl LeaseReport {
    /// Logs a lease that was gained or lost since the last look.
    fn look(&mut self, board: &StateBoard<FleetView>, now: ClockTime) {
        let (holds, version) = board.read(|view| (view.has_lease(now), view.config.version));
        match (self.held, holds) {
            (false, true) => event!(events::LEASE_HELD, version = version),
            (true, false) => event!(events::LEASE_LOST, version = version),
            _ => {}
        }
        self.held = holds;
    }

    /// Logs the first of several failed renewals.
    fn renewed(&mut self, result: &Result<(), RenewError>) {
        if let Err(error) = result
            && !self.failed
        {
            event!(events::RENEWAL_FAILED, error = error);
        }
        self.failed = result.is_err();
    }
}

/// Why a renewal gave no lease.
#[derive(Debug, Error)]
enum RenewError {
    /// No control node has answered.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The update of the reply cannot be installed; the next renewal names the installed version
    /// again.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Control does not accept the request.
    #[error("Failed to renew: control answered {0}")]
    Refused(String),
}

/// Renews the lease once.
async fn renew(
    client: &ControlClient,
    board: &StateBoard<FleetView>,
    clock: &Arc<dyn ClockSource>,
    mut node: DirectoryEntry,
    wants_directory: bool,
) -> Result<(), RenewError> {
    let (config, revision) = board.read(|view| (view.config.version, view.revision));
    node.config = config;
    // A revision of no control node asks for the whole directory.
    let directory = wants_directory.then(|| revision.unwrap_or((Incarnation(0), 0)));
    let request = ControlRequest::Renew(RenewRequest {
        node,
        config,
        directory,
    });
    let sent = clock.now();
    match client.request_once(&request).await? {
        ControlReply::Renewed(mut reply) => {
            client.set_learned_controls(std::mem::take(&mut reply.controls));
            board.write(|view| view.apply_renewal(sent, reply))?;
            Ok(())
        }
        reply => Err(RenewError::Refused(format!("{reply:?}"))),
    }
}
