//! Causes of crashes, found from the reports of all entries.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::RangeInclusive;
use std::time::Duration;

use units::{ClockTime, Incarnation, NodeName, ServiceName};
use wire::{
    CrashObservation, CrashReport, FlowId, QuarantineReply, QuarantinedTrait, RequestTrait,
    ServedCount, ServiceTrait,
};

use crate::{CRASH_RETENTION, MAX_QUARANTINED};

/// Minimum number of crashes for which a trait is held responsible.
const QUARANTINE_CRASHES: u64 = 4;

/// Number of crashes after which a trait is suspected.
const SUSPICION_CRASHES: u64 = 2;

/// Minimum evidence against a trait, as a natural logarithm. Hundreds of traits are candidates.
const MIN_EVIDENCE: f64 = 6.0;

/// Evidence that is needed in addition against a trait with an earlier complete response, since such
/// a trait is rarely a cause.
const SUCCESS_EVIDENCE: f64 = 3.0;

/// Lowest mean number of requests with a trait at a target that is assumed in an estimate.
const MIN_MEAN_REQUESTS: f64 = 0.2;

/// Number of requests at a target from which a trait is common, also without an earlier response. After
/// a restart of all entries no response is known.
const COMMON_REQUESTS: f64 = 3.0;

/// Probability that a crash has the cause under examination and not another one.
const CAUSE_PROBABILITY: f64 = 0.8;

/// Number of iterations that find the mean of a distribution to 1%.
const MEAN_ITERATIONS: usize = 16;

/// Length of an interval in which the complete responses of a service are counted, in milliseconds.
const SERVED_INTERVAL_MS: u64 = 250;

/// Time for which a trait is suspected before its quarantine. All entries report complete responses
/// to it within this time; entries report every 250 ms.
const SUSPICION_TIME: Duration = Duration::from_millis(600);

/// Interval between a crash and the first trial. It doubles with each trial that fails.
const FIRST_TRIAL_INTERVAL: Duration = Duration::from_secs(60);

/// Longest interval between trials.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(3_600);

/// Time after which a trial without a result is repeated.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of crashes that the home keeps.
const MAX_CRASHES: usize = 128;

/// Maximum number of suspected traits.
const MAX_SUSPECTED: usize = 256;

/// Maximum number of traits of one crash.
const MAX_TRAITS: usize = 1_024;

/// Minimum interval between evaluations of the evidence.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// Requests with one trait at a target that crashed.
#[derive(Debug, Clone, Default)]
struct TraitEvidence {
    requests: u64,
    /// Time at which the latest of them was sent, except for retries. A retry of a sound request that
    /// was at one target that crashed may be at the next one, too.
    last_sent: Option<ClockTime>,
    /// Organisations of the requests.
    flows: BTreeSet<FlowId>,
}

/// Crash of a target, merged from the observations of all entries.
#[derive(Debug, Clone)]
struct CrashRecord {
    service: ServiceName,
    at: ClockTime,
    /// Number of requests at the target.
    requests: u64,
    evidence: BTreeMap<RequestTrait, TraitEvidence>,
}

/// Crashes of targets with requests with one trait, since the last complete response to one.
#[derive(Debug, Clone, Default)]
struct CrashChain {
    crashes: u64,
    first_crash: ClockTime,
    last_crash: ClockTime,
    /// Number of crashes, each with a request that was sent after the one before.
    length: u64,
    /// Last crash that is counted in `length`.
    last_counted: ClockTime,
    /// Number of requests with the trait at the targets.
    requests: u64,
    /// Organisations with requests at each of the targets.
    flows: BTreeSet<FlowId>,
}

/// Trait that may be the cause of crashes.
#[derive(Debug, Clone)]
struct CauseCandidate {
    subject: ServiceTrait,
    chain: CrashChain,
    evidence: f64,
}

/// Quarantine of one trait.
#[derive(Debug, Clone)]
struct QuarantineRecord {
    started_at: ClockTime,
    /// Organisations whose requests are refused; empty for all.
    flows: BTreeSet<FlowId>,
    crashes: u64,
    last_crash: ClockTime,
    interval: Duration,
    trial_at: ClockTime,
    last_trial: Option<ClockTime>,
    /// Time of the last crash or refusal.
    last_seen: ClockTime,
}

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
    source: Incarnation,
    crashes: BTreeMap<(NodeName, Incarnation), CrashRecord>,
    /// Complete responses of each service, by the number of their interval.
    served: BTreeMap<ServiceName, BTreeMap<u64, u64>>,
    /// Latest complete response to requests with each trait in `crashes` or `quarantine`.
    successes: HashMap<ServiceTrait, ClockTime>,
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
    /// Creates an empty home in a process with this incarnation.
    pub fn new(source: Incarnation) -> Self {
        Self {
            source,
            crashes: BTreeMap::new(),
            served: BTreeMap::new(),
            successes: HashMap::new(),
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
            self.add_served(count, now);
        }
        for success in &report.successes {
            let at = now - Duration::from_millis(success.age_ms);
            let latest = self.successes.entry(success.subject.clone()).or_insert(at);
            *latest = (*latest).max(at);
        }
        let mut changes = Vec::new();
        let is_open = self.has_news || !self.suspected.is_empty() || !report.successes.is_empty();
        if is_open && now.since(self.last_evaluation) >= EVALUATION_INTERVAL {
            self.last_evaluation = now;
            self.has_news = false;
            changes.extend(self.end_quarantines());
            self.widen_quarantines(now);
            changes.extend(self.find_causes(now));
        }
        let reply = QuarantineReply {
            source: self.source,
            suspected: self.suspected.keys().cloned().collect(),
            quarantine: self.quarantine_at(now),
            trials: self.grant_trials(&report.refused, now),
        };
        (reply, changes)
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
        self.successes.insert(subject.clone(), now);
        self.suspected.remove(subject);
        self.quarantine.remove(subject).is_some()
    }

    fn evict_old(&mut self, now: ClockTime) {
        let before = self.crashes.len();
        self.crashes
            .retain(|_, crash| now.since(crash.at) < CRASH_RETENTION);
        self.quarantine.retain(|_, record| {
            let is_unused = now.since(record.last_seen) >= CRASH_RETENTION;
            now < record.trial_at || !is_unused
        });
        self.lifted
            .retain(|_, lifted_at| now.since(*lifted_at) < CRASH_RETENTION);
        if self.crashes.len() < before {
            let crashes = &self.crashes;
            let quarantine = &self.quarantine;
            self.successes.retain(|subject, _| {
                quarantine.contains_key(subject)
                    || crashes.values().any(|crash| crash.concerns(subject))
            });
        }
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
        let at = now - Duration::from_millis(observation.age_ms);
        if now.since(at) >= CRASH_RETENTION {
            return;
        }
        let key = (observation.target.clone(), observation.incarnation);
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&key) {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.crashes.remove(&oldest);
            }
        }
        let crash = self.crashes.entry(key).or_insert_with(|| CrashRecord {
            service: observation.service.clone(),
            at,
            requests: 0,
            evidence: BTreeMap::new(),
        });
        self.has_news = true;
        crash.at = crash.at.min(at);
        for suspect in &observation.suspects {
            let sent_at = now - Duration::from_millis(suspect.sent_ms);
            crash.requests += 1;
            for request_trait in &suspect.traits {
                let is_full = crash.evidence.len() >= MAX_TRAITS;
                if is_full && !crash.evidence.contains_key(request_trait) {
                    continue;
                }
                let evidence = crash.evidence.entry(*request_trait).or_default();
                if !suspect.is_retry {
                    evidence.last_sent = evidence.last_sent.max(Some(sent_at));
                }
                evidence.flows.insert(suspect.flow);
                evidence.requests += u64::from(!suspect.is_retry);
                let subject = ServiceTrait {
                    service: observation.service.clone(),
                    request_trait: *request_trait,
                };
                if let Some(record) = self.quarantine.get_mut(&subject) {
                    record.add_crash(crash.at);
                }
            }
        }
    }

    /// Adds complete responses to the interval of the first one, since they must not seem to be later
    /// than a crash that they precede.
    fn add_served(&mut self, count: &ServedCount, now: ClockTime) {
        let intervals = self.served.entry(count.service.clone()).or_default();
        let oldest = (now - CRASH_RETENTION).0 / SERVED_INTERVAL_MS;
        while intervals
            .first_key_value()
            .is_some_and(|(first, _)| *first < oldest)
        {
            intervals.pop_first();
        }
        let at = now - Duration::from_millis(count.age_ms);
        *intervals.entry(at.0 / SERVED_INTERVAL_MS).or_default() += count.responses;
    }

    /// Number of complete responses of a service in a span of time.
    fn served_between(&self, service: &ServiceName, span: RangeInclusive<ClockTime>) -> u64 {
        let first = span.start().0.div_ceil(SERVED_INTERVAL_MS);
        let end = span.end().0 / SERVED_INTERVAL_MS;
        let intervals = self.served.get(service).filter(|_| first < end);
        intervals.map_or(0, |intervals| {
            let counts = intervals.range(first..end).map(|(_, count)| count);
            counts.sum()
        })
    }

    /// Extends a quarantine to all organisations once a target has crashed without a request of
    /// those to which it applies. All entries have reported the crash by then.
    fn widen_quarantines(&mut self, now: ClockTime) {
        let crashes = &self.crashes;
        for (subject, record) in &mut self.quarantine {
            let is_other = |crash: &CrashRecord| {
                let evidence = crash.evidence.get(&subject.request_trait);
                crash.service == subject.service
                    && crash.at > record.started_at
                    && now.since(crash.at) >= SUSPICION_TIME
                    && evidence.is_some_and(|evidence| evidence.flows.is_disjoint(&record.flows))
            };
            if !record.flows.is_empty() && crashes.values().any(is_other) {
                record.flows.clear();
            }
        }
    }

    /// Ends the quarantine of traits with a complete response after their last crash.
    fn end_quarantines(&mut self) -> Vec<QuarantineChange> {
        let successes = &self.successes;
        let mut changes = Vec::new();
        self.quarantine.retain(|subject, record| {
            let success = successes.get(subject);
            let has_ended = success.is_some_and(|success| *success > record.last_crash);
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
            let mut candidates = self.candidates();
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

    /// Suspected traits, by the crashes that no quarantined trait explains.
    fn candidates(&self) -> Vec<CauseCandidate> {
        let mut crashes: Vec<&CrashRecord> = self.crashes.values().collect();
        crashes.retain(|crash| !self.is_explained(crash));
        crashes.sort_by_key(|crash| crash.at);
        let mut chains: BTreeMap<ServiceTrait, CrashChain> = BTreeMap::new();
        for crash in &crashes {
            for (request_trait, evidence) in &crash.evidence {
                let subject = ServiceTrait {
                    service: crash.service.clone(),
                    request_trait: *request_trait,
                };
                let success = self.successes.get(&subject);
                if success.is_none_or(|success| *success <= crash.at) {
                    chains.entry(subject).or_default().add(crash.at, evidence);
                }
            }
        }
        chains.retain(|_, chain| chain.crashes >= SUSPICION_CRASHES);
        let candidates = chains.into_iter().map(|(subject, chain)| {
            let evidence = self.evidence(&subject, &chain, &crashes);
            CauseCandidate {
                subject,
                chain,
                evidence,
            }
        });
        candidates.collect()
    }

    /// Evidence that a trait is the cause of its crashes: how much more likely they are than by
    /// chance.
    ///
    /// By chance, requests with a sound trait are not at each target that crashes, unless there are
    /// many of them; and not all of them are broken off, unless the service answers hardly any.
    fn evidence(
        &self,
        subject: &ServiceTrait,
        chain: &CrashChain,
        crashes: &[&CrashRecord],
    ) -> f64 {
        let span = chain.first_crash..=chain.last_crash;
        let in_span = crashes
            .iter()
            .filter(|crash| crash.service == subject.service && span.contains(&crash.at));
        let mut other_crashes = 0;
        let mut broken = 0;
        for crash in in_span {
            broken += crash.requests;
            let has_trait = crash.evidence.contains_key(&subject.request_trait);
            other_crashes += u64::from(!has_trait);
        }
        let served = self.served_between(&subject.service, span);
        let has_succeeded = self.successes.contains_key(subject);
        let evidence = chain
            .presence_evidence(other_crashes, has_succeeded)
            .max(chain.failure_evidence(broken, served));
        match has_succeeded {
            true => evidence - SUCCESS_EVIDENCE,
            false => evidence,
        }
    }

    fn is_explained(&self, crash: &CrashRecord) -> bool {
        let mut quarantined = self.quarantine.keys();
        quarantined.any(|subject| crash.concerns(subject))
    }

    /// Trials of refused requests that are due.
    fn grant_trials(&mut self, refused: &[ServiceTrait], now: ClockTime) -> Vec<ServiceTrait> {
        let mut granted = Vec::new();
        for subject in refused {
            let Some(record) = self.quarantine.get_mut(subject) else {
                continue;
            };
            record.last_seen = now;
            let is_pending = record
                .last_trial
                .is_some_and(|last_trial| now.since(last_trial) < TRIAL_TIMEOUT);
            if now >= record.trial_at && !is_pending {
                record.last_trial = Some(now);
                granted.push(subject.clone());
            }
        }
        granted
    }
}

/// Time of the home, which leaves room for events before its process started.
fn home_time(now: ClockTime) -> ClockTime {
    now + CRASH_RETENTION + MAX_TRIAL_INTERVAL
}

impl CrashRecord {
    /// Whether a request with the trait was at the target.
    fn concerns(&self, subject: &ServiceTrait) -> bool {
        self.service == subject.service && self.evidence.contains_key(&subject.request_trait)
    }
}

impl CrashChain {
    /// Evidence from the presence of the trait at targets that crashed, where `other_crashes`
    /// targets crashed meanwhile without it.
    fn presence_evidence(&self, other_crashes: u64, has_succeeded: bool) -> f64 {
        let chance = 1.0 - (-self.mean_requests(has_succeeded)).exp();
        let present = (CAUSE_PROBABILITY / chance).ln();
        let absent = ((1.0 - CAUSE_PROBABILITY) / (1.0 - chance)).ln();
        self.crashes as f64 * present + other_crashes as f64 * absent
    }

    /// Evidence from the lack of responses to requests with the trait, while `broken` requests of the
    /// service were broken off and `served` ones were answered. Requests that were broken off
    /// together count once.
    fn failure_evidence(&self, broken: u64, served: u64) -> f64 {
        let failure_rate = broken as f64 / (broken + served).max(1) as f64;
        -failure_rate.ln() * self.length as f64
    }

    /// Mean number of requests with the trait at a target, as a Poisson distribution. Only targets
    /// with one or more of them are observed, whose mean is higher.
    fn mean_requests(&self, has_succeeded: bool) -> f64 {
        let observed = self.requests as f64 / self.crashes as f64;
        if !has_succeeded && observed < COMMON_REQUESTS {
            return MIN_MEAN_REQUESTS;
        }
        let mut mean = observed;
        for _ in 0..MEAN_ITERATIONS {
            mean = observed * (1.0 - (-mean).exp());
        }
        mean.max(MIN_MEAN_REQUESTS)
    }

    /// Adds a crash, which must not be earlier than those before.
    fn add(&mut self, at: ClockTime, evidence: &TraitEvidence) {
        let Some(last_sent) = evidence.last_sent else {
            return;
        };
        if self.crashes == 0 {
            self.flows = evidence.flows.clone();
            self.first_crash = at;
        } else {
            self.flows.retain(|flow| evidence.flows.contains(flow));
        }
        if self.crashes == 0 || last_sent > self.last_counted {
            self.length += 1;
            self.last_counted = at;
        }
        self.crashes += 1;
        self.requests += evidence.requests;
        self.last_crash = at;
    }
}

impl QuarantineRecord {
    fn new(chain: &CrashChain, now: ClockTime) -> Self {
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
    fn add_crash(&mut self, at: ClockTime) {
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

    fn describe(&self, subject: &ServiceTrait, now: ClockTime) -> QuarantinedTrait {
        QuarantinedTrait {
            subject: subject.clone(),
            flows: self.flows.iter().copied().collect(),
            trial_ms: self.trial_at.since(now).as_millis() as u64,
            interval_ms: self.interval.as_millis() as u64,
            crashes: self.crashes,
        }
    }
}
