//! Limit against a model of an engine that becomes cold without warning.

use std::collections::VecDeque;
use std::time::Duration;

use limits::{RunSample, TargetLimit};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use units::{ClockTime, SlotCount};

/// Places of the engine.
const PLACES: u32 = 8;
/// Time for which an engine that fell over refuses requests, in milliseconds.
const OUTAGE_MS: u64 = 200;
/// Longest run, in milliseconds.
const LONGEST_RUN_MS: u64 = 60;
/// Longest way between agent and engine, in milliseconds.
const LONGEST_WAY_MS: u64 = 3;
/// Latency of each answer. The time of a run varies; the limit must follow the losses alone.
const LATENCY: Duration = Duration::from_millis(10);

/// A request on its way to the engine, in the engine, or on its way back.
#[derive(Debug, Clone, Copy)]
struct ModelRun {
    sent: u64,
    running: u32,
    arrives: u64,
    ends: u64,
    returns: u64,
    ok: bool,
}

/// What became of one history.
#[derive(Debug, Default)]
struct History {
    /// Falls although the agent had learned that the engine was cold when it sent the request.
    avoidable: u32,
    /// Falls by requests that were sent before that.
    unavoidable: u32,
    /// Longest time from the news that the engine is cold to its full use.
    longest_ms: u64,
}

struct Model {
    /// The adaptive limit; without one, the limit is fixed at the engine's places.
    limit: Option<TargetLimit>,
    carries: u32,
    down_until: u64,
    learned: Option<u64>,
    reached: bool,
    coming: Vec<ModelRun>,
    running: Vec<ModelRun>,
    returning: Vec<ModelRun>,
    history: History,
}

impl Model {
    fn new(adaptive: bool) -> Self {
        Self {
            limit: adaptive.then(|| TargetLimit::new(SlotCount(1), SlotCount(PLACES))),
            carries: 1,
            down_until: 0,
            learned: Some(0),
            reached: false,
            coming: Vec::new(),
            running: Vec::new(),
            returning: Vec::new(),
            history: History::default(),
        }
    }

    fn limit(&self) -> u32 {
        let limit = self.limit.as_ref();
        limit.map_or(PLACES, |limit| limit.limit().0)
    }

    /// The engine cuts its runs and is cold.
    fn restart(&mut self, now: u64) {
        self.carries = 1;
        self.learned = None;
        self.reached = false;
        let cut = self.running.drain(..);
        self.returning.extend(cut.map(|run| ModelRun {
            returns: now + (run.returns - run.ends),
            ok: false,
            ..run
        }));
    }

    fn arrive(&mut self, run: ModelRun, now: u64) {
        let refused = ModelRun {
            returns: now + (run.returns - run.ends),
            ok: false,
            ..run
        };
        if now < self.down_until {
            self.returning.push(refused);
        } else if self.carries < PLACES && self.running.len() as u32 >= self.carries {
            let knew = self.learned.is_some_and(|learned| run.sent > learned);
            self.history.avoidable += u32::from(knew);
            self.history.unavoidable += u32::from(!knew);
            self.returning.push(refused);
            self.restart(now);
            self.down_until = now + OUTAGE_MS;
        } else {
            self.running.push(run);
        }
    }

    fn step_engine(&mut self, now: u64) {
        let (arrived, coming) = self.coming.iter().partition(|run| run.arrives <= now);
        self.coming = coming;
        let arrived: Vec<ModelRun> = arrived;
        for run in arrived {
            self.arrive(run, now);
        }
        let (ended, running) = self.running.iter().partition(|run| run.ends <= now);
        self.running = running;
        let ended: Vec<ModelRun> = ended;
        self.carries = (self.carries + ended.len() as u32).min(PLACES);
        self.returning.extend(ended);
    }

    fn step_agent(&mut self, now: u64) {
        let (returned, returning) = self.returning.iter().partition(|run| run.returns <= now);
        self.returning = returning;
        let returned: Vec<ModelRun> = returned;
        for run in returned {
            if !run.ok && self.learned.is_none() {
                self.learned = Some(now);
            }
            let Some(limit) = &mut self.limit else {
                continue;
            };
            if run.ok {
                let sample = RunSample {
                    started_at: ClockTime(run.sent),
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
        let full = self.running.len() as u32 == PLACES;
        if let (true, false, Some(learned)) = (full, self.reached, self.learned) {
            self.reached = true;
            let since = learned.max(self.down_until);
            let taken = now.saturating_sub(since);
            self.history.longest_ms = self.history.longest_ms.max(taken);
        }
    }

    fn open(&self) -> u32 {
        (self.coming.len() + self.running.len() + self.returning.len()) as u32
    }
}

/// Times of runs and ways, used one after the other in a circle.
type Times = VecDeque<(u64, u64, u64)>;

/// Runs a history of restarts under requests that wait without end.
fn run(adaptive: bool, gaps: &[u64], mut times: Times) -> History {
    let mut model = Model::new(adaptive);
    let mut now = 0;
    for gap in gaps {
        for _ in 0..*gap {
            now += 1;
            model.step_engine(now);
            model.step_agent(now);
            while model.open() < model.limit() {
                let time = times.pop_front().expect("the circle is not empty");
                times.push_back(time);
                let (way, run, back) = time;
                model.coming.push(ModelRun {
                    sent: now,
                    running: model.open() + 1,
                    arrives: now + way,
                    ends: now + way + run,
                    returns: now + way + run + back,
                    ok: true,
                });
            }
        }
        if adaptive {
            assert!(model.reached, "no full use in {gap} ms");
        }
        model.restart(now);
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

    /// Guards against a fall that the agent could have avoided: more requests than a cold engine
    /// carries, sent after the agent has learned of the loss. A fixed limit falls in each history.
    #[test]
    fn cold_engine_never_falls_avoidably(
        gaps in prop::collection::vec(2000u64..4000, 4),
        times in prop::collection::vec(
            (0..=LONGEST_WAY_MS, 5..=LONGEST_RUN_MS, 0..=LONGEST_WAY_MS),
            50..100,
        ),
    ) {
        let adaptive = run(true, &gaps, times.clone().into());
        let fixed = run(false, &gaps, times.into());

        prop_assert_eq!(adaptive.avoidable, 0, "{:?}", adaptive);
        prop_assert!(fixed.avoidable + fixed.unavoidable > 4, "{:?}", fixed);
        // The limit is raised seven times, each time by one round of runs at full use. A run that
        // starts below full use does not count, so a round takes at most two runs.
        let round = 2 * (LONGEST_RUN_MS + 2 * LONGEST_WAY_MS);
        prop_assert!(adaptive.longest_ms <= u64::from(PLACES - 1) * round, "{:?}", adaptive);
    }
}
