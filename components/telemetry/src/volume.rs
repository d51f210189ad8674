//! Rate limit of log lines.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Maximum number of lines that a process writes per second for each event. Under load, logging a
/// line for every request would take more CPU time than serving the requests.
pub const MAX_LINES_PER_SECOND: u32 = 40;

/// Window in which the lines of an event are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Lines of one event in the current window.
#[derive(Debug, Clone, Copy)]
struct EventWindow {
    start: Instant,
    lines: u32,
    suppressed: u64,
}

/// Rate limiter that admits [`MAX_LINES_PER_SECOND`] lines of each event and counts the lines that
/// it suppresses.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    events: HashMap<u16, EventWindow>,
}

impl LogRateLimiter {
    /// Creates a limiter without any counted lines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a line of an event. Returns the number of lines suppressed since the last admitted
    /// line, or `None` if this line is to be suppressed.
    pub fn admit_line(&mut self, event: u16, now: Instant) -> Option<u64> {
        let window = self.events.entry(event).or_insert(EventWindow {
            start: now,
            lines: 0,
            suppressed: 0,
        });
        if now.duration_since(window.start) >= RATE_WINDOW {
            window.start = now;
            window.lines = 0;
        }
        if window.lines >= MAX_LINES_PER_SECOND {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
