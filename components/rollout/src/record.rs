//! Replicated records of roll-outs.

use std::collections::{BTreeMap, BTreeSet};

use units::{ServiceName, SoftwareVersion};

/// Time after the end of a roll-out within which the same order again is a repetition. Operators
/// resend an order for at most a few seconds.
const REPEAT_WINDOW_MS: u64 = 10_000;

/// Maximum number of versions of a service that are barred by earlier roll-outs. Their targets may
/// start again long after, so a version is not released when it has no target.
const MAX_BARRED_VERSIONS: usize = 64;

units::number!(
    /// Number of a roll-out, which increases with each order.
    RolloutNumber(u64)
);

units::data! {
    /// Phase of a roll-out. Phases only follow each other in this order, and the last two are final.
    pub enum RolloutPhase {
        /// The new version gets the share of a step, counted from 0.
        Running {
            /// Current step.
            step: u32,
        },
        /// All new requests go to the new version; runs at the old ones end.
        Draining,
        /// The old versions get no requests.
        Completed,
        /// The new version gets no requests.
        RolledBack {
            /// What decided it.
            reason: String,
        },
    }

    /// Order to move the traffic of a service to a version.
    pub struct RolloutOrder {
        /// Affected service.
        pub service: ServiceName,
        /// Version that the traffic is moved to.
        pub to: SoftwareVersion,
        /// Time limit of the roll-out in milliseconds.
        pub duration_ms: u64,
    }

    /// Newest roll-out of a service.
    pub struct RolloutRecord {
        /// Number of the roll-out.
        pub number: RolloutNumber,
        /// Order that started it.
        pub order: RolloutOrder,
        /// Versions that were registered at the order, without the new one.
        pub old: BTreeSet<SoftwareVersion>,
        /// Registered versions that earlier roll-outs have rolled back. They get no requests until an
        /// order names them.
        pub barred: BTreeSet<SoftwareVersion>,
        /// Wall-clock time of the leader at the order, in milliseconds since the Unix epoch.
        pub ordered_at_ms: u64,
        /// Wall-clock time of the leader at the end; `None` while the roll-out is in progress.
        pub ended_at_ms: Option<u64>,
        /// Current phase.
        pub phase: RolloutPhase,
    }

    /// Proposed phase of a roll-out.
    pub struct RolloutStep {
        /// Service of the roll-out.
        pub service: ServiceName,
        /// Roll-out that the step belongs to.
        pub number: RolloutNumber,
        /// Next phase.
        pub phase: RolloutPhase,
    }

    /// Newest roll-out of each service.
    #[derive(Default)]
    pub struct RolloutTable {
        records: BTreeMap<ServiceName, RolloutRecord>,
        last_number: RolloutNumber,
    }
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The roll-out has started.
    Started,
    /// The same order is in progress or has just ended; nothing has changed.
    Repeated,
    /// Another roll-out of the service is in progress.
    Conflict,
}

impl RolloutPhase {
    /// Whether the roll-out has ended.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack { .. })
    }

    /// Whether `next` may follow this phase.
    fn allows(&self, next: &Self) -> bool {
        match (self, next) {
            (Self::Running { step }, Self::Running { step: next }) => next > step,
            (Self::Running { .. }, Self::Draining) => true,
            (Self::Draining, Self::Completed) => true,
            (Self::Running { .. } | Self::Draining, Self::RolledBack { .. }) => true,
            _ => false,
        }
    }
}

impl RolloutRecord {
    /// Versions that get no requests after the roll-out until an order names them.
    fn barred_after(&self) -> BTreeSet<SoftwareVersion> {
        let mut barred = self.barred.clone();
        match self.phase {
            RolloutPhase::RolledBack { .. } => {
                barred.insert(self.order.to.clone());
            }
            RolloutPhase::Completed => barred.extend(self.old.iter().cloned()),
            RolloutPhase::Running { .. } | RolloutPhase::Draining => {}
        }
        while barred.len() > MAX_BARRED_VERSIONS {
            barred.pop_first();
        }
        barred
    }

    /// Whether an order at this time repeats the one that started the roll-out.
    pub fn is_repeated_by(&self, order: &RolloutOrder, now_ms: u64) -> bool {
        let is_recent = |ended_at_ms| now_ms < ended_at_ms + REPEAT_WINDOW_MS;
        self.order == *order && self.ended_at_ms.is_none_or(is_recent)
    }
}

impl RolloutTable {
    /// Starts a roll-out, unless the order is a repetition or another roll-out of the service is in
    /// progress. `old` holds the registered versions of the service.
    pub fn start(
        &mut self,
        order: &RolloutOrder,
        old: BTreeSet<SoftwareVersion>,
        now_ms: u64,
    ) -> StartOutcome {
        if let Some(record) = self.records.get(&order.service) {
            if record.is_repeated_by(order, now_ms) {
                return StartOutcome::Repeated;
            }
            if !record.phase.is_final() {
                return StartOutcome::Conflict;
            }
        }
        let last = self.records.get(&order.service);
        let mut barred = last.map_or_else(BTreeSet::new, RolloutRecord::barred_after);
        barred.remove(&order.to);
        let is_old = |version: &SoftwareVersion| *version != order.to && !barred.contains(version);
        self.last_number.0 += 1;
        let record = RolloutRecord {
            number: self.last_number,
            order: order.clone(),
            old: old.into_iter().filter(is_old).collect(),
            barred,
            ordered_at_ms: now_ms,
            ended_at_ms: None,
            phase: RolloutPhase::Running { step: 0 },
        };
        self.records.insert(order.service.clone(), record);
        StartOutcome::Started
    }

    /// Puts a proposed phase in force, and returns whether it has changed the record.
    pub fn advance(&mut self, step: &RolloutStep, now_ms: u64) -> bool {
        let record = self.records.get_mut(&step.service);
        let Some(record) = record.filter(|record| record.number == step.number) else {
            return false;
        };
        if !record.phase.allows(&step.phase) {
            return false;
        }
        record.phase = step.phase.clone();
        record.ended_at_ms = record.phase.is_final().then_some(now_ms);
        true
    }

    /// Replaces the record of a service by a newer state of it.
    pub fn install(&mut self, record: RolloutRecord) {
        self.last_number = self.last_number.max(record.number);
        self.records.insert(record.order.service.clone(), record);
    }

    /// Removes the record of a service.
    pub fn remove(&mut self, service: &ServiceName) {
        self.records.remove(service);
    }

    /// Newest roll-out of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&RolloutRecord> {
        self.records.get(service)
    }

    /// Newest roll-out of each service.
    pub fn iter(&self) -> impl Iterator<Item = &RolloutRecord> {
        self.records.values()
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a roll-out is in progress.
    pub fn is_active(&self) -> bool {
        self.iter().any(|record| !record.phase.is_final())
    }
}
