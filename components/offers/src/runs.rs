//! Slots of an agent: claims that wait for an answer, and runs.

use std::collections::{BTreeMap, BTreeSet};

use units::{ClockTime, CostUnits, FlowWeight, NodeName, RequestId};
use wire::{FlowKey, RequestOffer};

/// Claim or run that takes a slot.
#[derive(Debug, Clone)]
pub(crate) struct SlotUse {
    pub(crate) entry: NodeName,
    pub(crate) flow: FlowKey,
    pub(crate) weight: FlowWeight,
    pub(crate) hint: u64,
    /// Cost charged so far.
    pub(crate) charged: u64,
    /// End of a claim without an answer, none once it runs.
    claim_end: Option<ClockTime>,
}

impl SlotUse {
    /// Not yet produced part of the hint.
    pub(crate) fn reserve(&self) -> u64 {
        self.hint.saturating_sub(self.charged)
    }

    pub(crate) fn is_running(&self) -> bool {
        self.claim_end.is_none()
    }
}

/// Used slots of an agent.
#[derive(Debug, Clone, Default)]
pub(crate) struct SlotTable {
    uses: BTreeMap<RequestId, SlotUse>,
    claims: BTreeSet<(ClockTime, RequestId)>,
    claims_by_entry: BTreeMap<NodeName, BTreeSet<RequestId>>,
}

impl SlotTable {
    pub(crate) fn len(&self) -> usize {
        self.uses.len()
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&SlotUse> {
        self.uses.get(&request)
    }

    pub(crate) fn claim(&mut self, entry: NodeName, offer: RequestOffer, end: ClockTime) {
        self.claims.insert((end, offer.request));
        self.claims_by_entry
            .entry(entry.clone())
            .or_default()
            .insert(offer.request);
        self.uses.insert(
            offer.request,
            SlotUse {
                entry,
                flow: offer.flow,
                weight: offer.weight,
                hint: offer.cost_estimate.0,
                charged: 0,
                claim_end: Some(end),
            },
        );
    }

    /// Turns a claim into a run; false if there is no such claim.
    pub(crate) fn start(&mut self, request: RequestId) -> bool {
        let Some(slot) = self.uses.get_mut(&request) else {
            return false;
        };
        let Some(end) = slot.claim_end.take() else {
            return false;
        };
        let entry = slot.entry.clone();
        self.drop_claim(request, end, &entry);
        true
    }

    /// Sets the cost so far of a run and returns its growth and the reserve that it frees.
    pub(crate) fn charge(&mut self, request: RequestId, cost: CostUnits) -> Option<(u64, u64)> {
        let slot = self.uses.get_mut(&request)?;
        if !slot.is_running() {
            return None;
        }
        let before = slot.reserve();
        let growth = cost.0.saturating_sub(slot.charged);
        slot.charged += growth;
        Some((growth, before - slot.reserve()))
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<SlotUse> {
        let slot = self.uses.remove(&request)?;
        if let Some(end) = slot.claim_end {
            self.drop_claim(request, end, &slot.entry);
        }
        Some(slot)
    }

    /// Claims without an answer that an entry owes.
    pub(crate) fn claims_of(&self, entry: &NodeName) -> Vec<RequestId> {
        let requests = self.claims_by_entry.get(entry);
        requests.into_iter().flatten().copied().collect()
    }

    /// A claim whose end has passed.
    pub(crate) fn timed_out(&self, now: ClockTime) -> Option<RequestId> {
        let (end, request) = self.claims.first()?;
        (*end <= now).then_some(*request)
    }

    fn drop_claim(&mut self, request: RequestId, end: ClockTime, entry: &NodeName) {
        self.claims.remove(&(end, request));
        if let Some(requests) = self.claims_by_entry.get_mut(entry) {
            requests.remove(&request);
            if requests.is_empty() {
                self.claims_by_entry.remove(entry);
            }
        }
    }
}
