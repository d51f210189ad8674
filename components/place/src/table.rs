//! The targets of all services, and the choice among them.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;
use units::{ClockTime, CostUnits, NodeName, RegionName, ServiceName};
use wire::stable_hash;

use crate::target::{ListedTarget, RunKey, TargetKey, TargetRecord};

/// Part of a request's latency objective for which the oldest request without a first byte may have
/// waited at a target that gets another one, in percent. A flood that entries let through before its
/// share is known then waits here, where organisations take turns, and not at the target.
const SEND_PERCENT: u32 = 60;

/// Bounds of the choice.
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// Region of the entry.
    pub region: Option<RegionName>,
    /// Time for which a target is passed over after a failed connection.
    pub avoid_time: Duration,
}

/// What a request needs of a target.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// The service.
    pub service: ServiceName,
    /// Session whose prompt a target may hold.
    pub affinity: Option<u64>,
    /// Work of the request until its first byte, in tokens or calls.
    pub work: u64,
    /// Cost that counts against the share of the organisation; none for a service without shares.
    pub cost: Option<CostUnits>,
    /// Latency objective of the first byte.
    pub objective: Duration,
    /// Sets of regions, each of which must contain the target's; an empty one contains all.
    pub regions: Vec<BTreeSet<RegionName>>,
    /// Targets that have had the request.
    pub tried: Vec<NodeName>,
}

/// Result of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// Send the request to the target of this run, which lasts until [`PlacementTable::end_run`].
    Run(RunKey),
    /// All targets that may serve the request are full or cold.
    NoCapacity,
    /// No live target may serve the request.
    NoTarget,
}

/// How long a run took or has waited until its first byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunLatency {
    /// Cost that counts against a share.
    pub cost: CostUnits,
    /// The time.
    pub latency: Duration,
    /// Latency objective of the request.
    pub objective: Duration,
}

/// A request that was sent to a target.
#[derive(Debug, Clone)]
struct RunRecord {
    target: TargetKey,
    sent: ClockTime,
    work: u64,
    cost: Option<CostUnits>,
    objective: Duration,
    answered: bool,
}

/// Targets as one entry sees them.
#[derive(Debug)]
pub struct PlacementTable {
    settings: PlacementSettings,
    targets: SlotMap<TargetKey, TargetRecord>,
    keys: HashMap<NodeName, TargetKey>,
    runs: SlotMap<RunKey, RunRecord>,
    entries: u32,
}

impl PlacementTable {
    /// Creates an empty table.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            targets: SlotMap::with_key(),
            keys: HashMap::new(),
            runs: SlotMap::with_key(),
            entries: 1,
        }
    }

    /// Takes over the targets of the directory, and the number of live entries.
    ///
    /// Of two targets at one address only the one that started later can be there.
    pub fn sync(&mut self, seen: Vec<ListedTarget>, entries: u32, now: ClockTime) {
        self.entries = entries.max(1);
        let mut newest: HashMap<SocketAddr, ListedTarget> = HashMap::new();
        for target in seen {
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
            let keep = listed.contains(name);
            if !keep {
                self.targets.remove(*key);
            }
            keep
        });
        for target in newest.into_values() {
            self.take_over(target, now);
        }
    }

    fn take_over(&mut self, target: ListedTarget, now: ClockTime) {
        let key = self.keys.get(&target.name).copied();
        let known = key.and_then(|key| self.targets.get_mut(key));
        match known {
            Some(record) if record.info.incarnation == target.incarnation => {
                record.update(target, now);
            }
            _ => {
                // A new process under an old name has none of the old one's requests.
                let name = target.name.clone();
                let key = self.targets.insert(TargetRecord::new(target, now));
                if let Some(old) = self.keys.insert(name, key) {
                    self.targets.remove(old);
                }
            }
        }
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The target of a run, while it is listed.
    pub fn target(&self, run: RunKey) -> Option<&TargetRecord> {
        self.targets.get(self.runs.get(run)?.target)
    }

    /// Chooses a target for a request.
    pub fn place(&mut self, request: &PlacementRequest, now: ClockTime) -> PlacementOutcome {
        let eligible: Vec<TargetKey> = self.eligible(request).collect();
        if eligible.is_empty() {
            return PlacementOutcome::NoTarget;
        }
        let is_sound = |key: &TargetKey| self.targets[*key].avoid_until <= now;
        let sound: Vec<TargetKey> = eligible.iter().copied().filter(is_sound).collect();
        let candidates = if sound.is_empty() { eligible } else { sound };
        let chosen = match request.affinity {
            Some(session) => self.by_session(session, request.objective, candidates, now),
            None => self.least_loaded(&candidates, now),
        };
        match chosen {
            Some(key) => PlacementOutcome::Run(self.sent(key, request, now)),
            None => PlacementOutcome::NoCapacity,
        }
    }

    /// Notes the first byte of an answer. Returns how long it took and the objective of a run that
    /// counts against a share, once for each run.
    pub fn record_first_byte(&mut self, run: RunKey, now: ClockTime) -> Option<RunLatency> {
        let record = self.runs.get_mut(run)?;
        if std::mem::replace(&mut record.answered, true) {
            return None;
        }
        let latency = now.since(record.sent);
        if let Some(target) = self.targets.get_mut(record.target) {
            target.pending.remove(&(record.sent, run));
            target.pending_work = target.pending_work.saturating_sub(record.work);
        }
        record.cost.map(|cost| RunLatency {
            cost,
            latency,
            objective: record.objective,
        })
    }

    /// Runs that count against a share and have waited for their first byte beyond the objective.
    pub fn overdue_runs(&self, now: ClockTime) -> Vec<RunLatency> {
        let waiting = self.runs.values();
        waiting
            .filter(|record| !record.answered)
            .filter_map(|record| {
                Some(RunLatency {
                    cost: record.cost?,
                    latency: now.since(record.sent),
                    objective: record.objective,
                })
            })
            .filter(|run| run.latency > run.objective)
            .collect()
    }

    /// Ends a run.
    pub fn end_run(&mut self, run: RunKey) {
        let Some(record) = self.runs.remove(run) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(record.target) {
            target.running = target.running.saturating_sub(1);
            if !record.answered {
                target.pending.remove(&(record.sent, run));
                target.pending_work = target.pending_work.saturating_sub(record.work);
            }
        }
    }

    /// Passes the target of a run over for a while after its connection failed.
    pub fn record_failure(&mut self, run: RunKey, now: ClockTime) {
        let target = self.runs.get(run).map(|record| record.target);
        if let Some(target) = target.and_then(|key| self.targets.get_mut(key)) {
            target.avoid_until = now + self.settings.avoid_time;
        }
    }

    fn eligible(&self, request: &PlacementRequest) -> impl Iterator<Item = TargetKey> {
        self.targets
            .iter()
            .filter(|(_, record)| record.info.is_serving && record.info.service == request.service)
            .filter(|(_, record)| !request.tried.contains(&record.info.name))
            .filter(|(_, record)| {
                let region = record.info.region.as_ref();
                let mut sets = request.regions.iter();
                sets.all(|set| set.is_empty() || region.is_some_and(|region| set.contains(region)))
            })
            .map(|(key, _)| key)
    }

    fn has_room(&self, key: TargetKey, now: ClockTime) -> bool {
        let record = &self.targets[key];
        let is_paced = record.cold_rate(now).is_some();
        record.running < record.info.slots.0 && (!is_paced || record.pace.is_open(now))
    }

    fn sent(&mut self, key: TargetKey, request: &PlacementRequest, now: ClockTime) -> RunKey {
        let entries = self.entries;
        let run = self.runs.insert(RunRecord {
            target: key,
            sent: now,
            work: request.work,
            cost: request.cost,
            objective: request.objective,
            answered: false,
        });
        let record = &mut self.targets[key];
        record.running += 1;
        record.pending_work += request.work;
        record.pending.insert((now, run));
        if let Some(rate) = record.cold_rate(now) {
            record.pace.record_request(rate, entries, now);
        }
        run
    }

    /// The session's target, or else a second one that is always the same. Each other one would have
    /// to read the whole prompt, so the second is chosen only if the first has stalled or is cold; the
    /// request waits if both are late.
    fn by_session(
        &self,
        session: u64,
        objective: Duration,
        candidates: Vec<TargetKey>,
        now: ClockTime,
    ) -> Option<TargetKey> {
        let mut order = candidates;
        order.sort_by_cached_key(|key| std::cmp::Reverse(self.score(session, *key)));
        let home = *order.first()?;
        let is_late =
            |key: TargetKey| self.targets[key].longest_wait(now) > objective * SEND_PERCENT / 100;
        if self.has_room(home, now) && !is_late(home) {
            return Some(home);
        }
        let has_stalled =
            !self.has_room(home, now) || self.targets[home].longest_wait(now) > objective;
        let second = order.get(1).copied().filter(|_| has_stalled)?;
        (self.has_room(second, now) && !is_late(second)).then_some(second)
    }

    fn score(&self, session: u64, key: TargetKey) -> u64 {
        let name = self.targets[key].info.name.as_str();
        stable_hash(&[&session.to_le_bytes(), name.as_bytes()])
    }

    /// The least busy target, one of the entry's own region first while it has a free slot.
    fn least_loaded(&self, candidates: &[TargetKey], now: ClockTime) -> Option<TargetKey> {
        let own = self.settings.region.as_ref();
        let free = candidates.iter().copied();
        let free = free.filter(|key| self.has_room(*key, now));
        free.min_by_key(|key| {
            let record = &self.targets[*key];
            let is_remote = own.is_none() || record.info.region.as_ref() != own;
            (is_remote, record.running, record.pending_work, *key)
        })
    }
}
