//! Tests of target selection.

mod common;

use std::collections::BTreeSet;

use common::request;
use place::{
    ColdPacer, EntryPosition, ListedTarget, PlacementOutcome, PlacementRequest, PlacementTable,
    RequiredVersion, RunKey,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use units::{ClockTime, Incarnation, MilliRate};

/// A target in the region of the entry that is limited while it is cold.
fn target(number: u8) -> ListedTarget {
    ListedTarget {
        region: Some("bohemia".into()),
        cold_rate: Some(MilliRate(20_000)),
        ..common::target(number)
    }
}

fn table(targets: Vec<ListedTarget>) -> PlacementTable {
    common::table(targets, EntryPosition::SINGLE)
}

fn place(table: &mut PlacementTable, request: &PlacementRequest, now: u64) -> (RunKey, String) {
    match table.place(request, ClockTime(now)) {
        PlacementOutcome::Run(run) => {
            let name = table.target(run).unwrap().info.name.to_string();
            (run, name)
        }
        outcome => panic!("request was not placed: {outcome:?}"),
    }
}

/// Guards against sessions that move between targets, each of which processes the prompt again.
#[test]
fn session_stays_with_its_target_under_load() {
    let mut table = table((1..=4).map(target).collect());
    let (_, preferred) = place(&mut table, &request(Some(7)), 0);

    let later: BTreeSet<String> = (1..8)
        .map(|number| place(&mut table, &request(Some(7)), number * 20).1)
        .collect();

    assert_eq!(later, BTreeSet::from([preferred]));
}

/// Guards against a burst that queues at a target, where organisations do not take turns.
#[test]
fn late_target_gets_no_request_until_its_first_byte() {
    let mut table = table(vec![target(1), target(2)]);
    let (run, preferred) = place(&mut table, &request(Some(7)), 0);

    let blocked = table.place(&request(Some(7)), ClockTime(200));
    table.record_first_byte(run, ClockTime(210));
    let (_, next) = place(&mut table, &request(Some(7)), 210);

    assert_eq!(blocked, PlacementOutcome::NoCapacity);
    assert_eq!(next, preferred);
}

/// Guards against a session that waits for a stalled target while another one is free.
#[test]
fn session_leaves_a_target_that_exceeds_the_latency_objective() {
    let mut table = table((1..=2).map(target).collect());
    let (_, preferred) = place(&mut table, &request(Some(7)), 0);

    let (_, later) = place(&mut table, &request(Some(7)), 301);

    assert_ne!(later, preferred);
}

/// Guards against traffic to other regions while targets in the entry's region are free.
#[test]
fn targets_in_the_region_of_the_entry_are_preferred() {
    let mut remote = target(1);
    remote.region = Some("moravia".into());
    let mut table = table(vec![remote, target(2)]);

    let names: Vec<String> = (0..3)
        .map(|_| place(&mut table, &request(None), 0).1)
        .collect();

    assert_eq!(names, ["target-2"; 3]);
}

/// Guards against a request that runs outside the regions that both its route and its organisation
/// allow.
#[test]
fn target_is_in_every_set_of_regions() {
    let mut remote = target(1);
    remote.region = Some("moravia".into());
    let mut table = table(vec![remote, target(2)]);
    let restricted = PlacementRequest {
        regions: vec![
            BTreeSet::from(["moravia".into(), "bohemia".into()]),
            BTreeSet::from(["moravia".into()]),
        ],
        ..request(Some(1))
    };
    let unsatisfiable = PlacementRequest {
        regions: vec![BTreeSet::from(["silesia".into()])],
        ..request(Some(1))
    };

    let (_, name) = place(&mut table, &restricted, 0);

    assert_eq!(name, "target-1");
    assert_eq!(
        table.place(&unsatisfiable, ClockTime(0)),
        PlacementOutcome::NoTarget
    );
}

/// Guards against requests to a stopped target whose address another target has taken over.
#[test]
fn later_process_replaces_the_earlier_one_at_an_address() {
    let mut replacement = target(2);
    replacement.address = target(1).address;
    replacement.incarnation = Incarnation(2);
    let mut table = table(vec![replacement, target(1)]);

    let names: BTreeSet<String> = (0..4)
        .map(|_| place(&mut table, &request(None), 0).1)
        .collect();

    assert_eq!(names, BTreeSet::from(["target-2".to_string()]));
}

/// Guards against requests to a target that is draining, and retries at the same target.
#[test]
fn draining_and_tried_targets_are_excluded() {
    let mut draining = target(1);
    draining.is_serving = false;
    let mut table = table(vec![draining, target(2), target(3)]);
    let retry = PlacementRequest {
        tried: vec!["target-2".into()],
        ..request(None)
    };

    assert_eq!(place(&mut table, &retry, 0).1, "target-3");
}

/// Guards against an unreachable target that keeps receiving requests.
#[test]
fn failed_target_is_avoided_temporarily() {
    let mut table = table((1..=2).map(target).collect());
    let (run, failed) = place(&mut table, &request(None), 0);
    table.record_failure(run, ClockTime(0));
    table.end_run(run);

    let (_, next) = place(&mut table, &request(None), 10);
    let (_, later) = place(&mut table, &request(None), 1_001);

    assert_ne!(next, failed);
    assert_eq!(later, failed);
}

/// Guards against overload of a cold target: the requests of all entries in any window of one
/// second stay within its rate limit.
#[test]
fn all_entries_together_keep_the_cold_rate_limit() {
    let rate = MilliRate(20_000);
    let entries = 7;
    let mut sent: Vec<u64> = Vec::new();
    let mut pacers = vec![ColdPacer::default(); entries];

    for now in 0..5_000 {
        for pacer in &mut pacers {
            if pacer.is_open(ClockTime(now)) {
                pacer.record_request(rate, entries as u32, ClockTime(now));
                sent.push(now);
            }
        }
    }

    let max_in_window = (0..4_000)
        .map(|window_start| {
            sent.iter()
                .filter(|time| (window_start..window_start + 1_000).contains(*time))
                .count()
        })
        .max();
    // 20 per second, plus one for each of the 7 entries at the edges of the window.
    assert!(
        max_in_window <= Some(27),
        "{max_in_window:?} requests in one second"
    );
}

/// Guards against a target that is treated as warm although its latest announcement says cold.
#[test]
fn target_that_becomes_cold_again_is_rate_limited() {
    let mut table = table(vec![target(1)]);
    let mut cold = target(1);
    cold.sequence = 2;
    cold.cold_ms = 3_000;
    table.sync(vec![cold], EntryPosition::SINGLE, ClockTime(100));

    place(&mut table, &request(None), 100);

    assert_eq!(
        table.place(&request(None), ClockTime(120)),
        PlacementOutcome::NoCapacity
    );
    assert!(matches!(
        table.place(&request(None), ClockTime(3_101)),
        PlacementOutcome::Run(_)
    ));
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(11),
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against leaked slots: after all runs have ended, each target is idle, whatever the
    /// order of first bytes and ends, and whether or not the target was still listed.
    #[test]
    fn ended_runs_release_their_slots(
        steps in prop::collection::vec((0u8..4, any::<u8>()), 1..80)
    ) {
        let all: Vec<ListedTarget> = (1..=3).map(target).collect();
        let mut table = table(all.clone());
        let mut runs: Vec<RunKey> = Vec::new();
        for (now, (step, value)) in steps.into_iter().enumerate() {
            let now = ClockTime(now as u64);
            match step {
                0 => if let PlacementOutcome::Run(run) =
                    table.place(&request(Some(value.into())), now)
                {
                    runs.push(run);
                },
                1 if !runs.is_empty() => {
                    let _ = table.record_first_byte(runs[value as usize % runs.len()], now);
                }
                2 if !runs.is_empty() => {
                    let run = runs.swap_remove(value as usize % runs.len());
                    table.end_run(run);
                }
                _ => table.sync(all[..(value as usize % 3) + 1].to_vec(), EntryPosition::SINGLE, now),
            }
        }
        for run in runs {
            table.end_run(run);
        }

        table.sync(all, EntryPosition::SINGLE, ClockTime(1_000));
        for _ in 0..3 {
            let (run, _) = place(&mut table, &request(None), 1_000);
            prop_assert_eq!(table.target(run).unwrap().running, 1);
            prop_assert_eq!(table.target(run).unwrap().pending_work, 10);
        }
    }
}

/// Guards against a continued stream that is refused although a target of its version has capacity:
/// new streams of other sessions have filled those that its session prefers.
#[test]
fn continued_stream_uses_any_target_of_its_version() {
    let mut targets: Vec<ListedTarget> = (1..=6).map(target).collect();
    for target in &mut targets[4..] {
        target.version = Some("v2".into());
    }
    let mut table = table(targets);
    let continued = PlacementRequest {
        version: RequiredVersion::Only("v1".into()).into(),
        has_precedence: true,
        ..request(Some(7))
    };

    // Four targets of v1 have eight slots each.
    let names: Vec<String> = (0..32)
        .map(|_| {
            let (run, name) = place(&mut table, &continued, 0);
            table.record_first_byte(run, ClockTime(0));
            name
        })
        .collect();
    let outcome = table.place(&continued, ClockTime(0));

    assert!(names.iter().all(|name| name.as_str() < "target-5"));
    assert_eq!(outcome, PlacementOutcome::NoCapacity);
}

/// Guards against a stream that may be continued and begins at a target whose version control does
/// not know.
#[test]
fn unregistered_version_gets_no_stream_that_may_be_continued() {
    let mut unregistered = target(1);
    unregistered.version = None;
    let mut table = table(vec![unregistered]);
    let registered = PlacementRequest {
        version: RequiredVersion::Registered.into(),
        ..request(None)
    };

    let outcome = table.place(&registered, ClockTime(0));

    assert_eq!(outcome, PlacementOutcome::NoTarget);
    place(&mut table, &request(None), 0);
}
