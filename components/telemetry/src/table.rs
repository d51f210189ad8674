//! Counters and latency histograms that a process serves itself.
//!
//! A [`MetricTable`] is a sink of the metrics client. It adds counters up, sorts timers into buckets,
//! and renders both as the text that metric scrapers read.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use cadence::{MetricSink, StatsdClient};

/// Upper bounds of the buckets of a latency, in milliseconds. They double, so that a latency is known
/// to within a factor of two from the fastest answers to the longest time limits.
const BUCKETS_MS: [u64; 14] = [
    1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 16_384,
];

/// Latencies of one name.
#[derive(Debug, Clone, Default)]
struct LatencyHistogram {
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: u64,
}

#[derive(Debug, Default)]
struct TableState {
    counters: BTreeMap<String, u64>,
    latencies: BTreeMap<String, LatencyHistogram>,
}

/// Sums of all metrics since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct MetricTable {
    state: Arc<Mutex<TableState>>,
}

impl MetricTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// A client whose metrics go into this table.
    pub fn client(&self, prefix: &str) -> StatsdClient {
        StatsdClient::from_sink(prefix, self.clone())
    }

    /// All metrics as text: counters, and for each latency its buckets, sum and count.
    pub fn render(&self) -> String {
        let state = self.lock();
        let mut text = String::new();
        for (name, count) in &state.counters {
            let _ = writeln!(text, "# TYPE {name} counter\n{name} {count}");
        }
        for (name, histogram) in &state.latencies {
            histogram.render(name, &mut text);
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().expect("no holder of the table panics")
    }
}

impl LatencyHistogram {
    fn add(&mut self, ms: u64) {
        let bucket = BUCKETS_MS.iter().position(|bound| ms <= *bound);
        if let Some(bucket) = bucket {
            self.buckets[bucket] += 1;
        }
        self.count += 1;
        self.sum_ms += ms;
    }

    fn render(&self, name: &str, text: &mut String) {
        let _ = writeln!(text, "# TYPE {name}_ms histogram");
        let mut total = 0;
        for (bound, count) in BUCKETS_MS.iter().zip(self.buckets) {
            total += count;
            let _ = writeln!(text, "{name}_ms_bucket{{le=\"{bound}\"}} {total}");
        }
        let (count, sum) = (self.count, self.sum_ms);
        let _ = writeln!(text, "{name}_ms_bucket{{le=\"+Inf\"}} {count}");
        let _ = writeln!(text, "{name}_ms_sum {sum}\n{name}_ms_count {count}");
    }
}

impl MetricSink for MetricTable {
    /// Takes in a line such as `bilberry.relay.requests:1|c`.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let malformed = || io::Error::new(io::ErrorKind::InvalidData, metric.to_string());
        let (name, rest) = metric.split_once(':').ok_or_else(malformed)?;
        let (value, kind) = rest.split_once('|').ok_or_else(malformed)?;
        let value: u64 = value.parse().map_err(|_| malformed())?;
        let name = name.replace(['.', '-'], "_");
        let mut state = self.lock();
        match kind {
            "c" => *state.counters.entry(name).or_default() += value,
            "ms" => state.latencies.entry(name).or_default().add(value),
            _ => return Err(malformed()),
        }
        Ok(metric.len())
    }
}
