//! Admission of large bodies.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use units::ClockTime;

/// Maximum time for which a body waits unread. Longer than a body of 4 MB takes at 10 MB/s, and
/// short enough that the caller can retry elsewhere.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// Maximum number of bodies that wait. The kernel holds bytes of each that have already arrived.
const MAX_WAITING: usize = 16;

/// Time without any byte after which a body is ended. Callers that make progress pause for less than
/// the time-out of their request.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which a body must make [`MIN_PROGRESS_BYTES`] of progress while others wait.
const PROGRESS_WINDOW: Duration = Duration::from_millis(1_000);

/// Progress in [`PROGRESS_WINDOW`] below which a body is in the way of others.
const MIN_PROGRESS_BYTES: u64 = 16 << 10;

/// Identifies a body at the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyKey(u64);

/// What the reader of a body must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyStatus {
    /// Its bytes are reserved; it may be read.
    Reading,
    /// It must not be read further yet.
    Waiting,
    /// It has waited too long and is refused.
    Refused,
    /// It made no progress and is ended.
    Stalled,
}

#[derive(Debug)]
struct HeldBody {
    reserved: u64,
    /// Bytes that it waits for, in addition to the reserved ones.
    wanted: u64,
    waits_since: ClockTime,
    /// Bytes read so far.
    received: u64,
    last_byte_at: ClockTime,
    /// Bytes read when the current progress window began.
    window_received: u64,
    window_began_at: ClockTime,
    is_complete: bool,
}

impl HeldBody {
    fn is_slow(&self, now: ClockTime) -> bool {
        !self.is_complete
            && self.wanted == 0
            && now.since(self.window_began_at) >= PROGRESS_WINDOW
            && self.received - self.window_received < MIN_PROGRESS_BYTES
    }
}

/// Memory for large bodies.
#[derive(Debug)]
pub struct BodyBudget {
    total: u64,
    used: u64,
    next_key: u64,
    bodies: BTreeMap<BodyKey, HeldBody>,
    /// Bodies that wait, in the order in which they are admitted.
    queue: VecDeque<BodyKey>,
}

impl BodyBudget {
    /// Creates a budget of `total` bytes.
    pub fn new(total: u64) -> Self {
        Self {
            total,
            used: 0,
            next_key: 0,
            bodies: BTreeMap::new(),
            queue: VecDeque::new(),
        }
    }

    /// Number of reserved bytes.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Number of bodies that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests memory for a body. `None`: too many wait already, and it is refused.
    pub fn admit(&mut self, bytes: u64, now: ClockTime) -> Option<BodyKey> {
        if !(self.queue.is_empty() && self.fits(bytes)) && self.queue.len() >= MAX_WAITING {
            return None;
        }
        let key = BodyKey(self.next_key);
        self.next_key += 1;
        let body = HeldBody {
            reserved: 0,
            wanted: bytes,
            waits_since: now,
            received: 0,
            last_byte_at: now,
            window_received: 0,
            window_began_at: now,
            is_complete: false,
        };
        self.bodies.insert(key, body);
        self.queue.push_back(key);
        self.grant(now);
        Some(key)
    }

    /// Requests further memory for a body of unknown length. It goes before bodies that have not
    /// begun, whose admission would keep it from completing.
    pub fn grow(&mut self, key: BodyKey, bytes: u64, now: ClockTime) {
        let Some(body) = self.bodies.get_mut(&key) else {
            return;
        };
        if body.wanted == 0 {
            body.waits_since = now;
            self.queue.push_front(key);
        }
        body.wanted += bytes;
        self.grant(now);
    }

    /// Records the number of bytes read so far, and returns whether the body may be read further.
    pub fn check(&mut self, key: BodyKey, received: u64, now: ClockTime) -> BodyStatus {
        let Some(body) = self.bodies.get_mut(&key) else {
            return BodyStatus::Refused;
        };
        if body.wanted > 0 {
            return match now.since(body.waits_since) < MAX_WAIT {
                true => BodyStatus::Waiting,
                false => BodyStatus::Refused,
            };
        }
        if received > body.received {
            body.received = received;
            body.last_byte_at = now;
        }
        if body.received - body.window_received >= MIN_PROGRESS_BYTES {
            body.window_received = body.received;
            body.window_began_at = now;
        }
        let is_silent = now.since(body.last_byte_at) >= STALL_TIMEOUT;
        match is_silent || (!self.queue.is_empty() && self.slowest(now) == Some(key)) {
            true => BodyStatus::Stalled,
            false => BodyStatus::Reading,
        }
    }

    /// Records that a body was read to its end. It is held until [`Self::release`].
    pub fn complete(&mut self, key: BodyKey) {
        if let Some(body) = self.bodies.get_mut(&key) {
            body.is_complete = true;
        }
    }

    /// Releases the memory of a body. Returns whether a waiting body was admitted.
    pub fn release(&mut self, key: BodyKey, now: ClockTime) -> bool {
        let Some(body) = self.bodies.remove(&key) else {
            return false;
        };
        self.used -= body.reserved;
        if body.wanted > 0 {
            self.queue.retain(|waiting| *waiting != key);
        }
        self.grant(now)
    }

    /// The body without progress that holds most, and among equals the one that has read least.
    fn slowest(&self, now: ClockTime) -> Option<BodyKey> {
        let slow = self.bodies.iter().filter(|(_, body)| body.is_slow(now));
        slow.max_by_key(|(_, body)| (body.reserved, u64::MAX - body.received))
            .map(|(key, _)| *key)
    }

    /// Whether bytes are free. A body that is larger than the whole budget is admitted alone.
    fn fits(&self, bytes: u64) -> bool {
        self.used == 0 || self.used + bytes <= self.total
    }

    /// Admits waiting bodies in their order while they fit.
    fn grant(&mut self, now: ClockTime) -> bool {
        let mut is_any_granted = false;
        while let Some(key) = self.queue.front() {
            let Some(body) = self.bodies.get_mut(key) else {
                self.queue.pop_front();
                continue;
            };
            // A body that already holds everything may grow beyond the budget, as one that is
            // larger from the start.
            if self.used > body.reserved && self.used + body.wanted > self.total {
                break;
            }
            self.used += body.wanted;
            body.reserved += body.wanted;
            body.wanted = 0;
            body.last_byte_at = now;
            body.window_began_at = now;
            body.window_received = body.received;
            self.queue.pop_front();
            is_any_granted = true;
        }
        is_any_granted
    }
}
