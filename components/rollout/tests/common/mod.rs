//! Replay of a roll-out without a network: entries with gates, one home, and targets that fail.

use std::collections::BTreeSet;
use std::time::Duration;

use rollout::{
    RolloutBounds, RolloutFleet, RolloutHome, RolloutOrder, RolloutPhase, RolloutPlan,
    RolloutTable, RunStart, SelectedVersion, VersionAnswer, VersionChoice, VersionGates,
    VersionRun,
};
use units::{ClockTime, Incarnation, NodeName, ServiceName, SoftwareVersion};

pub(crate) const BOUNDS: RolloutBounds = RolloutBounds {
    exposure_permille: 100,
    exposure_slack: 50,
    rollback_ms: 5_000,
};

const TICK_MS: u64 = 10;
const REPORT_MS: u64 = 250;
const COMMIT_MS: u64 = 100;
const RENEW_MS: u64 = 500;
const TARGETS: usize = 12;

/// How the new version behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Behaviour {
    Good,
    /// Three in ten responses fail from this time after the order on.
    FailsFrom(u64),
    /// Three in ten responses take four times as long.
    Slow,
    /// Three in ten fail while a target has more than half of the usual load.
    FailsUnderLoad,
    /// Three in ten fail on the route with 2% of the requests.
    FailsOnRoute,
}

/// One replay.
#[derive(Debug, Clone)]
pub(crate) struct Replay {
    pub(crate) seed: u64,
    pub(crate) duration_ms: u64,
    pub(crate) behaviour: Behaviour,
    /// Requests of each entry per second.
    pub(crate) rates: Vec<f64>,
    /// Maximum rate at which responses of both versions fail; it changes each second. Targets also
    /// crash if it is above 0.
    pub(crate) max_fault_rate: f64,
    /// Whether entries leave, join and restart.
    pub(crate) has_churn: bool,
    /// Whether another control node becomes the home, empty, at half of the duration.
    pub(crate) moves_home: bool,
}

impl Replay {
    pub(crate) fn new(duration_ms: u64, behaviour: Behaviour) -> Self {
        Self {
            seed: 1,
            duration_ms,
            behaviour,
            rates: vec![10.0; 36],
            max_fault_rate: 0.0,
            has_churn: false,
            moves_home: false,
        }
    }
}

/// What happened in a replay.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    pub(crate) phase: Option<RolloutPhase>,
    pub(crate) ended_ms: u64,
    /// Requests up to the time limit, and those of them that the new version got.
    pub(crate) requests: u64,
    pub(crate) new_requests: u64,
    /// Bad responses of the new version.
    pub(crate) bad: u64,
    /// Requests to the new version later than 5 s after its 50th bad response.
    pub(crate) late_requests: u64,
}

impl Outcome {
    /// Whether the requests to the new version stay within the permitted exposure.
    pub(crate) fn is_in_exposure(&self) -> bool {
        let permitted = self.requests * u64::from(BOUNDS.exposure_permille) / 1_000;
        self.new_requests <= permitted + BOUNDS.exposure_slack
    }

    pub(crate) fn is_rolled_back(&self) -> bool {
        matches!(self.phase, Some(RolloutPhase::RolledBack { .. }))
    }
}

struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

struct Entry {
    name: NodeName,
    incarnation: u64,
    gates: VersionGates,
    rate: f64,
    /// Phase in force, and the time from which the next one is.
    phase: Option<RolloutPhase>,
    is_up: bool,
}

struct Run {
    entry: usize,
    incarnation: u64,
    run: Option<VersionRun>,
    is_new: bool,
    target: usize,
    end_ms: u64,
    latency_ms: u64,
    is_bad: bool,
}

/// Runs a replay up to the end of the roll-out, or to three times its duration.
pub(crate) fn run(replay: &Replay) -> Outcome {
    let mut random = Random(replay.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let service = ServiceName::from("visits");
    let (old, new) = (SoftwareVersion::from("v1"), SoftwareVersion::from("v2"));
    let mut table = RolloutTable::default();
    let order = RolloutOrder {
        service: service.clone(),
        to: new.clone(),
        duration_ms: replay.duration_ms,
    };
    table.start(&order, [old.clone()].into(), 0);
    let mut home = RolloutHome::new();
    let count = replay.rates.len();
    let mut entries: Vec<Entry> = (0..count)
        .map(|rank| Entry {
            name: NodeName::from(format!("entry-{rank:03}").as_str()),
            incarnation: 1,
            gates: VersionGates::new(),
            rate: replay.rates[rank],
            phase: None,
            is_up: true,
        })
        .collect();
    let mut runs: Vec<Run> = Vec::new();
    let mut outcome = Outcome::default();
    let mut fiftieth_bad_ms = None;
    let mut fault_rate = 0.0;
    let mut committed_ms = 0;
    let mut pending_step = None;
    let usual_load = replay.rates.iter().sum::<f64>() * 0.6 / TARGETS as f64;
    // Time before the order, so that the clock of the replay does not begin at zero.
    let clock = |ms: u64| ClockTime::default() + Duration::from_millis(10_000 + ms);
    for now_ms in (0..replay.duration_ms * 3).step_by(TICK_MS as usize) {
        let now = clock(now_ms);
        if now_ms % 1_000 == 0 {
            fault_rate = random.next() * replay.max_fault_rate;
        }
        // A target crashes about every 2 s, and what it runs fails.
        let crashed = (replay.max_fault_rate > 0.0 && random.next() < 0.005).then(|| {
            let is_new = random.next() < 0.5;
            (is_new, (random.next() * TARGETS as f64) as usize)
        });
        if replay.has_churn && now_ms % 700 == 0 {
            let index = (random.next() * count as f64) as usize;
            let entry = &mut entries[index];
            entry.is_up = !entry.is_up || random.next() < 0.5;
            entry.incarnation += 1;
            entry.gates = VersionGates::new();
            entry.phase = None;
        }
        let record = table.get(&service).unwrap().clone();
        if record.phase.is_final() && now_ms > outcome.ended_ms + 6_000 {
            break;
        }
        // Installation with the lease renewals, which are spread over 500 ms.
        for (rank, entry) in entries.iter_mut().enumerate() {
            let offset = (rank as u64 * 137) % RENEW_MS;
            let is_renewal = (now_ms + offset) % RENEW_MS < TICK_MS;
            if entry.is_up && is_renewal && now_ms >= committed_ms {
                let rank = rank as u32;
                let exposure = BOUNDS.exposure_permille;
                entry.gates.sync(&table, exposure, rank, count as u32);
                entry.phase = Some(record.phase.clone());
            }
        }
        let running_new = runs.iter().filter(|run| run.is_new).count() as f64;
        for (index, entry) in entries.iter_mut().enumerate() {
            if !entry.is_up || random.next() >= entry.rate * TICK_MS as f64 / 1_000.0 {
                continue;
            }
            let route = u64::from(random.next() < 0.02);
            let choice = entry.gates.choose(&service, true, true);
            let (is_new, is_canary, targets) = match choice {
                None => (false, false, TARGETS),
                Some(VersionChoice::Canary { share_permille, .. }) => {
                    let targets = RolloutPlan::canary_targets(share_permille, TARGETS);
                    (true, true, targets)
                }
                Some(VersionChoice::Without { excluded, .. }) => {
                    (excluded.contains(&old), false, TARGETS)
                }
            };
            let version = if is_new { &new } else { &old };
            let selected = SelectedVersion {
                route,
                version: Some(version),
                is_canary,
                is_continued: false,
                is_cold: false,
            };
            let begun = entry.gates.begin_run(&service, &selected, now);
            let run = match begun {
                RunStart::Tracked(run) => Some(run),
                RunStart::Untracked => None,
                RunStart::Refused => panic!("the gate refuses its own choice"),
            };
            let may_fail = match replay.behaviour {
                Behaviour::Good | Behaviour::Slow => false,
                Behaviour::FailsFrom(start_ms) => now_ms >= start_ms,
                Behaviour::FailsUnderLoad => running_new / targets as f64 > usual_load / 2.0,
                Behaviour::FailsOnRoute => route == 1,
            };
            let is_drawn = is_new && random.next() < 0.3;
            let mut latency_ms = 200 + (random.next() * 800.0) as u64;
            if is_drawn && replay.behaviour == Behaviour::Slow {
                latency_ms *= 4;
            }
            let is_version_bad = is_drawn && may_fail;
            if now_ms <= replay.duration_ms {
                outcome.requests += 1;
                outcome.new_requests += u64::from(is_new);
            }
            let is_late = fiftieth_bad_ms.is_some_and(|at: u64| now_ms > at + BOUNDS.rollback_ms);
            outcome.late_requests += u64::from(is_new && is_late);
            runs.push(Run {
                entry: index,
                incarnation: entry.incarnation,
                run,
                is_new,
                target: (random.next() * targets as f64) as usize,
                end_ms: now_ms + latency_ms,
                latency_ms,
                is_bad: is_version_bad || random.next() < fault_rate,
            });
        }
        for run in &runs {
            let has_first_byte = now_ms + run.latency_ms / 2 >= run.end_ms;
            let entry = &mut entries[run.entry];
            if let (Some(version_run), true) = (&run.run, has_first_byte)
                && entry.incarnation == run.incarnation
            {
                entry.gates.record_first_byte(version_run, now);
            }
        }
        let mut running = Vec::new();
        for run in runs {
            let has_crashed = crashed == Some((run.is_new, run.target));
            if now_ms < run.end_ms && !has_crashed {
                running.push(run);
                continue;
            }
            let latency = Duration::from_millis(run.latency_ms);
            let answer = match run.is_bad || has_crashed {
                true => VersionAnswer::Failed,
                false => VersionAnswer::Answered { longest: latency },
            };
            if run.is_new && run.is_bad {
                outcome.bad += 1;
                if outcome.bad == 50 {
                    fiftieth_bad_ms = Some(now_ms);
                }
            }
            let entry = &mut entries[run.entry];
            if let (Some(version_run), true) = (run.run, entry.incarnation == run.incarnation) {
                entry.gates.end_run(&version_run, answer, now);
            }
        }
        runs = running;
        if replay.moves_home && now_ms == replay.duration_ms / 20 * 10 {
            home = RolloutHome::new();
        }
        for (index, entry) in entries.iter_mut().enumerate() {
            let offset = (index as u64 * 71) % REPORT_MS;
            if !entry.is_up || (now_ms + offset) % REPORT_MS >= TICK_MS {
                continue;
            }
            entry.gates.evaluate(now);
            let at_old = runs.iter().filter(|run| run.entry == index && !run.is_new);
            let at_old = at_old.count() as u64;
            for counts in entry.gates.report(|_| at_old) {
                let incarnation = Incarnation(entry.incarnation);
                home.apply_report(&entry.name, incarnation, &counts, &record, &BOUNDS, now);
            }
        }
        let up = entries.iter().filter(|entry| entry.is_up);
        let fleet = RolloutFleet {
            is_installed: up
                .clone()
                .all(|entry| entry.phase == Some(record.phase.clone())),
            is_lease_passed: now_ms > committed_ms + 2_500,
            live_entries: up.map(|entry| entry.name.clone()).collect::<BTreeSet<_>>(),
            new_serving: TARGETS,
            old_serving: TARGETS,
            has_service: true,
        };
        if now_ms % REPORT_MS == 0 && pending_step.is_none() {
            let step = home.next_step(&record, &fleet, &BOUNDS, now);
            pending_step = step.map(|step| (step, now_ms + COMMIT_MS));
        }
        if let Some((step, _)) = pending_step.take_if(|(_, due_ms)| now_ms >= *due_ms) {
            table.advance(&step, now_ms);
            committed_ms = now_ms;
        }
        if table.get(&service).unwrap().phase.is_final() && outcome.phase.is_none() {
            outcome.phase = Some(table.get(&service).unwrap().phase.clone());
            outcome.ended_ms = now_ms;
        }
    }
    outcome
}
