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

/// Numbers of latest intervals over which the share of the new version is taken. Responses arrive
/// some time after their requests, and the share doubles at a step.
const SHARE_INTERVALS: [usize; 3] = [1, 2, MAX_SHARE_INTERVALS];

/// Number of intervals for which the numbers of requests are kept.
const MAX_SHARE_INTERVALS: usize = 5;

/// Span of latest intervals over which evidence is summed.
struct Span {
    intervals: usize,
    /// Number of intervals with most bad responses that are cut to the next lower number. A crash
    /// of a target ends all its requests within two intervals, and is not the version's fault.
    cut: usize,
}

/// Short spans find a version that turns bad, long ones a version that is rarely bad.
const SPANS: [Span; 3] = [
    Span {
        intervals: 10,
        cut: 2,
    },
    Span {
        intervals: 40,
        cut: 4,
    },
    Span {
        intervals: MAX_INTERVALS,
        cut: 8,
    },
];

/// Number of intervals that are kept.
const MAX_INTERVALS: usize = 150;

/// Pause after which intervals without counts are left out.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Minimum number of intervals with bad responses of the new version, one more than a crash covers.
const MIN_BAD_INTERVALS: u32 = 3;

/// Ratio of the failure rates of both versions that is tolerated. Targets of the new version are
/// few, and faults of the site don't hit all targets evenly.
const FAILURE_RATIO: f64 = 1.25;

/// Ratio of the rates of slow responses that is tolerated. Targets that have just started have no
/// prompts cached.
const SLOW_RATIO: f64 = 2.0;

/// Rate of bad responses that is tolerated while no requests run at the old versions and there is
/// nothing to compare with at the same time. One of a dozen targets that crashes fails an eighth of
/// the requests for some intervals.
const TOLERATED_RATE: f64 = 0.12;

/// Multiple of the old versions' earlier rate that is tolerated in the same case. Faults of the site
/// may have increased since.
const TOLERATED_INCREASE: f64 = 3.0;

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

/// Bad responses of one kind in one interval.
#[derive(Debug, Clone, Copy)]
struct IntervalCounts {
    new_bad: f64,
    old_bad: f64,
    new_sent: f64,
    /// Maximum probability that a bad response belongs to the new version, if both are equal; `None`
    /// while all new requests go to the new version.
    new_probability: Option<f64>,
    /// Tolerated rate of bad responses without a comparison at the same time.
    tolerated_rate: f64,
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
    /// Sums up intervals, and cuts the highest counts of the new version.
    fn of(intervals: &[IntervalCounts], cut: usize) -> Self {
        // Levels differ where the new version gets all requests.
        let max_compared = cut_level(intervals, cut, false);
        let max_alone = cut_level(intervals, cut, true);
        let mut sums = Self::default();
        for interval in intervals {
            let max_new = match interval.new_probability {
                Some(_) => max_compared,
                None => max_alone,
            };
            let new_bad = interval.new_bad.min(max_new);
            let bad = new_bad + interval.old_bad;
            sums.bad_intervals += u32::from(new_bad > 0.0);
            match interval.new_probability {
                Some(probability) => {
                    sums.bad += bad;
                    sums.new_bad += new_bad;
                    sums.expected_new += bad * probability;
                }
                None => {
                    sums.alone_sent += interval.new_sent;
                    sums.alone_bad += new_bad;
                    sums.alone_expected += interval.new_sent * interval.tolerated_rate;
                }
            }
        }
        sums
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
        // The sum of two independent exponents exceeds a level with (1 + level) times the
        // probability of one.
        let sum = compared + alone;
        match compared > 0.0 && alone > 0.0 {
            true => (sum - sum.ln_1p()).max(compared).max(alone),
            false => sum,
        }
    }
}

/// Highest count of the new version in an interval after the `cut` highest ones, and at least 1, of
/// the intervals with or without a comparison at the same time.
fn cut_level(intervals: &[IntervalCounts], cut: usize, is_alone: bool) -> f64 {
    let intervals = intervals.iter();
    let counts = intervals.filter(|interval| interval.new_probability.is_none() == is_alone);
    let mut counts: Vec<f64> = counts.map(|interval| interval.new_bad).collect();
    counts.sort_by(|one, other| other.total_cmp(one));
    counts.get(cut).copied().unwrap_or_default().max(1.0)
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
    /// Counts of the latest intervals, for failures and for slow responses.
    closed: VecDeque<[IntervalCounts; 2]>,
}

impl RouteHistory {
    fn close_interval(&mut self, is_alone: bool) {
        let delta = std::mem::take(&mut self.current);
        self.total.add(&delta);
        self.recent_sent.push_back((delta.new_sent, delta.old_sent));
        if self.recent_sent.len() > MAX_SHARE_INTERVALS {
            self.recent_sent.pop_front();
        }
        self.closed
            .push_back(self.interval_counts(&delta, is_alone));
        if self.closed.len() > MAX_INTERVALS {
            self.closed.pop_front();
        }
    }

    fn interval_counts(&self, delta: &RouteDelta, is_alone: bool) -> [IntervalCounts; 2] {
        let ratio = |new: u64, old: u64| new as f64 / (old as f64).max(1.0);
        let ratio_of_latest = |count: usize| {
            let latest = self.recent_sent.iter().rev().take(count);
            let (new, old) = latest.fold((0, 0), |sum, sent| (sum.0 + sent.0, sum.1 + sent.1));
            ratio(new, old)
        };
        // Bad responses may belong to requests of any time, so the highest ratio counts.
        let total = &self.total;
        let sent_ratio = SHARE_INTERVALS
            .map(ratio_of_latest)
            .into_iter()
            .fold(ratio(total.new_sent, total.old_sent), f64::max);
        let counts = |new_bad: u64, old_bad: u64, total_old_bad: u64, tolerated: f64| {
            let weight = sent_ratio * tolerated;
            let old_rate = ratio(total_old_bad, total.old_sent);
            IntervalCounts {
                new_bad: new_bad as f64,
                old_bad: old_bad as f64,
                new_sent: delta.new_sent as f64,
                new_probability: (!is_alone).then_some(weight / (1.0 + weight)),
                tolerated_rate: (old_rate * TOLERATED_INCREASE).clamp(TOLERATED_RATE, 1.0),
            }
        };
        [
            counts(
                delta.new_failed,
                delta.old_failed,
                total.old_failed,
                FAILURE_RATIO,
            ),
            counts(delta.new_slow, delta.old_slow, total.old_slow, SLOW_RATIO),
        ]
    }

    /// Sums of the latest intervals, for failures and for slow responses.
    fn sums(&self, span: &Span) -> [KindSums; 2] {
        [0, 1].map(|kind| {
            let latest = self.closed.iter().rev().take(span.intervals);
            let latest: Vec<IntervalCounts> = latest.map(|counts| counts[kind]).collect();
            KindSums::of(&latest, span.cut)
        })
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
        if now.since(start) > MAX_PAUSE {
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
        for span in &SPANS {
            let mut all = [KindSums::default(); 2];
            for history in self.routes.values() {
                for (sums, all) in history.sums(span).iter().zip(&mut all) {
                    highest = highest.max(sums.evidence());
                    all.add(sums);
                }
            }
            for sums in &all {
                highest = highest.max(sums.evidence());
            }
        }
        highest
    }
}
