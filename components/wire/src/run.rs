//! Messages of a run stream: the request to the agent, and the numbered chunks of the response.

use units::{CostUnits, Incarnation, RequestId};

use crate::session::FlowKey;

units::data! {
    /// An HTTP header.
    pub struct HeaderField {
        /// Name in lower case.
        pub name: String,
        /// Value, which need not be valid UTF-8.
        pub value: Vec<u8>,
    }

    /// Head of a caller's request, as forwarded to the target.
    pub struct RequestHead {
        /// Method, such as `POST`.
        pub method: String,
        /// Path and query for the target.
        pub path: String,
        /// Forwarded headers.
        pub headers: Vec<HeaderField>,
    }

    /// Head of the target's response.
    pub struct ResponseHead {
        /// Status code.
        pub status: u16,
        /// Forwarded headers.
        pub headers: Vec<HeaderField>,
    }

    /// First message of a run.
    pub struct RunStart {
        /// Id of the request, which the agent must have claimed.
        pub request: RequestId,
        /// Flow of the request.
        pub flow: FlowKey,
        /// Whether it is safe to run the request more than once.
        pub repeatable: bool,
        /// Estimated cost of the request.
        pub cost_estimate: CostUnits,
        /// Remaining time to the deadline, in milliseconds.
        pub deadline_ms: u64,
        /// Trace context of the caller (`traceparent`).
        pub trace: Option<String>,
        /// Method, path and headers.
        pub head: RequestHead,
        /// Size of the body that follows in [`RunMessage::Body`] frames, in bytes.
        pub body_size: u64,
    }

    /// Message from an entry to an agent on a run stream.
    pub enum RunMessage {
        /// Starts a run. A second start of the same request attaches to the existing run.
        Start(RunStart),
        /// Next part of the request body.
        Body(Vec<u8>),
        /// Attaches to a run again after the connection was lost.
        Resume {
            /// Id of the request.
            request: RequestId,
            /// Incarnation of the agent's process that started the run.
            incarnation: Incarnation,
            /// Number of the first chunk that the entry has not received.
            next_chunk: u64,
        },
        /// Queries the outcome of a request, and prevents its start if it has not started.
        Query {
            /// Id of the request.
            request: RequestId,
            /// Incarnation of the agent's process that was granted the request. A process started
            /// later has no record of the request and replies [`RunStatus::Unknown`].
            incarnation: Incarnation,
        },
        /// The entry has received all chunks before this number, and the agent may discard them.
        Acknowledge(u64),
        /// The caller has disconnected: the agent stops the run if it is repeatable.
        Cancel,
    }

    /// Status of a request at an agent.
    #[derive(Copy)]
    pub enum RunStatus {
        /// The request did not reach the target and never will.
        NotRun,
        /// The request is running.
        Running,
        /// The request has ended. Resuming it from chunk 0 returns the response if that is still
        /// buffered.
        Ended,
        /// The request may have reached the target, and its outcome is not known.
        Unknown,
    }

    /// Message from an agent to an entry on a run stream.
    pub enum RunReply {
        /// Head of the response. It has no chunk number; chunk 0 follows it.
        Head(ResponseHead),
        /// Part of the response body.
        Chunk {
            /// Chunk number, starting at 0.
            number: u64,
            /// Content of the chunk.
            bytes: Vec<u8>,
        },
        /// The response is complete.
        End {
            /// Number of chunks in the response.
            chunks: u64,
        },
        /// The run failed.
        Failed {
            /// Whether the target may have run the request.
            status: RunStatus,
            /// Cause of the failure.
            code: FailureCode,
            /// Error message for the caller.
            message: String,
        },
        /// Reply to [`RunMessage::Query`].
        Status(RunStatus),
    }

    /// Cause of the failure of a run.
    #[derive(Copy)]
    pub enum FailureCode {
        /// The agent has not claimed the request.
        NotClaimed,
        /// The agent accepts no new work: it is leaving, taken out or has no lease.
        NotServing,
        /// The agent cannot connect to the target.
        TargetUnreachable,
        /// The connection to the target broke during the response.
        TargetLost,
        /// The target rejected the request because it is at its capacity.
        TargetBusy,
        /// The requested chunks are no longer buffered.
        BufferLost,
        /// The deadline of the request has passed.
        DeadlinePassed,
        /// The request was cancelled.
        Cancelled,
        /// The agent received an invalid message.
        BadMessage,
        /// This process of the target, as counted by its agent, ended during the response.
        TargetCrashed(Incarnation),
    }
}
