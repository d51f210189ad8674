//! Usual latencies of the old versions on a route.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of latest responses over which the median is taken.
const SAMPLES: usize = 63;

/// Minimum number of responses for a median.
const MIN_SAMPLES: usize = 9;

/// Multiple of the old versions' median above which a response is slow.
const SLOW_FACTOR: u32 = 3;

/// Latency up to which no response is slow. On a loaded host the scheduler alone delays a response
/// by this much.
const MIN_SLOW: Duration = Duration::from_millis(30);

/// Latest durations, and their median.
#[derive(Debug, Clone, Default)]
struct RecentDurations {
    latest: VecDeque<Duration>,
    sorted: Vec<Duration>,
}

impl RecentDurations {
    fn record(&mut self, duration: Duration) {
        if self.latest.len() >= SAMPLES
            && let Some(oldest) = self.latest.pop_front()
            && let Ok(index) = self.sorted.binary_search(&oldest)
        {
            self.sorted.remove(index);
        }
        self.latest.push_back(duration);
        let index = self.sorted.partition_point(|sorted| *sorted < duration);
        self.sorted.insert(index, duration);
    }

    /// Duration above which a response is slow; `None` before there are enough responses.
    fn slow_after(&self) -> Option<Duration> {
        let median = self.sorted.get(self.sorted.len() / 2)?;
        (self.sorted.len() >= MIN_SAMPLES).then(|| (*median * SLOW_FACTOR).max(MIN_SLOW))
    }
}

/// Usual latencies of a route.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteLatency {
    first_bytes: RecentDurations,
    longest: RecentDurations,
}

impl RouteLatency {
    /// Adds a first byte of an old version.
    pub(crate) fn record_first_byte(&mut self, first_byte: Duration) {
        self.first_bytes.record(first_byte);
    }

    /// Adds the whole time, or the longest pause, of a response of an old version.
    pub(crate) fn record_longest(&mut self, longest: Duration) {
        self.longest.record(longest);
    }

    /// Whether a first byte arrives several times later than usual.
    pub(crate) fn is_late(&self, first_byte: Duration) -> bool {
        let slow_after = self.first_bytes.slow_after();
        slow_after.is_some_and(|slow_after| first_byte > slow_after)
    }

    /// Whether the whole time, or the longest pause, of a response is several times longer than
    /// usual.
    pub(crate) fn is_slow(&self, longest: Duration) -> bool {
        let slow_after = self.longest.slow_after();
        slow_after.is_some_and(|slow_after| longest > slow_after)
    }
}
