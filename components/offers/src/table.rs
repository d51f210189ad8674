//! Agent side of late binding: holds the offers of all entries and claims requests for free slots.

use std::collections::BTreeSet;
use std::time::Duration;

use fair::{UsageLedger, weighted_cost};
use units::{ClockTime, CostUnits, FlowWeight, NodeName, RequestId, ServiceName, SlotCount};
use wire::{FlowId, FlowKey, FlowUsage, RequestOffer, UsageTotals};

use crate::book::MIN_REOFFER_INTERVAL;
use crate::runs::{SlotTable, SlotUse};
use crate::waiting::{OfferQueue, ReserveChange};

/// Time after which a claim without an answer is dropped.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum interval between two rounds of `FreeSlots` messages.
///
/// `FreeSlots` is sent to every entry. If it were sent at the end of every request, it would make
/// up most of the control traffic.
const MIN_FREE_SLOTS_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which `FreeSlots` is repeated while slots are free and no offers are held.
const FREE_SLOTS_REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which idle flows are evicted from the ledger.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// Action that the agent must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableAction {
    /// Claim a request at the entry that offers it.
    Claim {
        /// Receiver of the claim.
        entry: NodeName,
        /// Claimed request.
        request: RequestId,
    },
    /// Tell an entry that slots are free and no offers are held.
    FreeSlots {
        /// Receiver of the message.
        entry: NodeName,
        /// Number of free slots.
        free: SlotCount,
    },
}

/// Result of [`OfferTable::start`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The claim has become a run.
    Started,
    /// The request is already running; the start was repeated.
    AlreadyRunning,
    /// No slot is claimed for the request, so it must not run.
    NotClaimed,
}

/// Offers, claims and runs of one agent.
#[derive(Debug, Clone)]
pub struct OfferTable {
    service: ServiceName,
    limit: SlotCount,
    is_serving: bool,
    ledger: UsageLedger,
    queue: OfferQueue,
    slots: SlotTable,
    entries: BTreeSet<NodeName>,
    /// Time at which `FreeSlots` was last sent; `None` if it may be sent at once.
    free_slots_sent_at: Option<ClockTime>,
    /// Whether `FreeSlots` has been sent since slots became free with no offers held.
    has_announced_free_slots: bool,
    /// Interval at which `FreeSlots` is next repeated.
    repeat_interval: Duration,
    last_eviction: ClockTime,
}

impl OfferTable {
    /// Creates an empty table of an agent that accepts new requests.
    pub fn new(service: ServiceName, limit: SlotCount) -> Self {
        Self {
            service,
            limit,
            is_serving: true,
            ledger: UsageLedger::new(),
            queue: OfferQueue::default(),
            slots: SlotTable::default(),
            entries: BTreeSet::new(),
            free_slots_sent_at: None,
            has_announced_free_slots: false,
            repeat_interval: FREE_SLOTS_REPEAT_INTERVAL,
            last_eviction: ClockTime::default(),
        }
    }

    /// Adds a connected entry and announces free slots to it.
    pub fn connect_entry(&mut self, entry: &NodeName, _now: ClockTime) -> Vec<TableAction> {
        self.entries.insert(entry.clone());
        if !self.has_idle_slots() {
            return Vec::new();
        }
        vec![TableAction::FreeSlots {
            entry: entry.clone(),
            free: self.free_slots(),
        }]
    }

    /// Adds an offer; a repeated offer has no effect.
    pub fn add_offer(
        &mut self,
        entry: &NodeName,
        offer: RequestOffer,
        now: ClockTime,
    ) -> Vec<TableAction> {
        self.entries.insert(entry.clone());
        if !self.is_serving || self.queue.contains(offer.request) || self.has_slot(offer.request) {
            return Vec::new();
        }
        let flow = offer.flow.clone();
        let weight = offer.weight;
        self.ledger.mark_backlogged(&flow, weight, now);
        if !self.queue.has_flow(FlowId::of(&flow)) {
            self.ledger.open_flow(&flow, now);
        }
        let since = now - Duration::from_millis(offer.waited_ms);
        self.queue.insert(entry, offer, since);
        self.update_flow(&flow, now);
        self.claim_free_slots(now)
    }

    /// Withdraws an offer, or a claim that was not granted.
    ///
    /// A withdrawal has no effect after the request has started.
    pub fn withdraw(
        &mut self,
        entry: &NodeName,
        request: RequestId,
        now: ClockTime,
    ) -> Vec<TableAction> {
        let is_claim = self
            .slots
            .get(request)
            .is_some_and(|slot| !slot.is_running() && slot.entry == *entry);
        if is_claim {
            self.record_grant_elsewhere(request, now);
            self.release_slot(request, now);
        } else if self.queue.is_offered_by(request, entry) {
            self.withdraw_offer(request, now);
        }
        self.claim_free_slots(now)
    }

    /// Drops the offers and claims of an entry whose connection is lost; its runs continue.
    pub fn disconnect_entry(&mut self, entry: &NodeName, now: ClockTime) -> Vec<TableAction> {
        self.entries.remove(entry);
        for request in self.queue.offered_by(entry) {
            self.remove_offer(request, now);
        }
        for request in self.slots.claims_at(entry) {
            self.release_slot(request, now);
        }
        self.claim_free_slots(now)
    }

    /// Starts a request whose claim was granted.
    pub fn start(&mut self, request: RequestId, _now: ClockTime) -> StartOutcome {
        let Some(slot) = self.slots.get(request) else {
            return StartOutcome::NotClaimed;
        };
        if slot.is_running() {
            return StartOutcome::AlreadyRunning;
        }
        let counter = self.ledger.counter(&slot.flow, slot.weight);
        self.ledger.merge_virtual_time(&self.service, counter);
        self.slots.start(request);
        StartOutcome::Started
    }

    /// Charges the flow of a run; `cost` is the total cost of the run so far.
    pub fn charge(&mut self, request: RequestId, cost: CostUnits, now: ClockTime) {
        let Some((increase, release)) = self.slots.charge(request, cost) else {
            return;
        };
        let Some((flow, weight)) = self.flow_of(request) else {
            return;
        };
        self.ledger.charge(&flow, CostUnits(increase), now);
        let change = ReserveChange {
            release,
            ..ReserveChange::default()
        };
        self.queue.change_reserve(&flow, weight, change);
        self.update_flow(&flow, now);
    }

    /// Ends a run, or a claim that will not start, and frees its slot.
    pub fn finish(&mut self, request: RequestId, now: ClockTime) -> Vec<TableAction> {
        self.release_slot(request, now);
        self.claim_free_slots(now)
    }

    /// Usage counts that are due to be reported to the homes of the flows.
    pub fn take_report(&mut self, now: ClockTime) -> Vec<FlowUsage> {
        let queue = &self.queue;
        self.ledger.take_report(now, |flow| queue.has_offers(flow))
    }

    /// Virtual time of the service, which reports include.
    pub fn virtual_time(&self) -> u64 {
        self.ledger.virtual_time(&self.service)
    }

    /// Applies a home's answer to the report of the flows in `reported`.
    pub fn apply_totals(&mut self, reported: &[FlowUsage], answer: &UsageTotals) {
        self.ledger
            .merge_virtual_time(&self.service, answer.virtual_time);
        self.ledger.apply_totals(reported, &answer.totals);
        for total in &answer.totals {
            self.queue.clear_granted_elsewhere(total.flow);
            if let Some(flow) = self.queue.key(total.flow).cloned() {
                self.update_rank(&flow);
            }
        }
    }

    /// Marks the flows of an unanswered report as due in the next round.
    pub fn requeue_report(&mut self, reported: &[FlowUsage]) {
        self.ledger.requeue_report(reported);
    }

    /// Sets the maximum number of concurrent claims and runs.
    pub fn set_limit(&mut self, limit: SlotCount, now: ClockTime) -> Vec<TableAction> {
        self.limit = limit;
        self.claim_free_slots(now)
    }

    /// Sets whether the agent accepts new requests. If not, its offers and claims are dropped.
    pub fn set_serving(&mut self, is_serving: bool, now: ClockTime) -> Vec<TableAction> {
        if self.is_serving == is_serving {
            return self.claim_free_slots(now);
        }
        self.is_serving = is_serving;
        if !is_serving {
            for entry in self.entries.clone() {
                for request in self.queue.offered_by(&entry) {
                    self.remove_offer(request, now);
                }
                for request in self.slots.claims_at(&entry) {
                    self.release_slot(request, now);
                }
            }
        }
        self.free_slots_sent_at = None;
        // Entries do not repeat the offers at once that they made shortly before, which were dropped.
        self.repeat_interval = MIN_REOFFER_INTERVAL;
        self.claim_free_slots(now)
    }

    /// Drops claims that timed out, repeats `FreeSlots` and evicts idle flows.
    pub fn tick(&mut self, now: ClockTime) -> Vec<TableAction> {
        while let Some(request) = self.slots.next_timed_out(now) {
            self.release_slot(request, now);
        }
        if now.since(self.last_eviction) >= EVICTION_INTERVAL {
            self.last_eviction = now;
            self.ledger.evict_idle(now);
        }
        self.claim_free_slots(now)
    }

    /// Number of slots that claims and runs occupy.
    pub fn used_slots(&self) -> SlotCount {
        SlotCount(self.slots.len() as u32)
    }

    /// Number of free slots.
    pub fn free_slots(&self) -> SlotCount {
        SlotCount(self.limit.0.saturating_sub(self.used_slots().0))
    }

    /// Usage counters as known to this agent.
    pub fn ledger(&self) -> &UsageLedger {
        &self.ledger
    }

    /// Whether the agent holds offers.
    pub fn has_offers(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Whether slots are free and no offers are held to fill them.
    fn has_idle_slots(&self) -> bool {
        self.is_serving && self.free_slots().0 > 0 && self.queue.is_empty()
    }

    fn has_slot(&self, request: RequestId) -> bool {
        self.slots.get(request).is_some()
    }

    fn flow_of(&self, request: RequestId) -> Option<(FlowKey, FlowWeight)> {
        let slot = self.slots.get(request)?;
        Some((slot.flow.clone(), slot.weight))
    }

    /// Claims offers while slots are free, then announces remaining free slots if that is due.
    fn claim_free_slots(&mut self, now: ClockTime) -> Vec<TableAction> {
        let mut actions = Vec::new();
        while self.is_serving && self.free_slots().0 > 0 {
            let Some(request) = self.queue.first() else {
                break;
            };
            actions.extend(self.claim(request, now));
        }
        self.announce_free_slots(&mut actions, now);
        actions
    }

    fn claim(&mut self, request: RequestId, now: ClockTime) -> Option<TableAction> {
        let waiting = self.queue.remove(request)?;
        let entry = waiting.entry;
        let flow = waiting.offer.flow.clone();
        let change = ReserveChange {
            add: waiting.offer.cost_estimate.0,
            started: 1,
            ..ReserveChange::default()
        };
        self.queue
            .change_reserve(&flow, waiting.offer.weight, change);
        self.slots
            .claim(entry.clone(), waiting.offer, now + CLAIM_TIMEOUT);
        self.update_flow(&flow, now);
        Some(TableAction::Claim { entry, request })
    }

    fn announce_free_slots(&mut self, actions: &mut Vec<TableAction>, now: ClockTime) {
        if !self.has_idle_slots() {
            self.has_announced_free_slots = false;
            return;
        }
        let interval = if self.has_announced_free_slots {
            self.repeat_interval
        } else {
            MIN_FREE_SLOTS_INTERVAL
        };
        if !is_due(self.free_slots_sent_at, interval, now) {
            return;
        }
        if self.has_announced_free_slots {
            self.repeat_interval = FREE_SLOTS_REPEAT_INTERVAL;
        }
        self.has_announced_free_slots = true;
        self.free_slots_sent_at = Some(now);
        let free = self.free_slots();
        actions.extend(self.entries.iter().map(|entry| TableAction::FreeSlots {
            entry: entry.clone(),
            free,
        }));
    }

    fn withdraw_offer(&mut self, request: RequestId, now: ClockTime) {
        if let Some(waiting) = self.queue.remove(request) {
            let offer = waiting.offer;
            self.queue
                .record_grant_elsewhere(&offer.flow, offer.cost_estimate.0, now);
            self.update_flow(&offer.flow, now);
        }
    }

    fn record_grant_elsewhere(&mut self, request: RequestId, now: ClockTime) {
        if let Some(slot) = self.slots.get(request) {
            self.queue
                .record_grant_elsewhere(&slot.flow, slot.cost_estimate, now);
        }
    }

    /// Frees the slot of a claim or run.
    fn release_slot(&mut self, request: RequestId, now: ClockTime) {
        let Some(slot) = self.slots.remove(request) else {
            return;
        };
        self.release_reserve(&slot);
        self.update_flow(&slot.flow, now);
    }

    fn release_reserve(&mut self, slot: &SlotUse) {
        let change = ReserveChange {
            release: slot.reserve(),
            ended: 1,
            ..ReserveChange::default()
        };
        self.queue.change_reserve(&slot.flow, slot.weight, change);
    }

    fn remove_offer(&mut self, request: RequestId, now: ClockTime) {
        if let Some(waiting) = self.queue.remove(request) {
            self.update_flow(&waiting.offer.flow, now);
        }
    }

    /// Updates the rank of a flow, and closes it in the ledger if it has no offers, claims or runs.
    fn update_flow(&mut self, flow: &FlowKey, now: ClockTime) {
        if self.update_rank(flow) {
            self.ledger.close_flow(flow, now);
        }
    }

    fn update_rank(&mut self, flow: &FlowKey) -> bool {
        let ledger = &self.ledger;
        self.queue.reorder(flow, |reserve, weight| {
            ledger
                .counter(flow, weight)
                .saturating_add(weighted_cost(CostUnits(reserve), weight))
        })
    }
}

fn is_due(last: Option<ClockTime>, interval: Duration, now: ClockTime) -> bool {
    last.is_none_or(|last| now.since(last) >= interval)
}
