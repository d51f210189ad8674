//! What a node reports about its log and, while it leads, about the other members.

use std::time::Duration;

use units::DiskId;

use crate::LogIndex;

/// Way in which a leader sends its log to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicationMode {
    /// The leader searches for the last index at which the logs match.
    Probe,
    /// The leader sends entries.
    Entries,
    /// The leader sends a snapshot.
    Snapshot,
}

/// Replication progress of a member, as seen by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberProgress {
    /// Member.
    pub id: DiskId,
    /// Last index known to be durable on the member.
    pub match_index: LogIndex,
    /// Way in which the leader sends its log to the member.
    pub mode: ReplicationMode,
    /// Bytes of log entries that the member has not acknowledged, as far as they are in memory.
    pub missing_bytes: usize,
    /// Time since the member last held the whole log that the leader had then.
    pub lag: Duration,
    /// Time since the last reply of the member, or since the leadership began.
    pub silence: Duration,
}

/// Size of a node's log in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogUsage {
    /// Number of entries.
    pub entries: usize,
    /// Upper bound of the encoded size of the entries.
    pub entry_bytes: usize,
    /// Size of the snapshot.
    pub snapshot_bytes: usize,
}
