//! Samples of the fake network and rules that hold at each of them.

use std::collections::BTreeSet;

use super::network::FakeNetwork;
use super::settings::{FAR_MS, SPILL_MS, TICK_MS};

impl FakeNetwork {
    /// Organisations with a request that every agent of the pool may have been offered.
    fn backlogged(&self) -> Vec<bool> {
        let waves = SPILL_MS + self.settings.wave_ms(self.settings.agents);
        let old = self.now.saturating_sub(waves + TICK_MS + FAR_MS);
        let is_backlogged = |organisation: usize| {
            self.entries.iter().any(|entry| {
                let waiting = entry.waiting.get(&organisation);
                let oldest = waiting.and_then(BTreeSet::first);
                oldest.is_some_and(|(time, _)| *time <= old)
            })
        };
        (0..self.settings.weights.len())
            .map(is_backlogged)
            .collect()
    }

    pub fn sample(&mut self) {
        let backlogged = self.backlogged();
        // The sides of a cut are pools of their own.
        if self.cut.is_none() {
            self.meter.sample_gaps(&backlogged, self.now);
        }
        if backlogged.contains(&true) {
            let busy = self.agents.iter().map(|agent| agent.runs.len() as u64);
            let slots = self.agents.len() as u64 * u64::from(self.settings.slots);
            self.meter.sample_slots(busy.sum(), slots);
        }
        self.check_idle();
        self.check_open();
    }

    /// No agent is free while a request that it could serve waits longer than the message delay
    /// plus the wave time (and the spill time for an agent in another region).
    fn check_idle(&mut self) {
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
                    self.settings.wave_ms(local)
                } else {
                    SPILL_MS + self.settings.wave_ms(self.settings.agents - local)
                };
                let most = waves + TICK_MS + self.delay(index, agent);
                let waiting = entry.queued.iter();
                for (request, time) in waiting.filter(|(_, time)| self.now > *time + most) {
                    self.meter.idle_faults.push(format!(
                        "{} is free at {} while {request} waits at {} since {time}",
                        node.name, self.now, entry.name
                    ));
                }
            }
        }
    }

    /// Nothing is lost: an open request either waits in the book or is granted.
    fn check_open(&self) {
        for entry in &self.entries {
            for request in entry.open.keys() {
                let waits = entry.book.is_waiting(*request);
                let granted = entry.granted.contains_key(request);
                assert!(
                    waits != granted,
                    "request {request} is lost or granted twice"
                );
            }
        }
    }
}
