//! Counter of the memory for small bodies.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Memory for small bodies. Reserving takes neither a lock nor an allocation.
#[derive(Debug)]
pub struct SmallPool {
    total: u64,
    used: AtomicU64,
}

impl SmallPool {
    /// Creates a pool of `total` bytes.
    pub fn new(total: u64) -> Self {
        Self {
            total,
            used: AtomicU64::new(0),
        }
    }

    /// Reserves bytes; returns whether they were free.
    pub fn try_reserve(&self, bytes: u64) -> bool {
        let used = self.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let is_free = used <= self.total;
        if !is_free {
            self.release(bytes);
        }
        is_free
    }

    /// Returns reserved bytes.
    pub fn release(&self, bytes: u64) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Number of reserved bytes.
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }

    /// Whether over three quarters are reserved, so that bodies without progress are in the way.
    pub fn is_scarce(&self) -> bool {
        self.used() > self.total / 4 * 3
    }
}

/// Progress of a small body while it is read.
#[derive(Debug, Clone, Copy, Default)]
pub struct SmallProgress {
    received: u64,
    slow_ticks: u32,
    silent_ticks: u32,
}

impl SmallProgress {
    /// Number of ticks, of [`SMALL_TICK`] each, in which a body must make progress while the pool is
    /// scarce.
    const MAX_SLOW_TICKS: u32 = 2;

    /// Number of ticks without any byte after which a body is ended.
    const MAX_SILENT_TICKS: u32 = 10;

    /// Progress in a tick below which a body is slow.
    const MIN_TICK_BYTES: u64 = 4 << 10;

    /// Records the number of bytes read so far, once in [`SMALL_TICK`]. Returns whether the body is
    /// ended because it makes no progress.
    pub fn record_tick(&mut self, received: u64, pool: &SmallPool) -> bool {
        let progress = received - self.received;
        self.received = received;
        self.silent_ticks = if progress == 0 {
            self.silent_ticks + 1
        } else {
            0
        };
        let is_slow = progress < Self::MIN_TICK_BYTES;
        self.slow_ticks = if is_slow { self.slow_ticks + 1 } else { 0 };
        self.silent_ticks >= Self::MAX_SILENT_TICKS
            || (pool.is_scarce() && self.slow_ticks >= Self::MAX_SLOW_TICKS)
    }
}

/// Interval between two checks of a small body that is not complete.
pub const SMALL_TICK: Duration = Duration::from_secs(1);
