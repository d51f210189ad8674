//! Cold periods of targets, as an entry knows of them.

use std::time::Duration;

use units::{ClockTime, Incarnation, MilliRate, NodeName};

use crate::limit::EntryPosition;

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
    /// The target is cold for `cold_ms`, by its announcement.
    Started {
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

/// Why an entry no longer limits its requests to a cold target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdEnd {
    /// The announced time has passed.
    Elapsed,
    /// The target has announced that it is warm.
    Announced,
    /// The directory no longer lists the target.
    Unlisted,
    /// Another process has taken its place.
    Replaced,
}

impl ColdEnd {
    /// Name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Elapsed => "elapsed",
            Self::Announced => "announced",
            Self::Unlisted => "unlisted",
            Self::Replaced => "replaced",
        }
    }
}

/// Cold period that has not been reported as ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdPeriod {
    pub(crate) started_at: ClockTime,
    pub(crate) rate: MilliRate,
    pub(crate) sent: u64,
}
