//! A place at a target, and its return.

use std::time::Duration;

use place::{PlaceRequest, PlaceVerdict, TargetKey, WaitingPlace};
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::FlowKey;

use crate::state::RelayShared;

/// A place at a target, given back when it is dropped.
pub(crate) struct HeldPlace {
    shared: RelayShared,
    pub(crate) target: TargetKey,
    work: u64,
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.board.write(|state| {
            state.table.released(self.target, self.work);
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
    request: PlaceRequest,
    limit: Instant,
) -> Result<HeldPlace, NoPlace> {
    let now = shared.now();
    let work = request.work;
    let held = |target| HeldPlace {
        shared: shared.clone(),
        target,
        work,
    };
    let (sender, told) = oneshot::channel();
    let placed = shared.board.write(|state| {
        // Whoever waits already comes first.
        let verdict = match state.queue.waits_for(&request.service) {
            true => PlaceVerdict::Full,
            false => state.table.place(&request, now),
        };
        match verdict {
            PlaceVerdict::Target(target) => {
                state.queue.charge(flow, work, now);
                Ok(target)
            }
            PlaceVerdict::Nowhere => Err(None),
            PlaceVerdict::Full => {
                let waiting = WaitingPlace {
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
        Ok(target) => return Ok(held(target)),
        Err(None) => return Err(NoPlace::Nowhere),
        Err(Some(key)) => key,
    };
    let guard = WaitGuard { shared, key };
    let told = tokio::time::timeout_at(limit, told).await;
    drop(guard);
    match told {
        Ok(Ok(Some(target))) => Ok(held(target)),
        Ok(Ok(None)) => Err(NoPlace::Nowhere),
        Ok(Err(_)) | Err(_) => Err(NoPlace::Full),
    }
}

/// Takes a request off the queue when nobody waits for it any more.
struct WaitGuard<'a> {
    shared: &'a RelayShared,
    key: place::WaitKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.shared.board.write_quietly(|state| {
            state.queue.remove(self.key);
            state.waiting.remove(&self.key);
        });
    }
}

/// Time that a request may wait for a place: a part of its latency objective, so that a caller that
/// is refused still has time to come back.
pub(crate) fn wait_limit(arrived: Instant, objective: Duration, deadline: Instant) -> Instant {
    (arrived + objective / WAIT_PART).min(deadline)
}

/// Part of the latency objective that a request may wait for a place.
const WAIT_PART: u32 = 2;
