//! State of an engine: its runs, its capacity, its cache and its counts.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use tokio::sync::Semaphore;

use super::cache::PrefixCache;
use super::run::{EngineRun, RunState};
use super::settings::{EngineFaults, EngineSettings, EngineStatus};

pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    /// Places in the batch. The semaphore is fair, so requests run in order of arrival.
    pub(crate) places: Arc<Semaphore>,
    inner: Mutex<EngineInner>,
}

pub(crate) struct EngineInner {
    pub(crate) faults: EngineFaults,
    pub(crate) status: EngineStatus,
    pub(crate) cache: PrefixCache,
    pub(crate) report: (usize, usize),
    pub(crate) runs: BTreeMap<String, Arc<EngineRun>>,
    pub(crate) models: BTreeMap<String, String>,
    down_until: Option<Instant>,
    warm: usize,
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdmitError {
    /// The engine is out of service.
    Down,
    /// The queue is full, or a fault refuses the request.
    Busy,
    /// The request made the engine fall over.
    FellOver,
}

impl EngineState {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let inner = EngineInner {
            faults: settings.faults.clone(),
            status: EngineStatus::default(),
            cache: PrefixCache::new(settings.cache_limit),
            report: (0, 0),
            runs: BTreeMap::new(),
            models: BTreeMap::new(),
            down_until: None,
            warm: settings.cold_limit,
        };
        Self {
            places: Arc::new(Semaphore::new(settings.batch_limit)),
            inner: Mutex::new(inner),
            settings,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineInner> {
        self.inner
            .lock()
            .expect("no code panics while it holds the lock")
    }

    /// Admits a run, or refuses it. Too many runs while cold, or a marked text, end in an outage.
    pub(crate) fn admit(&self, run: &Arc<EngineRun>, text: &str) -> Result<(), AdmitError> {
        let mut inner = self.lock();
        if inner.is_down() {
            inner.status.refused += 1;
            return Err(AdmitError::Down);
        }
        if inner.faults.refuse_requests > 0 {
            inner.faults.refuse_requests -= 1;
            inner.status.refused += 1;
            return Err(AdmitError::Busy);
        }
        let admitted = inner.open_runs();
        if admitted >= self.settings.batch_limit + self.settings.queue_limit {
            inner.status.refused += 1;
            return Err(AdmitError::Busy);
        }
        let marked = inner
            .faults
            .crash_marker
            .as_ref()
            .is_some_and(|marker| text.contains(marker));
        let cold = inner.warm < self.settings.batch_limit;
        if marked || (cold && admitted >= inner.warm) {
            let cause = if marked {
                "marked request"
            } else {
                "overload while cold"
            };
            self.fall_over(&mut inner, cause);
            return Err(AdmitError::FellOver);
        }
        inner.status.started += 1;
        inner.status.waiting += 1;
        inner.status.most_admitted = inner.status.most_admitted.max(admitted + 1);
        inner.runs.insert(run.id.clone(), run.clone());
        Ok(())
    }

    /// Cuts all runs and refuses requests for the outage time; the engine is cold afterwards.
    pub(crate) fn fall_over(&self, inner: &mut EngineInner, cause: &str) {
        inner.down_until = Some(Instant::now() + self.settings.outage_time);
        inner.status.outages += 1;
        telemetry::event!(
            telemetry::events::STANDIN_DOWN,
            cause = %cause,
            runs = inner.runs.len(),
            outage_ms = self.settings.outage_time.as_millis()
        );
        self.restart(inner);
    }

    /// Cuts all runs, empties the cache and starts cold.
    pub(crate) fn restart(&self, inner: &mut EngineInner) {
        for run in inner.runs.values() {
            run.end(RunState::Crashed);
        }
        inner.cache.clear();
        inner.warm = self.settings.cold_limit;
    }

    /// Notes that a run has left the queue for the batch.
    pub(crate) fn run_started(&self) {
        let mut inner = self.lock();
        inner.status.waiting -= 1;
        inner.status.running += 1;
    }

    /// Ends a run, `started` if it had a place in the batch.
    ///
    /// The counts change before a reader sees the end, so that the next request of a caller that
    /// waits for each answer does not count as one more at once.
    pub(crate) fn end_run(&self, run: &EngineRun, started: bool, end: RunState) {
        let mut inner = self.lock();
        if started {
            inner.status.running -= 1;
        } else {
            inner.status.waiting -= 1;
        }
        run.end(end);
        match run.state() {
            RunState::Done => {
                inner.status.completed += 1;
                inner.warm = (inner.warm + 1).min(self.settings.batch_limit);
            }
            RunState::Crashed => inner.status.crashed += 1,
            RunState::Open | RunState::Cancelled => inner.status.cancelled += 1,
        }
    }

    /// Forgets a run, after which it cannot be resumed.
    pub(crate) fn forget(&self, run: &Arc<EngineRun>) {
        let mut inner = self.lock();
        if inner
            .runs
            .get(&run.id)
            .is_some_and(|held| Arc::ptr_eq(held, run))
        {
            inner.runs.remove(&run.id);
        }
    }

    pub(crate) fn status(&self) -> EngineStatus {
        let mut inner = self.lock();
        let down = inner.is_down();
        EngineStatus {
            carries: inner.warm,
            down,
            ..inner.status.clone()
        }
    }
}

impl EngineInner {
    /// Runs that wait or produce tokens. The counts still hold runs that a restart has cut until
    /// their tasks end, and those must not make a cold engine fall over.
    fn open_runs(&self) -> usize {
        let runs = self.runs.values();
        runs.filter(|run| run.state() == RunState::Open).count()
    }

    pub(crate) fn is_down(&mut self) -> bool {
        if self.down_until.is_some_and(|end| end <= Instant::now()) {
            self.down_until = None;
        }
        self.down_until.is_some()
    }
}

/// Publishes the load once in each lag, so that a report is up to one lag old.
pub(crate) async fn sample_load(state: Arc<EngineState>) {
    loop {
        {
            let mut inner = state.lock();
            inner.report = (inner.status.running, inner.status.waiting);
        }
        tokio::time::sleep(state.settings.report_lag).await;
    }
}
