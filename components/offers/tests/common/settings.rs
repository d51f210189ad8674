//! Size, load and timing of the simulated fleet, and the fairness bound that follows from them.

/// One-way delay within a region, in ms (rounded up to the unit of the clock).
pub const LOCAL_DELAY_MS: u64 = 1;
/// One-way delay between regions, in ms.
pub const REMOTE_DELAY_MS: u64 = 8;
/// Time between two rounds of usage reports, in ms.
pub const REPORT_INTERVAL_MS: u64 = 500;
/// Timeout of an exchange with a home, in ms.
pub const EXCHANGE_TIMEOUT_MS: u64 = 1000;
/// Bytes of headers and acknowledgements per exchange.
pub const EXCHANGE_OVERHEAD_BYTES: u64 = 160;
/// Time before a request is offered to other regions, in ms.
pub const SPILL_AFTER_MS: u64 = 150;
/// Time between two waves of offers, in ms.
pub const WAVE_INTERVAL_MS: u64 = 20;
/// Interval at which a run produces cost units, in ms.
pub const STEP_INTERVAL_MS: u64 = 20;
/// Cost units that a run produces per step.
pub const STEP_UNITS: u64 = 2;
/// Largest cost of a request, in cost units.
pub const MAX_COST: u64 = 40;
pub const TICK_INTERVAL_MS: u64 = 5;
pub const SAMPLE_INTERVAL_MS: u64 = 20;

/// Source of the usage totals by which agents choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharePolicy {
    /// Homes sum the usage of all agents and return the totals.
    FleetTotals,
    /// Each agent knows only the service that it has given itself.
    LocalTotals,
}

/// Faults injected into usage reports and answers.
#[derive(Debug, Clone, Copy)]
pub struct ReportFaults {
    /// Percentage of messages that are lost.
    pub lost_percent: u64,
    /// Percentage of messages that arrive twice.
    pub repeated_percent: u64,
    /// Maximum additional delay in ms; it is drawn for each message, so messages are reordered.
    pub max_delay_ms: u64,
}

/// Request stream of one organisation at one entry.
#[derive(Debug, Clone)]
pub struct CallerLoad {
    pub organisation: usize,
    pub entry: usize,
    /// Time between two requests, in ms.
    pub interval_ms: u64,
    /// Time of the first request, in ms.
    pub start_ms: u64,
}

/// Size and load of the simulated fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    pub regions: usize,
    pub entries: usize,
    pub agents: usize,
    pub controls: usize,
    pub slots: u32,
    pub weights: Vec<u32>,
    pub loads: Vec<CallerLoad>,
    pub max_waiting: u32,
    /// Maximum number of agents that a request is offered to in one wave.
    pub wave_size: usize,
    pub policy: SharePolicy,
    pub faults: Option<ReportFaults>,
    pub seed: u64,
}

impl FleetSettings {
    /// Cost units that all slots together produce per second.
    pub fn units_per_second(&self) -> f64 {
        let slots = self.agents as f64 * f64::from(self.slots);
        slots * STEP_UNITS as f64 * 1000.0 / STEP_INTERVAL_MS as f64
    }

    /// Time until a request has been offered to this number of agents, in ms.
    pub fn waves_duration_ms(&self, agents: usize) -> u64 {
        (agents.div_ceil(self.wave_size) as u64).saturating_sub(1) * WAVE_INTERVAL_MS
    }

    /// Fairness bound of docs/design.md, section 3.2: `(C * D + (S + 1) * L) / w`.
    ///
    /// The age `D` of the totals is two report rounds and one round trip to the home in a fleet
    /// without faults, plus `extra_ms`.
    pub fn bound(&self, extra_ms: u64) -> f64 {
        let age_ms = 2 * REPORT_INTERVAL_MS + 2 * REMOTE_DELAY_MS + extra_ms;
        let slots = self.agents as f64 * f64::from(self.slots);
        let weight = f64::from(*self.weights.iter().min().expect("weights is not empty")) / 1000.0;
        (self.units_per_second() * age_ms as f64 / 1000.0 + (slots + 1.0) * MAX_COST as f64)
            / weight
    }
}
