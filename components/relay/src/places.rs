//! A place at a target, and its return.

use place::{PlacementOutcome, PlacementRequest, QueuedRequest, RunKey};
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::FlowKey;

use crate::state::RelayShared;

/// A place at a target, given back when it is dropped.
pub(crate) struct HeldPlace {
    shared: RelayShared,
    pub(crate) run: RunKey,
}

impl HeldPlace {
    /// Notes the first byte of the answer.
    pub(crate) fn answered(&self) {
        let now = self.shared.now();
        self.shared.board.write(|state| {
            if let Some(run) = state.table.record_first_byte(self.run, now) {
                state
                    .gate
                    .record_first_byte(run.cost, run.latency, run.objective);
            }
            state.drain(now);
        });
    }

    /// Passes the target over for a while.
    pub(crate) fn failed(&self) {
        let now = self.shared.now();
        self.shared
            .board
            .write_quietly(|state| state.table.record_failure(self.run, now));
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.board.write(|state| {
            state.table.end_run(self.run);
            state.drain(now);
        });
    }
}

/// Why there is no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// No live target may serve the request.
    Nowhere,
    /// All targets stayed full for as long as the request may wait.
    Full,
}

/// Takes a place, and waits for one until `limit` if all targets are full.
pub(crate) async fn take_place(
    shared: &RelayShared,
    flow: &FlowKey,
    request: PlacementRequest,
    limit: Instant,
) -> Result<HeldPlace, NoPlace> {
    let now = shared.now();
    let work = request.work;
    let cost = request.cost;
    let held = |run| {
        if let Some(cost) = cost {
            shared
                .board
                .write_quietly(|state| state.gate.record_grant(cost));
        }
        HeldPlace {
            shared: shared.clone(),
            run,
        }
    };
    let (sender, told) = oneshot::channel();
    let placed = shared.board.write(|state| {
        // Requests of the same flow that wait already come first.
        let verdict = match state.queue.has_flow(flow) {
            true => PlacementOutcome::NoCapacity,
            false => state.table.place(&request, now),
        };
        match verdict {
            PlacementOutcome::Run(run) => {
                state.queue.charge(flow, work, now);
                Ok(run)
            }
            PlacementOutcome::NoTarget => Err(None),
            PlacementOutcome::NoCapacity => {
                let waiting = QueuedRequest {
                    flow: flow.clone(),
                    request,
                };
                let key = state.queue.push(waiting, now);
                state.waiting.insert(key, sender);
                state.drain(now);
                Err(Some(key))
            }
        }
    });
    let key = match placed {
        Ok(run) => return Ok(held(run)),
        Err(None) => return Err(NoPlace::Nowhere),
        Err(Some(key)) => key,
    };
    let mut guard = WaitGuard { shared, key, told };
    let told = tokio::time::timeout_at(limit, &mut guard.told).await;
    drop(guard);
    match told {
        Ok(Ok(Some(run))) => Ok(held(run)),
        Ok(Ok(None)) => Err(NoPlace::Nowhere),
        Ok(Err(_)) | Err(_) => Err(NoPlace::Full),
    }
}

/// Takes a request off the queue when nobody waits for it any more, and gives back a place that was
/// granted but not taken.
struct WaitGuard<'a> {
    shared: &'a RelayShared,
    key: place::WaitKey,
    told: oneshot::Receiver<Option<RunKey>>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.board.write_quietly(|state| {
            state.queue.remove(self.key);
            state.waiting.remove(&self.key);
            // Places are granted under the same lock, so none can follow this one. A run that the
            // caller has taken is not in the channel any more.
            if let Ok(Some(run)) = self.told.try_recv() {
                state.table.end_run(run);
                state.drain(now);
            }
        });
    }
}
