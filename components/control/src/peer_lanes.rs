//! Lanes of a link to another control node: a queue and a stream for each kind of frame.
//!
//! Announcements, votes and heartbeats are small, and timeouts depend on them. In one queue with log
//! entries, they arrive after all entries that were queued before, which takes seconds on a slow link.

use raft::SendLane;
use tokio::sync::mpsc;

use crate::peer_link::PeerFrame;

/// Lane of a frame, in the order of priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FrameLane {
    /// Announcements, acknowledgements and the urgent messages of Raft.
    Urgent,
    /// Directory entries.
    Directory,
    /// Log entries and snapshots.
    Log,
}

impl FrameLane {
    pub(crate) const ALL: [Self; 3] = [Self::Urgent, Self::Directory, Self::Log];

    /// Priority of the lane's stream on its connection; higher ones are sent first.
    pub(crate) fn priority(self) -> i32 {
        -(self as i32)
    }
}

impl From<SendLane> for FrameLane {
    fn from(lane: SendLane) -> Self {
        match lane {
            SendLane::Urgent => Self::Urgent,
            SendLane::Bulk => Self::Log,
        }
    }
}

/// Sending ends of the lanes to one peer.
#[derive(Debug)]
pub(crate) struct LaneSenders([mpsc::Sender<PeerFrame>; 3]);

impl LaneSenders {
    pub(crate) fn get(&self, lane: FrameLane) -> &mpsc::Sender<PeerFrame> {
        &self.0[lane as usize]
    }
}

/// Receiving ends of the lanes to one peer, in the order of [`FrameLane::ALL`].
pub(crate) type LaneReceivers = [mpsc::Receiver<PeerFrame>; 3];

/// Creates the queues of the lanes to one peer.
pub(crate) fn lane_queues(capacity: usize) -> (LaneSenders, LaneReceivers) {
    let [urgent, directory, log] = FrameLane::ALL.map(|_| mpsc::channel(capacity));
    (
        LaneSenders([urgent.0, directory.0, log.0]),
        [urgent.1, directory.1, log.1],
    )
}
