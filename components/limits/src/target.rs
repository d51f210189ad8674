//! Adaptive concurrency limit of one target.

use std::time::Duration;

use units::{ClockTime, SlotCount};

use crate::alarms::FalseAlarms;
use crate::latency::BestLatency;

/// Latency, as a multiple of what the best seen lets expect, at which a target counts as cold.
const COLD_LATENCY_FACTOR: f64 = 4.0;

/// Latency, as a multiple of what the best seen lets expect, up to which the limit grows.
///
/// Half of [`COLD_LATENCY_FACTOR`]: latency rises with the load, and a limit that grew until the
/// target looked cold would drop again and again.
const NORMAL_LATENCY_FACTOR: f64 = 2.0;

/// Latency, as a multiple of a slowness that was a false alarm lately, at which a target counts as
/// cold.
const ALARM_FACTOR: f64 = 2.0;

/// What is measured of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSample {
    /// When it started.
    pub started_at: ClockTime,
    /// Requests that ran when it started, itself included.
    pub running: SlotCount,
    /// Time from the start to the first byte of the answer.
    pub latency: Duration,
    /// Tokens that the target had produced by then: 1 for a stream, all of them for a whole answer.
    pub tokens: u32,
    /// Whether it ended well.
    pub succeeded: bool,
}

/// Concurrency limit that grows with successful runs at full use and drops when a target is cold.
#[derive(Debug, Clone)]
pub struct TargetLimit {
    cold: SlotCount,
    most: SlotCount,
    limit: SlotCount,
    successes: u32,
    best: BestLatency,
    alarms: FalseAlarms,
    dropped: Option<ClockTime>,
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
            best: BestLatency::default(),
            alarms: FalseAlarms::default(),
            dropped: None,
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
    /// A run that failed for another reason than the target's load neither raises nor drops it. Nor
    /// does one that started before the last drop: it says nothing of the target since then.
    pub fn record_run(&mut self, sample: RunSample, now: ClockTime) {
        if self
            .dropped
            .is_some_and(|dropped| sample.started_at <= dropped)
        {
            return;
        }
        if !sample.succeeded {
            self.successes = 0;
            return;
        }
        let slowness = self.slowness(sample);
        let is_normal = slowness <= NORMAL_LATENCY_FACTOR;
        self.alarms.answer(is_normal);
        if slowness > COLD_LATENCY_FACTOR && slowness > ALARM_FACTOR * self.alarms.largest() {
            self.alarms.raise(slowness);
            self.drop_to_cold(now);
            return;
        }
        self.best.note(sample.tokens, sample.latency);
        if is_normal && sample.running >= self.limit {
            self.count_success();
        }
    }

    /// Notes that the target refused a request, restarted or was lost.
    pub fn record_refusal(&mut self, now: ClockTime) {
        self.alarms.confirm();
        self.drop_to_cold(now);
    }

    /// Latency as a multiple of what the best seen lets expect.
    fn slowness(&self, sample: RunSample) -> f64 {
        match self.best.expected(sample.tokens) {
            Some(expected) => sample.latency.as_secs_f64() / expected.as_secs_f64(),
            None => 1.0,
        }
    }

    fn count_success(&mut self) {
        self.successes += 1;
        if self.successes >= self.limit.0 {
            self.successes = 0;
            self.limit = SlotCount(self.limit.0 + 1).min(self.most);
        }
    }

    fn drop_to_cold(&mut self, now: ClockTime) {
        self.dropped = Some(now);
        self.limit = self.cold;
        self.successes = 0;
    }
}
