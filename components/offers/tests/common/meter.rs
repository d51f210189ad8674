//! Measurements of a simulation: service gaps, utilisation and violations of invariants.

use std::collections::BTreeMap;

/// Range of the difference in weighted service of two flows while both are backlogged.
#[derive(Debug, Clone, Copy)]
struct PairRange {
    min: f64,
    max: f64,
}

/// Measurements of one simulation.
#[derive(Debug, Default)]
pub struct FleetMeter {
    /// Service received by each organisation, in cost units.
    pub service: Vec<u64>,
    pub weights: Vec<f64>,
    pairs: BTreeMap<(usize, usize), PairRange>,
    /// Largest gap between any two flows in any interval in which both were backlogged.
    pub gap: f64,
    /// The two flows with the largest gap, and its time in ms.
    pub worst_pair: (usize, usize, u64),
    busy_samples: u64,
    slot_samples: u64,
    /// Descriptions of requests that waited for too long although an agent was free.
    pub idle_violations: Vec<String>,
    /// Number of offers sent to agents.
    pub offered: u64,
    pub claimed: u64,
    pub granted: u64,
    pub ended: u64,
    pub refused: u64,
    /// Bytes of the usage reports of all agents and their answers, with headers.
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

    /// Samples the gaps between the backlogged flows.
    pub fn sample_gaps(&mut self, backlogged: &[bool], now: u64) {
        let flows = self.service.len();
        for i in 0..flows {
            for j in i + 1..flows {
                if !backlogged[i] || !backlogged[j] {
                    self.pairs.remove(&(i, j));
                    continue;
                }
                let difference = self.share(i) - self.share(j);
                let range = self.pairs.entry((i, j)).or_insert(PairRange {
                    min: difference,
                    max: difference,
                });
                range.min = range.min.min(difference);
                range.max = range.max.max(difference);
                if range.max - range.min > self.gap {
                    self.gap = range.max - range.min;
                    self.worst_pair = (i, j, now);
                }
            }
        }
    }

    pub fn sample_slots(&mut self, busy: u64, slots: u64) {
        self.busy_samples += busy;
        self.slot_samples += slots;
    }

    /// Fraction of the slots in use while requests were waiting.
    pub fn utilisation(&self) -> f64 {
        self.busy_samples as f64 / self.slot_samples.max(1) as f64
    }

    /// Service of an organisation, in cost units, divided by its weight.
    pub fn share(&self, flow: usize) -> f64 {
        self.service[flow] as f64 / self.weights[flow]
    }

    /// Gap at the end of the simulation between flows that were backlogged throughout.
    pub fn final_gap(&self, flows: &[usize]) -> f64 {
        let shares: Vec<f64> = flows.iter().map(|flow| self.share(*flow)).collect();
        let max = shares.iter().copied().fold(f64::MIN, f64::max);
        let min = shares.iter().copied().fold(f64::MAX, f64::min);
        max - min
    }
}
