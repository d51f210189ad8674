//! Rate limit of requests to a cold target.

use std::time::Duration;

use units::{ClockTime, MilliRate};

use crate::limit::EntryPosition;

/// Spaces requests to a cold target evenly over time.
///
/// The rate limit is shared by all entries, so each entry uses an equal fraction of it. Any window
/// of one second then contains at most the limit plus one request per entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdPacer {
    next_send: ClockTime,
}

impl ColdPacer {
    /// Pacer of a target that is cold from `now` on.
    ///
    /// Entries often learn of the target together, so the first requests are spread like later ones.
    pub fn starting(rate: MilliRate, position: EntryPosition, now: ClockTime) -> Self {
        let interval = send_interval(rate, position.count);
        let delay = interval * position.rank.min(position.count) / position.count.max(1);
        Self {
            next_send: now + delay,
        }
    }

    /// Whether a request may be sent at `now`.
    pub fn is_open(&self, now: ClockTime) -> bool {
        now >= self.next_send
    }

    /// Records a sent request. `rate` is the limit of all `entries` together.
    pub fn record_request(&mut self, rate: MilliRate, entries: u32, now: ClockTime) {
        self.next_send = now + send_interval(rate, entries);
    }
}

/// Interval between the requests of one of `entries`, which have a rate together.
pub(crate) fn send_interval(rate: MilliRate, entries: u32) -> Duration {
    let entries = u64::from(entries.max(1));
    Duration::from_millis((entries * 1_000_000).div_ceil(rate.0.max(1)))
}
