//! Periodic samples of the simulated network and the invariants checked at each of them.

use std::collections::BTreeSet;

use super::network::SimulatedNetwork;
use super::settings::{REMOTE_DELAY_MS, SPILL_AFTER_MS, TICK_INTERVAL_MS};

impl SimulatedNetwork {
    /// Whether each organisation has a request that has waited long enough to have been offered to
    /// every agent.
    fn backlogged(&self) -> Vec<bool> {
        let waves = SPILL_AFTER_MS + self.settings.waves_duration_ms(self.settings.agents);
        let latest_queued_at = self
            .now
            .saturating_sub(waves + TICK_INTERVAL_MS + REMOTE_DELAY_MS);
        let is_backlogged = |organisation: usize| {
            self.entries.iter().any(|entry| {
                let waiting = entry.waiting.get(&organisation);
                let oldest = waiting.and_then(BTreeSet::first);
                oldest.is_some_and(|(time, _)| *time <= latest_queued_at)
            })
        };
        (0..self.settings.weights.len())
            .map(is_backlogged)
            .collect()
    }

    pub fn sample(&mut self) {
        let backlogged = self.backlogged();
        // While a region is isolated, each side is a separate pool of agents, and the bound on the
        // gap does not apply to both sides together.
        if self.isolated_region.is_none() {
            self.meter.sample_gaps(&backlogged, self.now);
        }
        if backlogged.contains(&true) {
            let busy = self.agents.iter().map(|agent| agent.runs.len() as u64);
            let slots = self.agents.len() as u64 * u64::from(self.settings.slots);
            self.meter.sample_slots(busy.sum(), slots);
        }
        self.check_idle_agents();
        self.check_open_requests();
    }

    /// Records agents with free slots while a request that they could serve has waited for longer
    /// than the message delay plus the wave time (and the spill time, for agents in other regions).
    fn check_idle_agents(&mut self) {
        for (agent, node) in self.agents.iter().enumerate() {
            if node.table.free_slots().0 == 0 {
                continue;
            }
            for (index, entry) in self.entries.iter().enumerate() {
                if !self.is_reachable(index, agent) {
                    continue;
                }
                let local = self.settings.agents / self.settings.regions;
                let waves = if entry.region == node.region {
                    self.settings.waves_duration_ms(local)
                } else {
                    SPILL_AFTER_MS
                        + self
                            .settings
                            .waves_duration_ms(self.settings.agents - local)
                };
                let max_wait = waves + TICK_INTERVAL_MS + self.delay(index, agent);
                let waiting = entry.queued_at.iter();
                for (request, time) in waiting.filter(|(_, time)| self.now > *time + max_wait) {
                    self.meter.idle_violations.push(format!(
                        "{} is free at {} while {request} waits at {} since {time}",
                        node.name, self.now, entry.name
                    ));
                }
            }
        }
    }

    /// Checks that no request is lost: each open request is either in the book or granted.
    fn check_open_requests(&self) {
        for entry in &self.entries {
            for request in entry.open.keys() {
                let is_waiting = entry.book.is_waiting(*request);
                let is_granted = entry.granted.contains_key(request);
                assert!(
                    is_waiting != is_granted,
                    "request {request} is lost, or both waiting and granted"
                );
            }
        }
    }
}
