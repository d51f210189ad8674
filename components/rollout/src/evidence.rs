//! Comparison of the new version with the old ones over the same time, by route and kind of failure.
//!
//! Time is divided into intervals. Under the null hypothesis, each bad response of an interval
//! belongs to the new version with at most the probability of its share of the requests, times a
//! tolerated ratio. The number of bad responses of the new version is then bounded by a binomial
//! distribution with the mean probability (Hoeffding 1956), whose tail is at most `exp(-n KL)`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use units::ClockTime;

/// Length of an interval.
const INTERVAL: Duration = Duration::from_millis(400);

/// Number of intervals over which the share of the new version is taken. Responses arrive some time
/// after their requests.
const SHARE_INTERVALS: usize = 5;

/// Numbers of latest intervals over which evidence is summed. Short spans find a version that turns
/// bad, long ones a version that is bad rarely.
const SPANS: [usize; 3] = [10, 40, 150];

/// Minimum number of intervals with bad responses of the new version. The requests that a target
/// held when it crashed all fail within two intervals.
const MIN_BAD_INTERVALS: u32 = 3;

/// Ratio of the failure rates of both versions that is tolerated. Targets of the new version are
/// few, and faults of the site don't hit all targets evenly.
const FAILURE_RATIO: f64 = 1.5;

/// Ratio of the rates of slow responses that is tolerated. Targets that have just started have no
/// prompts cached.
const SLOW_RATIO: f64 = 3.0;

/// Rate of bad responses that is tolerated while no requests run at the old versions and there is
/// nothing to compare with at the same time.
const TOLERATED_RATE: f64 = 0.08;

/// Bad responses of one interval that count: at least this number, and a quarter of the interval's
/// requests. It bounds what one crash of a target contributes.
const MIN_COUNTED: f64 = 2.0;

/// Requests and responses of both versions on one route since the last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RouteDelta {
    pub(crate) new_sent: u64,
    pub(crate) old_sent: u64,
    pub(crate) new_failed: u64,
    pub(crate) old_failed: u64,
    pub(crate) new_slow: u64,
    pub(crate) old_slow: u64,
}

impl RouteDelta {
    fn add(&mut self, other: &Self) {
        self.new_sent += other.new_sent;
        self.old_sent += other.old_sent;
        self.new_failed += other.new_failed;
        self.old_failed += other.old_failed;
        self.new_slow += other.new_slow;
        self.old_slow += other.old_slow;
    }
}

/// Counts of one kind of bad response.
struct KindCounts {
    new_bad: f64,
    old_bad: f64,
    new_sent: f64,
    /// Requests of the new version for each of an old one, whichever is higher: of late or in total.
    sent_ratio: f64,
    /// Rate of bad responses of the old versions in total.
    old_rate: f64,
    tolerated_ratio: f64,
}

/// Sums over intervals for one kind of bad response.
#[derive(Debug, Clone, Copy, Default)]
struct KindSums {
    bad: f64,
    new_bad: f64,
    expected_new: f64,
    bad_intervals: u32,
    /// Requests and bad responses of the new version without a comparison at the same time.
    alone_sent: f64,
    alone_bad: f64,
    alone_expected: f64,
}

impl KindSums {
    /// Sums of one interval. `is_alone` tells that all new requests go to the new version.
    fn of(counts: &KindCounts, is_alone: bool) -> Self {
        let max_counted = (counts.new_sent / 4.0).max(MIN_COUNTED);
        let new_bad = counts.new_bad.min(max_counted);
        let bad_intervals = u32::from(new_bad > 0.0);
        if is_alone {
            let rate = (counts.old_rate * 2.0).clamp(TOLERATED_RATE, 1.0);
            return Self {
                bad_intervals,
                alone_sent: counts.new_sent,
                alone_bad: new_bad,
                alone_expected: counts.new_sent * rate,
                ..Self::default()
            };
        }
        let weight = counts.sent_ratio * counts.tolerated_ratio;
        let bad = new_bad + counts.old_bad;
        Self {
            bad,
            new_bad,
            expected_new: bad * weight / (1.0 + weight),
            bad_intervals,
            ..Self::default()
        }
    }

    fn add(&mut self, other: &Self) {
        self.bad += other.bad;
        self.new_bad += other.new_bad;
        self.expected_new += other.expected_new;
        self.bad_intervals += other.bad_intervals;
        self.alone_sent += other.alone_sent;
        self.alone_bad += other.alone_bad;
        self.alone_expected += other.alone_expected;
    }

    fn evidence(&self) -> f64 {
        if self.bad_intervals < MIN_BAD_INTERVALS {
            return 0.0;
        }
        let compared = binomial_evidence(self.bad, self.new_bad, self.expected_new);
        let alone = binomial_evidence(self.alone_sent, self.alone_bad, self.alone_expected);
        compared + alone
    }
}

/// Bound on the negative logarithm of the probability of `observed` or more successes in `count`
/// trials when `expected` are expected.
fn binomial_evidence(count: f64, observed: f64, expected: f64) -> f64 {
    let observed = observed.min(count);
    if count <= 0.0 || observed <= expected {
        return 0.0;
    }
    let (rate, mean) = (observed / count, (expected / count).max(1e-6));
    let term = |rate: f64, mean: f64| match rate > 0.0 {
        true => rate * (rate / mean).ln(),
        false => 0.0,
    };
    count * (term(rate, mean) + term(1.0 - rate, 1.0 - mean))
}

/// Intervals of one route.
#[derive(Debug, Clone, Default)]
struct RouteHistory {
    current: RouteDelta,
    total: RouteDelta,
    /// Requests of the latest intervals to the new and the old versions.
    recent_sent: VecDeque<(u64, u64)>,
    /// Sums of the latest intervals, for failures and for slow responses.
    closed: VecDeque<[KindSums; 2]>,
}

impl RouteHistory {
    fn close_interval(&mut self, is_alone: bool) {
        let delta = std::mem::take(&mut self.current);
        self.total.add(&delta);
        self.recent_sent.push_back((delta.new_sent, delta.old_sent));
        if self.recent_sent.len() > SHARE_INTERVALS {
            self.recent_sent.pop_front();
        }
        self.closed.push_back(self.sums(&delta, is_alone));
        if self.closed.len() > SPANS[SPANS.len() - 1] {
            self.closed.pop_front();
        }
    }

    fn sums(&self, delta: &RouteDelta, is_alone: bool) -> [KindSums; 2] {
        let ratio = |new: u64, old: u64| new as f64 / (old as f64).max(1.0);
        let recent = self.recent_sent.iter();
        let (new, old) = recent.fold((0, 0), |sum, sent| (sum.0 + sent.0, sum.1 + sent.1));
        let sent_ratio = ratio(new, old).max(ratio(self.total.new_sent, self.total.old_sent));
        let failures = KindCounts {
            new_bad: delta.new_failed as f64,
            old_bad: delta.old_failed as f64,
            new_sent: delta.new_sent as f64,
            sent_ratio,
            old_rate: ratio(self.total.old_failed, self.total.old_sent),
            tolerated_ratio: FAILURE_RATIO,
        };
        let slow = KindCounts {
            new_bad: delta.new_slow as f64,
            old_bad: delta.old_slow as f64,
            old_rate: ratio(self.total.old_slow, self.total.old_sent),
            tolerated_ratio: SLOW_RATIO,
            ..failures
        };
        [&failures, &slow].map(|counts| KindSums::of(counts, is_alone))
    }
}

/// Evidence of the difference between the new and the old versions of a service.
#[derive(Debug, Clone, Default)]
pub(crate) struct VersionEvidence {
    routes: BTreeMap<u64, RouteHistory>,
    interval_start: Option<ClockTime>,
    is_alone: bool,
}

impl VersionEvidence {
    /// Adds what an entry has counted. `is_alone` tells that all new requests go to the new version.
    pub(crate) fn add(&mut self, route: u64, delta: &RouteDelta, is_alone: bool, now: ClockTime) {
        self.advance(is_alone, now);
        self.routes.entry(route).or_default().current.add(delta);
    }

    /// Closes intervals that have passed.
    pub(crate) fn advance(&mut self, is_alone: bool, now: ClockTime) {
        let mut start = *self.interval_start.get_or_insert(now);
        // After a long pause the intervals without counts are not needed.
        if now.since(start) > INTERVAL * SPANS[0] as u32 {
            start = now - INTERVAL;
        }
        while now.since(start) >= INTERVAL {
            let is_alone = self.is_alone;
            for route in self.routes.values_mut() {
                route.close_interval(is_alone);
            }
            start = start + INTERVAL;
        }
        self.interval_start = Some(start);
        self.is_alone = is_alone;
    }

    /// Highest evidence against the new version on one route or on all routes together: at most
    /// `exp(-evidence)` is the probability of such counts over one span if both versions are equal.
    pub(crate) fn highest(&self) -> f64 {
        let mut highest: f64 = 0.0;
        for span in SPANS {
            let mut all = [KindSums::default(); 2];
            for history in self.routes.values() {
                let mut sums = [KindSums::default(); 2];
                for interval in history.closed.iter().rev().take(span) {
                    for kind in 0..2 {
                        sums[kind].add(&interval[kind]);
                    }
                }
                for kind in 0..2 {
                    highest = highest.max(sums[kind].evidence());
                    all[kind].add(&sums[kind]);
                }
            }
            for sums in &all {
                highest = highest.max(sums.evidence());
            }
        }
        highest
    }
}
