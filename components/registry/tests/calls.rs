//! Records of calls that may not be repeated.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use registry::{
    MAX_STORED_BODY, RegistryAction, RegistryCommand, RegistryLimits, RegistryOutcome,
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

fn run(state: &mut RegistryState, at: u64, action: RegistryAction) -> RegistryOutcome {
    let at = WallTime(at);
    state.apply(&RegistryCommand { at, action })
}

fn begun(state: &mut RegistryState, at: u64, begin: BeginCall) -> BeginOutcome {
    match run(state, at, RegistryAction::Begin(begin)) {
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

/// Guards against an entry that does not get its grant when the first answer was lost.
#[test]
fn repeated_begin_of_an_attempt_is_granted_again() {
    let mut state = RegistryState::with_limits(LIMITS);

    let outcomes = [1, 2].map(|at| begun(&mut state, at, begin(1, 1)));

    assert_eq!(outcomes, [BeginOutcome::Granted, BeginOutcome::Granted]);
}

/// Guards against a resend that runs beside the first attempt, and a key used for another call.
#[test]
fn other_attempts_wait_for_the_first() {
    let mut state = RegistryState::with_limits(LIMITS);
    begun(&mut state, 1, begin(1, 1));
    let other_body = BeginCall {
        body_hash: [2; 32],
        ..begin(1, 2)
    };
    let other_agent = BeginCall {
        agent: "agent-2".into(),
        ..begin(1, 1)
    };

    let second = begun(&mut state, 2, begin(1, 2));
    let mismatch = begun(&mut state, 2, other_body);
    let moved = begun(&mut state, 2, other_agent);

    let in_progress = BeginOutcome::InProgress {
        request: RequestId(1),
        agent: "agent-1".into(),
        incarnation: Incarnation(1),
    };
    assert_eq!(second, in_progress);
    assert_eq!(mismatch, BeginOutcome::Mismatch);
    assert_eq!(moved, in_progress);
}

/// Guards against a lost response, and one that is larger than the bound.
#[test]
fn outcome_is_kept_with_a_small_response() {
    let mut state = RegistryState::with_limits(LIMITS);
    for (number, size) in [(1, MAX_STORED_BODY), (2, MAX_STORED_BODY + 1)] {
        begun(&mut state, 1, begin(number, 1));
        let ran = CallOutcome::Ran(Some(response(size)));
        run(&mut state, 2, end(number, 1, ran));
    }

    let small = begun(&mut state, 3, begin(1, 2));
    let large = begun(&mut state, 3, begin(2, 2));

    let ran = CallOutcome::Ran(Some(response(MAX_STORED_BODY)));
    assert_eq!(small, BeginOutcome::Ended(ran));
    assert_eq!(large, BeginOutcome::Ended(CallOutcome::Ran(None)));
}

/// Guards against a late copy of the first attempt's end that ends the retry as not run, so that
/// the call runs twice.
#[test]
fn attempt_that_did_not_run_is_spent() {
    let mut state = RegistryState::with_limits(LIMITS);
    begun(&mut state, 1, begin(1, 1));
    run(&mut state, 2, end(1, 1, CallOutcome::NotRun));

    let same = begun(&mut state, 3, begin(1, 1));
    let retry = begun(&mut state, 3, begin(1, 2));
    run(&mut state, 4, end(1, 1, CallOutcome::NotRun));
    let other = begun(&mut state, 5, begin(1, 3));

    assert_eq!(same, BeginOutcome::Ended(CallOutcome::NotRun));
    assert_eq!(retry, BeginOutcome::Granted);
    assert!(
        matches!(other, BeginOutcome::InProgress { .. }),
        "{other:?}"
    );
}

/// Guards against an earlier spent attempt that is granted again once another one was spent, and
/// is then ended by a late copy of its first end.
#[test]
fn all_spent_attempts_stay_spent() {
    let mut state = RegistryState::with_limits(LIMITS);
    for request in [1, 2] {
        begun(&mut state, 1, begin(1, request));
        run(&mut state, 2, end(1, request, CallOutcome::NotRun));
    }

    let outcomes = [1, 2, 3].map(|request| begun(&mut state, 3, begin(1, request)));

    let spent = BeginOutcome::Ended(CallOutcome::NotRun);
    assert_eq!(outcomes, [spent.clone(), spent, BeginOutcome::Granted]);
}

/// Guards against a call that ran and is changed to not run, and an unknown one that stays so
/// although its agent knows.
#[test]
fn first_known_outcome_stays() {
    let mut state = RegistryState::with_limits(LIMITS);
    begun(&mut state, 1, begin(1, 1));
    run(&mut state, 2, end(1, 1, CallOutcome::Unknown));
    let unknown = begun(&mut state, 2, begin(1, 2));

    run(&mut state, 3, end(1, 1, CallOutcome::Ran(None)));
    run(&mut state, 4, end(1, 1, CallOutcome::NotRun));
    let known = begun(&mut state, 5, begin(1, 2));

    assert_eq!(unknown, BeginOutcome::Ended(CallOutcome::Unknown));
    assert_eq!(known, BeginOutcome::Ended(CallOutcome::Ran(None)));
}

/// Guards against records without a bound, and a bound that never frees.
#[test]
fn records_are_bounded_and_expire() {
    let mut state = RegistryState::with_limits(LIMITS);
    for number in 1..=3 {
        begun(&mut state, 10, begin(number, 1));
    }

    let full = begun(&mut state, 1_010, begin(4, 1));
    let known = begun(&mut state, 1_010, begin(1, 1));
    let freed = begun(&mut state, 1_011, begin(4, 1));

    assert_eq!(full, BeginOutcome::Full);
    assert_eq!(known, BeginOutcome::Granted);
    assert_eq!(freed, BeginOutcome::Granted);
    assert_eq!(state.call_count(), 1);
}

/// Guards against a snapshot after which records do not expire.
#[test]
fn records_expire_after_a_restore() {
    let mut state = RegistryState::with_limits(LIMITS);
    begun(&mut state, 10, begin(1, 1));

    let mut state = RegistryState::restore(&state.snapshot()).unwrap();
    begun(&mut state, 1_011, begin(2, 1));

    assert_eq!(state.call_count(), 1);
}

/// Guards against a new leader whose clock is behind and that keeps records longer or shorter.
#[test]
fn time_does_not_run_back() {
    let mut state = RegistryState::with_limits(LIMITS);
    begun(&mut state, 5_000, begin(1, 1));

    begun(&mut state, 1, begin(2, 1));

    assert_eq!(state.call(&key(2)).unwrap().changed, WallTime(5_000));
}

/// Request id and agent of an attempt.
type AttemptId = (u128, u8);

/// One step of a generated history of one key.
#[derive(Debug, Clone, Copy)]
enum CallStep {
    /// An entry begins an attempt; the answer may be lost.
    Begin { attempt: AttemptId, lost: bool },
    /// The agent of a granted attempt starts it.
    Start { attempt: AttemptId },
    /// The agent bars an attempt that has not started, and the entry records it as not run.
    Bar { attempt: AttemptId },
    /// A started attempt ends with its response, or as unknown.
    End { attempt: AttemptId, known: bool },
    /// A late copy of an earlier command arrives.
    Repeat { index: usize },
}

/// Histories over a number of request ids; some faults need two ids to show often, others three.
fn call_steps(requests: u128) -> impl Strategy<Value = Vec<CallStep>> {
    let attempt = move || (0..requests, 0..2u8);
    let begin = (attempt(), any::<bool>());
    // A start decides the history, so that it must be rare for longer ones.
    let step = prop_oneof![
        4 => begin.prop_map(|(attempt, lost)| CallStep::Begin { attempt, lost }),
        1 => attempt().prop_map(|attempt| CallStep::Start { attempt }),
        2 => attempt().prop_map(|attempt| CallStep::Bar { attempt }),
        1 => (attempt(), any::<bool>())
            .prop_map(|(attempt, known)| CallStep::End { attempt, known }),
        3 => any::<usize>().prop_map(|index| CallStep::Repeat { index }),
    ];
    prop::collection::vec(step, 1..60)
}

/// What the agent and the entry know of an attempt.
#[derive(Debug, Clone, Copy, Default)]
struct AttemptModel {
    /// The record was made for it.
    recorded: bool,
    /// The entry knows that.
    granted: bool,
    started: bool,
    barred: bool,
}

/// The registry with the entries and agents around it.
struct CallModel {
    state: RegistryState,
    attempts: BTreeMap<AttemptId, AttemptModel>,
    sent: Vec<RegistryAction>,
}

impl CallModel {
    fn send(&mut self, action: RegistryAction) -> RegistryOutcome {
        self.sent.push(action.clone());
        run(&mut self.state, 1, action)
    }

    fn step(&mut self, step: CallStep) {
        match step {
            CallStep::Begin { attempt, lost } => {
                let begin = BeginCall {
                    agent: format!("agent-{}", attempt.1).as_str().into(),
                    ..begin(1, attempt.0)
                };
                let outcome = self.send(RegistryAction::Begin(begin));
                let granted = outcome == RegistryOutcome::Begin(BeginOutcome::Granted);
                let model = self.attempts.entry(attempt).or_default();
                model.recorded |= granted;
                model.granted |= granted && !lost;
            }
            CallStep::Start { attempt } => {
                let model = self.attempts.entry(attempt).or_default();
                model.started |= model.granted && !model.barred;
            }
            CallStep::Bar { attempt } => {
                let model = self.attempts.entry(attempt).or_default();
                if model.recorded && !model.started {
                    model.barred = true;
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
                    run(&mut self.state, 1, action);
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

    /// Guards against a call that runs twice through lost answers, late copies of commands, and
    /// attempts that are declared not run.
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
