//! Cold periods of targets, as an entry knows of them.

use std::time::Duration;

use units::{ClockTime, Incarnation, MilliRate, NodeName};

use crate::limit::EntryPosition;
use crate::pace::ColdPacer;

/// Begin or end of the time in which an entry limits its requests to a cold target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdChange {
    /// Name of the target.
    pub target: NodeName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Sequence number of the announcement that is known.
    pub sequence: u64,
    /// Rate limit over all entries.
    pub rate: MilliRate,
    /// Position by which this entry takes its part of the rate.
    pub position: EntryPosition,
    /// What has changed.
    pub step: ColdStep,
}

/// Step of a cold period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdStep {
    /// The target gets its limited rate from now on.
    Started {
        /// Why it is taken as cold.
        cause: ColdCause,
        /// Remaining cold time that the announcement states, in milliseconds.
        cold_ms: u64,
    },
    /// The target gets full load again, or is not listed any more.
    Ended {
        /// Why the period has ended.
        reason: ColdEnd,
        /// Time since the start of the period.
        duration: Duration,
        /// Number of requests that this entry has sent in the period.
        sent: u64,
    },
}

/// Why an entry limits its requests to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdCause {
    /// The target has announced that it is cold.
    Announced,
    /// Its data centre was out. It may have become cold since its announcement.
    Returned,
    /// It did not accept a connection. Another process may have started under its name since its
    /// announcement.
    Unreachable,
}

impl ColdCause {
    /// Name of the cause in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Announced => "announced",
            Self::Returned => "returned",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Why an entry no longer limits its requests to a cold target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdEnd {
    /// Nothing indicates any longer that the target is cold.
    Warm,
    /// The directory no longer lists the target.
    Unlisted,
    /// Another process has taken its place.
    Replaced,
}

impl ColdEnd {
    /// Name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Unlisted => "unlisted",
            Self::Replaced => "replaced",
        }
    }
}

/// State of a target that did not accept a connection, so that its process may have been replaced.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PossibleRestart {
    /// It has answered no request that was sent since.
    Unanswered {
        /// Time of the last failed connection.
        failed_at: ClockTime,
    },
    /// It answers again. If another process has started, it is listed by then.
    Answered {
        /// Time from which it counts as the process that is listed.
        ends_at: ClockTime,
    },
}

/// Time in which an entry sends a target only its part of a rate.
///
/// An announced one ends when the target announces that it is warm, not when the announced time has passed:
/// until that announcement arrives, another cold period may have begun.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdPeriod {
    started_at: ClockTime,
    rate: MilliRate,
    pacer: ColdPacer,
    sent: u64,
}

impl ColdPeriod {
    pub(crate) fn starting(rate: MilliRate, position: EntryPosition, now: ClockTime) -> Self {
        Self {
            started_at: now,
            rate,
            pacer: ColdPacer::starting(rate, position, now),
            sent: 0,
        }
    }

    pub(crate) fn restart_pace(&mut self, position: EntryPosition, now: ClockTime) {
        self.pacer = ColdPacer::starting(self.rate, position, now);
    }

    pub(crate) fn resume_pace(&mut self, earlier: &Self) {
        self.pacer = earlier.pacer;
    }

    pub(crate) fn is_open(&self, now: ClockTime) -> bool {
        self.pacer.is_open(now)
    }

    pub(crate) fn record_request(&mut self, entries: u32, now: ClockTime) {
        self.pacer.record_request(self.rate, entries, now);
        self.sent += 1;
    }

    pub(crate) fn set_rate(&mut self, rate: MilliRate) {
        self.rate = rate;
    }

    pub(crate) fn rate(&self) -> MilliRate {
        self.rate
    }

    pub(crate) fn ended(&self, reason: ColdEnd, now: ClockTime) -> ColdStep {
        ColdStep::Ended {
            reason,
            duration: now.since(self.started_at),
            sent: self.sent,
        }
    }
}
