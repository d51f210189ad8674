//! Batches on their way to the disk, and the messages that wait for them.

use std::collections::VecDeque;

use units::DiskId;

use crate::{LogIndex, RaftMessage};

/// A batch that is not acknowledged yet.
#[derive(Debug)]
struct PendingBatch {
    id: u64,
    /// Last index of the log that is durable once the batch is.
    last: LogIndex,
}

/// A message that must not leave before a batch is durable.
#[derive(Debug)]
struct HeldMessage {
    after: u64,
    to: DiskId,
    message: RaftMessage,
}

/// Batches on their way to the disk.
#[derive(Debug)]
pub(crate) struct PersistQueue {
    last_id: u64,
    pending: VecDeque<PendingBatch>,
    held: VecDeque<HeldMessage>,
    durable: LogIndex,
}

impl PersistQueue {
    pub(crate) fn new(durable: LogIndex) -> Self {
        Self {
            last_id: 0,
            pending: VecDeque::new(),
            held: VecDeque::new(),
            durable,
        }
    }

    /// Last index of the own log that is durable. Valid on a leader only: the batch with its own
    /// vote was acknowledged after all batches of entries that another leader has replaced since.
    pub(crate) fn durable(&self) -> LogIndex {
        self.durable
    }

    /// Id of the newest batch.
    pub(crate) fn last_id(&self) -> u64 {
        self.last_id
    }

    /// Numbers a new batch after which the log ends at `last`.
    pub(crate) fn push(&mut self, last: LogIndex) -> u64 {
        self.last_id += 1;
        self.pending.push_back(PendingBatch {
            id: self.last_id,
            last,
        });
        self.last_id
    }

    /// Holds a message until all batches so far are durable; hands it back if they are.
    pub(crate) fn hold(&mut self, to: DiskId, message: RaftMessage) -> Option<RaftMessage> {
        if self.pending.is_empty() {
            return Some(message);
        }
        self.held.push_back(HeldMessage {
            after: self.last_id,
            to,
            message,
        });
        None
    }

    /// Acknowledges all batches up to `id` and returns the messages that may leave now.
    pub(crate) fn acknowledge(&mut self, id: u64) -> Vec<(DiskId, RaftMessage)> {
        while let Some(batch) = self.pending.pop_front_if(|batch| batch.id <= id) {
            self.durable = batch.last;
        }
        let mut released = Vec::new();
        while let Some(held) = self.held.pop_front_if(|held| held.after <= id) {
            released.push((held.to, held.message));
        }
        released
    }
}
