//! Load pattern: sessions of unequal size that keep their targets.

use fair::{EVEN_TARGET, TargetBalance};
use units::ClockTime;
use wire::{TargetLateness, stable_hash};

const TARGETS: u64 = 12;

/// Size of a session, from one to nine.
fn size(session: u64) -> u64 {
    1 + stable_hash(&[b"size", &session.to_le_bytes()]) % 9
}

/// The target of a session by weighted rendezvous, as in `place`.
fn home(session: u64, weights: &[u32]) -> usize {
    let score = |target: &u64| {
        let hash = stable_hash(&[&session.to_le_bytes(), &target.to_le_bytes()]);
        let part = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        f64::from(weights[*target as usize]) / -part.ln()
    };
    let best = (0..TARGETS).max_by(|one, other| score(one).total_cmp(&score(other)));
    best.unwrap() as usize
}

fn loads(weights: &[u32]) -> Vec<u64> {
    let mut loads = vec![0; TARGETS as usize];
    for session in 0..160 {
        loads[home(session, weights)] += size(session);
    }
    loads
}

/// Largest load over the mean.
fn imbalance(loads: &[u64]) -> f64 {
    let total: u64 = loads.iter().sum();
    *loads.iter().max().unwrap() as f64 * loads.len() as f64 / total as f64
}

/// Answers of a target under a load: late as in a queue, the more the closer it is to its capacity.
fn lateness(load: u64, capacity: f64) -> u64 {
    let used = (load as f64 / capacity).min(0.95);
    (150.0 / (1.0 - used)) as u64
}

/// Guards against a target that stays the busiest for as long as its sessions live: with the weights
/// the busiest has at most 1.2 of the mean, with the hash alone more.
#[test]
fn late_targets_lose_sessions_until_loads_are_even() {
    let mut balance = TargetBalance::default();
    let mut weights = vec![EVEN_TARGET; TARGETS as usize];
    let before = imbalance(&loads(&weights));
    let capacity = loads(&weights).iter().sum::<u64>() as f64 / TARGETS as f64 / 0.7;

    for round in 1..30 {
        let seen: Vec<TargetLateness> = (0..TARGETS)
            .zip(loads(&weights))
            .map(|(target, load)| TargetLateness {
                target,
                answers: 20,
                lateness_permille: 20 * lateness(load, capacity),
            })
            .collect();
        balance.observe(&seen, ClockTime(round * 2_000));
        for weight in balance.weights() {
            weights[weight.target as usize] = weight.weight;
        }
    }

    let after = imbalance(&loads(&weights));
    assert!(before > 1.25, "{before}");
    assert!(after <= 1.2, "{after}");
}

/// Guards against sessions that move about while everything is in time.
#[test]
fn calm_targets_keep_their_sessions() {
    let mut balance = TargetBalance::default();

    for round in 1..10 {
        let seen: Vec<TargetLateness> = (0..TARGETS)
            .map(|target| TargetLateness {
                target,
                answers: 20,
                lateness_permille: 20 * (50 + 20 * target),
            })
            .collect();
        balance.observe(&seen, ClockTime(round * 2_000));
    }

    assert!(balance.weights().is_empty());
}
