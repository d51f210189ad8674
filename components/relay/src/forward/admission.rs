//! Admission of requests by route, key, share, and the quarantine of those that crash targets.

use std::sync::Arc;

use entry::{Refusal, model_pool};
use quarantine::QuarantineVerdict;
use routes::{KeyHolder, RouteIndex, RouteMatch, UnknownKey};
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
    let checked = route_index.check_key(&route, metadata.key);
    // A request without a key needs no lease, which only vouches that no key was taken away since.
    if checked != Ok(None) && !shared.has_lease_for(plan_number) {
        let message = "Failed to check the key: the newest keys are not confirmed";
        let refusal = Refusal::not_run(503, "no-lease", message);
        return Err(refusal.retry_after(PLAN_RETRY_AFTER));
    }
    let holder = checked.map_err(|error| final_refusal(shared, plan_number, key_refusal(error)))?;
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

fn key_refusal(error: UnknownKey) -> Refusal {
    let message = format!("Failed to identify the caller: {error}");
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
    /// Checks the caller's key again if another plan was installed since the request was admitted. The route
    /// in that plan may need a key that the former one did not need.
    pub(super) fn check_key(&self, request: &CallerRequest) -> Result<(), Refusal> {
        let index = self.shared.board.read(|state| state.route_index.clone());
        let Some(index) = index.filter(|index| index.number != self.plan_number) else {
            return Ok(());
        };
        let route = index.find(&self.metadata.host, request.uri.path());
        let route = route.unwrap_or_else(|| self.route.clone());
        let checked = index.check_key(&route, self.metadata.key);
        let is_same_organisation = |holder: Option<Arc<KeyHolder>>| {
            holder.map(|holder| holder.organisation.clone()) == self.organisation
        };
        if checked.is_ok_and(is_same_organisation) {
            return Ok(());
        }
        match self.may_have_run {
            true => Err(self.failure("the key was taken away")),
            false => Err(final_refusal(
                &self.shared,
                index.number,
                key_refusal(UnknownKey),
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
