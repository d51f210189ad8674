//! State of an engine: runs, capacity, cache and counts.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use tokio::sync::Semaphore;

use super::cache::PrefixCache;
use super::run::{EngineRun, RunState};
use super::settings::{EngineFaults, EngineSettings, EngineStatus};

pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    /// One permit for each request in the batch. The semaphore is fair, so requests run in order of
    /// arrival.
    pub(crate) batch_permits: Arc<Semaphore>,
    inner: Mutex<EngineInner>,
}

pub(crate) struct EngineInner {
    pub(crate) faults: EngineFaults,
    pub(crate) status: EngineStatus,
    pub(crate) cache: PrefixCache,
    /// Running and waiting requests at the time of the last load report.
    pub(crate) load_report: (usize, usize),
    pub(crate) runs: BTreeMap<String, Arc<EngineRun>>,
    /// Loaded version of each model.
    pub(crate) models: BTreeMap<String, String>,
    down_until: Option<Instant>,
    /// Number of concurrent requests that the engine can carry now without a crash.
    warm_capacity: usize,
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdmitError {
    /// The engine is in an outage.
    Down,
    /// The queue is full, or an injected fault refuses the request.
    Busy,
    /// The request crashed the engine.
    Crashed,
}

impl EngineState {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let inner = EngineInner {
            faults: settings.faults.clone(),
            status: EngineStatus::default(),
            cache: PrefixCache::new(settings.cache_limit),
            load_report: (0, 0),
            runs: BTreeMap::new(),
            models: BTreeMap::new(),
            down_until: None,
            warm_capacity: settings.cold_limit,
        };
        Self {
            batch_permits: Arc::new(Semaphore::new(settings.batch_limit)),
            inner: Mutex::new(inner),
            settings,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineInner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Admits or refuses a run. A text with the crash marker, or more runs than a cold engine can
    /// carry, starts an outage.
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
        let open_runs = inner.open_runs();
        if open_runs >= self.settings.batch_limit + self.settings.queue_limit {
            inner.status.refused += 1;
            return Err(AdmitError::Busy);
        }
        let is_marked = inner
            .faults
            .crash_marker
            .as_ref()
            .is_some_and(|marker| text.contains(marker));
        let is_cold = inner.warm_capacity < self.settings.batch_limit;
        if is_marked || (is_cold && open_runs >= inner.warm_capacity) {
            let cause = if is_marked {
                "marked request"
            } else {
                "overload while cold"
            };
            self.start_outage(&mut inner, cause);
            return Err(AdmitError::Crashed);
        }
        inner.status.started += 1;
        inner.status.waiting += 1;
        inner.status.most_admitted = inner.status.most_admitted.max(open_runs + 1);
        inner.runs.insert(run.id.clone(), run.clone());
        Ok(())
    }

    /// Ends all runs, refuses requests for the outage time and leaves the engine cold.
    pub(crate) fn start_outage(&self, inner: &mut EngineInner, cause: &str) {
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

    /// Ends all runs, clears the cache and leaves the engine cold.
    pub(crate) fn restart(&self, inner: &mut EngineInner) {
        for run in inner.runs.values() {
            run.end(RunState::Crashed);
        }
        inner.cache.clear();
        inner.warm_capacity = self.settings.cold_limit;
    }

    /// Counts a run that has moved from the queue to the batch.
    pub(crate) fn record_run_start(&self) {
        let mut inner = self.lock();
        inner.status.waiting -= 1;
        inner.status.running += 1;
    }

    /// Ends a run and updates the counts. `has_started` is true if it was in the batch.
    ///
    /// The counts are updated before readers see the end. Otherwise the next request of a caller
    /// that sends one request at a time would count as concurrent with the last one.
    pub(crate) fn end_run(&self, run: &EngineRun, has_started: bool, end_state: RunState) {
        let mut inner = self.lock();
        if has_started {
            inner.status.running -= 1;
        } else {
            inner.status.waiting -= 1;
        }
        run.end(end_state);
        match run.state() {
            RunState::Done => {
                inner.status.completed += 1;
                inner.warm_capacity = (inner.warm_capacity + 1).min(self.settings.batch_limit);
            }
            RunState::Crashed => inner.status.crashed += 1,
            RunState::Open | RunState::Cancelled => inner.status.cancelled += 1,
        }
    }

    /// Removes a run, which cannot be resumed afterwards. Keeps a newer run with the same id.
    pub(crate) fn remove_run(&self, run: &Arc<EngineRun>) {
        let mut inner = self.lock();
        if inner
            .runs
            .get(&run.id)
            .is_some_and(|stored| Arc::ptr_eq(stored, run))
        {
            inner.runs.remove(&run.id);
        }
    }

    pub(crate) fn status(&self) -> EngineStatus {
        let mut inner = self.lock();
        let down = inner.is_down();
        EngineStatus {
            carries: inner.warm_capacity,
            down,
            ..inner.status.clone()
        }
    }
}

impl EngineInner {
    /// Number of runs that wait or produce tokens. The counts of the status also include runs that
    /// a restart has ended, until their tasks finish; these must not crash a cold engine.
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

/// Publishes a load report once per `report_lag`, so that a report is at most that old.
pub(crate) async fn publish_load_reports(state: Arc<EngineState>) {
    loop {
        {
            let mut inner = state.lock();
            inner.load_report = (inner.status.running, inner.status.waiting);
        }
        tokio::time::sleep(state.settings.report_lag).await;
    }
}
