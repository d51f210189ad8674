//! Planned size of the fleet, and the budget of a node for control work.

/// Size and load of a fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSize {
    /// Nodes in front of the targets: entries and control hosts together.
    pub nodes: f64,
    /// Hosts set aside for control.
    pub control_hosts: f64,
    /// Targets, each with an agent.
    pub targets: f64,
    /// Requests per second at peak load.
    pub requests_per_s: f64,
    /// Tokens per second at peak load.
    pub tokens_per_s: f64,
    /// Interval between two tokens of a stream.
    pub token_interval_ms: f64,
    /// Number of organisations.
    pub organisations: f64,
    /// Number of backlogged organisations.
    pub backlogged_organisations: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Waiting requests per backlogged organisation (assumed).
    pub waiting_per_organisation: f64,
    /// Fraction of the requests that may not be repeated and are therefore recorded (assumed).
    pub recorded_fraction: f64,
    /// Fraction of the requests that belong to backlogged organisations (assumed).
    pub backlogged_fraction: f64,
    /// Number of services; the targets are divided equally among them.
    pub services: f64,
    /// Agents in one wave of offers. A request that is claimed in the first wave is offered to no
    /// others.
    pub wave_size: f64,
}

impl FleetSize {
    /// Planned size, to be reached within two years.
    pub const GOAL: Self = Self {
        nodes: 410.0,
        control_hosts: 7.0,
        targets: 600.0,
        requests_per_s: 3_100.0,
        tokens_per_s: 1_000_000.0,
        token_interval_ms: 73.0,
        organisations: 38_000.0,
        backlogged_organisations: 3_800.0,
        changes_per_day: 380.0,
        waiting_per_organisation: 4.0,
        recorded_fraction: 0.02,
        backlogged_fraction: 0.5,
        services: 24.0,
        wave_size: 4.0,
    };

    /// Number of entries.
    pub fn entries(&self) -> f64 {
        self.nodes - self.control_hosts
    }

    /// Number of requests that run concurrently, by Little's law.
    pub fn running_requests(&self) -> f64 {
        self.tokens_per_s * self.token_interval_ms / 1000.0
    }

    /// Number of waiting requests.
    pub fn waiting_requests(&self) -> f64 {
        self.backlogged_organisations * self.waiting_per_organisation
    }

    /// Agents of one service.
    ///
    /// A request that keeps waiting is offered to all of them, in one wave every 20 ms.
    pub fn agents_per_service(&self) -> f64 {
        self.targets / self.services
    }

    /// Mean number of agents that a request is offered to.
    pub fn offers_per_request(&self) -> f64 {
        (1.0 - self.backlogged_fraction) * self.wave_size
            + self.backlogged_fraction * self.agents_per_service()
    }

    /// Offers that an agent holds.
    pub fn offers_per_agent(&self) -> f64 {
        self.waiting_requests() * self.agents_per_service() / self.targets
    }

    /// Flows with offers at an agent: at most the backlogged flows of its service.
    pub fn flows_per_agent(&self) -> f64 {
        self.offers_per_agent()
            .min(self.backlogged_organisations / self.services)
    }

    /// Connections of an entry on which requests run or wait. An entry has one for each agent.
    pub fn connections_per_entry(&self) -> f64 {
        let requests_on_connections =
            self.running_requests() + self.waiting_requests() * self.agents_per_service();
        expected_occupied(requests_on_connections / self.entries(), self.targets)
    }

    /// Connections of an agent on which requests run or wait.
    pub fn connections_per_agent(&self) -> f64 {
        self.connections_per_entry() * self.entries() / self.targets
    }
}

/// Expected number of occupied bins when `items` are assigned to `bins` at random.
fn expected_occupied(items: f64, bins: f64) -> f64 {
    bins * (1.0 - (-items / bins).exp())
}

/// Maximum cost of control work on one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeBudget {
    /// Processor time in nanoseconds per second.
    pub cpu_ns_per_s: f64,
    /// Heap memory in bytes.
    pub memory_bytes: f64,
    /// Traffic in bytes per second, both directions.
    pub traffic_bytes_per_s: f64,
}

impl NodeBudget {
    /// Planned budget: 1.4% of a core, 64 MB and 8 KB/s.
    pub const GOAL: Self = Self {
        cpu_ns_per_s: 14_000_000.0,
        memory_bytes: 64_000_000.0,
        traffic_bytes_per_s: 8_000.0,
    };
}
