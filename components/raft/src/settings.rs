//! Timeouts and limits of a Raft node.

use std::time::Duration;

/// Maximum size of a proposed command, in bytes.
pub const MAX_COMMAND_BYTES: usize = 480 * 1024;

/// Timeouts and limits of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RaftSettings {
    /// Interval between the heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Lower bound of the random election timeout. Also the time for which a follower that has
    /// heard from its leader refuses to vote for another candidate.
    pub min_election_timeout: Duration,
    /// Upper bound of the random election timeout. Also the time after which a leader without a
    /// majority steps down, an unconfirmed barrier fails, a transfer of leadership is abandoned and a
    /// snapshot chunk without a reply is sent again.
    pub max_election_timeout: Duration,
    /// Maximum bytes of entries in one message. A larger single entry is sent on its own.
    pub max_batch_bytes: usize,
    /// Maximum bytes of snapshot data in one message.
    pub max_chunk_bytes: usize,
    /// Maximum number of unacknowledged messages with entries for each peer.
    pub max_in_flight_messages: usize,
    /// Maximum bytes of unacknowledged entries for each peer, but at least one message. What is in
    /// flight is lost with a connection, and its end must arrive before a peer counts as hung.
    pub max_in_flight_bytes: usize,
    /// Number of uncommitted entries at which proposals are refused.
    pub max_pending_entries: usize,
    /// Bytes of uncommitted entries at which proposals are refused.
    pub max_pending_bytes: usize,
    /// Maximum number of barriers that wait on one node.
    pub max_pending_barriers: usize,
    /// Maximum number of entries kept in memory after a compaction, so that a peer that is slightly
    /// behind does not need a snapshot. Their bytes are limited by the size of the snapshot or
    /// `max_batch_bytes`, whichever is larger.
    pub retained_entries: usize,
}

impl Default for RaftSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            min_election_timeout: Duration::from_millis(500),
            max_election_timeout: Duration::from_millis(1000),
            max_batch_bytes: 128 * 1024,
            max_chunk_bytes: 64 * 1024,
            max_in_flight_messages: 16,
            max_in_flight_bytes: 512 * 1024,
            max_pending_entries: 1024,
            max_pending_bytes: 8 * 1024 * 1024,
            max_pending_barriers: 4096,
            retained_entries: 256,
        }
    }
}
