//! The state machine.

use std::collections::{BTreeMap, VecDeque};

use manifest::ManifestChange;
use routes::PublishedPlan;
use thiserror::Error;
use units::{ConfigVersion, DataCentreName, DiskId, FencingNumber, NodeName, OrderId, TargetName};
use wire::{CallKey, OrderReply};

use crate::calls::{CallRecord, CallTable};
use crate::command::{RegistryAction, RegistryCommand, RegistryOutcome, StageId, WallTime};
use crate::config::{ConfigChange, ConfigUpdate, FleetConfig};
use crate::history::ConfigHistory;
use crate::orders::OrderMemory;

/// Targets that may be out at once.
pub const MAX_OUT_TARGETS: usize = 10_000;

/// Targets whose fencing numbers are kept.
const MAX_FENCED: usize = 100_000;

/// Changes that may be staged in parts at once; the oldest is dropped beyond it.
const MAX_STAGES: usize = 4;

/// Parts of one staged change, 64 entries of at most 480 KiB.
const MAX_PARTS: u32 = 64;

units::data! {
    /// Bounds of the call records; equal on all control nodes.
    #[derive(Copy)]
    pub struct RegistryLimits {
        /// Time that a record is kept after its last change, in milliseconds.
        pub retention_ms: u64,
        /// Most records.
        pub max_calls: usize,
    }

    /// Parts of one change that is not in force yet.
    struct StagedChange {
        stage: StageId,
        parts: u32,
        changes: Vec<ManifestChange>,
    }

    /// The replicated state.
    #[derive(Default)]
    pub struct RegistryState {
        limits: RegistryLimits,
        now: WallTime,
        config: FleetConfig,
        history: ConfigHistory,
        orders: OrderMemory,
        fencing: BTreeMap<TargetName, FencingNumber>,
        staged: VecDeque<StagedChange>,
        controls: BTreeMap<DiskId, NodeName>,
        calls: CallTable,
        published_text: Option<String>,
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

/// Fault of a snapshot.
#[derive(Debug, Error)]
pub enum RegistryError {
    /// The snapshot does not decode.
    #[error("Failed to restore a snapshot of {size} bytes")]
    Malformed {
        /// Size of the snapshot in bytes.
        size: usize,
        /// Fault that the codec found.
        source: postcard::Error,
    },
}

impl RegistryState {
    /// An empty state with other bounds.
    pub fn with_limits(limits: RegistryLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &RegistryCommand) -> RegistryOutcome {
        // Leaders' clocks differ; time does not run back when the leader changes.
        self.now = self.now.max(command.at);
        self.calls.expire(self.now, &self.limits);
        match &command.action {
            RegistryAction::Stage {
                stage,
                part,
                changes,
            } => {
                self.stage(*stage, *part, changes);
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
                RegistryOutcome::Order(self.publish(plan, text))
            }
            RegistryAction::Evacuate { data_centre, out } => {
                RegistryOutcome::Order(self.evacuate(data_centre, *out))
            }
            RegistryAction::Control { id, name } => {
                self.controls.insert(*id, name.clone());
                RegistryOutcome::Done
            }
            RegistryAction::Apply { order, .. }
            | RegistryAction::DataCentre { order, .. }
            | RegistryAction::Target { order, .. }
            | RegistryAction::Fence { order, .. } => {
                RegistryOutcome::Order(self.order(order, &command.action))
            }
        }
    }

    fn stage(&mut self, stage: StageId, part: u32, changes: &[ManifestChange]) {
        if part == 0 {
            self.staged.retain(|staged| staged.stage != stage);
            self.staged.push_back(StagedChange {
                stage,
                parts: 0,
                changes: Vec::new(),
            });
            if self.staged.len() > MAX_STAGES {
                self.staged.pop_front();
            }
        }
        let next = |staged: &&mut StagedChange| staged.stage == stage && staged.parts == part;
        if let Some(staged) = self.staged.iter_mut().find(next)
            && part < MAX_PARTS
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

    /// Carries out an order, or returns the first outcome of a repeated one.
    fn order(&mut self, order: &OrderId, action: &RegistryAction) -> OrderReply {
        if let Some(reply) = self.orders.get(order) {
            return reply.clone();
        }
        let reply = self.first_order(action);
        self.orders.insert(order, &reply);
        reply
    }

    fn first_order(&mut self, action: &RegistryAction) -> OrderReply {
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
                    return self.conflict();
                }
                let Some(mut all) = parts.unwrap_or_else(|| Some(Vec::new())) else {
                    return OrderReply::Invalid("parts of the change are missing".into());
                };
                all.extend_from_slice(changes);
                self.advance(all.into_iter().map(ConfigChange::Manifest).collect())
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
            RegistryAction::Fence { target, .. } => self.fence(target),
            _ => unreachable!("only orders are carried out here"),
        }
    }

    fn conflict(&self) -> OrderReply {
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
            return self.conflict();
        }
        let is_out = self.config.out_data_centres.contains(data_centre);
        // A data centre that was removed from the text stays out until it is brought in.
        if !is_out && !self.config.manifest.data_centres.contains_key(data_centre) {
            return OrderReply::Invalid(format!("data centre {data_centre} is unknown"));
        }
        if is_out == out {
            return OrderReply::Accepted(self.config.version);
        }
        self.advance(vec![ConfigChange::DataCentre {
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
            return self.conflict();
        }
        if self.config.out_targets.contains(target) == out {
            return OrderReply::Accepted(self.config.version);
        }
        if out && self.config.out_targets.len() >= MAX_OUT_TARGETS {
            return OrderReply::Invalid(format!("{MAX_OUT_TARGETS} targets are out already"));
        }
        self.advance(vec![ConfigChange::Target {
            target: target.clone(),
            out,
        }])
    }

    /// Puts a plan in force if its number is the highest so far. An older one is accepted as well,
    /// since it was overtaken, and so is the same one again.
    fn publish(&mut self, plan: &PublishedPlan, text: &str) -> OrderReply {
        let newest = self.config.published.as_ref();
        if newest.is_some_and(|newest| newest.number >= plan.number) {
            return OrderReply::Accepted(self.config.version);
        }
        self.published_text = Some(text.into());
        let reply = self.advance(vec![ConfigChange::Publish(Box::new(plan.clone()))]);
        self.history.clear();
        reply
    }

    fn evacuate(&mut self, data_centre: &DataCentreName, out: bool) -> OrderReply {
        if self.config.out_data_centres.contains(data_centre) == out {
            return OrderReply::Accepted(self.config.version);
        }
        self.advance(vec![ConfigChange::DataCentre {
            data_centre: data_centre.clone(),
            out,
        }])
    }

    fn fence(&mut self, target: &TargetName) -> OrderReply {
        if !self.fencing.contains_key(target) && self.fencing.len() >= MAX_FENCED {
            return OrderReply::Invalid(format!("{MAX_FENCED} targets have numbers already"));
        }
        let number = self.fencing.entry(target.clone()).or_default();
        number.0 += 1;
        OrderReply::Fenced(*number)
    }

    /// Puts the next version in force, unless nothing changes.
    fn advance(&mut self, steps: Vec<ConfigChange>) -> OrderReply {
        if !steps.is_empty() {
            steps.iter().for_each(|step| self.config.step(step));
            self.config.version.0 += 1;
            self.history.push(self.config.version, steps);
        }
        OrderReply::Accepted(self.config.version)
    }

    /// First outcome of an order, if it is remembered.
    pub fn outcome(&self, order: &OrderId) -> Option<&OrderReply> {
        self.orders.get(order)
    }

    /// The configuration in force.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// The operator's own text of the published plan in force.
    pub fn published_text(&self) -> Option<&str> {
        self.published_text.as_deref()
    }

    /// Newest fencing number of a target; 0 if none was drawn.
    pub fn fencing(&self, target: &TargetName) -> FencingNumber {
        self.fencing.get(target).copied().unwrap_or_default()
    }

    /// Record of a call.
    pub fn call(&self, key: &CallKey) -> Option<&CallRecord> {
        self.calls.get(key)
    }

    /// Names of the control nodes' data folders, past ones included.
    pub fn controls(&self) -> &BTreeMap<DiskId, NodeName> {
        &self.controls
    }

    /// Number of call records.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Encoded update from a version to the newest, for [`FleetConfig::install`]. Empty if the
    /// version is the newest.
    pub fn changes_since(&self, version: ConfigVersion) -> Vec<u8> {
        if version >= self.config.version {
            return Vec::new();
        }
        let update = match self.history.since(version) {
            Some(steps) => ConfigUpdate::Steps {
                from: version,
                to: self.config.version,
                steps,
            },
            None => ConfigUpdate::Whole(Box::new(self.config.clone())),
        };
        postcard::to_stdvec(&update).expect("an update encodes into memory")
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the state encodes into memory")
    }

    /// Decodes a state.
    pub fn restore(snapshot: &[u8]) -> Result<Self, RegistryError> {
        let size = snapshot.len();
        let mut state: Self = postcard::from_bytes(snapshot)
            .map_err(|source| RegistryError::Malformed { size, source })?;
        state.calls.rebuild();
        Ok(state)
    }
}
