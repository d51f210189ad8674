//! Limit of a target that gives whole answers of different lengths.

use std::time::Duration;

use limits::{RunSample, TargetLimit};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use units::{ClockTime, SlotCount};

/// Largest limit of the targets here.
const MOST: u32 = 6;

fn config(seed: u64) -> Config {
    Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

/// A target at full use, whose runs start one after the other.
struct BusyTarget {
    limit: TargetLimit,
    now: ClockTime,
}

impl BusyTarget {
    fn new() -> Self {
        Self {
            limit: TargetLimit::new(SlotCount(1), SlotCount(MOST)),
            now: ClockTime(1000),
        }
    }

    fn limit(&self) -> u32 {
        self.limit.limit().0
    }

    /// Takes in an answer and returns the limit.
    fn answered(&mut self, tokens: u32, latency: Duration) -> u32 {
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

/// A target that needs a fixed time and a time for each token.
#[derive(Debug, Clone, Copy)]
struct Speed {
    fixed_ms: u64,
    token_us: u64,
}

impl Speed {
    fn latency(self, tokens: u32) -> Duration {
        let micros = self.fixed_ms * 1000 + self.token_us * u64::from(tokens);
        Duration::from_micros(micros)
    }
}

fn speed() -> impl Strategy<Value = Speed> {
    (0u64..1000, 10u64..100_000).prop_map(|(fixed_ms, token_us)| Speed { fixed_ms, token_us })
}

proptest! {
    #![proptest_config(config(53))]

    /// Guards against lengths that count as latency: a healthy target, whatever its speed, reaches
    /// its largest limit and never drops, with streams (1 token) between whole answers, and with
    /// latency that varies by less than twice.
    #[test]
    fn healthy_target_never_drops(
        speed in speed(),
        answers in prop::collection::vec((0u32..4000, 100u32..200, any::<bool>()), 60),
    ) {
        let mut target = BusyTarget::new();
        let mut most = 1;
        for (tokens, percent, stream) in answers {
            let tokens = if stream { 1 } else { tokens };
            let latency = speed.latency(tokens.max(1)) * percent / 100;
            let after = target.answered(tokens, latency);
            prop_assert!(after >= most, "dropped from {most} to {after}");
            most = after;
        }
        prop_assert_eq!(most, MOST);
    }
}

/// How much longer a class of lengths may be than its answers.
const CLASS_ERROR: f64 = 1.25;

/// The same rule over all samples, without classes of lengths. A class lets an answer look less slow
/// by up to [`CLASS_ERROR`], so that some decisions are open.
#[derive(Default)]
struct ExactRule {
    samples: Vec<(u32, Duration)>,
    /// Slowness of a drop that the next answer may prove wrong, and whether it certainly can.
    pending: Option<(f64, bool)>,
    /// Slowness of the last answer.
    last: f64,
    /// Largest slowness that is certainly known as a false alarm.
    certain_alarm: f64,
    /// Largest slowness that is known as a false alarm at the most.
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

    fn must_stay(&self, slowness: f64) -> bool {
        slowness <= 4.0 || slowness <= 2.0 * self.certain_alarm
    }

    fn must_drop(&self, slowness: f64) -> bool {
        slowness > 4.0 * CLASS_ERROR && slowness > 2.0 * CLASS_ERROR * self.possible_alarm
    }

    /// Only a drop between two normal answers can be a false alarm.
    fn dropped(&mut self, slowness: f64) {
        let (is_possible, is_certain) = (self.last <= 2.0 * CLASS_ERROR, self.last <= 2.0);
        self.pending = is_possible.then_some((slowness, is_certain));
        self.last = slowness;
    }

    /// An answer after a drop shows whether that was a false alarm.
    fn answered(&mut self, slowness: f64) {
        self.last = slowness;
        let Some((pending, is_certain)) = self.pending.take() else {
            return;
        };
        if is_certain && slowness <= 2.0 {
            self.certain_alarm = self.certain_alarm.max(pending / CLASS_ERROR);
        }
        if slowness <= 2.0 * CLASS_ERROR {
            self.possible_alarm = self.possible_alarm.max(pending);
        }
    }
}

proptest! {
    #![proptest_config(config(54))]

    /// Guards against a rule that differs from the exact one by more than the 25% that its classes
    /// of lengths allow: a target that is not slow must not drop, a slow one must.
    #[test]
    fn classes_follow_the_exact_rule(
        answers in prop::collection::vec((1u32..3000, 5u64..4000), 1..120),
    ) {
        let mut target = BusyTarget::new();
        let mut exact = ExactRule::default();
        for (tokens, millis) in answers {
            let latency = Duration::from_millis(millis);
            let before = target.limit();
            let slowness = exact.slowness(tokens, latency);
            if exact.must_stay(slowness) {
                prop_assert!(target.answered(tokens, latency) >= before);
                exact.answered(slowness);
                exact.samples.push((tokens, latency));
            } else if exact.must_drop(slowness) {
                prop_assert_eq!(target.answered(tokens, latency), 1);
                exact.dropped(slowness);
            }
        }
    }
}

/// Guards against a target that becomes slow and keeps its limit because its answers are whole.
#[rstest]
fn slow_whole_answer_drops_the_limit(#[values(1, 7, 40, 333, 2000)] tokens: u32) {
    let speed = Speed {
        fixed_ms: 100,
        token_us: 20_000,
    };
    let mut target = BusyTarget::new();
    for known in [8, 30, 85, 400, 1500, tokens].repeat(10) {
        target.answered(known, speed.latency(known));
    }
    assert_eq!(target.limit(), MOST);

    let after = target.answered(tokens, speed.latency(tokens) * 6);

    assert_eq!(after, 1);
}

/// Guards against a healthy target that drops to cold whenever a prompt is not in its prefix cache:
/// with the stand-in's times, a first token takes 20 ms from the cache and 100 ms without it.
#[test]
fn misses_of_the_prefix_cache_leave_the_limit() {
    let mut target = BusyTarget::new();

    for round in 0..400_u64 {
        let is_cached = !round.is_multiple_of(3);
        let latency = if is_cached { 20 } else { 100 };
        target.answered(1, Duration::from_millis(latency));
    }

    assert_eq!(target.limit(), MOST);
}

/// Guards against a target that turns cold after a false alarm and keeps its limit:
/// slowness well above the alarm, and slowness that goes on, are no false alarms.
#[test]
fn slow_answers_after_a_false_alarm_still_drop_the_limit() {
    let mut target = BusyTarget::new();
    let answered = |target: &mut BusyTarget, ms| target.answered(1, Duration::from_millis(ms));
    for _ in 0..100 {
        answered(&mut target, 20);
    }
    let at_alarm = answered(&mut target, 100);
    for _ in 0..100 {
        answered(&mut target, 20);
    }

    let after_alarm = [answered(&mut target, 100), answered(&mut target, 300)];
    answered(&mut target, 300);
    for _ in 0..50 {
        answered(&mut target, 20);
    }
    let again = answered(&mut target, 300);

    assert_eq!(at_alarm, 1);
    assert_eq!(after_alarm, [MOST, 1]);
    assert_eq!(
        again, 1,
        "the first answer after the drop was slow, so it was no false alarm"
    );
}
