//! Steps of a roll-out, planned from its duration.

/// Part of the permitted exposure that the last step before `Draining` uses, in percent. The rest is
/// left for a version that turns bad while it gets all requests.
const RAMP_PERCENT: u32 = 90;

/// Maximum number of steps; each doubles the share of the one before.
const MAX_STEPS: u64 = 3;

/// Minimum duration of a step. A step is in force at all entries about 1 s after it is proposed.
const MIN_STEP_MS: u64 = 1_200;

/// Divisor of the duration that gives the length of the steps before the last one. The last step is
/// the longest, because most evidence arrives in it.
const SHORT_STEP_DIVISOR: u64 = 20;

/// Part of the duration that is reserved for the requests that run at old versions, in percent.
const DRAIN_PERCENT: u64 = 37;

/// Maximum time that is reserved for the requests that run at old versions.
const MAX_DRAIN_MS: u64 = 20_000;

/// Maximum load of a canary target, in thousandths of that of an old target. Twice the load would
/// slow a good version down.
const MAX_CANARY_LOAD_PERMILLE: usize = 1_150;

/// One step of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStep {
    /// Share of the service's requests that the new version gets, in thousandths.
    pub share_permille: u32,
    /// Start of the step, in milliseconds after the order.
    pub start_ms: u64,
}

/// Steps of a roll-out before all requests go to the new version.
///
/// The share of each step is below the permitted exposure, so that the exposure before `Draining`
/// stays within it for any course of the traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutPlan {
    steps: Vec<PlannedStep>,
    drain_start_ms: u64,
}

impl RolloutPlan {
    /// Plans the steps of a roll-out of this duration.
    pub fn new(duration_ms: u64, exposure_permille: u32) -> Self {
        let reserve_ms = (duration_ms * DRAIN_PERCENT / 100).min(MAX_DRAIN_MS);
        let drain_start_ms = duration_ms - reserve_ms;
        let step_ms = (duration_ms / SHORT_STEP_DIVISOR).max(MIN_STEP_MS);
        // The last step lasts at least twice as long as the others.
        let count = (drain_start_ms / step_ms).saturating_sub(1);
        let count = count.clamp(1, MAX_STEPS) as u32;
        let last_share = (exposure_permille * RAMP_PERCENT / 100).max(1);
        let steps = (0..count).map(|step| PlannedStep {
            share_permille: (last_share >> (count - 1 - step)).max(1),
            start_ms: step_ms * u64::from(step),
        });
        Self {
            steps: steps.collect(),
            drain_start_ms,
        }
    }

    /// Steps in the order of their start.
    pub fn steps(&self) -> &[PlannedStep] {
        &self.steps
    }

    /// Share of the new version in a step; that of the last one for a higher number.
    pub fn share_permille(&self, step: u32) -> u32 {
        let last = self.steps.last();
        let step = self.steps.get(step as usize).or(last);
        step.map_or(0, |step| step.share_permille)
    }

    /// Number of targets of the new version that get the share of a step, so that each has about the
    /// load of one of the old targets. Faults under load then show at a small share.
    pub fn canary_targets(share_permille: u32, old_targets: usize) -> usize {
        let share = old_targets * share_permille as usize;
        share.div_ceil(MAX_CANARY_LOAD_PERMILLE).max(1)
    }

    /// Start of a step, or of `Draining` after the last one, in milliseconds after the order.
    pub fn start_ms(&self, step: u32) -> u64 {
        let step = self.steps.get(step as usize);
        step.map_or(self.drain_start_ms, |step| step.start_ms)
    }
}
