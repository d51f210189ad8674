//! Records of calls that may not be repeated: attempts, outcomes and expiry.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use registry::{
    MAX_STORED_BODY_BYTES, RegistryAction, RegistryCommand, RegistryLimits, RegistryOutcome,
    RegistryState, WallTime,
};
use units::{Incarnation, RequestId};
use wire::{BeginCall, BeginOutcome, CallKey, CallOutcome, EndCall, ResponseHead, StoredResponse};

const LIMITS: RegistryLimits = RegistryLimits {
    retention_ms: 1_000,
    max_calls: 3,
};

fn key(number: u8) -> CallKey {
    CallKey {
        organisation: "mlyn-hora".into(),
        service: "visits".into(),
        key: format!("key-{number}").as_str().into(),
    }
}

fn begin(number: u8, request: u128) -> BeginCall {
    BeginCall {
        call: key(number),
        body_hash: [1; 32],
        request: RequestId(request),
        agent: "agent-1".into(),
        incarnation: Incarnation(1),
    }
}

fn end(number: u8, request: u128, outcome: CallOutcome) -> RegistryAction {
    RegistryAction::End(EndCall {
        call: key(number),
        request: RequestId(request),
        outcome,
    })
}

fn apply_action(state: &mut RegistryState, at: u64, action: RegistryAction) -> RegistryOutcome {
    let at = WallTime(at);
    state.apply(&RegistryCommand { at, action })
}

fn apply_begin(state: &mut RegistryState, at: u64, begin: BeginCall) -> BeginOutcome {
    match apply_action(state, at, RegistryAction::Begin(begin)) {
        RegistryOutcome::Begin(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

fn response(size: usize) -> StoredResponse {
    StoredResponse {
        head: ResponseHead {
            status: 200,
            headers: Vec::new(),
        },
        body: vec![7; size],
    }
}

/// Guards against an entry that cannot run its call because the first reply was lost.
#[test]
fn repeated_begin_of_an_attempt_is_granted_again() {
    let mut state = RegistryState::with_limits(LIMITS);

    let outcomes = [1, 2].map(|at| apply_begin(&mut state, at, begin(1, 1)));

    assert_eq!(outcomes, [BeginOutcome::Granted, BeginOutcome::Granted]);
}

/// Guards against a second attempt that runs while the first one is in progress, and against a key
/// that is reused for another request.
#[test]
fn second_attempt_is_refused_while_the_first_is_in_progress() {
    let mut state = RegistryState::with_limits(LIMITS);
    apply_begin(&mut state, 1, begin(1, 1));
    let other_body = BeginCall {
        body_hash: [2; 32],
        ..begin(1, 2)
    };
    let other_agent = BeginCall {
        agent: "agent-2".into(),
        ..begin(1, 1)
    };

    let second = apply_begin(&mut state, 2, begin(1, 2));
    let mismatch = apply_begin(&mut state, 2, other_body);
    let other_agent_outcome = apply_begin(&mut state, 2, other_agent);

    let in_progress = BeginOutcome::InProgress {
        request: RequestId(1),
        agent: "agent-1".into(),
        incarnation: Incarnation(1),
    };
    assert_eq!(second, in_progress);
    assert_eq!(mismatch, BeginOutcome::Mismatch);
    assert_eq!(other_agent_outcome, in_progress);
}

/// Guards against a small response that is not stored, and against a large one that is stored.
#[test]
fn outcome_is_stored_with_a_small_response() {
    let mut state = RegistryState::with_limits(LIMITS);
    for (number, size) in [(1, MAX_STORED_BODY_BYTES), (2, MAX_STORED_BODY_BYTES + 1)] {
        apply_begin(&mut state, 1, begin(number, 1));
        let ran = CallOutcome::Ran(Some(response(size)));
        apply_action(&mut state, 2, end(number, 1, ran));
    }

    let small = apply_begin(&mut state, 3, begin(1, 2));
    let large = apply_begin(&mut state, 3, begin(2, 2));

    let ran = CallOutcome::Ran(Some(response(MAX_STORED_BODY_BYTES)));
    assert_eq!(small, BeginOutcome::Ended(ran));
    assert_eq!(large, BeginOutcome::Ended(CallOutcome::Ran(None)));
}

/// Guards against a call that runs twice, because a late copy of the end of the first attempt also
/// ends the retry as not run.
#[test]
fn attempt_that_ended_as_not_run_is_not_granted_again() {
    let mut state = RegistryState::with_limits(LIMITS);
    apply_begin(&mut state, 1, begin(1, 1));
    apply_action(&mut state, 2, end(1, 1, CallOutcome::NotRun));

    let same = apply_begin(&mut state, 3, begin(1, 1));
    let retry = apply_begin(&mut state, 3, begin(1, 2));
    apply_action(&mut state, 4, end(1, 1, CallOutcome::NotRun));
    let other = apply_begin(&mut state, 5, begin(1, 3));

    assert_eq!(same, BeginOutcome::Ended(CallOutcome::NotRun));
    assert_eq!(retry, BeginOutcome::Granted);
    assert!(
        matches!(other, BeginOutcome::InProgress { .. }),
        "{other:?}"
    );
}

/// Guards against an attempt that is granted again after a later attempt has also ended as not run.
/// A late copy of its first end would then end it while it runs.
#[test]
fn earlier_not_run_attempts_are_not_granted_again() {
    let mut state = RegistryState::with_limits(LIMITS);
    for request in [1, 2] {
        apply_begin(&mut state, 1, begin(1, request));
        apply_action(&mut state, 2, end(1, request, CallOutcome::NotRun));
    }

    let outcomes = [1, 2, 3].map(|request| apply_begin(&mut state, 3, begin(1, request)));

    let not_run = BeginOutcome::Ended(CallOutcome::NotRun);
    assert_eq!(outcomes, [not_run.clone(), not_run, BeginOutcome::Granted]);
}

/// Guards against an outcome that changes from ran to not run, and against an unknown outcome that
/// stays unknown after the agent has reported it.
#[test]
fn first_known_outcome_is_final() {
    let mut state = RegistryState::with_limits(LIMITS);
    apply_begin(&mut state, 1, begin(1, 1));
    apply_action(&mut state, 2, end(1, 1, CallOutcome::Unknown));
    let unknown = apply_begin(&mut state, 2, begin(1, 2));

    apply_action(&mut state, 3, end(1, 1, CallOutcome::Ran(None)));
    apply_action(&mut state, 4, end(1, 1, CallOutcome::NotRun));
    let known = apply_begin(&mut state, 5, begin(1, 2));

    assert_eq!(unknown, BeginOutcome::Ended(CallOutcome::Unknown));
    assert_eq!(known, BeginOutcome::Ended(CallOutcome::Ran(None)));
}

/// Guards against an unbounded number of records, and against records that never expire.
#[test]
fn records_are_bounded_and_expire() {
    let mut state = RegistryState::with_limits(LIMITS);
    for number in 1..=3 {
        apply_begin(&mut state, 10, begin(number, 1));
    }

    let full = apply_begin(&mut state, 1_010, begin(4, 1));
    let known = apply_begin(&mut state, 1_010, begin(1, 1));
    let freed = apply_begin(&mut state, 1_011, begin(4, 1));

    assert_eq!(full, BeginOutcome::Full);
    assert_eq!(known, BeginOutcome::Granted);
    assert_eq!(freed, BeginOutcome::Granted);
    assert_eq!(state.call_count(), 1);
}

/// Guards against records that do not expire after a snapshot has been restored.
#[test]
fn records_expire_after_a_restore() {
    let mut state = RegistryState::with_limits(LIMITS);
    apply_begin(&mut state, 10, begin(1, 1));

    let mut state = RegistryState::restore(&state.snapshot()).unwrap();
    apply_begin(&mut state, 1_011, begin(2, 1));

    assert_eq!(state.call_count(), 1);
}

/// Guards against a new leader whose clock is behind, which would change the retention time of
/// records.
#[test]
fn time_does_not_go_backwards() {
    let mut state = RegistryState::with_limits(LIMITS);
    apply_begin(&mut state, 5_000, begin(1, 1));

    apply_begin(&mut state, 1, begin(2, 1));

    assert_eq!(state.call(&key(2)).unwrap().changed_at, WallTime(5_000));
}

/// Request id and agent of an attempt.
type AttemptId = (u128, u8);

/// Step of a generated history of one call key.
#[derive(Debug, Clone, Copy)]
enum CallStep {
    /// An entry begins an attempt; the reply may be lost.
    Begin {
        attempt: AttemptId,
        reply_lost: bool,
    },
    /// The agent of a granted attempt starts to run it.
    Start { attempt: AttemptId },
    /// The agent prevents the start of an attempt, and the entry records it as not run.
    PreventStart { attempt: AttemptId },
    /// A started attempt ends, either as ran or as unknown.
    End { attempt: AttemptId, known: bool },
    /// A late copy of an earlier command arrives.
    Repeat { index: usize },
}

/// Generates histories with the given number of request ids. Some faults are found often only with
/// two ids, others only with three.
fn call_steps(requests: u128) -> impl Strategy<Value = Vec<CallStep>> {
    let attempt = move || (0..requests, 0..2u8);
    let begin = (attempt(), any::<bool>());
    // After a start no other attempt may start. Starts are rare so that more of the history comes
    // before the first one.
    let step = prop_oneof![
        4 => begin.prop_map(|(attempt, reply_lost)| CallStep::Begin { attempt, reply_lost }),
        1 => attempt().prop_map(|attempt| CallStep::Start { attempt }),
        2 => attempt().prop_map(|attempt| CallStep::PreventStart { attempt }),
        1 => (attempt(), any::<bool>())
            .prop_map(|(attempt, known)| CallStep::End { attempt, known }),
        3 => any::<usize>().prop_map(|index| CallStep::Repeat { index }),
    ];
    prop::collection::vec(step, 1..60)
}

/// State of an attempt at its agent and its entry.
#[derive(Debug, Clone, Copy, Default)]
struct AttemptModel {
    /// A record was made for the attempt.
    recorded: bool,
    /// The entry has received the grant.
    granted: bool,
    started: bool,
    is_start_prevented: bool,
}

/// The registry state, with a model of the entries and agents that use it.
struct CallModel {
    state: RegistryState,
    attempts: BTreeMap<AttemptId, AttemptModel>,
    sent: Vec<RegistryAction>,
}

impl CallModel {
    fn send(&mut self, action: RegistryAction) -> RegistryOutcome {
        self.sent.push(action.clone());
        apply_action(&mut self.state, 1, action)
    }

    fn step(&mut self, step: CallStep) {
        match step {
            CallStep::Begin {
                attempt,
                reply_lost,
            } => {
                let begin = BeginCall {
                    agent: format!("agent-{}", attempt.1).as_str().into(),
                    ..begin(1, attempt.0)
                };
                let outcome = self.send(RegistryAction::Begin(begin));
                let granted = outcome == RegistryOutcome::Begin(BeginOutcome::Granted);
                let model = self.attempts.entry(attempt).or_default();
                model.recorded |= granted;
                model.granted |= granted && !reply_lost;
            }
            CallStep::Start { attempt } => {
                let model = self.attempts.entry(attempt).or_default();
                model.started |= model.granted && !model.is_start_prevented;
            }
            CallStep::PreventStart { attempt } => {
                let model = self.attempts.entry(attempt).or_default();
                if model.recorded && !model.started {
                    model.is_start_prevented = true;
                    self.send(end(1, attempt.0, CallOutcome::NotRun));
                }
            }
            CallStep::End { attempt, known } => {
                if self.attempts.entry(attempt).or_default().started {
                    let outcome = match known {
                        true => CallOutcome::Ran(None),
                        false => CallOutcome::Unknown,
                    };
                    self.send(end(1, attempt.0, outcome));
                }
            }
            CallStep::Repeat { index } => {
                if !self.sent.is_empty() {
                    let action = self.sent[index % self.sent.len()].clone();
                    apply_action(&mut self.state, 1, action);
                }
            }
        }
    }

    fn started(&self) -> usize {
        let attempts = self.attempts.values();
        attempts.filter(|attempt| attempt.started).count()
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(0x6361_6c6c),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a call that runs twice after lost replies, late copies of commands, or
    /// attempts that ended as not run.
    #[test]
    fn at_most_one_attempt_runs(steps in (2..4u128).prop_flat_map(call_steps)) {
        let mut model = CallModel {
            state: RegistryState::with_limits(LIMITS),
            attempts: BTreeMap::new(),
            sent: Vec::new(),
        };
        for step in steps {
            model.step(step);
            prop_assert!(model.started() <= 1);
        }
    }
}
