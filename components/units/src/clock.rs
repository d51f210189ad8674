//! Monotonic time in milliseconds, and its clocks.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Time of a monotonic clock, in milliseconds.
///
/// Times of different processes must not be compared.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// Duration since `earlier`; zero if `earlier` is later than this time.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for ClockTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_millis() as u64))
    }
}

impl Sub<Duration> for ClockTime {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_millis() as u64))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl FromStr for ClockTime {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches(" ms").parse().map(Self)
    }
}

/// Source of the current time.
pub trait ClockSource: Send + Sync {
    /// Current time, in this clock's own time scale.
    fn now(&self) -> ClockTime;
}

/// Clock of the operating system, counted from the creation of this value.
///
/// Time for which the host is suspended counts, so that a lease that ends during the suspension is
/// over when the process continues.
#[derive(Debug, Clone)]
pub struct SystemClock {
    start: Duration,
}

impl SystemClock {
    /// Creates a clock that reads zero now.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }
}

impl ClockSource for SystemClock {
    fn now(&self) -> ClockTime {
        ClockTime(boot_time().saturating_sub(self.start).as_millis() as u64)
    }
}

/// Time since the host booted, including the time for which it was suspended.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("CLOCK_BOOTTIME can be read on every Linux kernel")
        .into()
}

/// Clock for tests, which starts at zero and moves only by [`advance`](Self::advance).
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    time: Arc<AtomicU64>,
}

impl ManualClock {
    /// Moves the clock, and all its clones, forward.
    pub fn advance(&self, duration: Duration) {
        self.time
            .fetch_add(duration.as_millis() as u64, Ordering::SeqCst);
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> ClockTime {
        ClockTime(self.time.load(Ordering::SeqCst))
    }
}
