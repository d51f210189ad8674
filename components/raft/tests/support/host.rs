//! Host of a node on the simulated network, and the events that concern it.

use std::collections::{BTreeMap, VecDeque};

use raft::{EntryPayload, LogEntry, PersistBatch, PersistedState, RaftMessage, RaftNode};
use units::{ClockTime, DiskId};

/// Fault probabilities of a message, in percent. A write is slow with half the probability of a
/// late message.
#[derive(Clone, Copy, Default)]
pub(crate) struct FaultRates {
    pub(crate) lost_percent: u32,
    pub(crate) duplicated_percent: u32,
    pub(crate) late_percent: u32,
}

pub(crate) struct FakeHost {
    pub(crate) node: Option<RaftNode>,
    pub(crate) disk: PersistedState,
    pub(super) pending_writes: VecDeque<(u64, PersistBatch)>,
    pub(super) start_count: u64,
    pub(crate) applied_index: u64,
    pub(crate) value: u64,
    /// Pending barriers with the index that must be applied when they are confirmed.
    pub(super) pending_barriers: BTreeMap<u64, u64>,
    pub(crate) confirmed_barriers: Vec<(u64, ClockTime)>,
    pub(crate) failed_barriers: Vec<u64>,
}

pub(super) enum Event {
    Deliver {
        from: DiskId,
        to: DiskId,
        message: RaftMessage,
    },
    Written {
        host: DiskId,
        start_count: u64,
        id: u64,
    },
}

impl FakeHost {
    pub(super) fn new(disk: PersistedState) -> Self {
        Self {
            node: None,
            disk,
            pending_writes: VecDeque::new(),
            start_count: 0,
            applied_index: 0,
            value: 0,
            pending_barriers: BTreeMap::new(),
            confirmed_barriers: Vec::new(),
            failed_barriers: Vec::new(),
        }
    }
}

pub(super) fn command_value(entry: &LogEntry) -> Option<u64> {
    match &entry.payload {
        EntryPayload::Command(bytes) => Some(u64::from_le_bytes(
            bytes[..8].try_into().expect("values have 8 bytes"),
        )),
        _ => None,
    }
}

/// Encodes a state with padding, so that a snapshot has several chunks with [`small_settings`](super::small_settings).
pub(super) fn encode_state(value: u64) -> Vec<u8> {
    value.to_le_bytes().repeat(12)
}
