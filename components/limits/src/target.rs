//! Adaptive concurrency limit of one target.

use std::time::Duration;

use units::{ClockTime, SlotCount};

use crate::alarms::FalseAlarms;
use crate::latency::BestLatency;

/// Multiple of the expected latency above which a target counts as cold.
const COLD_LATENCY_FACTOR: f64 = 4.0;

/// Multiple of the expected latency up to which the limit grows.
///
/// Half of [`COLD_LATENCY_FACTOR`]: latency rises with the load, so a limit that grew until the
/// target looked cold would drop repeatedly.
const NORMAL_LATENCY_FACTOR: f64 = 2.0;

/// Multiple of the slowness of a recent false alarm above which a target counts as cold.
const ALARM_FACTOR: f64 = 2.0;

/// Measurements of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSample {
    /// Start of the run.
    pub started_at: ClockTime,
    /// Number of running requests at the start, including this one.
    pub running: SlotCount,
    /// Time from the start to the first byte of the answer.
    pub latency: Duration,
    /// Tokens that the target had produced by the first byte: 1 for a stream, all tokens for an
    /// answer sent as a whole.
    pub tokens: u32,
    /// Whether the run completed without an error.
    pub succeeded: bool,
}

/// Concurrency limit that grows with successful runs at full use and drops when the target is
/// cold.
#[derive(Debug, Clone)]
pub struct TargetLimit {
    cold_limit: SlotCount,
    max_limit: SlotCount,
    limit: SlotCount,
    successes: u32,
    best_latency: BestLatency,
    false_alarms: FalseAlarms,
    last_drop: Option<ClockTime>,
}

impl TargetLimit {
    /// Creates the limit of a target that has just started. A `cold_limit` below 1 counts as 1.
    pub fn new(cold_limit: SlotCount, max_limit: SlotCount) -> Self {
        let cold_limit = SlotCount(cold_limit.0.max(1));
        Self {
            cold_limit,
            max_limit: max_limit.max(cold_limit),
            limit: cold_limit,
            successes: 0,
            best_latency: BestLatency::default(),
            false_alarms: FalseAlarms::default(),
            last_drop: None,
        }
    }

    /// Maximum number of concurrent requests.
    pub fn limit(&self) -> SlotCount {
        self.limit
    }

    /// Whether the limit is at the cold limit and may still grow.
    pub fn is_cold(&self) -> bool {
        self.limit == self.cold_limit && self.cold_limit < self.max_limit
    }

    /// Updates the limit after a run.
    ///
    /// A run that failed for a reason other than the load of the target neither raises nor drops
    /// the limit. Runs that started before the last drop are ignored, since they do not reflect
    /// the current state of the target.
    pub fn record_run(&mut self, sample: RunSample, now: ClockTime) {
        if self
            .last_drop
            .is_some_and(|last_drop| sample.started_at <= last_drop)
        {
            return;
        }
        if !sample.succeeded {
            self.successes = 0;
            return;
        }
        let slowness = self.slowness(sample);
        let is_normal = slowness <= NORMAL_LATENCY_FACTOR;
        self.false_alarms.record_answer(is_normal);
        if slowness > COLD_LATENCY_FACTOR
            && slowness > ALARM_FACTOR * self.false_alarms.max_slowness()
        {
            self.false_alarms.record_drop(slowness);
            self.drop_to_cold(now);
            return;
        }
        self.best_latency.record(sample.tokens, sample.latency);
        if is_normal && sample.running >= self.limit {
            self.record_success();
        }
    }

    /// Drops the limit because the target refused a request, restarted or was lost.
    pub fn record_refusal(&mut self, now: ClockTime) {
        self.false_alarms.clear_pending();
        self.drop_to_cold(now);
    }

    /// Latency as a multiple of the expected latency.
    fn slowness(&self, sample: RunSample) -> f64 {
        match self.best_latency.expected(sample.tokens) {
            Some(expected) => sample.latency.as_secs_f64() / expected.as_secs_f64(),
            None => 1.0,
        }
    }

    fn record_success(&mut self) {
        self.successes += 1;
        if self.successes >= self.limit.0 {
            self.successes = 0;
            self.limit = SlotCount(self.limit.0 + 1).min(self.max_limit);
        }
    }

    fn drop_to_cold(&mut self, now: ClockTime) {
        self.last_drop = Some(now);
        self.limit = self.cold_limit;
        self.successes = 0;
    }
}
