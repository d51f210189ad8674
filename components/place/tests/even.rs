//! Selection by the loads over all entries.

mod common;

use std::collections::BTreeMap;

use balance::{LoadHome, LoadLog, target_hash};
use common::{request, table, target};
use place::{
    EntryPosition, PlacementOutcome, PlacementRequest, PlacementTable, RequestMemory, RunKey,
};
use units::{ClockTime, Incarnation, SlotCount};
use wire::{HomeId, LoadReply, LoadReport, TargetLoad};

const CACHE_TOKENS: u64 = 200_000;

/// A table with five targets of an evened-out service, another entry, and the home of both.
struct Fleet {
    table: PlacementTable,
    other: LoadLog,
    home: LoadHome,
}

impl Fleet {
    fn new() -> Self {
        let targets = (1..=5).map(|number| place::ListedTarget {
            slots: SlotCount(64),
            ..target(number)
        });
        let position = EntryPosition { rank: 0, count: 2 };
        let mut table = table(targets.collect(), position);
        table.set_even_services(BTreeMap::from([("advice".into(), CACHE_TOKENS)]));
        Self {
            table,
            other: LoadLog::new(),
            home: LoadHome::new(HomeId(1)),
        }
    }

    /// Exchanges reports at time 0, first those of the other entry with these loads by number of target.
    fn exchange(&mut self, others: &[(u8, u32, u64)]) {
        let loads = others
            .iter()
            .map(|(number, running, held_tokens)| TargetLoad {
                target: target_hash(&target(*number).name),
                running: *running,
                held_tokens: *held_tokens,
                common_tokens: 0,
            });
        let report = self.other.take_report(loads);
        let reply = self.apply_report("other", &report);
        self.other.apply_reply(&reply);
        let report = self.table.take_load_report();
        let reply = self.apply_report("own", &report.expect("an evened-out service"));
        self.table.apply_load_reply(&reply, ClockTime(0));
    }

    fn apply_report(&mut self, name: &str, report: &LoadReport) -> LoadReply {
        let (name, incarnation) = (name.into(), Incarnation(1));
        self.home
            .apply_report(&name, incarnation, report, 2, ClockTime(0))
    }

    fn place_at(&mut self, request: &PlacementRequest, now: u64) -> (RunKey, u8) {
        place_at(&mut self.table, request, now)
    }
}

fn place_at(table: &mut PlacementTable, request: &PlacementRequest, now: u64) -> (RunKey, u8) {
    let PlacementOutcome::Run(run) = table.place(request, ClockTime(now)) else {
        panic!("Expected a run");
    };
    let name = &table.target(run).expect("a listed target").info.name;
    let number = name.as_str().rsplit('-').next().expect("a number");
    (run, number.parse().expect("a number"))
}

/// First and second target of session 7 in the order that its hash gives.
fn first_two() -> (u8, u8) {
    let mut fleet = Fleet::new();
    let (_, first) = fleet.place_at(&request(Some(7)), 0);
    let tried = PlacementRequest {
        tried: vec![target(first).name],
        ..request(Some(7))
    };
    (first, fleet.place_at(&tried, 0).1)
}

fn loads_with(first: u8, running: u32) -> Vec<(u8, u32, u64)> {
    let load = |number| if number == first { running } else { 10 };
    (1..=5)
        .map(|number| (number, load(number), 1_000))
        .collect()
}

/// Guards against sessions that stay at a target that other entries have loaded, and against moves by
/// a view that is too old or partial.
#[test]
fn session_moves_from_a_loaded_target_while_the_view_is_current() {
    let (first, second) = first_two();
    let mut fleet = Fleet::new();
    fleet.exchange(&loads_with(first, 20));
    let (run, number) = fleet.place_at(&request(Some(7)), 500);
    assert_eq!(number, second);
    let load_move = fleet.table.load_move(run).expect("a move because of loads");
    assert_eq!(load_move.first, target(first).name);
    assert!(load_move.first_load > load_move.mean && load_move.has_memory);
    assert_eq!(fleet.place_at(&request(Some(7)), 2_000).1, first);
}

/// Guards against prompts that are read again because loads differ a little or change often.
#[test]
fn session_stays_where_it_was_while_the_load_is_under_the_higher_bound() {
    let (first, second) = first_two();
    let mut fleet = Fleet::new();
    fleet.exchange(&loads_with(first, 12));
    assert_eq!(fleet.place_at(&request(Some(7)), 100).1, first);
    // Above the bound of a new session, and under that of a known one.
    fleet.exchange(&loads_with(first, 14));
    assert_eq!(fleet.place_at(&request(Some(7)), 100).1, first);
    fleet.exchange(&loads_with(first, 20));
    assert_eq!(fleet.place_at(&request(Some(7)), 100).1, second);
    fleet.exchange(&loads_with(first, 10));
    let (run, number) = fleet.place_at(&request(Some(7)), 100);
    assert_eq!((number, fleet.table.load_move(run)), (second, None));
}

/// Guards against a target that crashes because its requests exceed its memory.
#[test]
fn request_that_does_not_fit_into_memory_goes_elsewhere_or_waits() {
    let (first, second) = first_two();
    let mut fleet = Fleet::new();
    let large = PlacementRequest {
        memory: Some(RequestMemory::new(30_000, [(1, 6_000)], Some(400), 2_000)),
        ..request(Some(7))
    };
    let mut loads = loads_with(first, 10);
    loads[usize::from(first) - 1].2 = 170_000;
    fleet.exchange(&loads);
    assert_eq!(fleet.place_at(&large, 100).1, second);
    loads.iter_mut().for_each(|load| load.2 = 170_000);
    fleet.exchange(&loads);
    let outcome = fleet.table.place(&large, ClockTime(100));
    assert_eq!(outcome, PlacementOutcome::NoCapacity);
}
