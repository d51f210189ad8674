//! Schedule of the report rounds of an agent.

use std::time::Duration;

use units::ClockTime;

/// Minimum interval between two rounds of reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum rate of reports and answers of one agent, in bytes per second.
///
/// The budget of a node is 8 KB/s for all control traffic.
pub const MAX_REPORT_BYTES_PER_S: u64 = 3_000;

/// Spaces the rounds so that reports and answers stay within [`MAX_REPORT_BYTES_PER_S`].
#[derive(Debug, Clone, Default)]
pub struct ReportPacer {
    /// Start of the current round; `None` before the first one.
    round_start: Option<ClockTime>,
    /// Bytes sent and received in the current round.
    round_bytes: u64,
    interval: Duration,
}

impl ReportPacer {
    /// Creates a pacer whose first round is due immediately.
    pub fn new() -> Self {
        Self {
            interval: REPORT_INTERVAL,
            ..Self::default()
        }
    }

    /// Starts a round and resets the byte count.
    pub fn begin_round(&mut self, now: ClockTime) {
        self.interval = self.round_interval();
        self.round_start = Some(now);
        self.round_bytes = 0;
    }

    /// Adds bytes of reports and answers, including all headers, to the current round.
    pub fn record_bytes(&mut self, bytes: u64) {
        self.round_bytes = self.round_bytes.saturating_add(bytes);
    }

    /// Time at which the next round is due; `None` if it is due immediately.
    pub fn next_round(&self) -> Option<ClockTime> {
        Some(self.round_start? + self.round_interval())
    }

    /// Time between the starts of the last two rounds, which reporters send to their homes.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Time from the start of the current round to the next one.
    fn round_interval(&self) -> Duration {
        let min_interval_ms = self
            .round_bytes
            .saturating_mul(1000)
            .div_ceil(MAX_REPORT_BYTES_PER_S);
        REPORT_INTERVAL.max(Duration::from_millis(min_interval_ms))
    }
}
