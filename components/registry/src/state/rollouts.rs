//! Roll-outs in the replicated state.

use rollout::{RolloutOrder, RolloutPhase, RolloutStep, StartOutcome};
use routes::PublishedPlan;
use units::ServiceName;
use wire::OrderReply;

use super::RegistryState;
use crate::config::ConfigChange;

/// Maximum number of records of roll-outs, which every entry holds with the configuration.
pub const MAX_ROLLOUTS: usize = 1_000;

/// Reason of a roll-back because an operator cancelled the roll-out.
const CANCELLED: &str = "cancelled";

/// Reason of a roll-back because no plan contains the service any more.
const SERVICE_REMOVED: &str = "service removed";

impl RegistryState {
    /// Starts a roll-out with the registered versions of the service as the old ones.
    ///
    /// A repetition is accepted whatever the plan contains now, because operators resend orders that
    /// were accepted.
    pub(super) fn start_rollout(&mut self, order: &RolloutOrder) -> OrderReply {
        let now_ms = self.now.0;
        let current = self.config.rollouts.get(&order.service);
        let is_new = current.is_none();
        if current.is_some_and(|record| record.is_repeated_by(order, now_ms)) {
            return OrderReply::Accepted(self.config.version);
        }
        let Some(published) = &self.config.published else {
            return OrderReply::NoPlan;
        };
        if !published.plan.pools.contains_key(&order.service) {
            return OrderReply::Invalid(format!("service {} is unknown", order.service));
        }
        let mut changes = Vec::new();
        if is_new && self.config.rollouts.len() >= MAX_ROLLOUTS {
            let Some(unused) = self.unused_rollout() else {
                return OrderReply::Invalid(format!("{MAX_ROLLOUTS} services have roll-outs"));
            };
            changes.push(ConfigChange::RemoveRollout(unused));
        }
        let old = self.versions.of_service(&order.service);
        match self.config.rollouts.start(order, old, now_ms) {
            StartOutcome::Started => {
                changes.extend(self.rollout_change(&order.service));
                self.install_next_version(changes)
            }
            StartOutcome::Repeated => OrderReply::Accepted(self.config.version),
            StartOutcome::Conflict => self.in_progress_reply(&order.service),
        }
    }

    fn in_progress_reply(&self, service: &ServiceName) -> OrderReply {
        match self.config.rollouts.get(service) {
            Some(record) => OrderReply::RolloutInProgress {
                to: record.order.to.clone(),
            },
            None => OrderReply::Invalid(format!("service {service} has no roll-out")),
        }
    }

    /// Service of an ended roll-out that the plan does not contain.
    fn unused_rollout(&self) -> Option<ServiceName> {
        let pools = self
            .config
            .published
            .as_ref()
            .map(|newest| &newest.plan.pools)?;
        let mut records = self.config.rollouts.iter();
        let unused = records
            .find(|record| record.phase.is_final() && !pools.contains_key(&record.order.service));
        unused.map(|record| record.order.service.clone())
    }

    pub(super) fn cancel_rollout(&mut self, service: &ServiceName) -> OrderReply {
        let Some(record) = self.config.rollouts.get(service) else {
            return OrderReply::Invalid(format!("service {service} has no roll-out"));
        };
        match record.phase {
            RolloutPhase::RolledBack { .. } => OrderReply::Accepted(self.config.version),
            RolloutPhase::Completed => {
                OrderReply::Invalid(format!("the roll-out of service {service} is completed"))
            }
            RolloutPhase::Running { .. } | RolloutPhase::Draining => {
                let step = RolloutStep {
                    service: service.clone(),
                    number: record.number,
                    phase: rolled_back(CANCELLED),
                };
                self.advance_rollout(&step);
                OrderReply::Accepted(self.config.version)
            }
        }
    }

    /// Puts a phase in force, and returns whether it has changed the record.
    pub(super) fn advance_rollout(&mut self, step: &RolloutStep) -> bool {
        let has_advanced = self.config.rollouts.advance(step, self.now.0);
        if has_advanced {
            let changes = self.rollout_change(&step.service).into_iter().collect();
            self.install_next_version(changes);
        }
        has_advanced
    }

    /// Rolls back the roll-outs of services that a new plan does not contain, and returns the
    /// changes.
    pub(super) fn end_rollouts_without_service(
        &mut self,
        plan: &PublishedPlan,
    ) -> Vec<ConfigChange> {
        let records = self.config.rollouts.iter();
        let removed = records.filter(|record| {
            !record.phase.is_final() && !plan.plan.pools.contains_key(&record.order.service)
        });
        let steps: Vec<_> = removed
            .map(|record| RolloutStep {
                service: record.order.service.clone(),
                number: record.number,
                phase: rolled_back(SERVICE_REMOVED),
            })
            .collect();
        let changed = steps.iter().filter_map(|step| {
            self.config.rollouts.advance(step, self.now.0);
            self.rollout_change(&step.service)
        });
        changed.collect()
    }

    /// Change that installs the current record of a service.
    fn rollout_change(&self, service: &ServiceName) -> Option<ConfigChange> {
        let record = self.config.rollouts.get(service)?;
        Some(ConfigChange::Rollout(Box::new(record.clone())))
    }
}

fn rolled_back(reason: &str) -> RolloutPhase {
    RolloutPhase::RolledBack {
        reason: reason.into(),
    }
}
