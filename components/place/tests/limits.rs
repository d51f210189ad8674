//! Targets that state limits, and the entries that share them.

mod common;

use std::time::Duration;

use common::request;
use place::{
    EntryPosition, ListedTarget, PlacementOutcome, PlacementRequest, PlacementTable, RunKey,
};
use rstest::rstest;
use units::{ClockTime, Incarnation, MilliRate, SlotCount};

/// Span in which the requests to a limited target are counted, in milliseconds.
const LIMIT_WINDOW_MS: u64 = 4_000;

/// A target whose limit is lower than what its slots allow.
fn target(number: u8) -> ListedTarget {
    ListedTarget {
        slots: SlotCount(1_000),
        ..common::target(number)
    }
}

fn table(targets: &[u8], position: EntryPosition) -> PlacementTable {
    let targets = targets.iter().copied().map(target).collect();
    common::table(targets, position)
}

/// Sends a request if the table allows it, and gets a response with this limit.
fn send(table: &mut PlacementTable, limit: Option<MilliRate>, now: u64) -> Option<RunKey> {
    let PlacementOutcome::Run(run) = table.place(&request(None), ClockTime(now)) else {
        return None;
    };
    table.record_stated_limit(run, limit, ClockTime(now + 5));
    table.end_run(run);
    Some(run)
}

/// Guards against entries that together exceed the limit that a target states, by 1.5 times and
/// five requests in four seconds: many entries with one request each, and few entries with many.
/// Also guards against a limit that is mostly unused.
#[rstest]
#[case::few_entries(7, 5_000)]
#[case::many_entries(100, 5_000)]
#[case::low_limit(7, 500)]
#[case::no_requests(100, 0)]
#[case::high_limit(30, 40_000)]
fn entries_keep_to_the_limit_together(#[case] count: u32, #[case] rate: u64) {
    let position = |rank| EntryPosition { rank, count };
    let mut tables: Vec<PlacementTable> =
        (0..count).map(|rank| table(&[1], position(rank))).collect();
    // Entries learn of the limit within half a second.
    for (index, table) in tables.iter_mut().enumerate() {
        let told_at = index as u64 * 37 % 500;
        send(table, Some(MilliRate(rate)), told_at).unwrap();
    }

    let mut sent: Vec<u64> = Vec::new();
    for now in (500..60_000).step_by(10) {
        for table in &mut tables {
            let run = send(table, Some(MilliRate(rate)), now);
            sent.extend(run.map(|_| now));
        }
    }

    let in_window = |start: &u64| {
        let window = sent
            .iter()
            .filter(|time| (*start..start + LIMIT_WINDOW_MS).contains(*time));
        window.count() as u64
    };
    let busiest = sent.iter().map(in_window).max().unwrap_or(0);
    let allowed = rate * LIMIT_WINDOW_MS / 1_000_000;
    assert!(
        busiest <= allowed * 3 / 2 + 5,
        "{busiest} requests in one window"
    );
    assert!(
        sent.len() as u64 >= rate * 60 / 1_000 * 8 / 10,
        "{} requests",
        sent.len()
    );
}

/// Guards against entries that have lost their memory of a cold target together, and each send it a
/// first request at once: over 1.5 times its rate and five requests in one second.
#[rstest]
#[case::few_entries(7)]
#[case::many_entries(100)]
fn entries_that_start_together_keep_to_the_rate_of_a_cold_target(#[case] count: u32) {
    let rate = 14;
    let cold = ListedTarget {
        cold_ms: 3_000,
        cold_rate: Some(MilliRate(rate * 1_000)),
        ..target(1)
    };
    let position = |rank| EntryPosition { rank, count };
    let mut tables: Vec<PlacementTable> = (0..count)
        .map(|rank| common::table(vec![cold.clone()], position(rank)))
        .collect();

    let mut sent = 0;
    for now in (0..1_000).step_by(10) {
        for table in &mut tables {
            let outcome = table.place(&request(None), ClockTime(now));
            sent += u64::from(matches!(outcome, PlacementOutcome::Run(_)));
        }
    }

    assert!(sent <= rate * 3 / 2 + 5, "{sent} requests in one second");
}

/// Guards against a target that gets no requests any more after it has stated a rate that is far above
/// what it can get.
#[rstest]
#[case::signed(i64::MAX as u64)]
#[case::unsigned(u64::MAX)]
#[case::one_a_microsecond(1_000_000_000)]
fn limit_after_an_extreme_one_is_in_force(#[case] extreme: u64) {
    let position = EntryPosition { rank: 0, count: 7 };
    let mut table = table(&[1], position);
    for (now, rate) in [(0, 5_000), (3_000, extreme), (6_000, 5_000)] {
        let PlacementOutcome::Run(run) = table.place(&request(None), ClockTime(now)) else {
            panic!("no capacity at {now} ms");
        };
        table.record_stated_limit(run, Some(MilliRate(rate)), ClockTime(now));
        table.end_run(run);
    }

    let sent: Vec<u64> = (6_000..20_000)
        .step_by(10)
        .filter(|now| send(&mut table, Some(MilliRate(5_000)), *now).is_some())
        .collect();

    // A seventh of five a second, each reserved for a large request for a second.
    assert!((5..=10).contains(&sent.len()), "{sent:?}");
}

/// Guards against requests that wait for limited targets while another one is free, and against
/// sessions that do not move there.
#[rstest]
#[case::session(Some(7))]
#[case::no_session(None)]
fn requests_move_to_targets_without_a_limit(#[case] affinity: Option<u64>) {
    let mut table = table(&[1, 2, 3, 4], EntryPosition { rank: 6, count: 7 });
    for now in 0..3 {
        let PlacementOutcome::Run(run) = table.place(&request(affinity), ClockTime(now)) else {
            panic!("no capacity");
        };
        table.record_stated_limit(run, Some(MilliRate(1_000)), ClockTime(now));
        table.end_run(run);
    }

    let names: Vec<String> = (10..14)
        .map(
            |now| match table.place(&request(affinity), ClockTime(now)) {
                PlacementOutcome::Run(run) => table.target(run).unwrap().info.name.to_string(),
                outcome => panic!("request was not placed: {outcome:?}"),
            },
        )
        .collect();

    assert!(names.iter().all(|name| *name == names[0]), "{names:?}");
    assert_eq!(table.limit_wait(&request(affinity), ClockTime(20)), None);
}

/// Guards against the few requests that limited targets take being small ones, so that the other
/// targets are overloaded by the large ones.
#[test]
fn large_requests_go_to_limited_targets() {
    let mut table = table(&[1, 2], EntryPosition { rank: 0, count: 1 });
    let with_work = |work: u64, session: u64| PlacementRequest {
        work,
        ..request(Some(session))
    };
    let mut limited: Option<String> = None;
    let mut sent = Vec::new();
    for now in (0..20_000).step_by(20) {
        let work = if now % 60 == 0 { 1_000 } else { 100 };
        let PlacementOutcome::Run(run) = table.place(&with_work(work, now), ClockTime(now)) else {
            continue;
        };
        let name = table.target(run).unwrap().info.name.to_string();
        let is_limited = *limited.get_or_insert_with(|| name.clone()) == name;
        let limit = is_limited.then_some(MilliRate(5_000));
        table.record_stated_limit(run, limit, ClockTime(now));
        table.record_first_byte(run, ClockTime(now));
        table.end_run(run);
        sent.push((is_limited, work));
    }

    let limited_works: Vec<u64> = sent
        .iter()
        .filter(|sent| sent.0)
        .map(|sent| sent.1)
        .collect();
    let large = limited_works.iter().filter(|work| **work == 1_000).count();
    assert!(
        limited_works.len() >= 80,
        "{} requests",
        limited_works.len()
    );
    assert!(
        large * 10 >= limited_works.len() * 9,
        "{large} of {}",
        limited_works.len()
    );
}

/// Guards against large requests that wait for a limited target with full slots, and small ones
/// that wait while nobody uses what a limited target takes.
#[test]
fn reserved_capacity_does_not_stay_idle() {
    let mut table = table(&[1], EntryPosition { rank: 0, count: 1 });
    let with_work = |work: u64| PlacementRequest {
        work,
        ..request(None)
    };
    let PlacementOutcome::Run(first) = table.place(&with_work(100), ClockTime(0)) else {
        panic!("no capacity");
    };
    table.record_stated_limit(first, Some(MilliRate(1_000)), ClockTime(0));
    let mut full = target(2);
    full.slots = SlotCount(1);
    table.sync(vec![target(1), full], EntryPosition::SINGLE, ClockTime(10));
    let PlacementOutcome::Run(blocking) = table.place(&with_work(100), ClockTime(20)) else {
        panic!("no capacity");
    };

    let reserved = table.place(&with_work(10), ClockTime(1_010));
    let unused = table.place(&with_work(10), ClockTime(2_010));
    table.end_run(blocking);
    let large = table.place(&with_work(1_000), ClockTime(2_100));

    assert_eq!(reserved, PlacementOutcome::NoCapacity);
    assert!(matches!(unused, PlacementOutcome::Run(_)), "{unused:?}");
    assert!(matches!(large, PlacementOutcome::Run(_)), "{large:?}");
}

/// Guards against a limit that stays in force after a response without one or a restart of its
/// target, and against one that is ended by a response from before it was stated.
#[test]
fn limit_ends_with_a_later_response_without_one_or_a_restart() {
    let position = EntryPosition { rank: 0, count: 1 };
    let mut table = table(&[1], position);
    let PlacementOutcome::Run(earlier) = table.place(&request(None), ClockTime(0)) else {
        panic!("no capacity");
    };
    send(&mut table, Some(MilliRate(1_000)), 10).unwrap();

    table.record_stated_limit(earlier, None, ClockTime(20));
    let early = table.place(&request(None), ClockTime(30));
    let wait = table.limit_wait(&request(None), ClockTime(30));
    send(&mut table, None, 1_100).unwrap();
    let free = table.place(&request(None), ClockTime(1_101));
    send(&mut table, Some(MilliRate(1_000)), 1_110).unwrap();
    let mut restarted = target(1);
    restarted.incarnation = Incarnation(2);
    table.sync(vec![restarted], position, ClockTime(1_120));
    let after_restart = table.place(&request(None), ClockTime(1_121));

    assert_eq!(early, PlacementOutcome::NoCapacity);
    assert_eq!(wait, Some(Duration::from_millis(985)));
    assert!(matches!(free, PlacementOutcome::Run(_)));
    assert!(matches!(after_restart, PlacementOutcome::Run(_)));
}
