//! Callers that send requests one after another and count the responses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use load::{Answer, CallKind, CallRequest, Caller};
use tokio::task::JoinSet;

use super::BEARER_KEY;

/// Number of callers for each entry.
const CALLERS_PER_ENTRY: usize = 2;
/// Pause of a caller between a response and its next request.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// Time after which callers stop even if [`CallLoad::stop`] was not called.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Counts of responses by result.
#[derive(Debug, Default)]
pub(crate) struct CallCounts {
    /// Complete responses.
    pub(crate) complete: u64,
    /// Refusals by code and outcome.
    pub(crate) refusals: BTreeMap<(String, String), u64>,
    /// Descriptions of all other results.
    pub(crate) other_results: Vec<String>,
}

impl CallCounts {
    /// Whether each request was answered completely or refused with the outcome not-run.
    pub(crate) fn is_all_complete_or_not_run(&self) -> bool {
        self.other_results.is_empty()
            && self
                .refusals
                .keys()
                .all(|(_, outcome)| outcome == "not-run")
    }

    /// Whether each request was answered completely.
    pub(crate) fn is_all_complete(&self) -> bool {
        self.other_results.is_empty() && self.refusals.is_empty()
    }

    fn add(&mut self, answer: Answer) {
        match answer {
            Answer::Whole => self.complete += 1,
            Answer::Refused(refusal) => {
                *self
                    .refusals
                    .entry((refusal.code, refusal.outcome))
                    .or_default() += 1;
            }
            other => self.other_results.push(format!("{other:?}")),
        }
    }

    fn merge(&mut self, other: Self) {
        self.complete += other.complete;
        self.other_results.extend(other.other_results);
        for (refusal, count) in other.refusals {
            *self.refusals.entry(refusal).or_default() += count;
        }
    }
}

/// Running callers.
pub(crate) struct CallLoad {
    is_stopped: Arc<AtomicBool>,
    tasks: JoinSet<CallCounts>,
}

impl CallLoad {
    pub(crate) fn start(entries: Vec<SocketAddr>) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let count = entries.len() * CALLERS_PER_ENTRY;
        let caller = Caller::new(entries, Duration::from_secs(20)).unwrap();
        let mut tasks = JoinSet::new();
        for number in 0..count {
            tasks.spawn(send_requests(caller.clone(), number, is_stopped.clone()));
        }
        Self { is_stopped, tasks }
    }

    /// Waits until each caller has received its last response, and returns the total counts.
    pub(crate) async fn stop(self) -> CallCounts {
        self.is_stopped.store(true, Ordering::SeqCst);
        let mut counts = CallCounts::default();
        for caller_counts in self.tasks.join_all().await {
            counts.merge(caller_counts);
        }
        counts
    }
}

async fn send_requests(caller: Caller, number: usize, is_stopped: Arc<AtomicBool>) -> CallCounts {
    let mut counts = CallCounts::default();
    let start = Instant::now();
    let mut round = 0;
    while !is_stopped.load(Ordering::SeqCst) && start.elapsed() < LOAD_TIMEOUT {
        let request = CallRequest {
            key: BEARER_KEY.into(),
            kind: CallKind::Chat {
                service: "stone-advice".into(),
                prompt: format!("caller {number}, question {round}"),
                max_tokens: 6,
                stream: round % 2 == 0,
            },
        };
        counts.add(caller.send(&request, number).await.answer);
        round += 1;
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
    counts
}
