//! Size, load and timing of the fake fleet, and the bound that follows from them.

/// One-way delay within a region, in ms (rounded up to the clock's unit).
pub const NEAR_MS: u64 = 1;
/// One-way delay between regions, in ms.
pub const FAR_MS: u64 = 8;
/// Time between two rounds of usage reports, in ms.
pub const REPORT_MS: u64 = 500;
/// Time after which an exchange with a home has failed, in ms.
pub const EXCHANGE_MS: u64 = 1000;
/// Bytes of headers and acknowledgements of an exchange.
pub const OVERHEAD_BYTES: u64 = 160;
/// Time before another region is offered a request, in ms.
pub const SPILL_MS: u64 = 150;
/// Time between two waves of offers, in ms.
pub const WAVE_MS: u64 = 20;
/// Interval at which a run produces units, in ms.
pub const STEP_MS: u64 = 20;
/// Units that a run produces in a step.
pub const STEP_UNITS: u64 = 2;
/// Largest cost of a request, in units.
pub const MOST_COST: u64 = 40;
pub const TICK_MS: u64 = 5;
pub const SAMPLE_MS: u64 = 20;

/// Whether agents are told the totals of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharePolicy {
    /// Totals are summed at homes and passed on.
    Fleet,
    /// Each agent knows only its own service.
    AgentAlone,
}

/// Faults of usage reports and answers.
#[derive(Debug, Clone, Copy)]
pub struct ReportFaults {
    /// Messages of 100 that are lost.
    pub lost: u64,
    /// Messages of 100 that arrive twice.
    pub repeated: u64,
    /// Largest additional delay in ms; it is drawn for each message, so that they change their order.
    pub late_ms: u64,
}

/// Requests of one organisation at one entry.
#[derive(Debug, Clone)]
pub struct CallerLoad {
    pub organisation: usize,
    pub entry: usize,
    /// Time between two requests, in ms.
    pub every_ms: u64,
    /// Time of the first request, in ms.
    pub start_ms: u64,
}

/// Size and load of a fleet.
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
    /// Agents that a request is offered to in one wave.
    pub wave_size: usize,
    pub policy: SharePolicy,
    pub faults: Option<ReportFaults>,
    pub seed: u64,
}

impl FleetSettings {
    /// Units that all slots produce in a second.
    pub fn rate(&self) -> f64 {
        let slots = self.agents as f64 * f64::from(self.slots);
        slots * STEP_UNITS as f64 * 1000.0 / STEP_MS as f64
    }

    /// Time until all agents of a number are offered a request, in ms.
    pub fn wave_ms(&self, agents: usize) -> u64 {
        (agents.div_ceil(self.wave_size) as u64).saturating_sub(1) * WAVE_MS
    }

    /// The bound of section 3.2: `(C * D + (S + 1) * L) / w`, for totals that are `extra_ms` older
    /// than in a fleet without faults: two report rounds, and the way to the home and back.
    pub fn bound(&self, extra_ms: u64) -> f64 {
        let age_ms = 2 * REPORT_MS + 2 * FAR_MS + extra_ms;
        let slots = self.agents as f64 * f64::from(self.slots);
        let weight = f64::from(*self.weights.iter().min().expect("an organisation")) / 1000.0;
        (self.rate() * age_ms as f64 / 1000.0 + (slots + 1.0) * MOST_COST as f64) / weight
    }
}
