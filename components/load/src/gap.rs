//! The gap in service between backlogged organisations over time.

use std::time::Duration;

use serde::Serialize;

/// Length of a step of the gap.
const STEP: Duration = Duration::from_millis(250);

/// Service that arrived at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceIncrement {
    /// Time since the start of the run.
    pub at: Duration,
    /// Cost units.
    pub units: f64,
}

/// What one organisation waited for and received.
#[derive(Debug, Clone, Default)]
pub struct ServiceHistory {
    /// Weight in the services text.
    pub weight: f64,
    /// Times in which a request waited, from its arrival to its start.
    pub waits: Vec<(Duration, Duration)>,
    /// Service received.
    pub increments: Vec<ServiceIncrement>,
}

/// Largest gap at one time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct GapPoint {
    /// Time since the start of the run, in seconds.
    pub at_s: f64,
    /// Largest gap between two organisations that have been backlogged together, in cost units over
    /// weight.
    pub gap: f64,
    /// Backlogged organisations.
    pub backlogged: usize,
}

/// The largest gap over all pairs, step by step.
///
/// An organisation is backlogged in a step if some request of it waits through the whole step. The
/// gap of a pair is the largest difference in service over any time within which both are
/// backlogged without a break.
pub fn largest_gap(records: &[ServiceHistory], end: Duration) -> Vec<GapPoint> {
    let steps = end.as_millis().div_ceil(STEP.as_millis()) as usize;
    let backlogged: Vec<Vec<bool>> = records.iter().map(|r| backlog(r, steps)).collect();
    let service: Vec<Vec<f64>> = records.iter().map(|r| service(r, steps)).collect();
    let mut points: Vec<GapPoint> = (0..steps)
        .map(|step| GapPoint {
            at_s: (STEP * (step as u32 + 1)).as_secs_f64(),
            gap: 0.0,
            backlogged: backlogged.iter().filter(|steps| steps[step]).count(),
        })
        .collect();
    for first in 0..records.len() {
        for second in first + 1..records.len() {
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

/// Running difference of a pair while both are backlogged.
#[derive(Debug, Default)]
struct PairGap {
    difference: f64,
    least: f64,
    most: f64,
}

impl PairGap {
    fn add(&mut self, change: f64) -> f64 {
        self.difference += change;
        self.least = self.least.min(self.difference);
        self.most = self.most.max(self.difference);
        (self.difference - self.least).max(self.most - self.difference)
    }
}

fn backlog(record: &ServiceHistory, steps: usize) -> Vec<bool> {
    // Waits that overlap or touch count as one, so that a queue is a backlog however short each
    // request waits.
    let mut waits = record.waits.clone();
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
            let (start, end) = (STEP * step, STEP * (step + 1));
            merged.iter().any(|wait| wait.0 <= start && wait.1 >= end)
        })
        .collect()
}

fn service(record: &ServiceHistory, steps: usize) -> Vec<f64> {
    let mut service = vec![0.0; steps];
    for piece in &record.increments {
        let step = (piece.at.as_millis() / STEP.as_millis()) as usize;
        if let Some(sum) = service.get_mut(step) {
            *sum += piece.units / record.weight;
        }
    }
    service
}
