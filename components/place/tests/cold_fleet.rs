//! Requests of several entries to a cold target.

mod common;

use std::time::Duration;

use common::{request, table};
use place::{EntryPosition, EntryRoster, ListedTarget, PlacementOutcome, PlacementTable};
use units::{ClockTime, MilliRate, NodeName};

/// Requests per second that a cold target takes from all entries together, and the bound of a second.
const RATE: u64 = 20;
const MAX_PER_SECOND: usize = 35;

fn cold_target() -> ListedTarget {
    ListedTarget {
        cold_ms: 60_000,
        cold_rate: Some(MilliRate(RATE * 1_000)),
        ..common::target(1)
    }
}

fn warm_target() -> ListedTarget {
    ListedTarget {
        cold_ms: 0,
        ..cold_target()
    }
}

fn names(count: usize) -> Vec<NodeName> {
    (0..count)
        .map(|number| format!("entry-{number:02}").as_str().into())
        .collect()
}

fn sends(table: &mut PlacementTable, now: u64) -> bool {
    let outcome = table.place(&request(None), ClockTime(now));
    if let PlacementOutcome::Run(run) = outcome {
        table.end_run(run);
    }
    matches!(outcome, PlacementOutcome::Run(_))
}

fn most_in_a_second(sent: &[u64]) -> usize {
    let in_second = |start: &u64| {
        let second = *start..*start + 1_000;
        sent.iter().filter(|time| second.contains(time)).count()
    };
    sent.iter().map(in_second).max().unwrap_or(0)
}

/// Guards against entries that start one after the other and each take those before them for all,
/// because the control node that they follow has long been settled.
#[test]
fn entries_that_start_together_keep_the_rate_of_a_cold_target() {
    const ENTRIES: u64 = 12;
    const START_INTERVAL_MS: u64 = 50;
    const RENEW_INTERVAL_MS: u64 = 500;
    let names = names(ENTRIES as usize);
    let mut fleet: Vec<_> = names
        .iter()
        .map(|name| {
            let roster = EntryRoster::new(name.clone(), Duration::from_secs(12));
            let mut table = table(vec![cold_target()], EntryPosition::SINGLE);
            table.set_settled(false, ClockTime(0));
            (roster, table)
        })
        .collect();

    let mut sent = Vec::new();
    for now in 0..4_000 {
        let started = (now / START_INTERVAL_MS + 1).min(ENTRIES) as usize;
        for (index, (roster, table)) in fleet.iter_mut().enumerate().take(started) {
            let age = now - index as u64 * START_INTERVAL_MS;
            if age.is_multiple_of(RENEW_INTERVAL_MS) {
                roster.sync(names[..started].iter(), true, ClockTime(now));
                table.sync(vec![cold_target()], roster.position(), ClockTime(now));
                table.set_settled(roster.is_settled(), ClockTime(now));
            }
            sent.extend(sends(table, now).then_some(now));
        }
    }

    let most = most_in_a_second(&sent);
    assert!(most <= MAX_PER_SECOND, "{most}");
}

/// Guards against full load at a process that has started under the name of an earlier one, when a control
/// node that has just started does not list the target for a moment.
#[test]
fn gap_of_the_directory_does_not_hide_a_possible_restart() {
    let mut table = table(vec![warm_target()], EntryPosition::SINGLE);
    let PlacementOutcome::Run(refused) = table.place(&request(None), ClockTime(0)) else {
        panic!("the target takes no request");
    };
    table.record_possible_end(refused, ClockTime(10));
    table.end_run(refused);

    table.sync(Vec::new(), EntryPosition::SINGLE, ClockTime(500));
    table.sync(vec![warm_target()], EntryPosition::SINGLE, ClockTime(1_000));
    let sent = (1_100..2_100).filter(|now| sends(&mut table, *now)).count();

    assert!(sent <= MAX_PER_SECOND, "{sent}");
}

/// Guards against entries whose requests to a target that has become cold fall in the same moments.
#[test]
fn entries_that_hear_of_a_cold_target_together_keep_its_rate() {
    const ENTRIES: u32 = 19;
    let mut fleet: Vec<_> = (0..ENTRIES)
        .map(|rank| {
            let position = EntryPosition {
                rank,
                count: ENTRIES,
            };
            table(vec![cold_target()], position)
        })
        .collect();

    let mut sent = Vec::new();
    for now in 0..3_000 {
        for table in &mut fleet {
            sent.extend(sends(table, now).then_some(now));
        }
    }

    let most = most_in_a_second(&sent);
    assert!(most <= MAX_PER_SECOND, "{most}");
}

/// Guards against entries that send the whole rate that a target states, before they know each other.
#[test]
fn stated_limit_is_not_divided_by_an_unknown_number_of_entries() {
    let mut table = table(vec![common::target(1)], EntryPosition::SINGLE);
    table.set_settled(false, ClockTime(0));
    let PlacementOutcome::Run(run) = table.place(&request(None), ClockTime(0)) else {
        panic!("the target takes no request");
    };
    table.record_stated_limit(run, Some(MilliRate(20_000)), ClockTime(0));
    table.end_run(run);

    let sent = (1..1_001).filter(|now| sends(&mut table, *now)).count();

    assert!(sent <= 1, "{sent} of 20 by one entry that knows no other");
}

/// Guards against an entry that was cut off for longer than the retention time and takes the first ones that
/// a control node lists, which has just started, for all.
#[test]
fn list_of_a_node_that_is_not_settled_does_not_shrink_a_roster() {
    let names = names(12);
    let mut roster = EntryRoster::new(names[0].clone(), Duration::from_secs(12));
    roster.sync(names.iter(), true, ClockTime(0));

    roster.sync(names[..1].iter(), false, ClockTime(20_000));

    let count = roster.position().count;
    assert!(
        !roster.is_settled() || count == 12,
        "settled as one of {count}"
    );
}
