//! Crashes that an entry has observed, and the quarantine that it applies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::{ClockTime, Incarnation, NodeName, ServiceName};
use wire::{
    CrashObservation, CrashReport, CrashSuspect, FlowId, HomeId, QuarantineReply, QuarantinedTrait,
    RequestTrait, ServedCount, ServiceTrait, TraitSuccess,
};

use crate::success::SuccessHistory;
use crate::{CRASH_RETENTION, MAX_QUARANTINED};

/// Maximum number of crashes that an entry keeps.
const MAX_CRASHES: usize = 64;

/// Maximum number of suspects of one crash.
const MAX_SUSPECTS: usize = 64;

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

/// Request whose connection broke before its response was complete.
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

/// Broken requests of one process of a target.
#[derive(Debug, Clone)]
struct BreakRecord {
    service: ServiceName,
    at: ClockTime,
    /// Whether the process is known to have ended.
    is_crash: bool,
    suspects: Vec<BrokenRequest>,
    /// Control node that knows the crash, and the number of suspects that it knows.
    reported: Option<(HomeId, usize)>,
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

/// Decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// No trait of the request is quarantined.
    Admitted,
    /// The request is admitted as a trial: it may be sent to one target.
    Trial,
    /// The request is refused because of this trait.
    Refused(QuarantinedTrait),
}

/// Crashes and quarantine of one entry.
#[derive(Debug, Clone, Default)]
pub struct CrashLog {
    breaks: BTreeMap<EndedTarget, BreakRecord>,
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

    /// Records a request whose connection broke. Returns whether it is the first one at this
    /// process of the target; the caller then finds out whether the process has ended.
    pub fn record_break(
        &mut self,
        target: &EndedTarget,
        service: &ServiceName,
        request: BrokenRequest,
        now: ClockTime,
    ) -> bool {
        self.breaks
            .retain(|_, record| now.since(record.at) < CRASH_RETENTION);
        if let Some(record) = self.breaks.get_mut(target) {
            if record.suspects.len() < MAX_SUSPECTS {
                record.suspects.push(request);
            }
            return false;
        }
        if self.breaks.len() >= MAX_CRASHES {
            let oldest = self.breaks.iter().min_by_key(|(_, record)| record.at);
            if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
                self.breaks.remove(&oldest);
            }
        }
        let record = BreakRecord {
            service: service.clone(),
            at: now,
            is_crash: false,
            suspects: vec![request],
            reported: None,
        };
        self.breaks.insert(target.clone(), record);
        true
    }

    /// Records whether the process of a target has ended. Broken requests of a process that still
    /// runs are no evidence. Returns the suspects of a crash.
    pub fn resolve_break(&mut self, target: &EndedTarget, has_ended: bool) -> &[BrokenRequest] {
        if !has_ended {
            self.breaks.remove(target);
        }
        match self.breaks.get_mut(target) {
            Some(record) => {
                record.is_crash = true;
                &record.suspects
            }
            None => &[],
        }
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
            return QuarantineVerdict::Admitted;
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
        QuarantineVerdict::Refused(first.describe(now))
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
        let known = self.source.map(|source| (source, record.suspects.len()));
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
            let traits = record.suspects.iter().flat_map(|request| &request.traits);
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

impl BreakRecord {
    /// Observation of the crash, without the first `known` suspects.
    fn observe(&self, target: &EndedTarget, known: usize, now: ClockTime) -> CrashObservation {
        let suspects = self.suspects.iter().skip(known);
        let suspects = suspects.map(|request| CrashSuspect {
            flow: request.flow,
            sent_ms: now.since(request.sent_at).as_millis() as u64,
            is_retry: request.is_retry,
            traits: request.traits.clone(),
        });
        CrashObservation {
            target: target.name.clone(),
            incarnation: target.incarnation,
            service: self.service.clone(),
            age_ms: now.since(self.at).as_millis() as u64,
            suspects: suspects.collect(),
        }
    }
}
