//! Crashes that an entry has observed, and the quarantine that it applies.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use units::{ClockTime, Incarnation, NodeName, ServiceName};
use wire::{
    CrashReport, FlowId, HomeId, QuarantineReply, QuarantinedTrait, RequestTrait, ServedCount,
    ServiceTrait, TraitSuccess,
};

use crate::MAX_QUARANTINED;
use crate::breaks::BreakRecord;
use crate::success::SuccessHistory;

/// Maximum number of processes whose failed requests an entry keeps.
const MAX_RECORDS: usize = 64;

/// Number of targets at which the same request may fail, each without a later response, before it
/// is held back.
const MAX_SILENT_TARGETS: usize = 3;

/// Time after the last of these failures for which the request is held back. The ends of the targets
/// show within this time, or some of them answer other requests.
const HOLD_TIME: Duration = Duration::from_secs(10);

/// Time after the end of a process within which its last requests fail.
const END_RETENTION: Duration = Duration::from_secs(30);

/// Time for which a trial may be used. A later one would overlap with the next trial.
const TRIAL_TTL: Duration = Duration::from_secs(20);

/// Process of a target whose connections broke.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndedTarget {
    /// Name of the target.
    pub name: NodeName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// Request that got no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRequest {
    /// Organisation and service of the request.
    pub flow: FlowId,
    /// Time at which the request was sent to the target.
    pub sent_at: ClockTime,
    /// Whether the request was sent to another target before.
    pub is_retry: bool,
    /// Traits of the request.
    pub traits: Vec<RequestTrait>,
}

/// Complete responses of a service.
#[derive(Debug, Clone)]
struct ServedResponses {
    responses: u64,
    first_at: ClockTime,
}

/// Quarantined trait as applied by an entry.
#[derive(Debug, Clone)]
struct AppliedTrait {
    quarantined: QuarantinedTrait,
    trial_at: ClockTime,
}

impl AppliedTrait {
    fn describe(&self, now: ClockTime) -> QuarantinedTrait {
        QuarantinedTrait {
            trial_ms: self.trial_at.since(now).as_millis() as u64,
            ..self.quarantined.clone()
        }
    }
}

/// Crash of a target with requests of this entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedCrash {
    /// Service of the target.
    pub service: ServiceName,
    /// Requests that may be its cause.
    pub suspects: Vec<BrokenRequest>,
}

/// Decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// No trait of the request is quarantined.
    Admitted,
    /// The request is admitted as a trial: it may be sent to one target.
    Trial,
    /// The request is refused.
    Refused(RefusalCause),
}

/// Cause for which a request is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RefusalCause {
    /// Requests with this trait crash targets.
    Trait(QuarantinedTrait),
    /// The request has failed at several targets that have not answered since. It is held back for
    /// this time.
    SilentTargets(Duration),
}

impl RefusalCause {
    /// Time after which the request may be admitted.
    pub fn wait(&self) -> Duration {
        match self {
            Self::Trait(quarantined) => Duration::from_millis(quarantined.trial_ms),
            Self::SilentTargets(time) => *time,
        }
    }
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Trait(quarantined) => {
                let (subject, crashes) = (&quarantined.subject, quarantined.crashes);
                write!(f, "requests with {subject} crashed {crashes} targets")
            }
            Self::SilentTargets(_) => write!(
                f,
                "the same request failed at {MAX_SILENT_TARGETS} targets that have not answered since"
            ),
        }
    }
}

/// Crashes and quarantine of one entry.
#[derive(Debug, Clone, Default)]
pub struct CrashLog {
    breaks: BTreeMap<EndedTarget, BreakRecord>,
    /// Processes that have ended unexpectedly.
    ended: BTreeMap<EndedTarget, ClockTime>,
    successes: SuccessHistory,
    /// Complete responses since the last report.
    served: BTreeMap<ServiceName, ServedResponses>,
    /// Control node that sent the quarantine.
    source: Option<HomeId>,
    suspected: BTreeSet<ServiceTrait>,
    quarantine: BTreeMap<ServiceTrait, AppliedTrait>,
    refused: BTreeSet<ServiceTrait>,
    /// Traits of which one request may be admitted, and the time until which it may.
    trials: BTreeMap<ServiceTrait, ClockTime>,
}

impl CrashLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request without a complete response at a process that was expected to serve. Returns
    /// the crash if it is now known to be one.
    pub fn record_failure(
        &mut self,
        target: &EndedTarget,
        service: &ServiceName,
        request: BrokenRequest,
        now: ClockTime,
    ) -> Option<ObservedCrash> {
        self.breaks.retain(|_, record| record.is_kept(now));
        if self.breaks.len() >= MAX_RECORDS && !self.breaks.contains_key(target) {
            let records = self.breaks.iter();
            let oldest = records.min_by_key(|(_, record)| (record.is_crash, record.at()));
            if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
                self.breaks.remove(&oldest);
            }
        }
        let record = self.breaks.entry(target.clone());
        let record = record.or_insert_with(|| BreakRecord::new(service));
        record.add(request, now);
        let has_ended = self.ended.contains_key(target) && !record.is_crash;
        has_ended.then(|| record.record_end(now)).flatten()
    }

    /// Whether a request that fails at the process is a suspect although the process is not listed:
    /// the process has ended unexpectedly.
    pub fn has_ended(&self, target: &EndedTarget) -> bool {
        self.ended.contains_key(target)
    }

    /// Whether the caller should find out if a process with failed requests has ended.
    pub fn try_probe(&mut self, target: &EndedTarget, now: ClockTime) -> bool {
        let record = self.breaks.get_mut(target);
        record.is_some_and(|record| record.try_probe(now))
    }

    /// Records that the process of a target has ended unexpectedly. Returns the crash if requests
    /// had failed there.
    pub fn record_end(&mut self, target: &EndedTarget, now: ClockTime) -> Option<ObservedCrash> {
        self.ended
            .retain(|_, ended_at| now.since(*ended_at) < END_RETENTION);
        self.ended.entry(target.clone()).or_insert(now);
        let record = self.breaks.get_mut(target)?;
        match record.is_crash {
            true => None,
            false => record.record_end(now),
        }
    }

    /// Records that a process is listed again: it had not ended.
    pub fn record_return(&mut self, target: &EndedTarget) {
        let has_returned = self.ended.remove(target).is_some();
        let record = self.breaks.get(target);
        if has_returned && record.is_some_and(|record| record.reported.is_none()) {
            self.breaks.remove(target);
        }
    }

    /// Records a response of a process, of any kind, to a request that was sent at `sent_at`.
    pub fn record_response(&mut self, target: &EndedTarget, sent_at: ClockTime, now: ClockTime) {
        if let Some(record) = self.breaks.get_mut(target) {
            record.record_response(sent_at, now);
            if record.len() == 0 {
                self.breaks.remove(target);
            }
        }
    }

    /// Records that a process is leaving: its end is no crash.
    pub fn record_leaving(&mut self, target: &EndedTarget) {
        let record = self.breaks.get(target);
        if record.is_some_and(|record| !record.is_crash) {
            self.breaks.remove(target);
        }
    }

    /// Whether requests have failed at any process.
    pub fn has_failures(&self) -> bool {
        !self.breaks.is_empty()
    }

    /// Number of failed requests at a process.
    pub fn failed_count(&self, target: &EndedTarget) -> usize {
        self.breaks.get(target).map_or(0, BreakRecord::len)
    }

    /// Records a complete response to a request with these traits.
    pub fn record_success(
        &mut self,
        service: &ServiceName,
        traits: &[RequestTrait],
        now: ClockTime,
    ) {
        self.successes.record(service, traits, now);
        match self.served.get_mut(service) {
            Some(served) => served.responses += 1,
            None => {
                let first = ServedResponses {
                    responses: 1,
                    first_at: now,
                };
                self.served.insert(service.clone(), first);
            }
        }
    }

    /// Decides whether a request may be sent to a target. Uses up the trial that admits it.
    pub fn check_request(
        &mut self,
        service: &ServiceName,
        flow: FlowId,
        traits: &[RequestTrait],
        now: ClockTime,
    ) -> QuarantineVerdict {
        let matched = self.quarantined_traits(service, flow, traits);
        let Some(first) = matched.first() else {
            return match self.hold_time(service, traits, now) {
                Some(time) => QuarantineVerdict::Refused(RefusalCause::SilentTargets(time)),
                None => QuarantineVerdict::Admitted,
            };
        };
        self.trials.retain(|_, until| *until > now);
        let subjects = || matched.iter().map(|applied| &applied.quarantined.subject);
        if subjects().all(|subject| self.trials.contains_key(subject)) {
            for subject in subjects() {
                self.trials.remove(subject);
            }
            return QuarantineVerdict::Trial;
        }
        self.refused.extend(subjects().cloned());
        QuarantineVerdict::Refused(RefusalCause::Trait(first.describe(now)))
    }

    fn quarantined_traits(
        &self,
        service: &ServiceName,
        flow: FlowId,
        traits: &[RequestTrait],
    ) -> Vec<AppliedTrait> {
        if self.quarantine.is_empty() {
            return Vec::new();
        }
        let subjects = traits.iter().map(|request_trait| ServiceTrait {
            service: service.clone(),
            request_trait: *request_trait,
        });
        let applied = subjects.filter_map(|subject| self.quarantine.get(&subject));
        let applied = applied.filter(|applied| {
            let flows = &applied.quarantined.flows;
            flows.is_empty() || flows.contains(&flow)
        });
        applied.cloned().collect()
    }

    /// Time for which a request is held back. The same request has failed at several targets one after
    /// the other, each of which has not answered a later one: they may have ended, although nothing
    /// else shows it yet. Targets that are lost together do not count as several.
    fn hold_time(
        &self,
        service: &ServiceName,
        traits: &[RequestTrait],
        now: ClockTime,
    ) -> Option<Duration> {
        let records = self.breaks.values();
        let records = records.filter(|record| record.service == *service);
        let mut failures: Vec<(ClockTime, ClockTime)> = records
            .filter_map(|record| record.last_failure(traits, now))
            .collect();
        failures.sort_by_key(|(_, failed_at)| *failed_at);
        let first = failures.first()?.1;
        let (mut targets, mut last) = (0, ClockTime::default());
        for (sent_at, failed_at) in failures {
            if targets == 0 || sent_at >= last {
                targets += 1;
                last = failed_at;
            }
        }
        if targets < MAX_SILENT_TARGETS {
            return None;
        }
        let ends_at = last + HOLD_TIME;
        let last_success = traits.iter().filter_map(|request_trait| {
            self.successes.latest(&ServiceTrait {
                service: service.clone(),
                request_trait: *request_trait,
            })
        });
        // The request has a trait of its own, which succeeds only if the same request does.
        let has_succeeded = last_success.clone().count() == traits.len()
            && last_success.min().is_some_and(|success| success > first);
        (now < ends_at && !has_succeeded).then(|| ends_at.since(now))
    }

    /// Whether a request with these traits may be the cause of earlier crashes. It should not be sent
    /// to another target after its connection broke.
    pub fn is_suspected(&self, service: &ServiceName, traits: &[RequestTrait]) -> bool {
        !self.suspected.is_empty()
            && traits.iter().any(|request_trait| {
                self.suspected.contains(&ServiceTrait {
                    service: service.clone(),
                    request_trait: *request_trait,
                })
            })
    }

    /// Whether the home should hear from this entry soon.
    pub fn is_urgent(&self) -> bool {
        !self.suspected.is_empty()
            || !self.refused.is_empty()
            || self.breaks.values().any(|record| self.is_due(record))
    }

    fn is_due(&self, record: &BreakRecord) -> bool {
        let known = self.source.map(|source| (source, record.len()));
        record.is_crash && (record.reported.is_none() || record.reported != known)
    }

    /// Report of what the home does not know yet. The counts of responses start anew: those of a report
    /// without a reply are lost, and are not taken for later ones.
    pub fn take_report(&mut self, now: ClockTime) -> CrashReport {
        let served = self.take_served(now);
        let due = || self.breaks.iter().filter(|(_, record)| self.is_due(record));
        let observations = due().map(|(target, record)| {
            let known = record
                .reported
                .filter(|(source, _)| Some(*source) == self.source);
            record.observe(target, known.map_or(0, |(_, count)| count), now)
        });
        let mut asked: BTreeSet<ServiceTrait> = self.suspected.clone();
        asked.extend(self.quarantine.keys().cloned());
        for (_, record) in due() {
            let traits = record.suspects().flat_map(|request| &request.traits);
            asked.extend(traits.map(|request_trait| ServiceTrait {
                service: record.service.clone(),
                request_trait: *request_trait,
            }));
        }
        let successes = asked.into_iter().filter_map(|subject| {
            let at = self.successes.latest(&subject)?;
            let age_ms = now.since(at).as_millis() as u64;
            Some(TraitSuccess { subject, age_ms })
        });
        CrashReport {
            source: self.source,
            observations: observations.collect(),
            served,
            successes: successes.collect(),
            quarantine: self.applied_quarantine(now),
            refused: self.refused.iter().cloned().collect(),
        }
    }

    fn take_served(&mut self, now: ClockTime) -> Vec<ServedCount> {
        let served = std::mem::take(&mut self.served).into_iter();
        let counts = served.map(|(service, served)| ServedCount {
            service,
            responses: served.responses,
            age_ms: now.since(served.first_at).as_millis() as u64,
        });
        counts.collect()
    }

    fn applied_quarantine(&self, now: ClockTime) -> Vec<QuarantinedTrait> {
        let applied = self.quarantine.values().take(MAX_QUARANTINED);
        applied.map(|applied| applied.describe(now)).collect()
    }

    /// Applies the reply to a report.
    pub fn apply_reply(&mut self, report: &CrashReport, reply: &QuarantineReply, now: ClockTime) {
        for observation in &report.observations {
            let target = EndedTarget {
                name: observation.target.clone(),
                incarnation: observation.incarnation,
            };
            if let Some(record) = self.breaks.get_mut(&target) {
                let known = record
                    .reported
                    .filter(|(source, _)| Some(*source) == report.source);
                let known = known.map_or(0, |(_, count)| count);
                // A home that has just taken over lacks the suspects reported before.
                let known = match report.source == Some(reply.source) {
                    true => known + observation.suspects.len(),
                    false if known == 0 => observation.suspects.len(),
                    false => 0,
                };
                record.reported = Some((reply.source, known));
            }
        }
        for subject in &report.refused {
            self.refused.remove(subject);
        }
        self.source = Some(reply.source);
        self.suspected = reply.suspected.iter().cloned().collect();
        let quarantine = reply.quarantine.iter().map(|quarantined| {
            let applied = AppliedTrait {
                trial_at: now + Duration::from_millis(quarantined.trial_ms),
                quarantined: quarantined.clone(),
            };
            (quarantined.subject.clone(), applied)
        });
        self.quarantine = quarantine.collect();
        for subject in &reply.trials {
            self.trials.insert(subject.clone(), now + TRIAL_TTL);
        }
    }
}
