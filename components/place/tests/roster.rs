//! Entries among which rates are divided.

mod common;

use std::time::Duration;

use common::{request, table};
use place::{EntryPosition, EntryRoster, ListedTarget, PlacementOutcome, PlacementTable};
use units::{ClockTime, MilliRate, NodeName};

const RETENTION: Duration = Duration::from_secs(10);

/// Requests per second that a cold target takes from all entries together.
const RATE: u64 = 20;

/// Number of entries of the fleet.
const ENTRIES: usize = 12;

fn names(numbers: std::ops::Range<usize>) -> Vec<NodeName> {
    numbers
        .map(|number| format!("entry-{number:02}").as_str().into())
        .collect()
}

/// An entry with a cold target, and what it knows of the other entries.
struct TestEntry {
    roster: EntryRoster,
    table: PlacementTable,
}

impl TestEntry {
    fn new(number: usize) -> Self {
        let cold = ListedTarget {
            cold_ms: 60_000,
            cold_rate: Some(MilliRate(RATE * 1_000)),
            ..common::target(1)
        };
        let own = names(number..number + 1).remove(0);
        let mut entry = Self {
            roster: EntryRoster::new(own, RETENTION),
            table: table(vec![cold], EntryPosition::SINGLE),
        };
        entry.table.set_settled(false, ClockTime(0));
        entry
    }

    /// Takes over a directory with these entries.
    fn hear(&mut self, listed: &[NodeName], is_settled: bool, now: u64) {
        let now = ClockTime(now);
        self.roster.sync(listed.iter(), is_settled, now);
        let targets = self.table.listed_targets().cloned().collect();
        self.table.sync(targets, self.roster.position(), now);
        self.table.set_settled(self.roster.is_settled(), now);
    }

    fn sends(&mut self, now: u64) -> bool {
        let outcome = self.table.place(&request(None), ClockTime(now));
        if let PlacementOutcome::Run(run) = outcome {
            self.table.end_run(run);
        }
        matches!(outcome, PlacementOutcome::Run(_))
    }
}

fn fleet() -> Vec<TestEntry> {
    (0..ENTRIES).map(TestEntry::new).collect()
}

/// Most requests of all entries in a second, if one waits everywhere at any time.
fn most_in_a_second(fleet: &mut [TestEntry], times: std::ops::Range<u64>) -> usize {
    let mut sent = Vec::new();
    for now in times {
        let count = fleet
            .iter_mut()
            .filter_map(|entry| entry.sends(now).then_some(now));
        sent.extend(count);
    }
    let in_second = |start: &u64| {
        let second = *start..*start + 1_000;
        sent.iter().filter(|time| second.contains(time)).count()
    };
    sent.iter().map(in_second).max().unwrap_or(0)
}

/// Requests of a second at the rate, and one for each entry at its edge.
const MAX_PER_SECOND: usize = RATE as usize + ENTRIES;

/// Guards against entries that each send the whole rate of a cold target, because the control node that
/// they follow has just started and lists no others.
#[test]
fn entries_of_a_restarted_control_node_keep_their_part_of_a_rate() {
    let mut fleet = fleet();
    for entry in &mut fleet {
        entry.hear(&names(0..ENTRIES), true, 0);
        entry.hear(&names(0..ENTRIES), true, 2_000);
    }
    most_in_a_second(&mut fleet, 2_000..4_000);

    for (number, entry) in fleet.iter_mut().enumerate() {
        entry.hear(&names(number..number + 1), false, 4_000);
    }
    let most = most_in_a_second(&mut fleet, 4_000..6_000);

    assert!(most <= MAX_PER_SECOND, "{most}");
}

/// Guards against entries that each send the whole rate after all processes have restarted, before any
/// control node has heard of all entries.
#[test]
fn restarted_entries_send_nothing_to_cold_targets_before_they_know_each_other() {
    let mut fleet = fleet();
    for (number, entry) in fleet.iter_mut().enumerate() {
        entry.hear(&names(number..number + 1), false, 0);
    }

    let unsettled = most_in_a_second(&mut fleet, 0..1_000);
    for entry in &mut fleet {
        entry.hear(&names(0..ENTRIES), true, 1_000);
        entry.hear(&names(0..ENTRIES), true, 3_000);
    }
    let settled = most_in_a_second(&mut fleet, 3_000..6_000);

    assert_eq!(unsettled, 0);
    assert!(
        (RATE as usize / 2..=MAX_PER_SECOND).contains(&settled),
        "{settled}"
    );
}

/// Guards against entries that are counted for good after they have left.
#[test]
fn entries_that_have_left_are_counted_for_the_retention_time_only() {
    let mut roster = EntryRoster::new("entry-01".into(), RETENTION);
    roster.sync(names(0..3).iter(), true, ClockTime(0));
    let count = |roster: &EntryRoster| (roster.position().rank, roster.position().count);

    roster.sync(names(1..2).iter(), true, ClockTime(9_999));
    let before = count(&roster);
    roster.sync(names(1..2).iter(), true, ClockTime(10_000));

    assert_eq!(before, (1, 3));
    assert_eq!(count(&roster), (0, 1));
}

/// Guards against entries that each send the whole rate that a target states, because they and all control
/// nodes have just started and list no others.
#[test]
fn entries_that_know_no_others_do_not_use_the_whole_of_a_stated_limit() {
    const STATED: u64 = 5;
    let names = names(0..ENTRIES);
    let mut fleet: Vec<(EntryRoster, PlacementTable)> = (0..ENTRIES)
        .map(|number| {
            let own = names[number].clone();
            let table = table(vec![common::target(1)], EntryPosition::SINGLE);
            (EntryRoster::new(own, RETENTION), table)
        })
        .collect();
    for (roster, table) in &mut fleet {
        roster.sync(std::iter::empty(), false, ClockTime(0));
        table.set_settled(roster.is_settled(), ClockTime(0));
    }

    let mut sent = Vec::new();
    for now in (0..12_000).step_by(10) {
        let at = ClockTime(now);
        for (roster, table) in &mut fleet {
            if now == 2_000 {
                roster.sync(names.iter(), true, at);
                table.sync(vec![common::target(1)], roster.position(), at);
                table.set_settled(roster.is_settled(), at);
            }
            if let PlacementOutcome::Run(run) = table.place(&request(None), at) {
                table.record_stated_limit(run, Some(MilliRate(STATED * 1_000)), at);
                table.end_run(run);
                sent.push(now);
            }
        }
    }

    // Each entry has passed on a response with the limit by then.
    sent.retain(|time| *time >= 500);
    let in_window = |start: &u64| {
        let window = *start..*start + 4_000;
        sent.iter().filter(|time| window.contains(time)).count() as u64
    };
    let most = sent.iter().map(in_window).max().unwrap_or(0);
    assert!(most <= STATED * 4 * 3 / 2 + 5, "{most}");
    assert!(sent.len() as u64 >= STATED * 10 * 8 / 10, "{}", sent.len());
}
