//! Hash ring that orders the agents for a request by its prompt prefix.

use std::collections::BTreeMap;
use std::ops::Bound;

use slotmap::new_key_type;

new_key_type! {
    /// Handle of an agent in an [`OfferBook`](crate::OfferBook).
    pub(crate) struct AgentId;
}

/// Hash ring of agents.
///
/// Iteration from the hash of a prefix gives the same order of agents at every entry. Each step
/// takes logarithmic time, which is cheaper than sorting all agents for each request.
#[derive(Debug, Clone, Default)]
pub(crate) struct AgentRing {
    agents: BTreeMap<u64, AgentId>,
}

impl AgentRing {
    /// Inserts an agent and returns its position, the first free one from `hash` on.
    pub(crate) fn insert(&mut self, hash: u64, agent: AgentId) -> u64 {
        let mut position = hash;
        while self.agents.contains_key(&position) {
            position = position.wrapping_add(1);
        }
        self.agents.insert(position, agent);
        position
    }

    pub(crate) fn remove(&mut self, position: u64) {
        self.agents.remove(&position);
    }

    /// First agent whose distance from `start` exceeds `after`, with its distance.
    pub(crate) fn next(&self, start: u64, after: Option<u64>) -> Option<(u64, AgentId)> {
        let from = match after {
            None => Bound::Included(start),
            Some(distance) => Bound::Excluded(start.wrapping_add(distance)),
        };
        let ahead = self.agents.range((from, Bound::Unbounded)).next();
        let (position, agent) = ahead.or_else(|| self.agents.first_key_value())?;
        let distance = position.wrapping_sub(start);
        let is_later = after.is_none_or(|after| distance > after);
        is_later.then_some((distance, *agent))
    }
}
