//! Waiting requests of one service at an entry.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use slotmap::new_key_type;
use units::ClockTime;
use wire::{FlowKey, RequestOffer};

use crate::ring::{AgentId, AgentRing};

new_key_type! {
    /// Handle of a waiting request.
    pub(crate) struct RequestKey;
}

/// Request that waits until a claim is granted.
#[derive(Debug, Clone)]
pub(crate) struct QueuedRequest {
    pub(crate) offer: RequestOffer,
    pub(crate) queued_at: ClockTime,
    pub(crate) deadline: ClockTime,
    /// Agents that hold an offer of the request, with the time of the offer.
    pub(crate) offered_to: BTreeMap<AgentId, ClockTime>,
    /// Ring distance of the last local agent that was considered.
    pub(crate) local_distance: Option<u64>,
    /// Ring distance of the last agent in another region that was considered.
    pub(crate) remote_distance: Option<u64>,
    /// Time of the next wave; `None` if no agent is left.
    pub(crate) next_wave_at: Option<ClockTime>,
}

/// Waiting requests of one flow, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowRequests {
    pub(crate) requests: BTreeSet<(ClockTime, RequestKey)>,
}

/// Agents and waiting requests of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceQueue {
    pub(crate) local_agents: AgentRing,
    pub(crate) remote_agents: AgentRing,
    pub(crate) flows: BTreeMap<FlowKey, FlowRequests>,
    /// Flow that [`Self::next_flow`] returned last.
    last_flow: Option<FlowKey>,
}

impl ServiceQueue {
    pub(crate) fn insert(&mut self, offer: &RequestOffer, queued_at: ClockTime, key: RequestKey) {
        let flow = self.flows.entry(offer.flow.clone()).or_default();
        flow.requests.insert((queued_at, key));
    }

    pub(crate) fn remove(&mut self, flow: &FlowKey, queued_at: ClockTime, key: RequestKey) {
        let Some(requests) = self.flows.get_mut(flow) else {
            return;
        };
        requests.requests.remove(&(queued_at, key));
        if requests.requests.is_empty() {
            self.flows.remove(flow);
        }
    }

    /// Returns the flow after the one that was returned last (round robin).
    pub(crate) fn next_flow(&mut self) -> Option<(&FlowKey, &FlowRequests)> {
        let next = match &self.last_flow {
            Some(last) => self
                .flows
                .range((Bound::Excluded(last), Bound::Unbounded))
                .next(),
            None => None,
        };
        let (key, requests) = next.or_else(|| self.flows.first_key_value())?;
        self.last_flow = Some(key.clone());
        Some((key, requests))
    }
}
