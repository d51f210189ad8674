//! Execution of one run at an agent. The run is resumed when its connection is lost.

use std::sync::Arc;
use std::time::Duration;

use link::{FrameReader, FrameWriter, LinkError};
use tokio::sync::mpsc;
use tokio::time::Instant;
use units::{Incarnation, NodeName, RequestId};
use wire::{FailureCode, RunMessage, RunReply, RunStart, RunStatus, StreamKind};

use crate::chunks::{ChunkSequence, ChunkVerdict};
use crate::links::{AgentConnection, LinkActivity, LinkGuard, acquire_link};
use crate::sink::ResponseSink;
use crate::state::EntryShared;

/// Maximum size of the part of a request body in one frame.
const MAX_BODY_PART_BYTES: usize = 256 << 10;

/// Number of received chunks after which an acknowledgement is sent to the agent.
const ACKNOWLEDGE_INTERVAL_CHUNKS: u64 = 32;

/// Number of received bytes after which an acknowledgement is sent to the agent.
const MAX_UNACKNOWLEDGED_BYTES: usize = 128 << 10;

/// Time within which a run must be resumed after its connection was lost. The agent cancels a run
/// after 5 s without a reader.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of replies that wait to be processed.
const REPLY_QUEUE_CAPACITY: usize = 16;

/// Parameters of a run.
pub(crate) struct RunJob {
    pub(crate) agent: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) begin: RunBegin,
    /// Whether the run is cancelled when the caller disconnects or the deadline passes.
    pub(crate) is_cancellable: bool,
    pub(crate) deadline: Instant,
}

/// First message of a run to the agent.
pub(crate) enum RunBegin {
    /// Starts a new run of the request with this body.
    Start(Box<RunStart>, Arc<Vec<u8>>),
    /// Attaches to a run that another entry has started.
    Attach(RequestId),
}

/// Result of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunResult {
    /// The sink received the complete response. The caller must still finish the sink.
    Complete,
    /// The run failed, or its outcome is not known.
    Failed {
        status: RunStatus,
        code: FailureCode,
        message: String,
    },
}

impl RunResult {
    fn failed(status: RunStatus, code: FailureCode, message: impl ToString) -> Self {
        Self::Failed {
            status,
            code,
            message: message.to_string(),
        }
    }

    pub(crate) fn status(&self) -> RunStatus {
        match self {
            Self::Complete => RunStatus::Ended,
            Self::Failed { status, .. } => *status,
        }
    }
}

impl RunBegin {
    fn request(&self) -> RequestId {
        match self {
            Self::Start(start, _) => start.request,
            Self::Attach(request) => *request,
        }
    }
}

/// Runs a request at an agent and forwards the response to the sink.
pub(crate) async fn run(shared: &EntryShared, job: RunJob, sink: &mut ResponseSink) -> RunResult {
    let mut driver = RunDriver {
        shared,
        link: acquire_link(shared, &job.agent),
        job,
        sink,
        sequence: ChunkSequence::default(),
        unacknowledged_bytes: 0,
        has_started: false,
    };
    let mut lost_since: Option<Instant> = None;
    loop {
        let resume_deadline = lost_since.unwrap_or_else(Instant::now) + RESUME_TIMEOUT;
        let Some(connection) = wait_for_connection(&mut driver.link, resume_deadline).await else {
            return driver.lost_result();
        };
        if driver.has_started && lost_since.is_some() {
            let (request, agent) = (driver.job.begin.request(), &driver.job.agent);
            telemetry::event!(
                telemetry::events::ENTRY_RUN_RESUMED,
                request = request,
                agent = agent
            );
        }
        let next_chunk = driver.sequence.next_number();
        match driver.run_over(&connection).await {
            Ok(result) => return result,
            Err(_) => {
                // The time to resume restarts only after a connection that delivered a chunk.
                if driver.sequence.next_number() > next_chunk || lost_since.is_none() {
                    lost_since = Some(Instant::now());
                }
                wait_for_replacement(&mut driver.link, &connection, resume_deadline).await;
            }
        }
    }
}

/// Waits until the link has a connection to the agent.
async fn wait_for_connection(link: &mut LinkGuard, deadline: Instant) -> Option<AgentConnection> {
    let connected = link.connection.wait_for(Option::is_some);
    let connection = tokio::time::timeout_at(deadline, connected)
        .await
        .ok()?
        .ok()?;
    connection.clone()
}

/// Closes a connection on which a stream failed, and waits until the link has replaced it.
async fn wait_for_replacement(link: &mut LinkGuard, lost: &AgentConnection, deadline: Instant) {
    lost.peer.close("a run stream was lost");
    let replaced = link.connection.wait_for(|current| {
        let current = current.as_ref();
        current.is_none_or(|current| !Arc::ptr_eq(&current.activity, &lost.activity))
    });
    let _ = tokio::time::timeout_at(deadline, replaced).await;
}

struct RunDriver<'a> {
    shared: &'a EntryShared,
    link: LinkGuard,
    job: RunJob,
    sink: &'a mut ResponseSink,
    sequence: ChunkSequence,
    unacknowledged_bytes: usize,
    has_started: bool,
}

impl RunDriver<'_> {
    /// Result of a run whose connection is lost and cannot be resumed.
    fn lost_result(&self) -> RunResult {
        let status = if self.has_started {
            RunStatus::Unknown
        } else {
            RunStatus::NotRun
        };
        RunResult::failed(
            status,
            FailureCode::TargetLost,
            "the connection to the agent was lost",
        )
    }

    /// Processes the run on one connection. An error means that the connection is lost.
    async fn run_over(&mut self, connection: &AgentConnection) -> Result<RunResult, LinkError> {
        let (mut writer, reader) = connection.peer.open(StreamKind::Run).await?;
        self.send_begin(&mut writer).await?;
        let (sender, mut replies) = mpsc::channel(REPLY_QUEUE_CAPACITY);
        let reader_task = tokio::spawn(read_replies(
            self.shared.clone(),
            reader,
            connection.activity.clone(),
            sender,
        ));
        let result = self.process_replies(&mut writer, &mut replies).await;
        reader_task.abort();
        if result.is_ok() {
            writer.finish();
        }
        result
    }

    async fn send_begin(&mut self, writer: &mut FrameWriter) -> Result<(), LinkError> {
        if let RunBegin::Start(start, body) = &self.job.begin
            && !self.has_started
        {
            self.has_started = true;
            writer.send(&RunMessage::Start(*start.clone())).await?;
            for part in body.chunks(MAX_BODY_PART_BYTES) {
                writer.send(&RunMessage::Body(part.to_vec())).await?;
            }
            return Ok(());
        }
        self.has_started = true;
        writer
            .send(&RunMessage::Resume {
                request: self.job.begin.request(),
                incarnation: self.job.incarnation,
                next_chunk: self.sequence.next_number(),
            })
            .await
    }

    async fn process_replies(
        &mut self,
        writer: &mut FrameWriter,
        replies: &mut mpsc::Receiver<RunReply>,
    ) -> Result<RunResult, LinkError> {
        loop {
            let reply = tokio::select! {
                reply = replies.recv() => reply,
                () = self.sink.closed(), if self.job.is_cancellable => {
                    return self.abort(writer, FailureCode::Cancelled, "the caller is gone").await;
                }
                () = tokio::time::sleep_until(self.job.deadline) => {
                    let message = "the deadline has passed";
                    return self.abort(writer, FailureCode::DeadlinePassed, message).await;
                }
            };
            let Some(reply) = reply else {
                return Err(LinkError::Stream("the run stream was lost".into()));
            };
            if let Some(result) = self.handle_reply(writer, reply).await? {
                return Ok(result);
            }
        }
    }

    /// Cancels the run at the agent if that is allowed, and returns the failure.
    async fn abort(
        &self,
        writer: &mut FrameWriter,
        code: FailureCode,
        message: &str,
    ) -> Result<RunResult, LinkError> {
        if self.job.is_cancellable {
            let _ = writer.send(&RunMessage::Cancel).await;
        }
        Ok(RunResult::failed(RunStatus::Unknown, code, message))
    }

    async fn handle_reply(
        &mut self,
        writer: &mut FrameWriter,
        reply: RunReply,
    ) -> Result<Option<RunResult>, LinkError> {
        match reply {
            RunReply::Head(head) => self.sink.set_head(head),
            RunReply::Chunk { number, bytes } => match self.sequence.accept(number) {
                Ok(ChunkVerdict::Repeated) => {}
                Ok(ChunkVerdict::Next) => return self.forward_chunk(writer, bytes).await,
                Err(gap) => return Ok(Some(gap_result(&gap))),
            },
            RunReply::End { chunks } => {
                if let Err(gap) = self.sequence.check_end(chunks) {
                    return Ok(Some(gap_result(&gap)));
                }
                let _ = writer.send(&RunMessage::Acknowledge(chunks)).await;
                return Ok(Some(RunResult::Complete));
            }
            RunReply::Failed {
                status,
                code,
                message,
            } => return Ok(Some(RunResult::failed(status, code, message))),
            RunReply::Status(_) => {
                return Ok(Some(RunResult::failed(
                    RunStatus::Unknown,
                    FailureCode::BadMessage,
                    "the agent answered a question that was not asked",
                )));
            }
        }
        Ok(None)
    }

    async fn forward_chunk(
        &mut self,
        writer: &mut FrameWriter,
        bytes: Vec<u8>,
    ) -> Result<Option<RunResult>, LinkError> {
        self.unacknowledged_bytes += bytes.len();
        // A caller that stops reading must not keep the run open past its deadline. The bytes that
        // it did not receive are lost, so the response must not continue.
        let sent = tokio::time::timeout_at(self.job.deadline, self.sink.send_body(bytes)).await;
        if sent.is_err() {
            let message = "the caller did not read the response before the deadline";
            let code = FailureCode::DeadlinePassed;
            return self.abort(writer, code, message).await.map(Some);
        }
        let next_chunk = self.sequence.next_number();
        if next_chunk.is_multiple_of(ACKNOWLEDGE_INTERVAL_CHUNKS)
            || self.unacknowledged_bytes >= MAX_UNACKNOWLEDGED_BYTES
        {
            self.unacknowledged_bytes = 0;
            writer.send(&RunMessage::Acknowledge(next_chunk)).await?;
        }
        Ok(None)
    }
}

fn gap_result(gap: &crate::chunks::ChunkGap) -> RunResult {
    RunResult::failed(RunStatus::Unknown, FailureCode::BufferLost, gap)
}

async fn read_replies(
    shared: EntryShared,
    mut reader: FrameReader,
    activity: Arc<LinkActivity>,
    sender: mpsc::Sender<RunReply>,
) {
    while let Ok(Some(reply)) = reader.receive::<RunReply>().await {
        activity.record_frame(shared.now());
        if sender.send(reply).await.is_err() {
            return;
        }
    }
}

/// Queries an agent for the status of a request. Returns `None` if the agent cannot be reached.
pub(crate) async fn query_run(
    shared: &EntryShared,
    agent: &NodeName,
    incarnation: Incarnation,
    request: RequestId,
) -> Option<RunStatus> {
    let mut link = acquire_link(shared, agent);
    let connection = wait_for_connection(&mut link, Instant::now() + RESUME_TIMEOUT).await?;
    let query = async {
        let (mut writer, mut reader) = connection.peer.open(StreamKind::Run).await.ok()?;
        let message = RunMessage::Query {
            request,
            incarnation,
        };
        writer.send(&message).await.ok()?;
        match reader.receive::<RunReply>().await {
            Ok(Some(RunReply::Status(status))) => Some(status),
            _ => None,
        }
    };
    tokio::time::timeout(RESUME_TIMEOUT, query).await.ok()?
}
