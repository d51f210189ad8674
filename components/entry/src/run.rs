//! One run at an agent, over as many connections as it takes.

use std::sync::Arc;
use std::time::Duration;

use link::{FrameReader, FrameWriter, LinkError};
use tokio::sync::mpsc;
use tokio::time::Instant;
use units::{Incarnation, NodeName, RequestId};
use wire::{FailureCode, RunMessage, RunReply, RunStart, RunStatus, StreamKind};

use crate::chunks::{ChunkSequence, ChunkVerdict};
use crate::links::{LinkActivity, LinkUse, LiveLink, use_link};
use crate::sink::ResponseSink;
use crate::state::EntryShared;

/// Largest part of a request body in one frame.
const BODY_PART: usize = 256 << 10;

/// Chunks after which the agent is told that they have arrived.
const ACKNOWLEDGE_CHUNKS: u64 = 32;

/// Bytes after which the agent is told that they have arrived.
const ACKNOWLEDGE_BYTES: usize = 128 << 10;

/// Time for which a lost run is resumed; the agent cancels it after 5 s without a reader.
const RESUME_TIME: Duration = Duration::from_secs(5);

/// Replies that wait to be processed.
const REPLY_QUEUE: usize = 16;

/// What a run is.
pub(crate) struct RunJob {
    pub(crate) agent: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) begin: RunBegin,
    /// Whether the run may be stopped: the caller is gone or the deadline has passed.
    pub(crate) stoppable: bool,
    pub(crate) deadline: Instant,
}

/// How a run begins at the agent.
pub(crate) enum RunBegin {
    /// With the request.
    Start(Box<RunStart>, Arc<Vec<u8>>),
    /// By reading a run that another entry has started.
    Attach(RequestId),
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunResult {
    /// The sink got the whole response; its end is still to be sent.
    Complete,
    /// The run failed, or its end is not known.
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

/// Runs a request at an agent and passes the response to the sink.
pub(crate) async fn run(shared: &EntryShared, job: RunJob, sink: &mut ResponseSink) -> RunResult {
    let mut pump = RunPump {
        shared,
        link: use_link(shared, &job.agent),
        job,
        sink,
        sequence: ChunkSequence::default(),
        unacknowledged: 0,
        started: false,
    };
    let mut lost_since: Option<Instant> = None;
    loop {
        let give_up = lost_since.unwrap_or_else(Instant::now) + RESUME_TIME;
        let Some(live) = wait_live(&mut pump.link, give_up).await else {
            return pump.lost();
        };
        if pump.started && lost_since.is_some() {
            let (request, agent) = (pump.job.begin.request(), &pump.job.agent);
            telemetry::event!(
                telemetry::events::ENTRY_RUN_RESUMED,
                request = request,
                agent = agent
            );
        }
        let position = pump.sequence.next_number();
        match pump.follow(&live).await {
            Ok(result) => return result,
            Err(_) => {
                // Only a connection that delivered something starts a new time to resume.
                if pump.sequence.next_number() > position || lost_since.is_none() {
                    lost_since = Some(Instant::now());
                }
                wait_lost(&mut pump.link, &live, give_up).await;
            }
        }
    }
}

/// Waits for a connection to the agent.
async fn wait_live(link: &mut LinkUse, until: Instant) -> Option<LiveLink> {
    let found = link.live.wait_for(Option::is_some);
    let live = tokio::time::timeout_at(until, found).await.ok()?.ok()?;
    live.clone()
}

/// Waits until a connection on which a stream failed is given up, and closes it otherwise.
async fn wait_lost(link: &mut LinkUse, live: &LiveLink, until: Instant) {
    live.peer.close("a run stream was lost");
    let replaced = link.live.wait_for(|present| {
        let present = present.as_ref();
        present.is_none_or(|present| !Arc::ptr_eq(&present.activity, &live.activity))
    });
    let _ = tokio::time::timeout_at(until, replaced).await;
}

struct RunPump<'a> {
    shared: &'a EntryShared,
    link: LinkUse,
    job: RunJob,
    sink: &'a mut ResponseSink,
    sequence: ChunkSequence,
    unacknowledged: usize,
    started: bool,
}

impl RunPump<'_> {
    /// The result of a run whose connection is lost and cannot be resumed.
    fn lost(&self) -> RunResult {
        let status = if self.started {
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

    /// Follows the run on one connection; an error means that the connection is lost.
    async fn follow(&mut self, live: &LiveLink) -> Result<RunResult, LinkError> {
        let (mut writer, reader) = live.peer.open(StreamKind::Run).await?;
        self.begin(&mut writer).await?;
        let (sender, mut replies) = mpsc::channel(REPLY_QUEUE);
        let reading = tokio::spawn(read_replies(
            self.shared.clone(),
            reader,
            live.activity.clone(),
            sender,
        ));
        let result = self.follow_replies(&mut writer, &mut replies).await;
        reading.abort();
        if result.is_ok() {
            writer.finish();
        }
        result
    }

    async fn begin(&mut self, writer: &mut FrameWriter) -> Result<(), LinkError> {
        if let RunBegin::Start(start, body) = &self.job.begin
            && !self.started
        {
            self.started = true;
            writer.send(&RunMessage::Start(*start.clone())).await?;
            for part in body.chunks(BODY_PART) {
                writer.send(&RunMessage::Body(part.to_vec())).await?;
            }
            return Ok(());
        }
        self.started = true;
        writer
            .send(&RunMessage::Resume {
                request: self.job.begin.request(),
                incarnation: self.job.incarnation,
                next_chunk: self.sequence.next_number(),
            })
            .await
    }

    async fn follow_replies(
        &mut self,
        writer: &mut FrameWriter,
        replies: &mut mpsc::Receiver<RunReply>,
    ) -> Result<RunResult, LinkError> {
        loop {
            let reply = tokio::select! {
                reply = replies.recv() => reply,
                () = self.sink.closed(), if self.job.stoppable => {
                    return self.stop(writer, FailureCode::Cancelled, "the caller is gone").await;
                }
                () = tokio::time::sleep_until(self.job.deadline) => {
                    let message = "the deadline has passed";
                    return self.stop(writer, FailureCode::DeadlinePassed, message).await;
                }
            };
            let Some(reply) = reply else {
                return Err(LinkError::Stream("the run stream was lost".into()));
            };
            if let Some(result) = self.receive(writer, reply).await? {
                return Ok(result);
            }
        }
    }

    async fn stop(
        &self,
        writer: &mut FrameWriter,
        code: FailureCode,
        message: &str,
    ) -> Result<RunResult, LinkError> {
        if self.job.stoppable {
            let _ = writer.send(&RunMessage::Cancel).await;
        }
        Ok(RunResult::failed(RunStatus::Unknown, code, message))
    }

    async fn receive(
        &mut self,
        writer: &mut FrameWriter,
        reply: RunReply,
    ) -> Result<Option<RunResult>, LinkError> {
        match reply {
            RunReply::Head(head) => self.sink.set_head(head),
            RunReply::Chunk { number, bytes } => match self.sequence.accept(number) {
                Ok(ChunkVerdict::Repeated) => {}
                Ok(ChunkVerdict::Next) => return self.pass_on(writer, bytes).await,
                Err(gap) => return Ok(Some(gap_failure(&gap))),
            },
            RunReply::End { chunks } => {
                if let Err(gap) = self.sequence.check_end(chunks) {
                    return Ok(Some(gap_failure(&gap)));
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

    async fn pass_on(
        &mut self,
        writer: &mut FrameWriter,
        bytes: Vec<u8>,
    ) -> Result<Option<RunResult>, LinkError> {
        self.unacknowledged += bytes.len();
        // A caller that stops reading must not hold the run beyond its deadline. Bytes that it did
        // not take are missing, so the response must not go on.
        let taken = tokio::time::timeout_at(self.job.deadline, self.sink.send_body(bytes)).await;
        if taken.is_err() {
            let message = "the caller did not read the response before the deadline";
            let code = FailureCode::DeadlinePassed;
            return self.stop(writer, code, message).await.map(Some);
        }
        let next = self.sequence.next_number();
        if next.is_multiple_of(ACKNOWLEDGE_CHUNKS) || self.unacknowledged >= ACKNOWLEDGE_BYTES {
            self.unacknowledged = 0;
            writer.send(&RunMessage::Acknowledge(next)).await?;
        }
        Ok(None)
    }
}

fn gap_failure(gap: &crate::chunks::ChunkGap) -> RunResult {
    RunResult::failed(RunStatus::Unknown, FailureCode::BufferLost, gap)
}

async fn read_replies(
    shared: EntryShared,
    mut reader: FrameReader,
    activity: Arc<LinkActivity>,
    sender: mpsc::Sender<RunReply>,
) {
    while let Ok(Some(reply)) = reader.receive::<RunReply>().await {
        activity.heard(shared.now());
        if sender.send(reply).await.is_err() {
            return;
        }
    }
}

/// Asks an agent what became of a request; `None` if it cannot be reached.
pub(crate) async fn query(
    shared: &EntryShared,
    agent: &NodeName,
    incarnation: Incarnation,
    request: RequestId,
) -> Option<RunStatus> {
    let mut link = use_link(shared, agent);
    let live = wait_live(&mut link, Instant::now() + RESUME_TIME).await?;
    let asking = async {
        let (mut writer, mut reader) = live.peer.open(StreamKind::Run).await.ok()?;
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
    tokio::time::timeout(RESUME_TIME, asking).await.ok()?
}
