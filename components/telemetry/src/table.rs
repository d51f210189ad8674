//! Counters, gauges and latency histograms of a process, for scraping over HTTP.
//!
//! A [`MetricTable`] is a sink of the statsd client. It sums counters, keeps the last value of gauges,
//! counts timers in histogram buckets, and renders all in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use cadence::{MetricSink, StatsdClient};

/// Upper bounds of the histogram buckets, in milliseconds, from the fastest responses to the
/// longest timeouts. Each bound up to 4096 is twice the previous one, so that latencies are known
/// to within a factor of two.
const BUCKET_BOUNDS_MS: [u64; 14] = [
    1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 16_384,
];

/// Histogram of the latencies of one metric.
#[derive(Debug, Clone, Default)]
struct LatencyHistogram {
    buckets: [u64; BUCKET_BOUNDS_MS.len()],
    count: u64,
    sum_ms: u64,
}

#[derive(Debug, Default)]
struct TableState {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    latencies: BTreeMap<String, LatencyHistogram>,
}

/// Counters, gauges and histograms of a process since its start. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct MetricTable {
    state: Arc<Mutex<TableState>>,
}

impl MetricTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Client that records its metrics in this table, with this prefix of their names.
    pub fn client(&self, prefix: &str) -> StatsdClient {
        StatsdClient::from_sink(prefix, self.clone())
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let state = self.lock();
        let mut text = String::new();
        for (name, count) in &state.counters {
            let _ = writeln!(text, "# TYPE {name} counter\n{name} {count}");
        }
        for (name, value) in &state.gauges {
            let _ = writeln!(text, "# TYPE {name} gauge\n{name} {value}");
        }
        for (name, histogram) in &state.latencies {
            histogram.render(name, &mut text);
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl LatencyHistogram {
    fn record(&mut self, ms: u64) {
        let bucket = BUCKET_BOUNDS_MS.iter().position(|bound| ms <= *bound);
        if let Some(bucket) = bucket {
            self.buckets[bucket] += 1;
        }
        self.count += 1;
        self.sum_ms += ms;
    }

    fn render(&self, name: &str, text: &mut String) {
        let _ = writeln!(text, "# TYPE {name}_ms histogram");
        let mut cumulative_count = 0;
        for (bound, count) in BUCKET_BOUNDS_MS.iter().zip(self.buckets) {
            cumulative_count += count;
            let _ = writeln!(
                text,
                "{name}_ms_bucket{{le=\"{bound}\"}} {cumulative_count}"
            );
        }
        let (count, sum) = (self.count, self.sum_ms);
        let _ = writeln!(text, "{name}_ms_bucket{{le=\"+Inf\"}} {count}");
        let _ = writeln!(text, "{name}_ms_sum {sum}\n{name}_ms_count {count}");
    }
}

impl MetricSink for MetricTable {
    /// Records a statsd line, such as `bilberry.relay.requests:1|c`.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let invalid_line = || io::Error::new(io::ErrorKind::InvalidData, metric.to_string());
        let (name, rest) = metric.split_once(':').ok_or_else(invalid_line)?;
        let (value, kind) = rest.split_once('|').ok_or_else(invalid_line)?;
        let value: u64 = value.parse().map_err(|_| invalid_line())?;
        let name = name.replace(['.', '-'], "_");
        let mut state = self.lock();
        match kind {
            "c" => *state.counters.entry(name).or_default() += value,
            "g" => {
                state.gauges.insert(name, value);
            }
            "ms" => state.latencies.entry(name).or_default().record(value),
            _ => return Err(invalid_line()),
        }
        Ok(metric.len())
    }
}
