//! Pace of requests to a cold target.

use std::time::Duration;

use units::{ClockTime, MilliRate};

/// Spreads requests to a cold target over time.
///
/// The bound holds over all entries, so each one uses its part of it and leaves even intervals. A
/// window of one second then never holds more than the bound and one request for each entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdPacer {
    next: ClockTime,
}

impl ColdPacer {
    /// Whether a request may be sent now.
    pub fn is_open(&self, now: ClockTime) -> bool {
        now >= self.next
    }

    /// Notes a request, of which all `entries` together send at most `rate`.
    pub fn record_request(&mut self, rate: MilliRate, entries: u32, now: ClockTime) {
        self.next = now + interval(rate, entries);
    }
}

fn interval(rate: MilliRate, entries: u32) -> Duration {
    let entries = u64::from(entries.max(1));
    Duration::from_millis((entries * 1_000_000).div_ceil(rate.0.max(1)))
}
