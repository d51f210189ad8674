//! Adaptive concurrency limit of one target.

use std::time::Duration;

use units::{ClockTime, SlotCount};

/// First-token latency, as a multiple of the best seen, at which a target counts as cold.
const COLD_LATENCY_FACTOR: u32 = 4;

/// First-token latency, as a multiple of the best seen, up to which the limit grows.
///
/// Half of [`COLD_LATENCY_FACTOR`]: latency rises with the load, and a limit that grew until the
/// target looked cold would drop again and again.
const NORMAL_LATENCY_FACTOR: u32 = 2;

/// Smallest latency that is taken as the best.
///
/// Latencies are measured in milliseconds, and below this a few milliseconds of scheduling delay
/// already exceed [`COLD_LATENCY_FACTOR`].
const LEAST_BEST_LATENCY: Duration = Duration::from_millis(5);

/// What is measured of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSample {
    /// Requests that ran when it started, itself included.
    pub running: SlotCount,
    /// Time from the start to the first token.
    pub first_token: Duration,
    /// Whether it ended well.
    pub ok: bool,
}

/// Concurrency limit that grows with successful runs at full use and drops when a target is cold.
#[derive(Debug, Clone)]
pub struct TargetLimit {
    cold: SlotCount,
    most: SlotCount,
    limit: SlotCount,
    successes: u32,
    best: Option<Duration>,
}

impl TargetLimit {
    /// Creates the limit of a target that has just started.
    pub fn new(cold: SlotCount, most: SlotCount) -> Self {
        let cold = SlotCount(cold.0.max(1));
        Self {
            cold,
            most: most.max(cold),
            limit: cold,
            successes: 0,
            best: None,
        }
    }

    /// Number of requests that may run at once.
    pub fn limit(&self) -> SlotCount {
        self.limit
    }

    /// Whether the target carries only its cold limit.
    pub fn is_cold(&self) -> bool {
        self.limit == self.cold && self.cold < self.most
    }

    /// Takes in the end of a run.
    ///
    /// A run that failed for another reason than the target's load neither raises nor drops it.
    pub fn completed(&mut self, sample: RunSample, _now: ClockTime) {
        if !sample.ok {
            self.successes = 0;
            return;
        }
        if self.is_above(sample.first_token, COLD_LATENCY_FACTOR) {
            self.drop_to_cold();
            return;
        }
        let is_normal = !self.is_above(sample.first_token, NORMAL_LATENCY_FACTOR);
        let latency = sample.first_token.max(LEAST_BEST_LATENCY);
        self.best = Some(self.best.map_or(latency, |best| best.min(latency)));
        if is_normal && sample.running >= self.limit {
            self.count_success();
        }
    }

    /// Notes that the target refused a request, restarted or was lost.
    pub fn refused(&mut self, _now: ClockTime) {
        self.drop_to_cold();
    }

    fn is_above(&self, latency: Duration, factor: u32) -> bool {
        self.best.is_some_and(|best| latency > best * factor)
    }

    fn count_success(&mut self) {
        self.successes += 1;
        if self.successes >= self.limit.0 {
            self.successes = 0;
            self.limit = SlotCount(self.limit.0 + 1).min(self.most);
        }
    }

    fn drop_to_cold(&mut self) {
        self.limit = self.cold;
        self.successes = 0;
    }
}
