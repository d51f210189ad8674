//! Evidence of the causes of crashes: crashes with the requests at their targets, and complete
//! responses.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::RangeInclusive;
use std::time::Duration;

use units::{ClockTime, Incarnation, NodeName, ServiceName};
use wire::{
    CrashObservation, CrashSuspect, FlowId, RequestTrait, ServedCount, ServiceTrait, TraitSuccess,
};

use crate::CRASH_RETENTION;

/// Number of crashes from which there is evidence against a trait.
const SUSPICION_CRASHES: u64 = 2;

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

/// Maximum number of crashes that the home keeps.
const MAX_CRASHES: usize = 128;

/// Maximum number of traits of one crash.
const MAX_TRAITS: usize = 1_024;

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
pub(crate) struct CrashChain {
    pub(crate) crashes: u64,
    first_crash: ClockTime,
    pub(crate) last_crash: ClockTime,
    /// Number of crashes, each with a request that was sent after the one before.
    length: u64,
    /// Last crash that is counted in `length`.
    last_counted: ClockTime,
    /// Number of requests with the trait at the targets.
    requests: u64,
    /// Organisations with requests at each of the targets.
    pub(crate) flows: BTreeSet<FlowId>,
}

/// Trait that may be the cause of crashes.
#[derive(Debug, Clone)]
pub(crate) struct CauseCandidate {
    pub(crate) subject: ServiceTrait,
    pub(crate) chain: CrashChain,
    pub(crate) evidence: f64,
}

/// Crashes and complete responses of the fleet.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashEvidence {
    crashes: BTreeMap<(NodeName, Incarnation), CrashRecord>,
    /// Complete responses of each service, by the number of their interval.
    served: BTreeMap<ServiceName, BTreeMap<u64, u64>>,
    /// Latest complete response to requests with each trait of a crash.
    successes: HashMap<ServiceTrait, ClockTime>,
}

impl CrashEvidence {
    /// Adds an observation. Returns the time of the crash, or `None` if it is too old.
    pub(crate) fn add_observation(
        &mut self,
        observation: &CrashObservation,
        now: ClockTime,
    ) -> Option<ClockTime> {
        let at = now - Duration::from_millis(observation.age_ms);
        if now.since(at) >= CRASH_RETENTION {
            return None;
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
        crash.at = crash.at.min(at);
        for suspect in &observation.suspects {
            crash.add_suspect(suspect, now);
        }
        Some(crash.at)
    }

    /// Adds complete responses to the interval of the first one, since they must not seem to be later
    /// than a crash that they precede.
    pub(crate) fn add_served(&mut self, count: &ServedCount, now: ClockTime) {
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

    /// Adds the latest complete response to requests with a trait.
    pub(crate) fn add_success(&mut self, success: &TraitSuccess, now: ClockTime) {
        let at = now - Duration::from_millis(success.age_ms);
        let latest = self.successes.entry(success.subject.clone()).or_insert(at);
        *latest = (*latest).max(at);
    }

    /// Voids the crashes of a trait before a time.
    pub(crate) fn clear(&mut self, subject: &ServiceTrait, time: ClockTime) {
        self.successes.insert(subject.clone(), time);
    }

    /// Time of the latest complete response to requests with a trait.
    pub(crate) fn latest_success(&self, subject: &ServiceTrait) -> Option<ClockTime> {
        self.successes.get(subject).copied()
    }

    /// Removes old crashes, and responses to requests with traits that neither a crash nor `keeps`
    /// refers to.
    pub(crate) fn evict_old(&mut self, now: ClockTime, keeps: impl Fn(&ServiceTrait) -> bool) {
        let before = self.crashes.len();
        self.crashes
            .retain(|_, crash| now.since(crash.at) < CRASH_RETENTION);
        if self.crashes.len() < before {
            let crashes = &self.crashes;
            self.successes.retain(|subject, _| {
                keeps(subject) || crashes.values().any(|crash| crash.concerns(subject))
            });
        }
    }

    /// Whether a target crashed in a span of time with requests with the trait, but with none of
    /// these organisations.
    pub(crate) fn has_other_crash(
        &self,
        subject: &ServiceTrait,
        flows: &BTreeSet<FlowId>,
        span: RangeInclusive<ClockTime>,
    ) -> bool {
        self.crashes.values().any(|crash| {
            let evidence = crash.evidence.get(&subject.request_trait);
            crash.service == subject.service
                && span.contains(&crash.at)
                && evidence.is_some_and(|evidence| evidence.flows.is_disjoint(flows))
        })
    }

    /// Traits with requests at several targets that crashed, apart from the crashes that a quarantined
    /// trait explains.
    pub(crate) fn candidates<'a>(
        &self,
        quarantined: impl Iterator<Item = &'a ServiceTrait> + Clone,
    ) -> Vec<CauseCandidate> {
        let mut crashes: Vec<&CrashRecord> = self.crashes.values().collect();
        crashes.retain(|crash| !quarantined.clone().any(|subject| crash.concerns(subject)));
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
}

impl CrashRecord {
    fn add_suspect(&mut self, suspect: &CrashSuspect, now: ClockTime) {
        let sent_at = now - Duration::from_millis(suspect.sent_ms);
        self.requests += 1;
        for request_trait in &suspect.traits {
            let is_full = self.evidence.len() >= MAX_TRAITS;
            if is_full && !self.evidence.contains_key(request_trait) {
                continue;
            }
            let evidence = self.evidence.entry(*request_trait).or_default();
            if !suspect.is_retry {
                evidence.last_sent = evidence.last_sent.max(Some(sent_at));
                evidence.requests += 1;
            }
            evidence.flows.insert(suspect.flow);
        }
    }

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
