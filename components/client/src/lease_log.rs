//! Log lines of a node's lease, which tell why it was not renewed.

use std::fmt;

use board::StateBoard;
use telemetry::{event, events};
use units::{ClockTime, error_chain};

use crate::failover::ClientError;
use crate::lease::RenewError;
use crate::view::FleetView;

/// Reason why a lease is not renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RenewalCause {
    /// No control node answered.
    NotReached,
    /// A control node answered that it has no quorum.
    NoQuorum,
    /// A part of a reply arrived, and the rest did not arrive in time.
    TransferIncomplete,
    /// The reply was refused, or its configuration could not be installed.
    Refused,
    /// The reply arrived after the end of the lease that it grants.
    ReplyLate,
}

impl RenewalCause {
    fn of_error(error: &RenewError) -> Self {
        match error {
            RenewError::Client(ClientError::NoQuorum { .. }) => Self::NoQuorum,
            RenewError::Client(ClientError::Unanswered { parts: 1.., .. }) => {
                Self::TransferIncomplete
            }
            RenewError::Client(_) => Self::NotReached,
            RenewError::Config(_) | RenewError::Refused(_) => Self::Refused,
        }
    }
}

impl fmt::Display for RenewalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotReached => "not-reached",
            Self::NoQuorum => "no-quorum",
            Self::TransferIncomplete => "transfer-incomplete",
            Self::Refused => "refused",
            Self::ReplyLate => "reply-late",
        })
    }
}

/// Failures since the last answered renewal.
#[derive(Debug, Default)]
struct RenewalFailures {
    not_reached: u32,
    no_quorum: u32,
    transfer_incomplete: u32,
    last: Option<(RenewalCause, String)>,
}

/// Logs changes of the lease and the first of consecutive renewal failures.
#[derive(Debug, Default)]
pub(crate) struct LeaseLogger {
    had_lease: bool,
    has_failed: bool,
    failures: RenewalFailures,
    /// Time of the last answered renewal.
    answered_at: Option<ClockTime>,
    /// Size of the last update of the configuration, in bytes.
    update_bytes: usize,
}

impl LeaseLogger {
    /// Records the result of an attempt to renew: the size of the installed update.
    pub(crate) fn record(&mut self, result: &Result<usize, RenewError>, now: ClockTime) {
        match result {
            Ok(update_bytes) => {
                self.failures = RenewalFailures::default();
                self.answered_at = Some(now);
                if *update_bytes > 0 {
                    self.update_bytes = *update_bytes;
                }
            }
            Err(error) => {
                let cause = RenewalCause::of_error(error);
                let failures = &mut self.failures;
                match cause {
                    RenewalCause::NotReached => failures.not_reached += 1,
                    RenewalCause::NoQuorum => failures.no_quorum += 1,
                    RenewalCause::TransferIncomplete => failures.transfer_incomplete += 1,
                    RenewalCause::Refused | RenewalCause::ReplyLate => {}
                }
                failures.last = Some((cause, error_chain(error)));
            }
        }
    }

    /// Logs a lease that was gained or lost since the last call.
    pub(crate) fn log_lease_change(&mut self, board: &StateBoard<FleetView>, now: ClockTime) {
        let (has_lease, version) = board.read(|view| (view.has_lease(now), view.config.version));
        match (self.had_lease, has_lease) {
            (false, true) => event!(events::LEASE_HELD, version = version),
            (true, false) => {
                let last = self.failures.last.as_ref();
                event!(
                    events::LEASE_LOST,
                    version = version,
                    cause = last.map_or(RenewalCause::ReplyLate, |(cause, _)| *cause),
                    error = ?last.map(|(_, error)| error),
                    not_reached = self.failures.not_reached,
                    no_quorum = self.failures.no_quorum,
                    transfer_incomplete = self.failures.transfer_incomplete,
                    answered_ms_ago = ?self.since_answer_ms(now),
                    update_bytes = self.update_bytes
                );
            }
            _ => {}
        }
        self.had_lease = has_lease;
    }

    /// Logs a failed renewal, unless the previous one failed too.
    pub(crate) fn log_first_failure(&mut self, result: &Result<usize, RenewError>, now: ClockTime) {
        if let Err(error) = result
            && !self.has_failed
        {
            event!(
                events::RENEWAL_FAILED,
                cause = RenewalCause::of_error(error),
                error = error_chain(error),
                answered_ms_ago = ?self.since_answer_ms(now),
                update_bytes = self.update_bytes
            );
        }
        self.has_failed = result.is_err();
    }

    fn since_answer_ms(&self, now: ClockTime) -> Option<u128> {
        let since = self.answered_at.map(|answered_at| now.since(answered_at));
        since.map(|since| since.as_millis())
    }
}
