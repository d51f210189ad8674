//! Slots of an agent, each occupied by a claim that awaits its answer or by a run.

use std::collections::{BTreeMap, BTreeSet};

use units::{ClockTime, CostUnits, FlowWeight, NodeName, RequestId};
use wire::{FlowKey, RequestOffer};

/// Claim or run that occupies a slot.
#[derive(Debug, Clone)]
pub(crate) struct SlotUse {
    pub(crate) entry: NodeName,
    pub(crate) flow: FlowKey,
    pub(crate) weight: FlowWeight,
    pub(crate) cost_estimate: u64,
    /// Cost charged so far, in cost units.
    pub(crate) charged: u64,
    /// Time at which the claim expires without an answer; `None` for a run.
    claim_expiry: Option<ClockTime>,
}

impl SlotUse {
    /// Part of the cost estimate that has not been charged yet.
    pub(crate) fn reserve(&self) -> u64 {
        self.cost_estimate.saturating_sub(self.charged)
    }

    pub(crate) fn is_running(&self) -> bool {
        self.claim_expiry.is_none()
    }
}

/// Occupied slots of an agent.
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

    pub(crate) fn claim(&mut self, entry: NodeName, offer: RequestOffer, expiry: ClockTime) {
        self.claims.insert((expiry, offer.request));
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
                cost_estimate: offer.cost_estimate.0,
                charged: 0,
                claim_expiry: Some(expiry),
            },
        );
    }

    /// Turns a claim into a run; returns false if there is no such claim.
    pub(crate) fn start(&mut self, request: RequestId) -> bool {
        let Some(slot) = self.uses.get_mut(&request) else {
            return false;
        };
        let Some(expiry) = slot.claim_expiry.take() else {
            return false;
        };
        let entry = slot.entry.clone();
        self.remove_claim(request, expiry, &entry);
        true
    }

    /// Sets the total cost of a run so far; returns its increase and the reserve released by it.
    pub(crate) fn charge(&mut self, request: RequestId, cost: CostUnits) -> Option<(u64, u64)> {
        let slot = self.uses.get_mut(&request)?;
        if !slot.is_running() {
            return None;
        }
        let before = slot.reserve();
        let increase = cost.0.saturating_sub(slot.charged);
        slot.charged += increase;
        Some((increase, before - slot.reserve()))
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<SlotUse> {
        let slot = self.uses.remove(&request)?;
        if let Some(expiry) = slot.claim_expiry {
            self.remove_claim(request, expiry, &slot.entry);
        }
        Some(slot)
    }

    /// Claims that await an answer from the entry.
    pub(crate) fn claims_at(&self, entry: &NodeName) -> Vec<RequestId> {
        let requests = self.claims_by_entry.get(entry);
        requests.into_iter().flatten().copied().collect()
    }

    /// The earliest claim that has timed out; `None` if there is none.
    pub(crate) fn next_timed_out(&self, now: ClockTime) -> Option<RequestId> {
        let (expiry, request) = self.claims.first()?;
        (*expiry <= now).then_some(*request)
    }

    fn remove_claim(&mut self, request: RequestId, expiry: ClockTime, entry: &NodeName) {
        self.claims.remove(&(expiry, request));
        if let Some(requests) = self.claims_by_entry.get_mut(entry) {
            requests.remove(&request);
            if requests.is_empty() {
                self.claims_by_entry.remove(entry);
            }
        }
    }
}
