//! Failed requests at targets of which it shows late, or never, whether they have ended.

mod common;

use common::{flow, part, service};
use quarantine::{BrokenRequest, CrashLog, EndedTarget, QuarantineVerdict};
use rstest::rstest;
use units::{ClockTime, Incarnation};

/// Time after which a response of a target shows that it has survived earlier requests.
const SUCCESSOR_DELAY_MS: u64 = 2_000;

fn target(number: u64) -> EndedTarget {
    EndedTarget {
        name: format!("target-{number}").as_str().into(),
        incarnation: Incarnation(1),
    }
}

fn failed_request(trait_id: u64, sent_at: u64) -> BrokenRequest {
    BrokenRequest {
        flow: flow(1),
        sent_at: ClockTime(sent_at),
        is_retry: false,
        traits: vec![part(trait_id).request_trait],
    }
}

/// A log in which the same request has failed at this number of targets, sent to one each second.
fn log_with_failures(targets: u64) -> CrashLog {
    let mut log = CrashLog::new();
    for number in 0..targets {
        let sent_at = 1_000 * number;
        let request = failed_request(7, sent_at);
        log.record_failure(
            &target(number),
            &service(),
            request,
            ClockTime(sent_at + 900),
        );
    }
    log
}

fn is_refused(log: &mut CrashLog, trait_id: u64, now: u64) -> bool {
    let traits = [part(trait_id).request_trait];
    let verdict = log.check_request(&service(), flow(1), &traits, ClockTime(now));
    matches!(verdict, QuarantineVerdict::Refused(_))
}

/// Guards against a request that is taken for the cause although its target answered others after it
/// had failed, and against one that is missed because the next process of the target answered.
#[rstest]
#[case::target_answers(500, 500 + SUCCESSOR_DELAY_MS, false)]
#[case::next_process_answers(500, 1_000, true)]
#[case::answer_to_an_earlier_request(50, 500 + SUCCESSOR_DELAY_MS, true)]
fn failed_request_is_a_suspect_unless_its_target_outlives_it(
    #[case] answered_sent_at: u64,
    #[case] ended_at: u64,
    #[case] expected: bool,
) {
    let mut log = CrashLog::new();
    let at = ClockTime(100);
    log.record_failure(&target(1), &service(), failed_request(7, 0), at);
    log.record_response(&target(1), ClockTime(answered_sent_at), ClockTime(500));

    let crash = log.record_end(&target(1), ClockTime(ended_at));

    assert_eq!(crash.is_some(), expected);
}

/// Guards against a request that is missed because it fails after the end of its target is known.
#[test]
fn request_that_fails_after_the_end_is_a_suspect() {
    let mut log = CrashLog::new();
    log.record_end(&target(1), ClockTime(100));

    let now = ClockTime(1_000);
    let crash = log.record_failure(&target(1), &service(), failed_request(7, 0), now);

    assert_eq!(crash.map(|crash| crash.suspects.len()), Some(1));
}

/// Guards against requests that are taken for the cause of a crash because a control node that
/// started anew did not list their target for a moment.
#[test]
fn failed_request_at_a_target_that_returns_is_no_suspect() {
    let mut log = log_with_failures(1);
    log.record_end(&target(0), ClockTime(1_000));
    log.record_return(&target(0));

    let later = log.record_failure(
        &target(0),
        &service(),
        failed_request(7, 0),
        ClockTime(2_000),
    );

    assert_eq!((later, log.failed_count(&target(0))), (None, 1));
}

/// Guards against requests of a planned stop that are taken for the cause of a crash.
#[test]
fn failed_request_at_a_leaving_target_is_no_suspect() {
    let mut log = log_with_failures(1);
    log.record_leaving(&target(0));

    let crash = log.record_end(&target(0), ClockTime(1_000));

    assert_eq!(crash, None);
}

/// Guards against a request that goes on to further targets while those at which it failed are
/// silent, against other requests that are refused with it, and against one that is never admitted
/// again.
#[test]
fn request_is_held_back_after_three_silent_targets() {
    let (mut two, mut three) = (log_with_failures(2), log_with_failures(3));

    assert!(!is_refused(&mut two, 7, 3_000));
    assert!(is_refused(&mut three, 7, 3_000));
    assert!(!is_refused(&mut three, 8, 3_000));
    assert!(!is_refused(&mut three, 7, 13_000));
}

/// Guards against a request that is held back because it was running at several targets that were
/// lost together.
#[test]
fn request_at_targets_that_are_lost_together_is_not_held_back() {
    let mut log = CrashLog::new();
    for number in 0..5 {
        let at = ClockTime(1_000 + number);
        log.record_failure(
            &target(number),
            &service(),
            failed_request(7, 100 * number),
            at,
        );
    }

    assert!(!is_refused(&mut log, 7, 1_500));
}

/// Guards against a request that is held back because of targets that were slow or cut off for a
/// while.
#[test]
fn request_is_admitted_once_a_target_answers_again() {
    let mut log = log_with_failures(3);
    log.record_response(&target(1), ClockTime(3_000), ClockTime(3_100));

    let later = 3_100 + SUCCESSOR_DELAY_MS;

    assert!(is_refused(&mut log, 7, later - 1));
    assert!(!is_refused(&mut log, 7, later));
}
