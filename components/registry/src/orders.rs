//! Outcomes of operators' orders, stored to answer repeated orders.

use std::collections::{BTreeMap, VecDeque};

use units::OrderId;
use wire::OrderReply;

/// Maximum number of stored outcomes, enough for about 26 days of 380 orders per day.
const MAX_ORDERS: usize = 10_000;

units::data! {
    /// Outcomes of the most recent orders.
    #[derive(Default)]
    pub(crate) struct OrderOutcomes {
        outcomes: BTreeMap<OrderId, OrderReply>,
        insertion_order: VecDeque<OrderId>,
    }
}

impl OrderOutcomes {
    /// Outcome of the first execution of an order.
    pub(crate) fn get(&self, order: &OrderId) -> Option<&OrderReply> {
        self.outcomes.get(order)
    }

    /// Stores the outcome of an order, and removes the oldest outcome beyond the maximum.
    pub(crate) fn insert(&mut self, order: &OrderId, reply: &OrderReply) {
        self.outcomes.insert(order.clone(), reply.clone());
        self.insertion_order.push_back(order.clone());
        if self.insertion_order.len() > MAX_ORDERS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}
