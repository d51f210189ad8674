//! Replication progress of the peers, as tracked by the leader.

use std::collections::VecDeque;
use std::time::Duration;

use units::ClockTime;

use crate::{EntryId, LogIndex, Snapshot};

/// Mode in which a leader sends to a peer.
#[derive(Debug)]
pub(crate) enum SendMode {
    /// Messages without entries are sent to find the last index at which the logs match.
    Probe,
    /// Entries are sent without waiting for replies, up to a limit of unacknowledged messages.
    Replicate { in_flight: VecDeque<SentBatch> },
    /// The peer needs a snapshot, which is sent one chunk at a time.
    Snapshot {
        snapshot: Snapshot,
        offset: u64,
        sent_at: ClockTime,
    },
}

/// Unacknowledged message with entries.
#[derive(Debug)]
pub(crate) struct SentBatch {
    pub(crate) last: LogIndex,
    pub(crate) bytes: usize,
}

/// Replication progress of one peer, as tracked by the leader.
#[derive(Debug)]
pub(crate) struct PeerProgress {
    /// Last index known to be durable on the peer.
    pub(crate) match_index: LogIndex,
    /// Next index to send.
    pub(crate) next_index: LogIndex,
    pub(crate) mode: SendMode,
    tracked_since: ClockTime,
    /// Time of the last reply, or of the start of the leadership if there is none.
    pub(crate) reply_at: ClockTime,
    /// Time of the last reply to this leader.
    pub(crate) replied_at: Option<ClockTime>,
    /// Time of the last reply that accepted a message.
    pub(crate) accept_at: ClockTime,
    /// Newest heartbeat round that the peer has replied to.
    pub(crate) last_round: u64,
    /// Round in which the search for a matching entry began. Rejections of earlier rounds are of
    /// messages that were on their way then.
    probe_round: u64,
    /// Time at which the peer last acknowledged entries, or the first ones in flight were sent.
    progress_at: ClockTime,
    /// Newest commit index that was sent to the peer.
    pub(crate) sent_commit_index: LogIndex,
    /// Newest time known at which the peer held the whole log that the leader had then.
    pub(crate) caught_up_at: Option<ClockTime>,
    catch_up: CatchUpRound,
}

/// Last index of the leader's log at one time. The next round starts once the peer has acknowledged it,
/// so that entries which are appended meanwhile do not keep a peer behind for ever.
#[derive(Debug)]
struct CatchUpRound {
    target: LogIndex,
    started_at: ClockTime,
}

impl PeerProgress {
    pub(crate) fn new(last: LogIndex, now: ClockTime) -> Self {
        Self {
            match_index: LogIndex(0),
            next_index: LogIndex(last.0 + 1),
            mode: SendMode::Probe,
            tracked_since: now,
            reply_at: now,
            replied_at: None,
            accept_at: now,
            last_round: 0,
            probe_round: 0,
            progress_at: now,
            sent_commit_index: LogIndex(0),
            caught_up_at: None,
            catch_up: CatchUpRound {
                target: last,
                started_at: now,
            },
        }
    }

    /// Time since the peer last held the whole log that the leader had then.
    pub(crate) fn lag(&self, now: ClockTime) -> Duration {
        now.since(self.caught_up_at.unwrap_or(self.tracked_since))
    }

    /// Whether the peer held the whole log of the leader within the last `max_lag`.
    pub(crate) fn is_caught_up(&self, max_lag: Duration, now: ClockTime) -> bool {
        self.caught_up_at.is_some() && self.lag(now) < max_lag
    }

    fn advance_catch_up(&mut self, last: LogIndex, now: ClockTime) {
        if self.match_index >= last {
            self.catch_up.started_at = now;
        }
        if self.match_index >= self.catch_up.target {
            self.caught_up_at = Some(self.catch_up.started_at);
            self.catch_up = CatchUpRound {
                target: last,
                started_at: now,
            };
        }
    }

    /// Index before the next one to send.
    pub(crate) fn prev_index(&self) -> LogIndex {
        LogIndex(self.next_index.0 - 1)
    }

    pub(crate) fn record_reply(&mut self, round: u64, now: ClockTime) {
        self.reply_at = now;
        self.replied_at = Some(now);
        self.last_round = self.last_round.max(round);
    }

    /// Records that the log of the peer matches that of the leader up to `match_index`. The leader's
    /// log ends at `last`, and it has the entries from `first_index` on in memory.
    pub(crate) fn record_accept(
        &mut self,
        match_index: LogIndex,
        first_index: LogIndex,
        last: LogIndex,
        now: ClockTime,
    ) {
        self.accept_at = now;
        if match_index > self.match_index {
            self.match_index = match_index;
            self.progress_at = now;
        }
        self.advance_catch_up(last, now);
        let after = LogIndex(self.match_index.0 + 1);
        match &mut self.mode {
            SendMode::Probe => {
                self.next_index = after;
                self.mode = new_replicate_mode();
            }
            SendMode::Replicate { in_flight } => {
                self.next_index = self.next_index.max(after);
                let match_index = self.match_index;
                in_flight.retain(|sent| sent.last > match_index);
            }
            // The entries after the snapshot may have been compacted during the transfer. In that
            // case the attempt to send them starts the transfer of the newer snapshot.
            SendMode::Snapshot { snapshot, .. }
                if after >= first_index || self.match_index >= snapshot.last.index =>
            {
                self.next_index = after;
                self.mode = new_replicate_mode();
            }
            SendMode::Snapshot { .. } => {}
        }
    }

    /// Records a message with entries.
    pub(crate) fn record_sent(&mut self, sent: SentBatch, now: ClockTime) {
        let SendMode::Replicate { in_flight } = &mut self.mode else {
            return;
        };
        if in_flight.is_empty() {
            self.progress_at = now;
        }
        self.next_index = LogIndex(sent.last.0 + 1);
        in_flight.push_back(sent);
    }

    /// Whether entries are in flight and none of them was acknowledged for `timeout`.
    pub(crate) fn is_stalled(&self, now: ClockTime, timeout: Duration) -> bool {
        let has_in_flight =
            matches!(&self.mode, SendMode::Replicate { in_flight } if !in_flight.is_empty());
        has_in_flight && now.since(self.progress_at) >= timeout
    }

    /// Whether a rejection of `prev` in a heartbeat round is neither delayed nor duplicated.
    pub(crate) fn is_new_rejection(&self, prev: LogIndex, round: u64) -> bool {
        if round < self.probe_round {
            return false;
        }
        match self.mode {
            SendMode::Probe => prev == self.prev_index() && prev > self.match_index,
            SendMode::Replicate { .. } => prev > self.match_index,
            SendMode::Snapshot { .. } => false,
        }
    }

    /// Whether a rejection of `prev` shows that the peer has lost durable entries, for example
    /// because its log file was truncated while it was down. A peer with a complete log accepts
    /// every heartbeat, so if it has accepted none for `rejection_timeout`, the rejection is not a
    /// delayed message.
    pub(crate) fn has_lost_entries(
        &self,
        prev: LogIndex,
        now: ClockTime,
        rejection_timeout: Duration,
    ) -> bool {
        !matches!(self.mode, SendMode::Snapshot { .. })
            && prev <= self.match_index
            && now.since(self.accept_at) >= rejection_timeout
    }

    /// Resets the match index, so that no entry counts as durable on the peer.
    pub(crate) fn reset_match_index(&mut self) {
        self.match_index = LogIndex(0);
        self.caught_up_at = None;
    }

    /// Continues the search for a matching entry at `candidate`, in a new heartbeat round.
    pub(crate) fn probe_from(&mut self, candidate: LogIndex, round: u64) {
        self.probe_round = round;
        self.next_index = LogIndex(candidate.max(self.match_index).0 + 1);
        self.mode = SendMode::Probe;
    }

    /// Switches to sending a snapshot from its first byte.
    pub(crate) fn start_snapshot(&mut self, snapshot: Snapshot, now: ClockTime) {
        self.mode = SendMode::Snapshot {
            snapshot,
            offset: 0,
            sent_at: now,
        };
    }

    /// Records how many bytes of a snapshot the peer has received. Returns whether the next chunk
    /// must be sent.
    pub(crate) fn record_received(&mut self, last: EntryId, received: u64) -> bool {
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

fn new_replicate_mode() -> SendMode {
    SendMode::Replicate {
        in_flight: VecDeque::new(),
    }
}
