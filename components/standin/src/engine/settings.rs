//! Settings, injected faults and status of an engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Address to listen on; port 0 lets the system choose the port.
    pub address: SocketAddr,
    /// Time between two tokens of a stream.
    pub token_time: Duration,
    /// Time before the first token if the prompt's prefix is not cached.
    pub prefill_time: Duration,
    /// Time before the first token if the prompt's prefix is cached.
    pub cached_prefill_time: Duration,
    /// Maximum number of concurrent requests; more wait in order of arrival.
    pub batch_limit: usize,
    /// Maximum number of waiting requests; more are refused with status 503.
    pub queue_limit: usize,
    /// Number of requests that a cold engine can carry. Each completed request adds one until the
    /// batch limit is reached. While the engine is cold, one request more than that crashes it.
    pub cold_limit: usize,
    /// Maximum number of cached prefixes.
    pub cache_limit: usize,
    /// Interval between load reports, and so their maximum age.
    pub report_lag: Duration,
    /// Time from a cache event until it can be read.
    pub event_lag: Duration,
    /// Cache events whose number is a multiple of this are lost; 0 loses none.
    pub event_gap: u64,
    /// Whether orders to load a model are refused if their fencing number is outdated.
    pub checks_fence: bool,
    /// Length of an outage.
    pub outage_time: Duration,
    /// Time for which a run can be resumed after its end, and goes on without a reader.
    pub resume_time: Duration,
    /// Faults that are active from the start.
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

/// Injected faults, which can be changed while the engine runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// A request whose messages contain this text crashes the engine.
    pub crash_marker: Option<String>,
    /// Number of streams that will stop sending without an end; each decrements it.
    pub silent_streams: u64,
    /// Index of the token from which such a stream stops sending.
    pub silent_after: u64,
    /// Number of streams whose connection will be closed early; each decrements it.
    pub cut_streams: u64,
    /// Index of the token before which such a stream is closed.
    pub cut_after: u64,
    /// Number of requests that will be refused with status 503; each decrements it.
    pub refuse_requests: u64,
}

/// Status of an engine; counts start with its process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Requests in the batch now.
    pub running: usize,
    /// Requests that wait for the batch now.
    pub waiting: usize,
    /// Largest number of requests that ran or waited at the same time.
    pub most_admitted: usize,
    /// Number of requests that the engine can carry now without a crash.
    pub carries: usize,
    /// Requests admitted.
    pub started: u64,
    /// Requests completed.
    pub completed: u64,
    /// Requests cancelled by a client or because the answer had no reader.
    pub cancelled: u64,
    /// Requests ended by an outage or a restart.
    pub crashed: u64,
    /// Requests refused.
    pub refused: u64,
    /// Tokens produced.
    pub tokens: u64,
    /// Outages started.
    pub outages: u64,
    /// Orders to load a model accepted.
    pub orders: u64,
    /// Greatest fencing number of the accepted orders.
    pub fence: u64,
    /// Whether the engine is in an outage.
    pub down: bool,
}
