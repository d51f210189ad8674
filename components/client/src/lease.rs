//! The lease of a node and the loop that renews it.

use std::sync::Arc;
use std::time::Duration;

use board::StateBoard;
use telemetry::{event, events};
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
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaseState {
    end: ClockTime,
}

impl LeaseState {
    /// A lease that ends at a time.
    pub fn until(end: ClockTime) -> Self {
        Self { end }
    }

    /// End of the lease.
    pub fn end(&self) -> ClockTime {
        self.end
    }

    /// Takes over a reply to the renewal that was sent at `sent`, and tells whether the lease grew.
    ///
    /// `age` is the time since the replying node was confirmed by a quorum. The reply counts only
    /// when the installed configuration is at least that of the reply.
    pub fn renewed(
        &mut self,
        sent: ClockTime,
        age: Duration,
        version: ConfigVersion,
        installed: ConfigVersion,
    ) -> bool {
        // The age is subtracted last: subtracted from a sending time near the start of the clock it
        // would be cut off at zero, and the lease would be too long.
        let end = sent + LEASE_TIME - age;
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
    pub fn renewed(
        &mut self,
        sent: ClockTime,
        reply: RenewReply,
    ) -> Result<bool, registry::ConfigError> {
        self.config.install(&reply.changes)?;
        if let Some(delta) = reply.directory {
            self.update_directory(delta);
        }
        let mut lease = LeaseState::until(self.lease_end);
        let age = Duration::from_millis(reply.age_ms);
        let grew = lease.renewed(sent, age, reply.version, self.config.version);
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
    let mut held = false;
    loop {
        interval.tick().await;
        held = log_lease(held, &board, clock.now());
        // A failed renewal is repeated at once at the next control node; the lease tells the
        // node's controllers how long failures may last.
        if renew(&client, &board, &clock, node(), wants_directory)
            .await
            .is_err()
        {
            let _ = renew(&client, &board, &clock, node(), wants_directory).await;
        }
        held = log_lease(held, &board, clock.now());
    }
}

/// Logs a lease that was gained or lost since the last look, and tells whether there is one.
fn log_lease(held: bool, board: &StateBoard<FleetView>, now: ClockTime) -> bool {
    let (holds, version) = board.read(|view| (view.has_lease(now), view.config.version));
    match (held, holds) {
        (false, true) => event!(events::LEASE_HELD, version = version),
        (true, false) => event!(events::LEASE_LOST, version = version),
        _ => {}
    }
    holds
}

/// Renews the lease once.
async fn renew(
    client: &ControlClient,
    board: &StateBoard<FleetView>,
    clock: &Arc<dyn ClockSource>,
    mut node: DirectoryEntry,
    wants_directory: bool,
) -> Result<(), ClientError> {
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
    if let ControlReply::Renewed(reply) = client.request_once(&request).await? {
        // An update that does not fit leaves the lease as it is; the next renewal names the
        // installed version again.
        let _ = board.write(|view| view.renewed(sent, reply));
    }
    Ok(())
}
