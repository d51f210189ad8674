//! Whether a process has more to do than its processor can, by the turns of its event loop.

use std::time::Duration;

use units::ClockTime;

/// Number of turns between the head of a request and the first byte of its response: reading the body,
/// sending the request, reading the response and writing it.
const TURNS_PER_REQUEST: u32 = 4;

/// Divisor of the latency objective that gives the time which these turns may take. The target needs the
/// rest. While turns are long, few connections are accepted, and callers that get none do not come back,
/// whereas refused ones do.
const OBJECTIVE_DIVISOR: u32 = 3;

/// Time without a refusal that ends a series of refusals.
const SERIES_GAP: Duration = Duration::from_secs(1);

/// Duration of a series of refusals from which the process counts as behind. A single stall is shorter.
const MIN_SERIES: Duration = Duration::from_millis(500);

/// Time after the last refusal for which the process still counts as behind. A load balancer that checks
/// once a second, and takes a process out after two failed checks, sees it.
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Interval between two summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Refusals of a process that is behind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BehindSummary {
    /// Longest turn at which a request was refused.
    pub longest_turn: Duration,
    /// Number of refused requests.
    pub refused: u64,
}

/// Admission of requests by the time that a turn of the event loop takes.
#[derive(Debug, Clone, Default)]
pub struct TurnGate {
    summary: BehindSummary,
    /// Time of the last summary; `None` before the first one.
    summarised_at: Option<ClockTime>,
    /// Times of the first and the last refusal of the last series; `None` before the first one.
    series: Option<(ClockTime, ClockTime)>,
}

impl TurnGate {
    /// Whether a request with this objective can be handled in time if each turn takes as long as this one.
    pub fn admits(turn: Duration, objective: Duration) -> bool {
        turn * TURNS_PER_REQUEST <= objective / OBJECTIVE_DIVISOR
    }

    /// Records a refused request. Returns a summary since the last one, at most once a second.
    pub fn record_refusal(&mut self, turn: Duration, now: ClockTime) -> Option<BehindSummary> {
        self.summary.longest_turn = self.summary.longest_turn.max(turn);
        self.summary.refused += 1;
        self.series = match self.series {
            Some((first, last)) if now.since(last) < SERIES_GAP => Some((first, now)),
            _ => Some((now, now)),
        };
        let last = self.summarised_at;
        if last.is_some_and(|last| now.since(last) < SUMMARY_INTERVAL) {
            return None;
        }
        self.summarised_at = Some(now);
        Some(std::mem::take(&mut self.summary))
    }

    /// Whether the process has more to do than it can, and new callers should go to others.
    pub fn is_behind(&self, now: ClockTime) -> bool {
        self.series.is_some_and(|(first, last)| {
            last.since(first) >= MIN_SERIES && now.since(last) < RECOVERY_TIME
        })
    }
}
