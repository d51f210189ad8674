//! Targets of all services, and the selection of one for each request.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use balance::RequestMemory;
use slotmap::SlotMap;
use units::{
    ClockTime, CostUnits, Incarnation, MilliRate, NodeName, RegionName, ServiceName,
    SoftwareVersion,
};

use crate::cold::{ColdChange, ColdEnd, ColdPeriod, PossibleRestart};
use crate::even::{LoadBook, LoadMove};
use crate::intake::{StatedIntake, StatementChange, TargetStatement};
use crate::limit::{EntryPosition, LimitChange, StatedLimit};
use crate::target::{ListedTarget, RunKey, TargetKey, TargetRecord};
use crate::version::VersionRule;

/// Number of requests over which the mean work is taken.
const MEAN_WORK_SAMPLES: u64 = 64;

/// Time for which the statements of a process are kept that is not listed.
const STATEMENT_RETENTION: Duration = Duration::from_secs(600);

/// Settings of a [`PlacementTable`].
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// Region of the entry.
    pub region: Option<RegionName>,
    /// Time for which a target is avoided after a failed connection.
    pub avoid_duration: Duration,
    /// Time within which entries hear of a target that has started.
    pub announcement_time: Duration,
}

/// Requirements of a request for its target.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Service that the target must serve.
    pub service: ServiceName,
    /// Version that the target must have.
    pub version: VersionRule,
    /// Hash of the session whose prompt a target may have cached.
    pub affinity: Option<u64>,
    /// Work until the first byte, in tokens or calls.
    pub work: u64,
    /// Cost charged to the organisation's share; `None` for a service without shares.
    pub cost: Option<CostUnits>,
    /// Latency objective for the first byte.
    pub objective: Duration,
    /// Sets of regions, each of which must contain the target's; an empty set allows all regions.
    pub regions: Vec<BTreeSet<RegionName>>,
    /// Targets that have already been tried and are excluded.
    pub tried: Vec<NodeName>,
    /// Whether it continues a stream that was admitted before. It goes before other requests, which
    /// more targets may run.
    pub has_precedence: bool,
    /// Memory that it needs at a target, if its service has targets whose memory is known.
    pub memory: Option<RequestMemory>,
}

/// Result of [`PlacementTable::place`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// Send the request to the target of this run and finish with [`PlacementTable::end_run`].
    Run(RunKey),
    /// No target that may serve the request can take it now: all are full, rate-limited or late.
    NoCapacity,
    /// No live target may serve the request.
    NoTarget,
}

/// Time to first byte of a run, or its wait so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunLatency {
    /// Cost charged to the organisation's share.
    pub cost: CostUnits,
    /// Time since the request was sent, up to its first byte.
    pub latency: Duration,
    /// Latency objective for the first byte of the request.
    pub objective: Duration,
}

/// Request that was sent to a target.
#[derive(Debug, Clone)]
pub(crate) struct RunRecord {
    target: TargetKey,
    pub(crate) service: ServiceName,
    /// Version of the target when the run began. The target may be unlisted while the run goes on.
    pub(crate) version: Option<SoftwareVersion>,
    sent_at: ClockTime,
    work: u64,
    cost: Option<CostUnits>,
    objective: Duration,
    has_first_byte: bool,
    memory: Option<RequestMemory>,
    /// Why the run is not at the first target of its session, if that is because of loads.
    load_move: Option<LoadMove>,
}

/// What holds for a process when it is listed again.
#[derive(Debug, Clone, Copy)]
struct UnlistedProcess {
    since: ClockTime,
    stated: StatedIntake,
    cold_period: Option<ColdPeriod>,
    possible_restart: Option<PossibleRestart>,
}

impl UnlistedProcess {
    fn is_in_force(&self, now: ClockTime) -> bool {
        let is_paced = self.cold_period.is_some_and(|period| !period.is_open(now));
        self.stated.is_in_force(now) || is_paced || self.possible_restart.is_some()
    }
}

/// Targets listed by the directory, and the runs of one entry at them.
#[derive(Debug)]
pub struct PlacementTable {
    settings: PlacementSettings,
    pub(crate) targets: SlotMap<TargetKey, TargetRecord>,
    keys: HashMap<NodeName, TargetKey>,
    pub(crate) runs: SlotMap<RunKey, RunRecord>,
    position: EntryPosition,
    /// Whether the position is that among all entries. Targets with a rate for all entries get nothing
    /// before.
    is_settled: bool,
    /// Processes that are not listed at present. They may be listed again, for example by another control
    /// node.
    unlisted: HashMap<(NodeName, Incarnation), UnlistedProcess>,
    /// Moving average of the work of requests to each service.
    mean_work: HashMap<ServiceName, u64>,
    /// Cold periods that have begun or ended and were not reported.
    cold_changes: Vec<ColdChange>,
    /// Loads over all entries.
    pub(crate) loads: LoadBook,
}

impl PlacementTable {
    /// Creates an empty table.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            targets: SlotMap::with_key(),
            keys: HashMap::new(),
            runs: SlotMap::with_key(),
            position: EntryPosition::SINGLE,
            is_settled: true,
            unlisted: HashMap::new(),
            mean_work: HashMap::new(),
            cold_changes: Vec::new(),
            loads: LoadBook::new(),
        }
    }

    /// Replaces the targets by those of the directory, and sets the position among the live
    /// entries.
    ///
    /// If several targets have the same address, only the one with the highest incarnation is kept,
    /// since the other processes must have ended.
    pub fn sync(&mut self, targets: Vec<ListedTarget>, position: EntryPosition, now: ClockTime) {
        self.position = position;
        let mut newest: HashMap<SocketAddr, ListedTarget> = HashMap::new();
        for target in targets {
            match newest.get(&target.address) {
                Some(other) if other.incarnation >= target.incarnation => {}
                _ => {
                    newest.insert(target.address, target);
                }
            }
        }
        let listed: BTreeSet<NodeName> =
            newest.values().map(|target| target.name.clone()).collect();
        self.keys.retain(|name, key| {
            let is_listed = listed.contains(name);
            if !is_listed && let Some(mut record) = self.targets.remove(*key) {
                let unlisted = UnlistedProcess {
                    since: now,
                    stated: record.stated,
                    cold_period: record.cold_period(),
                    possible_restart: record.possible_restart,
                };
                let change = record.end_cold_period(ColdEnd::Unlisted, position, now);
                self.cold_changes.extend(change);
                let process = (record.info.name, record.info.incarnation);
                self.unlisted.insert(process, unlisted);
            }
            is_listed
        });
        self.unlisted.retain(|_, process| {
            process.is_in_force(now) && now.since(process.since) < STATEMENT_RETENTION
        });
        for target in newest.into_values() {
            self.upsert_target(target, now);
        }
    }

    /// Cold periods that have begun or ended since the last call.
    pub fn take_cold_changes(&mut self) -> Vec<ColdChange> {
        std::mem::take(&mut self.cold_changes)
    }

    /// Sets whether the position is that among all entries. While it may be that among too few, a part of
    /// a rate is unknown, and targets that are cold or state a limit get nothing.
    pub fn set_settled(&mut self, is_settled: bool, now: ClockTime) {
        if std::mem::replace(&mut self.is_settled, is_settled) == is_settled {
            return;
        }
        for record in self.targets.values_mut() {
            record.restart_pace(self.position, now);
        }
    }

    /// Position of the entry among the live entries.
    pub fn position(&self) -> EntryPosition {
        self.position
    }

    fn upsert_target(&mut self, target: ListedTarget, now: ClockTime) {
        let key = self.keys.get(&target.name).copied();
        let existing = key.and_then(|key| self.targets.get_mut(key));
        match existing {
            Some(record) if record.info.incarnation == target.incarnation => {
                record.info = target;
                record.expire_possible_restart(now);
                let change = record.update_cold_period(self.position, now);
                self.cold_changes.extend(change);
            }
            _ => {
                // A restarted target has none of the requests of the earlier process.
                let name = target.name.clone();
                let process = (name.clone(), target.incarnation);
                let mut record = TargetRecord::new(target, now);
                let unlisted = self.unlisted.remove(&process);
                if let Some(unlisted) = &unlisted {
                    record.stated = unlisted.stated;
                    record.possible_restart = unlisted.possible_restart;
                }
                let change = record.update_cold_period(self.position, now);
                self.cold_changes.extend(change);
                // Requests to an earlier process count: this one may have answered them.
                let replaced = key.and_then(|key| self.targets.get(key));
                let period = replaced.and_then(TargetRecord::cold_period);
                let period = period.or(unlisted.and_then(|unlisted| unlisted.cold_period));
                if let Some(period) = period {
                    record.resume_pace(&period);
                }
                let key = self.targets.insert(record);
                let replaced = self.keys.insert(name, key);
                if let Some(mut replaced) = replaced.and_then(|old| self.targets.remove(old)) {
                    let change = replaced.end_cold_period(ColdEnd::Replaced, self.position, now);
                    self.cold_changes.extend(change);
                }
            }
        }
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target is listed.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Number of targets that accept new requests.
    pub fn serving_count(&self) -> usize {
        let targets = self.targets.values();
        targets.filter(|record| record.is_serving()).count()
    }

    /// Target of a run; `None` if the run has ended or the target is no longer listed.
    pub fn target(&self, run: RunKey) -> Option<&TargetRecord> {
        self.targets.get(self.runs.get(run)?.target)
    }

    /// Why a run is not at the first target of its session, if that is because of loads.
    pub fn load_move(&self, run: RunKey) -> Option<&LoadMove> {
        self.runs.get(run)?.load_move.as_ref()
    }

    /// Target with this name, as listed by the directory.
    pub fn listed(&self, name: &NodeName) -> Option<&ListedTarget> {
        let key = self.keys.get(name)?;
        self.targets.get(*key).map(|record| &record.info)
    }

    /// Targets as listed by the directory.
    pub fn listed_targets(&self) -> impl Iterator<Item = &ListedTarget> {
        self.targets.values().map(|record| &record.info)
    }

    /// Selects a target for a request and starts a run at it if one has capacity.
    pub fn place(&mut self, request: &PlacementRequest, now: ClockTime) -> PlacementOutcome {
        let eligible: Vec<TargetKey> = self.eligible(request).collect();
        if eligible.is_empty() {
            return PlacementOutcome::NoTarget;
        }
        let is_available = |key: &TargetKey| self.targets[*key].avoid_until <= now;
        let available: Vec<TargetKey> = eligible.iter().copied().filter(is_available).collect();
        let mut candidates = if available.is_empty() {
            eligible
        } else {
            available
        };
        // A session moves to another target rather than wait for one that takes few requests.
        candidates.retain(|key| self.targets[*key].is_open(now));
        let (reserved, others): (Vec<TargetKey>, Vec<TargetKey>) = candidates
            .into_iter()
            .partition(|key| self.targets[*key].is_reserved(now));
        let mut selected = None;
        if others.is_empty() || self.is_large(request) {
            selected = self.select(request, reserved, now);
        }
        match selected.or_else(|| self.select(request, others, now)) {
            Some((key, load_move)) => {
                let run = self.start_run(key, request, now);
                self.runs[run].load_move = load_move;
                PlacementOutcome::Run(run)
            }
            None => PlacementOutcome::NoCapacity,
        }
    }

    /// Whether a request has the mean work of its service or more. A limit counts requests,
    /// whatever their work is, so targets with limits are left to large ones.
    fn is_large(&self, request: &PlacementRequest) -> bool {
        let mean = self.mean_work.get(&request.service);
        mean.is_none_or(|mean| request.work >= *mean)
    }

    fn record_work(&mut self, request: &PlacementRequest) {
        match self.mean_work.get_mut(&request.service) {
            Some(mean) => {
                *mean = (*mean * (MEAN_WORK_SAMPLES - 1) + request.work) / MEAN_WORK_SAMPLES;
            }
            None => {
                self.mean_work.insert(request.service.clone(), request.work);
            }
        }
    }

    fn select(
        &self,
        request: &PlacementRequest,
        candidates: Vec<TargetKey>,
        now: ClockTime,
    ) -> Option<(TargetKey, Option<LoadMove>)> {
        let least_loaded = || Some((self.select_least_loaded(&candidates, now)?, None));
        let Some(session) = request.affinity else {
            return least_loaded();
        };
        let selected = match self.service_load(&request.service, now) {
            Some(load) => self.select_by_load(&load, session, request, &candidates, now),
            None => self
                .select_for_session(session, request.objective, &candidates, now)
                .map(|key| (key, None)),
        };
        // Reading the prompt again costs less than a stream that cannot go on.
        match request.has_precedence {
            true => selected.or_else(least_loaded),
            false => selected,
        }
    }

    /// Records the first byte of an answer. Returns the latency if the run is charged to a share;
    /// `None` for repeated calls.
    pub fn record_first_byte(&mut self, run: RunKey, now: ClockTime) -> Option<RunLatency> {
        let record = self.runs.get_mut(run)?;
        if std::mem::replace(&mut record.has_first_byte, true) {
            return None;
        }
        let latency = now.since(record.sent_at);
        if let Some(target) = self.targets.get_mut(record.target) {
            target.record_answer(record.sent_at, self.settings.announcement_time, now);
            target.pending.remove(&(record.sent_at, run));
            target.pending_work = target.pending_work.saturating_sub(record.work);
        }
        record.cost.map(|cost| RunLatency {
            cost,
            latency,
            objective: record.objective,
        })
    }

    /// Records the limit that a target stated, or did not, in its response to a run. Returns
    /// whether that starts or ends a limit.
    pub fn record_stated_limit(
        &mut self,
        run: RunKey,
        rate: Option<MilliRate>,
        now: ClockTime,
    ) -> Option<LimitChange> {
        let record = self.runs.get(run)?;
        let target = self.targets.get_mut(record.target)?;
        match (rate, &mut target.stated.limit) {
            (Some(rate), Some(limit)) => {
                limit.update(rate, self.position.count, now);
                None
            }
            (Some(rate), None) => {
                target.stated.limit = Some(StatedLimit::new(rate, self.position, now));
                Some(LimitChange::Started)
            }
            (None, Some(limit)) if limit.is_ended_by(record.sent_at) => {
                target.stated.limit = None;
                Some(LimitChange::Ended)
            }
            (None, _) => None,
        }
    }

    /// Records the pause and the departure that a process of a target stated in a response, also if
    /// the process is not listed at present.
    pub fn record_statement(
        &mut self,
        process: &ListedTarget,
        statement: &TargetStatement,
        now: ClockTime,
    ) -> StatementChange {
        let key = self.keys.get(&process.name);
        let listed = key.and_then(|key| self.targets.get_mut(*key));
        match listed {
            Some(record) if record.info.incarnation == process.incarnation => {
                record.stated.record(statement, now)
            }
            _ => {
                let process = (process.name.clone(), process.incarnation);
                let unlisted = self.unlisted.entry(process).or_insert(UnlistedProcess {
                    since: now,
                    stated: StatedIntake::default(),
                    cold_period: None,
                    possible_restart: None,
                });
                unlisted.stated.record(statement, now)
            }
        }
    }

    /// Whether a request that was placed at a process may still be sent to it.
    pub fn accepts(&self, process: &ListedTarget, now: ClockTime) -> bool {
        let key = self.keys.get(&process.name);
        let listed = key.and_then(|key| self.targets.get(*key));
        listed.is_some_and(|record| {
            record.info.incarnation == process.incarnation
                && record.is_serving()
                && !record.stated.is_paused(now)
        })
    }

    /// Time until one of the targets that may serve a request takes one again, if what they have
    /// stated is the reason why none does now.
    pub fn limit_wait(&self, request: &PlacementRequest, now: ClockTime) -> Option<Duration> {
        let targets = self.eligible(request).map(|key| &self.targets[key]);
        let open_times: Option<Vec<ClockTime>> =
            targets.map(|target| target.stated.opens_at(now)).collect();
        let opens_at = open_times?.into_iter().min()?;
        Some(opens_at.since(now))
    }

    /// Runs that are charged to a share and have waited for a first byte beyond their objective.
    pub fn overdue_runs(&self, now: ClockTime) -> Vec<RunLatency> {
        let waiting = self.runs.values();
        waiting
            .filter(|record| !record.has_first_byte)
            .filter_map(|record| {
                Some(RunLatency {
                    cost: record.cost?,
                    latency: now.since(record.sent_at),
                    objective: record.objective,
                })
            })
            .filter(|run| run.latency > run.objective)
            .collect()
    }

    /// Removes a run and releases its slot and pending work.
    pub fn end_run(&mut self, run: RunKey) {
        let Some(record) = self.runs.remove(run) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(record.target) {
            target.running = target.running.saturating_sub(1);
            if let Some(memory) = &record.memory {
                target.memory.remove(memory);
            }
            if !record.has_first_byte {
                target.pending.remove(&(record.sent_at, run));
                target.pending_work = target.pending_work.saturating_sub(record.work);
            }
        }
    }

    /// Avoids the target of a run for [`PlacementSettings::avoid_duration`] after a failed
    /// connection.
    pub fn record_failure(&mut self, run: RunKey, now: ClockTime) {
        let target = self.runs.get(run).map(|record| record.target);
        if let Some(target) = target.and_then(|key| self.targets.get_mut(key)) {
            target.avoid_until = now + self.settings.avoid_duration;
        }
    }

    /// Takes the target of a run as cold until it has answered for
    /// [`PlacementSettings::announcement_time`]: it did not accept a connection, and may be another
    /// process when it does.
    pub fn record_possible_end(&mut self, run: RunKey, now: ClockTime) {
        let target = self.runs.get(run).map(|record| record.target);
        if let Some(target) = target.and_then(|key| self.targets.get_mut(key)) {
            target.record_possible_end(now);
            let change = target.update_cold_period(self.position, now);
            self.cold_changes.extend(change);
        }
    }

    fn eligible(&self, request: &PlacementRequest) -> impl Iterator<Item = TargetKey> {
        let bounded = self.bounded_targets(request);
        self.targets
            .iter()
            .filter(move |(key, _)| bounded.as_ref().is_none_or(|keys| keys.contains(key)))
            .filter(|(_, record)| record.is_serving() && record.info.service == request.service)
            .filter(|(_, record)| request.version.allows(record.info.version.as_ref()))
            .filter(|(_, record)| !request.tried.contains(&record.info.name))
            .filter(|(_, record)| {
                let region = record.info.region.as_ref();
                let mut sets = request.regions.iter();
                sets.all(|set| set.is_empty() || region.is_some_and(|region| set.contains(region)))
            })
            .map(|(key, _)| key)
    }

    pub(crate) fn has_capacity(&self, key: TargetKey, now: ClockTime) -> bool {
        let record = &self.targets[key];
        record.running < record.info.slots.0
            && record.takes_paced_request(now)
            && (self.is_settled || !record.has_shared_rate())
    }

    fn start_run(&mut self, key: TargetKey, request: &PlacementRequest, now: ClockTime) -> RunKey {
        self.record_work(request);
        let run = self.runs.insert(RunRecord {
            target: key,
            service: request.service.clone(),
            version: self.targets[key].info.version.clone(),
            sent_at: now,
            work: request.work,
            cost: request.cost,
            objective: request.objective,
            has_first_byte: false,
            memory: request.memory.clone(),
            load_move: None,
        });
        let record = &mut self.targets[key];
        if let Some(memory) = &request.memory {
            record.memory.add(memory);
        }
        if let Some(session) = request.affinity {
            self.loads
                .record_session(&request.service, session, record.hash);
        }
        record.running += 1;
        record.pending_work += request.work;
        record.pending.insert((now, run));
        record.record_paced_request(self.position.count, now);
        if let Some(limit) = &mut record.stated.limit {
            limit.record_request(self.position, now);
        }
        run
    }

    /// Selects the least loaded target with capacity, preferring those in the entry's region.
    fn select_least_loaded(&self, candidates: &[TargetKey], now: ClockTime) -> Option<TargetKey> {
        let own_region = self.settings.region.as_ref();
        let free = candidates.iter().copied();
        let free = free.filter(|key| self.has_capacity(*key, now));
        free.min_by_key(|key| {
            let record = &self.targets[*key];
            let is_remote = own_region.is_none() || record.info.region.as_ref() != own_region;
            (is_remote, record.running, record.pending_work, *key)
        })
    }
}
