//! Run streams: starts, resumes and queries of entries.

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

/// Longest wait for the next frame of a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request body that an entry may send.
const MAX_BODY: u64 = 64 << 20;

/// Longest wait for the entry to end the stream after the last reply.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves one run stream.
pub(crate) async fn serve_run(
    shared: AgentShared,
    activity: Arc<LinkActivity>,
    stream: LinkStream,
) {
    let LinkStream {
        writer, mut reader, ..
    } = stream;
    let _open = activity.open_run();
    let _counted = CountedStream::new(&shared);
    let first = match reader.receive::<RunMessage>().await {
        Ok(Some(message)) => message,
        Ok(None) | Err(_) => return,
    };
    activity.heard(shared.now());
    let found = match first {
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
            let status = query(&shared, request, incarnation);
            answer(writer, reader, RunReply::Status(status)).await;
            return;
        }
        _ => Err(RunFailure::not_run(
            FailureCode::BadMessage,
            "the stream does not begin with a start, resume or query",
        )),
    };
    match found {
        Ok((run, next)) => {
            let stream = RunStream {
                shared: &shared,
                run: &run,
                writer,
            };
            stream.send_from(next, reader, activity).await;
        }
        Err(failure) => answer(writer, reader, failure.into_reply()).await,
    }
}

/// Open run stream in the agent's state, until it is dropped. A leaving agent waits for it, since
/// closing the connection drops replies that have not arrived.
struct CountedStream<'a>(&'a AgentShared);

impl<'a> CountedStream<'a> {
    fn new(shared: &'a AgentShared) -> Self {
        shared.board.write_quietly(|state| state.open_streams += 1);
        Self(shared)
    }
}

impl Drop for CountedStream<'_> {
    fn drop(&mut self) {
        self.0.board.write(|state| state.open_streams -= 1);
    }
}

/// Sends the only reply of a stream, and waits until the entry ends the stream.
async fn answer(mut writer: FrameWriter, mut reader: FrameReader, reply: RunReply) {
    if writer.send(&reply).await.is_err() {
        return;
    }
    writer.finish();
    let ended = async { while let Ok(Some(_)) = reader.receive::<RunMessage>().await {} };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, ended).await;
}

fn query(shared: &AgentShared, request: RequestId, incarnation: Incarnation) -> RunStatus {
    if incarnation != shared.incarnation {
        return RunStatus::Unknown;
    }
    let now = shared.now();
    shared
        .board
        .write(|state| state.seen.query_or_bar(request, now))
}

/// Finds the run that an entry resumes. A request that never started is barred.
fn find_run(
    shared: &AgentShared,
    request: RequestId,
    incarnation: Incarnation,
) -> Result<AgentRun, RunFailure> {
    let run = shared.board.read(|state| state.runs.get(&request).cloned());
    if let Some(run) = run {
        return Ok(run);
    }
    let status = query(shared, request, incarnation);
    let message = "the agent no longer has this run";
    Err(RunFailure::new(status, FailureCode::BufferLost, message))
}

/// Starts a run, or attaches to the one that the request has already started.
async fn start_run(
    shared: &AgentShared,
    start: RunStart,
    reader: &mut FrameReader,
) -> Result<AgentRun, RunFailure> {
    let permitted = shared.has_permission();
    let now = shared.now();
    let begun = shared.board.write(|state| {
        state.decide_serving(permitted, now);
        let begun = begin(state, &start, permitted, now);
        if begun.is_err() && !start.repeatable {
            // The answer says that the request will never run here.
            state.seen.query_or_bar(start.request, now);
        }
        begun
    })?;
    let run = match begun {
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
    // The body may take seconds. An order or the end of the lease meanwhile holds for this run too,
    // since the target has not seen it.
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

fn begin(
    state: &mut AgentState,
    start: &RunStart,
    permitted: bool,
    now: units::ClockTime,
) -> Result<BegunRun, RunFailure> {
    if let Some(run) = state.runs.get(&start.request) {
        return Ok(BegunRun::Attached(run.clone()));
    }
    if !permitted {
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
    let fault = |reason: &str| LinkError::Stream(reason.into());
    if size > MAX_BODY {
        return Err(fault("the body is too large"));
    }
    let mut body = Vec::new();
    while (body.len() as u64) < size {
        let part = tokio::time::timeout(BODY_TIMEOUT, reader.receive::<RunMessage>())
            .await
            .map_err(|_| fault("the body did not arrive in time"))??;
        match part {
            Some(RunMessage::Body(bytes)) => body.extend_from_slice(&bytes),
            _ => return Err(fault("the body is incomplete")),
        }
    }
    Ok(body)
}

/// Ends a run of which nothing was forwarded.
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
        state.perform(actions);
    });
    run.set_end(RunEnd::Failed(failure.clone()));
    failure
}

/// Stream that reads a run.
struct RunStream<'a> {
    shared: &'a AgentShared,
    run: &'a AgentRun,
    writer: FrameWriter,
}

impl RunStream<'_> {
    /// Sends the response from a chunk on, until its end or until the stream is lost.
    async fn send_from(mut self, next: u64, reader: FrameReader, activity: Arc<LinkActivity>) {
        let mut position = self.run.attach(next);
        let mut control = tokio::spawn(read_control(
            self.shared.clone(),
            self.run.clone(),
            reader,
            activity,
        ));
        loop {
            let step = tokio::select! {
                step = self.run.next_step(&mut position) => step,
                _ = &mut control => break,
            };
            match step {
                ReadStep::Reply(reply) => {
                    if self.writer.send(&reply).await.is_err() {
                        break;
                    }
                }
                ReadStep::Last(reply) => {
                    self.finish(reply, &mut control).await;
                    break;
                }
                ReadStep::Superseded => {
                    self.writer.reset();
                    break;
                }
            }
        }
        control.abort();
        self.run.detach(&position, self.shared.now());
    }

    async fn finish(&mut self, reply: RunReply, control: &mut JoinHandle<()>) {
        if self.writer.send(&reply).await.is_ok() {
            self.writer.finish();
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, control).await;
        }
    }
}

/// Reads acknowledgements and a cancel until the stream ends.
async fn read_control(
    shared: AgentShared,
    run: AgentRun,
    mut reader: FrameReader,
    activity: Arc<LinkActivity>,
) {
    while let Ok(Some(message)) = reader.receive::<RunMessage>().await {
        activity.heard(shared.now());
        match message {
            RunMessage::Acknowledge(next) => run.acknowledge(next),
            RunMessage::Cancel => run.cancel(),
            _ => return,
        }
    }
}
