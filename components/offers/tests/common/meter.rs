//! What a run is measured by: gaps, utilisation, and rules that must always hold.

use std::collections::BTreeMap;

/// Range of the difference in service of one pair of flows while both are backlogged.
#[derive(Debug, Clone, Copy)]
struct PairRange {
    least: f64,
    most: f64,
}

/// Measurements of one run.
#[derive(Debug, Default)]
pub struct FleetMeter {
    /// Service received by each organisation, in units.
    pub service: Vec<u64>,
    pub weights: Vec<f64>,
    pairs: BTreeMap<(usize, usize), PairRange>,
    /// Largest gap of any two flows in any interval in which both were backlogged.
    pub gap: f64,
    pub worst: (usize, usize, u64),
    busy: u64,
    slots: u64,
    /// Longest time that a request waited although an agent that knew of it was free.
    pub idle_faults: Vec<String>,
    /// Offers that agents were sent.
    pub offered: u64,
    pub claimed: u64,
    pub granted: u64,
    pub ended: u64,
    pub refused: u64,
    /// Bytes of usage reports and answers of all agents, with headers.
    pub report_bytes: u64,
}

impl FleetMeter {
    pub fn new(weights: Vec<f64>) -> Self {
        Self {
            service: vec![0; weights.len()],
            weights,
            ..Self::default()
        }
    }

    /// Takes one sample of the gaps between the backlogged flows.
    pub fn sample_gaps(&mut self, backlogged: &[bool], now: u64) {
        let flows = self.service.len();
        for i in 0..flows {
            for j in i + 1..flows {
                if !backlogged[i] || !backlogged[j] {
                    self.pairs.remove(&(i, j));
                    continue;
                }
                let x = self.share(i) - self.share(j);
                let range = self
                    .pairs
                    .entry((i, j))
                    .or_insert(PairRange { least: x, most: x });
                range.least = range.least.min(x);
                range.most = range.most.max(x);
                if range.most - range.least > self.gap {
                    self.gap = range.most - range.least;
                    self.worst = (i, j, now);
                }
            }
        }
    }

    pub fn sample_slots(&mut self, busy: u64, slots: u64) {
        self.busy += busy;
        self.slots += slots;
    }

    /// Share of the slots that ran a request while work waited.
    pub fn utilisation(&self) -> f64 {
        self.busy as f64 / self.slots.max(1) as f64
    }

    /// Service of an organisation divided by its weight.
    pub fn share(&self, flow: usize) -> f64 {
        self.service[flow] as f64 / self.weights[flow]
    }

    /// Gap over the whole run of flows that were backlogged all the time.
    pub fn final_gap(&self, flows: &[usize]) -> f64 {
        let shares: Vec<f64> = flows.iter().map(|flow| self.share(*flow)).collect();
        let most = shares.iter().copied().fold(f64::MIN, f64::max);
        let least = shares.iter().copied().fold(f64::MAX, f64::min);
        most - least
    }
}
