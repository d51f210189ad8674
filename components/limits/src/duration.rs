//! Recent durations of runs of one kind, and whether another run may outlast a time limit.

use std::collections::VecDeque;
use std::time::Duration;

use units::ClockTime;

/// Maximum number of durations that are kept.
const MAX_SAMPLES: usize = 200;

/// Minimum number of durations that an estimate needs. With fewer, the tail of the distribution is
/// unknown.
const MIN_SAMPLES: usize = 50;

/// Age at which a duration no longer counts. Runs take longer while targets are loaded, so older
/// durations say little about the next one.
const SAMPLE_TTL: Duration = Duration::from_secs(30);

/// Percentage of the longest kept duration that a run may take. Durations vary by a factor of two
/// and more within a route, and a jump of the load lengthens all runs within a second.
const ESTIMATE_PERCENT: u32 = 300;

/// Recent durations of runs of one kind.
#[derive(Debug, Clone, Default)]
pub struct DurationHistory {
    samples: VecDeque<(ClockTime, Duration)>,
}

impl DurationHistory {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the duration of a run that has ended.
    pub fn record(&mut self, duration: Duration, now: ClockTime) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, duration));
    }

    /// Duration that a run is not expected to exceed; `None` if too few runs were recorded lately.
    pub fn upper_estimate(&self, now: ClockTime) -> Option<Duration> {
        let recent = self
            .samples
            .iter()
            .filter(|(recorded_at, _)| now.since(*recorded_at) < SAMPLE_TTL)
            .map(|(_, duration)| *duration);
        let longest = recent.clone().max()?;
        (recent.count() >= MIN_SAMPLES).then_some(longest * ESTIMATE_PERCENT / 100)
    }

    /// Whether a run that starts at `now` may still run after `time_left`. `max_duration` is the
    /// time after which it ends in any case.
    pub fn may_outlast(&self, time_left: Duration, max_duration: Duration, now: ClockTime) -> bool {
        let estimate = self.upper_estimate(now).unwrap_or(max_duration);
        estimate.min(max_duration) > time_left
    }
}
