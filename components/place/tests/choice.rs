//! Which target gets a request.

use std::collections::BTreeSet;
use std::time::Duration;

use place::{
    ColdPacer, ListedTarget, PlacementOutcome, PlacementRequest, PlacementSettings, PlacementTable,
    RunKey,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use units::{ClockTime, Incarnation, MilliRate, SlotCount};

const OBJECTIVE: Duration = Duration::from_millis(300);

fn target(number: u8) -> ListedTarget {
    ListedTarget {
        name: format!("target-{number}").as_str().into(),
        incarnation: Incarnation(1),
        sequence: 1,
        address: ([10, 0, 0, number], 8080).into(),
        service: "advice".into(),
        data_centre: "praha-1".into(),
        region: Some("bohemia".into()),
        slots: SlotCount(8),
        is_serving: true,
        cold_ms: 0,
        cold_rate: Some(MilliRate(20_000)),
    }
}

fn request(affinity: Option<u64>) -> PlacementRequest {
    PlacementRequest {
        service: "advice".into(),
        affinity,
        work: 10,
        cost: None,
        objective: OBJECTIVE,
        regions: Vec::new(),
        tried: Vec::new(),
    }
}

fn table(targets: Vec<ListedTarget>) -> PlacementTable {
    let mut table = PlacementTable::new(PlacementSettings {
        region: Some("bohemia".into()),
        avoid_time: Duration::from_secs(1),
    });
    table.sync(targets, 1, ClockTime(0));
    table
}

fn place(table: &mut PlacementTable, request: &PlacementRequest, now: u64) -> (RunKey, String) {
    match table.place(request, ClockTime(now)) {
        PlacementOutcome::Run(run) => {
            let name = table.target(run).unwrap().info.name.to_string();
            (run, name)
        }
        verdict => panic!("{verdict:?}"),
    }
}

/// Guards against sessions whose prompt is read again at one target after the other.
#[test]
fn session_stays_with_its_target_under_load() {
    let mut table = table((1..=4).map(target).collect());
    let (_, home) = place(&mut table, &request(Some(7)), 0);

    let later: BTreeSet<String> = (1..8)
        .map(|number| place(&mut table, &request(Some(7)), number * 20).1)
        .collect();

    assert_eq!(later, BTreeSet::from([home]));
}

/// Guards against a flood that queues at a target, where organisations take no turns.
#[test]
fn late_target_gets_no_more_until_it_answers() {
    let mut table = table(vec![target(1), target(2)]);
    let (run, home) = place(&mut table, &request(Some(7)), 0);

    let held = table.place(&request(Some(7)), ClockTime(200));
    table.record_first_byte(run, ClockTime(210));
    let (_, next) = place(&mut table, &request(Some(7)), 210);

    assert_eq!(held, PlacementOutcome::NoCapacity);
    assert_eq!(next, home);
}

/// Guards against a session that waits behind a target that has stalled while another one is free.
#[test]
fn session_leaves_a_target_that_is_late_by_its_objective() {
    let mut table = table((1..=2).map(target).collect());
    let (_, home) = place(&mut table, &request(Some(7)), 0);

    let (_, later) = place(&mut table, &request(Some(7)), 301);

    assert_ne!(later, home);
}

/// Guards against traffic between regions while targets of the own region are free.
#[test]
fn own_region_comes_first() {
    let mut remote = target(1);
    remote.region = Some("moravia".into());
    let mut table = table(vec![remote, target(2)]);

    let names: Vec<String> = (0..3)
        .map(|_| place(&mut table, &request(None), 0).1)
        .collect();

    assert_eq!(names, ["target-2"; 3]);
}

/// Guards against work outside the regions that a route and an organisation both allow.
#[test]
fn every_set_of_regions_binds() {
    let mut remote = target(1);
    remote.region = Some("moravia".into());
    let mut table = table(vec![remote, target(2)]);
    let bound = PlacementRequest {
        regions: vec![
            BTreeSet::from(["moravia".into(), "bohemia".into()]),
            BTreeSet::from(["moravia".into()]),
        ],
        ..request(Some(1))
    };
    let nowhere = PlacementRequest {
        regions: vec![BTreeSet::from(["silesia".into()])],
        ..request(Some(1))
    };

    let (_, name) = place(&mut table, &bound, 0);

    assert_eq!(name, "target-1");
    assert_eq!(
        table.place(&nowhere, ClockTime(0)),
        PlacementOutcome::NoTarget
    );
}

/// Guards against requests for a target that has ended and whose address another one uses.
#[test]
fn later_process_at_an_address_hides_the_earlier_one() {
    let mut reborn = target(2);
    reborn.address = target(1).address;
    reborn.incarnation = Incarnation(2);
    let mut table = table(vec![reborn, target(1)]);

    let names: BTreeSet<String> = (0..4)
        .map(|_| place(&mut table, &request(None), 0).1)
        .collect();

    assert_eq!(names, BTreeSet::from(["target-2".to_string()]));
}

/// Guards against new requests for a target that is leaving, and for one that had the request.
#[test]
fn leaving_and_tried_targets_are_passed_over() {
    let mut leaving = target(1);
    leaving.is_serving = false;
    let mut table = table(vec![leaving, target(2), target(3)]);
    let retry = PlacementRequest {
        tried: vec!["target-2".into()],
        ..request(None)
    };

    assert_eq!(place(&mut table, &retry, 0).1, "target-3");
}

/// Guards against a target that cannot be reached and gets request after request.
#[test]
fn failed_target_is_passed_over_for_a_while() {
    let mut table = table((1..=2).map(target).collect());
    let (run, failed) = place(&mut table, &request(None), 0);
    table.record_failure(run, ClockTime(0));
    table.end_run(run);

    let (_, next) = place(&mut table, &request(None), 10);
    let (_, later) = place(&mut table, &request(None), 1_001);

    assert_ne!(next, failed);
    assert_eq!(later, failed);
}

/// Guards against a cold target that falls over: all entries together keep its bound in any second.
#[test]
fn cold_target_gets_its_bound_from_all_entries_together() {
    let rate = MilliRate(20_000);
    let entries = 7;
    let mut sent: Vec<u64> = Vec::new();
    let mut paces = vec![ColdPacer::default(); entries];

    for now in 0..5_000 {
        for pace in &mut paces {
            if pace.is_open(ClockTime(now)) {
                pace.record_request(rate, entries as u32, ClockTime(now));
                sent.push(now);
            }
        }
    }

    let most = (0..4_000)
        .map(|begin| {
            sent.iter()
                .filter(|at| (begin..begin + 1_000).contains(*at))
                .count()
        })
        .max();
    // 20 a second, and one more for each entry at the edges of the window.
    assert!(most <= Some(27), "{most:?} requests in one second");
}

/// Guards against a target that is taken for warm although its newest announcement says cold.
#[test]
fn target_that_turns_cold_again_is_paced() {
    let mut table = table(vec![target(1)]);
    let mut cold = target(1);
    cold.sequence = 2;
    cold.cold_ms = 3_000;
    table.sync(vec![cold], 1, ClockTime(100));

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

    /// Guards against places that are lost: after all runs have ended, each target is empty, in
    /// whatever order they were answered and ended, and whether their target was listed or not.
    #[test]
    fn ended_runs_leave_nothing(steps in prop::collection::vec((0u8..4, any::<u8>()), 1..80)) {
        let all: Vec<ListedTarget> = (1..=3).map(target).collect();
        let mut table = table(all.clone());
        let mut runs: Vec<RunKey> = Vec::new();
        for (now, (step, value)) in steps.into_iter().enumerate() {
            let now = ClockTime(now as u64);
            match step {
                0 => if let PlacementOutcome::Run(run) = table.place(&request(Some(value.into())), now) {
                    runs.push(run);
                },
                1 if !runs.is_empty() => {
                    let _ = table.record_first_byte(runs[value as usize % runs.len()], now);
                }
                2 if !runs.is_empty() => {
                    let run = runs.swap_remove(value as usize % runs.len());
                    table.end_run(run);
                }
                _ => table.sync(all[..(value as usize % 3) + 1].to_vec(), 1, now),
            }
        }
        for run in runs {
            table.end_run(run);
        }

        table.sync(all, 1, ClockTime(1_000));
        for _ in 0..3 {
            let (run, _) = place(&mut table, &request(None), 1_000);
            prop_assert_eq!(table.target(run).unwrap().running, 1);
            prop_assert_eq!(table.target(run).unwrap().pending_work, 10);
        }
    }
}
