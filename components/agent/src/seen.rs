//! Record of request ids that ensures that each request reaches the target at most once.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use units::{ClockTime, RequestId};
use wire::RunStatus;

/// Time for which the id of a barred request or of an ended call that may not be repeated is kept.
///
/// Control keeps the record of a call for one hour. The longer time here ensures that the agent
/// knows every id in such a record.
const CALL_RETENTION: Duration = Duration::from_secs(65 * 60);

/// Time for which the id of an ended repeatable run is kept. It is needed only while an entry may
/// resume the run.
const RUN_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of recorded ids. At this number, new requests are refused; ids are never evicted
/// early.
pub const MAX_SEEN_REQUESTS: usize = 300_000;

/// Result of [`SeenRequests::start`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeenVerdict {
    /// The request is new and may be forwarded once.
    Forward,
    /// The request was started before; the caller attaches to that run.
    Attach,
    /// The request was reported as not run and must never start.
    Barred,
    /// The record holds [`MAX_SEEN_REQUESTS`] ids, so the request is refused.
    Full,
}

#[derive(Debug)]
struct SeenRequest {
    status: RunStatus,
    is_repeatable: bool,
}

/// Ids of requests that were started, or barred from starting.
///
/// Ids of ended and barred requests are evicted after a retention time.
#[derive(Debug, Default)]
pub struct SeenRequests {
    requests: HashMap<RequestId, SeenRequest>,
    ended_runs: VecDeque<(ClockTime, RequestId)>,
    ended_calls: VecDeque<(ClockTime, RequestId)>,
}

impl SeenRequests {
    /// Records the start of a request and decides whether it may be forwarded.
    pub fn start(&mut self, id: RequestId, is_repeatable: bool) -> SeenVerdict {
        match self.requests.get(&id).map(|request| request.status) {
            Some(RunStatus::NotRun) => SeenVerdict::Barred,
            Some(_) => SeenVerdict::Attach,
            None if self.requests.len() >= MAX_SEEN_REQUESTS => SeenVerdict::Full,
            None => {
                let status = RunStatus::Running;
                self.requests.insert(
                    id,
                    SeenRequest {
                        status,
                        is_repeatable,
                    },
                );
                SeenVerdict::Forward
            }
        }
    }

    /// Records how a started request ended. Only the first end has an effect.
    pub fn record_end(&mut self, id: RequestId, status: RunStatus, now: ClockTime) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.status == RunStatus::Running {
            request.status = status;
            let is_repeatable = request.is_repeatable;
            self.schedule_expiry(id, is_repeatable, now);
        }
    }

    /// Returns the status of a request. An unknown id is barred and reported as not run, so that it
    /// cannot start later. If the record is full, an unknown id has an unknown status.
    pub fn query_or_bar(&mut self, id: RequestId, now: ClockTime) -> RunStatus {
        if let Some(request) = self.requests.get(&id) {
            return request.status;
        }
        if self.requests.len() >= MAX_SEEN_REQUESTS {
            return RunStatus::Unknown;
        }
        let request = SeenRequest {
            status: RunStatus::NotRun,
            is_repeatable: false,
        };
        self.requests.insert(id, request);
        self.schedule_expiry(id, false, now);
        RunStatus::NotRun
    }

    /// Removes ids whose retention time has passed.
    pub fn evict_expired(&mut self, now: ClockTime) {
        for (queue, retention) in [
            (&mut self.ended_runs, RUN_RETENTION),
            (&mut self.ended_calls, CALL_RETENTION),
        ] {
            while queue
                .front()
                .is_some_and(|(ended_at, _)| now.since(*ended_at) > retention)
            {
                if let Some((_, id)) = queue.pop_front() {
                    self.requests.remove(&id);
                }
            }
        }
    }

    /// Number of recorded ids.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no ids are recorded.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn schedule_expiry(&mut self, id: RequestId, is_repeatable: bool, now: ClockTime) {
        if is_repeatable {
            self.ended_runs.push_back((now, id));
        } else {
            self.ended_calls.push_back((now, id));
        }
    }
}
