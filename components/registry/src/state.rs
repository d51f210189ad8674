//! State machine of the replicated log.

mod rollouts;
mod snapshot;
mod updates;

use std::collections::{BTreeMap, VecDeque};

use directory::DepartureTable;
use manifest::ManifestChange;
use routes::PublishedPlan;
use units::{ConfigVersion, DataCentreName, DiskId, FencingNumber, NodeName, OrderId, TargetName};
use wire::{CallKey, OrderReply};

use crate::calls::{CallRecord, CallTable};
use crate::command::{RegistryAction, RegistryCommand, RegistryOutcome, StageId, WallTime};
use crate::config::{ConfigChange, FleetConfig};
use crate::history::ConfigHistory;
use crate::orders::OrderOutcomes;
use crate::versions::VersionTable;

pub use self::rollouts::MAX_ROLLOUTS;
pub use self::snapshot::RegistryError;
use self::updates::UpdateCache;

/// Maximum number of targets that are out at the same time.
pub const MAX_OUT_TARGETS: usize = 10_000;

/// Maximum number of targets with fencing numbers.
const MAX_FENCED_TARGETS: usize = 100_000;

/// Maximum number of changes that are staged at the same time. Beyond it the oldest one is dropped.
const MAX_STAGED_CHANGES: usize = 4;

/// Maximum number of parts of a staged change: 64 log entries of at most 480 KiB each.
const MAX_STAGED_PARTS: u32 = 64;

units::data! {
    /// Limits on the call records. They must be equal on all control nodes.
    #[derive(Copy)]
    pub struct RegistryLimits {
        /// Time for which a record is kept after its last change, in milliseconds.
        pub retention_ms: u64,
        /// Maximum number of records.
        pub max_calls: usize,
    }

    /// Received parts of a change that is not in force yet.
    struct StagedChange {
        stage: StageId,
        parts: u32,
        changes: Vec<ManifestChange>,
    }

    /// Replicated state of the control nodes.
    #[derive(Default)]
    pub struct RegistryState {
        limits: RegistryLimits,
        now: WallTime,
        config: FleetConfig,
        history: ConfigHistory,
        orders: OrderOutcomes,
        fencing_numbers: BTreeMap<TargetName, FencingNumber>,
        staged: VecDeque<StagedChange>,
        controls: BTreeMap<DiskId, NodeName>,
        calls: CallTable,
        published_text: Option<String>,
        /// Follows the other state in a snapshot, so that older snapshots can be restored.
        #[serde(skip)]
        versions: VersionTable,
        /// Follows the versions in a snapshot.
        #[serde(skip)]
        departures: DepartureTable,
        #[serde(skip)]
        full_update: UpdateCache,
    }
}

impl Default for RegistryLimits {
    fn default() -> Self {
        Self {
            retention_ms: 3_600_000,
            max_calls: 200_000,
        }
    }
}

impl RegistryState {
    /// Creates an empty state with the given limits on the call records.
    pub fn with_limits(limits: RegistryLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies a committed command of the log.
    pub fn apply(&mut self, command: &RegistryCommand) -> RegistryOutcome {
        // The clocks of leaders differ: after a change of the leader, time must not go backwards.
        self.now = self.now.max(command.at);
        self.calls.expire(self.now, &self.limits);
        match &command.action {
            RegistryAction::Stage {
                stage,
                part,
                changes,
            } => {
                self.add_staged_part(*stage, *part, changes);
                RegistryOutcome::Done
            }
            RegistryAction::Begin(begin) => {
                RegistryOutcome::Begin(self.calls.begin(begin, self.now, &self.limits))
            }
            RegistryAction::End(end) => {
                self.calls.end(end, self.now);
                RegistryOutcome::Done
            }
            RegistryAction::Publish { plan, text } => {
                RegistryOutcome::Order(self.publish_plan(plan, text))
            }
            RegistryAction::PublishPacked(packed) => {
                RegistryOutcome::Order(match packed.unpack() {
                    Ok((plan, text)) => self.publish_plan(&plan, &text),
                    Err(error) => OrderReply::Invalid(error.to_string()),
                })
            }
            RegistryAction::Evacuate { data_centre, out } => {
                RegistryOutcome::Order(self.set_evacuated(data_centre, *out))
            }
            RegistryAction::Control { id, name } => {
                self.controls.insert(*id, name.clone());
                RegistryOutcome::Done
            }
            RegistryAction::RegisterVersion(version) => {
                RegistryOutcome::Registered(self.versions.register(version))
            }
            RegistryAction::CountVersions {
                present,
                max_rounds,
            } => {
                self.versions.count_round(present, *max_rounds);
                RegistryOutcome::Done
            }
            RegistryAction::Depart { name, incarnation } => {
                self.departures.record(name, *incarnation);
                RegistryOutcome::Done
            }
            RegistryAction::StartRollout(order) => {
                RegistryOutcome::Order(self.start_rollout(order))
            }
            RegistryAction::CancelRollout { service } => {
                RegistryOutcome::Order(self.cancel_rollout(service))
            }
            RegistryAction::AdvanceRollout(step) => {
                RegistryOutcome::Advanced(self.advance_rollout(step))
            }
            RegistryAction::Apply { order, .. }
            | RegistryAction::DataCentre { order, .. }
            | RegistryAction::Target { order, .. }
            | RegistryAction::Fence { order, .. } => {
                RegistryOutcome::Order(self.apply_order(order, &command.action))
            }
        }
    }

    fn add_staged_part(&mut self, stage: StageId, part: u32, changes: &[ManifestChange]) {
        if part == 0 {
            self.staged.retain(|staged| staged.stage != stage);
            self.staged.push_back(StagedChange {
                stage,
                parts: 0,
                changes: Vec::new(),
            });
            if self.staged.len() > MAX_STAGED_CHANGES {
                self.staged.pop_front();
            }
        }
        let is_next = |staged: &&mut StagedChange| staged.stage == stage && staged.parts == part;
        if let Some(staged) = self.staged.iter_mut().find(is_next)
            && part < MAX_STAGED_PARTS
        {
            staged.parts += 1;
            staged.changes.extend_from_slice(changes);
        }
    }

    fn take_staged(&mut self, stage: StageId, parts: u32) -> Option<Vec<ManifestChange>> {
        let position = self
            .staged
            .iter()
            .position(|staged| staged.stage == stage)?;
        let staged = self.staged.remove(position)?;
        (staged.parts == parts).then_some(staged.changes)
    }

    /// Executes an order; for a repeated order returns the outcome of its first execution.
    fn apply_order(&mut self, order: &OrderId, action: &RegistryAction) -> OrderReply {
        if let Some(reply) = self.orders.get(order) {
            return reply.clone();
        }
        let reply = self.execute_order(action);
        self.orders.insert(order, &reply);
        reply
    }

    fn execute_order(&mut self, action: &RegistryAction) -> OrderReply {
        match action {
            RegistryAction::Apply {
                expected,
                base,
                staged,
                changes,
                ..
            } => {
                let parts = staged.map(|(stage, parts)| self.take_staged(stage, parts));
                if *expected != self.config.version || base != expected {
                    return self.conflict_reply();
                }
                let Some(mut all) = parts.unwrap_or_else(|| Some(Vec::new())) else {
                    return OrderReply::Invalid("parts of the change are missing".into());
                };
                all.extend_from_slice(changes);
                self.install_next_version(all.into_iter().map(ConfigChange::Manifest).collect())
            }
            RegistryAction::DataCentre {
                expected,
                data_centre,
                out,
                ..
            } => self.set_data_centre(*expected, data_centre, *out),
            RegistryAction::Target {
                expected,
                target,
                out,
                ..
            } => self.set_target(*expected, target, *out),
            RegistryAction::Fence { target, .. } => self.issue_fencing_number(target),
            _ => unreachable!("actions without an order id are not executed as orders"),
        }
    }

    fn conflict_reply(&self) -> OrderReply {
        OrderReply::Conflict {
            current: self.config.version,
        }
    }

    fn set_data_centre(
        &mut self,
        expected: ConfigVersion,
        data_centre: &DataCentreName,
        out: bool,
    ) -> OrderReply {
        if expected != self.config.version {
            return self.conflict_reply();
        }
        let was_out = self.config.out_data_centres.contains(data_centre);
        // A data centre that was out when it was removed from the services text stays out until an
        // order brings it back.
        if !was_out && !self.config.manifest.data_centres.contains_key(data_centre) {
            return OrderReply::Invalid(format!("data centre {data_centre} is unknown"));
        }
        if was_out == out {
            return OrderReply::Accepted(self.config.version);
        }
        self.install_next_version(vec![ConfigChange::DataCentre {
            data_centre: data_centre.clone(),
            out,
        }])
    }

    fn set_target(
        &mut self,
        expected: ConfigVersion,
        target: &TargetName,
        out: bool,
    ) -> OrderReply {
        if expected != self.config.version {
            return self.conflict_reply();
        }
        if self.config.out_targets.contains(target) == out {
            return OrderReply::Accepted(self.config.version);
        }
        if out && self.config.out_targets.len() >= MAX_OUT_TARGETS {
            return OrderReply::Invalid(format!("{MAX_OUT_TARGETS} targets are out already"));
        }
        self.install_next_version(vec![ConfigChange::Target {
            target: target.clone(),
            out,
        }])
    }

    /// Puts a plan in force if its number is the highest so far. Plans with a lower number, which
    /// has been superseded, and repeated plans are accepted without effect.
    fn publish_plan(&mut self, plan: &PublishedPlan, text: &str) -> OrderReply {
        let newest = self.config.published.as_ref();
        if newest.is_some_and(|newest| newest.number >= plan.number) {
            return OrderReply::Accepted(self.config.version);
        }
        self.published_text = Some(text.into());
        let mut changes = vec![ConfigChange::Publish(Box::new(plan.clone()))];
        changes.extend(self.end_rollouts_without_service(plan));
        let reply = self.install_next_version(changes);
        self.history.clear();
        reply
    }

    fn set_evacuated(&mut self, data_centre: &DataCentreName, out: bool) -> OrderReply {
        if self.config.out_data_centres.contains(data_centre) == out {
            return OrderReply::Accepted(self.config.version);
        }
        self.install_next_version(vec![ConfigChange::DataCentre {
            data_centre: data_centre.clone(),
            out,
        }])
    }

    fn issue_fencing_number(&mut self, target: &TargetName) -> OrderReply {
        if !self.fencing_numbers.contains_key(target)
            && self.fencing_numbers.len() >= MAX_FENCED_TARGETS
        {
            return OrderReply::Invalid(format!(
                "{MAX_FENCED_TARGETS} targets have numbers already"
            ));
        }
        let number = self.fencing_numbers.entry(target.clone()).or_default();
        number.0 += 1;
        OrderReply::Fenced(*number)
    }

    /// Applies the changes as the next version; an empty list leaves the version unchanged.
    fn install_next_version(&mut self, changes: Vec<ConfigChange>) -> OrderReply {
        if !changes.is_empty() {
            changes.iter().for_each(|change| self.config.apply(change));
            self.config.version.0 += 1;
            changes
                .iter()
                .for_each(|change| self.config.record_return(change));
            self.history.push(self.config.version, changes);
        }
        OrderReply::Accepted(self.config.version)
    }

    /// Outcome of the first execution of an order; `None` if it is unknown or too old.
    pub fn outcome(&self, order: &OrderId) -> Option<&OrderReply> {
        self.orders.get(order)
    }

    /// Configuration in force.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Source text of the published plan in force.
    pub fn published_text(&self) -> Option<&str> {
        self.published_text.as_deref()
    }

    /// Highest fencing number of a target; 0 if none has been issued.
    pub fn fencing_number(&self, target: &TargetName) -> FencingNumber {
        self.fencing_numbers
            .get(target)
            .copied()
            .unwrap_or_default()
    }

    /// Record of the call with a key.
    pub fn call(&self, key: &CallKey) -> Option<&CallRecord> {
        self.calls.get(key)
    }

    /// Control node of each data folder, including folders that are no longer in use.
    pub fn controls(&self) -> &BTreeMap<DiskId, NodeName> {
        &self.controls
    }

    /// Software versions at which streams of a service may have begun.
    pub fn versions(&self) -> &VersionTable {
        &self.versions
    }

    /// Targets that have left.
    pub fn departures(&self) -> &DepartureTable {
        &self.departures
    }

    /// Number of call records.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }
}
