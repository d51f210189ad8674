//! Requests of one service that wait at an entry.

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

/// Request that waits for a claim.
#[derive(Debug, Clone)]
pub(crate) struct QueuedRequest {
    pub(crate) offer: RequestOffer,
    pub(crate) queued: ClockTime,
    pub(crate) deadline: ClockTime,
    /// Agents that it is offered to, with the time of the offer.
    pub(crate) offered: BTreeMap<AgentId, ClockTime>,
    /// Distance on the ring of the last local agent.
    pub(crate) local: Option<u64>,
    /// Distance on the ring of the last agent in another region.
    pub(crate) remote: Option<u64>,
    /// Time of the next wave.
    pub(crate) next_wave: Option<ClockTime>,
}

/// Requests of one flow, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowRequests {
    pub(crate) requests: BTreeSet<(ClockTime, RequestKey)>,
}

/// Agents and waiting requests of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceQueue {
    pub(crate) local: AgentRing,
    pub(crate) remote: AgentRing,
    pub(crate) flows: BTreeMap<FlowKey, FlowRequests>,
    /// Flow that was last offered in answer to `Room`.
    cursor: Option<FlowKey>,
}

impl ServiceQueue {
    pub(crate) fn insert(&mut self, offer: &RequestOffer, queued: ClockTime, key: RequestKey) {
        let flow = self.flows.entry(offer.flow.clone()).or_default();
        flow.requests.insert((queued, key));
    }

    pub(crate) fn remove(&mut self, flow: &FlowKey, queued: ClockTime, key: RequestKey) {
        let Some(requests) = self.flows.get_mut(flow) else {
            return;
        };
        requests.requests.remove(&(queued, key));
        if requests.requests.is_empty() {
            self.flows.remove(flow);
        }
    }

    /// Flow after the one that this returned last, in a circle.
    pub(crate) fn rotate(&mut self) -> Option<(&FlowKey, &FlowRequests)> {
        let next = match &self.cursor {
            Some(last) => self
                .flows
                .range((Bound::Excluded(last), Bound::Unbounded))
                .next(),
            None => None,
        };
        let (key, requests) = next.or_else(|| self.flows.first_key_value())?;
        self.cursor = Some(key.clone());
        Some((key, requests))
    }
}
