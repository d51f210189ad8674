//! Agents that a call waits for and that the directory no longer lists.

use std::collections::HashMap;
use std::time::Duration;

use units::{ClockTime, Incarnation, NodeName};

/// Since when agents have been missing, as far as this entry has looked.
#[derive(Debug, Default)]
pub(crate) struct LostAgents {
    since: HashMap<(NodeName, Incarnation), ClockTime>,
}

impl LostAgents {
    /// Notes that an agent is missing, and returns for how long it has been.
    pub(crate) fn missing(
        &mut self,
        agent: &NodeName,
        incarnation: Incarnation,
        now: ClockTime,
    ) -> Duration {
        let key = (agent.clone(), incarnation);
        now.since(*self.since.entry(key).or_insert(now))
    }

    /// Forgets the agents that are listed again.
    pub(crate) fn retain_missing(&mut self, is_listed: impl Fn(&NodeName, Incarnation) -> bool) {
        self.since
            .retain(|(name, incarnation), _| !is_listed(name, *incarnation));
    }

    /// Starts to count anew, since without a lease the directory is no evidence.
    pub(crate) fn clear(&mut self) {
        self.since.clear();
    }
}
