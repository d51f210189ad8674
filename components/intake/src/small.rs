//! Counter of the memory for small bodies.

use std::sync::atomic::{AtomicU64, Ordering};

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
