//! What a target states in its responses about the requests that it wants.

use std::time::Duration;

use units::{ClockTime, MilliRate};

use crate::limit::StatedLimit;

/// Statement of a target in one response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetStatement {
    /// Requests per second that it takes from all entries together.
    pub limit: Option<MilliRate>,
    /// Time for which it wants no requests from this entry.
    pub pause: Option<Duration>,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// Changes that a statement brings about.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatementChange {
    /// Whether the target wants no requests for a longer time than before.
    pub is_pause_extended: bool,
    /// Whether the target states for the first time that it is leaving.
    pub is_now_leaving: bool,
}

/// Statements of one process of a target that are in force.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StatedIntake {
    pub(crate) limit: Option<StatedLimit>,
    paused_until: ClockTime,
    is_leaving: bool,
}

impl StatedIntake {
    /// Records a pause and a departure. A later statement neither shortens a pause nor takes back a
    /// departure.
    pub(crate) fn record(
        &mut self,
        statement: &TargetStatement,
        now: ClockTime,
    ) -> StatementChange {
        let paused_until = statement
            .pause
            .map_or(ClockTime::default(), |pause| now + pause);
        let change = StatementChange {
            is_pause_extended: paused_until > self.paused_until.max(now),
            is_now_leaving: statement.is_leaving && !self.is_leaving,
        };
        self.paused_until = self.paused_until.max(paused_until);
        self.is_leaving |= statement.is_leaving;
        change
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    pub(crate) fn is_paused(&self, now: ClockTime) -> bool {
        now < self.paused_until
    }

    /// Time at which the next request may be sent, if that is later than now.
    pub(crate) fn opens_at(&self, now: ClockTime) -> Option<ClockTime> {
        let limit = self.limit.map_or(now, |limit| limit.opens_at());
        Some(limit.max(self.paused_until)).filter(|opens_at| *opens_at > now)
    }

    /// Whether a later listing of the same process must keep it.
    pub(crate) fn is_in_force(&self, now: ClockTime) -> bool {
        self.is_leaving || self.is_paused(now) || self.limit.is_some()
    }
}
