//! Timeouts and bounds of a node.

use std::time::Duration;

/// Largest command that can be proposed, in bytes.
pub const MAX_COMMAND_BYTES: usize = 480 * 1024;

/// Timeouts and bounds of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RaftSettings {
    /// Interval between heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest election timeout.
    pub election_min: Duration,
    /// Longest election timeout; also the time after which a leader without a majority steps down
    /// and an unanswered barrier fails.
    pub election_max: Duration,
    /// Bytes of entries in one message, half of the frame limit of 1 MiB.
    pub batch_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Unacknowledged messages with entries for each peer.
    pub max_in_flight: usize,
    /// Uncommitted entries beyond which proposals are refused.
    pub max_pending_entries: usize,
    /// Uncommitted bytes beyond which proposals are refused.
    pub max_pending_bytes: usize,
    /// Barriers that may wait on one node.
    pub max_barriers: usize,
    /// Entries kept in memory behind a compaction, for peers that are a little late.
    pub retained_entries: usize,
}

impl Default for RaftSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(500),
            election_max: Duration::from_millis(1000),
            batch_bytes: 496 * 1024,
            chunk_bytes: 256 * 1024,
            max_in_flight: 16,
            max_pending_entries: 1024,
            max_pending_bytes: 8 * 1024 * 1024,
            max_barriers: 4096,
            retained_entries: 256,
        }
    }
}
