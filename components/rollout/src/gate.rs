//! Versions that may run an entry's requests while a roll-out is in force, and what they answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::{ClockTime, ServiceName, SoftwareVersion};
use wire::{RolloutCounts, VersionCount};

use crate::evidence::{RouteDelta, VersionEvidence};
use crate::latency::RouteLatency;
use crate::{RolloutNumber, RolloutPhase, RolloutPlan, RolloutRecord, RolloutTable};

/// Evidence at which an entry sends nothing more to the new version by itself. It is higher than
/// that of the home, since each of up to hundreds of entries tests its own counts.
const STOP_EVIDENCE: f64 = 22.0;

/// Credit of one request, in thousandths.
const FULL_CREDIT: u64 = 1_000;

/// Versions that may run a request which begins new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionChoice {
    /// Canary targets of the new version, if one has capacity now; otherwise the old ones.
    Canary {
        /// New version.
        version: SoftwareVersion,
        /// Current share of the new version, in thousandths.
        share_permille: u32,
        /// Old versions.
        old: BTreeSet<SoftwareVersion>,
        /// Versions that may not run it elsewhere.
        excluded: BTreeSet<SoftwareVersion>,
    },
    /// All versions but these.
    Without {
        /// Versions that may not run the request.
        excluded: BTreeSet<SoftwareVersion>,
        /// Versions that may not run it even if no other target is left.
        forbidden: BTreeSet<SoftwareVersion>,
    },
}

/// Result of a run at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionAnswer {
    /// A server error, a broken or malformed response, or none within the time limit.
    Failed,
    /// A response.
    Answered {
        /// Time of the whole response, or the longest pause of a stream.
        longest: Duration,
    },
    /// The request has not run, its caller ended it, or the entry ended it.
    Ignored,
}

/// A request that was sent to a version under roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRun {
    service: ServiceName,
    number: RolloutNumber,
    id: u64,
}

/// Run in progress.
#[derive(Debug, Clone)]
struct OpenRun {
    route: u64,
    version: SoftwareVersion,
    sent_at: ClockTime,
    has_first_byte: bool,
    /// Whether the run is counted as slow.
    is_slow: bool,
    /// Whether the target had just started, so that a slow response is not the version's fault.
    is_cold: bool,
}

/// Whether a selected version may run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunStart {
    /// The service has no roll-out in progress, or the version has no part in it.
    Untracked,
    /// The run is counted and must be ended by [`VersionGates::end_run`].
    Tracked(VersionRun),
    /// The roll-out has moved on since the selection, and the version may not run the request.
    Refused,
}

/// Roll-out of one service at an entry.
#[derive(Debug, Clone)]
pub struct VersionGate {
    record: RolloutRecord,
    share_permille: u32,
    /// Credit toward the next request to the new version, in thousandths of a request.
    credit: u64,
    counts: BTreeMap<(u64, SoftwareVersion), VersionCount>,
    latencies: BTreeMap<u64, RouteLatency>,
    open_runs: BTreeMap<u64, OpenRun>,
    last_run: u64,
    evidence: VersionEvidence,
    is_stopped: bool,
}

impl VersionGate {
    fn new(record: &RolloutRecord, share_permille: u32, credit: u64) -> Self {
        Self {
            record: record.clone(),
            share_permille,
            credit,
            counts: BTreeMap::new(),
            latencies: BTreeMap::new(),
            open_runs: BTreeMap::new(),
            last_run: 0,
            evidence: VersionEvidence::default(),
            is_stopped: false,
        }
    }

    fn is_alone(&self) -> bool {
        self.record.phase == RolloutPhase::Draining
    }

    /// Versions that earlier roll-outs have rolled back, and the new one.
    fn with_new(&self) -> BTreeSet<SoftwareVersion> {
        let mut versions = self.record.barred.clone();
        versions.insert(self.record.order.to.clone());
        versions
    }

    /// Versions that earlier roll-outs have rolled back, and the old ones.
    fn with_old(&self) -> BTreeSet<SoftwareVersion> {
        self.record
            .barred
            .union(&self.record.old)
            .cloned()
            .collect()
    }

    /// Versions that may run no request at all.
    fn forbidden(&self) -> BTreeSet<SoftwareVersion> {
        match self.record.phase {
            // Without an old version there is nothing else to run the requests.
            RolloutPhase::Running { .. } if self.record.old.is_empty() => {
                self.record.barred.clone()
            }
            RolloutPhase::Running { .. } => self.with_new(),
            RolloutPhase::Draining if self.is_stopped => self.with_new(),
            RolloutPhase::Draining => self.record.barred.clone(),
            RolloutPhase::Completed => self.with_old(),
            RolloutPhase::RolledBack { .. } => self.with_new(),
        }
    }

    fn choose(&mut self, is_confirmed: bool, is_first_attempt: bool) -> VersionChoice {
        if let RolloutPhase::Running { .. } = self.record.phase {
            if is_first_attempt {
                self.credit = (self.credit + u64::from(self.share_permille)).min(FULL_CREDIT);
            }
            let may_select = is_confirmed && !self.is_stopped && !self.record.old.is_empty();
            if self.credit >= FULL_CREDIT && may_select {
                return VersionChoice::Canary {
                    version: self.record.order.to.clone(),
                    share_permille: self.share_permille,
                    old: self.record.old.clone(),
                    excluded: self.forbidden(),
                };
            }
        }
        let forbidden = self.forbidden();
        let excluded = match self.record.phase {
            RolloutPhase::Draining if is_confirmed && !self.is_stopped => self.with_old(),
            RolloutPhase::Draining => self.with_new(),
            _ => forbidden.clone(),
        };
        VersionChoice::Without {
            excluded,
            forbidden,
        }
    }

    /// Whether a version may run a request. `is_canary` tells that it was chosen for the canary
    /// targets, `is_continued` that it continues a stream, which only this version can.
    fn allows(&self, version: &SoftwareVersion, is_canary: bool, is_continued: bool) -> bool {
        let is_new = *version == self.record.order.to;
        let is_old = self.record.old.contains(version);
        if self.record.barred.contains(version) {
            return false;
        }
        match self.record.phase {
            RolloutPhase::Running { .. } => {
                let is_selected = is_canary || is_continued || self.record.old.is_empty();
                !is_new || (!self.is_stopped && is_selected)
            }
            RolloutPhase::Draining => !is_new || !self.is_stopped,
            RolloutPhase::Completed => !is_old,
            RolloutPhase::RolledBack { .. } => !is_new,
        }
    }

    fn count(&mut self, route: u64, version: &SoftwareVersion) -> &mut VersionCount {
        self.counts
            .entry((route, version.clone()))
            .or_insert_with(|| VersionCount {
                route,
                version: version.clone(),
                sent: 0,
                ended: 0,
                failed: 0,
                slow: 0,
            })
    }

    fn is_new(&self, version: &SoftwareVersion) -> bool {
        *version == self.record.order.to
    }

    fn begin(&mut self, run: OpenRun, is_canary: bool) -> u64 {
        if is_canary {
            self.credit = self.credit.saturating_sub(FULL_CREDIT);
        }
        self.count(run.route, &run.version).sent += 1;
        let is_new = self.is_new(&run.version);
        let delta = RouteDelta {
            new_sent: u64::from(is_new),
            old_sent: u64::from(!is_new),
            ..RouteDelta::default()
        };
        let is_alone = self.is_alone();
        self.evidence.add(run.route, &delta, is_alone, run.sent_at);
        self.last_run += 1;
        self.open_runs.insert(self.last_run, run);
        self.last_run
    }

    fn record_first_byte(&mut self, id: u64, now: ClockTime) {
        let Some(run) = self.open_runs.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut run.has_first_byte, true) {
            return;
        }
        let (run, first_byte) = (run.clone(), now.since(run.sent_at));
        let latency = self.latencies.entry(run.route).or_default();
        let is_late = latency.is_late(first_byte);
        if run.version != self.record.order.to {
            latency.record_first_byte(first_byte);
        }
        if is_late {
            self.record_slow(id, now);
        }
    }

    /// Counts a run as slow, once.
    fn record_slow(&mut self, id: u64, now: ClockTime) {
        let Some(run) = self.open_runs.get_mut(&id) else {
            return;
        };
        if run.is_cold || std::mem::replace(&mut run.is_slow, true) {
            return;
        }
        let run = run.clone();
        let is_new = self.is_new(&run.version);
        self.count(run.route, &run.version).slow += 1;
        let delta = RouteDelta {
            new_slow: u64::from(is_new),
            old_slow: u64::from(!is_new),
            ..RouteDelta::default()
        };
        let is_alone = self.is_alone();
        self.evidence.add(run.route, &delta, is_alone, now);
    }

    /// Counts runs as slow that have waited several times longer than usual for their first byte.
    fn record_overdue(&mut self, now: ClockTime) {
        let is_overdue = |run: &OpenRun| {
            let latency = self.latencies.get(&run.route);
            !run.has_first_byte
                && !run.is_slow
                && latency.is_some_and(|latency| latency.is_late(now.since(run.sent_at)))
        };
        let runs = self.open_runs.iter();
        let overdue = runs.filter(|(_, run)| is_overdue(run)).map(|(id, _)| *id);
        for id in overdue.collect::<Vec<_>>() {
            self.record_slow(id, now);
        }
    }

    fn end(&mut self, id: u64, answer: VersionAnswer, now: ClockTime) {
        if let VersionAnswer::Answered { longest } = answer
            && let Some(run) = self.open_runs.get(&id)
        {
            let latency = self.latencies.entry(run.route).or_default();
            let is_slow = latency.is_slow(longest);
            if run.version != self.record.order.to {
                latency.record_longest(longest);
            }
            if is_slow {
                self.record_slow(id, now);
            }
        }
        let Some(run) = self.open_runs.remove(&id) else {
            return;
        };
        if answer == VersionAnswer::Ignored {
            return;
        }
        let is_failed = answer == VersionAnswer::Failed;
        let is_new = self.is_new(&run.version);
        let count = self.count(run.route, &run.version);
        count.ended += 1;
        count.failed += u64::from(is_failed);
        let delta = RouteDelta {
            new_failed: u64::from(is_failed && is_new),
            old_failed: u64::from(is_failed && !is_new),
            ..RouteDelta::default()
        };
        let is_alone = self.is_alone();
        self.evidence.add(run.route, &delta, is_alone, now);
    }
}

/// A target that was selected for a request.
#[derive(Debug, Clone, Copy)]
pub struct SelectedVersion<'a> {
    /// Hash of the route's name.
    pub route: u64,
    /// Version of the target; `None` if it is not registered.
    pub version: Option<&'a SoftwareVersion>,
    /// Whether it was selected as a canary target.
    pub is_canary: bool,
    /// Whether the request continues a stream that began at this version.
    pub is_continued: bool,
    /// Whether the target has just started.
    pub is_cold: bool,
}

/// Roll-outs of all services at an entry.
#[derive(Debug, Clone, Default)]
pub struct VersionGates {
    gates: BTreeMap<ServiceName, VersionGate>,
}

impl VersionGates {
    /// Creates gates without roll-outs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Installs the records of the configuration. `rank` is the position of the entry among `count`
    /// entries, by which the first requests to a new version are staggered.
    pub fn sync(&mut self, table: &RolloutTable, exposure_permille: u32, rank: u32, count: u32) {
        let is_listed = |service: &ServiceName| table.get(service).is_some();
        self.gates.retain(|service, _| is_listed(service));
        for record in table.iter() {
            let plan = RolloutPlan::new(record.order.duration_ms, exposure_permille);
            let share_permille = match record.phase {
                RolloutPhase::Running { step } => plan.share_permille(step),
                _ => 0,
            };
            let gate = self.gates.get_mut(&record.order.service);
            match gate.filter(|gate| gate.record.number == record.number) {
                Some(gate) => {
                    gate.record = record.clone();
                    gate.share_permille = share_permille;
                }
                None => {
                    // An entry that starts while a roll-out runs begins without credit. Otherwise
                    // repeated restarts could add up to more than the share.
                    let is_first_step = record.phase == RolloutPhase::Running { step: 0 };
                    let credit = match is_first_step {
                        true => FULL_CREDIT * u64::from(rank) / u64::from(count.max(1)),
                        false => 0,
                    };
                    let gate = VersionGate::new(record, share_permille, credit);
                    self.gates.insert(record.order.service.clone(), gate);
                }
            }
        }
    }

    /// Versions that may run a request for a service; `None` without a roll-out. Only the first
    /// attempt of a request adds to the credit of the new version.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        is_confirmed: bool,
        is_first_attempt: bool,
    ) -> Option<VersionChoice> {
        let gate = self.gates.get_mut(service)?;
        Some(gate.choose(is_confirmed, is_first_attempt))
    }

    /// Begins a run at a selected target, unless the roll-out does not allow its version any more.
    pub fn begin_run(
        &mut self,
        service: &ServiceName,
        selected: &SelectedVersion<'_>,
        now: ClockTime,
    ) -> RunStart {
        let gate = self.gates.get_mut(service);
        let (Some(gate), Some(version)) = (gate, selected.version) else {
            return RunStart::Untracked;
        };
        if !gate.allows(version, selected.is_canary, selected.is_continued) {
            return RunStart::Refused;
        }
        let has_part = gate.is_new(version) || gate.record.old.contains(version);
        if !has_part || gate.record.phase.is_final() {
            return RunStart::Untracked;
        }
        let run = OpenRun {
            route: selected.route,
            version: version.clone(),
            sent_at: now,
            has_first_byte: false,
            is_slow: false,
            is_cold: selected.is_cold,
        };
        RunStart::Tracked(VersionRun {
            service: service.clone(),
            number: gate.record.number,
            id: gate.begin(run, selected.is_canary),
        })
    }

    /// Records the first byte of the response to a run.
    pub fn record_first_byte(&mut self, run: &VersionRun, now: ClockTime) {
        if let Some(gate) = self.gate(run) {
            gate.record_first_byte(run.id, now);
        }
    }

    /// Records the result of a run.
    pub fn end_run(&mut self, run: &VersionRun, answer: VersionAnswer, now: ClockTime) {
        if let Some(gate) = self.gate(run) {
            gate.end(run.id, answer, now);
        }
    }

    fn gate(&mut self, run: &VersionRun) -> Option<&mut VersionGate> {
        let gate = self.gates.get_mut(&run.service);
        gate.filter(|gate| gate.record.number == run.number)
    }

    /// Stops sending to new versions that this entry's own counts show to be bad. Returns the
    /// services for which it has just stopped.
    pub fn evaluate(&mut self, now: ClockTime) -> Vec<ServiceName> {
        let mut stopped = Vec::new();
        for (service, gate) in &mut self.gates {
            if gate.record.phase.is_final() || gate.is_stopped {
                continue;
            }
            gate.record_overdue(now);
            gate.evidence.advance(gate.is_alone(), now);
            if gate.evidence.highest() >= STOP_EVIDENCE {
                gate.is_stopped = true;
                stopped.push(service.clone());
            }
        }
        stopped
    }

    /// Phase of the newest roll-out of a service.
    pub fn phase(&self, service: &ServiceName) -> Option<&RolloutPhase> {
        Some(&self.gates.get(service)?.record.phase)
    }

    /// Roll-outs in progress.
    pub fn active(&self) -> impl Iterator<Item = &RolloutRecord> {
        let records = self.gates.values().map(|gate| &gate.record);
        records.filter(|record| !record.phase.is_final())
    }

    /// Whether a roll-out is in progress.
    pub fn is_active(&self) -> bool {
        self.active().next().is_some()
    }

    /// Cumulative counts of each roll-out in progress. `running_at_old` gives the number of the
    /// entry's requests that run at the old versions of a record.
    pub fn report(&self, running_at_old: impl Fn(&RolloutRecord) -> u64) -> Vec<RolloutCounts> {
        let gates = self.gates.values();
        gates
            .filter(|gate| !gate.record.phase.is_final())
            .map(|gate| RolloutCounts {
                service: gate.record.order.service.clone(),
                number: gate.record.number.0,
                running_at_old: running_at_old(&gate.record),
                counts: gate.counts.values().cloned().collect(),
            })
            .collect()
    }
}
