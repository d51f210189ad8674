//! Admission of requests by the quarantine of those that crash targets.

use std::time::Duration;

use entry::Refusal;
use quarantine::QuarantineVerdict;
use telemetry::{event, events};
use units::OrganisationName;
use wire::{FlowId, RequestTrait, stable_hash};

use super::{ForwardedRequest, RETRY_AFTER};
use crate::backend::CallerRequest;

impl ForwardedRequest {
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
            &request.body,
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
        let quarantined = match verdict {
            QuarantineVerdict::Admitted => return Ok(()),
            QuarantineVerdict::Trial => {
                event!(events::QUARANTINE_TRIAL, request = self.metadata.attempt_id);
                self.is_trial = true;
                return Ok(());
            }
            QuarantineVerdict::Refused(quarantined) => quarantined,
        };
        let reason = format!(
            "requests with {} crashed {} targets",
            quarantined.subject, quarantined.crashes
        );
        if self.may_have_run {
            return Err(self.failure(&reason));
        }
        let message = format!("Failed to accept the request: {reason}");
        let refusal = Refusal::not_run(503, "quarantined", message);
        Err(refusal.retry_after(Duration::from_millis(quarantined.trial_ms).max(RETRY_AFTER)))
    }

    /// Whether the request may be the cause of earlier crashes.
    pub(super) fn is_suspected(&self) -> bool {
        self.shared
            .board
            .read(|state| state.crashes.is_suspected(&self.service, &self.traits))
    }
}
