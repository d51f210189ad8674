//! Requests that wait for room at a target.

use std::collections::{BTreeMap, VecDeque};

use fair::UsageLedger;
use slotmap::SlotMap;
use units::{ClockTime, CostUnits, FlowWeight};
use wire::FlowKey;

use crate::table::{PlacementOutcome, PlacementRequest, PlacementTable};
use crate::target::RunKey;

slotmap::new_key_type! {
    /// Handle of a waiting request.
    pub struct WaitKey;
}

/// A request that waits.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Organisation and service.
    pub flow: FlowKey,
    /// What it needs.
    pub request: PlacementRequest,
}

/// A request that waits no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DequeuedRequest {
    /// Its handle.
    pub key: WaitKey,
    /// Its run; none if no live target may serve it any more.
    pub run: Option<RunKey>,
}

/// Waiting requests; the flow that has received the least service comes first.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: SlotMap<WaitKey, QueuedRequest>,
    flows: BTreeMap<FlowKey, VecDeque<WaitKey>>,
    ledger: UsageLedger,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether requests of a flow wait.
    pub fn has_flow(&self, flow: &FlowKey) -> bool {
        self.flows.contains_key(flow)
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: QueuedRequest, now: ClockTime) -> WaitKey {
        let flow = waiting.flow.clone();
        self.ledger.backlogged(&flow, FlowWeight::UNIT, now);
        let key = self.waiting.insert(waiting);
        self.flows.entry(flow).or_default().push_back(key);
        key
    }

    /// Removes a request that does not wait any more.
    pub fn remove(&mut self, key: WaitKey) {
        let Some(waiting) = self.waiting.remove(key) else {
            return;
        };
        if let Some(keys) = self.flows.get_mut(&waiting.flow) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.flows.remove(&waiting.flow);
            }
        }
    }

    /// Counts the work of a request that is sent to a target.
    pub fn charge(&mut self, flow: &FlowKey, work: u64, now: ClockTime) {
        self.ledger.charge(flow, CostUnits(work), now);
    }

    /// Places waiting requests while there is room, and gives up those that no live target may serve
    /// any more.
    pub fn drain(&mut self, table: &mut PlacementTable, now: ClockTime) -> Vec<DequeuedRequest> {
        let mut placed = Vec::new();
        let mut order: Vec<(u64, FlowKey)> = self
            .flows
            .keys()
            .map(|flow| (self.ledger.counter(flow, FlowWeight::UNIT), flow.clone()))
            .collect();
        order.sort();
        let mut turns: VecDeque<FlowKey> = order.into_iter().map(|(_, flow)| flow).collect();
        while let Some(flow) = turns.pop_front() {
            if let Some(ended) = self.place_first(&flow, table, now) {
                placed.push(ended);
                if self.flows.contains_key(&flow) {
                    turns.push_back(flow);
                }
            }
        }
        placed
    }

    /// Places the oldest request of a flow that finds room.
    fn place_first(
        &mut self,
        flow: &FlowKey,
        table: &mut PlacementTable,
        now: ClockTime,
    ) -> Option<DequeuedRequest> {
        let keys: Vec<WaitKey> = self.flows.get(flow)?.iter().copied().collect();
        for key in keys {
            let waiting = &self.waiting[key];
            let work = waiting.request.work;
            match table.place(&waiting.request, now) {
                PlacementOutcome::Run(run) => {
                    self.charge(flow, work, now);
                    self.remove(key);
                    let run = Some(run);
                    return Some(DequeuedRequest { key, run });
                }
                PlacementOutcome::NoTarget => {
                    self.remove(key);
                    return Some(DequeuedRequest { key, run: None });
                }
                PlacementOutcome::NoCapacity => {}
            }
        }
        None
    }
}
