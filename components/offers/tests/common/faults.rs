//! Restarts and connection failures in the simulated network.

use offers::AgentView;
use units::ServiceName;

use super::network::{Event, SimulatedNetwork};
use super::nodes::{AgentNode, ControlNode, EntryNode, SERVICE};

impl SimulatedNetwork {
    /// Restarts an entry without its state; its callers send their requests again.
    pub fn restart_entry(&mut self, index: usize) {
        let region = self.entries[index].region;
        let incarnation = self.new_incarnation();
        let restarted = EntryNode::new(index, region, incarnation, self.settings.wave_size);
        let old = std::mem::replace(&mut self.entries[index], restarted);
        let now = self.clock_time();
        for agent in 0..self.agents.len() {
            let name = old.name.clone();
            let actions = self.agents[agent].table.disconnect_entry(&name, now);
            self.perform_table_actions(agent, actions);
        }
        self.connect(index);
        for request in old.open.into_values() {
            self.granted_agents.remove(&request.id);
            self.enqueue(index, request);
        }
    }

    /// Restarts an agent without its state; entries requeue the requests that ran there.
    pub fn restart_agent(&mut self, index: usize) {
        let region = self.agents[index].region;
        let incarnation = self.new_incarnation();
        let slots = self.settings.slots;
        self.agents[index] = AgentNode::new(index, region, slots, incarnation, &self.controls);
        self.schedule(0, Event::Report(index, incarnation));
        let name = self.agents[index].name.clone();
        for entry in 0..self.entries.len() {
            let now = self.clock_time();
            let actions = self.entries[entry].book.disconnect_agent(&name, now);
            self.perform_book_actions(entry, actions);
            self.connect(entry);
            let granted = self.entries[entry].granted.clone();
            for (request, agent) in granted {
                if agent == index {
                    self.requeue(entry, request);
                }
            }
        }
    }

    /// Restarts a control node, which loses the totals of its flows.
    pub fn restart_control(&mut self, index: usize) {
        self.controls[index] = ControlNode::new(index, self.controls[index].region);
    }

    /// Closes the connection between an entry and an agent and opens it again.
    pub fn reconnect(&mut self, entry: usize, agent: usize) {
        let now = self.clock_time();
        let agent_name = self.agents[agent].name.clone();
        let entry_name = self.entries[entry].name.clone();
        let actions = self.entries[entry].book.disconnect_agent(&agent_name, now);
        self.perform_book_actions(entry, actions);
        let actions = self.agents[agent].table.disconnect_entry(&entry_name, now);
        self.perform_table_actions(agent, actions);
        self.connect(entry);
    }

    pub(super) fn connect(&mut self, entry: usize) {
        let region = self.entries[entry].region;
        let reachable = (0..self.agents.len()).filter(|agent| self.is_reachable(entry, *agent));
        let views = reachable.map(|agent| AgentView {
            name: self.agents[agent].name.clone(),
            service: ServiceName::from(SERVICE),
            is_local: self.agents[agent].region == region,
            free_slots: self.agents[agent].table.free_slots(),
        });
        let views = views.collect();
        let now = self.clock_time();
        let actions = self.entries[entry].book.set_agents(views, now);
        self.perform_book_actions(entry, actions);
        let name = self.entries[entry].name.clone();
        for agent in 0..self.agents.len() {
            if !self.is_reachable(entry, agent) {
                continue;
            }
            let actions = self.agents[agent].table.connect_entry(&name, now);
            self.perform_table_actions(agent, actions);
        }
    }

    /// Whether an entry and an agent are on the same side of the region partition, if there is one.
    pub fn is_reachable(&self, entry: usize, agent: usize) -> bool {
        let Some(region) = self.isolated_region else {
            return true;
        };
        (self.entries[entry].region == region) == (self.agents[agent].region == region)
    }

    /// Disconnects a region from the others, for sessions, runs and usage reports.
    pub fn isolate_region(&mut self, region: usize) {
        self.isolated_region = Some(region);
        let agents = (0..self.agents.len()).filter(|agent| self.agents[*agent].region == region);
        self.partition = agents.collect();
        let controls = self.controls.iter().enumerate();
        let inside = controls.filter(|(_, control)| control.region == region);
        self.partition_controls = inside.map(|(index, _)| index).collect();
        for entry in 0..self.entries.len() {
            for agent in 0..self.agents.len() {
                if !self.is_reachable(entry, agent) {
                    self.disconnect(entry, agent);
                }
            }
        }
    }

    /// Ends all partitions and reconnects entries and agents.
    pub fn restore_region(&mut self) {
        self.isolated_region = None;
        self.partition.clear();
        self.partition_controls.clear();
        for entry in 0..self.entries.len() {
            self.connect(entry);
        }
    }

    /// Closes the session between an entry and an agent, and ends the entry's runs there.
    fn disconnect(&mut self, entry: usize, agent: usize) {
        let now = self.clock_time();
        let agent_name = self.agents[agent].name.clone();
        let entry_name = self.entries[entry].name.clone();
        let actions = self.entries[entry].book.disconnect_agent(&agent_name, now);
        self.perform_book_actions(entry, actions);
        let actions = self.agents[agent].table.disconnect_entry(&entry_name, now);
        self.perform_table_actions(agent, actions);
        for (request, granted_agent) in self.entries[entry].granted.clone() {
            if granted_agent == agent {
                self.agents[agent].runs.remove(&request);
                let actions = self.agents[agent].table.finish(request, now);
                self.perform_table_actions(agent, actions);
                self.requeue(entry, request);
            }
        }
    }
}
