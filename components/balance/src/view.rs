//! Totals over all entries, as one entry knows them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use units::ClockTime;
use wire::{LoadReply, TargetLoad};

/// Age from which totals are not used. Requests have typically ended by then.
pub const VIEW_TTL: Duration = Duration::from_millis(2_000);

/// Newest totals that an entry has received.
#[derive(Debug, Clone, Default)]
pub struct LoadView {
    totals: HashMap<u64, TargetLoad>,
    /// Load by this entry that the totals include.
    own: HashMap<u64, TargetLoad>,
    /// Time of the report that the totals answer.
    reported_at: Option<ClockTime>,
    /// Mean age of the contributions at that time.
    base_age: Duration,
    is_partial: bool,
    is_truncated: bool,
}

impl LoadView {
    /// Creates a view without totals.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the totals of a reply to the report that was taken at `reported_at`. `own` is the load
    /// by this entry that they include.
    pub fn apply_reply(
        &mut self,
        reply: &LoadReply,
        own: &BTreeMap<u64, TargetLoad>,
        reported_at: ClockTime,
    ) {
        if reply.is_complete {
            self.totals.clear();
            self.is_truncated = reply.is_truncated;
        }
        for load in &reply.totals {
            match load.running {
                0 => self.totals.remove(&load.target),
                _ => self.totals.insert(load.target, *load),
            };
        }
        self.is_truncated &= reply.is_truncated;
        self.own = own.iter().map(|(target, load)| (*target, *load)).collect();
        self.reported_at = Some(reported_at);
        self.base_age = Duration::from_millis(reply.age_ms);
        self.is_partial = reply.is_partial;
    }

    /// Mean age of the totals; `None` if they may not be used.
    pub fn age(&self, now: ClockTime) -> Option<Duration> {
        let since_report = now.since(self.reported_at?);
        let is_usable = !self.is_partial && since_report < VIEW_TTL;
        is_usable.then(|| since_report + self.base_age)
    }

    /// Load of a target by other entries; `None` if it is not known.
    pub fn others(&self, target: u64) -> Option<TargetLoad> {
        let own = self.own(target);
        match self.totals.get(&target) {
            Some(total) => Some(TargetLoad {
                target,
                running: total.running.saturating_sub(own.running),
                held_tokens: total.held_tokens.saturating_sub(own.held_tokens),
                common_tokens: total.common_tokens,
            }),
            None => (!self.is_truncated).then_some(TargetLoad {
                target,
                ..TargetLoad::default()
            }),
        }
    }

    /// Load of a target by this entry that the totals include.
    pub fn own(&self, target: u64) -> TargetLoad {
        self.own.get(&target).copied().unwrap_or_default()
    }
}
