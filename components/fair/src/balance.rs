//! Weights of targets, so that sessions spread by what targets can serve in time.
//!
//! Sessions keep their target, and a hash spreads them unevenly: the busiest of twelve targets had
//! 1.3 times the mean and was late first. The home of a service sees how late each target begins its
//! answers, and gives late ones less weight in the choice of sessions' targets. All entries get the
//! same weights, so a session still has one target.

use std::collections::BTreeMap;
use std::time::Duration;

use units::ClockTime;
use wire::{TargetLateness, TargetWeight};

/// Weight of a target of which nothing is known.
pub const EVEN_TARGET: u32 = 1000;

/// Time between two changes of the weights. Each one moves sessions, whose prompts are read again.
const BALANCE_INTERVAL: Duration = Duration::from_secs(2);

/// Answers of a target that are needed to judge it.
const LEAST_ANSWERS: u64 = 12;

/// Mean lateness of all targets below which weights stay, in thousandths of the objective.
const CALM_PERMILLE: u64 = 200;

/// Distance from the mean lateness that is taken for chance, in percent.
const DEAD_PERCENT: u64 = 25;

/// Change of a weight in one step, in percent.
const STEP_PERCENT: u32 = 8;

/// Bounds of a weight.
const LEAST_WEIGHT: u32 = 500;
const MOST_WEIGHT: u32 = 1500;

/// Time after which a target without answers is forgotten.
const TARGET_MEMORY: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
struct TargetRecord {
    answers: u64,
    lateness_permille: u64,
    weight: u32,
    heard: ClockTime,
}

/// Weights of the targets of one service.
#[derive(Debug, Clone, Default)]
pub struct TargetBalance {
    targets: BTreeMap<u64, TargetRecord>,
    stepped: ClockTime,
}

impl TargetBalance {
    /// Takes in what an entry saw, and changes the weights if a step is due.
    pub fn observe(&mut self, seen: &[TargetLateness], now: ClockTime) {
        for target in seen {
            let record = self.targets.entry(target.target).or_insert(TargetRecord {
                answers: 0,
                lateness_permille: 0,
                weight: EVEN_TARGET,
                heard: now,
            });
            record.answers += target.answers;
            record.lateness_permille += target.lateness_permille;
            record.heard = now;
        }
        if now.since(self.stepped) >= BALANCE_INTERVAL {
            self.stepped = now;
            self.step(now);
        }
    }

    fn step(&mut self, now: ClockTime) {
        self.targets
            .retain(|_, record| now.since(record.heard) < TARGET_MEMORY);
        let records = || self.targets.values();
        let answers: u64 = records().map(|record| record.answers).sum();
        let total: u64 = records().map(|record| record.lateness_permille).sum();
        let mean = total / answers.max(1);
        for record in self.targets.values_mut() {
            if record.answers >= LEAST_ANSWERS && mean >= CALM_PERMILLE {
                record.shift(mean);
            }
            record.answers = 0;
            record.lateness_permille = 0;
        }
    }

    /// Weights that are not even.
    pub fn weights(&self) -> Vec<TargetWeight> {
        let targets = self.targets.iter();
        targets
            .filter(|(_, record)| record.weight != EVEN_TARGET)
            .map(|(target, record)| TargetWeight {
                target: *target,
                weight: record.weight,
            })
            .collect()
    }
}

impl TargetRecord {
    fn shift(&mut self, mean: u64) {
        let lateness = self.lateness_permille / self.answers;
        let step = self.weight * STEP_PERCENT / 100;
        if lateness * 100 > mean * (100 + DEAD_PERCENT) {
            self.weight = (self.weight - step).max(LEAST_WEIGHT);
        } else if lateness * 100 < mean * (100 - DEAD_PERCENT) {
            self.weight = (self.weight + step).min(MOST_WEIGHT);
        }
    }
}
