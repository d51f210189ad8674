//! Batches that are being written, and the messages held back until they are durable.

use std::collections::VecDeque;

use units::DiskId;

use crate::{LogIndex, RaftMessage};

/// A batch that the store has not yet acknowledged.
#[derive(Debug)]
struct PendingBatch {
    id: u64,
    /// Last index of the log that is durable once this batch is durable.
    last_index: LogIndex,
}

/// A message that must not be sent before a batch is durable.
#[derive(Debug)]
struct HeldMessage {
    batch_id: u64,
    to: DiskId,
    message: RaftMessage,
}

/// Queue of unacknowledged batches and of the messages that depend on them.
#[derive(Debug)]
pub(crate) struct PersistQueue {
    last_id: u64,
    pending_batches: VecDeque<PendingBatch>,
    held_messages: VecDeque<HeldMessage>,
    durable_index: LogIndex,
}

impl PersistQueue {
    pub(crate) fn new(durable_index: LogIndex) -> Self {
        Self {
            last_id: 0,
            pending_batches: VecDeque::new(),
            held_messages: VecDeque::new(),
            durable_index,
        }
    }

    /// Last durable index of the log. Valid only on a leader: once its own vote is acknowledged, so
    /// is every earlier batch, including those with entries that another leader has replaced.
    pub(crate) fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    pub(crate) fn last_id(&self) -> u64 {
        self.last_id
    }

    /// Assigns an id to a new batch after which the log ends at `last_index`.
    pub(crate) fn push(&mut self, last_index: LogIndex) -> u64 {
        self.last_id += 1;
        self.pending_batches.push_back(PendingBatch {
            id: self.last_id,
            last_index,
        });
        self.last_id
    }

    /// Holds a message back until all batches so far are durable. Returns it if they already are.
    pub(crate) fn hold(&mut self, to: DiskId, message: RaftMessage) -> Option<RaftMessage> {
        if self.pending_batches.is_empty() {
            return Some(message);
        }
        self.held_messages.push_back(HeldMessage {
            batch_id: self.last_id,
            to,
            message,
        });
        None
    }

    /// Acknowledges all batches up to `id` and returns the messages that can now be sent.
    pub(crate) fn acknowledge(&mut self, id: u64) -> Vec<(DiskId, RaftMessage)> {
        while let Some(batch) = self.pending_batches.pop_front_if(|batch| batch.id <= id) {
            self.durable_index = batch.last_index;
        }
        let mut released = Vec::new();
        while let Some(held) = self.held_messages.pop_front_if(|held| held.batch_id <= id) {
            released.push((held.to, held.message));
        }
        released
    }
}
