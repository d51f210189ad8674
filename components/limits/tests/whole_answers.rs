//! Limit of a target whose answers are sent as a whole and differ in length.

use std::time::Duration;

use limits::{RunSample, TargetLimit};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use units::{ClockTime, SlotCount};

/// Maximum limit of the targets in these tests.
const MAX_LIMIT: u32 = 6;

fn config(seed: u64) -> Config {
    Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

/// Target at full use whose runs start one after the other.
struct BusyTarget {
    limit: TargetLimit,
    now: ClockTime,
}

impl BusyTarget {
    fn new() -> Self {
        Self {
            limit: TargetLimit::new(SlotCount(1), SlotCount(MAX_LIMIT)),
            now: ClockTime(1000),
        }
    }

    fn limit(&self) -> u32 {
        self.limit.limit().0
    }

    /// Records an answer and returns the limit.
    fn record_answer(&mut self, tokens: u32, latency: Duration) -> u32 {
        self.now = self.now + Duration::from_millis(1);
        let sample = RunSample {
            started_at: self.now,
            running: self.limit.limit(),
            latency,
            tokens,
            succeeded: true,
        };
        self.limit.record_run(sample, self.now);
        self.limit()
    }
}

/// Fixed time per answer, and time per token.
#[derive(Debug, Clone, Copy)]
struct TargetSpeed {
    fixed_ms: u64,
    token_us: u64,
}

impl TargetSpeed {
    fn latency(self, tokens: u32) -> Duration {
        let micros = self.fixed_ms * 1000 + self.token_us * u64::from(tokens);
        Duration::from_micros(micros)
    }
}

fn speed() -> impl Strategy<Value = TargetSpeed> {
    (0u64..1000, 10u64..100_000).prop_map(|(fixed_ms, token_us)| TargetSpeed { fixed_ms, token_us })
}

proptest! {
    #![proptest_config(config(53))]

    /// Guards against long answers that are taken for slow ones. A healthy target of any speed
    /// reaches its maximum limit and never drops. Streams (1 token) are mixed with whole answers,
    /// and the latency varies by a factor of less than two.
    #[test]
    fn healthy_target_never_drops(
        speed in speed(),
        answers in prop::collection::vec((0u32..4000, 100u32..200, any::<bool>()), 60),
    ) {
        let mut target = BusyTarget::new();
        let mut highest_limit = 1;
        for (tokens, percent, is_stream) in answers {
            let tokens = if is_stream { 1 } else { tokens };
            let latency = speed.latency(tokens.max(1)) * percent / 100;
            let after = target.record_answer(tokens, latency);
            prop_assert!(after >= highest_limit, "limit dropped from {highest_limit} to {after}");
            highest_limit = after;
        }
        prop_assert_eq!(highest_limit, MAX_LIMIT);
    }
}

/// Largest ratio of the length of a class to that of its answers.
const CLASS_ERROR: f64 = 1.25;

/// Reference model of the rule for drops, with all samples instead of length classes. A class can
/// make an answer look less slow by a factor of up to [`CLASS_ERROR`], so some decisions are not
/// determined.
#[derive(Default)]
struct ExactRule {
    samples: Vec<(u32, Duration)>,
    /// Slowness of a drop that the next answer may show to be a false alarm, and whether the drop
    /// certainly qualifies as one.
    pending_drop: Option<(f64, bool)>,
    /// Slowness of the last answer.
    last_slowness: f64,
    /// Largest slowness that certainly counts as a false alarm.
    certain_alarm: f64,
    /// Largest slowness that possibly counts as a false alarm.
    possible_alarm: f64,
}

impl ExactRule {
    fn expected(&self, tokens: u32) -> Option<Duration> {
        let bounds = self.samples.iter();
        bounds
            .map(|(known, latency)| *latency * tokens.max(*known) / *known)
            .min()
    }

    fn slowness(&self, tokens: u32, latency: Duration) -> f64 {
        let expected = self.expected(tokens).unwrap_or(latency);
        latency.as_secs_f64() / expected.as_secs_f64()
    }

    fn must_keep_limit(&self, slowness: f64) -> bool {
        slowness <= 4.0 || slowness <= 2.0 * self.certain_alarm
    }

    fn must_drop(&self, slowness: f64) -> bool {
        slowness > 4.0 * CLASS_ERROR && slowness > 2.0 * CLASS_ERROR * self.possible_alarm
    }

    /// Records a drop. It can be a false alarm only between two normal answers.
    fn record_drop(&mut self, slowness: f64) {
        let (is_possible, is_certain) = (
            self.last_slowness <= 2.0 * CLASS_ERROR,
            self.last_slowness <= 2.0,
        );
        self.pending_drop = is_possible.then_some((slowness, is_certain));
        self.last_slowness = slowness;
    }

    /// Records an answer, which shows whether a preceding drop was a false alarm.
    fn record_answer(&mut self, slowness: f64) {
        self.last_slowness = slowness;
        let Some((dropped_slowness, is_certain)) = self.pending_drop.take() else {
            return;
        };
        if is_certain && slowness <= 2.0 {
            self.certain_alarm = self.certain_alarm.max(dropped_slowness / CLASS_ERROR);
        }
        if slowness <= 2.0 * CLASS_ERROR {
            self.possible_alarm = self.possible_alarm.max(dropped_slowness);
        }
    }
}

proptest! {
    #![proptest_config(config(54))]

    /// Guards against a rule that differs from the exact one by more than the 25% that its length
    /// classes allow. A target that is not slow must not drop, and a slow one must.
    #[test]
    fn length_classes_follow_the_exact_rule(
        answers in prop::collection::vec((1u32..3000, 5u64..4000), 1..120),
    ) {
        let mut target = BusyTarget::new();
        let mut exact = ExactRule::default();
        for (tokens, millis) in answers {
            let latency = Duration::from_millis(millis);
            let before = target.limit();
            let slowness = exact.slowness(tokens, latency);
            if exact.must_keep_limit(slowness) {
                prop_assert!(target.record_answer(tokens, latency) >= before);
                exact.record_answer(slowness);
                exact.samples.push((tokens, latency));
            } else if exact.must_drop(slowness) {
                prop_assert_eq!(target.record_answer(tokens, latency), 1);
                exact.record_drop(slowness);
            }
        }
    }
}

/// Guards against a slow target that keeps its limit because its answers are sent as a whole.
#[rstest]
fn slow_whole_answer_drops_the_limit(#[values(1, 7, 40, 333, 2000)] tokens: u32) {
    let speed = TargetSpeed {
        fixed_ms: 100,
        token_us: 20_000,
    };
    let mut target = BusyTarget::new();
    for known in [8, 30, 85, 400, 1500, tokens].repeat(10) {
        target.record_answer(known, speed.latency(known));
    }
    assert_eq!(target.limit(), MAX_LIMIT);

    let after = target.record_answer(tokens, speed.latency(tokens) * 6);

    assert_eq!(after, 1);
}

/// Guards against a healthy target that drops to cold whenever a prompt is not in its prefix
/// cache. With the times of the stand-in, a first token takes 20 ms from the cache and 100 ms
/// without it.
#[test]
fn prefix_cache_misses_do_not_drop_the_limit() {
    let mut target = BusyTarget::new();

    for round in 0..400_u64 {
        let is_cached = !round.is_multiple_of(3);
        let latency = if is_cached { 20 } else { 100 };
        target.record_answer(1, Duration::from_millis(latency));
    }

    assert_eq!(target.limit(), MAX_LIMIT);
}

/// Guards against a target that becomes cold after a false alarm and keeps its limit. Slowness
/// well above the alarm, and slowness that lasts, are not false alarms.
#[test]
fn slow_answers_after_a_false_alarm_still_drop_the_limit() {
    let mut target = BusyTarget::new();
    let record_latency =
        |target: &mut BusyTarget, ms| target.record_answer(1, Duration::from_millis(ms));
    for _ in 0..100 {
        record_latency(&mut target, 20);
    }
    let at_alarm = record_latency(&mut target, 100);
    for _ in 0..100 {
        record_latency(&mut target, 20);
    }

    let after_alarm = [
        record_latency(&mut target, 100),
        record_latency(&mut target, 300),
    ];
    record_latency(&mut target, 300);
    for _ in 0..50 {
        record_latency(&mut target, 20);
    }
    let again = record_latency(&mut target, 300);

    assert_eq!(at_alarm, 1);
    assert_eq!(after_alarm, [MAX_LIMIT, 1]);
    assert_eq!(
        again, 1,
        "the first answer after the drop was slow, so it was no false alarm"
    );
}
