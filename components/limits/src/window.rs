//! Retry budget over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use units::ClockTime;

/// Buckets of a window. The oldest one is counted whole, so at most this part of the window is
/// counted too long.
const BUCKETS: u64 = 10;

/// Bound of a [`WindowBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowBound {
    /// Retries for each thousand requests.
    pub retries_per_thousand: u64,
    /// Retries beside these.
    pub slack: u64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct WindowBucket {
    begin: ClockTime,
    requests: u64,
    retries: u64,
}

/// Counts requests and retries of a service, and bounds the retries of each window.
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

    /// Notes a request.
    pub fn record_request(&mut self, now: ClockTime) {
        self.bucket(now).requests += 1;
    }

    /// Takes a retry from the budget; false if there is none left.
    pub fn try_retry(&mut self, now: ClockTime) -> bool {
        self.bucket(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let most = requests * self.bound.retries_per_thousand / 1000 + self.bound.slack;
        let allowed = retries < most;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }

    /// The present bucket, after old ones are dropped.
    fn bucket(&mut self, now: ClockTime) -> &mut WindowBucket {
        let window = self.bound.window;
        while self
            .buckets
            .front()
            .is_some_and(|oldest| now.since(oldest.begin) >= window)
        {
            self.buckets.pop_front();
        }
        let span = window / BUCKETS as u32;
        let is_old = self
            .buckets
            .back()
            .is_none_or(|newest| now.since(newest.begin) >= span);
        if is_old {
            self.buckets.push_back(WindowBucket {
                begin: now,
                ..WindowBucket::default()
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was added if there was none")
    }
}
