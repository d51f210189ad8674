//! Offers that wait at an agent, ordered by the counters of their flows.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use units::{ClockTime, FlowWeight, NodeName, RequestId};
use wire::{FlowId, FlowKey, RequestOffer};

/// Time after which hints of requests that run elsewhere no longer count.
///
/// Two report intervals. Without it, wrong hints would add up while no totals arrive.
const ELSEWHERE_SPAN: Duration = Duration::from_secs(1);

new_key_type! {
    /// Handle of a waiting offer.
    pub(crate) struct OfferId;
    /// Handle of a flow with offers or runs.
    pub(crate) struct FlowHandle;
}

/// Offer of an entry.
#[derive(Debug, Clone)]
pub(crate) struct WaitingOffer {
    pub(crate) entry: NodeName,
    pub(crate) offer: RequestOffer,
    flow: FlowHandle,
    since: ClockTime,
}

/// Flow with offers or runs at this agent.
#[derive(Debug, Clone)]
struct FlowQueue {
    key: FlowKey,
    weight: FlowWeight,
    /// Not yet produced part of the hints of the flow's claims and runs.
    reserve: u64,
    /// Hints of requests that other agents were granted since the last total.
    elsewhere: u64,
    /// Time of the first of these grants.
    elsewhere_since: ClockTime,
    /// Claims and runs.
    running: u32,
    offers: BTreeSet<(ClockTime, RequestId, OfferId)>,
    /// Place in the order of flows, if it has offers.
    place: Option<FlowPlace>,
}

/// Place of a flow in the order of choice: counter with reserve, then age of its oldest offer.
type FlowPlace = (u64, ClockTime, RequestId, FlowHandle);

/// Waiting offers and the order in which they are claimed.
#[derive(Debug, Clone, Default)]
pub(crate) struct OfferQueue {
    flows: SlotMap<FlowHandle, FlowQueue>,
    handles: HashMap<FlowId, FlowHandle>,
    offers: SlotMap<OfferId, WaitingOffer>,
    offer_ids: HashMap<RequestId, OfferId>,
    by_entry: BTreeMap<NodeName, BTreeSet<RequestId>>,
    order: BTreeSet<FlowPlace>,
}

impl OfferQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.offers.is_empty()
    }

    pub(crate) fn contains(&self, request: RequestId) -> bool {
        self.offer_ids.contains_key(&request)
    }

    pub(crate) fn is_offered_by(&self, request: RequestId, entry: &NodeName) -> bool {
        let requests = self.by_entry.get(entry);
        requests.is_some_and(|requests| requests.contains(&request))
    }

    pub(crate) fn has_flow(&self, flow: FlowId) -> bool {
        self.handles.contains_key(&flow)
    }

    /// Whether offers of the flow wait here.
    pub(crate) fn has_offers(&self, flow: FlowId) -> bool {
        let handle = self.handles.get(&flow);
        handle.is_some_and(|handle| !self.flows[*handle].offers.is_empty())
    }

    /// Organisation and service of a flow with offers or runs.
    pub(crate) fn key(&self, flow: FlowId) -> Option<&FlowKey> {
        let handle = self.handles.get(&flow)?;
        Some(&self.flows[*handle].key)
    }

    pub(crate) fn insert(&mut self, entry: &NodeName, offer: RequestOffer, since: ClockTime) {
        let flow = self.flow(&offer.flow, offer.weight);
        let request = offer.request;
        let id = self.offers.insert(WaitingOffer {
            entry: entry.clone(),
            offer,
            flow,
            since,
        });
        self.offer_ids.insert(request, id);
        self.flows[flow].offers.insert((since, request, id));
        self.by_entry
            .entry(entry.clone())
            .or_default()
            .insert(request);
    }

    /// Removes an offer; none if it does not wait here.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<WaitingOffer> {
        let id = self.offer_ids.remove(&request)?;
        let waiting = self.offers.remove(id)?;
        self.flows[waiting.flow]
            .offers
            .remove(&(waiting.since, request, id));
        if let Some(requests) = self.by_entry.get_mut(&waiting.entry) {
            requests.remove(&request);
            if requests.is_empty() {
                self.by_entry.remove(&waiting.entry);
            }
        }
        Some(waiting)
    }

    /// Requests that an entry offers here.
    pub(crate) fn offered_by(&self, entry: &NodeName) -> Vec<RequestId> {
        let requests = self.by_entry.get(entry);
        requests.into_iter().flatten().copied().collect()
    }

    /// The oldest offer of the flow that comes first.
    pub(crate) fn first(&self) -> Option<RequestId> {
        self.order.first().map(|(_, _, request, _)| *request)
    }

    /// Changes the reserve and the number of runs of a flow.
    pub(crate) fn reserve(&mut self, key: &FlowKey, weight: FlowWeight, change: ReserveChange) {
        let id = self.flow(key, weight);
        let flow = &mut self.flows[id];
        flow.reserve = flow.reserve.saturating_add(change.add) - change.release;
        flow.running = flow.running + change.begun - change.ended;
    }

    /// Notes that another agent was granted a request of the flow.
    pub(crate) fn granted_elsewhere(&mut self, key: &FlowKey, hint: u64, now: ClockTime) {
        if let Some(&id) = self.handles.get(&FlowId::of(key)) {
            let flow = &mut self.flows[id];
            if flow.elsewhere == 0 || now.since(flow.elsewhere_since) >= ELSEWHERE_SPAN {
                flow.elsewhere = 0;
                flow.elsewhere_since = now;
            }
            flow.elsewhere = flow.elsewhere.saturating_add(hint);
        }
    }

    /// Notes a new total, which contains what other agents have produced.
    pub(crate) fn clear_elsewhere(&mut self, flow: FlowId) {
        if let Some(&id) = self.handles.get(&flow) {
            self.flows[id].elsewhere = 0;
        }
    }

    /// Puts a flow in its place again after its counter, reserve or offers have changed.
    ///
    /// Drops the flow if it has neither offers nor runs, and returns whether it did.
    pub(crate) fn reorder(
        &mut self,
        key: &FlowKey,
        counter: impl Fn(u64, FlowWeight) -> u64,
    ) -> bool {
        let Some(&id) = self.handles.get(&FlowId::of(key)) else {
            return false;
        };
        let flow = &mut self.flows[id];
        if let Some(place) = flow.place.take() {
            self.order.remove(&place);
        }
        if let Some((since, request, _)) = flow.offers.first() {
            let score = counter(flow.reserve + flow.elsewhere, flow.weight);
            let place = (score, *since, *request, id);
            flow.place = Some(place);
            self.order.insert(place);
            return false;
        }
        let unused = flow.running == 0;
        if unused {
            self.handles.remove(&FlowId::of(key));
            self.flows.remove(id);
        }
        unused
    }

    fn flow(&mut self, key: &FlowKey, weight: FlowWeight) -> FlowHandle {
        if let Some(&id) = self.handles.get(&FlowId::of(key)) {
            self.flows[id].weight = weight;
            return id;
        }
        let id = self.flows.insert(FlowQueue {
            key: key.clone(),
            weight,
            reserve: 0,
            elsewhere: 0,
            elsewhere_since: ClockTime::default(),
            running: 0,
            offers: BTreeSet::new(),
            place: None,
        });
        self.handles.insert(FlowId::of(key), id);
        id
    }
}

/// Change of a flow's reserve, in cost units, and of its number of runs.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReserveChange {
    pub(crate) add: u64,
    pub(crate) release: u64,
    pub(crate) begun: u32,
    pub(crate) ended: u32,
}
