//! Admission of requests by route, key, share, and the quarantine of those that crash targets.

use std::sync::Arc;

use entry::{Refusal, model_pool};
use quarantine::QuarantineVerdict;
use routes::{KeyHolder, RouteIndex, RouteMatch};
use telemetry::{event, events};
use units::{CostUnits, FlowWeight, OrganisationName, PlanNumber};
use wire::{FlowId, FlowKey, RequestTrait, stable_hash};

use super::{ForwardedRequest, PLAN_RETRY_AFTER, RETRY_AFTER};
use crate::backend::CallerRequest;

use crate::dialect::RequestMetadata;
use crate::state::RelayShared;

/// Route and key holder of an admitted request.
pub(crate) struct RequestAdmission {
    pub(crate) route: RouteMatch,
    pub(crate) holder: Option<Arc<KeyHolder>>,
    /// Number of the plan by which the request was admitted.
    pub(crate) plan_number: PlanNumber,
}

/// Finds the route of a request and checks the caller's key.
pub(crate) fn admit(
    shared: &RelayShared,
    route_index: &RouteIndex,
    metadata: &RequestMetadata,
    path: &str,
) -> Result<RequestAdmission, Refusal> {
    let plan_number = route_index.number;
    let Some(route) = route_index.find(&metadata.host, path) else {
        let message = format!("Failed to find a route for {}{path}", metadata.host);
        let refusal = Refusal::not_run(404, "no-route", message);
        return Err(final_refusal(shared, plan_number, refusal));
    };
    if !shared.may_run_by(plan_number) {
        return Err(unconfirmed_refusal());
    }
    let needs_key = route_index.requires_key(&route);
    if !needs_key && metadata.key.is_none() {
        return Ok(RequestAdmission {
            route,
            holder: None,
            plan_number,
        });
    }
    if !shared.has_lease_for(plan_number) {
        let message = "Failed to check the key: the newest keys are not confirmed";
        let refusal = Refusal::not_run(503, "no-lease", message);
        return Err(refusal.retry_after(PLAN_RETRY_AFTER));
    }
    let holder = metadata
        .key
        .as_ref()
        .and_then(|key| route_index.holder(key));
    if holder.is_none() && needs_key {
        return Err(final_refusal(shared, plan_number, unknown_key_refusal()));
    }
    Ok(RequestAdmission {
        route,
        holder,
        plan_number,
    })
}

/// Refusal by a plan that callers never retry, or one that they retry if the plan is not confirmed: a
/// newer plan may allow the request.
pub(crate) fn final_refusal(
    shared: &RelayShared,
    plan_number: PlanNumber,
    refusal: Refusal,
) -> Refusal {
    match shared.is_confirmed(plan_number) {
        true => refusal,
        false => unconfirmed_refusal(),
    }
}

fn unconfirmed_refusal() -> Refusal {
    let message = "Failed to decide by the plan: no quorum has confirmed it recently";
    Refusal::not_run(503, "no-lease", message).retry_after(PLAN_RETRY_AFTER)
}

fn unknown_key_refusal() -> Refusal {
    let message = "Failed to identify the caller: unknown or missing key";
    Refusal::not_run(401, "unauthorised", message)
}

/// Flow whose share an organisation's requests to the model engines use.
pub(crate) fn share_flow(organisation: &OrganisationName) -> FlowId {
    FlowId::of(&FlowKey {
        organisation: organisation.clone(),
        service: model_pool(),
    })
}

/// Records an organisation's demand for the model engines, and returns whether the request is
/// within its share.
pub(super) fn admit_by_share(
    shared: &RelayShared,
    organisation: Option<&OrganisationName>,
    cost: Option<CostUnits>,
    is_late: bool,
) -> bool {
    let (Some(organisation), Some(cost)) = (organisation, cost) else {
        return true;
    };
    let flow = share_flow(organisation);
    let now = shared.now();
    shared
        .board
        .write_quietly(|state| state.gate.admit(flow, FlowWeight::UNIT, cost, is_late, now))
}

impl ForwardedRequest {
    /// Checks the caller's key again if another plan was installed since the request was admitted.
    pub(super) fn check_key(&self) -> Result<(), Refusal> {
        let index = self.shared.board.read(|state| state.route_index.clone());
        let index = index.filter(|index| index.number != self.plan_number);
        let (Some(index), Some(organisation)) = (index, &self.organisation) else {
            return Ok(());
        };
        let key = self.metadata.key.as_ref();
        let holder = key.and_then(|key| index.holder(key));
        if holder.is_some_and(|holder| holder.organisation == *organisation) {
            return Ok(());
        }
        match self.may_have_run {
            true => Err(self.failure("the key was taken away")),
            false => Err(final_refusal(
                &self.shared,
                index.number,
                unknown_key_refusal(),
            )),
        }
    }

    /// Traits of the request. The parts of a prompt stand for its content, which may be long.
    pub(super) fn request_traits(&self, request: &CallerRequest) -> Vec<RequestTrait> {
        let model_usage = self.metadata.model_usage.as_ref();
        let parts = model_usage.map_or(&[][..], |model| &model.parts);
        if !parts.is_empty() {
            return parts
                .iter()
                .map(|part| RequestTrait::Part(part.id))
                .collect();
        }
        let organisation = self.organisation.as_ref();
        let hash = stable_hash(&[
            organisation.map_or("", OrganisationName::as_str).as_bytes(),
            request.method.as_str().as_bytes(),
            self.metadata.host.as_bytes(),
            request.uri.to_string().as_bytes(),
            &request.body.bytes,
        ]);
        vec![RequestTrait::Content(hash)]
    }

    /// Refuses a request with a trait that is quarantined because it crashes targets.
    pub(super) fn check_quarantine(&mut self) -> Result<(), Refusal> {
        if self.is_trial && !self.may_have_run {
            return Ok(());
        }
        let now = self.shared.now();
        let (flow, traits) = (FlowId::of(&self.flow()), &self.traits);
        let service = &self.service;
        let verdict = self
            .shared
            .board
            .write_quietly(|state| state.crashes.check_request(service, flow, traits, now));
        let cause = match verdict {
            QuarantineVerdict::Admitted => return Ok(()),
            QuarantineVerdict::Trial => {
                event!(events::QUARANTINE_TRIAL, request = self.metadata.attempt_id);
                self.is_trial = true;
                return Ok(());
            }
            QuarantineVerdict::Refused(cause) => cause,
        };
        if self.may_have_run {
            return Err(self.failure(&cause.to_string()));
        }
        let message = format!("Failed to accept the request: {cause}");
        let refusal = Refusal::not_run(503, "quarantined", message);
        Err(refusal.retry_after(cause.wait().max(RETRY_AFTER)))
    }

    /// Whether the request may be the cause of earlier crashes.
    pub(super) fn is_suspected(&self) -> bool {
        self.shared
            .board
            .read(|state| state.crashes.is_suspected(&self.service, &self.traits))
    }
}
