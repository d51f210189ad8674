//! Barriers that wait for a confirmation.

use std::collections::BTreeMap;

use units::{ClockTime, DiskId};

use crate::LogIndex;

/// A barrier asked for on this node.
#[derive(Debug)]
pub(crate) struct LocalBarrier {
    pub(crate) id: u64,
    pub(crate) started: ClockTime,
    /// Index that must be applied, known once the leader has confirmed.
    pub(crate) index: Option<LogIndex>,
}

/// Barriers asked for on this node, by the number that its messages carry.
pub(crate) type LocalBarriers = BTreeMap<u64, LocalBarrier>;

/// A barrier, from this node or a follower, that waits on the leader for its round.
#[derive(Debug)]
pub(crate) struct WaitingBarrier {
    pub(crate) asker: DiskId,
    pub(crate) nonce: u64,
    /// Heartbeat round that was started after the question.
    pub(crate) round: u64,
    pub(crate) asked: ClockTime,
}
