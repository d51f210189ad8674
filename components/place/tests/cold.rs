//! Requests to targets that are cold or may be.

mod common;

use common::{request, table};
use place::{
    ColdCause, ColdEnd, ColdStep, EntryPosition, ListedTarget, PlacementOutcome, PlacementTable,
};
use units::{ClockTime, Incarnation, MilliRate};

/// Rate that a cold target takes from all entries together, and the interval between two requests.
const RATE: MilliRate = MilliRate(20_000);
const INTERVAL_MS: u64 = 50;

fn listed(sequence: u64, cold_ms: u64) -> ListedTarget {
    ListedTarget {
        sequence,
        cold_ms,
        cold_rate: Some(RATE),
        ..common::target(1)
    }
}

fn list(table: &mut PlacementTable, target: ListedTarget, now: u64) {
    table.sync(vec![target], EntryPosition::SINGLE, ClockTime(now));
}

/// Number of requests that the table sends in the second from `start`, if one waits at any time and
/// each is answered at once.
fn sent_in_a_second(table: &mut PlacementTable, start: u64) -> usize {
    let mut sent = 0;
    for now in start..start + 1_000 {
        if let PlacementOutcome::Run(run) = table.place(&request(None), ClockTime(now)) {
            table.end_run(run);
            sent += 1;
        }
    }
    sent
}

/// Requests in a second at the rate; one more may fall on its edge.
const MAX_PACED: usize = 1_000 / INTERVAL_MS as usize + 1;

/// Guards against full load between the end of an announced cold period and the announcement of the
/// next one, which an entry hears later.
#[test]
fn target_is_cold_until_it_says_that_it_is_warm() {
    let mut table = table(vec![listed(1, 300)], EntryPosition::SINGLE);

    let after_announced_time = sent_in_a_second(&mut table, 301);
    list(&mut table, listed(2, 3_000), 1_400);
    let in_next_period = sent_in_a_second(&mut table, 1_400);
    list(&mut table, listed(3, 0), 2_400);
    let warm = sent_in_a_second(&mut table, 2_400);

    assert!(after_announced_time <= MAX_PACED, "{after_announced_time}");
    assert!(in_next_period <= MAX_PACED, "{in_next_period}");
    assert_eq!(warm, 1_000);
}

/// Guards against full load at a target that became cold while its data centre was out, before it says so.
#[test]
fn target_that_returns_with_its_data_centre_is_cold_until_it_is_heard() {
    let mut table = table(vec![listed(7, 0)], EntryPosition::SINGLE);
    let out = ListedTarget {
        is_serving: false,
        ..listed(7, 0)
    };
    list(&mut table, out, 1_000);
    let returned = ListedTarget {
        is_unconfirmed: true,
        ..listed(7, 0)
    };

    list(&mut table, returned, 5_000);
    let unconfirmed = sent_in_a_second(&mut table, 5_000);
    list(&mut table, listed(9, 0), 6_000);
    let confirmed = sent_in_a_second(&mut table, 6_000);

    assert!(unconfirmed <= MAX_PACED, "{unconfirmed}");
    assert_eq!(confirmed, 1_000);
}

/// Guards against full load at a process that has started under the name of an earlier one, before its
/// announcement is heard.
#[test]
fn target_that_refused_a_connection_is_cold_until_a_restart_would_be_known() {
    let mut table = table(vec![listed(1, 0)], EntryPosition::SINGLE);
    let PlacementOutcome::Run(refused) = table.place(&request(None), ClockTime(0)) else {
        panic!("the target takes no request");
    };
    table.record_possible_end(refused, ClockTime(10));
    table.end_run(refused);

    let without_answer = sent_in_a_second(&mut table, 5_000);
    let PlacementOutcome::Run(answered) = table.place(&request(None), ClockTime(6_050)) else {
        panic!("the target takes no request");
    };
    table.record_first_byte(answered, ClockTime(6_100));
    table.end_run(answered);
    list(&mut table, listed(1, 0), 7_000);
    let after_answer = sent_in_a_second(&mut table, 7_000);
    list(&mut table, listed(1, 0), 8_100);
    let known = sent_in_a_second(&mut table, 8_100);

    assert!(without_answer <= MAX_PACED, "{without_answer}");
    assert!(after_answer <= MAX_PACED, "{after_answer}");
    assert_eq!(known, 1_000);
}

/// Guards against a further first request of each entry when a process is announced that has answered before
/// under the name of an earlier one.
#[test]
fn announced_process_keeps_the_pace_of_the_name() {
    let mut table = table(vec![listed(9, 3_000)], EntryPosition::SINGLE);
    let before = matches!(
        table.place(&request(None), ClockTime(0)),
        PlacementOutcome::Run(_)
    );
    let later = ListedTarget {
        incarnation: Incarnation(2),
        ..listed(1, 3_000)
    };

    list(&mut table, later, INTERVAL_MS / 2);
    let early = table.place(&request(None), ClockTime(INTERVAL_MS - 1));

    assert!(before);
    assert_eq!(early, PlacementOutcome::NoCapacity);
}

/// Guards against logs that do not tell when an entry limited its requests, by which announcement and
/// as one of how many entries.
#[test]
fn cold_periods_are_reported() {
    let position = EntryPosition { rank: 1, count: 4 };
    let mut table = table(vec![listed(1, 3_000)], position);
    sent_in_a_second(&mut table, 0);

    table.sync(vec![listed(2, 0)], position, ClockTime(3_500));
    let changes = table.take_cold_changes();

    let [started, ended] = &changes[..] else {
        panic!("{changes:?}");
    };
    assert_eq!(
        started.step,
        ColdStep::Started {
            cause: ColdCause::Announced,
            cold_ms: 3_000,
        }
    );
    assert_eq!((started.sequence, started.position), (1, position));
    assert!(matches!(
        ended.step,
        ColdStep::Ended { reason: ColdEnd::Warm, sent: 5..=6, duration } if duration.as_millis() == 3_500
    ));
}

/// Guards against a full rate anew after each gap in which the control node that an entry follows does
/// not list a cold target.
#[test]
fn pace_survives_gaps_in_the_listing() {
    let mut table = table(vec![], EntryPosition::SINGLE);
    let mut sent = 0;
    for now in 0..1_000 {
        match now % 5 {
            0 => list(&mut table, listed(1, 3_000), now),
            4 => table.sync(Vec::new(), EntryPosition::SINGLE, ClockTime(now)),
            _ => {}
        }
        if let PlacementOutcome::Run(run) = table.place(&request(None), ClockTime(now)) {
            table.end_run(run);
            sent += 1;
        }
    }

    assert!(sent <= MAX_PACED, "{sent}");
}
