//! Origins of streams by their ids.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use sha2::{Digest, Sha256};
use units::{ClockTime, OrganisationName};
use wire::{OriginAnswer, StreamId, StreamOrigin};

/// Maximum number of streams in a table, about 6 MB. Beyond it, the stream that ends first is
/// forgotten.
pub const MAX_STREAMS: usize = 50_000;

/// Id of the stream whose first event an attempt of an organisation brought.
///
/// The organisation is part of the id, so that a caller learns nothing about streams of other
/// organisations and cannot change how they are continued.
pub fn stream_id(organisation: Option<&OrganisationName>, attempt: &str) -> StreamId {
    let organisation = organisation.map_or("", OrganisationName::as_str);
    let mut hasher = Sha256::new();
    hasher.update((organisation.len() as u64).to_le_bytes());
    hasher.update(organisation);
    hasher.update(attempt);
    let hash = hasher.finalize();
    let mut start = [0; size_of::<u64>()];
    start.copy_from_slice(&hash[..size_of::<u64>()]);
    StreamId(u64::from_le_bytes(start))
}

#[derive(Debug)]
struct OriginRecord {
    /// Origin of the stream; `None` if streams with this id began at several.
    origin: Option<Arc<StreamOrigin>>,
    recorded_at: ClockTime,
    expires_at: ClockTime,
}

/// Origins of streams, each kept for as long as the stream may be continued.
#[derive(Debug, Default)]
pub struct OriginTable {
    records: HashMap<StreamId, OriginRecord>,
    by_expiry: BTreeSet<(ClockTime, StreamId)>,
    /// Origins of the records, which share them.
    origins: BTreeSet<Arc<StreamOrigin>>,
}

impl OriginTable {
    /// Number of streams.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table has no stream.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records the origin of a stream that may be continued until `expires_at`.
    pub fn record(
        &mut self,
        stream: StreamId,
        origin: &StreamOrigin,
        expires_at: ClockTime,
        now: ClockTime,
    ) {
        self.evict_expired(now);
        let origin = self.shared_origin(origin);
        let mut record = OriginRecord {
            origin: Some(origin),
            recorded_at: now,
            expires_at,
        };
        if let Some(old) = self.records.remove(&stream) {
            self.by_expiry.remove(&(old.expires_at, stream));
            if old.origin != record.origin {
                record.origin = None;
            }
            record.recorded_at = old.recorded_at;
            record.expires_at = expires_at.max(old.expires_at);
        }
        self.by_expiry.insert((record.expires_at, stream));
        self.records.insert(stream, record);
        if self.records.len() > MAX_STREAMS
            && let Some((_, first)) = self.by_expiry.pop_first()
        {
            self.records.remove(&first);
        }
    }

    /// What is known about the origin of a stream.
    pub fn find(&self, stream: StreamId, now: ClockTime) -> OriginAnswer {
        let record = self.records.get(&stream);
        match record.filter(|record| record.expires_at > now) {
            None => OriginAnswer::Unknown,
            Some(record) => match &record.origin {
                None => OriginAnswer::Conflicting,
                Some(origin) => OriginAnswer::Known {
                    origin: origin.as_ref().clone(),
                    age_ms: now.since(record.recorded_at).as_millis() as u64,
                },
            },
        }
    }

    fn shared_origin(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(shared) = self.origins.get(origin) {
            return shared.clone();
        }
        self.origins.retain(|origin| Arc::strong_count(origin) > 1);
        let shared = Arc::new(origin.clone());
        self.origins.insert(shared.clone());
        shared
    }

    fn evict_expired(&mut self, now: ClockTime) {
        while let Some((expires_at, stream)) = self.by_expiry.first().copied()
            && expires_at <= now
        {
            self.by_expiry.pop_first();
            self.records.remove(&stream);
        }
    }
}
