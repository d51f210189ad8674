//! The targets of all services, and the choice among them.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;
use units::{ClockTime, NodeName, RegionName, ServiceName};
use wire::stable_hash;

use crate::target::{SeenTarget, TargetKey, TargetRecord};

/// Bounds of the choice.
#[derive(Debug, Clone)]
pub struct PlaceSettings {
    /// Region of the entry.
    pub region: Option<RegionName>,
    /// Load above the average, in percent, up to which a target keeps its sessions.
    pub affinity_slack: u64,
    /// Time for which a target is passed over after a failed connection.
    pub avoid_time: Duration,
}

/// What a request needs of a target.
#[derive(Debug, Clone)]
pub struct PlaceRequest {
    /// The service.
    pub service: ServiceName,
    /// Session whose prompt a target may hold.
    pub affinity: Option<u64>,
    /// Work of the request, in tokens or calls.
    pub work: u64,
    /// Sets of regions, each of which must contain the target's; an empty one contains all.
    pub regions: Vec<BTreeSet<RegionName>>,
    /// Targets that have had the request.
    pub tried: Vec<NodeName>,
}

/// Result of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceVerdict {
    /// Send the request there. It counts as running until [`PlaceTable::released`].
    Target(TargetKey),
    /// All targets that may serve the request are full or cold.
    Full,
    /// No live target may serve the request.
    Nowhere,
}

/// Targets as one entry sees them.
#[derive(Debug)]
pub struct PlaceTable {
    settings: PlaceSettings,
    targets: SlotMap<TargetKey, TargetRecord>,
    keys: HashMap<NodeName, TargetKey>,
    entries: u32,
}

impl PlaceTable {
    /// Creates an empty table.
    pub fn new(settings: PlaceSettings) -> Self {
        Self {
            settings,
            targets: SlotMap::with_key(),
            keys: HashMap::new(),
            entries: 1,
        }
    }

    /// Takes over the targets of the directory, and the number of live entries.
    ///
    /// Of two targets at one address only the one that started later can be there.
    pub fn sync(&mut self, seen: Vec<SeenTarget>, entries: u32, now: ClockTime) {
        self.entries = entries.max(1);
        let mut newest: HashMap<SocketAddr, SeenTarget> = HashMap::new();
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

    fn take_over(&mut self, target: SeenTarget, now: ClockTime) {
        let key = self.keys.get(&target.name).copied();
        let known = key.and_then(|key| self.targets.get_mut(key));
        match known {
            Some(record) if record.seen.incarnation == target.incarnation => {
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

    /// A target, while it is listed.
    pub fn get(&self, key: TargetKey) -> Option<&TargetRecord> {
        self.targets.get(key)
    }

    /// Chooses a target for a request.
    pub fn place(&mut self, request: &PlaceRequest, now: ClockTime) -> PlaceVerdict {
        let eligible: Vec<TargetKey> = self.eligible(request).collect();
        if eligible.is_empty() {
            return PlaceVerdict::Nowhere;
        }
        let free: Vec<TargetKey> = eligible
            .iter()
            .copied()
            .filter(|key| self.has_room(*key, now))
            .collect();
        let sound: Vec<TargetKey> = free
            .iter()
            .copied()
            .filter(|key| self.targets[*key].avoid_until <= now)
            .collect();
        let candidates = if sound.is_empty() { free } else { sound };
        let chosen = match request.affinity {
            Some(session) => self.by_session(session, request.work, &candidates),
            None => self.least_loaded(&candidates),
        };
        match chosen {
            Some(key) => {
                self.sent(key, request.work, now);
                PlaceVerdict::Target(key)
            }
            None => PlaceVerdict::Full,
        }
    }

    /// Ends a request at a target.
    pub fn released(&mut self, key: TargetKey, work: u64) {
        if let Some(record) = self.targets.get_mut(key) {
            record.running = record.running.saturating_sub(1);
            record.load = record.load.saturating_sub(work);
        }
    }

    /// Passes a target over for a while after its connection failed.
    pub fn failed(&mut self, key: TargetKey, now: ClockTime) {
        if let Some(record) = self.targets.get_mut(key) {
            record.avoid_until = now + self.settings.avoid_time;
        }
    }

    fn eligible(&self, request: &PlaceRequest) -> impl Iterator<Item = TargetKey> {
        self.targets
            .iter()
            .filter(|(_, record)| record.seen.serving && record.seen.service == request.service)
            .filter(|(_, record)| !request.tried.contains(&record.seen.name))
            .filter(|(_, record)| {
                let region = record.seen.region.as_ref();
                let mut sets = request.regions.iter();
                sets.all(|set| set.is_empty() || region.is_some_and(|region| set.contains(region)))
            })
            .map(|(key, _)| key)
    }

    fn has_room(&self, key: TargetKey, now: ClockTime) -> bool {
        let record = &self.targets[key];
        let is_paced = record.cold_rate(now).is_some();
        record.running < record.seen.slots.0 && (!is_paced || record.pace.is_open(now))
    }

    fn sent(&mut self, key: TargetKey, work: u64, now: ClockTime) {
        let entries = self.entries;
        let record = &mut self.targets[key];
        record.running += 1;
        record.load += work;
        if let Some(rate) = record.cold_rate(now) {
            record.pace.sent(rate, entries, now);
        }
    }

    /// The first target in the session's order whose load stays near the average.
    fn by_session(&self, session: u64, work: u64, candidates: &[TargetKey]) -> Option<TargetKey> {
        let total: u64 = candidates.iter().map(|key| self.targets[*key].load).sum();
        let count = candidates.len().max(1) as u64;
        let slack = 100 + self.settings.affinity_slack;
        let bound = (total + work) * slack / 100 / count + work;
        let mut order = candidates.to_vec();
        order.sort_by_key(|key| std::cmp::Reverse(self.score(session, *key)));
        let within = order
            .iter()
            .find(|key| self.targets[**key].load + work <= bound);
        within.copied().or_else(|| self.least_loaded(candidates))
    }

    fn score(&self, session: u64, key: TargetKey) -> u64 {
        let name = self.targets[key].seen.name.as_str();
        stable_hash(&[&session.to_le_bytes(), name.as_bytes()])
    }

    /// The least busy target, one of the entry's own region first while it has a free slot.
    fn least_loaded(&self, candidates: &[TargetKey]) -> Option<TargetKey> {
        let own = self.settings.region.as_ref();
        candidates.iter().copied().min_by_key(|key| {
            let record = &self.targets[*key];
            let is_remote = own.is_none() || record.seen.region.as_ref() != own;
            (is_remote, record.running, record.load, *key)
        })
    }
}
