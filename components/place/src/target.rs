//! One target as an entry knows it.

use std::net::SocketAddr;

use units::{
    ClockTime, DataCentreName, Incarnation, MilliRate, NodeName, RegionName, ServiceName, SlotCount,
};

use crate::pace::ColdPace;

slotmap::new_key_type! {
    /// Handle of a target in a [`PlaceTable`](crate::PlaceTable).
    pub struct TargetKey;
}

/// A target as the directory lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenTarget {
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
    pub serving: bool,
    /// Time for which it stays cold, in milliseconds from its announcement.
    pub cold_ms: u64,
    /// Requests that a cold target tolerates over all entries; none if it takes full load.
    pub cold_rate: Option<MilliRate>,
}

/// A target and what this entry has sent to it.
#[derive(Debug, Clone)]
pub struct TargetRecord {
    /// The target as the directory lists it.
    pub seen: SeenTarget,
    /// Requests of this entry that run there.
    pub running: u32,
    /// Work of these requests.
    pub load: u64,
    pub(crate) cold_until: ClockTime,
    pub(crate) pace: ColdPace,
    /// End of the time for which the target is passed over after a failure.
    pub(crate) avoid_until: ClockTime,
}

impl TargetRecord {
    pub(crate) fn new(seen: SeenTarget, now: ClockTime) -> Self {
        let mut record = Self {
            seen,
            running: 0,
            load: 0,
            cold_until: now,
            pace: ColdPace::default(),
            avoid_until: now,
        };
        record.warm_later(now);
        record
    }

    /// Takes over a newer announcement.
    pub(crate) fn update(&mut self, seen: SeenTarget, now: ClockTime) {
        if seen.sequence != self.seen.sequence || seen.incarnation != self.seen.incarnation {
            self.seen = seen;
            self.warm_later(now);
        } else {
            self.seen = seen;
        }
    }

    fn warm_later(&mut self, now: ClockTime) {
        self.cold_until = now + std::time::Duration::from_millis(self.seen.cold_ms);
    }

    /// Whether requests must be paced.
    pub(crate) fn cold_rate(&self, now: ClockTime) -> Option<MilliRate> {
        self.seen.cold_rate.filter(|_| now < self.cold_until)
    }
}
