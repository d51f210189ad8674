//! Lease of a node, and its periodic renewal.

use std::sync::Arc;
use std::time::Duration;

use board::StateBoard;
use registry::ConfigError;
use thiserror::Error;
use units::{ClockSource, ClockTime, ConfigVersion, Incarnation};
use wire::{ControlReply, ControlRequest, DirectoryEntry, RenewReply, RenewRequest};

use crate::failover::{ClientError, ControlClient};
use crate::lease_log::LeaseLogger;
use crate::view::FleetView;

/// Time from the confirmation by a quorum to the end of the lease. It ensures that a node stops its
/// work within 3 s of an order that it does not receive (requirement P4).
pub const LEASE_TIME: Duration = Duration::from_millis(2_500);

/// Interval between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Lease whose end only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseState {
    end: ClockTime,
    duration: Duration,
}

impl Default for LeaseState {
    fn default() -> Self {
        Self::ending_at(ClockTime::default(), LEASE_TIME)
    }
}

impl LeaseState {
    /// Creates a lease that ends at `end`. Renewals extend it to `duration` after the confirmation
    /// by a quorum.
    pub fn ending_at(end: ClockTime, duration: Duration) -> Self {
        Self { end, duration }
    }

    /// Time at which the lease ends.
    pub fn end(&self) -> ClockTime {
        self.end
    }

    /// Applies the reply to a renewal sent at `sent`, and returns whether the lease was extended.
    ///
    /// `age` is the time since a quorum confirmed the replying node. The reply is ignored if the
    /// `installed` configuration is older than the `version` of the reply.
    pub fn apply_renewal(
        &mut self,
        sent: ClockTime,
        age: Duration,
        version: ConfigVersion,
        installed: ConfigVersion,
    ) -> bool {
        // `ClockTime` saturates at zero. Subtracting the age first would saturate when the request
        // was sent shortly after the start of the clock, and the lease would be too long.
        let end = sent + self.duration - age;
        if installed < version || end <= self.end {
            return false;
        }
        self.end = end;
        true
    }
}

impl FleetView {
    /// Installs the reply to a renewal sent at `sent`, and returns whether the lease was extended.
    /// The lease stays unchanged if the configuration cannot be installed.
    pub fn apply_renewal(
        &mut self,
        sent: ClockTime,
        reply: RenewReply,
    ) -> Result<bool, ConfigError> {
        self.config.install(&reply.changes)?;
        if let Some(delta) = reply.directory {
            self.update_directory(delta, sent);
        }
        let mut lease = LeaseState::ending_at(self.lease_end, self.lease_time);
        let age = Duration::from_millis(reply.age_ms);
        let is_extended = lease.apply_renewal(sent, age, reply.version, self.config.version);
        self.lease_end = lease.end();
        Ok(is_extended)
    }
}

/// Renews the lease of a node every 500 ms and never returns.
///
/// `node` returns the directory entry of the node, of which this function sets the `config` field.
pub async fn keep_lease(
    client: ControlClient,
    board: StateBoard<FleetView>,
    clock: Arc<dyn ClockSource>,
    node: impl Fn() -> DirectoryEntry,
    wants_directory: bool,
) {
    let mut interval = tokio::time::interval(RENEW_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut logger = LeaseLogger::default();
    loop {
        interval.tick().await;
        logger.log_lease_change(&board, clock.now());
        // A failed renewal is retried once, immediately, at the next control node. A second failure
        // is only logged: the node's tasks stop new work when the lease ends.
        let mut result = renew(&client, &board, &clock, node(), wants_directory).await;
        logger.record(&result, clock.now());
        if result.is_err() {
            result = renew(&client, &board, &clock, node(), wants_directory).await;
            logger.record(&result, clock.now());
        }
        logger.log_first_failure(&result, clock.now());
        logger.log_lease_change(&board, clock.now());
    }
}

/// Error of a renewal.
#[derive(Debug, Error)]
pub(crate) enum RenewError {
    /// No control node answered the request with a quorum.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The configuration changes of the reply cannot be installed. The next renewal requests them
    /// again.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The control node sent a reply of another kind.
    #[error("Failed to renew the lease: unexpected reply from the control node: {0}")]
    Refused(String),
}

/// Sends one renewal and installs its reply. A reply without a quorum extends no lease, but its
/// changes are committed and are installed too. Returns the size of the installed changes.
async fn renew(
    client: &ControlClient,
    board: &StateBoard<FleetView>,
    clock: &Arc<dyn ClockSource>,
    mut node: DirectoryEntry,
    wants_directory: bool,
) -> Result<usize, RenewError> {
    let (config, revision) = board.read(|view| (view.config.version, view.requested_revision()));
    node.config = config;
    // No control node has incarnation 0, so this revision requests the complete directory.
    let directory = wants_directory.then(|| revision.unwrap_or((Incarnation(0), 0)));
    let request = ControlRequest::Renew(RenewRequest {
        node,
        config,
        directory,
    });
    let sent = clock.now();
    let reply = client.request_once(&request).await;
    if let Err(ClientError::NoQuorum { changes, .. }) = &reply
        && !changes.is_empty()
    {
        board.write(|view| view.config.install(changes))?;
    }
    match reply? {
        ControlReply::Renewed(mut reply) => {
            client.set_learned_controls(std::mem::take(&mut reply.controls));
            let update_bytes = reply.changes.len();
            board.write(|view| view.apply_renewal(sent, reply))?;
            Ok(update_bytes)
        }
        reply => Err(RenewError::Refused(format!("{reply:?}"))),
    }
}
