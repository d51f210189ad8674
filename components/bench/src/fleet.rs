//! Size of the fleet to build towards, and the budget of a node.

/// Size of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSize {
    /// Nodes before the targets, entries and control nodes together.
    pub nodes: f64,
    /// Hosts set aside for control.
    pub control_hosts: f64,
    /// Targets, each with an agent.
    pub targets: f64,
    /// Requests each second at the peak.
    pub requests_per_s: f64,
    /// Tokens each second at the peak.
    pub tokens_per_s: f64,
    /// Milliseconds between two tokens of a stream.
    pub token_interval_ms: f64,
    /// Organisations.
    pub organisations: f64,
    /// Backlogged organisations.
    pub backlogged_organisations: f64,
    /// Configuration changes each day.
    pub changes_per_day: f64,
    /// Waiting requests of a backlogged organisation (assumed).
    pub waiting_per_organisation: f64,
    /// Share of requests that may not be repeated (assumed).
    pub recorded_fraction: f64,
    /// Share of the requests whose organisations are backlogged (assumed).
    pub backlogged_fraction: f64,
    /// Services, each with as many targets.
    pub services: f64,
    /// Agents that a request is offered to if it is claimed in the first wave.
    pub wave_size: f64,
}

impl FleetSize {
    /// The size that the fleet should reach within two years.
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

    /// Entries.
    pub fn entries(&self) -> f64 {
        self.nodes - self.control_hosts
    }

    /// Requests that run at once, by Little's law.
    pub fn running_requests(&self) -> f64 {
        self.tokens_per_s * self.token_interval_ms / 1000.0
    }

    /// Waiting requests.
    pub fn waiting_requests(&self) -> f64 {
        self.backlogged_organisations * self.waiting_per_organisation
    }

    /// Agents of one service. A request that waits is offered to all of them: a wave each 20 ms.
    pub fn agents_per_service(&self) -> f64 {
        self.targets / self.services
    }

    /// Agents that a request is offered to, in the mean.
    pub fn offers_per_request(&self) -> f64 {
        (1.0 - self.backlogged_fraction) * self.wave_size
            + self.backlogged_fraction * self.agents_per_service()
    }

    /// Offers that one agent holds.
    pub fn offers_per_agent(&self) -> f64 {
        self.waiting_requests() * self.agents_per_service() / self.targets
    }

    /// Flows with offers at one agent: at most the backlogged ones of its service.
    pub fn flows_per_agent(&self) -> f64 {
        self.offers_per_agent()
            .min(self.backlogged_organisations / self.services)
    }

    /// Connections of an entry on which requests run or wait, of one for each agent.
    pub fn connections_per_entry(&self) -> f64 {
        let open = self.running_requests() + self.waiting_requests() * self.agents_per_service();
        distinct(open / self.entries(), self.targets)
    }

    /// Connections of an agent on which requests run or wait.
    pub fn connections_per_agent(&self) -> f64 {
        self.connections_per_entry() * self.entries() / self.targets
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
    pub cpu_ns_per_s: f64,
    /// Memory in bytes.
    pub memory_bytes: f64,
    /// Traffic in bytes each second.
    pub traffic_bytes_per_s: f64,
}

impl NodeBudget {
    /// 1.4% of a core, 64 MB and 8 KB/s.
    pub const GOAL: Self = Self {
        cpu_ns_per_s: 14_000_000.0,
        memory_bytes: 64_000_000.0,
        traffic_bytes_per_s: 8_000.0,
    };
}
