//! Order in which agents are offered a request with a given prefix.

use std::collections::BTreeMap;
use std::ops::Bound;

use slotmap::new_key_type;

new_key_type! {
    /// Handle of an agent.
    pub(crate) struct AgentId;
}

/// Agents at the places of their hashes on a ring.
///
/// A walk from the hash of a prefix gives the same order of agents at every entry, and each step is
/// logarithmic; sorting all agents for each request would not be.
#[derive(Debug, Clone, Default)]
pub(crate) struct AgentRing {
    places: BTreeMap<u64, AgentId>,
}

impl AgentRing {
    /// Puts an agent on the ring and returns its place.
    pub(crate) fn insert(&mut self, hash: u64, agent: AgentId) -> u64 {
        let mut place = hash;
        while self.places.contains_key(&place) {
            place = place.wrapping_add(1);
        }
        self.places.insert(place, agent);
        place
    }

    pub(crate) fn remove(&mut self, place: u64) {
        self.places.remove(&place);
    }

    /// The next agent after a distance from the start, and its distance.
    pub(crate) fn next(&self, start: u64, after: Option<u64>) -> Option<(u64, AgentId)> {
        let from = match after {
            None => Bound::Included(start),
            Some(distance) => Bound::Excluded(start.wrapping_add(distance)),
        };
        let ahead = self.places.range((from, Bound::Unbounded)).next();
        let (place, agent) = ahead.or_else(|| self.places.first_key_value())?;
        let distance = place.wrapping_sub(start);
        let is_later = after.is_none_or(|after| distance > after);
        is_later.then_some((distance, *agent))
    }
}
