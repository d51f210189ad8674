//! One run: the response as far as the target has produced it.

use std::time::Duration;

use board::StateBoard;
use units::{ClockTime, CostUnits};
use wire::{FailureCode, ResponseHead, RunReply, RunStatus};

use crate::buffer::RunBuffer;

/// Time after which a run that may be repeated and that no entry reads is cancelled.
const ORPHAN_TIME: Duration = Duration::from_secs(5);

/// Time for which the response of a call that may not be repeated is kept for another entry.
const CALL_RESPONSE_TIME: Duration = Duration::from_secs(60);

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The response is complete; what it cost.
    Complete(CostUnits),
    /// The run failed.
    Failed(RunFailure),
}

/// Failure of a run.
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

    /// A failure before the target saw the request.
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
    /// What the memory of ids keeps of the run.
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
    cancelled: bool,
    reader: u64,
    unread_since: Option<ClockTime>,
}

/// What a reader of a run sends next.
#[derive(Debug)]
pub(crate) enum ReadStep {
    /// Send this.
    Reply(RunReply),
    /// Send this, which is the last.
    Last(RunReply),
    /// A newer reader has attached.
    Superseded,
}

/// Position of one reader in a run.
#[derive(Debug)]
pub(crate) struct RunReader {
    generation: u64,
    head_sent: bool,
    next: u64,
}

/// One run, shared between the task that reads the target and the streams that read the run.
#[derive(Debug, Clone)]
pub(crate) struct AgentRun {
    board: StateBoard<RunState>,
    repeatable: bool,
}

impl AgentRun {
    pub(crate) fn new(repeatable: bool, now: ClockTime) -> Self {
        Self {
            board: StateBoard::new(RunState {
                head: None,
                buffer: RunBuffer::new(!repeatable),
                end: None,
                cancelled: false,
                reader: 0,
                unread_since: Some(now),
            }),
            repeatable,
        }
    }

    pub(crate) fn set_head(&self, head: ResponseHead) {
        self.board.write(|run| run.head = Some(head));
    }

    /// Appends to the response, once the buffer has room.
    pub(crate) async fn push(&self, bytes: &[u8]) {
        self.board
            .wait_for(|run| run.buffer.has_room().then_some(()))
            .await;
        self.board.write(|run| run.buffer.push(bytes));
    }

    pub(crate) fn set_end(&self, end: RunEnd) {
        self.board.write(|run| run.end = Some(end));
    }

    pub(crate) fn acknowledge(&self, next: u64) {
        self.board.write(|run| run.buffer.acknowledge(next));
    }

    /// Stops the run if it may be repeated.
    pub(crate) fn cancel(&self) {
        if self.repeatable {
            self.board.write(|run| run.cancelled = true);
        }
    }

    /// Waits until the run is cancelled.
    pub(crate) async fn cancelled(&self) {
        self.board.wait_for(|run| run.cancelled.then_some(())).await;
    }

    /// Attaches a reader that begins at a chunk; it replaces an earlier one.
    pub(crate) fn attach(&self, next: u64) -> RunReader {
        let generation = self.board.write(|run| {
            run.reader += 1;
            run.unread_since = None;
            run.reader
        });
        RunReader {
            generation,
            head_sent: false,
            next,
        }
    }

    /// Detaches a reader, unless a newer one has replaced it.
    pub(crate) fn detach(&self, reader: &RunReader, now: ClockTime) {
        self.board.write(|run| {
            if run.reader == reader.generation {
                run.unread_since = Some(now);
            }
        });
    }

    /// Waits for what the reader sends next.
    pub(crate) async fn next_step(&self, reader: &mut RunReader) -> ReadStep {
        let step = self.board.wait_for(|run| run.next_step(reader)).await;
        match &step {
            ReadStep::Reply(RunReply::Head(_)) => reader.head_sent = true,
            ReadStep::Reply(RunReply::Chunk { .. }) => reader.next += 1,
            _ => {}
        }
        step
    }

    /// Cancels the run if no entry reads it, and says whether it can be dropped.
    pub(crate) fn clean_up(&self, now: ClockTime) -> bool {
        let (unread, ended) = self.board.read(|run| (run.unread_since, run.end.is_some()));
        let Some(since) = unread else {
            return false;
        };
        let keep = if self.repeatable {
            ORPHAN_TIME
        } else {
            CALL_RESPONSE_TIME
        };
        if now.since(since) < keep {
            return false;
        }
        if !ended {
            self.cancel();
        }
        ended
    }

    /// Whether the run has ended and no entry reads it.
    pub(crate) fn is_finished(&self) -> bool {
        self.board
            .read(|run| run.end.is_some() && run.unread_since.is_some())
    }
}

impl RunState {
    fn next_step(&self, reader: &RunReader) -> Option<ReadStep> {
        if self.reader != reader.generation {
            return Some(ReadStep::Superseded);
        }
        if !reader.head_sent
            && let Some(head) = &self.head
        {
            return Some(ReadStep::Reply(RunReply::Head(head.clone())));
        }
        match self.buffer.get(reader.next) {
            Ok(Some(chunk)) => Some(ReadStep::Reply(RunReply::Chunk {
                number: chunk.number,
                bytes: chunk.bytes.to_vec(),
            })),
            Ok(None) => self.end.clone().map(|end| ReadStep::Last(self.last(end))),
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

    fn last(&self, end: RunEnd) -> RunReply {
        match end {
            RunEnd::Complete(_) => RunReply::End {
                chunks: self.buffer.next_number(),
            },
            RunEnd::Failed(failure) => failure.into_reply(),
        }
    }
}
