//! Versions and numbers of targets to which a request is bounded.

mod common;

use std::collections::BTreeSet;

use common::{request, table, target};
use place::{
    EntryPosition, ListedTarget, PlacementOutcome, PlacementRequest, PlacementTable,
    RequiredVersion, VersionRule,
};
use units::ClockTime;

/// Targets 1 to 4 run v1, targets 5 to 8 run v2.
fn two_versions() -> PlacementTable {
    let targets: Vec<ListedTarget> = (1..=8)
        .map(|number| ListedTarget {
            version: Some(if number <= 4 { "v1" } else { "v2" }.into()),
            ..target(number)
        })
        .collect();
    table(targets, EntryPosition::SINGLE)
}

/// Places requests until there is no capacity, and returns the names of the targets.
fn place_all(table: &mut PlacementTable, version: VersionRule) -> BTreeSet<String> {
    let placed = PlacementRequest {
        version,
        ..request(None)
    };
    let mut names = BTreeSet::new();
    while let PlacementOutcome::Run(run) = table.place(&placed, ClockTime(0)) {
        names.insert(table.target(run).unwrap().info.name.to_string());
    }
    names
}

/// Guards against a request that runs at a version which a roll-out does not allow.
#[test]
fn excluded_version_runs_nothing() {
    let mut table = two_versions();
    let rule = VersionRule {
        excluded: ["v2".into()].into(),
        ..VersionRule::default()
    };

    let names = place_all(&mut table, rule);

    assert_eq!(names.len(), 4);
    assert!(names.iter().all(|name| name.as_str() < "target-5"));
    assert_eq!(
        table.running_versions(&"advice".into(), &["v1".into()].into()),
        32
    );
    assert_eq!(
        table.running_versions(&"advice".into(), &["v2".into()].into()),
        0
    );
}

/// Guards against a small share that is spread over all targets, or over others at each entry.
#[test]
fn bounded_request_uses_the_same_targets_at_all_entries() {
    let rule = VersionRule {
        required: RequiredVersion::Only("v2".into()),
        max_targets: Some(2),
        ..VersionRule::default()
    };
    let (mut one, mut other) = (two_versions(), two_versions());

    let names = place_all(&mut one, rule.clone());

    assert_eq!(names.len(), 2);
    assert_eq!(names, place_all(&mut other, rule));
}

/// Guards against old targets that are stopped under running requests, because the directory does not list
/// them for a while.
#[test]
fn runs_at_unlisted_targets_count() {
    let mut table = two_versions();
    let rule = VersionRule {
        required: RequiredVersion::Only("v1".into()),
        ..VersionRule::default()
    };
    place_all(&mut table, rule);

    table.sync(Vec::new(), EntryPosition::SINGLE, ClockTime(1));

    let running = table.running_versions(&"advice".into(), &["v1".into()].into());
    assert_eq!(running, 32);
}
