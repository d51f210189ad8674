//! Verdict on the new version and the next phase of a roll-out, decided by the control node that
//! gets the reports of all entries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::{ClockTime, Incarnation, NodeName, SoftwareVersion};
use wire::{RolloutCounts, VersionCount};

use crate::evidence::{RouteDelta, VersionEvidence};
use crate::{RolloutNumber, RolloutPhase, RolloutPlan, RolloutRecord, RolloutStep};

/// Evidence at which the new version is bad. One in 1,000 good versions may be rolled back (6.9);
/// the rest allows for about 3,000 tests of routes, kinds, spans and times in a roll-out (8.0).
const MIN_EVIDENCE: f64 = 15.0;

/// Evidence at which the new version is bad when it is about to get all requests. This is decided
/// once in a roll-out, so it allows for fewer tests.
const MIN_FINAL_EVIDENCE: f64 = 9.5;

/// Evidence from which the new version is suspected, and gets no larger share for a limited time.
const SUSPICION_EVIDENCE: f64 = 4.0;

/// Number of answers of the new version that are awaited before it gets all requests.
const MIN_ANSWERS: u64 = 20;

/// Part of the time limit, in percent, until which the last step lasts at most while the version is
/// suspected or has answered too few requests.
const MAX_HOLD_PERCENT: u64 = 80;

/// Minimum time in each step after all entries have installed it.
const MIN_OBSERVED: Duration = Duration::from_millis(500);

/// Time after which a report was certainly written after its entry installed the phase.
const REPORT_TRANSIT_TIME: Duration = Duration::from_millis(300);

/// Time after which the last report of an entry is out of date; entries report every 250 ms.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_600);

/// Divisor of the number of old targets that gives the number of new ones which must serve before
/// these get all requests.
const MIN_TARGETS_DIVISOR: usize = 4;

/// Bounds of roll-outs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutBounds {
    /// Maximum share of all requests that a bad version gets, in thousandths.
    pub exposure_permille: u32,
    /// Number of requests that a bad version may get in addition.
    pub exposure_slack: u64,
    /// Time within which a version that has returned bad responses is rolled back.
    pub rollback_ms: u64,
}

/// What a control node knows of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutFleet {
    /// Whether every live entry of the directory has installed the configuration of the current
    /// phase.
    pub is_installed: bool,
    /// Whether the lease time has passed since the current phase began, so that entries which are
    /// silent since then send no requests.
    pub is_lease_passed: bool,
    /// Live entries of the directory, which may send requests.
    pub live_entries: BTreeSet<NodeName>,
    /// Number of serving targets of the new version.
    pub new_serving: usize,
    /// Number of serving targets of the old versions.
    pub old_serving: usize,
    /// Whether the plan still has the service.
    pub has_service: bool,
}

/// Last report of an entry.
#[derive(Debug, Clone)]
struct EntryCounts {
    incarnation: Incarnation,
    counts: BTreeMap<(u64, SoftwareVersion), VersionCount>,
    running_at_old: u64,
    received_at: ClockTime,
}

/// Reports of all entries on the roll-out of one service, and what follows from them.
///
/// It starts empty, also when another control node takes over. The counts of an entry before its
/// first report to this home are not used.
#[derive(Debug, Clone, Default)]
pub struct RolloutHome {
    number: Option<RolloutNumber>,
    entries: BTreeMap<NodeName, EntryCounts>,
    evidence: VersionEvidence,
    new_answers: u64,
    /// Current phase and the time at which this home first saw it.
    phase: Option<(RolloutPhase, ClockTime)>,
    /// Time at which all entries were first known to have installed the current phase.
    installed_at: Option<ClockTime>,
}

impl RolloutHome {
    /// Creates an empty home.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the counts that an entry reported.
    pub fn apply_report(
        &mut self,
        reporter: &NodeName,
        incarnation: Incarnation,
        counts: &RolloutCounts,
        record: &RolloutRecord,
        _bounds: &RolloutBounds,
        now: ClockTime,
    ) {
        self.follow(record, now);
        let is_same = counts.service == record.order.service && counts.number == record.number.0;
        if !is_same || record.phase.is_final() {
            return;
        }
        let known = self.entries.get(reporter);
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return;
        }
        let known = known.filter(|known| known.incarnation == incarnation);
        let is_alone = record.phase == RolloutPhase::Draining;
        let mut latest = BTreeMap::new();
        let mut deltas: BTreeMap<u64, RouteDelta> = BTreeMap::new();
        for count in &counts.counts {
            let key = (count.route, count.version.clone());
            let zero = VersionCount {
                sent: 0,
                ended: 0,
                failed: 0,
                slow: 0,
                ..count.clone()
            };
            let Some(known) = known else {
                latest.insert(key, count.clone());
                continue;
            };
            let last = known.counts.get(&key).unwrap_or(&zero);
            if count.sent < last.sent || count.ended < last.ended {
                // An older report has arrived late.
                return;
            }
            let delta = deltas.entry(count.route).or_default();
            let sent = count.sent - last.sent;
            let failed = count.failed.saturating_sub(last.failed);
            let slow = count.slow.saturating_sub(last.slow);
            if count.version == record.order.to {
                delta.new_sent += sent;
                delta.new_failed += failed;
                delta.new_slow += slow;
                self.new_answers += count.ended - last.ended;
            } else if record.old.contains(&count.version) {
                delta.old_sent += sent;
                delta.old_failed += failed;
                delta.old_slow += slow;
            }
            latest.insert(key, count.clone());
        }
        for (route, delta) in deltas {
            self.evidence.add(route, &delta, is_alone, now);
        }
        let entry = EntryCounts {
            incarnation,
            counts: latest,
            running_at_old: counts.running_at_old,
            received_at: now,
        };
        self.entries.insert(reporter.clone(), entry);
    }

    /// Returns the next phase of the roll-out, if it is due.
    pub fn next_step(
        &mut self,
        record: &RolloutRecord,
        fleet: &RolloutFleet,
        bounds: &RolloutBounds,
        now: ClockTime,
    ) -> Option<RolloutStep> {
        self.follow(record, now);
        if record.phase.is_final() {
            return None;
        }
        let is_in_force = fleet.is_installed || fleet.is_lease_passed;
        if is_in_force && self.installed_at.is_none() {
            self.installed_at = Some(now);
        }
        let is_alone = record.phase == RolloutPhase::Draining;
        self.evidence.advance(is_alone, now);
        let phase = if !fleet.has_service {
            rolled_back("service removed")
        } else if self.evidence.highest() >= MIN_EVIDENCE {
            rolled_back("bad responses")
        } else {
            match record.phase {
                RolloutPhase::Running { step } => {
                    self.after_step(step, record, fleet, bounds, now)?
                }
                _ if fleet.new_serving == 0 && self.is_observed(now) => rolled_back("no target"),
                _ if has_enough_targets(fleet) && self.is_drained(fleet, now) => {
                    RolloutPhase::Completed
                }
                _ => return None,
            }
        };
        Some(RolloutStep {
            service: record.order.service.clone(),
            number: record.number,
            phase,
        })
    }

    /// Evidence against the new version, as the negative logarithm of a probability.
    pub fn evidence(&self) -> f64 {
        self.evidence.highest()
    }

    /// Forgets what belongs to another roll-out, and notes when the phase began.
    fn follow(&mut self, record: &RolloutRecord, now: ClockTime) {
        if self.number != Some(record.number) {
            *self = Self::new();
            self.number = Some(record.number);
        }
        let phase = self.phase.as_ref().map(|(phase, _)| phase);
        if phase != Some(&record.phase) {
            self.phase = Some((record.phase.clone(), now));
            self.installed_at = None;
        }
    }

    /// Phase that follows a step, if it is due.
    fn after_step(
        &self,
        step: u32,
        record: &RolloutRecord,
        fleet: &RolloutFleet,
        bounds: &RolloutBounds,
        now: ClockTime,
    ) -> Option<RolloutPhase> {
        let duration_ms = record.order.duration_ms;
        let plan = RolloutPlan::new(duration_ms, bounds.exposure_permille);
        let (_, since) = self.phase.as_ref()?;
        let in_step_ms = now.since(*since).as_millis() as u64;
        let elapsed_ms = plan.start_ms(step) + in_step_ms;
        if fleet.new_serving == 0 && elapsed_ms >= duration_ms {
            return Some(rolled_back("no target"));
        }
        if elapsed_ms < plan.start_ms(step + 1) || !self.is_observed(now) || fleet.new_serving == 0
        {
            return None;
        }
        let is_held = elapsed_ms < duration_ms * MAX_HOLD_PERCENT / 100;
        if (step as usize) + 1 < plan.steps().len() {
            return Some(RolloutPhase::Running { step: step + 1 });
        }
        if !has_enough_targets(fleet) {
            return (elapsed_ms >= duration_ms).then(|| rolled_back("too few targets"));
        }
        let evidence = self.evidence.highest();
        if evidence >= MIN_FINAL_EVIDENCE {
            return Some(rolled_back("bad responses"));
        }
        if is_held && evidence >= SUSPICION_EVIDENCE {
            return None;
        }
        if self.new_answers == 0 {
            // Nothing is known of the version: its targets may be unreachable.
            return (elapsed_ms >= duration_ms).then(|| rolled_back("no answer"));
        }
        let has_answers = self.new_answers >= MIN_ANSWERS;
        (has_answers || !is_held).then_some(RolloutPhase::Draining)
    }

    /// Whether the current phase has been in force at all entries for long enough to show.
    fn is_observed(&self, now: ClockTime) -> bool {
        self.installed_at
            .is_some_and(|installed_at| now.since(installed_at) >= MIN_OBSERVED)
    }

    /// Whether no request runs at an old target and none can begin there.
    fn is_drained(&self, fleet: &RolloutFleet, now: ClockTime) -> bool {
        let Some(installed_at) = self.installed_at else {
            return false;
        };
        let is_recent = |entry: &EntryCounts| now.since(entry.received_at) < MAX_REPORT_AGE;
        let mut recent = self.entries.values().filter(|entry| is_recent(entry));
        let is_free = recent.all(|entry| entry.running_at_old == 0);
        let mut live = fleet.live_entries.iter();
        is_free
            && live.all(|name| {
                self.entries.get(name).is_some_and(|entry| {
                    is_recent(entry) && entry.received_at >= installed_at + REPORT_TRANSIT_TIME
                })
            })
    }
}

/// Whether the new version has enough targets to get all requests.
fn has_enough_targets(fleet: &RolloutFleet) -> bool {
    fleet.new_serving >= fleet.old_serving.div_ceil(MIN_TARGETS_DIVISOR).max(1)
}

fn rolled_back(reason: &str) -> RolloutPhase {
    RolloutPhase::RolledBack {
        reason: reason.into(),
    }
}
