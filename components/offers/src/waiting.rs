//! Offers held by an agent, ordered by the usage counters of their flows.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use units::{ClockTime, FlowWeight, NodeName, RequestId};
use wire::{FlowId, FlowKey, RequestOffer};

/// Time after which the cost estimates of requests granted to other agents are discarded.
///
/// This is two report intervals. Without the limit, wrong estimates would accumulate while no
/// totals arrive.
const GRANTED_ELSEWHERE_RETENTION: Duration = Duration::from_secs(1);

new_key_type! {
    /// Handle of an offer.
    pub(crate) struct OfferId;
    /// Handle of a flow with offers, claims or runs.
    pub(crate) struct FlowHandle;
}

/// Offer with the entry that made it.
#[derive(Debug, Clone)]
pub(crate) struct WaitingOffer {
    pub(crate) entry: NodeName,
    pub(crate) offer: RequestOffer,
    flow: FlowHandle,
    since: ClockTime,
}

/// Flow with offers, claims or runs at this agent.
#[derive(Debug, Clone)]
struct FlowQueue {
    key: FlowKey,
    weight: FlowWeight,
    /// Uncharged part of the cost estimates of the flow's claims and runs, in cost units.
    reserve: u64,
    /// Cost estimates of requests granted to other agents since the last total, in cost units.
    granted_elsewhere: u64,
    /// Time of the first grant that `granted_elsewhere` contains.
    granted_elsewhere_since: ClockTime,
    /// Number of slots that claims and runs of the flow occupy.
    used_slots: u32,
    offers: BTreeSet<(ClockTime, RequestId, OfferId)>,
    /// Rank of the flow in the queue; `None` if it has no offers.
    rank: Option<FlowRank>,
}

/// Sort key of a flow: its counter with the reserve, then the age of its oldest offer.
type FlowRank = (u64, ClockTime, RequestId, FlowHandle);

/// Offers in the order in which they are claimed.
#[derive(Debug, Clone, Default)]
pub(crate) struct OfferQueue {
    flows: SlotMap<FlowHandle, FlowQueue>,
    flow_handles: HashMap<FlowId, FlowHandle>,
    offers: SlotMap<OfferId, WaitingOffer>,
    offer_ids: HashMap<RequestId, OfferId>,
    requests_by_entry: BTreeMap<NodeName, BTreeSet<RequestId>>,
    order: BTreeSet<FlowRank>,
}

impl OfferQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.offers.is_empty()
    }

    pub(crate) fn contains(&self, request: RequestId) -> bool {
        self.offer_ids.contains_key(&request)
    }

    pub(crate) fn is_offered_by(&self, request: RequestId, entry: &NodeName) -> bool {
        let requests = self.requests_by_entry.get(entry);
        requests.is_some_and(|requests| requests.contains(&request))
    }

    pub(crate) fn has_flow(&self, flow: FlowId) -> bool {
        self.flow_handles.contains_key(&flow)
    }

    /// Whether the agent holds offers of the flow.
    pub(crate) fn has_offers(&self, flow: FlowId) -> bool {
        let handle = self.flow_handles.get(&flow);
        handle.is_some_and(|handle| !self.flows[*handle].offers.is_empty())
    }

    /// Organisation and service of a flow with offers, claims or runs.
    pub(crate) fn key(&self, flow: FlowId) -> Option<&FlowKey> {
        let handle = self.flow_handles.get(&flow)?;
        Some(&self.flows[*handle].key)
    }

    pub(crate) fn insert(&mut self, entry: &NodeName, offer: RequestOffer, since: ClockTime) {
        let flow = self.flow_handle(&offer.flow, offer.weight);
        let request = offer.request;
        let id = self.offers.insert(WaitingOffer {
            entry: entry.clone(),
            offer,
            flow,
            since,
        });
        self.offer_ids.insert(request, id);
        self.flows[flow].offers.insert((since, request, id));
        self.requests_by_entry
            .entry(entry.clone())
            .or_default()
            .insert(request);
    }

    /// Removes an offer; returns `None` if there is none.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<WaitingOffer> {
        let id = self.offer_ids.remove(&request)?;
        let waiting = self.offers.remove(id)?;
        self.flows[waiting.flow]
            .offers
            .remove(&(waiting.since, request, id));
        if let Some(requests) = self.requests_by_entry.get_mut(&waiting.entry) {
            requests.remove(&request);
            if requests.is_empty() {
                self.requests_by_entry.remove(&waiting.entry);
            }
        }
        Some(waiting)
    }

    /// Requests offered by the entry.
    pub(crate) fn offered_by(&self, entry: &NodeName) -> Vec<RequestId> {
        let requests = self.requests_by_entry.get(entry);
        requests.into_iter().flatten().copied().collect()
    }

    /// Request to claim next: the oldest offer of the flow with the lowest counter.
    pub(crate) fn first(&self) -> Option<RequestId> {
        self.order.first().map(|(_, _, request, _)| *request)
    }

    /// Changes the reserve of a flow and its number of claims and runs.
    pub(crate) fn change_reserve(
        &mut self,
        key: &FlowKey,
        weight: FlowWeight,
        change: ReserveChange,
    ) {
        let id = self.flow_handle(key, weight);
        let flow = &mut self.flows[id];
        flow.reserve = flow.reserve.saturating_add(change.add) - change.release;
        flow.used_slots = flow.used_slots + change.started - change.ended;
    }

    /// Records that a request of the flow was granted to another agent.
    pub(crate) fn record_grant_elsewhere(
        &mut self,
        key: &FlowKey,
        cost_estimate: u64,
        now: ClockTime,
    ) {
        if let Some(&id) = self.flow_handles.get(&FlowId::of(key)) {
            let flow = &mut self.flows[id];
            if flow.granted_elsewhere == 0
                || now.since(flow.granted_elsewhere_since) >= GRANTED_ELSEWHERE_RETENTION
            {
                flow.granted_elsewhere = 0;
                flow.granted_elsewhere_since = now;
            }
            flow.granted_elsewhere = flow.granted_elsewhere.saturating_add(cost_estimate);
        }
    }

    /// Discards the cost estimates of requests granted to other agents, since a new total includes
    /// their cost.
    pub(crate) fn clear_granted_elsewhere(&mut self, flow: FlowId) {
        if let Some(&id) = self.flow_handles.get(&flow) {
            self.flows[id].granted_elsewhere = 0;
        }
    }

    /// Updates the rank of a flow after its counter, reserve or offers have changed.
    ///
    /// Removes the flow if it has no offers, claims or runs, and returns whether it did.
    pub(crate) fn reorder(
        &mut self,
        key: &FlowKey,
        counter: impl Fn(u64, FlowWeight) -> u64,
    ) -> bool {
        let Some(&id) = self.flow_handles.get(&FlowId::of(key)) else {
            return false;
        };
        let flow = &mut self.flows[id];
        if let Some(rank) = flow.rank.take() {
            self.order.remove(&rank);
        }
        if let Some((since, request, _)) = flow.offers.first() {
            let score = counter(flow.reserve + flow.granted_elsewhere, flow.weight);
            let rank = (score, *since, *request, id);
            flow.rank = Some(rank);
            self.order.insert(rank);
            return false;
        }
        let is_unused = flow.used_slots == 0;
        if is_unused {
            self.flow_handles.remove(&FlowId::of(key));
            self.flows.remove(id);
        }
        is_unused
    }

    fn flow_handle(&mut self, key: &FlowKey, weight: FlowWeight) -> FlowHandle {
        if let Some(&id) = self.flow_handles.get(&FlowId::of(key)) {
            self.flows[id].weight = weight;
            return id;
        }
        let id = self.flows.insert(FlowQueue {
            key: key.clone(),
            weight,
            reserve: 0,
            granted_elsewhere: 0,
            granted_elsewhere_since: ClockTime::default(),
            used_slots: 0,
            offers: BTreeSet::new(),
            rank: None,
        });
        self.flow_handles.insert(FlowId::of(key), id);
        id
    }
}

/// Change of a flow's reserve, in cost units, and of its number of claims and runs.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReserveChange {
    pub(crate) add: u64,
    pub(crate) release: u64,
    pub(crate) started: u32,
    pub(crate) ended: u32,
}
