//! Quarantine of one trait, and its trials.

use std::collections::BTreeSet;
use std::time::Duration;

use units::ClockTime;
use wire::{FlowId, QuarantinedTrait, ServiceTrait};

use crate::evidence::CrashChain;

/// Interval between a crash and the first trial. It doubles with each trial that fails.
const FIRST_TRIAL_INTERVAL: Duration = Duration::from_secs(60);

/// Longest interval between trials.
pub(crate) const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(3_600);

/// Time after which a trial without a result is repeated.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Quarantine of one trait.
#[derive(Debug, Clone)]
pub(crate) struct QuarantineRecord {
    pub(crate) started_at: ClockTime,
    /// Organisations whose requests are refused; empty for all.
    pub(crate) flows: BTreeSet<FlowId>,
    pub(crate) crashes: u64,
    pub(crate) last_crash: ClockTime,
    pub(crate) interval: Duration,
    pub(crate) trial_at: ClockTime,
    pub(crate) last_trial: Option<ClockTime>,
    /// Time of the last crash or refusal.
    pub(crate) last_seen: ClockTime,
}

impl QuarantineRecord {
    pub(crate) fn new(chain: &CrashChain, now: ClockTime) -> Self {
        Self {
            started_at: now,
            // An organisation whose requests were at every target may have crashed them with any
            // other trait, so the requests of others are not refused.
            flows: chain.flows.clone(),
            crashes: chain.crashes,
            last_crash: chain.last_crash,
            interval: FIRST_TRIAL_INTERVAL,
            trial_at: chain.last_crash + FIRST_TRIAL_INTERVAL,
            last_trial: None,
            last_seen: now,
        }
    }

    /// Adds a crash of a target that had a request with the trait.
    pub(crate) fn add_crash(&mut self, at: ClockTime) {
        if at <= self.last_crash {
            return;
        }
        self.crashes += 1;
        self.last_seen = self.last_seen.max(at);
        if self.last_trial.is_some_and(|last_trial| at >= last_trial) {
            self.interval = (self.interval * 2).min(MAX_TRIAL_INTERVAL);
            self.last_trial = None;
        }
        self.last_crash = at;
        self.trial_at = at + self.interval;
    }

    pub(crate) fn describe(&self, subject: &ServiceTrait, now: ClockTime) -> QuarantinedTrait {
        QuarantinedTrait {
            subject: subject.clone(),
            flows: self.flows.iter().copied().collect(),
            trial_ms: self.next_trial().since(now).as_millis() as u64,
            interval_ms: self.interval.as_millis() as u64,
            crashes: self.crashes,
        }
    }

    /// Time from which a trial is due. While one is awaited, it is the time at which that is repeated, so
    /// that another home does not begin a second one.
    fn next_trial(&self) -> ClockTime {
        let repeated_at = self.last_trial.map(|last_trial| last_trial + TRIAL_TIMEOUT);
        repeated_at.map_or(self.trial_at, |repeated_at| repeated_at.max(self.trial_at))
    }

    /// Records a refusal. Returns whether a trial is due, which then begins.
    pub(crate) fn try_trial(&mut self, now: ClockTime) -> bool {
        self.last_seen = now;
        let is_due = now >= self.next_trial();
        if is_due {
            self.last_trial = Some(now);
        }
        is_due
    }
}
