//! State that an entry keeps for one target.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use balance::{MemoryLedger, target_hash};
use units::{
    ClockTime, DataCentreName, Incarnation, MilliRate, NodeName, RegionName, ServiceName,
    SlotCount, SoftwareVersion,
};

use crate::cold::{ColdCause, ColdChange, ColdEnd, ColdPeriod, ColdStep, PossibleRestart};
use crate::intake::StatedIntake;
use crate::limit::EntryPosition;

slotmap::new_key_type! {
    /// Handle of a target in a [`PlacementTable`](crate::PlacementTable).
    pub struct TargetKey;
    /// Handle of a run, that is, a request that was sent to a target.
    pub struct RunKey;
}

/// Target as listed by the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedTarget {
    /// Name of the target.
    pub name: NodeName,
    /// Incarnation of its process; a later start has a higher one.
    pub incarnation: Incarnation,
    /// Sequence number of its latest announcement.
    pub sequence: u64,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version of its software; `None` until control has registered it.
    pub version: Option<SoftwareVersion>,
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Region of the data centre, if known.
    pub region: Option<RegionName>,
    /// Maximum number of concurrent requests.
    pub slots: SlotCount,
    /// Whether it accepts new requests.
    pub is_serving: bool,
    /// Remaining cold time by its announcement, in milliseconds; 0 once it is warm.
    pub cold_ms: u64,
    /// Whether it may have become cold since its announcement, because its data centre was out.
    pub is_unconfirmed: bool,
    /// Rate limit over all entries while the target is cold; `None` if it takes full load.
    pub cold_rate: Option<MilliRate>,
}

/// Target with the requests that this entry has sent to it.
#[derive(Debug, Clone)]
pub struct TargetRecord {
    /// Target as listed by the directory.
    pub info: ListedTarget,
    /// Number of this entry's requests that run there.
    pub running: u32,
    /// Total work of the running requests without a first byte, in tokens or calls.
    pub pending_work: u64,
    /// Running requests without a first byte, ordered by send time.
    pub(crate) pending: BTreeSet<(ClockTime, RunKey)>,
    /// Hash of its name in reports of load.
    pub(crate) hash: u64,
    /// Memory that the running requests need, as far as it is stated.
    pub(crate) memory: MemoryLedger,
    /// Set while the target is taken as cold, if its service limits the rate of cold targets.
    cold_period: Option<ColdPeriod>,
    pub(crate) possible_restart: Option<PossibleRestart>,
    /// What the process has stated in its responses.
    pub(crate) stated: StatedIntake,
    /// Time until which the target is avoided after a failed connection.
    pub(crate) avoid_until: ClockTime,
}

impl TargetRecord {
    pub(crate) fn new(info: ListedTarget, now: ClockTime) -> Self {
        Self {
            hash: target_hash(&info.name),
            memory: MemoryLedger::default(),
            info,
            running: 0,
            pending_work: 0,
            pending: BTreeSet::new(),
            cold_period: None,
            possible_restart: None,
            stated: StatedIntake::default(),
            avoid_until: now,
        }
    }

    /// Begins or ends the cold period as the latest state says. Returns what has changed.
    pub(crate) fn update_cold_period(
        &mut self,
        position: EntryPosition,
        now: ClockTime,
    ) -> Option<ColdChange> {
        let Some((cause, rate)) = self.cold_cause().zip(self.info.cold_rate) else {
            return self.end_cold_period(ColdEnd::Warm, position, now);
        };
        if let Some(period) = &mut self.cold_period {
            period.set_rate(rate);
            return None;
        }
        self.cold_period = Some(ColdPeriod::starting(rate, position, now));
        let cold_ms = self.info.cold_ms;
        Some(self.cold_change(rate, position, ColdStep::Started { cause, cold_ms }))
    }

    /// Ends the cold period if there is one, and returns what has changed.
    pub(crate) fn end_cold_period(
        &mut self,
        reason: ColdEnd,
        position: EntryPosition,
        now: ClockTime,
    ) -> Option<ColdChange> {
        let period = self.cold_period.take()?;
        Some(self.cold_change(period.rate(), position, period.ended(reason, now)))
    }

    fn cold_change(&self, rate: MilliRate, position: EntryPosition, step: ColdStep) -> ColdChange {
        ColdChange {
            target: self.info.name.clone(),
            incarnation: self.info.incarnation,
            sequence: self.info.sequence,
            rate,
            position,
            step,
        }
    }

    pub(crate) fn cold_period(&self) -> Option<ColdPeriod> {
        self.cold_period
    }

    /// Spaces the next request to a cold target from the last one of an earlier period.
    pub(crate) fn resume_pace(&mut self, earlier: &ColdPeriod) {
        if let Some(period) = &mut self.cold_period {
            period.resume_pace(earlier);
        }
    }

    /// Whether the target gets only this entry's part of a rate.
    pub(crate) fn has_shared_rate(&self) -> bool {
        self.cold_period.is_some() || self.stated.limit.is_some()
    }

    /// Whether this entry's part of a cold target's rate allows a request now.
    pub(crate) fn takes_paced_request(&self, now: ClockTime) -> bool {
        let period = self.cold_period.as_ref();
        period.is_none_or(|period| period.is_open(now))
    }

    /// Spreads the next requests to a target with a shared rate by a new position.
    pub(crate) fn restart_pace(&mut self, position: EntryPosition, now: ClockTime) {
        if let Some(limit) = &mut self.stated.limit {
            limit.restart(position, now);
        }
        if let Some(period) = &mut self.cold_period {
            period.restart_pace(position, now);
        }
    }

    /// Counts a request that is sent now to the part that a cold target takes.
    pub(crate) fn record_paced_request(&mut self, entries: u32, now: ClockTime) {
        if let Some(period) = &mut self.cold_period {
            period.record_request(entries, now);
        }
    }

    /// Why the target may carry only a little load; `None` if it takes full load.
    fn cold_cause(&self) -> Option<ColdCause> {
        let announced = (self.info.cold_ms > 0).then_some(ColdCause::Announced);
        let returned = self.info.is_unconfirmed.then_some(ColdCause::Returned);
        let unreachable = self.possible_restart.map(|_| ColdCause::Unreachable);
        announced.or(returned).or(unreachable)
    }

    /// Records that the process may have ended.
    pub(crate) fn record_possible_end(&mut self, now: ClockTime) {
        self.possible_restart = Some(PossibleRestart::Unanswered { failed_at: now });
    }

    /// Records the first byte of an answer to a request.
    pub(crate) fn record_answer(&mut self, sent_at: ClockTime, notice: Duration, now: ClockTime) {
        if let Some(PossibleRestart::Unanswered { failed_at }) = self.possible_restart
            && sent_at >= failed_at
        {
            let ends_at = now + notice;
            self.possible_restart = Some(PossibleRestart::Answered { ends_at });
        }
    }

    /// Takes a process that has answered for long enough for the one that is listed.
    pub(crate) fn expire_possible_restart(&mut self, now: ClockTime) {
        if let Some(PossibleRestart::Answered { ends_at }) = self.possible_restart
            && now >= ends_at
        {
            self.possible_restart = None;
        }
    }

    /// Whether the target may carry only a little load.
    pub fn is_cold(&self) -> bool {
        self.cold_cause().is_some()
    }

    /// Whether the target accepts new requests, now or later.
    pub(crate) fn is_serving(&self) -> bool {
        self.info.is_serving && !self.stated.is_leaving()
    }

    /// Whether what the target has stated allows a request now.
    pub(crate) fn is_open(&self, now: ClockTime) -> bool {
        self.stated.opens_at(now).is_none()
    }

    /// Whether the next request that the stated limit allows is reserved for a large one.
    pub(crate) fn is_reserved(&self, now: ClockTime) -> bool {
        self.stated
            .limit
            .is_some_and(|limit| limit.is_reserved(now))
    }

    /// Time since the oldest request without a first byte was sent; zero if there is none.
    pub fn longest_wait(&self, now: ClockTime) -> Duration {
        let oldest = self.pending.first();
        oldest.map_or(Duration::ZERO, |(sent, _)| now.since(*sent))
    }
}
