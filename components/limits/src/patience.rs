//! What the time that a caller has left tells about its earlier attempts.

use std::time::Duration;

/// Divisor of a caller's remaining time that gives the `Retry-After` of a refusal. Callers wait at most
/// a third of that time before a retry.
const RETRY_AFTER_DIVISOR: u32 = 4;

/// Divisor of the timeout of a route that gives the wait from which a caller counts as refused before.
/// It is above [`RETRY_AFTER_DIVISOR`], since some callers give themselves less than the whole timeout.
const RETRIED_DIVISOR: u32 = 5;

/// Time that a caller has for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerPatience {
    /// Timeout of the route.
    pub timeout: Duration,
    /// Time that the caller has left, as it states.
    pub remaining: Duration,
}

impl CallerPatience {
    /// Time after which a caller beyond the share of its organisation may come back.
    pub fn retry_after(self) -> Duration {
        self.remaining / RETRY_AFTER_DIVISOR
    }

    /// Whether the caller was refused before and has missed its latency objective. A caller that has only
    /// less time than the timeout of its route is new.
    pub fn is_overdue(self, objective: Duration) -> bool {
        let missing = self.timeout.saturating_sub(self.remaining);
        missing > objective && missing >= self.timeout / RETRIED_DIVISOR
    }
}
