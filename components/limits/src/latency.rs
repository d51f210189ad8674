//! Latency that a target has shown for answers of each length.

use std::collections::BTreeMap;
use std::time::Duration;

/// Smallest latency that is taken as the best.
///
/// Latencies are measured in milliseconds, and below this a few milliseconds of scheduling delay
/// already exceed the factor at which a target counts as cold.
const LEAST_BEST_LATENCY: Duration = Duration::from_millis(5);

/// Longest answer that is told apart, in tokens.
const MOST_TOKENS: u32 = 1 << 24;

/// Significant bits of a length class. With 3 a class is at most 25% longer than its answers, and
/// there are under 100 classes.
const CLASS_BITS: u32 = 3;

/// Best latency for each class of answer lengths.
///
/// The time for an answer is a fixed part plus a time for each token. Without either being known, a
/// target that once produced `k` tokens in a time produces `n` tokens in at most `max(1, n / k)` times
/// that time, so the samples of all lengths bound the latency of one length.
#[derive(Debug, Clone, Default)]
pub(crate) struct BestLatency {
    classes: BTreeMap<u32, Duration>,
}

impl BestLatency {
    /// Takes in the latency of an answer of that many tokens.
    pub(crate) fn note(&mut self, tokens: u32, latency: Duration) {
        let tokens = tokens.clamp(1, MOST_TOKENS);
        let class = length_class(tokens);
        let latency = scaled(latency.max(LEAST_BEST_LATENCY), class, tokens);
        let best = self.classes.entry(class).or_insert(latency);
        *best = latency.min(*best);
    }

    /// Longest time that the target needs for an answer of that many tokens at its best speed; none
    /// before the first sample.
    pub(crate) fn expected(&self, tokens: u32) -> Option<Duration> {
        let tokens = tokens.clamp(1, MOST_TOKENS);
        let bounds = self.classes.iter().map(|(class, latency)| {
            if tokens > *class {
                scaled(*latency, tokens, *class)
            } else {
                *latency
            }
        });
        bounds.min()
    }
}

/// The least length with [`CLASS_BITS`] significant bits that is not below this one.
fn length_class(tokens: u32) -> u32 {
    let bits = u32::BITS - tokens.leading_zeros();
    let shift = bits.saturating_sub(CLASS_BITS);
    tokens.div_ceil(1 << shift) << shift
}

fn scaled(latency: Duration, to: u32, from: u32) -> Duration {
    latency * to / from
}
