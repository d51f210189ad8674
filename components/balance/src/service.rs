//! Estimated loads of the targets of one service, and the bound on them.

use std::time::Duration;

use units::ClockTime;

use crate::view::{LoadView, VIEW_TTL};

/// Bound on the load of a target that gets a session of which the entry knows no target, in thousandths
/// of the mean load of its service's targets. Such a session has most often nothing cached yet. With
/// 1,250, the busiest target came to 1.26 of the mean in one of six replays.
pub const NEW_SESSION_PERMILLE: u64 = 1_200;

/// Bound on the load of the target that last got the session, in the same unit. A move has its cost in
/// prompts that are read again: with one bound for both cases,
/// the replay reads 1.5 times as many where sessions come to one entry.
pub const KNOWN_SESSION_PERMILLE: u64 = 1_300;

/// Percentage of a target's memory that requests may hold. The rest is for outputs that are longer than
/// expected and for requests that entries have sent since the totals were formed.
const MEMORY_PERCENT: u64 = 90;

/// Number of targets, in the order of a session, among which its requests are placed. Each further one
/// has to read the shared parts of the prompt again.
pub const CANDIDATE_COUNT: usize = 4;

/// Distance of the bound from the mean load, in thousandths of a request. The loads of nearly idle
/// targets differ by chance, and a move would only cost.
const MIN_MARGIN: u64 = 2_000;

/// Load that an entry has put on a target by itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadCandidate {
    /// Hash of the target's name.
    pub target: u64,
    /// Number of running requests of this entry.
    pub own_running: u32,
    /// Memory that they need, in tokens.
    pub own_held_tokens: u64,
    /// Memory that the common parts of their prompts need, in tokens.
    pub own_common_tokens: u64,
}

/// Estimated load of a target over all entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetEstimate {
    /// Running requests, in thousandths.
    pub load: u64,
}

/// Loads of the targets of one service at one time.
#[derive(Debug)]
pub struct ServiceLoad<'a> {
    view: &'a LoadView,
    age: Duration,
    /// Mean load of a target by the other entries, in thousandths of a request.
    mean_others: u64,
    /// Mean load of a target by all entries, in thousandths of a request.
    mean: u64,
}

impl<'a> ServiceLoad<'a> {
    /// Loads of these targets; `None` if the view may not be used.
    pub fn new(
        view: &'a LoadView,
        targets: impl Iterator<Item = LoadCandidate>,
        now: ClockTime,
    ) -> Option<Self> {
        let age = view.age(now)?;
        let (mut others, mut own, mut known, mut count) = (0, 0, 0, 0);
        for candidate in targets {
            if let Some(load) = view.others(candidate.target) {
                others += u64::from(load.running) * 1_000;
                known += 1;
            }
            own += u64::from(candidate.own_running) * 1_000;
            count += 1;
        }
        let mean_others = others / u64::max(known, 1);
        let mean = mean_others + own / u64::max(count, 1);
        Some(Self {
            view,
            age,
            mean_others,
            mean,
        })
    }

    /// Mean age of what is known of the other entries.
    pub fn age(&self) -> Duration {
        self.age
    }

    /// Mean load of a target, in thousandths of a request.
    pub fn mean(&self) -> u64 {
        self.mean
    }

    /// Estimated load of a target. What is known of the other entries is moved toward the mean with its
    /// age.
    pub fn estimate(&self, candidate: &LoadCandidate) -> TargetEstimate {
        let others = self.view.others(candidate.target);
        let known = others.map_or(self.mean_others, |load| u64::from(load.running) * 1_000);
        let max_age = VIEW_TTL.as_millis() as u64;
        let age = (self.age.as_millis() as u64).min(max_age);
        let moved = (known * (max_age - age) + self.mean_others * age) / max_age;
        TargetEstimate {
            load: moved + u64::from(candidate.own_running) * 1_000,
        }
    }

    /// Whether the requests of all entries fit into the memory of a target, where `candidate` includes the
    /// request to be placed. An idle target takes any request.
    pub fn has_memory(&self, candidate: &LoadCandidate, cache_tokens: u64) -> bool {
        let others = self.view.others(candidate.target).unwrap_or_default();
        let held_tokens = others
            .held_tokens
            .saturating_add(candidate.own_held_tokens)
            .saturating_add(others.common_tokens.max(candidate.own_common_tokens));
        let is_idle = candidate.own_running == 0 && others.running == 0;
        is_idle || held_tokens <= cache_tokens / 100 * MEMORY_PERCENT
    }

    /// Whether a target with this estimated load may get a request of a session. `is_known` tells whether
    /// it was the last one to get a request of the session.
    pub fn is_within_bound(&self, estimate: &TargetEstimate, is_known: bool) -> bool {
        let permille = match is_known {
            true => KNOWN_SESSION_PERMILLE,
            false => NEW_SESSION_PERMILLE,
        };
        let bound = self.mean * permille / 1_000;
        estimate.load < bound.max(self.mean + MIN_MARGIN)
    }
}
