//! Pending read barriers.

use std::collections::BTreeMap;

use units::{ClockTime, DiskId};

use crate::LogIndex;

/// A barrier requested on this node.
#[derive(Debug)]
pub(crate) struct LocalBarrier {
    pub(crate) id: u64,
    pub(crate) started_at: ClockTime,
    /// Index that must be applied first; `None` until the leader has confirmed the barrier.
    pub(crate) index: Option<LogIndex>,
}

/// Barriers requested on this node, by the nonce in their messages.
pub(crate) type LocalBarriers = BTreeMap<u64, LocalBarrier>;

/// Barrier of the leader or a follower that waits on the leader for a heartbeat round.
#[derive(Debug)]
pub(crate) struct WaitingBarrier {
    pub(crate) requester: DiskId,
    pub(crate) nonce: u64,
    /// Heartbeat round, started after the request, that confirms the barrier.
    pub(crate) round: u64,
    pub(crate) requested_at: ClockTime,
}
