//! Records of the software versions at which streams began.

use std::time::Duration;

use origins::{MAX_STREAMS, OriginLog, OriginTable, stream_id};
use units::ClockTime;
use wire::{OriginAnswer, StreamId, StreamOrigin};

const LIFETIME: Duration = Duration::from_secs(3);

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "advice".into(),
        version: version.into(),
    }
}

fn known(version: &str, age_ms: u64) -> OriginAnswer {
    OriginAnswer::Known {
        origin: origin(version),
        age_ms,
    }
}

/// Guards against a caller that learns of, or changes, how streams of another organisation
/// continue.
#[test]
fn ids_of_organisations_differ_for_the_same_attempt() {
    let mill = stream_id(Some(&"mill".into()), "a1");
    let bakery = stream_id(Some(&"bakery".into()), "a1");
    let shifted = stream_id(Some(&"milla".into()), "1");

    assert_ne!(mill, bakery);
    assert_ne!(mill, shifted);
    assert_ne!(mill, stream_id(None, "a1"));
    assert_eq!(mill, stream_id(Some(&"mill".into()), "a1"));
}

/// Guards against a stream that goes on at one of two versions that began streams of its name.
#[test]
fn streams_of_the_same_name_at_two_versions_conflict() {
    let mut table = OriginTable::default();
    let expires_at = ClockTime(3_000);
    table.record(StreamId(1), &origin("v1"), expires_at, ClockTime(0));
    table.record(StreamId(1), &origin("v1"), expires_at, ClockTime(10));
    let repeated = table.find(StreamId(1), ClockTime(20));

    table.record(StreamId(1), &origin("v2"), expires_at, ClockTime(30));
    table.record(StreamId(1), &origin("v1"), expires_at, ClockTime(40));

    assert_eq!(repeated, known("v1", 20));
    assert_eq!(
        table.find(StreamId(1), ClockTime(50)),
        OriginAnswer::Conflicting
    );
}

/// Guards against memory that grows with the streams of the past, and against a record that ends
/// before its stream may no longer be continued.
#[test]
fn record_ends_with_the_time_of_its_caller() {
    let mut table = OriginTable::default();
    for number in 0..100 {
        let now = ClockTime(number * 1_000);
        let expires_at = now + LIFETIME;
        table.record(StreamId(number), &origin("v1"), expires_at, now);
    }

    let now = ClockTime(99_999);

    assert_eq!(table.find(StreamId(97), now), known("v1", 2_999));
    assert_eq!(table.find(StreamId(96), now), OriginAnswer::Unknown);
    assert_eq!(table.len(), 3);
}

/// Guards against memory without a bound under a flood of streams.
#[test]
fn stream_that_ends_first_makes_room() {
    let mut table = OriginTable::default();
    for number in 0..=MAX_STREAMS as u64 {
        let expires_at = ClockTime(100_000 + number);
        table.record(StreamId(number), &origin("v1"), expires_at, ClockTime(0));
    }

    assert_eq!(table.len(), MAX_STREAMS);
    assert_eq!(table.find(StreamId(0), ClockTime(1)), OriginAnswer::Unknown);
    assert_eq!(table.find(StreamId(1), ClockTime(1)), known("v1", 1));
}

/// Guards against origins that no control node gets because the first report of them failed, and
/// against ones that are reported for longer than their streams may be continued.
#[test]
fn failed_report_is_repeated_with_the_remaining_time() {
    let mut log = OriginLog::new();
    log.record(
        StreamId(1),
        &"target-1".into(),
        origin("v1"),
        LIFETIME,
        ClockTime(0),
    );
    log.record(
        StreamId(2),
        &"target-2".into(),
        origin("v2"),
        LIFETIME,
        ClockTime(500),
    );
    let first = log.take_report(ClockTime(1_000));
    assert!(!log.has_report());

    log.requeue_report(first.clone(), ClockTime(1_000));
    let second = log.take_report(ClockTime(3_000));

    let lifetimes = |report: &[wire::OriginBatch]| {
        let batches = report.iter().flat_map(|batch| batch.streams.clone());
        batches.collect::<Vec<_>>()
    };
    assert_eq!(
        lifetimes(&first),
        [(StreamId(1), 2_000), (StreamId(2), 2_500)]
    );
    assert_eq!(lifetimes(&second), [(StreamId(2), 500)]);
}

/// Guards against a stream that goes on at the version that its target had before an unnoticed
/// restart, and against refusals of streams of other targets, and of earlier or later ones.
#[test]
fn restart_makes_only_recent_streams_of_the_target_uncertain() {
    let mut log = OriginLog::new();
    let lifetime = Duration::from_secs(60);
    let streams = [
        (1, "target-1", "v1", 1_000),
        (2, "target-1", "v1", 9_000),
        (3, "target-2", "v1", 9_000),
        (4, "target-1", "v2", 10_000),
    ];
    for (number, target, version, began_at) in streams {
        let began_at = ClockTime(began_at);
        log.record(
            StreamId(number),
            &target.into(),
            origin(version),
            lifetime,
            began_at,
        );
    }
    log.take_report(ClockTime(10_000));

    let now = ClockTime(10_500);
    let uncertain = log.record_restart(&"target-1".into(), &origin("v2"), now);

    assert_eq!(uncertain, 1);
    assert_eq!(log.find(StreamId(1), now), known("v1", 9_500));
    assert_eq!(log.find(StreamId(2), now), OriginAnswer::Conflicting);
    assert_eq!(log.find(StreamId(3), now), known("v1", 1_500));
    assert_eq!(log.find(StreamId(4), now), known("v2", 500));
    let report = log.take_report(now);
    assert_eq!(report.len(), 1);
    assert_eq!(report[0].origin, origin("v2"));
    assert_eq!(report[0].streams[0].0, StreamId(2));
}

/// Guards against an organisation that exceeds its share with one admitted stream, which it
/// continues again and again.
#[test]
fn only_the_first_continuation_of_a_stream_goes_first() {
    let mut log = OriginLog::new();
    let mut continue_at = |number: u64, now: u64| {
        log.record_continuation(StreamId(number), &origin("v1"), LIFETIME, ClockTime(now))
    };

    let firsts = [continue_at(1, 0), continue_at(2, 10)];
    let repeated: Vec<bool> = (1..100).map(|round| continue_at(1, round * 100)).collect();

    assert_eq!(firsts, [true, true]);
    assert!(!repeated.contains(&true));
}
