//! Timeouts and bounds of a node.

use std::time::Duration;

/// Largest command that can be proposed, in bytes.
pub const MAX_COMMAND_BYTES: usize = 480 * 1024;

/// Timeouts and bounds of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RaftSettings {
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout.
    pub min_election_timeout: Duration,
    /// Longest election timeout; also the time after which a leader without a majority steps down
    /// and an unanswered barrier fails.
    pub max_election_timeout: Duration,
    /// Bytes of entries in one message, half of the frame limit of 1 MiB.
    pub max_batch_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub max_chunk_bytes: usize,
    /// Unacknowledged messages with entries for each peer.
    pub max_in_flight_messages: usize,
    /// Uncommitted entries beyond which proposals are refused.
    pub max_pending_entries: usize,
    /// Uncommitted bytes beyond which proposals are refused.
    pub max_pending_bytes: usize,
    /// Barriers that may wait on one node.
    pub max_pending_barriers: usize,
    /// Entries kept in memory behind a compaction, for peers that are a little late.
    pub retained_entries: usize,
}

impl Default for RaftSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            min_election_timeout: Duration::from_millis(500),
            max_election_timeout: Duration::from_millis(1000),
            max_batch_bytes: 496 * 1024,
            max_chunk_bytes: 256 * 1024,
            max_in_flight_messages: 16,
            max_pending_entries: 1024,
            max_pending_bytes: 8 * 1024 * 1024,
            max_pending_barriers: 4096,
            retained_entries: 256,
        }
    }
}
