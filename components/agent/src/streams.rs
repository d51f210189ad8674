//! Run streams, on which entries start, resume and query runs.

use std::sync::Arc;
use std::time::Duration;

use link::{FrameReader, FrameWriter, LinkError, LinkStream};
use offers::StartOutcome;
use tokio::task::JoinHandle;
use units::{Incarnation, RequestId};
use wire::{FailureCode, RunMessage, RunReply, RunStart, RunStatus};

use crate::forward::run_request;
use crate::run::{AgentRun, ReadStep, RunEnd, RunFailure};
use crate::seen::SeenVerdict;
use crate::sessions::LinkActivity;
use crate::state::{AgentShared, AgentState};

/// Maximum time to wait for the next frame of a request body.
const BODY_FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Maximum time to wait for the entry to end the stream after the last reply.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves one run stream, whose first message starts, resumes or queries a run.
pub(crate) async fn serve_run(
    shared: AgentShared,
    activity: Arc<LinkActivity>,
    stream: LinkStream,
) {
    let LinkStream {
        writer, mut reader, ..
    } = stream;
    let _run_guard = activity.track_run();
    let _count_guard = StreamCountGuard::new(&shared);
    let first = match reader.receive::<RunMessage>().await {
        Ok(Some(message)) => message,
        Ok(None) | Err(_) => return,
    };
    activity.record_frame(shared.now());
    let attachment = match first {
        RunMessage::Start(start) => start_run(&shared, start, &mut reader)
            .await
            .map(|run| (run, 0)),
        RunMessage::Resume {
            request,
            incarnation,
            next_chunk,
        } => find_run(&shared, request, incarnation).map(|run| (run, next_chunk)),
        RunMessage::Query {
            request,
            incarnation,
        } => {
            let status = query_status(&shared, request, incarnation);
            send_single_reply(writer, reader, RunReply::Status(status)).await;
            return;
        }
        _ => Err(RunFailure::not_run(
            FailureCode::BadMessage,
            "the stream does not begin with a start, resume or query",
        )),
    };
    match attachment {
        Ok((run, next_chunk)) => {
            let stream = RunStream {
                shared: &shared,
                run: &run,
                writer,
            };
            stream.send_from(next_chunk, reader, activity).await;
        }
        Err(failure) => send_single_reply(writer, reader, failure.into_reply()).await,
    }
}

/// Counts a run stream in the state of the agent until the guard is dropped.
///
/// A leaving agent waits until no streams are open, since closing the connection discards replies
/// that have not arrived.
struct StreamCountGuard<'a>(&'a AgentShared);

impl<'a> StreamCountGuard<'a> {
    fn new(shared: &'a AgentShared) -> Self {
        shared
            .board
            .write_quietly(|state| state.open_stream_count += 1);
        Self(shared)
    }
}

impl Drop for StreamCountGuard<'_> {
    fn drop(&mut self) {
        self.0.board.write(|state| state.open_stream_count -= 1);
    }
}

/// Sends the only reply of a stream, and waits up to [`CLOSE_TIMEOUT`] for the entry to end the
/// stream.
async fn send_single_reply(mut writer: FrameWriter, mut reader: FrameReader, reply: RunReply) {
    if writer.send(&reply).await.is_err() {
        return;
    }
    writer.finish();
    let ended = async { while let Ok(Some(_)) = reader.receive::<RunMessage>().await {} };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, ended).await;
}

fn query_status(shared: &AgentShared, request: RequestId, incarnation: Incarnation) -> RunStatus {
    if incarnation != shared.incarnation {
        return RunStatus::Unknown;
    }
    let now = shared.now();
    shared
        .board
        .write(|state| state.seen.query_or_bar(request, now))
}

/// Finds the run that an entry resumes. A request that has not started is barred from starting.
fn find_run(
    shared: &AgentShared,
    request: RequestId,
    incarnation: Incarnation,
) -> Result<AgentRun, RunFailure> {
    let run = shared.board.read(|state| state.runs.get(&request).cloned());
    if let Some(run) = run {
        return Ok(run);
    }
    let status = query_status(shared, request, incarnation);
    let message = "the agent no longer has this run";
    Err(RunFailure::new(status, FailureCode::BufferLost, message))
}

/// Starts a run, or attaches to the existing run of the request.
async fn start_run(
    shared: &AgentShared,
    start: RunStart,
    reader: &mut FrameReader,
) -> Result<AgentRun, RunFailure> {
    let is_permitted = shared.has_permission();
    let now = shared.now();
    let begun_run = shared.board.write(|state| {
        state.update_serving(is_permitted, now);
        let begun_run = begin_run(state, &start, is_permitted, now);
        if begun_run.is_err() && !start.repeatable {
            // The reply tells the entry that the request will never run here, so it must not start
            // later.
            state.seen.query_or_bar(start.request, now);
        }
        begun_run
    })?;
    let run = match begun_run {
        BegunRun::Attached(run) => return Ok(run),
        BegunRun::New(run) => run,
    };
    let body = match read_body(reader, start.body_size).await {
        Ok(body) => body,
        Err(error) => {
            let failure = RunFailure::not_run(FailureCode::BadMessage, error);
            return Err(end_unforwarded(shared, &run, &start, failure));
        }
    };
    // The body may take seconds to arrive. An order or the end of the lease in the meantime also
    // applies to this run, since nothing has been sent to the target yet.
    if !shared.has_permission() {
        return Err(end_unforwarded(shared, &run, &start, not_serving()));
    }
    tokio::spawn(run_request(shared.clone(), run.clone(), start, body));
    Ok(run)
}

fn not_serving() -> RunFailure {
    RunFailure::not_run(FailureCode::NotServing, "the agent takes no new work")
}

enum BegunRun {
    New(AgentRun),
    Attached(AgentRun),
}

fn begin_run(
    state: &mut AgentState,
    start: &RunStart,
    is_permitted: bool,
    now: units::ClockTime,
) -> Result<BegunRun, RunFailure> {
    if let Some(run) = state.runs.get(&start.request) {
        return Ok(BegunRun::Attached(run.clone()));
    }
    if !is_permitted {
        return Err(not_serving());
    }
    match state.seen.start(start.request, start.repeatable) {
        SeenVerdict::Forward => {}
        SeenVerdict::Attach => {
            let message = "the run has ended and its response was dropped";
            let status = state.seen.query_or_bar(start.request, now);
            return Err(RunFailure::new(status, FailureCode::BufferLost, message));
        }
        SeenVerdict::Barred => {
            let message = "the request was barred";
            return Err(RunFailure::not_run(FailureCode::NotClaimed, message));
        }
        SeenVerdict::Full => {
            let message = "the memory of requests is full";
            return Err(RunFailure::not_run(FailureCode::NotServing, message));
        }
    }
    if state.table.start(start.request, now) != StartOutcome::Started {
        state.seen.record_end(start.request, RunStatus::NotRun, now);
        let message = "the agent holds no claim for the request";
        return Err(RunFailure::not_run(FailureCode::NotClaimed, message));
    }
    let run = AgentRun::new(start.repeatable, now);
    state.runs.insert(start.request, run.clone());
    Ok(BegunRun::New(run))
}

async fn read_body(reader: &mut FrameReader, size: u64) -> Result<Vec<u8>, LinkError> {
    let body_error = |reason: &str| LinkError::Stream(reason.into());
    if size > MAX_BODY_BYTES {
        return Err(body_error("the body is too large"));
    }
    let mut body = Vec::new();
    while (body.len() as u64) < size {
        let part = tokio::time::timeout(BODY_FRAME_TIMEOUT, reader.receive::<RunMessage>())
            .await
            .map_err(|_| body_error("the body did not arrive in time"))??;
        match part {
            Some(RunMessage::Body(bytes)) => body.extend_from_slice(&bytes),
            _ => return Err(body_error("the body is incomplete")),
        }
    }
    Ok(body)
}

/// Ends a run of which nothing was sent to the target.
fn end_unforwarded(
    shared: &AgentShared,
    run: &AgentRun,
    start: &RunStart,
    failure: RunFailure,
) -> RunFailure {
    let now = shared.now();
    shared.board.write(|state| {
        state.seen.record_end(start.request, RunStatus::NotRun, now);
        let actions = state.table.finish(start.request, now);
        state.perform_actions(actions);
    });
    run.set_end(RunEnd::Failed(failure.clone()));
    failure
}

/// Stream that sends the response of a run to an entry.
struct RunStream<'a> {
    shared: &'a AgentShared,
    run: &'a AgentRun,
    writer: FrameWriter,
}

impl RunStream<'_> {
    /// Sends the response from chunk `next_chunk` on, until it ends or the stream is lost.
    async fn send_from(
        mut self,
        next_chunk: u64,
        reader: FrameReader,
        activity: Arc<LinkActivity>,
    ) {
        let mut run_reader = self.run.attach(next_chunk);
        let mut control_task = tokio::spawn(read_control(
            self.shared.clone(),
            self.run.clone(),
            reader,
            activity,
        ));
        loop {
            let step = tokio::select! {
                step = self.run.next_step(&mut run_reader) => step,
                _ = &mut control_task => break,
            };
            match step {
                ReadStep::Reply(reply) => {
                    if self.writer.send(&reply).await.is_err() {
                        break;
                    }
                }
                ReadStep::Last(reply) => {
                    self.finish(reply, &mut control_task).await;
                    break;
                }
                ReadStep::Superseded => {
                    self.writer.reset();
                    break;
                }
            }
        }
        control_task.abort();
        self.run.detach(&run_reader, self.shared.now());
    }

    async fn finish(&mut self, reply: RunReply, control_task: &mut JoinHandle<()>) {
        if self.writer.send(&reply).await.is_ok() {
            self.writer.finish();
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, control_task).await;
        }
    }
}

/// Handles the entry's acknowledgements and cancellation until the stream ends.
async fn read_control(
    shared: AgentShared,
    run: AgentRun,
    mut reader: FrameReader,
    activity: Arc<LinkActivity>,
) {
    while let Ok(Some(message)) = reader.receive::<RunMessage>().await {
        activity.record_frame(shared.now());
        match message {
            RunMessage::Acknowledge(next_chunk) => run.acknowledge(next_chunk),
            RunMessage::Cancel => run.cancel(),
            _ => return,
        }
    }
}
