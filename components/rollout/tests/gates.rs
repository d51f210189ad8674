//! Versions that entries may use by the records of roll-outs.

use std::collections::BTreeSet;
use std::time::Duration;

use rollout::{
    RolloutOrder, RolloutPhase, RolloutPlan, RolloutStep, RolloutTable, RunStart, SelectedVersion,
    VersionChoice, VersionGates,
};
use units::{ClockTime, ServiceName, SoftwareVersion};

fn order(to: &str) -> RolloutOrder {
    RolloutOrder {
        service: "visits".into(),
        to: to.into(),
        duration_ms: 12_000,
    }
}

/// A table in which v2 was rolled back, and a roll-out of v1 and v2 to another version has begun.
fn table_after_roll_back(to: &str) -> RolloutTable {
    let mut table = RolloutTable::default();
    table.start(&order("v2"), ["v1".into(), "v2".into()].into(), 0);
    let record = table.get(&"visits".into()).unwrap();
    let step = RolloutStep {
        service: "visits".into(),
        number: record.number,
        phase: RolloutPhase::RolledBack {
            reason: "bad responses".into(),
        },
    };
    table.advance(&step, 1_000);
    table.start(&order(to), ["v1".into(), "v2".into()].into(), 20_000);
    table
}

fn may_run(gates: &mut VersionGates, version: &str) -> bool {
    let selected = SelectedVersion {
        route: 1,
        version: Some(&version.into()),
        is_canary: true,
        is_continued: false,
        is_cold: false,
    };
    let now = ClockTime::default() + Duration::from_secs(1);
    gates.begin_run(&"visits".into(), &selected, now) != RunStart::Refused
}

/// Guards against a version that was rolled back and gets requests as an old one of the next order.
#[test]
fn rolled_back_version_stays_barred_until_an_order_names_it() {
    let service = ServiceName::from("visits");
    let mut gates = VersionGates::new();

    gates.sync(&table_after_roll_back("v3"), 100, 0, 1);
    let Some(VersionChoice::Without { excluded, .. }) = gates.choose(&service, true, true) else {
        panic!("the first request goes to the new version");
    };
    assert_eq!(excluded, ["v2".into(), "v3".into()].into());
    assert!(may_run(&mut gates, "v1"));
    assert!(!may_run(&mut gates, "v2"));

    gates.sync(&table_after_roll_back("v2"), 100, 0, 1);
    assert!(may_run(&mut gates, "v2"));
}

/// Guards against an entry that sends requests to a new version by a configuration that no quorum
/// has confirmed.
#[test]
fn unconfirmed_entry_sends_nothing_to_the_new_version() {
    let mut gates = VersionGates::new();
    gates.sync(&table_after_roll_back("v3"), 100, 0, 1);

    for _ in 0..200 {
        let choice = gates.choose(&"visits".into(), false, true);
        assert!(matches!(choice, Some(VersionChoice::Without { .. })));
    }
}

/// Guards against an order to the only version of a service, which would leave its requests without
/// a target.
#[test]
fn only_version_of_a_service_runs_all_requests() {
    let mut table = RolloutTable::default();
    table.start(&order("v1"), ["v1".into()].into(), 0);
    let mut gates = VersionGates::new();
    gates.sync(&table, 100, 0, 1);

    for _ in 0..100 {
        let choice = gates.choose(&"visits".into(), true, true);
        let Some(VersionChoice::Without { excluded, .. }) = choice else {
            panic!("a request goes to the canary targets");
        };
        assert!(excluded.is_empty());
        assert!(may_run(&mut gates, "v1"));
    }
}

/// Guards against canary targets with much more load than old targets, which slows a good version
/// down, and with so little that faults under load do not show.
#[test]
fn canary_targets_have_about_the_load_of_old_targets() {
    for old_targets in 1..=180 {
        for share_permille in [22, 45, 90] {
            let share = old_targets as f64 * f64::from(share_permille) / 1_000.0;
            let load = share / RolloutPlan::canary_targets(share_permille, old_targets) as f64;
            let is_sufficient = share < 1.0 || load > 0.5;
            assert!(load <= 1.15 && is_sufficient, "{load} of {old_targets}");
        }
    }
}

/// Guards against a second order for the version in force that takes its requests away, since the
/// versions before it are still registered but have no targets.
#[test]
fn order_for_the_version_in_force_keeps_its_requests() {
    let versions: BTreeSet<SoftwareVersion> = ["v1".into(), "v2".into()].into();
    let mut table = RolloutTable::default();
    table.start(&order("v2"), versions.clone(), 0);
    for phase in [RolloutPhase::Draining, RolloutPhase::Completed] {
        let number = table.get(&"visits".into()).unwrap().number;
        let service = "visits".into();
        let step = RolloutStep {
            service,
            number,
            phase,
        };
        assert!(table.advance(&step, 1_000));
    }

    table.start(&order("v2"), versions, 60_000);

    let record = table.get(&"visits".into()).unwrap();
    assert!(record.old.is_empty(), "{record:?}");
    assert!(record.barred.contains(&"v1".into()), "{record:?}");
}

/// Guards against a rolled-back version that gets requests after the next order, because it had no target
/// at that moment.
#[test]
fn rolled_back_version_without_targets_stays_barred() {
    let mut table = table_after_roll_back("v1");
    let number = table.get(&"visits".into()).unwrap().number;
    let step = RolloutStep {
        service: "visits".into(),
        number,
        phase: RolloutPhase::RolledBack {
            reason: "no target".into(),
        },
    };
    table.advance(&step, 30_000);

    table.start(&order("v3"), ["v1".into()].into(), 90_000);

    let record = table.get(&"visits".into()).unwrap();
    assert!(record.barred.contains(&"v2".into()), "{record:?}");
}
