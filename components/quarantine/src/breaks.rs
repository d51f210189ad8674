//! Requests without a complete response at one process of a target.
//!
//! They are evidence only if the process has ended. Its end may show late, so they are kept until it
//! does, or until the process answers a request that was sent after they had failed.

use std::time::Duration;

use units::{ClockTime, ServiceName};
use wire::{CrashObservation, CrashSuspect, HomeId, RequestTrait};

use crate::log::{BrokenRequest, EndedTarget, ObservedCrash};

/// Maximum number of suspects of one process.
const MAX_SUSPECTS: usize = 64;

/// Time within which the next process of a target is announced. An earlier response may be from
/// that process, since a target may restart under its name and at its address.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(2);

/// Time after the last failed request for which a process may turn out to have ended.
const OPEN_RETENTION: Duration = Duration::from_secs(30);

/// Minimum interval between two probes of one process.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct FailedRequest {
    request: BrokenRequest,
    failed_at: ClockTime,
    /// Time of the first response to a request that was sent after this one had failed.
    outlived_at: Option<ClockTime>,
}

impl FailedRequest {
    /// Whether the process is known to have answered a later request.
    fn is_outlived(&self, now: ClockTime) -> bool {
        let outlived_at = self.outlived_at;
        outlived_at.is_some_and(|outlived_at| now.since(outlived_at) >= SUCCESSOR_DELAY)
    }
}

/// Requests without a complete response at one process of a target.
#[derive(Debug, Clone)]
pub(crate) struct BreakRecord {
    pub(crate) service: ServiceName,
    /// Whether the process is known to have ended.
    pub(crate) is_crash: bool,
    failed: Vec<FailedRequest>,
    probed_at: Option<ClockTime>,
    /// Control node that knows the crash, and the number of suspects that it knows.
    pub(crate) reported: Option<(HomeId, usize)>,
}

impl BreakRecord {
    pub(crate) fn new(service: &ServiceName) -> Self {
        Self {
            service: service.clone(),
            is_crash: false,
            failed: Vec::new(),
            probed_at: None,
            reported: None,
        }
    }

    pub(crate) fn add(&mut self, request: BrokenRequest, now: ClockTime) {
        if self.failed.len() < MAX_SUSPECTS {
            self.failed.push(FailedRequest {
                request,
                failed_at: now,
                outlived_at: None,
            });
        }
    }

    /// Time of the first failure, which is that of a crash.
    pub(crate) fn at(&self) -> ClockTime {
        let times = self.failed.iter().map(|failed| failed.failed_at);
        times.min().unwrap_or_default()
    }

    /// Number of requests that may have ended the process.
    pub(crate) fn len(&self) -> usize {
        self.failed.len()
    }

    pub(crate) fn suspects(&self) -> impl Iterator<Item = &BrokenRequest> {
        self.failed.iter().map(|failed| &failed.request)
    }

    /// Whether a probe is due, which then begins.
    pub(crate) fn try_probe(&mut self, now: ClockTime) -> bool {
        let is_recent = self
            .probed_at
            .is_some_and(|probed_at| now.since(probed_at) < PROBE_INTERVAL);
        let is_due = !self.is_crash && !is_recent;
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }

    /// Records a response to a request that was sent at `sent_at`.
    pub(crate) fn record_response(&mut self, sent_at: ClockTime, now: ClockTime) {
        if self.is_crash {
            return;
        }
        for failed in &mut self.failed {
            if failed.failed_at <= sent_at {
                failed.outlived_at.get_or_insert(now);
            }
        }
        self.evict_outlived(now);
    }

    /// Records that the process has ended. Returns the crash unless the process has outlived all
    /// failed requests.
    pub(crate) fn record_end(&mut self, now: ClockTime) -> Option<ObservedCrash> {
        self.evict_outlived(now);
        self.is_crash = !self.failed.is_empty();
        self.is_crash.then(|| ObservedCrash {
            service: self.service.clone(),
            suspects: self.suspects().cloned().collect(),
        })
    }

    fn evict_outlived(&mut self, now: ClockTime) {
        self.failed.retain(|failed| !failed.is_outlived(now));
    }

    /// Whether the record may still become evidence, or is.
    pub(crate) fn is_kept(&self, now: ClockTime) -> bool {
        let last = self.failed.last().map(|failed| failed.failed_at);
        let retention = match self.is_crash {
            true => crate::CRASH_RETENTION,
            false => OPEN_RETENTION,
        };
        last.is_some_and(|last| now.since(last) < retention)
    }

    /// Times at which a request with exactly these traits was last sent and failed, unless the
    /// process has outlived it.
    pub(crate) fn last_failure(
        &self,
        traits: &[RequestTrait],
        now: ClockTime,
    ) -> Option<(ClockTime, ClockTime)> {
        let suspects = self.failed.iter();
        let suspects = suspects.filter(|failed| self.is_crash || !failed.is_outlived(now));
        let same = suspects.filter(|failed| failed.request.traits == traits);
        let last = same.max_by_key(|failed| failed.failed_at)?;
        Some((last.request.sent_at, last.failed_at))
    }

    /// Observation of the crash, without the first `known` suspects.
    pub(crate) fn observe(
        &self,
        target: &EndedTarget,
        known: usize,
        now: ClockTime,
    ) -> CrashObservation {
        let suspects = self.suspects().skip(known).map(|request| CrashSuspect {
            flow: request.flow,
            sent_ms: now.since(request.sent_at).as_millis() as u64,
            is_retry: request.is_retry,
            traits: request.traits.clone(),
        });
        CrashObservation {
            target: target.name.clone(),
            incarnation: target.incarnation,
            service: self.service.clone(),
            age_ms: now.since(self.at()).as_millis() as u64,
            suspects: suspects.collect(),
        }
    }
}
