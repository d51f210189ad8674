//! What an entry reports of the load that it puts on targets.

use std::collections::{BTreeMap, BTreeSet};

use wire::{LoadReply, LoadReport, LoadRevision, TargetLoad};

use crate::MAX_LISTED_TARGETS;

/// Reports the load that an entry puts on targets, as far as it has changed since the last answered
/// report.
#[derive(Debug, Clone, Default)]
pub struct LoadLog {
    sequence: u64,
    /// Loads that the home is known to have from this entry, by target.
    answered: BTreeMap<u64, TargetLoad>,
    /// Loads of reports since the last answered one. The home may have them or not.
    unanswered: BTreeSet<u64>,
    /// Last report, until it is answered.
    open: Option<LoadReport>,
    known: Option<LoadRevision>,
    is_incomplete: bool,
}

impl LoadLog {
    /// Creates a log of an entry that has reported nothing.
    pub fn new() -> Self {
        Self {
            is_incomplete: true,
            ..Self::default()
        }
    }

    /// Report of the targets with load by this entry.
    pub fn take_report(&mut self, current: impl IntoIterator<Item = TargetLoad>) -> LoadReport {
        let current: BTreeMap<u64, TargetLoad> = current
            .into_iter()
            .filter(|load| load.running > 0)
            .map(|load| (load.target, load))
            .collect();
        let is_complete = self.is_incomplete;
        let mut loads: Vec<TargetLoad> = match is_complete {
            true => current.values().copied().collect(),
            false => {
                let mut targets: BTreeSet<u64> = self.unanswered.clone();
                targets.extend(self.answered.keys().chain(current.keys()));
                let listed = targets.into_iter().map(|target| {
                    let idle = TargetLoad {
                        target,
                        ..TargetLoad::default()
                    };
                    current.get(&target).copied().unwrap_or(idle)
                });
                let is_changed = |load: &TargetLoad| {
                    self.unanswered.contains(&load.target)
                        || self
                            .answered
                            .get(&load.target)
                            .is_none_or(|old| old != load)
                };
                listed.filter(is_changed).collect()
            }
        };
        if loads.len() > MAX_LISTED_TARGETS {
            loads.sort_by_key(|load| std::cmp::Reverse((load.running, load.target)));
            loads.truncate(MAX_LISTED_TARGETS);
        }
        self.sequence += 1;
        self.unanswered.extend(loads.iter().map(|load| load.target));
        let report = LoadReport {
            sequence: self.sequence,
            is_complete,
            known: self.known,
            loads,
        };
        self.open = Some(report.clone());
        report
    }

    /// Records that the home has answered the last report. Returns the loads of this entry that the
    /// reply includes; `None` for a reply to an earlier report.
    pub fn apply_reply(&mut self, reply: &LoadReply) -> Option<&BTreeMap<u64, TargetLoad>> {
        let report = self
            .open
            .take_if(|report| report.sequence == reply.sequence)?;
        if report.is_complete {
            self.answered.clear();
        }
        for load in report.loads {
            match load.running {
                0 => self.answered.remove(&load.target),
                _ => self.answered.insert(load.target, load),
            };
        }
        self.unanswered.clear();
        self.is_incomplete = reply.wants_complete;
        self.known = Some(reply.revision);
        Some(&self.answered)
    }
}
