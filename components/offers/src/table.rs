//! Agent side of late binding: the offers of all entries, and the claims of free slots.

use std::collections::BTreeSet;
use std::time::Duration;

use fair::{UsageLedger, weighted};
use units::{ClockTime, CostUnits, FlowWeight, NodeName, RequestId, ServiceName, SlotCount};
use wire::{FlowId, FlowKey, FlowUsage, RequestOffer, UsageTotals};

use crate::runs::{SlotTable, SlotUse};
use crate::waiting::{OfferQueue, ReserveChange};

/// Time after which a claim without an answer ends.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Shortest time between two tellings of `Room`.
///
/// It goes to every entry: at each end of a request it would be most of the control traffic.
const TELL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which `Room` is repeated while slots are free and nothing is offered.
const ROOM_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which idle flows are forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);

/// What an agent must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableAction {
    /// Claim a request at its entry.
    Claim {
        /// The entry that offers the request.
        entry: NodeName,
        /// The request.
        request: RequestId,
    },
    /// Tell an entry that slots are free and nothing is offered.
    Room {
        /// The entry.
        entry: NodeName,
        /// Free slots.
        free: SlotCount,
    },
}

/// What a start of a request leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The request runs from now on.
    Started,
    /// The request runs already.
    AlreadyRunning,
    /// No slot is reserved for the request: it must not run.
    NotClaimed,
}

/// Offers, claims and runs of one agent.
#[derive(Debug, Clone)]
pub struct OfferTable {
    service: ServiceName,
    limit: SlotCount,
    serving: bool,
    ledger: UsageLedger,
    queue: OfferQueue,
    slots: SlotTable,
    entries: BTreeSet<NodeName>,
    /// When `Room` was last sent, none if it is due at once.
    room_sent: Option<ClockTime>,
    /// Whether `Room` was sent since there is room.
    room_told: bool,
    forgotten: ClockTime,
}

impl OfferTable {
    /// Creates the table of an agent that serves.
    pub fn new(service: ServiceName, limit: SlotCount) -> Self {
        Self {
            service,
            limit,
            serving: true,
            ledger: UsageLedger::new(),
            queue: OfferQueue::default(),
            slots: SlotTable::default(),
            entries: BTreeSet::new(),
            room_sent: None,
            room_told: false,
            forgotten: ClockTime::default(),
        }
    }

    /// Notes a connected entry, which is told of free slots.
    pub fn connect_entry(&mut self, entry: &NodeName, _now: ClockTime) -> Vec<TableAction> {
        self.entries.insert(entry.clone());
        if !self.has_room() {
            return Vec::new();
        }
        vec![TableAction::Room {
            entry: entry.clone(),
            free: self.free_slots(),
        }]
    }

    /// Takes in an offer; a repeated one changes nothing.
    pub fn add_offer(
        &mut self,
        entry: &NodeName,
        offer: RequestOffer,
        now: ClockTime,
    ) -> Vec<TableAction> {
        self.entries.insert(entry.clone());
        if !self.serving || self.queue.contains(offer.request) || self.is_held(offer.request) {
            return Vec::new();
        }
        let flow = offer.flow.clone();
        let weight = offer.weight;
        self.ledger.backlogged(&flow, weight, now);
        if !self.queue.has_flow(FlowId::of(&flow)) {
            self.ledger.opened(&flow, now);
        }
        let since = now - Duration::from_millis(offer.waited_ms);
        self.queue.insert(entry, offer, since);
        self.reorder(&flow, now);
        self.fill(now)
    }

    /// Takes back an offer, or a claim that was not granted.
    ///
    /// A withdrawal that arrives after the start has no effect.
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
            self.grant_elsewhere(request, now);
            self.release(request, now);
        } else if self.queue.is_offered_by(request, entry) {
            self.withdraw_offer(request, now);
        }
        self.fill(now)
    }

    /// Drops the offers and claims of an entry whose connection is lost; its runs go on.
    pub fn disconnect_entry(&mut self, entry: &NodeName, now: ClockTime) -> Vec<TableAction> {
        self.entries.remove(entry);
        for request in self.queue.offered_by(entry) {
            self.drop_offer(request, now);
        }
        for request in self.slots.claims_of(entry) {
            self.release(request, now);
        }
        self.fill(now)
    }

    /// Starts a request that was claimed and granted.
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

    /// Charges a run with its cost so far.
    pub fn charge(&mut self, request: RequestId, cost: CostUnits, now: ClockTime) {
        let Some((growth, release)) = self.slots.charge(request, cost) else {
            return;
        };
        let Some((flow, weight)) = self.flow_of(request) else {
            return;
        };
        self.ledger.charge(&flow, CostUnits(growth), now);
        let change = ReserveChange {
            release,
            ..ReserveChange::default()
        };
        self.queue.reserve(&flow, weight, change);
        self.reorder(&flow, now);
    }

    /// Ends a run and frees its slot.
    pub fn finish(&mut self, request: RequestId, now: ClockTime) -> Vec<TableAction> {
        self.release(request, now);
        self.fill(now)
    }

    /// Counts that are due for a report to the homes of the flows.
    pub fn report(&mut self, now: ClockTime) -> Vec<FlowUsage> {
        let queue = &self.queue;
        self.ledger.report(now, |flow| queue.has_offers(flow))
    }

    /// Virtual time of the service, for the reports.
    pub fn virtual_time(&self) -> u64 {
        self.ledger.virtual_time(&self.service)
    }

    /// Takes in a home's answer to a report of some flows.
    pub fn apply_totals(&mut self, reported: &[FlowUsage], answer: &UsageTotals) {
        self.ledger
            .merge_virtual_time(&self.service, answer.virtual_time);
        self.ledger.answered(reported, &answer.totals);
        for total in &answer.totals {
            self.queue.clear_elsewhere(total.flow);
            if let Some(flow) = self.queue.key(total.flow).cloned() {
                self.place(&flow);
            }
        }
    }

    /// Has the flows of a report reported again, since no home has answered it.
    pub fn mark_unanswered(&mut self, reported: &[FlowUsage]) {
        self.ledger.unanswered(reported);
    }

    /// Sets the concurrency limit.
    pub fn set_limit(&mut self, limit: SlotCount, now: ClockTime) -> Vec<TableAction> {
        self.limit = limit;
        self.fill(now)
    }

    /// Sets whether the agent takes new work. Without it, offers are dropped and claims given up.
    pub fn set_serving(&mut self, serving: bool, now: ClockTime) -> Vec<TableAction> {
        if self.serving == serving {
            return self.fill(now);
        }
        self.serving = serving;
        if !serving {
            for entry in self.entries.clone() {
                for request in self.queue.offered_by(&entry) {
                    self.drop_offer(request, now);
                }
                for request in self.slots.claims_of(&entry) {
                    self.release(request, now);
                }
            }
        }
        self.room_sent = None;
        self.fill(now)
    }

    /// Ends claims without an answer, repeats `Room` and forgets idle flows.
    pub fn tick(&mut self, now: ClockTime) -> Vec<TableAction> {
        while let Some(request) = self.slots.timed_out(now) {
            self.release(request, now);
        }
        if now.since(self.forgotten) >= FORGET_INTERVAL {
            self.forgotten = now;
            self.ledger.forget_idle(now);
        }
        self.fill(now)
    }

    /// Slots that claims and runs take.
    pub fn used_slots(&self) -> SlotCount {
        SlotCount(self.slots.len() as u32)
    }

    /// Slots that are free.
    pub fn free_slots(&self) -> SlotCount {
        SlotCount(self.limit.0.saturating_sub(self.used_slots().0))
    }

    /// Counters as this agent knows them.
    pub fn ledger(&self) -> &UsageLedger {
        &self.ledger
    }

    /// Whether offers wait here.
    pub fn has_offers(&self) -> bool {
        !self.queue.is_empty()
    }

    fn has_room(&self) -> bool {
        self.serving && self.free_slots().0 > 0 && self.queue.is_empty()
    }

    fn is_held(&self, request: RequestId) -> bool {
        self.slots.get(request).is_some()
    }

    fn flow_of(&self, request: RequestId) -> Option<(FlowKey, FlowWeight)> {
        let slot = self.slots.get(request)?;
        Some((slot.flow.clone(), slot.weight))
    }

    /// Claims offers while slots are free, then tells what has changed.
    fn fill(&mut self, now: ClockTime) -> Vec<TableAction> {
        let mut actions = Vec::new();
        while self.serving && self.free_slots().0 > 0 {
            let Some(request) = self.queue.first() else {
                break;
            };
            actions.extend(self.claim(request, now));
        }
        self.tell_room(&mut actions, now);
        actions
    }

    fn claim(&mut self, request: RequestId, now: ClockTime) -> Option<TableAction> {
        let waiting = self.queue.remove(request)?;
        let entry = waiting.entry;
        let flow = waiting.offer.flow.clone();
        let change = ReserveChange {
            add: waiting.offer.hint.0,
            begun: 1,
            ..ReserveChange::default()
        };
        self.queue.reserve(&flow, waiting.offer.weight, change);
        self.slots
            .claim(entry.clone(), waiting.offer, now + CLAIM_TIMEOUT);
        self.reorder(&flow, now);
        Some(TableAction::Claim { entry, request })
    }

    fn tell_room(&mut self, actions: &mut Vec<TableAction>, now: ClockTime) {
        if !self.has_room() {
            self.room_told = false;
            return;
        }
        let interval = if self.room_told {
            ROOM_INTERVAL
        } else {
            TELL_INTERVAL
        };
        if !is_due(self.room_sent, interval, now) {
            return;
        }
        self.room_told = true;
        self.room_sent = Some(now);
        let free = self.free_slots();
        actions.extend(self.entries.iter().map(|entry| TableAction::Room {
            entry: entry.clone(),
            free,
        }));
    }

    fn withdraw_offer(&mut self, request: RequestId, now: ClockTime) {
        if let Some(waiting) = self.queue.remove(request) {
            let offer = waiting.offer;
            self.queue.granted_elsewhere(&offer.flow, offer.hint.0, now);
            self.reorder(&offer.flow, now);
        }
    }

    fn grant_elsewhere(&mut self, request: RequestId, now: ClockTime) {
        if let Some(slot) = self.slots.get(request) {
            self.queue.granted_elsewhere(&slot.flow, slot.hint, now);
        }
    }

    /// Frees the slot of a claim or run.
    fn release(&mut self, request: RequestId, now: ClockTime) {
        let Some(slot) = self.slots.remove(request) else {
            return;
        };
        self.release_reserve(&slot);
        self.reorder(&slot.flow, now);
    }

    fn release_reserve(&mut self, slot: &SlotUse) {
        let change = ReserveChange {
            release: slot.reserve(),
            ended: 1,
            ..ReserveChange::default()
        };
        self.queue.reserve(&slot.flow, slot.weight, change);
    }

    fn drop_offer(&mut self, request: RequestId, now: ClockTime) {
        if let Some(waiting) = self.queue.remove(request) {
            self.reorder(&waiting.offer.flow, now);
        }
    }

    /// Puts the flow in its place and notes when it has neither offers nor runs any more.
    fn reorder(&mut self, flow: &FlowKey, now: ClockTime) {
        if self.place(flow) {
            self.ledger.closed(flow, now);
        }
    }

    fn place(&mut self, flow: &FlowKey) -> bool {
        let ledger = &self.ledger;
        self.queue.reorder(flow, |reserve, weight| {
            ledger
                .counter(flow, weight)
                .saturating_add(weighted(CostUnits(reserve), weight))
        })
    }
}

fn is_due(last: Option<ClockTime>, interval: Duration, now: ClockTime) -> bool {
    last.is_none_or(|last| now.since(last) >= interval)
}
