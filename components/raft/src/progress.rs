//! What a leader knows about one peer.

use std::collections::VecDeque;
use std::time::Duration;

use units::ClockTime;

use crate::{EntryId, LogIndex, Snapshot};

/// How a leader sends to a peer.
#[derive(Debug)]
pub(crate) enum SendMode {
    /// The place where the logs agree is searched with empty messages.
    Probe,
    /// Entries are sent without waiting, up to a window. Holds the last index of each message.
    Replicate { in_flight: VecDeque<LogIndex> },
    /// The peer needs a snapshot, sent one part at a time.
    Snapshot {
        snapshot: Snapshot,
        offset: u64,
        sent: ClockTime,
    },
}

/// What a leader knows about one peer.
#[derive(Debug)]
pub(crate) struct PeerProgress {
    /// Last index known to be durable on the peer.
    pub(crate) match_index: LogIndex,
    /// Next index to send.
    pub(crate) next: LogIndex,
    pub(crate) mode: SendMode,
    /// Time of the last answer.
    pub(crate) heard: ClockTime,
    /// Time of the last answer that accepted a message.
    pub(crate) accepted: ClockTime,
    /// Newest heartbeat round that the peer answered.
    pub(crate) round: u64,
    /// Newest commit index that the peer was told.
    pub(crate) told_commit: LogIndex,
}

impl PeerProgress {
    pub(crate) fn new(last: LogIndex, now: ClockTime) -> Self {
        Self {
            match_index: LogIndex(0),
            next: LogIndex(last.0 + 1),
            mode: SendMode::Probe,
            heard: now,
            accepted: now,
            round: 0,
            told_commit: LogIndex(0),
        }
    }

    /// Index before the next one to send.
    pub(crate) fn prev_index(&self) -> LogIndex {
        LogIndex(self.next.0 - 1)
    }

    /// The peer has answered.
    pub(crate) fn answered(&mut self, round: u64, now: ClockTime) {
        self.heard = now;
        self.round = self.round.max(round);
    }

    /// The peer holds the leader's log up to `matched`.
    pub(crate) fn accepted(&mut self, match_index: LogIndex, first: LogIndex, now: ClockTime) {
        self.accepted = now;
        self.match_index = self.match_index.max(match_index);
        let after = LogIndex(self.match_index.0 + 1);
        match &mut self.mode {
            SendMode::Probe => {
                self.next = after;
                self.mode = replicate();
            }
            SendMode::Replicate { in_flight } => {
                self.next = self.next.max(after);
                let match_index = self.match_index;
                in_flight.retain(|last| *last > match_index);
            }
            // The entries after the snapshot may have been compacted again during the transfer.
            // Sending them then starts the transfer of the newer snapshot.
            SendMode::Snapshot { snapshot, .. }
                if after >= first || self.match_index >= snapshot.last.index =>
            {
                self.next = after;
                self.mode = replicate();
            }
            SendMode::Snapshot { .. } => {}
        }
    }

    /// Whether a refusal of `prev` is news. Late and repeated refusals are not.
    pub(crate) fn is_rejection_new(&self, prev: LogIndex) -> bool {
        match self.mode {
            SendMode::Probe => prev == self.prev_index() && prev > self.match_index,
            SendMode::Replicate { .. } => prev > self.match_index,
            SendMode::Snapshot { .. } => false,
        }
    }

    /// Whether a refusal of `prev` shows that the peer has lost entries which it held durably, as a
    /// log file does that was cut off while the peer was down. A peer with its log accepts each
    /// heartbeat, so refusals alone for `patience` are no late messages.
    pub(crate) fn has_lost(&self, prev: LogIndex, now: ClockTime, patience: Duration) -> bool {
        !matches!(self.mode, SendMode::Snapshot { .. })
            && prev <= self.match_index
            && now.since(self.accepted) >= patience
    }

    /// Counts nothing that the peer held before.
    pub(crate) fn forget_matched(&mut self) {
        self.match_index = LogIndex(0);
    }

    /// Searches on from an entry that may agree.
    pub(crate) fn probe_from(&mut self, candidate: LogIndex) {
        self.next = LogIndex(candidate.max(self.match_index).0 + 1);
        self.mode = SendMode::Probe;
    }

    /// Starts to send a snapshot.
    pub(crate) fn start_snapshot(&mut self, snapshot: Snapshot, now: ClockTime) {
        self.mode = SendMode::Snapshot {
            snapshot,
            offset: 0,
            sent: now,
        };
    }

    /// The peer has received the first bytes of a snapshot. Returns whether the next part is due.
    pub(crate) fn received(&mut self, last: EntryId, received: u64) -> bool {
        match &mut self.mode {
            SendMode::Snapshot {
                snapshot, offset, ..
            } if snapshot.last == last && *offset != received => {
                *offset = received.min(snapshot.data.len() as u64);
                true
            }
            _ => false,
        }
    }
}

fn replicate() -> SendMode {
    SendMode::Replicate {
        in_flight: VecDeque::new(),
    }
}
