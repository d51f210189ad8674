//! Estimates the rate that a service can serve within its latency objective, from the lateness of
//! its answers.

use std::time::Duration;

use units::{ClockTime, CostUnits};
use wire::KnownCapacity;

/// Minimum time between two changes of the estimate. A change shows in the latencies after about
/// this time.
const STEP_INTERVAL: Duration = Duration::from_millis(400);

/// Mean lateness, in thousandths of the latency objective, above which the estimate decreases.
/// Half of the objective leaves room for requests that take longer than the mean.
const HIGH_LATENESS_PERMILLE: u64 = 600;

/// Mean lateness, in thousandths of the latency objective, below which the estimate grows.
const LOW_LATENESS_PERMILLE: u64 = 450;

/// Largest reduction below the served rate in one step, in thousandths, so that targets can work
/// off their queues. Applies from [`SATURATED_LATENESS_PERMILLE`] on.
const MAX_DECREASE_PERMILLE: u64 = 450;

/// Mean lateness, in thousandths of the latency objective, from which a step decreases the
/// estimate by [`MAX_DECREASE_PERMILLE`].
const SATURATED_LATENESS_PERMILLE: u64 = 1_000;

/// Largest growth in one step below the ceiling, in thousandths. Applies when answers begin
/// without delay.
const MAX_GROWTH_PERMILLE: u64 = 400;

/// Fraction of the ceiling up to which the estimate grows fast, in thousandths.
const FAST_GROWTH_END_PERMILLE: u64 = 900;

/// Fraction of the ceiling that a step keeps if less was served, in thousandths.
const KEPT_CEILING_PERMILLE: u64 = 920;

/// Growth in one step near and above the ceiling, in thousandths. The estimate may exceed the
/// ceiling because caches fill and targets are added.
const SLOW_GROWTH_PERMILLE: u64 = 60;

/// Lower bound of the estimate as a fraction of the configured capacity, or of the ceiling if
/// none is configured, in thousandths. Without a bound, a stall of all targets would reduce the
/// estimate so far that too few requests pass to detect the recovery.
const MIN_CONFIGURED_PERMILLE: u64 = 800;
const MIN_CEILING_PERMILLE: u64 = 200;

/// Fraction of the configured capacity, in thousandths, up to which all demand is admitted without an
/// estimate. Late answers show an overload only after queues have formed; with caches, targets may
/// serve a multiple of the configured capacity.
const MAX_UNPROVEN_PERMILLE: u64 = 2_000;

/// Latency objective from which a home starts from the estimate of another one.
const SLOW_FEEDBACK_OBJECTIVE: Duration = Duration::from_millis(500);

/// Time until a decrease shows in the reports: entries learn of it with their next report, and state
/// what they sent since in the one after it.
const FEEDBACK_DELAY: Duration = Duration::from_millis(800);

/// Rate of the requests sent to targets, in thousandths of the served rate, below which the targets
/// work off their queues.
const DRAINING_PERMILLE: u64 = 900;

/// Lateness of the answers in one interval, and the rates at which requests were received, sent
/// and answered. Rates are in cost units per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LatenessSample {
    /// Number of requests that got their first byte, and of those that still wait for it.
    pub count: u64,
    /// Sum of their times to first byte, or of their waits so far, each in thousandths of its
    /// latency objective.
    pub total_permille: u64,
    /// Rate of the requests that were sent to targets.
    pub granted: u64,
    /// Rate of the requests that got their first byte.
    pub served: u64,
    /// Rate of all requests.
    pub asked: u64,
    /// Capacity that the published plan states, in cost units per second, if any.
    pub configured: Option<u64>,
    /// Shortest latency objective of the service's routes; zero if not stated.
    pub objective: Duration,
    /// Estimate of another home, stated by an entry that has reported there until now.
    pub known: Option<KnownCapacity>,
}

impl LatenessSample {
    fn is_slow(&self) -> bool {
        self.objective >= SLOW_FEEDBACK_OBJECTIVE
    }

    /// Whether the service gets less work than it serves, after an earlier decrease. It is late as
    /// long as its queues last, whatever the estimate is now.
    fn is_draining(&self) -> bool {
        self.granted * 1000 < self.served * DRAINING_PERMILLE
    }
}

/// Rate that a service can serve within its latency objective, in cost units per second.
#[derive(Debug, Clone, Default)]
pub struct CapacityEstimate {
    capacity: Option<u64>,
    /// Rate served in the last step with late answers, or [`KEPT_CEILING_PERMILLE`] of the
    /// previous ceiling if that is more; 0 before the first late answers.
    ceiling: u64,
    last_step: ClockTime,
    last_decrease: ClockTime,
}

impl CapacityEstimate {
    /// Current estimate; `None` while all requests are answered in time and no more is asked than may be
    /// admitted without an estimate.
    pub fn get(&self) -> Option<u64> {
        self.capacity
    }

    /// Current estimate with its ceiling, for a home that takes over.
    pub fn known(&self) -> Option<KnownCapacity> {
        self.capacity.map(|capacity| KnownCapacity {
            rate: CostUnits(capacity),
            ceiling: CostUnits(self.ceiling),
        })
    }

    /// Updates the estimate from the summed samples of all entries if `STEP_INTERVAL` has passed or there
    /// is none. Returns the sample if the estimate has changed.
    pub fn observe(
        &mut self,
        sample: impl FnOnce() -> LatenessSample,
        now: ClockTime,
    ) -> Option<LatenessSample> {
        let is_due = now.since(self.last_step) >= STEP_INTERVAL;
        if !is_due && self.capacity.is_some() {
            return None;
        }
        let previous = self.capacity;
        let sample = sample();
        if is_due {
            self.step(sample, now);
        }
        if let (None, Some(bound)) = (self.capacity, self.exceeded_bound(&sample)) {
            self.capacity = Some(bound);
            self.last_step = now;
        }
        (previous != self.capacity).then_some(sample)
    }

    /// Rate up to which all demand is admitted without an estimate, if more than that is asked and a
    /// capacity is configured.
    fn exceeded_bound(&self, sample: &LatenessSample) -> Option<u64> {
        let max_unproven = sample.configured? * MAX_UNPROVEN_PERMILLE / 1000;
        let bound = max_unproven.max(self.ceiling);
        (sample.asked > bound).then_some(bound)
    }

    fn step(&mut self, sample: LatenessSample, now: ClockTime) {
        self.last_step = now;
        let known = sample.known.filter(|_| sample.is_slow());
        if let (None, Some(known)) = (self.capacity, known) {
            self.capacity = Some(known.rate.0);
            self.ceiling = self.ceiling.max(known.ceiling.0);
            return;
        }
        let lateness = sample.total_permille / sample.count.max(1);
        if sample.count > 0 && lateness > HIGH_LATENESS_PERMILLE {
            // Another decrease would act on the same queues again.
            let is_answered = now.since(self.last_decrease) >= FEEDBACK_DELAY;
            if self.capacity.is_none() || (is_answered && !sample.is_draining()) {
                self.last_decrease = now;
                self.decrease(lateness, sample);
            }
        } else if let Some(capacity) = self.capacity.filter(|_| lateness < LOW_LATENESS_PERMILLE) {
            let growth =
                MAX_GROWTH_PERMILLE * (LOW_LATENESS_PERMILLE - lateness) / LOW_LATENESS_PERMILLE;
            let fast = capacity * (1000 + growth) / 1000 + 1;
            let slow = capacity * (1000 + SLOW_GROWTH_PERMILLE) / 1000 + 1;
            let increased = match self.ceiling {
                0 => fast,
                ceiling => fast
                    .min(ceiling * FAST_GROWTH_END_PERMILLE / 1000)
                    .max(slow),
            };
            // The estimate is dropped, so that no request is held back, once it exceeds twice the
            // demand. While entries still move here from another home, most demand is not known.
            let is_needed = increased <= sample.asked * 2
                || known.is_some()
                || self.exceeded_bound(&sample).is_some();
            self.capacity = is_needed.then_some(increased);
        }
    }

    /// Derives a lower estimate from the served rate. Late answers mean that work is queued at the
    /// targets, so the served rate is what the service can serve.
    fn decrease(&mut self, lateness: u64, sample: LatenessSample) {
        let excess = lateness.min(SATURATED_LATENESS_PERMILLE) - HIGH_LATENESS_PERMILLE;
        let kept_permille = 1000
            - MAX_DECREASE_PERMILLE * excess
                / (SATURATED_LATENESS_PERMILLE - HIGH_LATENESS_PERMILLE);
        // If the targets were idle for part of the interval, the served rate is below what they
        // can serve.
        self.ceiling = sample
            .served
            .max(self.ceiling * KEPT_CEILING_PERMILLE / 1000);
        let current = self.capacity.unwrap_or(sample.served);
        let min_capacity = match sample.configured {
            Some(configured) => configured * MIN_CONFIGURED_PERMILLE / 1000,
            None => self.ceiling * MIN_CEILING_PERMILLE / 1000,
        };
        self.capacity = Some((current.min(sample.served) * kept_permille / 1000).max(min_capacity));
    }
}
