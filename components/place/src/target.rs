//! One target as an entry knows it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use units::{
    ClockTime, DataCentreName, Incarnation, MilliRate, NodeName, RegionName, ServiceName, SlotCount,
};

use crate::pace::ColdPacer;

slotmap::new_key_type! {
    /// Handle of a target in a [`PlacementTable`](crate::PlacementTable).
    pub struct TargetKey;
    /// Handle of a request that was sent to a target.
    pub struct RunKey;
}

/// A target as the directory lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedTarget {
    /// Name of the target.
    pub name: NodeName,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Number of its announcement.
    pub sequence: u64,
    /// Address for requests.
    pub address: SocketAddr,
    /// The service that it serves.
    pub service: ServiceName,
    /// Data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Region of the data centre, if known.
    pub region: Option<RegionName>,
    /// Requests that it runs at once.
    pub slots: SlotCount,
    /// Whether it may get new requests.
    pub is_serving: bool,
    /// Time for which it stays cold, in milliseconds from its announcement.
    pub cold_ms: u64,
    /// Requests that a cold target tolerates over all entries; none if it takes full load.
    pub cold_rate: Option<MilliRate>,
}

/// A target and what this entry has sent to it.
#[derive(Debug, Clone)]
pub struct TargetRecord {
    /// The target as the directory lists it.
    pub info: ListedTarget,
    /// Requests of this entry that run there.
    pub running: u32,
    /// Work of these requests that has not begun to be answered.
    pub pending_work: u64,
    /// Requests without a first byte, by the time at which they were sent.
    pub(crate) pending: BTreeSet<(ClockTime, RunKey)>,
    cold_until: ClockTime,
    pub(crate) pace: ColdPacer,
    /// End of the time for which the target is passed over after a failure.
    pub(crate) avoid_until: ClockTime,
}

impl TargetRecord {
    pub(crate) fn new(info: ListedTarget, now: ClockTime) -> Self {
        let mut record = Self {
            info,
            running: 0,
            pending_work: 0,
            pending: BTreeSet::new(),
            cold_until: now,
            pace: ColdPacer::default(),
            avoid_until: now,
        };
        record.warm_later(now);
        record
    }

    /// Takes over a newer announcement.
    pub(crate) fn update(&mut self, info: ListedTarget, now: ClockTime) {
        let is_newer = info.sequence != self.info.sequence;
        self.info = info;
        if is_newer {
            self.warm_later(now);
        }
    }

    fn warm_later(&mut self, now: ClockTime) {
        self.cold_until = now + Duration::from_millis(self.info.cold_ms);
    }

    /// Rate at which requests must be paced, while the target is cold.
    pub(crate) fn cold_rate(&self, now: ClockTime) -> Option<MilliRate> {
        self.info.cold_rate.filter(|_| now < self.cold_until)
    }

    /// Time for which the oldest request without a first byte has waited.
    pub fn longest_wait(&self, now: ClockTime) -> Duration {
        let oldest = self.pending.first();
        oldest.map_or(Duration::ZERO, |(sent, _)| now.since(*sent))
    }
}
