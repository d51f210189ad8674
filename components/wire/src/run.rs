//! One run of a request: the request to the agent, and the numbered chunks of the answer.

use units::{CostUnits, Incarnation, RequestId};

use crate::session::FlowKey;

units::data! {
    /// One HTTP header.
    pub struct HeaderField {
        /// Name in lower case.
        pub name: String,
        /// Value as bytes.
        pub value: Vec<u8>,
    }

    /// Head of a caller's request, as it is passed on to the target.
    pub struct RequestHead {
        /// HTTP method.
        pub method: String,
        /// Path and query at the target.
        pub path: String,
        /// Headers that are carried through.
        pub headers: Vec<HeaderField>,
    }

    /// Head of the target's response.
    pub struct ResponseHead {
        /// HTTP status.
        pub status: u16,
        /// Headers that are carried through.
        pub headers: Vec<HeaderField>,
    }

    /// What a run begins with.
    pub struct RunStart {
        /// The request, which the agent has claimed before.
        pub request: RequestId,
        /// The flow that it belongs to.
        pub flow: FlowKey,
        /// Whether the request may run more than once.
        pub repeatable: bool,
        /// Rough cost.
        pub cost_estimate: CostUnits,
        /// Time left to the deadline, in milliseconds.
        pub deadline_ms: u64,
        /// Trace context of the caller (`traceparent`).
        pub trace: Option<String>,
        /// Head of the request.
        pub head: RequestHead,
        /// Size of the body that follows in [`RunMessage::Body`] frames, in bytes.
        pub body_size: u64,
    }

    /// Message of an entry to an agent on a run stream.
    pub enum RunMessage {
        /// Begins a run. A second start of the same request attaches to the first.
        Start(RunStart),
        /// Next part of the request body.
        Body(Vec<u8>),
        /// Attaches to a run after its connection was lost.
        Resume {
            /// The request.
            request: RequestId,
            /// Start of the agent's process at which the run began.
            incarnation: Incarnation,
            /// Number of the first chunk that the entry lacks.
            next_chunk: u64,
        },
        /// Asks what became of a request and bars it from starting if it never did.
        Query {
            /// The request.
            request: RequestId,
            /// Start of the agent's process that was granted the request. A process started later
            /// has no memory of the request and answers [`RunStatus::Unknown`].
            incarnation: Incarnation,
        },
        /// All chunks before this number have reached the entry and may be dropped.
        Acknowledge(u64),
        /// The caller is gone: stop the run if it may be repeated.
        Cancel,
    }

    /// What an agent knows of a request.
    #[derive(Copy)]
    pub enum RunStatus {
        /// It never reached the target and never will.
        NotRun,
        /// It runs.
        Running,
        /// It has ended; a resume from chunk 0 gets the answer if it is still buffered.
        Ended,
        /// It reached the target, but its outcome is lost.
        Unknown,
    }

    /// Message of an agent to an entry on a run stream.
    pub enum RunReply {
        /// Head of the response; number 0 in the order of chunks is the chunk after it.
        Head(ResponseHead),
        /// Part of the answer.
        Chunk {
            /// Number of the chunk, from 0.
            number: u64,
            /// Bytes of the body.
            bytes: Vec<u8>,
        },
        /// The answer is complete.
        End {
            /// Number of chunks in the answer.
            chunks: u64,
        },
        /// The run has failed.
        Failed {
            /// Whether the target may have run it.
            status: RunStatus,
            /// Kind of the failure.
            code: FailureCode,
            /// Message for the caller.
            message: String,
        },
        /// Answer to [`RunMessage::Query`].
        Status(RunStatus),
    }

    /// Kind of a failure of a run.
    #[derive(Copy)]
    pub enum FailureCode {
        /// The agent does not hold a claim for the request.
        NotClaimed,
        /// The agent takes no new work: it is leaving, taken out or without a lease.
        NotServing,
        /// The target cannot be reached.
        TargetUnreachable,
        /// The target's connection broke during the answer.
        TargetLost,
        /// The target refused the request because it is full.
        TargetBusy,
        /// The chunks asked for are no longer buffered.
        BufferLost,
        /// The deadline has passed.
        DeadlinePassed,
        /// The request was cancelled.
        Cancelled,
        /// The message could not be understood.
        BadMessage,
    }
}
