//! Restarts and broken connections of the fake network.

use offers::AgentView;
use units::ServiceName;

use super::network::FakeNetwork;
use super::nodes::{AgentNode, EntryNode, SERVICE};

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
            let actions = self.agents[agent].table.entry_lost(&name, now);
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
        self.agents[index] = AgentNode::new(index, region, self.settings.slots, incarnation);
        let name = self.agents[index].name.clone();
        for entry in 0..self.entries.len() {
            let now = self.time();
            let actions = self.entries[entry].book.agent_lost(&name, now);
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

    /// Breaks and restores the connection of an entry and an agent.
    pub fn reconnect(&mut self, entry: usize, agent: usize) {
        let now = self.time();
        let agent_name = self.agents[agent].name.clone();
        let entry_name = self.entries[entry].name.clone();
        let actions = self.entries[entry].book.agent_lost(&agent_name, now);
        self.book_actions(entry, actions);
        let actions = self.agents[agent].table.entry_lost(&entry_name, now);
        self.table_actions(agent, actions);
        self.connect(entry);
    }

    pub(super) fn connect(&mut self, entry: usize) {
        let region = self.entries[entry].region;
        let views = self.agents.iter().map(|agent| AgentView {
            name: agent.name.clone(),
            service: ServiceName::from(SERVICE),
            local: agent.region == region,
            free: agent.table.free(),
        });
        let views = views.collect();
        let now = self.time();
        let actions = self.entries[entry].book.set_agents(views, now);
        self.book_actions(entry, actions);
        let name = self.entries[entry].name.clone();
        for agent in 0..self.agents.len() {
            let actions = self.agents[agent].table.entry_connected(&name, now);
            self.table_actions(agent, actions);
        }
    }
}
