//! Outcomes of operators' orders, for repeated orders.

use std::collections::{BTreeMap, VecDeque};

use units::OrderId;
use wire::OrderReply;

/// Orders whose outcome is remembered, about 26 days at 380 orders a day.
const MAX_ORDERS: usize = 10_000;

units::data! {
    /// Outcomes of the newest orders.
    #[derive(Default)]
    pub(crate) struct OrderMemory {
        outcomes: BTreeMap<OrderId, OrderReply>,
        age: VecDeque<OrderId>,
    }
}

impl OrderMemory {
    /// First outcome of an order.
    pub(crate) fn get(&self, order: &OrderId) -> Option<&OrderReply> {
        self.outcomes.get(order)
    }

    /// Remembers the first outcome of an order and forgets the oldest one beyond the bound.
    pub(crate) fn insert(&mut self, order: &OrderId, reply: &OrderReply) {
        self.outcomes.insert(order.clone(), reply.clone());
        self.age.push_back(order.clone());
        if self.age.len() > MAX_ORDERS
            && let Some(oldest) = self.age.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}
