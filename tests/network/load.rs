//! Callers that ask without pause and count what they get.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use load::{Answer, CallKind, CallRequest, Caller};
use tokio::task::JoinSet;

use super::KEY;

/// Callers of each entry.
const CALLERS: usize = 2;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// Time after which callers stop by themselves.
const LOAD_LIMIT: Duration = Duration::from_secs(60);

/// What callers got.
#[derive(Debug, Default)]
pub(crate) struct CallCounts {
    /// Whole answers.
    pub(crate) whole: u64,
    /// Refusals by code and outcome.
    pub(crate) refused: BTreeMap<(String, String), u64>,
    /// Everything else, in words.
    pub(crate) others: Vec<String>,
}

impl CallCounts {
    /// Whether each request got its whole answer or was refused as not run.
    pub(crate) fn is_whole_or_not_run(&self) -> bool {
        self.others.is_empty() && self.refused.keys().all(|(_, outcome)| outcome == "not-run")
    }

    /// Whether each request got its whole answer.
    pub(crate) fn is_all_whole(&self) -> bool {
        self.others.is_empty() && self.refused.is_empty()
    }

    fn add(&mut self, answer: Answer) {
        match answer {
            Answer::Whole => self.whole += 1,
            Answer::Refused(refusal) => {
                *self
                    .refused
                    .entry((refusal.code, refusal.outcome))
                    .or_default() += 1;
            }
            other => self.others.push(format!("{other:?}")),
        }
    }

    fn merge(&mut self, other: Self) {
        self.whole += other.whole;
        self.others.extend(other.others);
        for (refusal, count) in other.refused {
            *self.refused.entry(refusal).or_default() += count;
        }
    }
}

/// Callers at work.
pub(crate) struct CallLoad {
    stopped: Arc<AtomicBool>,
    tasks: JoinSet<CallCounts>,
}

impl CallLoad {
    pub(crate) fn start(entries: Vec<SocketAddr>) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let count = entries.len() * CALLERS;
        let caller = Caller::new(entries, Duration::from_secs(20)).unwrap();
        let mut tasks = JoinSet::new();
        for number in 0..count {
            tasks.spawn(ask(caller.clone(), number, stopped.clone()));
        }
        Self { stopped, tasks }
    }

    /// Lets each caller finish its request.
    pub(crate) async fn stop(self) -> CallCounts {
        self.stopped.store(true, Ordering::SeqCst);
        let mut counts = CallCounts::default();
        for part in self.tasks.join_all().await {
            counts.merge(part);
        }
        counts
    }
}

async fn ask(caller: Caller, number: usize, stopped: Arc<AtomicBool>) -> CallCounts {
    let mut counts = CallCounts::default();
    let start = Instant::now();
    let mut round = 0;
    while !stopped.load(Ordering::SeqCst) && start.elapsed() < LOAD_LIMIT {
        let request = CallRequest {
            key: KEY.into(),
            kind: CallKind::Chat {
                service: "stone-advice".into(),
                prompt: format!("caller {number}, question {round}"),
                max_tokens: 6,
                stream: round % 2 == 0,
            },
        };
        counts.add(caller.send(&request, number).await.answer);
        round += 1;
        tokio::time::sleep(PAUSE).await;
    }
    counts
}
