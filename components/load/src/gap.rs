//! Fairness measure: the largest difference in weighted service between backlogged organisations,
//! over time.

use std::time::Duration;

use serde::Serialize;

/// Resolution of [`largest_gap`].
const STEP_DURATION: Duration = Duration::from_millis(250);

/// Service that an organisation received at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceIncrement {
    /// Time since the start of the run.
    pub at: Duration,
    /// Amount in cost units.
    pub units: f64,
}

/// Waiting times of one organisation and the service that it received.
#[derive(Debug, Clone, Default)]
pub struct ServiceHistory {
    /// Weight in the services text.
    pub weight: f64,
    /// Intervals in which a request waited, each from its arrival to its start.
    pub waits: Vec<(Duration, Duration)>,
    /// Service received, in any order.
    pub increments: Vec<ServiceIncrement>,
}

/// Largest gap in one step.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct GapPoint {
    /// End of the step, in seconds since the start of the run.
    pub at_s: f64,
    /// Largest gap between two organisations that are both backlogged in this step, in cost units
    /// divided by the weight.
    pub gap: f64,
    /// Number of backlogged organisations.
    pub backlogged: usize,
}

/// Computes the largest gap over all pairs of organisations for each step up to `end`.
///
/// An organisation is backlogged in a step if it has a waiting request throughout the step. The gap
/// of a pair is the largest difference between the service that the two receive in any interval
/// that ends with the step and in which both are continuously backlogged.
pub fn largest_gap(histories: &[ServiceHistory], end: Duration) -> Vec<GapPoint> {
    let steps = end.as_millis().div_ceil(STEP_DURATION.as_millis()) as usize;
    let backlogged: Vec<Vec<bool>> = histories
        .iter()
        .map(|history| backlogged_steps(history, steps))
        .collect();
    let service: Vec<Vec<f64>> = histories
        .iter()
        .map(|history| service_per_step(history, steps))
        .collect();
    let mut points: Vec<GapPoint> = (0..steps)
        .map(|step| GapPoint {
            at_s: (STEP_DURATION * (step as u32 + 1)).as_secs_f64(),
            gap: 0.0,
            backlogged: backlogged.iter().filter(|steps| steps[step]).count(),
        })
        .collect();
    for first in 0..histories.len() {
        for second in first + 1..histories.len() {
            let mut pair = PairGap::default();
            for (step, point) in points.iter_mut().enumerate() {
                if !(backlogged[first][step] && backlogged[second][step]) {
                    pair = PairGap::default();
                    continue;
                }
                let gap = pair.add(service[first][step] - service[second][step]);
                point.gap = point.gap.max(gap);
            }
        }
    }
    points
}

/// Difference between the service of two organisations since both became backlogged.
#[derive(Debug, Default)]
struct PairGap {
    difference: f64,
    min_difference: f64,
    max_difference: f64,
}

impl PairGap {
    fn add(&mut self, change: f64) -> f64 {
        self.difference += change;
        self.min_difference = self.min_difference.min(self.difference);
        self.max_difference = self.max_difference.max(self.difference);
        (self.difference - self.min_difference).max(self.max_difference - self.difference)
    }
}

fn backlogged_steps(history: &ServiceHistory, steps: usize) -> Vec<bool> {
    // Waits that overlap or adjoin are merged, so that a continuous queue of requests counts as a
    // backlog even if each of them waits for less than a step.
    let mut waits = history.waits.clone();
    waits.sort();
    let mut merged: Vec<(Duration, Duration)> = Vec::new();
    for (start, end) in waits {
        match merged.last_mut() {
            Some(last) if start <= last.1 => last.1 = last.1.max(end),
            _ => merged.push((start, end)),
        }
    }
    (0..steps as u32)
        .map(|step| {
            let (start, end) = (STEP_DURATION * step, STEP_DURATION * (step + 1));
            merged.iter().any(|wait| wait.0 <= start && wait.1 >= end)
        })
        .collect()
}

fn service_per_step(history: &ServiceHistory, steps: usize) -> Vec<f64> {
    let mut service = vec![0.0; steps];
    for increment in &history.increments {
        let step = (increment.at.as_millis() / STEP_DURATION.as_millis()) as usize;
        if let Some(step_service) = service.get_mut(step) {
            *step_service += increment.units / history.weight;
        }
    }
    service
}
