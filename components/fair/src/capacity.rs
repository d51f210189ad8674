//! What a service can serve in time, found from how late its answers are.

use std::time::Duration;

use units::ClockTime;

/// Time between two changes of the estimate: a change shows in the latencies after about this time.
const STEP_INTERVAL: Duration = Duration::from_millis(400);

/// Mean lateness, in thousandths of the latency objective, above which the estimate falls. Half of
/// the objective leaves room for the requests that take longer than the mean.
const LATE_PERMILLE: u64 = 600;

/// Mean lateness below which the estimate grows.
const EARLY_PERMILLE: u64 = 450;

/// Part below the served rate that a step may go to work off what waits at the targets, in
/// thousandths; reached at [`WORST_PERMILLE`].
const MOST_FALL: u64 = 450;

/// Mean lateness at which the estimate falls the most.
const WORST_PERMILLE: u64 = 1_500;

/// Largest growth in one step below the ceiling, in thousandths; reached where answers begin at once.
const MOST_GROWTH: u64 = 400;

/// Part of the ceiling up to which the estimate grows fast, in thousandths.
const NEAR_CEILING: u64 = 900;

/// Part of the ceiling that is kept in a step in which less was served, in thousandths.
const KEPT_CEILING: u64 = 920;

/// Growth in one step near the ceiling and beyond it, in thousandths. Caches fill and targets are
/// added, so the ceiling of a while ago need not be the present one.
const SLOW_GROWTH: u64 = 60;

/// Part of the stated capacity, or of the ceiling where none is stated, that the estimate reaches at
/// least, in thousandths. Without it, a stall of all targets would leave too little to notice that
/// they are back.
const LEAST_STATED: u64 = 800;
const LEAST_CEILING: u64 = 200;

/// How late the answers of an interval were, and what was let through.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LatenessSample {
    /// Answers that were begun, and requests that wait for theirs.
    pub count: u64,
    /// Sum of their times to the first byte, each in thousandths of its latency objective.
    pub total_permille: u64,
    /// Rate of the requests that were let through.
    pub granted: u64,
    /// Rate of the requests whose answers were begun.
    pub served: u64,
    /// Rate of all requests.
    pub asked: u64,
    /// Capacity that the operator states, if any.
    pub configured: Option<u64>,
}

/// Estimate of what a service can serve in time, in cost units a second.
#[derive(Debug, Clone, Default)]
pub struct CapacityEstimate {
    capacity: Option<u64>,
    /// What was served when answers were late last.
    ceiling: u64,
    stepped: ClockTime,
}

impl CapacityEstimate {
    /// The estimate; none while everything is answered in time.
    pub fn get(&self) -> Option<u64> {
        self.capacity
    }

    /// Takes in the sum of what all entries saw, and changes the estimate if a step is due. Returns
    /// whether it has changed.
    pub fn observe(&mut self, sample: LatenessSample, now: ClockTime) -> bool {
        if now.since(self.stepped) < STEP_INTERVAL {
            return false;
        }
        let before = self.capacity;
        self.step(sample, now);
        before != self.capacity
    }

    fn step(&mut self, sample: LatenessSample, now: ClockTime) {
        self.stepped = now;
        let lateness = sample.total_permille / sample.count.max(1);
        if sample.count > 0 && lateness > LATE_PERMILLE {
            self.fall(lateness, sample);
        } else if let Some(capacity) = self.capacity.filter(|_| lateness < EARLY_PERMILLE) {
            let growth = MOST_GROWTH * (EARLY_PERMILLE - lateness) / EARLY_PERMILLE;
            let fast = capacity * (1000 + growth) / 1000 + 1;
            let slow = capacity * (1000 + SLOW_GROWTH) / 1000 + 1;
            let grown = fast.min(self.ceiling * NEAR_CEILING / 1000).max(slow);
            // Nothing is held back any more once all that is asked fits with room to spare.
            self.capacity = (grown <= sample.asked * 2).then_some(grown);
        }
    }

    /// While answers are late, targets have work waiting, so what they serve is what they can serve.
    fn fall(&mut self, lateness: u64, sample: LatenessSample) {
        let excess = lateness.min(WORST_PERMILLE) - LATE_PERMILLE;
        let kept = 1000 - MOST_FALL * excess / (WORST_PERMILLE - LATE_PERMILLE);
        // An interval in which the targets were idle for a part shows less than they can serve.
        self.ceiling = sample.served.max(self.ceiling * KEPT_CEILING / 1000);
        let present = self.capacity.unwrap_or(sample.served);
        let least = match sample.configured {
            Some(stated) => stated * LEAST_STATED / 1000,
            None => self.ceiling * LEAST_CEILING / 1000,
        };
        self.capacity = Some((present.min(sample.served) * kept / 1000).max(least));
    }
}
