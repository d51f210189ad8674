//! Sums of the loads that all entries put on targets.

use std::collections::BTreeMap;
use std::time::Duration;

use units::{ClockTime, Incarnation, NodeName};
use wire::{HomeId, LoadReply, LoadReport, LoadRevision, TargetLoad};

use crate::MAX_LISTED_TARGETS;

/// Time after which the load of an entry without reports is left out. An idle entry reports every
/// second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Change of the memory held at a target that is published although the number of its requests has
/// hardly changed, in tokens. It is under a twentieth of the memory of a target.
const PUBLISHED_TOKENS: u64 = 8_192;

/// Time for which the total of an idle target is kept, so that entries learn that it is idle.
const IDLE_RETENTION: Duration = Duration::from_secs(10);

/// Loads of one entry.
#[derive(Debug, Clone)]
struct Reporter {
    incarnation: Incarnation,
    sequence: u64,
    last_report: ClockTime,
    /// Whether a complete report of this process has arrived.
    is_complete: bool,
    loads: BTreeMap<u64, TargetLoad>,
}

/// Sum over all entries for one target.
#[derive(Debug, Clone, Default)]
struct TargetTotal {
    running: u64,
    held_tokens: u64,
    /// Memory that common parts need by entry, with the number of entries that need it.
    common_tokens: BTreeMap<u64, u32>,
    published: TargetLoad,
    /// Number of the change by which the published load came about.
    revision: u64,
    published_at: ClockTime,
}

/// Loads of the targets, summed over all entries that report to this control node.
#[derive(Debug, Clone)]
pub struct LoadHome {
    source: HomeId,
    first_report: Option<ClockTime>,
    reporters: BTreeMap<NodeName, Reporter>,
    totals: BTreeMap<u64, TargetTotal>,
    /// Targets by the number of their last change.
    by_revision: BTreeMap<u64, u64>,
    revision: u64,
    /// Newest change of a target that is no longer kept.
    forgotten_revision: u64,
}

impl LoadHome {
    /// Creates a home without reports.
    pub fn new(source: HomeId) -> Self {
        Self {
            source,
            first_report: None,
            reporters: BTreeMap::new(),
            totals: BTreeMap::new(),
            by_revision: BTreeMap::new(),
            revision: 0,
            forgotten_revision: 0,
        }
    }

    /// Adds the report of an entry and returns the totals that it lacks. `listed_count` is the number
    /// of entries in the directory.
    pub fn apply_report(
        &mut self,
        name: &NodeName,
        incarnation: Incarnation,
        report: &LoadReport,
        listed_count: usize,
        now: ClockTime,
    ) -> LoadReply {
        self.evict_silent(now);
        let first_report = *self.first_report.get_or_insert(now);
        let wants_complete = !self.add_report(name, incarnation, report, now);
        let reported = self.reporters.values().filter(|other| other.is_complete);
        let is_partial = wants_complete
            || (reported.count() < listed_count && now.since(first_report) < SILENCE_TIMEOUT);
        LoadReply {
            sequence: report.sequence,
            is_partial,
            wants_complete,
            age_ms: self.mean_age(now).as_millis() as u64,
            ..self.totals_since(report.known)
        }
    }

    /// Whether no entry reports.
    pub fn is_empty(&self) -> bool {
        self.reporters.is_empty()
    }

    /// Total load of a target.
    pub fn total(&self, target: u64) -> TargetLoad {
        let total = self.totals.get(&target);
        total.map_or(
            TargetLoad {
                target,
                ..TargetLoad::default()
            },
            |total| total.load(target),
        )
    }

    /// Adds a report to the sums. Returns whether the load of its entry is known completely.
    fn add_report(
        &mut self,
        name: &NodeName,
        incarnation: Incarnation,
        report: &LoadReport,
        now: ClockTime,
    ) -> bool {
        let known = self.reporters.get(name);
        if known.is_some_and(|known| {
            (known.incarnation, known.sequence) >= (incarnation, report.sequence)
        }) {
            // A later report of the entry has already arrived.
            return true;
        }
        let is_same_process = known.is_some_and(|known| known.incarnation == incarnation);
        let mut reporter = match self.reporters.remove(name) {
            Some(reporter) if is_same_process && !report.is_complete => reporter,
            old => {
                for load in old.iter().flat_map(|old| old.loads.values()) {
                    self.replace(load, None, now);
                }
                Reporter {
                    incarnation,
                    sequence: 0,
                    last_report: now,
                    is_complete: false,
                    loads: BTreeMap::new(),
                }
            }
        };
        reporter.sequence = report.sequence;
        reporter.last_report = now;
        reporter.is_complete |= report.is_complete;
        if reporter.is_complete {
            for load in &report.loads {
                let old = match load.running {
                    0 => reporter.loads.remove(&load.target),
                    _ => reporter.loads.insert(load.target, *load),
                };
                let old = old.unwrap_or(TargetLoad {
                    target: load.target,
                    ..TargetLoad::default()
                });
                self.replace(&old, Some(load), now);
            }
        }
        let is_complete = reporter.is_complete;
        self.reporters.insert(name.clone(), reporter);
        is_complete
    }

    /// Replaces the contribution of an entry to the total of a target.
    fn replace(&mut self, old: &TargetLoad, new: Option<&TargetLoad>, now: ClockTime) {
        let new = new.copied().unwrap_or_default();
        let total = self.totals.entry(old.target).or_default();
        total.running = (total.running + u64::from(new.running)).saturating_sub(old.running.into());
        total.held_tokens = total
            .held_tokens
            .saturating_add(new.held_tokens)
            .saturating_sub(old.held_tokens);
        total.replace_common(old.common_tokens, new.common_tokens);
        let load = total.load(old.target);
        let is_published = total.published.running.abs_diff(load.running) <= 1
            && total.published.held_tokens.abs_diff(load.held_tokens) <= PUBLISHED_TOKENS
            && total.published.common_tokens.abs_diff(load.common_tokens) <= PUBLISHED_TOKENS
            && (load.running > 0 || total.published.running == 0);
        if !is_published {
            self.by_revision.remove(&total.revision);
            self.revision += 1;
            total.revision = self.revision;
            total.published = load;
            total.published_at = now;
            self.by_revision.insert(self.revision, old.target);
        }
    }

    /// Published totals that changed after the known ones.
    fn totals_since(&self, known: Option<LoadRevision>) -> LoadReply {
        let known = known
            .filter(|known| known.source == self.source && known.number >= self.forgotten_revision);
        let first = known.map_or(0, |known| known.number + 1);
        let mut changed: Vec<(u64, TargetLoad)> = self
            .by_revision
            .range(first..)
            .map(|(revision, target)| (*revision, self.totals[target].published))
            .collect();
        let mut number = self.revision;
        let is_truncated = changed.len() > MAX_LISTED_TARGETS;
        if is_truncated {
            changed.sort_by_key(|(_, load)| std::cmp::Reverse((load.running, load.target)));
            let omitted = changed.split_off(MAX_LISTED_TARGETS);
            let oldest = omitted.iter().map(|(revision, _)| *revision).min();
            // Targets that are left out are listed again in the next reply.
            number = oldest.unwrap_or(number + 1) - 1;
        }
        LoadReply {
            sequence: 0,
            revision: LoadRevision {
                source: self.source,
                number,
            },
            is_complete: known.is_none(),
            is_truncated,
            is_partial: false,
            wants_complete: false,
            age_ms: 0,
            totals: changed.into_iter().map(|(_, load)| load).collect(),
        }
    }

    fn mean_age(&self, now: ClockTime) -> Duration {
        let ages = self
            .reporters
            .values()
            .map(|other| now.since(other.last_report));
        ages.sum::<Duration>() / (self.reporters.len().max(1) as u32)
    }

    /// Leaves out entries without recent reports, and targets that have long been idle.
    fn evict_silent(&mut self, now: ClockTime) {
        let is_silent = |other: &Reporter| now.since(other.last_report) >= SILENCE_TIMEOUT;
        let silent: Vec<NodeName> = self
            .reporters
            .iter()
            .filter(|(_, other)| is_silent(other))
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            let loads = self.reporters.remove(&name).map(|other| other.loads);
            for load in loads.unwrap_or_default().values() {
                self.replace(load, None, now);
            }
        }
        if self.reporters.is_empty() {
            // The entries have moved to another home, and come back one after the other.
            self.first_report = None;
        }
        let Self {
            totals,
            by_revision,
            forgotten_revision,
            ..
        } = self;
        totals.retain(|_, total| {
            let is_idle = total.running == 0
                && total.published.running == 0
                && now.since(total.published_at) >= IDLE_RETENTION;
            if is_idle {
                by_revision.remove(&total.revision);
                *forgotten_revision = (*forgotten_revision).max(total.revision);
            }
            !is_idle
        });
    }
}

impl TargetTotal {
    fn replace_common(&mut self, old: u64, new: u64) {
        if let Some(count) = self.common_tokens.get_mut(&old) {
            *count -= 1;
            if *count == 0 {
                self.common_tokens.remove(&old);
            }
        }
        if new > 0 {
            *self.common_tokens.entry(new).or_default() += 1;
        }
    }

    fn load(&self, target: u64) -> TargetLoad {
        TargetLoad {
            target,
            running: u32::try_from(self.running).unwrap_or(u32::MAX),
            held_tokens: self.held_tokens,
            common_tokens: self.common_tokens.keys().next_back().copied().unwrap_or(0),
        }
    }
}
