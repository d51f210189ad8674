//! Sequence of a call that may not be repeated, as a state machine.
//!
//! The record in the replicated log is written before the run starts, so at any time at most one
//! attempt may run. An attempt is declared not run only if it was never started, or if its agent
//! has barred it.

use units::{Incarnation, NodeName, RequestId};
use wire::{BeginOutcome, CallOutcome, RunStatus, StoredResponse};

/// How often a request to control is repeated when its answer is lost.
const MAX_BEGINS: u32 = 4;

/// An attempt of a call at one agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAttempt {
    /// The attempt.
    pub request: RequestId,
    /// The agent that may run it.
    pub agent: NodeName,
    /// Start of the agent's process.
    pub incarnation: Incarnation,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallStep {
    /// Record the own attempt at control, then call [`CallFlow::handle_begin`].
    Begin,
    /// Start the run at the agent, then call [`CallFlow::handle_run_end`].
    Start,
    /// Ask the agent of another attempt, then call [`CallFlow::handle_query`].
    Query(CallAttempt),
    /// Read the response of another attempt from its agent, then call [`CallFlow::handle_fetch`].
    Fetch(CallAttempt),
    /// Record an outcome at control, then call [`CallFlow::handle_end`].
    End {
        /// The attempt that ended.
        request: RequestId,
        /// Its outcome.
        outcome: CallOutcome,
    },
    /// Answer the caller.
    Done(CallVerdict),
}

/// Answer to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallVerdict {
    /// The own attempt ran, and its response went to the caller.
    Answered,
    /// The own attempt did not run and will not.
    NotRun,
    /// The own attempt may have run.
    Unknown,
    /// The call ran before; this is its response if it was kept.
    Recorded(Option<StoredResponse>),
    /// Another attempt runs.
    InProgress,
    /// An earlier attempt may have run.
    EarlierUnknown,
    /// The key was used for another body.
    Mismatch,
    /// The bound on records is reached.
    Full,
    /// Control did not confirm the record.
    NoRecord,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum FlowState {
    Beginning,
    Running,
    Querying(CallAttempt),
    Fetching(CallAttempt),
    /// The earlier attempt was barred; its end is being recorded.
    Clearing,
    Ending(CallVerdict),
    Done,
}

/// One attempt of a call at this entry.
#[derive(Debug)]
pub struct CallFlow {
    request: RequestId,
    state: FlowState,
    begins: u32,
    reread: bool,
}

impl CallFlow {
    /// Creates the flow of an attempt that an agent has claimed. The first step is
    /// [`CallStep::Begin`].
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            state: FlowState::Beginning,
            begins: 1,
            reread: false,
        }
    }

    /// Takes control's answer to `Begin`; `None` if there was none.
    pub fn handle_begin(&mut self, outcome: Option<BeginOutcome>) -> CallStep {
        assert_eq!(self.state, FlowState::Beginning, "only a begin is answered");
        match outcome {
            None => self.begin_again(CallVerdict::NoRecord),
            Some(BeginOutcome::Granted) => self.start(),
            // The answer to an earlier Begin of this attempt was lost.
            Some(BeginOutcome::InProgress { request, .. }) if request == self.request => {
                self.start()
            }
            Some(BeginOutcome::InProgress {
                request,
                agent,
                incarnation,
            }) => self.query(CallAttempt {
                request,
                agent,
                incarnation,
            }),
            Some(BeginOutcome::Ended(outcome)) => self.earlier(outcome),
            Some(BeginOutcome::Mismatch) => self.done(CallVerdict::Mismatch),
            Some(BeginOutcome::Full) => self.done(CallVerdict::Full),
        }
    }

    /// Takes the end of the own run. `None` for the response means that it is too large to record.
    pub fn handle_run_end(
        &mut self,
        status: RunStatus,
        response: Option<StoredResponse>,
    ) -> CallStep {
        assert_eq!(self.state, FlowState::Running, "only a started run ends");
        let (outcome, verdict) = match status {
            RunStatus::Ended => (CallOutcome::Ran(response), CallVerdict::Answered),
            RunStatus::NotRun => (CallOutcome::NotRun, CallVerdict::NotRun),
            RunStatus::Running | RunStatus::Unknown => (CallOutcome::Unknown, CallVerdict::Unknown),
        };
        self.end(self.request, outcome, verdict)
    }

    /// Takes the answer of another attempt's agent; `None` if it cannot be reached.
    pub fn handle_query(&mut self, status: Option<RunStatus>) -> CallStep {
        let FlowState::Querying(attempt) = self.state.clone() else {
            unreachable!("only a query is answered");
        };
        match status {
            None | Some(RunStatus::Running) => self.done(CallVerdict::InProgress),
            Some(RunStatus::NotRun) => {
                self.state = FlowState::Clearing;
                CallStep::End {
                    request: attempt.request,
                    outcome: CallOutcome::NotRun,
                }
            }
            // The entry of the other attempt may just have recorded the response.
            Some(RunStatus::Ended) if !self.reread => {
                self.reread = true;
                self.begin_again(CallVerdict::InProgress)
            }
            Some(RunStatus::Ended) => {
                self.state = FlowState::Fetching(attempt.clone());
                CallStep::Fetch(attempt)
            }
            Some(RunStatus::Unknown) => {
                let verdict = CallVerdict::EarlierUnknown;
                self.end(attempt.request, CallOutcome::Unknown, verdict)
            }
        }
    }

    /// Takes the response of another attempt; `None` if its agent no longer has it.
    pub fn handle_fetch(&mut self, response: Option<StoredResponse>) -> CallStep {
        let FlowState::Fetching(attempt) = self.state.clone() else {
            unreachable!("only a fetch is answered");
        };
        let verdict = CallVerdict::Recorded(response.clone());
        self.end(attempt.request, CallOutcome::Ran(response), verdict)
    }

    /// Takes control's answer to `End`.
    pub fn handle_end(&mut self, confirmed: bool) -> CallStep {
        match self.state.clone() {
            FlowState::Clearing if confirmed => self.begin_again(CallVerdict::NoRecord),
            FlowState::Clearing => self.done(CallVerdict::NoRecord),
            // An end that is not recorded leaves the record in progress; a resend asks the agent.
            FlowState::Ending(verdict) => self.done(verdict),
            state => unreachable!("no end is written in {state:?}"),
        }
    }

    fn start(&mut self) -> CallStep {
        self.state = FlowState::Running;
        CallStep::Start
    }

    fn query(&mut self, attempt: CallAttempt) -> CallStep {
        self.state = FlowState::Querying(attempt.clone());
        CallStep::Query(attempt)
    }

    fn earlier(&mut self, outcome: CallOutcome) -> CallStep {
        match outcome {
            CallOutcome::Ran(response) => self.done(CallVerdict::Recorded(response)),
            CallOutcome::Unknown => self.done(CallVerdict::EarlierUnknown),
            // Another entry has barred this attempt before it began.
            CallOutcome::NotRun => self.done(CallVerdict::NoRecord),
        }
    }

    fn begin_again(&mut self, otherwise: CallVerdict) -> CallStep {
        if self.begins >= MAX_BEGINS {
            return self.done(otherwise);
        }
        self.begins += 1;
        self.state = FlowState::Beginning;
        CallStep::Begin
    }

    fn end(&mut self, request: RequestId, outcome: CallOutcome, verdict: CallVerdict) -> CallStep {
        self.state = FlowState::Ending(verdict);
        CallStep::End { request, outcome }
    }

    fn done(&mut self, verdict: CallVerdict) -> CallStep {
        self.state = FlowState::Done;
        CallStep::Done(verdict)
    }
}
