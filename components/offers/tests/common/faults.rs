//! Restarts and broken connections of the fake network.

use offers::AgentView;
use units::ServiceName;

use super::network::{Event, FakeNetwork};
use super::nodes::{AgentNode, ControlNode, EntryNode, SERVICE};

impl FakeNetwork {
    /// Restarts an entry with empty memory; its callers send their requests again.
    pub fn restart_entry(&mut self, index: usize) {
        let region = self.entries[index].region;
        let incarnation = self.incarnation();
        let fresh = EntryNode::new(index, region, incarnation, self.settings.wave_size);
        let old = std::mem::replace(&mut self.entries[index], fresh);
        let now = self.time();
        for agent in 0..self.agents.len() {
            let name = old.name.clone();
            let actions = self.agents[agent].table.disconnect_entry(&name, now);
            self.table_actions(agent, actions);
        }
        self.connect(index);
        for request in old.open.into_values() {
            self.holders.remove(&request.id);
            self.enqueue(index, request);
        }
    }

    /// Restarts an agent with empty memory; entries offer what it ran again.
    pub fn restart_agent(&mut self, index: usize) {
        let region = self.agents[index].region;
        let incarnation = self.incarnation();
        let slots = self.settings.slots;
        self.agents[index] = AgentNode::new(index, region, slots, incarnation, &self.controls);
        self.after(0, Event::Report(index, incarnation));
        let name = self.agents[index].name.clone();
        for entry in 0..self.entries.len() {
            let now = self.time();
            let actions = self.entries[entry].book.disconnect_agent(&name, now);
            self.book_actions(entry, actions);
            self.connect(entry);
            let granted = self.entries[entry].granted.clone();
            for (request, agent) in granted {
                if agent == index {
                    self.requeue(entry, request);
                }
            }
        }
    }

    /// Restarts a control node: the homes of its flows know nothing.
    pub fn restart_control(&mut self, index: usize) {
        self.controls[index] = ControlNode::new(index, self.controls[index].region);
    }

    /// Breaks and restores the connection of an entry and an agent.
    pub fn reconnect(&mut self, entry: usize, agent: usize) {
        let now = self.time();
        let agent_name = self.agents[agent].name.clone();
        let entry_name = self.entries[entry].name.clone();
        let actions = self.entries[entry].book.disconnect_agent(&agent_name, now);
        self.book_actions(entry, actions);
        let actions = self.agents[agent].table.disconnect_entry(&entry_name, now);
        self.table_actions(agent, actions);
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
        let now = self.time();
        let actions = self.entries[entry].book.set_agents(views, now);
        self.book_actions(entry, actions);
        let name = self.entries[entry].name.clone();
        for agent in 0..self.agents.len() {
            if !self.is_reachable(entry, agent) {
                continue;
            }
            let actions = self.agents[agent].table.connect_entry(&name, now);
            self.table_actions(agent, actions);
        }
    }

    /// Whether an entry and an agent are on the same side of the cut.
    pub fn is_reachable(&self, entry: usize, agent: usize) -> bool {
        let Some(region) = self.cut else {
            return true;
        };
        (self.entries[entry].region == region) == (self.agents[agent].region == region)
    }

    /// Cuts a region off from the others, for sessions, runs and usage reports.
    pub fn cut_region(&mut self, region: usize) {
        self.cut = Some(region);
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

    /// Ends the cut.
    pub fn heal(&mut self) {
        self.cut = None;
        self.partition.clear();
        self.partition_controls.clear();
        for entry in 0..self.entries.len() {
            self.connect(entry);
        }
    }

    /// Ends the session of an entry and an agent, and the entry's runs at the agent.
    fn disconnect(&mut self, entry: usize, agent: usize) {
        let now = self.time();
        let agent_name = self.agents[agent].name.clone();
        let entry_name = self.entries[entry].name.clone();
        let actions = self.entries[entry].book.disconnect_agent(&agent_name, now);
        self.book_actions(entry, actions);
        let actions = self.agents[agent].table.disconnect_entry(&entry_name, now);
        self.table_actions(agent, actions);
        for (request, holder) in self.entries[entry].granted.clone() {
            if holder == agent {
                self.agents[agent].runs.remove(&request);
                let actions = self.agents[agent].table.finish(request, now);
                self.table_actions(agent, actions);
                self.requeue(entry, request);
            }
        }
    }
}
