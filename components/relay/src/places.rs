//! Runs of requests on targets, and the wait for capacity.

use std::time::Duration;

use cadence::prelude::*;
use place::{
    LimitChange, ListedTarget, PlacementOutcome, PlacementRequest, QueuedRequest, RunKey,
    TargetStatement,
};
use telemetry::{event, events};
use tokio::sync::oneshot;
use tokio::time::Instant;
use units::{CostUnits, MilliRate, NodeName};
use wire::FlowKey;

use crate::forward::share_flow;
use crate::rollouts::VersionSample;
use crate::state::RelayShared;

/// A run on a target, which occupies a slot there. The slot is released when the guard is dropped.
pub(crate) struct RunGuard {
    shared: RelayShared,
    pub(crate) run: RunKey,
    /// Answer of a version under roll-out.
    pub(crate) sample: Option<VersionSample>,
}

impl RunGuard {
    /// Guards a run, and charges its cost to the organisation's share.
    fn new(shared: &RelayShared, run: RunKey, flow: &FlowKey, cost: Option<CostUnits>) -> Self {
        record_load_move(shared, run);
        if let Some(cost) = cost {
            let flow = share_flow(&flow.organisation);
            shared
                .board
                .write_quietly(|state| state.gate.record_grant(flow, cost));
        }
        Self {
            shared: shared.clone(),
            run,
            sample: None,
        }
    }

    /// Records the first byte of the response.
    pub(crate) fn record_first_byte(&self) {
        let now = self.shared.now();
        self.shared.board.write_quietly(|state| {
            if let Some(run) = state.table.record_first_byte(self.run, now) {
                state
                    .gate
                    .record_first_byte(run.cost, run.latency, run.objective);
            }
            state.drain_queue(now);
        });
    }

    /// Records what the target stated in its response. `is_answer` tells whether it has accepted the
    /// request: a refusal without a limit does not show that it takes full load.
    pub(crate) fn record_statement(
        &self,
        target: &ListedTarget,
        statement: &TargetStatement,
        is_answer: bool,
    ) {
        if statement.is_leaving || statement.pause.is_some() {
            self.record_intake(target, statement);
        }
        if is_answer || statement.limit.is_some() {
            self.record_stated_limit(&target.name, statement.limit);
        }
    }

    fn record_intake(&self, target: &ListedTarget, statement: &TargetStatement) {
        let now = self.shared.now();
        let change = self
            .shared
            .board
            .write_quietly(|state| state.table.record_statement(target, statement, now));
        if change.is_now_leaving {
            event!(events::LEAVING_STATED, target = target.name);
        }
        if let (true, Some(pause)) = (change.is_pause_extended, statement.pause) {
            let pause_ms = pause.as_millis() as u64;
            event!(
                events::PAUSE_STATED,
                target = target.name,
                pause_ms = pause_ms
            );
        }
    }

    fn record_stated_limit(&self, target: &NodeName, rate: Option<MilliRate>) {
        let now = self.shared.now();
        let change = self
            .shared
            .board
            .write_quietly(|state| state.table.record_stated_limit(self.run, rate, now));
        match change {
            Some(LimitChange::Started) => {
                let milli_rate = rate.unwrap_or_default();
                event!(
                    events::LIMIT_STARTED,
                    target = target,
                    milli_rate = milli_rate
                );
            }
            Some(LimitChange::Ended) => event!(events::LIMIT_ENDED, target = target),
            None => {}
        }
    }

    /// Records a failed connection, after which the target is avoided for a while. `may_have_ended` tells
    /// whether its process may have ended.
    pub(crate) fn record_failure(&self, may_have_ended: bool) {
        let now = self.shared.now();
        self.shared.board.write_quietly(|state| {
            state.table.record_failure(self.run, now);
            if may_have_ended {
                state.table.record_possible_end(self.run, now);
            }
        });
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.board.write_quietly(|state| {
            state.table.end_run(self.run);
            state.drain_queue(now);
        });
    }
}

/// Reason why no target was selected for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// No live target may serve the request.
    NoTarget,
    /// All targets stayed full until the deadline.
    Full,
    /// What all targets have stated allows no request until after the deadline; the next one is
    /// allowed after this time.
    Limited(Duration),
}

/// Starts a run of a request if a target has capacity now.
pub(crate) fn try_start_run(
    shared: &RelayShared,
    flow: &FlowKey,
    request: &PlacementRequest,
) -> Option<RunGuard> {
    let now = shared.now();
    let run = shared.board.write_quietly(|state| {
        let PlacementOutcome::Run(run) = state.table.place(request, now) else {
            return None;
        };
        state.queue.charge(flow, request.work, now);
        Some(run)
    })?;
    Some(RunGuard::new(shared, run, flow, request.cost))
}

/// Starts a run of a request; waits until `deadline` if no target has capacity.
pub(crate) async fn start_run(
    shared: &RelayShared,
    flow: &FlowKey,
    request: PlacementRequest,
    deadline: Instant,
) -> Result<RunGuard, PlacementError> {
    let now = shared.now();
    let work = request.work;
    let cost = request.cost;
    let run_guard = |run| RunGuard::new(shared, run, flow, cost);
    let (run_sender, run_receiver) = oneshot::channel();
    let placement = shared.board.write_quietly(|state| {
        // Waiting requests of the same flow are served before a request without precedence.
        let has_turn = request.has_precedence || !state.queue.has_flow(flow);
        let outcome = match has_turn {
            true => state.table.place(&request, now),
            false => PlacementOutcome::NoCapacity,
        };
        match outcome {
            PlacementOutcome::Run(run) => {
                state.queue.charge(flow, work, now);
                Ok(run)
            }
            PlacementOutcome::NoTarget => Err(Err(PlacementError::NoTarget)),
            PlacementOutcome::NoCapacity => {
                let max_wait = deadline.saturating_duration_since(Instant::now());
                let limit_wait = state.table.limit_wait(&request, now);
                if let Some(wait) = limit_wait.filter(|wait| *wait > max_wait) {
                    return Err(Err(PlacementError::Limited(wait)));
                }
                let queued = QueuedRequest {
                    flow: flow.clone(),
                    request,
                };
                let key = state.queue.push(queued, now);
                state.waiters.insert(key, run_sender);
                state.drain_queue(now);
                Err(Ok(key))
            }
        }
    });
    let key = match placement {
        Ok(run) => return Ok(run_guard(run)),
        Err(Err(error)) => return Err(error),
        Err(Ok(key)) => key,
    };
    shared.board.notify();
    let mut queue_guard = QueueGuard {
        shared,
        key,
        run_receiver,
    };
    let received = tokio::time::timeout_at(deadline, &mut queue_guard.run_receiver).await;
    drop(queue_guard);
    match received {
        Ok(Ok(Some(run))) => Ok(run_guard(run)),
        Ok(Ok(None)) => Err(PlacementError::NoTarget),
        Ok(Err(_)) | Err(_) => Err(PlacementError::Full),
    }
}

/// Logs and counts a run that is not at the first target of its session because of loads.
fn record_load_move(shared: &RelayShared, run: RunKey) {
    let load_move = shared
        .board
        .read(|state| state.table.load_move(run).cloned());
    let Some(load_move) = load_move else {
        return;
    };
    let _ = shared.metrics.incr("load-move");
    event!(
        events::SESSION_MOVED,
        first = load_move.first,
        first_load = load_move.first_load,
        load = load_move.load,
        mean = load_move.mean,
        age_ms = load_move.age.as_millis() as u64,
        has_memory = load_move.has_memory
    );
}

/// Removes a request from the queue when its task stops waiting, and ends a run that was started
/// for it but not received.
struct QueueGuard<'a> {
    shared: &'a RelayShared,
    key: place::WaitKey,
    run_receiver: oneshot::Receiver<Option<RunKey>>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.board.write_quietly(|state| {
            state.queue.remove(self.key);
            state.waiters.remove(&self.key);
            // Runs are sent under the same lock, so none can follow after this check. A run that
            // the task has received is no longer in the channel.
            if let Ok(Some(run)) = self.run_receiver.try_recv() {
                state.table.end_run(run);
                state.drain_queue(now);
            }
        });
    }
}
