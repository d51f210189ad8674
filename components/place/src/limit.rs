//! Rate limit that a target states in its responses.

use std::time::Duration;

use units::{ClockTime, MilliRate};

use crate::pace::send_interval;

/// Lowest rate of requests of all entries together to a target with a limit. A target that gets no
/// request cannot state that its limit has ended.
const MIN_RATE: MilliRate = MilliRate(500);

/// Time for which a request that the limit allows is reserved for a large one. No capacity may stay
/// idle while work waits.
const RESERVE_TIME: Duration = Duration::from_millis(1_000);

/// Position of this entry among all entries that send requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryPosition {
    /// Number of entries with lower names.
    pub rank: u32,
    /// Number of entries.
    pub count: u32,
}

/// Change of the limit that a target states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// The target states a limit.
    Started,
    /// The target takes full load again.
    Ended,
}

impl EntryPosition {
    /// Position of the only entry.
    pub const SINGLE: Self = Self { rank: 0, count: 1 };
}

/// Time of the first request of an entry, spread over the interval.
fn first_send(rate: MilliRate, position: EntryPosition, now: ClockTime) -> ClockTime {
    let count = position.count.max(1);
    let interval = send_interval(rate, count);
    now + interval * (position.rank.min(count - 1) + 1) / count
}

/// This entry's part of a limit for all entries.
///
/// Each entry sends a request in each interval in which all together may send one for each of them.
/// The first ones are spread over the interval: entries learn of the limit at almost the same time,
/// and a hundred requests at once exceed a limit of a few per second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StatedLimit {
    rate: MilliRate,
    /// Time at which the target last stated the limit.
    stated_at: ClockTime,
    opens_at: ClockTime,
}

impl StatedLimit {
    pub(crate) fn new(rate: MilliRate, position: EntryPosition, now: ClockTime) -> Self {
        let rate = rate.max(MIN_RATE);
        Self {
            rate,
            stated_at: now,
            opens_at: first_send(rate, position, now),
        }
    }

    /// Spreads the next request by a new position.
    pub(crate) fn restart(&mut self, position: EntryPosition, now: ClockTime) {
        self.opens_at = first_send(self.rate, position, now);
    }

    /// Updates the limit after a response that states it. No wait is longer than an interval of the new
    /// rate: after a rate that is no limit in effect, scaling the rounded wait would end far in the future.
    pub(crate) fn update(&mut self, rate: MilliRate, entries: u32, now: ClockTime) {
        let rate = rate.max(MIN_RATE);
        let wait = self.opens_at.since(now).as_millis() as u64;
        let scaled = Duration::from_millis(wait.saturating_mul(self.rate.0) / rate.0);
        self.opens_at = now + scaled.min(send_interval(rate, entries));
        self.rate = rate;
        self.stated_at = now;
    }

    /// Whether a response without a limit ends it. A response to a request from before the limit was
    /// stated may be older than the limit.
    pub(crate) fn is_ended_by(&self, sent_at: ClockTime) -> bool {
        sent_at >= self.stated_at
    }

    /// Time at which the next request may be sent.
    pub(crate) fn opens_at(&self) -> ClockTime {
        self.opens_at
    }

    /// Whether the next request is reserved for a large one.
    pub(crate) fn is_reserved(&self, now: ClockTime) -> bool {
        now < self.opens_at + RESERVE_TIME
    }

    /// Records a sent request.
    pub(crate) fn record_request(&mut self, position: EntryPosition, now: ClockTime) {
        self.opens_at = now + send_interval(self.rate, position.count);
    }
}
