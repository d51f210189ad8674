//! Targets that state that they are leaving, or that they want no requests for a while.

mod common;

use std::time::Duration;

use common::{request, table, target};
use place::{EntryPosition, ListedTarget, PlacementOutcome, PlacementTable, TargetStatement};
use rstest::rstest;
use units::{ClockTime, Incarnation};

const LEAVING: TargetStatement = TargetStatement {
    limit: None,
    pause: None,
    is_leaving: true,
};

fn pause(seconds: u64) -> TargetStatement {
    TargetStatement {
        pause: Some(Duration::from_secs(seconds)),
        ..TargetStatement::default()
    }
}

/// The table of the only entry, with one target that has made a statement at 0 ms.
fn table_after(statement: &TargetStatement) -> PlacementTable {
    let mut table = table(vec![target(1)], EntryPosition::SINGLE);
    table.record_statement(&target(1), statement, ClockTime(0));
    table
}

fn sync(table: &mut PlacementTable, targets: Vec<ListedTarget>, now: u64) {
    table.sync(targets, EntryPosition::SINGLE, ClockTime(now));
}

fn is_placed(table: &mut PlacementTable, now: u64) -> bool {
    let outcome = table.place(&request(None), ClockTime(now));
    matches!(outcome, PlacementOutcome::Run(_))
}

/// Guards against statements that are lost when the directory loses a target for a moment, and lists
/// it again by an announcement from before the statement.
#[rstest]
#[case::leaving(LEAVING)]
#[case::paused(pause(10))]
fn statement_outlasts_a_gap_in_the_listing(#[case] statement: TargetStatement) {
    let mut table = table_after(&statement);

    sync(&mut table, Vec::new(), 1_000);
    sync(&mut table, vec![target(1)], 2_000);

    assert!(!is_placed(&mut table, 2_000));
}

/// Guards against a statement that is lost since the response arrives while the target is not listed.
#[test]
fn statement_of_an_unlisted_target_counts() {
    let mut table = table(vec![target(1)], EntryPosition::SINGLE);
    sync(&mut table, Vec::new(), 1_000);
    table.record_statement(&target(1), &LEAVING, ClockTime(1_500));

    sync(&mut table, vec![target(1)], 2_000);

    assert!(!is_placed(&mut table, 2_000));
}

/// Guards against a new process that gets no requests because of what the one before it stated.
#[rstest]
#[case::leaving(LEAVING)]
#[case::paused(pause(10))]
fn next_process_is_not_bound_by_a_statement(#[case] statement: TargetStatement) {
    let mut table = table_after(&statement);
    let mut restarted = target(1);
    restarted.incarnation = Incarnation(2);

    sync(&mut table, vec![restarted], 1_000);

    assert!(is_placed(&mut table, 1_000));
}

/// Guards against a later statement that shortens a pause.
#[rstest]
#[case::shorter(1, 5_000, 10_000)]
#[case::zero(0, 5_000, 10_000)]
#[case::longer(8, 5_000, 13_000)]
fn pause_ends_at_the_latest_stated_time(
    #[case] seconds: u64,
    #[case] stated_at: u64,
    #[case] ends_at: u64,
) {
    let mut table = table_after(&pause(10));
    table.record_statement(&target(1), &pause(seconds), ClockTime(stated_at));

    assert!(!is_placed(&mut table, ends_at - 1));
    assert!(is_placed(&mut table, ends_at));
}

/// Guards against requests that wait for a target although it wants none, and against those that are
/// sent to it because their connection was opened before its statement.
#[rstest]
#[case::leaving(LEAVING)]
#[case::paused(pause(10))]
fn placed_request_is_not_sent_after_a_statement(#[case] statement: TargetStatement) {
    let mut table = table(vec![target(1)], EntryPosition::SINGLE);
    assert!(table.accepts(&target(1), ClockTime(0)));

    table.record_statement(&target(1), &statement, ClockTime(100));

    assert!(!table.accepts(&target(1), ClockTime(100)));
}

/// Guards against callers that return before a target wants a request.
#[test]
fn wait_is_that_of_the_target_that_opens_first() {
    let mut table = table(vec![target(1), target(2)], EntryPosition::SINGLE);
    table.record_statement(&target(1), &pause(10), ClockTime(0));
    table.record_statement(&target(2), &pause(4), ClockTime(0));

    let wait = table.limit_wait(&request(None), ClockTime(1_000));

    assert_eq!(wait, Some(Duration::from_secs(3)));
}
