//! Origins of the streams of one entry, and those that it has not reported yet.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use units::{ClockTime, NodeName, SoftwareVersion};
use wire::{OriginAnswer, OriginBatch, StreamId, StreamOrigin};

use crate::table::{MAX_STREAMS, OriginTable};

/// Time within which the directory tells of a target that has restarted. Announcements may arrive
/// seconds late.
const RESTART_NOTICE_TIME: Duration = Duration::from_secs(5);

/// Interval between the reports of an entry, for each entry of the fleet. All entries together then
/// send at most 333 reports a second to a control node.
const REPORT_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(3);

/// Interval between the reports of an entry, in a fleet with so many entries.
pub fn report_interval(entries: u32) -> Duration {
    REPORT_INTERVAL_PER_ENTRY * entries
}

/// Stream whose origin has not been reported.
#[derive(Debug, Clone)]
struct UnreportedStream {
    stream: StreamId,
    origin: StreamOrigin,
    expires_at: ClockTime,
}

/// Stream whose target may have restarted before it began.
#[derive(Debug, Clone)]
struct RecentStream {
    stream: StreamId,
    target: NodeName,
    version: SoftwareVersion,
    began_at: ClockTime,
    expires_at: ClockTime,
}

/// Origins of the streams that an entry has begun.
#[derive(Debug, Default)]
pub struct OriginLog {
    table: OriginTable,
    unreported: Vec<UnreportedStream>,
    /// Streams that have begun within [`RESTART_NOTICE_TIME`], oldest first.
    recent: VecDeque<RecentStream>,
    /// Streams that have been continued here.
    continued: OriginTable,
}

impl OriginLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the origin of a stream at a target that may be continued for `lifetime`.
    pub fn record(
        &mut self,
        stream: StreamId,
        target: &NodeName,
        origin: StreamOrigin,
        lifetime: Duration,
        now: ClockTime,
    ) {
        self.evict_recent(now);
        let expires_at = now + lifetime;
        self.recent.push_back(RecentStream {
            stream,
            target: target.clone(),
            version: origin.version.clone(),
            began_at: now,
            expires_at,
        });
        self.add(stream, origin, expires_at, now);
    }

    /// Records that a target has restarted with another version, and returns the number of streams
    /// for which it is not certain whether they began before. They cannot be continued.
    pub fn record_restart(
        &mut self,
        target: &NodeName,
        origin: &StreamOrigin,
        now: ClockTime,
    ) -> usize {
        self.evict_recent(now);
        let recent = self.recent.iter();
        let uncertain: Vec<RecentStream> = recent
            .filter(|recent| recent.target == *target && recent.version != origin.version)
            .cloned()
            .collect();
        for recent in &uncertain {
            self.add(recent.stream, origin.clone(), recent.expires_at, now);
        }
        uncertain.len()
    }

    fn add(
        &mut self,
        stream: StreamId,
        origin: StreamOrigin,
        expires_at: ClockTime,
        now: ClockTime,
    ) {
        self.table.record(stream, &origin, expires_at, now);
        self.add_unreported(UnreportedStream {
            stream,
            origin,
            expires_at,
        });
    }

    fn evict_recent(&mut self, now: ClockTime) {
        let is_settled = |recent: &RecentStream| now.since(recent.began_at) > RESTART_NOTICE_TIME;
        while self.recent.len() >= MAX_STREAMS || self.recent.front().is_some_and(is_settled) {
            self.recent.pop_front();
        }
    }

    /// Records that a stream is continued here, and returns whether it is so for the first time
    /// within `lifetime`.
    pub fn record_continuation(
        &mut self,
        stream: StreamId,
        origin: &StreamOrigin,
        lifetime: Duration,
        now: ClockTime,
    ) -> bool {
        let is_first = self.continued.find(stream, now) == OriginAnswer::Unknown;
        self.continued.record(stream, origin, now + lifetime, now);
        is_first
    }

    /// What is known here about the origin of a stream.
    pub fn find(&self, stream: StreamId, now: ClockTime) -> OriginAnswer {
        self.table.find(stream, now)
    }

    /// Whether there are streams to report.
    pub fn has_report(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Returns the streams that have not been reported, by their origins.
    pub fn take_report(&mut self, now: ClockTime) -> Vec<OriginBatch> {
        let mut batches: BTreeMap<StreamOrigin, Vec<(StreamId, u32)>> = BTreeMap::new();
        for stream in std::mem::take(&mut self.unreported) {
            let lifetime = stream.expires_at.since(now).as_millis();
            let lifetime = u32::try_from(lifetime).unwrap_or(u32::MAX);
            if lifetime > 0 {
                let streams = batches.entry(stream.origin).or_default();
                streams.push((stream.stream, lifetime));
            }
        }
        let batches = batches.into_iter();
        batches
            .map(|(origin, streams)| OriginBatch { origin, streams })
            .collect()
    }

    /// Adds a report that no control node has received to the next one.
    pub fn requeue_report(&mut self, report: Vec<OriginBatch>, now: ClockTime) {
        for batch in report {
            for (stream, lifetime) in batch.streams {
                self.add_unreported(UnreportedStream {
                    stream,
                    origin: batch.origin.clone(),
                    expires_at: now + Duration::from_millis(lifetime.into()),
                });
            }
        }
    }

    fn add_unreported(&mut self, stream: UnreportedStream) {
        // While no control node can be reached, further streams are only known to this entry.
        if self.unreported.len() < MAX_STREAMS {
            self.unreported.push(stream);
        }
    }
}
