//! Trials of quarantined traits.

mod common;

use common::part;
use quarantine::QuarantineHome;
use units::ClockTime;
use wire::{CrashReport, HomeId, QuarantineReply, QuarantinedTrait};

/// Time within which the result of a trial is awaited.
const TRIAL_TIMEOUT_MS: u64 = 30_000;

/// Time between two homes.
const STEP_MS: u64 = 5_000;

/// Quarantine of a reply after a step, as an entry reports it to another home.
fn after_a_step(reply: QuarantineReply) -> Vec<QuarantinedTrait> {
    let mut quarantine = reply.quarantine;
    for quarantined in &mut quarantine {
        quarantined.trial_ms = quarantined.trial_ms.saturating_sub(STEP_MS);
    }
    quarantine
}

/// Report of an entry that has refused requests with a trait that is in quarantine.
fn refusal(source: Option<HomeId>, quarantine: Vec<QuarantinedTrait>) -> CrashReport {
    CrashReport {
        source,
        observations: Vec::new(),
        served: Vec::new(),
        successes: Vec::new(),
        quarantine,
        refused: vec![part(7)],
    }
}

/// Guards against a trial from each control node that takes the quarantine over: each may crash another
/// target. Also guards against trials that are never repeated.
#[test]
fn trial_is_not_repeated_when_another_home_takes_over() {
    let due = QuarantinedTrait {
        subject: part(7),
        flows: Vec::new(),
        trial_ms: 0,
        interval_ms: 60_000,
        crashes: 4,
    };
    let mut quarantine = vec![due];
    let mut trials = Vec::new();
    for (number, now) in (1..).zip((0..=TRIAL_TIMEOUT_MS).step_by(STEP_MS as usize)) {
        let mut home = QuarantineHome::new(HomeId(number));
        let report = refusal(Some(HomeId(number - 1)), quarantine);
        let (reply, _) = home.apply_report(&report, ClockTime(now));
        trials.extend(reply.trials.iter().map(|_| now));
        quarantine = after_a_step(reply);
    }

    assert_eq!(trials, [0, TRIAL_TIMEOUT_MS]);
}
