//! Best observed latency of a target by answer length.

use std::collections::BTreeMap;
use std::time::Duration;

/// Lower bound of the best latency.
///
/// Latencies are measured in milliseconds. Below this bound, a scheduling delay of a few
/// milliseconds would already exceed the factor at which a target counts as cold.
const MIN_BEST_LATENCY: Duration = Duration::from_millis(5);

/// Answer length in tokens from which lengths are no longer distinguished.
const MAX_TOKENS: u32 = 1 << 24;

/// Significant bits of a length class. With 3 bits, a class is at most 25% longer than its
/// answers, and there are fewer than 100 classes.
const CLASS_BITS: u32 = 3;

/// Best latency for each class of answer lengths.
///
/// The latency of an answer is a fixed time plus a time per token, both unknown. A target that
/// once produced `k` tokens in a given time produces `n` tokens in at most `max(1, n / k)` times
/// that time, so samples of any length bound the latency for every other length.
#[derive(Debug, Clone, Default)]
pub(crate) struct BestLatency {
    classes: BTreeMap<u32, Duration>,
}

impl BestLatency {
    /// Records the latency of an answer with this number of tokens.
    pub(crate) fn record(&mut self, tokens: u32, latency: Duration) {
        let tokens = tokens.clamp(1, MAX_TOKENS);
        let class = length_class(tokens);
        let latency = scaled_latency(latency.max(MIN_BEST_LATENCY), class, tokens);
        let best = self.classes.entry(class).or_insert(latency);
        *best = latency.min(*best);
    }

    /// Upper bound of the latency of an answer with this number of tokens at the best observed
    /// speed; `None` before the first sample.
    pub(crate) fn expected(&self, tokens: u32) -> Option<Duration> {
        let tokens = tokens.clamp(1, MAX_TOKENS);
        let bounds = self.classes.iter().map(|(class, latency)| {
            if tokens > *class {
                scaled_latency(*latency, tokens, *class)
            } else {
                *latency
            }
        });
        bounds.min()
    }
}

/// Smallest length with [`CLASS_BITS`] significant bits that is at least `tokens`.
fn length_class(tokens: u32) -> u32 {
    let bits = u32::BITS - tokens.leading_zeros();
    let shift = bits.saturating_sub(CLASS_BITS);
    tokens.div_ceil(1 << shift) << shift
}

fn scaled_latency(latency: Duration, to: u32, from: u32) -> Duration {
    latency * to / from
}
