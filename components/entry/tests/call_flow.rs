//! Generated histories of calls that may not be repeated: lost messages, late starts, and crashes
//! of entries and agents between any two steps.

#[allow(dead_code)]
#[path = "common/recorder.rs"]
mod recorder;

use std::collections::BTreeMap;

use agent::{SeenRequests, SeenVerdict};
use entry::{CallAttempt, CallFlow, CallStep, CallVerdict};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use recorder::FakeRecorder;
use units::{ClockTime, IdempotencyKey, Incarnation, NodeName, RequestId};
use wire::{
    BeginCall, BeginOutcome, CallKey, CallOutcome, EndCall, ResponseHead, RunStatus, StoredResponse,
};

const HISTORIES: u32 = 4_000;
const ATTEMPTS: u128 = 6;
const AGENTS: usize = 2;

/// Choices of one history; all are zero (no fault) after the end.
struct Choices(std::vec::IntoIter<u8>);

impl Choices {
    /// One of `count` cases; case 0 is the one without a fault and the most frequent.
    fn pick(&mut self, count: u8) -> u8 {
        let choice = self.0.next().unwrap_or(0);
        if choice < 120 { 0 } else { choice % count }
    }
}

#[derive(Default)]
struct AgentModel {
    incarnation: u64,
    seen: SeenRequests,
    /// Starts on their way.
    late: Vec<RequestId>,
}

struct World {
    control: FakeRecorder,
    agents: Vec<AgentModel>,
    forwards: BTreeMap<RequestId, u32>,
    /// Commands on their way to control; one may also arrive twice.
    late_begins: Vec<BeginCall>,
    late_ends: Vec<EndCall>,
    choices: Choices,
}

fn response(request: RequestId) -> StoredResponse {
    StoredResponse {
        head: ResponseHead {
            status: 200,
            headers: Vec::new(),
        },
        body: request.to_string().into_bytes(),
    }
}

fn name(agent: usize) -> NodeName {
    NodeName::from(format!("agent-{agent}").as_str())
}

fn call() -> CallKey {
    CallKey {
        organisation: "mlyn-hora".into(),
        service: "visits".into(),
        key: IdempotencyKey::from("key-1"),
    }
}

impl World {
    fn new(choices: Vec<u8>) -> Self {
        Self {
            control: FakeRecorder::default(),
            agents: (0..AGENTS).map(|_| AgentModel::default()).collect(),
            forwards: BTreeMap::new(),
            late_begins: Vec::new(),
            late_ends: Vec::new(),
            choices: Choices(choices.into_iter()),
        }
    }

    /// Delivers a start; the status is what the agent knows at the end of the run.
    fn deliver(&mut self, agent: usize, request: RequestId) -> RunStatus {
        let model = &mut self.agents[agent];
        match model.seen.start(request, false) {
            SeenVerdict::Forward => {
                *self.forwards.entry(request).or_default() += 1;
                model.seen.ended(request, RunStatus::Ended, ClockTime(0));
                RunStatus::Ended
            }
            SeenVerdict::Attach => RunStatus::Ended,
            SeenVerdict::Barred | SeenVerdict::Full => RunStatus::NotRun,
        }
    }

    /// Between two steps a late message may arrive, or an agent may restart with empty memory.
    fn disturb(&mut self) {
        match self.choices.pick(6) {
            1 => {
                if let Some(begin) = self.late_begins.pop() {
                    self.control.apply_begin(&begin);
                }
            }
            2 => {
                if let Some(end) = self.late_ends.pop() {
                    self.control.apply_end(&end);
                }
            }
            _ => {}
        }
        for agent in 0..AGENTS {
            match self.choices.pick(8) {
                1 => {
                    // A start is bound to its connection, so it does not survive the process.
                    let incarnation = self.agents[agent].incarnation + 1;
                    self.agents[agent] = AgentModel {
                        incarnation,
                        ..AgentModel::default()
                    };
                }
                2 | 3 => {
                    if let Some(request) = self.agents[agent].late.pop() {
                        self.deliver(agent, request);
                    }
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, own: &CallAttempt, agent: usize) -> RunStatus {
        if self.agents[agent].incarnation != own.incarnation.0 {
            // The connection of the claim is gone, and a resume meets another process.
            return RunStatus::Unknown;
        }
        match self.choices.pick(5) {
            1 => {
                self.agents[agent].late.push(own.request);
                RunStatus::Unknown
            }
            2 => {
                self.deliver(agent, own.request);
                RunStatus::Unknown
            }
            3 => self.agents[agent].seen.query(own.request, ClockTime(0)),
            _ => self.deliver(agent, own.request),
        }
    }

    fn query(&mut self, attempt: &CallAttempt) -> Option<RunStatus> {
        let agent = (0..AGENTS).find(|agent| name(*agent) == attempt.agent)?;
        let lost = self.choices.pick(4) == 1;
        let model = &mut self.agents[agent];
        let status = if model.incarnation == attempt.incarnation.0 {
            model.seen.query(attempt.request, ClockTime(0))
        } else {
            RunStatus::Unknown
        };
        (!lost).then_some(status)
    }

    fn begin(&mut self, own: &CallAttempt) -> Option<BeginOutcome> {
        let begin = BeginCall {
            call: call(),
            body_hash: [1; 32],
            request: own.request,
            agent: own.agent.clone(),
            incarnation: own.incarnation,
        };
        let fault = self.choices.pick(5);
        if fault == 1 || fault == 2 {
            self.late_begins.push(begin.clone());
        }
        if fault == 1 {
            return None;
        }
        let outcome = self.control.apply_begin(&begin);
        (fault != 3).then_some(outcome)
    }

    fn end(&mut self, request: RequestId, outcome: CallOutcome) -> bool {
        let end = EndCall {
            call: call(),
            request,
            outcome,
        };
        let fault = self.choices.pick(5);
        if fault == 1 || fault == 2 {
            self.late_ends.push(end.clone());
        }
        if fault == 1 {
            return false;
        }
        self.control.apply_end(&end);
        fault != 3
    }

    /// One attempt at an entry; `None` if the entry crashes.
    fn attempt(&mut self, request: RequestId) -> Option<CallVerdict> {
        let agent = usize::from(self.choices.pick(AGENTS as u8));
        let own = CallAttempt {
            request,
            agent: name(agent),
            incarnation: Incarnation(self.agents[agent].incarnation),
        };
        let mut flow = CallFlow::new(request);
        let mut step = CallStep::Begin;
        loop {
            self.disturb();
            if self.choices.pick(12) == 1 {
                return None;
            }
            step = match step {
                CallStep::Begin => {
                    let outcome = self.begin(&own);
                    flow.handle_begin(outcome)
                }
                CallStep::Start => {
                    let status = self.start(&own, agent);
                    flow.handle_run_end(status, Some(response(request)))
                }
                CallStep::Query(attempt) => {
                    let status = self.query(&attempt);
                    flow.handle_query(status)
                }
                CallStep::Fetch(attempt) => {
                    let found = self.choices.pick(3) == 0;
                    flow.handle_fetch(found.then(|| response(attempt.request)))
                }
                CallStep::End { request, outcome } => {
                    let confirmed = self.end(request, outcome);
                    flow.handle_end(confirmed)
                }
                CallStep::Done(verdict) => return Some(verdict),
            };
        }
    }

    fn forwards_of(&self, request: RequestId) -> u32 {
        self.forwards.get(&request).copied().unwrap_or(0)
    }
}

fn check(choices: Vec<u8>) -> Result<(), TestCaseError> {
    let mut world = World::new(choices);
    let mut verdicts = Vec::new();
    for attempt in 0..ATTEMPTS {
        let request = RequestId(attempt + 1);
        verdicts.push((request, world.attempt(request)));
    }
    for agent in 0..AGENTS {
        for request in std::mem::take(&mut world.agents[agent].late) {
            world.deliver(agent, request);
        }
    }
    let forwards: u32 = world.forwards.values().sum();
    prop_assert!(forwards <= 1, "{:?} {:?}", world.forwards, verdicts);
    for (request, verdict) in verdicts {
        let own = world.forwards_of(request);
        match verdict {
            Some(
                CallVerdict::NotRun
                | CallVerdict::NoRecord
                | CallVerdict::Full
                | CallVerdict::Mismatch,
            ) => prop_assert_eq!(own, 0, "request {} was told not run", request),
            Some(CallVerdict::Answered) => prop_assert_eq!(own, 1),
            Some(CallVerdict::Recorded(Some(found))) => {
                let (ran, _) = world.forwards.iter().next().expect("a recorded call ran");
                prop_assert_eq!(found, response(*ran));
            }
            _ => {}
        }
    }
    Ok(())
}

/// Guards against a second execution of a call, and against a false "not run".
#[test]
fn generated_histories_run_a_call_at_most_once() {
    let config = Config {
        cases: HISTORIES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);

    let choices = proptest::collection::vec(any::<u8>(), 0..200);

    runner.run(&choices, check).unwrap();
}

/// Guards against a flow that never ends although nothing fails.
#[test]
fn history_without_faults_is_answered_and_then_recorded() {
    let mut world = World::new(Vec::new());

    let first = world.attempt(RequestId(1));
    let second = world.attempt(RequestId(2));

    assert_eq!(first, Some(CallVerdict::Answered));
    assert_eq!(
        second,
        Some(CallVerdict::Recorded(Some(response(RequestId(1)))))
    );
}
