//! Memory of request ids, which lets each request reach the target at most once.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use units::{ClockTime, RequestId};
use wire::RunStatus;

/// Time for which the id of an ended call that may not be repeated is kept. It exceeds the hour for
/// which control keeps the record of the call, so an id that a record names is always known here.
const CALL_MEMORY: Duration = Duration::from_secs(65 * 60);

/// Time for which other ids are kept; they are only needed while an entry may still resume.
const RUN_MEMORY: Duration = Duration::from_secs(60);

/// Largest number of ids. A full memory refuses new requests instead of forgetting old ones.
pub const MAX_SEEN_REQUESTS: usize = 300_000;

/// Whether a request may be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeenVerdict {
    /// It is new and may be forwarded once.
    Forward,
    /// It was forwarded before: attach to that run.
    Attach,
    /// It was barred.
    Barred,
    /// The memory is full.
    Full,
}

#[derive(Debug)]
struct SeenRequest {
    status: RunStatus,
    repeatable: bool,
}

/// Ids of requests that were started or barred.
#[derive(Debug, Default)]
pub struct SeenRequests {
    requests: HashMap<RequestId, SeenRequest>,
    runs: VecDeque<(ClockTime, RequestId)>,
    calls: VecDeque<(ClockTime, RequestId)>,
}

impl SeenRequests {
    /// Notes the start of a request, and says whether it may be forwarded.
    pub fn start(&mut self, id: RequestId, repeatable: bool) -> SeenVerdict {
        match self.requests.get(&id).map(|request| request.status) {
            Some(RunStatus::NotRun) => SeenVerdict::Barred,
            Some(_) => SeenVerdict::Attach,
            None if self.requests.len() >= MAX_SEEN_REQUESTS => SeenVerdict::Full,
            None => {
                let status = RunStatus::Running;
                self.requests.insert(id, SeenRequest { status, repeatable });
                SeenVerdict::Forward
            }
        }
    }

    /// Notes how a started request ended. A request ends once.
    pub fn record_end(&mut self, id: RequestId, status: RunStatus, now: ClockTime) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.status == RunStatus::Running {
            request.status = status;
            let repeatable = request.repeatable;
            self.expire_later(id, repeatable, now);
        }
    }

    /// What is known of a request. An unknown id is barred, so that the answer stays true.
    pub fn query_or_bar(&mut self, id: RequestId, now: ClockTime) -> RunStatus {
        if let Some(request) = self.requests.get(&id) {
            return request.status;
        }
        if self.requests.len() >= MAX_SEEN_REQUESTS {
            return RunStatus::Unknown;
        }
        let request = SeenRequest {
            status: RunStatus::NotRun,
            repeatable: false,
        };
        self.requests.insert(id, request);
        self.expire_later(id, false, now);
        RunStatus::NotRun
    }

    /// Forgets ids whose time has passed.
    pub fn evict_expired(&mut self, now: ClockTime) {
        for (queue, memory) in [(&mut self.runs, RUN_MEMORY), (&mut self.calls, CALL_MEMORY)] {
            while queue
                .front()
                .is_some_and(|(time, _)| now.since(*time) > memory)
            {
                if let Some((_, id)) = queue.pop_front() {
                    self.requests.remove(&id);
                }
            }
        }
    }

    /// Number of ids.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there are no ids.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn expire_later(&mut self, id: RequestId, repeatable: bool, now: ClockTime) {
        if repeatable {
            self.runs.push_back((now, id));
        } else {
            self.calls.push_back((now, id));
        }
    }
}
