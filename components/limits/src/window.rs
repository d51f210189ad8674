//! Retry budget over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use units::ClockTime;

/// Number of buckets in a window. A bucket is removed as a whole when its start leaves the
/// window, so the counted time is shorter than the window by at most one bucket.
const BUCKET_COUNT: u64 = 10;

/// Bounds of a [`WindowBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowBound {
    /// Allowed retries per thousand requests.
    pub retries_per_thousand: u64,
    /// Retries that are allowed in addition, in each window.
    pub slack: u64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct WindowBucket {
    start: ClockTime,
    requests: u64,
    retries: u64,
}

/// Counts requests and retries of a service, and bounds the retries in each window.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    bound: WindowBound,
    buckets: VecDeque<WindowBucket>,
}

impl WindowBudget {
    /// Creates an empty budget.
    pub fn new(bound: WindowBound) -> Self {
        Self {
            bound,
            buckets: VecDeque::new(),
        }
    }

    /// Replaces the bound. Requests and retries that were counted before stay in the window.
    pub fn set_bound(&mut self, bound: WindowBound) {
        self.bound = bound;
    }

    /// Records a request.
    pub fn record_request(&mut self, now: ClockTime) {
        self.current_bucket(now).requests += 1;
    }

    /// Deducts one retry from the budget; returns false if none is left.
    pub fn try_retry(&mut self, now: ClockTime) -> bool {
        self.current_bucket(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let max_retries = requests * self.bound.retries_per_thousand / 1000 + self.bound.slack;
        let is_allowed = retries < max_retries;
        if is_allowed {
            self.current_bucket(now).retries += 1;
        }
        is_allowed
    }

    /// Returns the current bucket, and removes buckets that have left the window.
    fn current_bucket(&mut self, now: ClockTime) -> &mut WindowBucket {
        let window = self.bound.window;
        while self
            .buckets
            .front()
            .is_some_and(|oldest| now.since(oldest.start) >= window)
        {
            self.buckets.pop_front();
        }
        let bucket_length = window / BUCKET_COUNT as u32;
        let needs_bucket = self
            .buckets
            .back()
            .is_none_or(|newest| now.since(newest.start) >= bucket_length);
        if needs_bucket {
            self.buckets.push_back(WindowBucket {
                start: now,
                ..WindowBucket::default()
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was added if there was none")
    }
}
