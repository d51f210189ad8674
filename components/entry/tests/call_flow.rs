//! Generated event sequences of calls that may not be repeated, with lost and delayed messages,
//! late starts, and crashes of entries and agents between any two steps.

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

const SEQUENCE_COUNT: u32 = 4_000;
const ATTEMPT_COUNT: u128 = 6;
const AGENT_COUNT: usize = 2;

/// Generated fault choices of one sequence. After the last one, all are zero, which means no fault.
struct Choices(std::vec::IntoIter<u8>);

impl Choices {
    /// Returns one of `count` cases. Case 0 stands for no fault and is the most frequent.
    fn pick(&mut self, count: u8) -> u8 {
        let choice = self.0.next().unwrap_or(0);
        if choice < 120 { 0 } else { choice % count }
    }
}

#[derive(Default)]
struct AgentModel {
    incarnation: u64,
    seen: SeenRequests,
    /// Starts that were sent and have not been delivered.
    late_starts: Vec<RequestId>,
}

struct CallSimulation {
    control: FakeRecorder,
    agents: Vec<AgentModel>,
    run_counts: BTreeMap<RequestId, u32>,
    /// Commands that were sent to control and have not been delivered. A command may also be
    /// delivered twice.
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

fn agent_name(agent: usize) -> NodeName {
    NodeName::from(format!("agent-{agent}").as_str())
}

fn call_key() -> CallKey {
    CallKey {
        organisation: "mlyn-hora".into(),
        service: "visits".into(),
        key: IdempotencyKey::from("key-1"),
    }
}

impl CallSimulation {
    fn new(choices: Vec<u8>) -> Self {
        Self {
            control: FakeRecorder::default(),
            agents: (0..AGENT_COUNT).map(|_| AgentModel::default()).collect(),
            run_counts: BTreeMap::new(),
            late_begins: Vec::new(),
            late_ends: Vec::new(),
            choices: Choices(choices.into_iter()),
        }
    }

    /// Delivers a start to an agent. Returns the status that it reports at the end of the run.
    fn deliver(&mut self, agent: usize, request: RequestId) -> RunStatus {
        let model = &mut self.agents[agent];
        match model.seen.start(request, false) {
            SeenVerdict::Forward => {
                *self.run_counts.entry(request).or_default() += 1;
                model
                    .seen
                    .record_end(request, RunStatus::Ended, ClockTime(0));
                RunStatus::Ended
            }
            SeenVerdict::Attach => RunStatus::Ended,
            SeenVerdict::Barred | SeenVerdict::Full => RunStatus::NotRun,
        }
    }

    /// Injects faults between two steps: a late message is delivered, or an agent restarts without
    /// its state.
    fn inject_faults(&mut self) {
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
        for agent in 0..AGENT_COUNT {
            match self.choices.pick(8) {
                1 => {
                    // A start belongs to a connection, so it is lost when the agent's process ends.
                    let incarnation = self.agents[agent].incarnation + 1;
                    self.agents[agent] = AgentModel {
                        incarnation,
                        ..AgentModel::default()
                    };
                }
                2 | 3 => {
                    if let Some(request) = self.agents[agent].late_starts.pop() {
                        self.deliver(agent, request);
                    }
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, own_attempt: &CallAttempt, agent: usize) -> RunStatus {
        if self.agents[agent].incarnation != own_attempt.incarnation.0 {
            // The connection of the claim is lost, and a resume reaches another incarnation.
            return RunStatus::Unknown;
        }
        match self.choices.pick(5) {
            1 => {
                self.agents[agent].late_starts.push(own_attempt.request);
                RunStatus::Unknown
            }
            2 => {
                self.deliver(agent, own_attempt.request);
                RunStatus::Unknown
            }
            3 => self.agents[agent]
                .seen
                .query_or_bar(own_attempt.request, ClockTime(0)),
            _ => self.deliver(agent, own_attempt.request),
        }
    }

    fn query(&mut self, attempt: &CallAttempt) -> Option<RunStatus> {
        let agent = (0..AGENT_COUNT).find(|agent| agent_name(*agent) == attempt.agent)?;
        let is_lost = self.choices.pick(4) == 1;
        let model = &mut self.agents[agent];
        let status = if model.incarnation == attempt.incarnation.0 {
            model.seen.query_or_bar(attempt.request, ClockTime(0))
        } else {
            RunStatus::Unknown
        };
        (!is_lost).then_some(status)
    }

    fn begin(&mut self, own_attempt: &CallAttempt) -> Option<BeginOutcome> {
        let begin = BeginCall {
            call: call_key(),
            body_hash: [1; 32],
            request: own_attempt.request,
            agent: own_attempt.agent.clone(),
            incarnation: own_attempt.incarnation,
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
            call: call_key(),
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

    /// Runs one attempt at an entry. Returns `None` if the entry crashes.
    fn attempt(&mut self, request: RequestId) -> Option<CallVerdict> {
        let agent = usize::from(self.choices.pick(AGENT_COUNT as u8));
        let own_attempt = CallAttempt {
            request,
            agent: agent_name(agent),
            incarnation: Incarnation(self.agents[agent].incarnation),
        };
        let mut call_flow = CallFlow::new(request);
        let mut step = CallStep::Begin;
        loop {
            self.inject_faults();
            if self.choices.pick(12) == 1 {
                return None;
            }
            step = match step {
                CallStep::Begin => {
                    let outcome = self.begin(&own_attempt);
                    call_flow.handle_begin(outcome)
                }
                CallStep::Start => {
                    let status = self.start(&own_attempt, agent);
                    call_flow.handle_run_end(status, Some(response(request)))
                }
                CallStep::Query(attempt) => {
                    let status = self.query(&attempt);
                    call_flow.handle_query(status)
                }
                CallStep::Fetch(attempt) => {
                    let is_available = self.choices.pick(3) == 0;
                    call_flow.handle_fetch(is_available.then(|| response(attempt.request)))
                }
                CallStep::End { request, outcome } => {
                    let confirmed = self.end(request, outcome);
                    call_flow.handle_end(confirmed)
                }
                CallStep::Done(verdict) => return Some(verdict),
            };
        }
    }

    fn run_count(&self, request: RequestId) -> u32 {
        self.run_counts.get(&request).copied().unwrap_or(0)
    }
}

fn check(choices: Vec<u8>) -> Result<(), TestCaseError> {
    let mut simulation = CallSimulation::new(choices);
    let mut verdicts = Vec::new();
    for attempt in 0..ATTEMPT_COUNT {
        let request = RequestId(attempt + 1);
        verdicts.push((request, simulation.attempt(request)));
    }
    for agent in 0..AGENT_COUNT {
        for request in std::mem::take(&mut simulation.agents[agent].late_starts) {
            simulation.deliver(agent, request);
        }
    }
    let total_runs: u32 = simulation.run_counts.values().sum();
    prop_assert!(
        total_runs <= 1,
        "{:?} {:?}",
        simulation.run_counts,
        verdicts
    );
    for (request, verdict) in verdicts {
        let run_count = simulation.run_count(request);
        match verdict {
            Some(
                CallVerdict::NotRun
                | CallVerdict::NoRecord
                | CallVerdict::Full
                | CallVerdict::Mismatch,
            ) => prop_assert_eq!(
                run_count,
                0,
                "request {} ran and was reported as not run",
                request
            ),
            Some(CallVerdict::Answered) => prop_assert_eq!(run_count, 1),
            Some(CallVerdict::Recorded(Some(recorded))) => {
                let (executed, _) = simulation
                    .run_counts
                    .iter()
                    .next()
                    .expect("a recorded call was forwarded");
                prop_assert_eq!(recorded, response(*executed));
            }
            _ => {}
        }
    }
    Ok(())
}

/// Guards against a second execution of a call, and against an executed call that is reported as
/// not run.
#[test]
fn generated_sequences_run_a_call_at_most_once() {
    let config = Config {
        cases: SEQUENCE_COUNT,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);

    let choices = proptest::collection::vec(any::<u8>(), 0..200);

    runner.run(&choices, check).unwrap();
}

/// Guards against a call that does not complete although no fault occurs, and against a resend that
/// does not receive the recorded response.
#[test]
fn call_without_faults_is_answered_and_its_response_recorded() {
    let mut simulation = CallSimulation::new(Vec::new());

    let first_verdict = simulation.attempt(RequestId(1));
    let second_verdict = simulation.attempt(RequestId(2));

    assert_eq!(first_verdict, Some(CallVerdict::Answered));
    assert_eq!(
        second_verdict,
        Some(CallVerdict::Recorded(Some(response(RequestId(1)))))
    );
}
