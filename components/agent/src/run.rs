//! State of one run: the part of the response that the target has produced, and its readers.

use std::time::Duration;

use board::StateBoard;
use units::{ClockTime, CostUnits};
use wire::{FailureCode, ResponseHead, RunReply, RunStatus};

use crate::buffer::RunBuffer;

/// Time without a reader after which a repeatable run is cancelled.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a reader for which the response of a call that may not be repeated is kept for
/// another entry.
const CALL_RESPONSE_RETENTION: Duration = Duration::from_secs(60);

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The response is complete and had this cost.
    Complete(CostUnits),
    /// The run ended without a complete response.
    Failed(RunFailure),
}

/// Reason why a run ended without a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunFailure {
    pub(crate) status: RunStatus,
    pub(crate) code: FailureCode,
    pub(crate) message: String,
}

impl RunFailure {
    pub(crate) fn new(status: RunStatus, code: FailureCode, message: impl ToString) -> Self {
        Self {
            status,
            code,
            message: message.to_string(),
        }
    }

    /// Creates a failure of a request that did not reach the target.
    pub(crate) fn not_run(code: FailureCode, message: impl ToString) -> Self {
        Self::new(RunStatus::NotRun, code, message)
    }

    pub(crate) fn into_reply(self) -> RunReply {
        RunReply::Failed {
            status: self.status,
            code: self.code,
            message: self.message,
        }
    }
}

impl RunEnd {
    /// Status to record for the request in [`SeenRequests`](crate::seen::SeenRequests).
    pub(crate) fn status(&self) -> RunStatus {
        match self {
            Self::Complete(_) => RunStatus::Ended,
            Self::Failed(failure) => failure.status,
        }
    }
}

#[derive(Debug)]
struct RunState {
    head: Option<ResponseHead>,
    buffer: RunBuffer,
    end: Option<RunEnd>,
    is_cancelled: bool,
    reader_generation: u64,
    unread_since: Option<ClockTime>,
}

/// Next step of a reader of a run.
#[derive(Debug)]
pub(crate) enum ReadStep {
    /// Send this reply and continue.
    Reply(RunReply),
    /// Send this reply, which is the last one.
    Last(RunReply),
    /// Stop, since a newer reader has attached.
    Superseded,
}

/// Position of one reader in a run.
#[derive(Debug)]
pub(crate) struct RunReader {
    generation: u64,
    is_head_sent: bool,
    next_chunk: u64,
}

/// Run shared by the task that receives the response and the streams that send it to entries.
#[derive(Debug, Clone)]
pub(crate) struct AgentRun {
    board: StateBoard<RunState>,
    is_repeatable: bool,
}

impl AgentRun {
    pub(crate) fn new(is_repeatable: bool, now: ClockTime) -> Self {
        Self {
            board: StateBoard::new(RunState {
                head: None,
                buffer: RunBuffer::new(!is_repeatable),
                end: None,
                is_cancelled: false,
                reader_generation: 0,
                unread_since: Some(now),
            }),
            is_repeatable,
        }
    }

    pub(crate) fn set_head(&self, head: ResponseHead) {
        self.board.write(|run| run.head = Some(head));
    }

    /// Appends bytes to the response, after waiting until the buffer has room.
    pub(crate) async fn push(&self, bytes: &[u8]) {
        self.board
            .wait_for(|run| run.buffer.has_room().then_some(()))
            .await;
        self.board.write(|run| run.buffer.push(bytes));
    }

    pub(crate) fn set_end(&self, end: RunEnd) {
        self.board.write(|run| run.end = Some(end));
    }

    pub(crate) fn acknowledge(&self, next_chunk: u64) {
        self.board.write(|run| run.buffer.acknowledge(next_chunk));
    }

    /// Cancels the run if it is repeatable.
    pub(crate) fn cancel(&self) {
        if self.is_repeatable {
            self.board.write(|run| run.is_cancelled = true);
        }
    }

    /// Waits until the run is cancelled.
    pub(crate) async fn cancelled(&self) {
        self.board
            .wait_for(|run| run.is_cancelled.then_some(()))
            .await;
    }

    /// Attaches a reader that begins at chunk `next_chunk`, and replaces an earlier reader.
    pub(crate) fn attach(&self, next_chunk: u64) -> RunReader {
        let generation = self.board.write(|run| {
            run.reader_generation += 1;
            run.unread_since = None;
            run.reader_generation
        });
        RunReader {
            generation,
            is_head_sent: false,
            next_chunk,
        }
    }

    /// Detaches a reader, unless a newer one has replaced it.
    pub(crate) fn detach(&self, reader: &RunReader, now: ClockTime) {
        self.board.write(|run| {
            if run.reader_generation == reader.generation {
                run.unread_since = Some(now);
            }
        });
    }

    /// Waits for the next step of a reader and advances its position.
    pub(crate) async fn next_step(&self, reader: &mut RunReader) -> ReadStep {
        let step = self.board.wait_for(|run| run.next_step(reader)).await;
        match &step {
            ReadStep::Reply(RunReply::Head(_)) => reader.is_head_sent = true,
            ReadStep::Reply(RunReply::Chunk { .. }) => reader.next_chunk += 1,
            _ => {}
        }
        step
    }

    /// Cancels a repeatable run that has had no reader for [`ORPHAN_TIMEOUT`]. Returns whether the
    /// run has ended and its response need not be kept any longer.
    pub(crate) fn clean_up(&self, now: ClockTime) -> bool {
        let (unread_since, is_ended) = self.board.read(|run| (run.unread_since, run.end.is_some()));
        let Some(since) = unread_since else {
            return false;
        };
        let retention = if self.is_repeatable {
            ORPHAN_TIMEOUT
        } else {
            CALL_RESPONSE_RETENTION
        };
        if now.since(since) < retention {
            return false;
        }
        if !is_ended {
            self.cancel();
        }
        is_ended
    }

    /// Whether the run has ended and has no reader.
    pub(crate) fn is_finished(&self) -> bool {
        self.board
            .read(|run| run.end.is_some() && run.unread_since.is_some())
    }
}

impl RunState {
    fn next_step(&self, reader: &RunReader) -> Option<ReadStep> {
        if self.reader_generation != reader.generation {
            return Some(ReadStep::Superseded);
        }
        if !reader.is_head_sent
            && let Some(head) = &self.head
        {
            return Some(ReadStep::Reply(RunReply::Head(head.clone())));
        }
        match self.buffer.get(reader.next_chunk) {
            Ok(Some(chunk)) => Some(ReadStep::Reply(RunReply::Chunk {
                number: chunk.number,
                bytes: chunk.bytes.to_vec(),
            })),
            Ok(None) => self
                .end
                .clone()
                .map(|end| ReadStep::Last(self.last_reply(end))),
            Err(lost) => {
                let status = match &self.end {
                    Some(end) => end.status(),
                    None => RunStatus::Running,
                };
                let failure = RunFailure::new(status, FailureCode::BufferLost, lost);
                Some(ReadStep::Last(failure.into_reply()))
            }
        }
    }

    fn last_reply(&self, end: RunEnd) -> RunReply {
        match end {
            RunEnd::Complete(_) => RunReply::End {
                chunks: self.buffer.next_number(),
            },
            RunEnd::Failed(failure) => failure.into_reply(),
        }
    }
}
