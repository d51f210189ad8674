//! Size of the fleet to build towards, and the budget of a node.

/// Size of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSize {
    /// Nodes before the targets, entries and control nodes together.
    pub nodes: f64,
    /// Hosts set aside for control.
    pub controls: f64,
    /// Targets, each with an agent.
    pub targets: f64,
    /// Requests each second at the peak.
    pub requests: f64,
    /// Tokens each second at the peak.
    pub tokens: f64,
    /// Milliseconds between two tokens of a stream.
    pub token_interval_ms: f64,
    /// Organisations.
    pub organisations: f64,
    /// Backlogged organisations.
    pub backlogged: f64,
    /// Configuration changes each day.
    pub changes: f64,
    /// Waiting requests of a backlogged organisation (assumed).
    pub waiting_each: f64,
    /// Share of requests that may not be repeated (assumed).
    pub recorded_share: f64,
    /// Share of the requests whose organisations are backlogged (assumed).
    pub backlogged_runs: f64,
    /// Services, each with as many targets.
    pub services: f64,
    /// Agents that a request is offered to if it is claimed in the first wave.
    pub wave_size: f64,
}

impl FleetSize {
    /// The size that the fleet should reach within two years.
    pub const GOAL: Self = Self {
        nodes: 410.0,
        controls: 7.0,
        targets: 600.0,
        requests: 3_100.0,
        tokens: 1_000_000.0,
        token_interval_ms: 73.0,
        organisations: 38_000.0,
        backlogged: 3_800.0,
        changes: 380.0,
        waiting_each: 4.0,
        recorded_share: 0.02,
        backlogged_runs: 0.5,
        services: 24.0,
        wave_size: 4.0,
    };

    /// Entries.
    pub fn entries(&self) -> f64 {
        self.nodes - self.controls
    }

    /// Requests that run at once, by Little's law.
    pub fn running(&self) -> f64 {
        self.tokens * self.token_interval_ms / 1000.0
    }

    /// Waiting requests.
    pub fn waiting(&self) -> f64 {
        self.backlogged * self.waiting_each
    }

    /// Agents of one service. A request that waits is offered to all of them: a wave each 20 ms.
    pub fn service_agents(&self) -> f64 {
        self.targets / self.services
    }

    /// Agents that a request is offered to, in the mean.
    pub fn offers_each(&self) -> f64 {
        (1.0 - self.backlogged_runs) * self.wave_size + self.backlogged_runs * self.service_agents()
    }

    /// Offers that one agent holds.
    pub fn offers_held(&self) -> f64 {
        self.waiting() * self.service_agents() / self.targets
    }

    /// Flows with offers at one agent: at most the backlogged ones of its service.
    pub fn flows_held(&self) -> f64 {
        self.offers_held().min(self.backlogged / self.services)
    }

    /// Connections of an entry on which requests run or wait, of one for each agent.
    pub fn entry_connections(&self) -> f64 {
        let open = self.running() + self.waiting() * self.service_agents();
        distinct(open / self.entries(), self.targets)
    }

    /// Connections of an agent on which requests run or wait.
    pub fn agent_connections(&self) -> f64 {
        self.entry_connections() * self.entries() / self.targets
    }
}

/// Number of places that are taken when items are put on random ones.
fn distinct(items: f64, places: f64) -> f64 {
    places * (1.0 - (-items / places).exp())
}

/// What control work may cost on one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeBudget {
    /// Processor time in nanoseconds each second.
    pub time_ns: f64,
    /// Memory in bytes.
    pub memory: f64,
    /// Traffic in bytes each second.
    pub traffic: f64,
}

impl NodeBudget {
    /// 1.4% of a core, 64 MB and 8 KB/s.
    pub const GOAL: Self = Self {
        time_ns: 14_000_000.0,
        memory: 64_000_000.0,
        traffic: 8_000.0,
    };
}
