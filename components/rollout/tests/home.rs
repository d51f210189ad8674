//! Ends of a roll-out whose new version serves nothing.

use std::collections::BTreeSet;

use rollout::{
    RolloutBounds, RolloutFleet, RolloutHome, RolloutOrder, RolloutPhase, RolloutStep, RolloutTable,
};
use units::{ClockTime, ServiceName};

const DURATION_MS: u64 = 12_000;

const BOUNDS: RolloutBounds = RolloutBounds {
    exposure_permille: 100,
    exposure_slack: 50,
    rollback_ms: 5_000,
};

fn service() -> ServiceName {
    "visits".into()
}

fn started() -> RolloutTable {
    let mut table = RolloutTable::default();
    let order = RolloutOrder {
        service: service(),
        to: "v2".into(),
        duration_ms: DURATION_MS,
    };
    table.start(&order, ["v1".into()].into(), 0);
    table
}

fn fleet(new_serving: usize) -> RolloutFleet {
    RolloutFleet {
        is_installed: true,
        is_lease_passed: true,
        live_entries: BTreeSet::new(),
        new_serving,
        old_serving: 4,
        has_service: true,
    }
}

/// Asks for the next step every 250 ms until a minute after the time limit.
fn play(table: &mut RolloutTable, new_serving: usize) -> RolloutPhase {
    let mut home = RolloutHome::new();
    for now_ms in (0..DURATION_MS + 60_000).step_by(250) {
        let record = table.get(&service()).unwrap();
        let step = home.next_step(record, &fleet(new_serving), &BOUNDS, ClockTime(now_ms));
        if let Some(step) = step {
            table.advance(&step, now_ms);
        }
    }
    table.get(&service()).unwrap().phase.clone()
}

fn rolled_back(reason: &str) -> RolloutPhase {
    RolloutPhase::RolledBack {
        reason: reason.into(),
    }
}

/// Guards against old targets that are stopped although no request has reached the new ones.
#[test]
fn version_that_never_answers_is_rolled_back() {
    assert_eq!(play(&mut started(), 4), rolled_back("no answer"));
}

/// Guards against a roll-out that stops the old targets, or never ends, after all new ones have died.
#[test]
fn version_without_targets_is_rolled_back_while_old_runs_end() {
    let mut table = started();
    let number = table.get(&service()).unwrap().number;
    let step = RolloutStep {
        service: service(),
        number,
        phase: RolloutPhase::Draining,
    };
    table.advance(&step, 0);

    assert_eq!(play(&mut table, 0), rolled_back("no target"));
}
