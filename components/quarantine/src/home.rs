//! Quarantine of the whole fleet, found from the reports of all entries.

use std::collections::BTreeMap;
use std::time::Duration;

use units::ClockTime;
use wire::{
    CrashObservation, CrashReport, HomeId, QuarantineReply, QuarantinedTrait, ServiceTrait,
};

use crate::evidence::{CauseCandidate, CrashEvidence};
use crate::record::{MAX_TRIAL_INTERVAL, QuarantineRecord};
use crate::{CRASH_RETENTION, MAX_QUARANTINED};

/// Minimum number of crashes for which a trait is held responsible.
const QUARANTINE_CRASHES: u64 = 4;

/// Minimum evidence against a trait, as a natural logarithm. Hundreds of traits are candidates.
const MIN_EVIDENCE: f64 = 6.0;

/// Evidence from which a trait is suspected: entries report complete responses to it, and requests
/// with it get no second target.
const SUSPICION_EVIDENCE: f64 = 2.5;

/// Time for which a trait is suspected before its quarantine. All entries report complete responses
/// to it within this time; entries report every 250 ms.
const SUSPICION_TIME: Duration = Duration::from_millis(600);

/// Maximum number of suspected traits.
const MAX_SUSPECTED: usize = 256;

/// Minimum interval between evaluations of the evidence.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// Start or end of a quarantine, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Requests with the trait are refused.
    Started(QuarantinedTrait),
    /// A request with the trait got a complete response.
    Ended(ServiceTrait),
}

/// Crashes of the fleet and the quarantine that follows from them.
#[derive(Debug, Clone)]
pub struct QuarantineHome {
    source: HomeId,
    evidence: CrashEvidence,
    /// Suspected traits, with the time since which they are suspected.
    suspected: BTreeMap<ServiceTrait, ClockTime>,
    quarantine: BTreeMap<ServiceTrait, QuarantineRecord>,
    /// Traits that an operator has lifted, with the time; entries may report them once more.
    lifted: BTreeMap<ServiceTrait, ClockTime>,
    /// Whether there is evidence since the last evaluation.
    has_news: bool,
    last_evaluation: ClockTime,
}

impl QuarantineHome {
    /// Creates an empty home.
    pub fn new(source: HomeId) -> Self {
        Self {
            source,
            evidence: CrashEvidence::default(),
            suspected: BTreeMap::new(),
            quarantine: BTreeMap::new(),
            lifted: BTreeMap::new(),
            has_news: false,
            last_evaluation: ClockTime::default(),
        }
    }

    /// Adds a report, and returns the quarantine for its entry and the changes for the log.
    pub fn apply_report(
        &mut self,
        report: &CrashReport,
        now: ClockTime,
    ) -> (QuarantineReply, Vec<QuarantineChange>) {
        let now = home_time(now);
        self.evict_old(now);
        if report.source != Some(self.source) {
            self.adopt(&report.quarantine, now);
        }
        for observation in &report.observations {
            self.add_observation(observation, now);
        }
        for count in &report.served {
            self.evidence.add_served(count, now);
        }
        for success in &report.successes {
            self.evidence.add_success(success, now);
        }
        let mut changes = Vec::new();
        if self.is_open(report) && now.since(self.last_evaluation) >= EVALUATION_INTERVAL {
            self.last_evaluation = now;
            self.has_news = false;
            changes.extend(self.end_quarantines());
            self.widen_quarantines(now);
            changes.extend(self.find_causes(now));
        }
        // The quarantine in the reply tells of the trials that begin.
        let trials = self.grant_trials(&report.refused, now);
        let reply = QuarantineReply {
            source: self.source,
            suspected: self.suspected.keys().cloned().collect(),
            quarantine: self.quarantine_at(now),
            trials,
        };
        (reply, changes)
    }

    /// Whether an evaluation may change the quarantine.
    fn is_open(&self, report: &CrashReport) -> bool {
        let mut records = self.quarantine.values();
        self.has_news
            || !self.suspected.is_empty()
            || !report.successes.is_empty()
            || records.any(|record| !record.flows.is_empty())
    }

    /// Traits in quarantine.
    pub fn quarantined(&self, now: ClockTime) -> Vec<QuarantinedTrait> {
        self.quarantine_at(home_time(now))
    }

    fn quarantine_at(&self, now: ClockTime) -> Vec<QuarantinedTrait> {
        let records = self.quarantine.iter();
        records
            .map(|(subject, record)| record.describe(subject, now))
            .collect()
    }

    /// Ends the quarantine of a trait and forgets its crashes. Returns whether it was in quarantine.
    pub fn lift(&mut self, subject: &ServiceTrait, now: ClockTime) -> bool {
        let now = home_time(now);
        self.lifted.insert(subject.clone(), now);
        self.evidence.clear(subject, now);
        self.suspected.remove(subject);
        self.quarantine.remove(subject).is_some()
    }

    fn evict_old(&mut self, now: ClockTime) {
        self.quarantine.retain(|_, record| {
            let is_unused = now.since(record.last_seen) >= CRASH_RETENTION;
            now < record.trial_at || !is_unused
        });
        self.lifted
            .retain(|_, lifted_at| now.since(*lifted_at) < CRASH_RETENTION);
        let quarantine = &self.quarantine;
        self.evidence
            .evict_old(now, |subject| quarantine.contains_key(subject));
    }

    /// Takes over the quarantine of another home, which an entry still applies.
    fn adopt(&mut self, quarantine: &[QuarantinedTrait], now: ClockTime) {
        for quarantined in quarantine {
            let is_full = self.quarantine.len() >= MAX_QUARANTINED;
            if is_full || self.lifted.contains_key(&quarantined.subject) {
                continue;
            }
            let interval = Duration::from_millis(quarantined.interval_ms);
            let trial_at = now + Duration::from_millis(quarantined.trial_ms);
            self.quarantine
                .entry(quarantined.subject.clone())
                .or_insert(QuarantineRecord {
                    started_at: now,
                    flows: quarantined.flows.iter().copied().collect(),
                    crashes: quarantined.crashes,
                    last_crash: trial_at - interval,
                    interval,
                    trial_at,
                    last_trial: None,
                    last_seen: now,
                });
        }
    }

    fn add_observation(&mut self, observation: &CrashObservation, now: ClockTime) {
        let Some(at) = self.evidence.add_observation(observation, now) else {
            return;
        };
        self.has_news = true;
        let suspects = observation.suspects.iter();
        for request_trait in suspects.flat_map(|suspect| &suspect.traits) {
            let subject = ServiceTrait {
                service: observation.service.clone(),
                request_trait: *request_trait,
            };
            if let Some(record) = self.quarantine.get_mut(&subject) {
                record.add_crash(at);
            }
        }
    }

    /// Extends a quarantine to all organisations once a target has crashed without a request of
    /// those to which it applies. All entries have reported the crash by then.
    fn widen_quarantines(&mut self, now: ClockTime) {
        for (subject, record) in &mut self.quarantine {
            let span = record.started_at..=now - SUSPICION_TIME;
            let flows = &record.flows;
            if !flows.is_empty() && self.evidence.has_other_crash(subject, flows, span) {
                record.flows.clear();
            }
        }
    }

    /// Ends the quarantine of traits with a complete response after their last crash.
    fn end_quarantines(&mut self) -> Vec<QuarantineChange> {
        let evidence = &self.evidence;
        let mut changes = Vec::new();
        self.quarantine.retain(|subject, record| {
            let success = evidence.latest_success(subject);
            let has_ended = success.is_some_and(|success| success > record.last_crash);
            if has_ended {
                changes.push(QuarantineChange::Ended(subject.clone()));
            }
            !has_ended
        });
        changes
    }

    /// Updates the suspected traits, and quarantines those with the most evidence, as long as it is
    /// enough. The crashes that they explain are no evidence against others.
    fn find_causes(&mut self, now: ClockTime) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        loop {
            let mut candidates = self.evidence.candidates(self.quarantine.keys());
            candidates.retain(|candidate| candidate.evidence >= SUSPICION_EVIDENCE);
            candidates.sort_by(|one, other| other.evidence.total_cmp(&one.evidence));
            candidates.truncate(MAX_SUSPECTED);
            let suspected_since = |subject: &ServiceTrait| self.suspected.get(subject).copied();
            self.suspected = candidates
                .iter()
                .map(|candidate| {
                    let since = suspected_since(&candidate.subject).unwrap_or(now);
                    (candidate.subject.clone(), since)
                })
                .collect();
            let highest = candidates.first().map_or(0.0, |first| first.evidence);
            // Traits that always occur together cannot be told apart.
            candidates.retain(|candidate| candidate.evidence == highest);
            let is_certain = |candidate: &CauseCandidate| {
                candidate.chain.crashes >= QUARANTINE_CRASHES
                    && candidate.evidence >= MIN_EVIDENCE
                    && now.since(self.suspected[&candidate.subject]) >= SUSPICION_TIME
            };
            let has_room = self.quarantine.len() + candidates.len() <= MAX_QUARANTINED;
            if candidates.is_empty() || !has_room || !candidates.iter().all(is_certain) {
                return changes;
            }
            for CauseCandidate { subject, chain, .. } in candidates {
                let record = QuarantineRecord::new(&chain, now);
                changes.push(QuarantineChange::Started(record.describe(&subject, now)));
                self.quarantine.insert(subject, record);
            }
        }
    }

    /// Trials of refused requests that are due.
    fn grant_trials(&mut self, refused: &[ServiceTrait], now: ClockTime) -> Vec<ServiceTrait> {
        let quarantine = &mut self.quarantine;
        let mut is_due = |subject: &&ServiceTrait| {
            let record = quarantine.get_mut(*subject);
            record.is_some_and(|record| record.try_trial(now))
        };
        refused
            .iter()
            .filter(|subject| is_due(subject))
            .cloned()
            .collect()
    }
}

/// Time of the home, which leaves room for events before its process started.
fn home_time(now: ClockTime) -> ClockTime {
    now + CRASH_RETENTION + MAX_TRIAL_INTERVAL
}
