//! Bound on the volume of logs.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Lines of one event that a process writes in each second. Under load a line for every request
/// would take more processor time than the requests.
pub const MAX_LINES_PER_SECOND: u32 = 40;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of one event in the present window.
#[derive(Debug, Clone, Copy)]
struct EventVolume {
    since: Instant,
    lines: u32,
    suppressed: u64,
}

/// Counts the lines of each event and drops those beyond [`MAX_LINES_PER_SECOND`].
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    events: HashMap<u16, EventVolume>,
}

impl LogRateLimiter {
    /// Creates a limit that has seen no line.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a line of an event. Returns the number of lines that were dropped since the last one,
    /// or none if this line is dropped too.
    pub fn admit_line(&mut self, event: u16, now: Instant) -> Option<u64> {
        let volume = self.events.entry(event).or_insert(EventVolume {
            since: now,
            lines: 0,
            suppressed: 0,
        });
        if now.duration_since(volume.since) >= WINDOW {
            volume.since = now;
            volume.lines = 0;
        }
        if volume.lines >= MAX_LINES_PER_SECOND {
            volume.suppressed += 1;
            return None;
        }
        volume.lines += 1;
        Some(std::mem::take(&mut volume.suppressed))
    }
}
