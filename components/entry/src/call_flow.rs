//! State machine of a call that may not be repeated.
//!
//! The record in the replicated log is written before the run starts, so at most one attempt may
//! run at any time. An attempt is reported as not run only if it was never started, or if its agent
//! has barred it, which means that the agent will refuse to start it.

use units::{Incarnation, NodeName, RequestId};
use wire::{BeginOutcome, CallOutcome, RunStatus, StoredResponse};

/// Maximum number of times that an attempt sends `Begin` to control. It is sent again if the reply
/// was lost, and after another attempt of the call has ended.
const MAX_BEGIN_ATTEMPTS: u32 = 4;

/// Attempt of a call at one agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAttempt {
    /// Request id of the attempt.
    pub request: RequestId,
    /// Agent that may run the attempt.
    pub agent: NodeName,
    /// Incarnation of the agent process that claimed the attempt.
    pub incarnation: Incarnation,
}

/// Next step of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallStep {
    /// Record this attempt at control, then call [`CallFlow::handle_begin`].
    Begin,
    /// Start the run at the agent, then call [`CallFlow::handle_run_end`].
    Start,
    /// Query the agent of another attempt, then call [`CallFlow::handle_query`].
    Query(CallAttempt),
    /// Read the response of another attempt from its agent, then call [`CallFlow::handle_fetch`].
    Fetch(CallAttempt),
    /// Record an outcome at control, then call [`CallFlow::handle_end`].
    End {
        /// Request id of the attempt that ended.
        request: RequestId,
        /// Outcome of the attempt.
        outcome: CallOutcome,
    },
    /// Respond to the caller.
    Done(CallVerdict),
}

/// Final result of a call, which determines the response to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallVerdict {
    /// This attempt ran, and its response was sent to the caller.
    Answered,
    /// This attempt did not run and will not run.
    NotRun,
    /// This attempt may have run.
    Unknown,
    /// An earlier attempt ran. Holds its response if it was recorded.
    Recorded(Option<StoredResponse>),
    /// Another attempt is in progress.
    InProgress,
    /// An earlier attempt may have run.
    EarlierUnknown,
    /// The idempotency key was used for a different request.
    Mismatch,
    /// The limit on call records is reached.
    Full,
    /// Control did not confirm the record of this attempt.
    NoRecord,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum CallState {
    RecordingBegin,
    Running,
    Querying(CallAttempt),
    Fetching(CallAttempt),
    /// The other attempt was barred, and its outcome `NotRun` is being recorded.
    RecordingNotRun,
    RecordingOutcome(CallVerdict),
    Done,
}

/// State of a call at this entry, from the claim by an agent to the response.
#[derive(Debug)]
pub struct CallFlow {
    request: RequestId,
    state: CallState,
    begin_attempts: u32,
    has_reread_record: bool,
}

impl CallFlow {
    /// Creates the state of an attempt that an agent has claimed. The first step is
    /// [`CallStep::Begin`].
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            state: CallState::RecordingBegin,
            begin_attempts: 1,
            has_reread_record: false,
        }
    }

    /// Handles the reply of control to `Begin`; `None` if no reply arrived.
    pub fn handle_begin(&mut self, outcome: Option<BeginOutcome>) -> CallStep {
        assert_eq!(
            self.state,
            CallState::RecordingBegin,
            "a begin is only handled while one is pending"
        );
        match outcome {
            None => self.retry_begin(CallVerdict::NoRecord),
            Some(BeginOutcome::Granted) => self.start_run(),
            // The reply to an earlier `Begin` of this attempt was lost.
            Some(BeginOutcome::InProgress { request, .. }) if request == self.request => {
                self.start_run()
            }
            Some(BeginOutcome::InProgress {
                request,
                agent,
                incarnation,
            }) => self.query_attempt(CallAttempt {
                request,
                agent,
                incarnation,
            }),
            Some(BeginOutcome::Ended(outcome)) => self.handle_earlier_outcome(outcome),
            Some(BeginOutcome::Mismatch) => self.finish(CallVerdict::Mismatch),
            Some(BeginOutcome::Full) => self.finish(CallVerdict::Full),
        }
    }

    /// Handles the end of this attempt's run. `response` is `None` if it is incomplete or too large
    /// to be recorded.
    pub fn handle_run_end(
        &mut self,
        status: RunStatus,
        response: Option<StoredResponse>,
    ) -> CallStep {
        assert_eq!(
            self.state,
            CallState::Running,
            "a run only ends after it was started"
        );
        let (outcome, verdict) = match status {
            RunStatus::Ended => (CallOutcome::Ran(response), CallVerdict::Answered),
            RunStatus::NotRun => (CallOutcome::NotRun, CallVerdict::NotRun),
            RunStatus::Running | RunStatus::Unknown => (CallOutcome::Unknown, CallVerdict::Unknown),
        };
        self.record_outcome(self.request, outcome, verdict)
    }

    /// Handles the status of another attempt; `None` if its agent cannot be reached.
    pub fn handle_query(&mut self, status: Option<RunStatus>) -> CallStep {
        let CallState::Querying(attempt) = self.state.clone() else {
            unreachable!("a query is only handled while one is pending");
        };
        match status {
            None | Some(RunStatus::Running) => self.finish(CallVerdict::InProgress),
            Some(RunStatus::NotRun) => {
                self.state = CallState::RecordingNotRun;
                CallStep::End {
                    request: attempt.request,
                    outcome: CallOutcome::NotRun,
                }
            }
            // The entry of the other attempt may have recorded the response in the meantime, so the
            // record is read again before the response is fetched.
            Some(RunStatus::Ended) if !self.has_reread_record => {
                self.has_reread_record = true;
                self.retry_begin(CallVerdict::InProgress)
            }
            Some(RunStatus::Ended) => {
                self.state = CallState::Fetching(attempt.clone());
                CallStep::Fetch(attempt)
            }
            Some(RunStatus::Unknown) => {
                let verdict = CallVerdict::EarlierUnknown;
                self.record_outcome(attempt.request, CallOutcome::Unknown, verdict)
            }
        }
    }

    /// Handles the response of another attempt; `None` if its agent no longer has it.
    pub fn handle_fetch(&mut self, response: Option<StoredResponse>) -> CallStep {
        let CallState::Fetching(attempt) = self.state.clone() else {
            unreachable!("a fetch is only handled while one is pending");
        };
        let verdict = CallVerdict::Recorded(response.clone());
        self.record_outcome(attempt.request, CallOutcome::Ran(response), verdict)
    }

    /// Handles the reply of control to `End`. `confirmed` tells whether the outcome was recorded.
    pub fn handle_end(&mut self, confirmed: bool) -> CallStep {
        match self.state.clone() {
            CallState::RecordingNotRun if confirmed => self.retry_begin(CallVerdict::NoRecord),
            CallState::RecordingNotRun => self.finish(CallVerdict::NoRecord),
            // Without a recorded outcome the call stays in progress, and the next attempt queries
            // the agent.
            CallState::RecordingOutcome(verdict) => self.finish(verdict),
            state => unreachable!("no outcome is recorded in state {state:?}"),
        }
    }

    fn start_run(&mut self) -> CallStep {
        self.state = CallState::Running;
        CallStep::Start
    }

    fn query_attempt(&mut self, attempt: CallAttempt) -> CallStep {
        self.state = CallState::Querying(attempt.clone());
        CallStep::Query(attempt)
    }

    fn handle_earlier_outcome(&mut self, outcome: CallOutcome) -> CallStep {
        match outcome {
            CallOutcome::Ran(response) => self.finish(CallVerdict::Recorded(response)),
            CallOutcome::Unknown => self.finish(CallVerdict::EarlierUnknown),
            // Another entry has barred this attempt before its record was confirmed.
            CallOutcome::NotRun => self.finish(CallVerdict::NoRecord),
        }
    }

    fn retry_begin(&mut self, fallback: CallVerdict) -> CallStep {
        if self.begin_attempts >= MAX_BEGIN_ATTEMPTS {
            return self.finish(fallback);
        }
        self.begin_attempts += 1;
        self.state = CallState::RecordingBegin;
        CallStep::Begin
    }

    fn record_outcome(
        &mut self,
        request: RequestId,
        outcome: CallOutcome,
        verdict: CallVerdict,
    ) -> CallStep {
        self.state = CallState::RecordingOutcome(verdict);
        CallStep::End { request, outcome }
    }

    fn finish(&mut self, verdict: CallVerdict) -> CallStep {
        self.state = CallState::Done;
        CallStep::Done(verdict)
    }
}
