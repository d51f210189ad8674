//! Time in milliseconds, and the sources that tell it.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Point in time of a monotonic clock, in milliseconds.
///
/// Points of different processes must not be compared.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// Time passed since `earlier`, zero if that is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for ClockTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_millis() as u64))
    }
}

impl Sub<Duration> for ClockTime {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_millis() as u64))
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

/// Source of the present time.
pub trait ClockSource: Send + Sync {
    /// The present time.
    fn now(&self) -> ClockTime;
}

/// Clock of the operating system, which starts at zero when it is created.
#[derive(Debug, Clone)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl ClockSource for SystemClock {
    fn now(&self) -> ClockTime {
        ClockTime(self.start.elapsed().as_millis() as u64)
    }
}

/// Clock that tests set by hand.
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    time: Arc<AtomicU64>,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, span: Duration) {
        self.time
            .fetch_add(span.as_millis() as u64, Ordering::SeqCst);
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> ClockTime {
        ClockTime(self.time.load(Ordering::SeqCst))
    }
}
