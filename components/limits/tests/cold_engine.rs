//! Limit against a model of an engine that becomes cold without notice.

use std::collections::VecDeque;
use std::time::Duration;

use limits::{RunSample, TargetLimit};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use units::{ClockTime, SlotCount};

/// Number of requests that a warm engine runs at once.
const ENGINE_SLOTS: u32 = 8;
/// Time for which an engine refuses requests after it has crashed from overload.
const OUTAGE_MS: u64 = 200;
const MAX_RUN_MS: u64 = 60;
/// Longest transit time between agent and engine, in one direction.
const MAX_TRANSIT_MS: u64 = 3;
/// Latency that is reported for every answer. The duration of a run varies, but the limit must
/// depend on losses only.
const LATENCY: Duration = Duration::from_millis(10);

/// Request in transit to the engine, in the engine, or in transit back.
#[derive(Debug, Clone, Copy)]
struct ModelRun {
    sent_at: u64,
    running: u32,
    arrives_at: u64,
    ends_at: u64,
    returns_at: u64,
    succeeded: bool,
}

/// Results of one history.
#[derive(Debug, Default)]
struct RunHistory {
    /// Crashes caused by a request that was sent after the agent had learned that the engine was
    /// cold.
    avoidable_crashes: u32,
    /// Crashes caused by a request that was sent before that.
    unavoidable_crashes: u32,
    /// Longest time from learning that the engine is cold to its full use. It starts after the
    /// outage if that ends later.
    max_recovery_ms: u64,
}

struct EngineModel {
    /// Adaptive limit; if `None`, the limit is fixed at [`ENGINE_SLOTS`].
    limit: Option<TargetLimit>,
    capacity: u32,
    down_until: u64,
    loss_known_at: Option<u64>,
    has_reached_full_use: bool,
    inbound: Vec<ModelRun>,
    running: Vec<ModelRun>,
    outbound: Vec<ModelRun>,
    history: RunHistory,
}

impl EngineModel {
    fn new(is_adaptive: bool) -> Self {
        Self {
            limit: is_adaptive.then(|| TargetLimit::new(SlotCount(1), SlotCount(ENGINE_SLOTS))),
            capacity: 1,
            down_until: 0,
            loss_known_at: Some(0),
            has_reached_full_use: false,
            inbound: Vec::new(),
            running: Vec::new(),
            outbound: Vec::new(),
            history: RunHistory::default(),
        }
    }

    fn limit(&self) -> u32 {
        let limit = self.limit.as_ref();
        limit.map_or(ENGINE_SLOTS, |limit| limit.limit().0)
    }

    /// Fails all runs in the engine, which is cold afterwards.
    fn restart_engine(&mut self, now: u64) {
        self.capacity = 1;
        self.loss_known_at = None;
        self.has_reached_full_use = false;
        let failed = self.running.drain(..);
        self.outbound.extend(failed.map(|run| ModelRun {
            returns_at: now + (run.returns_at - run.ends_at),
            succeeded: false,
            ..run
        }));
    }

    fn receive_run(&mut self, run: ModelRun, now: u64) {
        let refused = ModelRun {
            returns_at: now + (run.returns_at - run.ends_at),
            succeeded: false,
            ..run
        };
        if now < self.down_until {
            self.outbound.push(refused);
        } else if self.capacity < ENGINE_SLOTS && self.running.len() as u32 >= self.capacity {
            let was_known = self
                .loss_known_at
                .is_some_and(|loss_known_at| run.sent_at > loss_known_at);
            self.history.avoidable_crashes += u32::from(was_known);
            self.history.unavoidable_crashes += u32::from(!was_known);
            self.outbound.push(refused);
            self.restart_engine(now);
            self.down_until = now + OUTAGE_MS;
        } else {
            self.running.push(run);
        }
    }

    fn step_engine(&mut self, now: u64) {
        let (arrived, inbound) = self.inbound.iter().partition(|run| run.arrives_at <= now);
        self.inbound = inbound;
        let arrived: Vec<ModelRun> = arrived;
        for run in arrived {
            self.receive_run(run, now);
        }
        let (ended, running) = self.running.iter().partition(|run| run.ends_at <= now);
        self.running = running;
        let ended: Vec<ModelRun> = ended;
        self.capacity = (self.capacity + ended.len() as u32).min(ENGINE_SLOTS);
        self.outbound.extend(ended);
    }

    fn step_agent(&mut self, now: u64) {
        let (returned, outbound) = self.outbound.iter().partition(|run| run.returns_at <= now);
        self.outbound = outbound;
        let returned: Vec<ModelRun> = returned;
        for run in returned {
            if !run.succeeded && self.loss_known_at.is_none() {
                self.loss_known_at = Some(now);
            }
            let Some(limit) = &mut self.limit else {
                continue;
            };
            if run.succeeded {
                let sample = RunSample {
                    started_at: ClockTime(run.sent_at),
                    running: SlotCount(run.running),
                    latency: LATENCY,
                    tokens: 1,
                    succeeded: true,
                };
                limit.record_run(sample, ClockTime(now));
            } else {
                limit.record_refusal(ClockTime(now));
            }
        }
        let is_full = self.running.len() as u32 == ENGINE_SLOTS;
        if let (true, false, Some(loss_known_at)) =
            (is_full, self.has_reached_full_use, self.loss_known_at)
        {
            self.has_reached_full_use = true;
            let since = loss_known_at.max(self.down_until);
            let recovery_ms = now.saturating_sub(since);
            self.history.max_recovery_ms = self.history.max_recovery_ms.max(recovery_ms);
        }
    }

    fn open_runs(&self) -> u32 {
        (self.inbound.len() + self.running.len() + self.outbound.len()) as u32
    }
}

/// Transit time to the engine, duration of the run and transit time back, used in rotation.
type RunTimes = VecDeque<(u64, u64, u64)>;

/// Runs the engine with a restart after each uptime. Requests are always waiting.
fn run_history(is_adaptive: bool, uptimes_ms: &[u64], mut times: RunTimes) -> RunHistory {
    let mut model = EngineModel::new(is_adaptive);
    let mut now = 0;
    for uptime_ms in uptimes_ms {
        for _ in 0..*uptime_ms {
            now += 1;
            model.step_engine(now);
            model.step_agent(now);
            while model.open_runs() < model.limit() {
                let time = times.pop_front().expect("times are not empty");
                times.push_back(time);
                let (transit_ms, run_ms, return_ms) = time;
                model.inbound.push(ModelRun {
                    sent_at: now,
                    running: model.open_runs() + 1,
                    arrives_at: now + transit_ms,
                    ends_at: now + transit_ms + run_ms,
                    returns_at: now + transit_ms + run_ms + return_ms,
                    succeeded: true,
                });
            }
        }
        if is_adaptive {
            assert!(
                model.has_reached_full_use,
                "engine was not at full use in {uptime_ms} ms"
            );
        }
        model.restart_engine(now);
    }
    model.history
}

proptest! {
    #![proptest_config(Config {
        cases: 60,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(55),
        ..Config::default()
    })]

    /// Guards against a crash that the agent could have avoided: it sends more requests than a
    /// cold engine can run after it has learned of the loss. With a fixed limit, the engine
    /// crashes in each history.
    #[test]
    fn cold_engine_is_never_overloaded_knowingly(
        uptimes_ms in prop::collection::vec(2000u64..4000, 4),
        times in prop::collection::vec(
            (0..=MAX_TRANSIT_MS, 5..=MAX_RUN_MS, 0..=MAX_TRANSIT_MS),
            50..100,
        ),
    ) {
        let adaptive = run_history(true, &uptimes_ms, times.clone().into());
        let fixed = run_history(false, &uptimes_ms, times.into());

        prop_assert_eq!(adaptive.avoidable_crashes, 0, "{:?}", adaptive);
        prop_assert!(fixed.avoidable_crashes + fixed.unavoidable_crashes > 4, "{:?}", fixed);
        // The limit is raised seven times, each time by one round of runs at full use. A run that
        // starts below full use does not count, so a round takes at most two runs.
        let round = 2 * (MAX_RUN_MS + 2 * MAX_TRANSIT_MS);
        prop_assert!(
            adaptive.max_recovery_ms <= u64::from(ENGINE_SLOTS - 1) * round,
            "{:?}",
            adaptive
        );
    }
}
