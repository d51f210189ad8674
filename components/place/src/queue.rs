//! Requests that wait until a target has capacity.

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

/// Request in a [`WaitQueue`].
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Organisation and service of the request.
    pub flow: FlowKey,
    /// Requirements for a target.
    pub request: PlacementRequest,
}

/// Request that has left a [`WaitQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DequeuedRequest {
    /// Handle that the request had in the queue.
    pub key: WaitKey,
    /// Run of the request, or `None` if it was dropped because no live target may serve it.
    pub run: Option<RunKey>,
}

/// Queue of waiting requests that serves the flow with the least received service first.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: SlotMap<WaitKey, QueuedRequest>,
    flows: BTreeMap<FlowKey, VecDeque<WaitKey>>,
    /// Those of the waiting requests that have precedence, oldest first.
    preferred: VecDeque<WaitKey>,
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

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether any request of the flow waits.
    pub fn has_flow(&self, flow: &FlowKey) -> bool {
        self.flows.contains_key(flow)
    }

    /// Appends a request to the queue of its flow and returns its handle.
    pub fn push(&mut self, waiting: QueuedRequest, now: ClockTime) -> WaitKey {
        let flow = waiting.flow.clone();
        self.ledger.mark_backlogged(&flow, FlowWeight::UNIT, now);
        let has_precedence = waiting.request.has_precedence;
        let key = self.waiting.insert(waiting);
        if has_precedence {
            self.preferred.push_back(key);
        }
        self.flows.entry(flow).or_default().push_back(key);
        key
    }

    /// Removes a request; does nothing if it is not in the queue.
    pub fn remove(&mut self, key: WaitKey) {
        let Some(waiting) = self.waiting.remove(key) else {
            return;
        };
        if waiting.request.has_precedence {
            self.preferred.retain(|other| *other != key);
        }
        if let Some(keys) = self.flows.get_mut(&waiting.flow) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.flows.remove(&waiting.flow);
            }
        }
    }

    /// Charges a flow with the work of a request that is sent to a target.
    pub fn charge(&mut self, flow: &FlowKey, work: u64, now: ClockTime) {
        self.ledger.charge(flow, CostUnits(work), now);
    }

    /// Places waiting requests while there is capacity, and drops those that no live target may
    /// serve. Requests with precedence come first. Then flows take turns, starting with the one
    /// that has received the least service.
    pub fn drain(&mut self, table: &mut PlacementTable, now: ClockTime) -> Vec<DequeuedRequest> {
        let preferred: Vec<WaitKey> = self.preferred.iter().copied().collect();
        let mut dequeued: Vec<DequeuedRequest> = preferred
            .into_iter()
            .filter_map(|key| self.try_dequeue(key, table, now))
            .collect();
        let mut order: Vec<(u64, FlowKey)> = self
            .flows
            .keys()
            .map(|flow| (self.ledger.counter(flow, FlowWeight::UNIT), flow.clone()))
            .collect();
        order.sort();
        let mut turns: VecDeque<FlowKey> = order.into_iter().map(|(_, flow)| flow).collect();
        while let Some(flow) = turns.pop_front() {
            if let Some(dequeued_request) = self.dequeue_first(&flow, table, now) {
                dequeued.push(dequeued_request);
                if self.flows.contains_key(&flow) {
                    turns.push_back(flow);
                }
            }
        }
        dequeued
    }

    /// Dequeues the oldest request of the flow that finds capacity or has no live target left.
    fn dequeue_first(
        &mut self,
        flow: &FlowKey,
        table: &mut PlacementTable,
        now: ClockTime,
    ) -> Option<DequeuedRequest> {
        let keys: Vec<WaitKey> = self.flows.get(flow)?.iter().copied().collect();
        keys.into_iter()
            .find_map(|key| self.try_dequeue(key, table, now))
    }

    /// Dequeues a request if it finds capacity or has no live target left.
    fn try_dequeue(
        &mut self,
        key: WaitKey,
        table: &mut PlacementTable,
        now: ClockTime,
    ) -> Option<DequeuedRequest> {
        let waiting = &self.waiting[key];
        let run = match table.place(&waiting.request, now) {
            PlacementOutcome::Run(run) => {
                let (flow, work) = (waiting.flow.clone(), waiting.request.work);
                self.charge(&flow, work, now);
                Some(run)
            }
            PlacementOutcome::NoTarget => None,
            PlacementOutcome::NoCapacity => return None,
        };
        self.remove(key);
        Some(DequeuedRequest { key, run })
    }
}
