//! Time in milliseconds, and the sources that tell it.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
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
///
/// It counts the time for which the host is suspended, so that a lease that ends meanwhile is over
/// when the process goes on.
#[derive(Debug, Clone)]
pub struct SystemClock {
    start: Duration,
}

impl SystemClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }
}

impl ClockSource for SystemClock {
    fn now(&self) -> ClockTime {
        ClockTime(boot_time().saturating_sub(self.start).as_millis() as u64)
    }
}

/// Time since the host was started, with the time for which it was suspended.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("the boot clock can be read on every Linux kernel")
        .into()
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
