//! Times of an agent's report rounds.

use std::time::Duration;

use units::ClockTime;

/// Shortest time between two rounds of reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Most bytes of reports and answers in a second, for one agent.
///
/// The budget of a node is 8 KB/s for all control traffic.
pub const MAX_REPORT_BYTES_PER_S: u64 = 3_000;

/// Spaces the rounds so that reports and answers stay under [`MAX_REPORT_BYTES_PER_S`].
#[derive(Debug, Clone, Default)]
pub struct ReportPacer {
    /// Start of the present round, none before the first one.
    started: Option<ClockTime>,
    /// Bytes of the present round so far.
    bytes: u64,
    interval: Duration,
}

impl ReportPacer {
    /// Creates a pacer whose first round is due at once.
    pub fn new() -> Self {
        Self {
            interval: REPORT_INTERVAL,
            ..Self::default()
        }
    }

    /// Begins a round.
    pub fn begin_round(&mut self, now: ClockTime) {
        self.interval = self.spacing();
        self.started = Some(now);
        self.bytes = 0;
    }

    /// Counts bytes of reports and answers, with all headers, to the present round.
    pub fn count_bytes(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// When the next round is due, none if it is due at once.
    pub fn next_round(&self) -> Option<ClockTime> {
        Some(self.started? + self.spacing())
    }

    /// Time between the last two rounds, which reporters tell their homes.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Time from the start of the present round to the next.
    fn spacing(&self) -> Duration {
        let paid_ms = self
            .bytes
            .saturating_mul(1000)
            .div_ceil(MAX_REPORT_BYTES_PER_S);
        REPORT_INTERVAL.max(Duration::from_millis(paid_ms))
    }
}
