//! Settings, faults and counts of an engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How an engine works.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Address to listen on; port 0 lets the system choose.
    pub address: SocketAddr,
    /// Time between two tokens of a stream.
    pub token_time: Duration,
    /// Time before the first token if the prompt's prefix is not cached.
    pub prefill_time: Duration,
    /// Time before the first token if the prompt's prefix is cached.
    pub cached_prefill_time: Duration,
    /// Requests that run at once; more wait in order of arrival.
    pub batch_limit: usize,
    /// Requests that wait; more are refused with status 503.
    pub queue_limit: usize,
    /// Requests that a cold engine carries. Each completed request adds one until the batch limit is
    /// reached; one request more than that makes the engine fall over.
    pub cold_limit: usize,
    /// Prefixes that the cache holds.
    pub cache_limit: usize,
    /// Age of a load report.
    pub report_lag: Duration,
    /// Delay of a cache event.
    pub event_lag: Duration,
    /// Each cache event whose number is a multiple of this is lost; 0 loses none.
    pub event_gap: u64,
    /// Whether load orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Time that the engine is out of service after it fell over.
    pub outage_time: Duration,
    /// Time that a stream without a reader goes on, so that it can be resumed.
    pub resume_time: Duration,
    /// Faults at the start.
    pub faults: EngineFaults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            token_time: Duration::from_millis(20),
            prefill_time: Duration::from_millis(100),
            cached_prefill_time: Duration::from_millis(20),
            batch_limit: 8,
            queue_limit: 64,
            cold_limit: 1,
            cache_limit: 64,
            report_lag: Duration::from_millis(500),
            event_lag: Duration::from_secs(1),
            event_gap: 7,
            checks_fence: true,
            outage_time: Duration::from_secs(3),
            resume_time: Duration::from_secs(5),
            faults: EngineFaults::default(),
        }
    }
}

/// Faults that can be switched while the engine runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// A request whose messages contain this text makes the engine fall over.
    pub crash_marker: Option<String>,
    /// Streams that go silent; the count falls with each.
    pub silent_streams: u64,
    /// Token after which such a stream goes silent.
    pub silent_after: u64,
    /// Streams that are cut; the count falls with each.
    pub cut_streams: u64,
    /// Token after which such a stream is cut.
    pub cut_after: u64,
    /// Requests that are refused with status 503; the count falls with each.
    pub refuse_requests: u64,
}

/// Counts of an engine since its process started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Requests that run now.
    pub running: usize,
    /// Requests that wait for a place in the batch now.
    pub waiting: usize,
    /// Largest number of requests that ran and waited at once.
    pub most_admitted: usize,
    /// Requests that the engine carries now without falling over.
    pub carries: usize,
    /// Requests started.
    pub started: u64,
    /// Requests completed.
    pub completed: u64,
    /// Requests cancelled by an order or because nobody reads the answer.
    pub cancelled: u64,
    /// Requests cut by an outage.
    pub crashed: u64,
    /// Requests refused.
    pub refused: u64,
    /// Tokens produced.
    pub tokens: u64,
    /// Times that the engine fell over.
    pub outages: u64,
    /// Load orders accepted.
    pub orders: u64,
    /// Greatest fencing number seen in an accepted order.
    pub fence: u64,
    /// Whether the engine is out of service.
    pub down: bool,
}
