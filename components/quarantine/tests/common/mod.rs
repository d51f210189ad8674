//! Simulated fleet: entries with their crash logs, targets that crash, and the home of the reports.

#![allow(dead_code)]

use std::time::Duration;

use quarantine::{BrokenRequest, CrashLog, EndedTarget, QuarantineHome, QuarantineVerdict};
use units::{ClockTime, Incarnation, ServiceName};
use wire::{FlowId, FlowKey, HomeId, RequestTrait, ServiceTrait};

/// Length of a simulation step.
const STEP: Duration = Duration::from_millis(10);

/// Interval between the reports of an entry.
const REPORT_INTERVAL_MS: u64 = 250;

/// Time after which a target that crashed is back.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// Number of requests that a target runs at once.
const SLOTS: usize = 48;

/// Time until a target begins to write a response, and time for which it writes.
const PROMPT_TIME: Duration = Duration::from_millis(120);
const WRITE_TIME: Duration = Duration::from_millis(400);

/// A request of the simulation.
#[derive(Debug, Clone)]
pub(crate) struct SimRequest {
    /// Organisation of the request.
    pub(crate) organisation: u64,
    /// Prompt parts.
    pub(crate) parts: Vec<u64>,
}

/// Decides whether a target crashes when it begins to write a response to a request.
pub(crate) type CrashRule = Box<dyn Fn(&SimRequest, usize) -> bool>;

struct SimRun {
    entry: usize,
    request: SimRequest,
    sent_at: ClockTime,
    is_retry: bool,
}

struct SimTarget {
    incarnation: u64,
    up_at: ClockTime,
    runs: Vec<SimRun>,
}

/// What happened to the requests that the crash rule is about.
#[derive(Debug, Default)]
pub(crate) struct SimRecord {
    /// Times of the crashes.
    pub(crate) crashes: Vec<ClockTime>,
    /// Times at which requests with [`SimFleet::watched`] were sent to targets.
    pub(crate) watched_sends: Vec<ClockTime>,
    /// Number of requests that were refused, and of those that were sent.
    pub(crate) refused: u64,
    pub(crate) sent: u64,
    /// Numbers of requests with [`SimFleet::shared`] that were refused, and of those that were sent.
    pub(crate) shared_refused: u64,
    pub(crate) shared_sent: u64,
}

/// A fleet in simulated time.
pub(crate) struct SimFleet {
    pub(crate) now: ClockTime,
    pub(crate) home: QuarantineHome,
    pub(crate) record: SimRecord,
    /// Part whose requests are recorded in [`SimRecord::watched_sends`].
    pub(crate) watched: u64,
    /// Part of sound requests that are counted.
    pub(crate) shared: u64,
    pub(crate) rule: CrashRule,
    entries: Vec<CrashLog>,
    targets: Vec<SimTarget>,
    /// Seed of the next draw.
    pub(crate) seed: u64,
}

pub(crate) fn service() -> ServiceName {
    "drafts".into()
}

pub(crate) fn part(id: u64) -> ServiceTrait {
    ServiceTrait {
        service: service(),
        request_trait: RequestTrait::Part(id),
    }
}

pub(crate) fn flow(organisation: u64) -> FlowId {
    FlowId::of(&FlowKey {
        organisation: format!("organisation-{organisation}").as_str().into(),
        service: service(),
    })
}

impl SimFleet {
    pub(crate) fn new(entries: usize, targets: usize, rule: CrashRule) -> Self {
        let target = |_| SimTarget {
            incarnation: 1,
            up_at: ClockTime(0),
            runs: Vec::new(),
        };
        Self {
            now: ClockTime(0),
            home: QuarantineHome::new(HomeId(1)),
            record: SimRecord::default(),
            watched: u64::MAX,
            shared: u64::MAX,
            rule,
            entries: vec![CrashLog::new(); entries],
            targets: (0..targets).map(target).collect(),
            seed: 1,
        }
    }

    /// Deterministic draw below `bound`.
    pub(crate) fn draw(&mut self, bound: u64) -> u64 {
        self.seed += 1;
        wire::stable_hash(&[&self.seed.to_le_bytes()]) % bound
    }

    /// Replaces the home by an empty one, as after a restart of its process.
    pub(crate) fn restart_home(&mut self) {
        self.home = QuarantineHome::new(HomeId(self.now.0 + 2));
    }

    /// Runs for a time; `load` returns the requests of each step.
    pub(crate) fn run(
        &mut self,
        time: Duration,
        mut load: impl FnMut(&mut Self) -> Vec<SimRequest>,
    ) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for request in load(self) {
                let entry = self.draw(self.entries.len() as u64) as usize;
                self.send(entry, request, false);
            }
            self.run_targets();
            self.exchange_reports();
        }
    }

    fn send(&mut self, entry: usize, request: SimRequest, is_retry: bool) {
        let traits = traits(&request);
        let flow = flow(request.organisation);
        let verdict = self.entries[entry].check_request(&service(), flow, &traits, self.now);
        let is_refused = matches!(verdict, QuarantineVerdict::Refused(_));
        let is_shared = request.parts.contains(&self.shared);
        self.record.refused += u64::from(is_refused);
        self.record.shared_refused += u64::from(is_refused && is_shared);
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|index| {
                let target = &self.targets[*index];
                target.up_at <= self.now && target.runs.len() < SLOTS
            })
            .collect();
        if is_refused || up.is_empty() {
            return;
        }
        self.record.sent += 1;
        self.record.shared_sent += u64::from(is_shared);
        if request.parts.contains(&self.watched) {
            self.record.watched_sends.push(self.now);
        }
        let target = up[self.draw(up.len() as u64) as usize];
        self.targets[target].runs.push(SimRun {
            entry,
            request,
            sent_at: self.now,
            is_retry,
        });
    }

    fn run_targets(&mut self) {
        for index in 0..self.targets.len() {
            let now = self.now;
            let begins = |run: &SimRun| run.sent_at + PROMPT_TIME <= now;
            let runs = &self.targets[index].runs;
            let rule = &self.rule;
            if runs
                .iter()
                .any(|run| begins(run) && rule(&run.request, index))
            {
                self.crash(index);
                continue;
            }
            let is_done = |run: &SimRun| run.sent_at + PROMPT_TIME + WRITE_TIME <= now;
            let (done, rest) = std::mem::take(&mut self.targets[index].runs)
                .into_iter()
                .partition(is_done);
            self.targets[index].runs = rest;
            let done: Vec<SimRun> = done;
            for run in done {
                let traits = traits(&run.request);
                self.entries[run.entry].record_success(&service(), &traits, now);
            }
        }
    }

    /// Ends a target: its entries see broken connections, and each request is retried once.
    pub(crate) fn crash(&mut self, index: usize) {
        let now = self.now;
        let ended = EndedTarget {
            name: format!("target-{index}").as_str().into(),
            incarnation: Incarnation(self.targets[index].incarnation),
        };
        let runs = std::mem::take(&mut self.targets[index].runs);
        self.targets[index].incarnation += 1;
        self.targets[index].up_at = now + RESTART_DELAY;
        self.record.crashes.push(now);
        for run in &runs {
            let request = BrokenRequest {
                flow: flow(run.request.organisation),
                sent_at: run.sent_at,
                is_retry: run.is_retry,
                traits: traits(&run.request),
            };
            self.entries[run.entry].record_failure(&ended, &service(), request, now);
        }
        for run in runs {
            self.entries[run.entry].record_end(&ended, now);
            let is_suspected =
                self.entries[run.entry].is_suspected(&service(), &traits(&run.request));
            if !run.is_retry && !is_suspected {
                self.send(run.entry, run.request, true);
            }
        }
    }

    fn exchange_reports(&mut self) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let phase = 70 * index as u64;
            if (self.now.0 + phase) % REPORT_INTERVAL_MS >= STEP.as_millis() as u64 {
                continue;
            }
            let report = entry.take_report(self.now);
            let (reply, _) = self.home.apply_report(&report, self.now);
            entry.apply_reply(&report, &reply, self.now);
        }
    }

    /// Traits in quarantine at the home.
    pub(crate) fn quarantined(&self) -> Vec<ServiceTrait> {
        let quarantined = self.home.quarantined(self.now).into_iter();
        quarantined.map(|quarantined| quarantined.subject).collect()
    }
}

fn traits(request: &SimRequest) -> Vec<RequestTrait> {
    request
        .parts
        .iter()
        .copied()
        .map(RequestTrait::Part)
        .collect()
}
