//! Agents that the directory no longer lists while calls depend on them.

use std::collections::HashMap;
use std::time::Duration;

use units::{ClockTime, Incarnation, NodeName};

/// Times at which this entry first found agents missing from the directory.
#[derive(Debug, Default)]
pub(crate) struct LostAgents {
    missing_since: HashMap<(NodeName, Incarnation), ClockTime>,
}

impl LostAgents {
    /// Records that an agent is missing and returns the time since it was first found missing.
    pub(crate) fn record_missing(
        &mut self,
        agent: &NodeName,
        incarnation: Incarnation,
        now: ClockTime,
    ) -> Duration {
        let key = (agent.clone(), incarnation);
        now.since(*self.missing_since.entry(key).or_insert(now))
    }

    /// Removes the agents that the directory lists again.
    pub(crate) fn retain_missing(&mut self, is_listed: impl Fn(&NodeName, Incarnation) -> bool) {
        self.missing_since
            .retain(|(name, incarnation), _| !is_listed(name, *incarnation));
    }

    /// Removes all agents. An entry without a lease must do this, because its directory may be out
    /// of date.
    pub(crate) fn clear(&mut self) {
        self.missing_since.clear();
    }
}
