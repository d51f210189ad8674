//! Model of a fleet without a network, in which rules of placement are compared.
//!
//! 36 entries with uneven demand send requests of sessions with skewed popularity to 55 targets of uneven
//! speed. Each entry reports every 250 ms, and each reply arrives 125 ms after the report.

use std::collections::{HashMap, HashSet, VecDeque};

use balance::{
    CANDIDATE_COUNT, LoadCandidate, LoadHome, LoadLog, LoadView, ServiceLoad, SessionTargets,
    TargetEstimate,
};
use units::{ClockTime, Incarnation, NodeName};
use wire::{HomeId, LoadReply, TargetLoad, stable_hash};

pub(crate) const ENTRIES: usize = 36;
pub(crate) const TARGETS: usize = 55;
const SESSIONS: usize = 1_200;
/// Exponent of the popularity of sessions. Today's rule then sends 1.25 to 1.49 of the mean number of
/// requests to the busiest target.
const SKEW: f64 = 0.2;
const MEMORY: f64 = 219_241.0;
const SYSTEM_TOKENS: f64 = 3_000.0;
const SESSION_TOKENS: f64 = 3_300.0;
const OBJECTIVE_MS: u64 = 1_000;
const TICK_MS: u64 = 10;
const REPLY_DELAY_MS: u64 = 125;
/// Approximate duration of a request.
pub(crate) const RUN_MS: u64 = 5_000;

/// Rule by which an entry places a request among the targets in the order of its session.
pub(crate) type Rule = fn(&Choice<'_>) -> Option<usize>;

/// What an entry knows when it places a request.
pub(crate) struct Choice<'a> {
    /// Target to which this entry last sent a request of the session.
    pub(crate) last: Option<u64>,
    /// Targets in the order of the session, with their loads by this entry.
    pub(crate) order: &'a [(usize, LoadCandidate)],
    pub(crate) load: Option<ServiceLoad<'a>>,
    pub(crate) draw: u64,
    /// Part of the demand that comes to this entry, in thousandths.
    pub(crate) part_permille: u64,
    /// Longest wait of this entry for a first byte, by target.
    waits: &'a [u64],
}

impl Choice<'_> {
    pub(crate) fn is_late(&self, index: usize) -> bool {
        self.waits[self.order[index].0] > OBJECTIVE_MS * 6 / 10
    }

    pub(crate) fn has_stalled(&self, index: usize) -> bool {
        let (target, candidate) = &self.order[index];
        candidate.own_running >= 64 || self.waits[*target] > OBJECTIVE_MS
    }

    pub(crate) fn estimate(&self, load: &ServiceLoad<'_>, index: usize) -> TargetEstimate {
        load.estimate(&self.order[index].1)
    }
}

#[derive(Debug, Clone)]
struct Request {
    entry: usize,
    session: u64,
    arrived_at: u64,
    sent_at: u64,
    unread: f64,
    output: f64,
    is_started: bool,
    tokens: f64,
}

#[derive(Default)]
struct Target {
    speed: f64,
    reading: VecDeque<Request>,
    running: Vec<Request>,
    /// Shared parts with the time of their last use.
    cache: HashMap<u64, (u64, f64)>,
    load_time: f64,
    sent: usize,
}

/// Result of a replay.
#[derive(Debug, Clone, Copy)]
#[expect(dead_code, reason = "some figures are only printed")]
pub(crate) struct Figures {
    /// Mean running requests of the busiest target over those of all targets.
    pub(crate) busiest: f64,
    /// Requests sent to the busiest target over the mean.
    pub(crate) busiest_sent: f64,
    /// Tokens of shared parts that were read although a target had read them before.
    pub(crate) read_again: f64,
    pub(crate) late: usize,
    pub(crate) requests: usize,
    /// Times at which the requests of a target exceeded its memory.
    pub(crate) overfull: usize,
    pub(crate) moved: usize,
}

struct Entry {
    name: NodeName,
    log: LoadLog,
    view: LoadView,
    running: Vec<u32>,
    waiting: VecDeque<Request>,
    replies: VecDeque<(u64, u64, LoadReply)>,
    weight: f64,
    sessions: SessionTargets,
}

/// Sequence of numbers that is the same on every machine.
pub(crate) struct Draws(pub(crate) u64);

impl Draws {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 += 1;
        stable_hash(&[&self.0.to_le_bytes()])
    }

    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn pick(cumulative: &[f64], draw: f64) -> usize {
    let total = cumulative.last().copied().unwrap_or_default();
    cumulative.partition_point(|sum| *sum <= draw * total)
}

fn cumulative(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    weights
        .scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        })
        .collect()
}

/// Replays `seconds` of the load pattern with `rate` requests per second.
///
/// `tied` is the part of the requests that come to the entry of their session; the others come to any.
pub(crate) fn replay(rule: Rule, rate: f64, seconds: u64, tied: f64, seed: u64) -> Figures {
    let mut draws = Draws(seed << 32);
    let mut home = LoadHome::new(HomeId(seed));
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|number| Entry {
            name: format!("entry-{number}").as_str().into(),
            log: LoadLog::new(),
            view: LoadView::new(),
            running: vec![0; TARGETS],
            waiting: VecDeque::new(),
            replies: VecDeque::new(),
            weight: 1.0 + 3.0 * draws.unit(),
            sessions: SessionTargets::default(),
        })
        .collect();
    let mut targets: Vec<Target> = (0..TARGETS)
        .map(|_| Target {
            speed: 0.85 + 0.3 * draws.unit(),
            ..Target::default()
        })
        .collect();
    let entry_weights = cumulative(entries.iter().map(|entry| entry.weight));
    let session_weights = cumulative((1..=SESSIONS).map(|rank| (rank as f64).powf(-SKEW)));
    let orders: Vec<Vec<usize>> = (0..SESSIONS as u64)
        .map(|session| {
            let hash = |target: &usize| stable_hash(&[&session.to_le_bytes(), &[*target as u8]]);
            let mut order: Vec<usize> = (0..TARGETS).collect();
            order.sort_by_key(|target| std::cmp::Reverse(hash(target)));
            order.truncate(CANDIDATE_COUNT);
            order
        })
        .collect();
    let mut seen = HashSet::new();
    let (mut read_again, mut late, mut requests, mut overfull, mut moved) = (0.0, 0, 0, 0, 0);
    let mut due = 0.0;
    let end = seconds * 1_000;
    for now in (0..end).step_by(TICK_MS as usize) {
        due += rate * TICK_MS as f64 / 1_000.0;
        while due > draws.unit() {
            due -= 1.0;
            requests += 1;
            let session = pick(&session_weights, draws.unit()) as u64;
            let is_tied = draws.unit() < tied;
            let entry = match is_tied {
                true => pick(&entry_weights, Draws(session).unit()),
                false => pick(&entry_weights, draws.unit()),
            };
            let own = 1_500.0 + 2_800.0 * draws.unit();
            let request = Request {
                entry,
                session,
                arrived_at: now,
                sent_at: now,
                unread: own,
                output: 60.0 * (1.0 + 20.0 * draws.unit().powi(3)),
                is_started: false,
                tokens: own,
            };
            entries[entry].waiting.push_back(request);
        }
        for (number, entry) in entries.iter_mut().enumerate() {
            exchange(entry, &mut home, &targets, number, now);
            if entry.waiting.is_empty() {
                continue;
            }
            let mut waits = vec![0; TARGETS];
            for (wait, target) in waits.iter_mut().zip(&targets) {
                let own = target.reading.iter().filter(|open| open.entry == number);
                *wait = own.map(|open| now - open.sent_at).max().unwrap_or(0);
            }
            for _ in 0..entry.waiting.len() {
                let Some(mut request) = entry.waiting.pop_front() else {
                    break;
                };
                let candidate = |target: usize| LoadCandidate {
                    target: target as u64,
                    own_running: entry.running[target],
                    ..LoadCandidate::default()
                };
                let order: Vec<(usize, LoadCandidate)> = orders[request.session as usize]
                    .iter()
                    .map(|target| (*target, candidate(*target)))
                    .collect();
                let all = (0..TARGETS).map(candidate);
                let choice = Choice {
                    load: ServiceLoad::new(&entry.view, all, ClockTime(now)),
                    order: &order,
                    last: entry.sessions.get(request.session),
                    draw: draws.next(),
                    part_permille: (entry.weight * 1_000.0 / entry_weights[ENTRIES - 1]) as u64,
                    waits: &waits,
                };
                let Some(index) = rule(&choice) else {
                    match now - request.arrived_at > OBJECTIVE_MS / 2 {
                        true => late += 1,
                        false => entry.waiting.push_back(request),
                    }
                    continue;
                };
                moved += usize::from(index > 0);
                let target = order[index].0;
                entry.running[target] += 1;
                entry.sessions.record(request.session, target as u64);
                request.sent_at = now;
                targets[target].sent += 1;
                targets[target].reading.push_back(request);
            }
        }
        for (number, target) in targets.iter_mut().enumerate() {
            overfull += usize::from(target.held() > MEMORY);
            let (again, ended) = target.run(now, &mut seen, &mut late);
            read_again += again;
            for entry in ended {
                entries[entry].running[number] -= 1;
            }
        }
    }
    let ratio = |value: fn(&Target) -> f64| {
        let sum: f64 = targets.iter().map(value).sum();
        targets.iter().map(value).fold(0.0, f64::max) * TARGETS as f64 / sum
    };
    Figures {
        busiest: ratio(|target| target.load_time),
        busiest_sent: ratio(|target| target.sent as f64),
        read_again,
        late,
        requests,
        overfull,
        moved,
    }
}

fn exchange(entry: &mut Entry, home: &mut LoadHome, targets: &[Target], number: usize, now: u64) {
    while entry.replies.front().is_some_and(|(_, at, _)| *at <= now) {
        let Some((reported_at, _, reply)) = entry.replies.pop_front() else {
            break;
        };
        if let Some(own) = entry.log.apply_reply(&reply) {
            entry.view.apply_reply(&reply, own, ClockTime(reported_at));
        }
    }
    if (now + number as u64 * TICK_MS).is_multiple_of(250) {
        let loads = (0..targets.len()).map(|target| TargetLoad {
            target: target as u64,
            running: entry.running[target],
            ..TargetLoad::default()
        });
        let report = entry.log.take_report(loads);
        let time = ClockTime(now);
        let reply = home.apply_report(&entry.name, Incarnation(1), &report, ENTRIES, time);
        entry.replies.push_back((now, now + REPLY_DELAY_MS, reply));
    }
}

impl Target {
    /// Tokens of the running requests; shared parts count once.
    fn held(&self) -> f64 {
        let sessions: HashSet<u64> = self.running.iter().map(|run| run.session).collect();
        let own: f64 = self.running.iter().map(|run| run.tokens).sum();
        own + sessions.len() as f64 * SESSION_TOKENS
    }

    /// Reads prompts and produces output for one tick. Returns the tokens that were read again, and the
    /// entries whose requests have ended.
    fn run(&mut self, now: u64, seen: &mut HashSet<u64>, late: &mut usize) -> (f64, Vec<usize>) {
        let mut read_again = 0.0;
        let mut reading_ms = TICK_MS as f64;
        let read_rate = 30.9 * self.speed;
        while reading_ms > 0.0 && self.running.len() < 64 {
            let Some(mut request) = self.reading.pop_front() else {
                break;
            };
            if !request.is_started {
                request.is_started = true;
                let organisation = 1_000_000 + request.session % 12;
                let parts = [
                    (organisation, SYSTEM_TOKENS),
                    (request.session, SESSION_TOKENS),
                ];
                for (part, tokens) in parts {
                    if self.cache.insert(part, (now, tokens)).is_none() {
                        request.unread += tokens;
                        read_again += if seen.insert(part) { 0.0 } else { tokens };
                    }
                }
            }
            let read = request.unread.min(reading_ms * read_rate);
            request.unread -= read;
            reading_ms -= read / read_rate;
            if request.unread > 0.0 {
                self.reading.push_front(request);
                break;
            }
            *late += usize::from(now - request.arrived_at > OBJECTIVE_MS);
            self.running.push(request);
        }
        let count = self.running.len() as f64;
        self.load_time += count + self.reading.len() as f64;
        let step_ms = 6.17 * (1.0 + count / 64.0) / self.speed;
        let steps = match self.running.is_empty() {
            true => 0.0,
            false => reading_ms.max(0.0) / step_ms,
        };
        for run in &mut self.running {
            run.output -= steps;
            run.tokens += steps;
        }
        let ended = self.running.extract_if(.., |run| run.output <= 0.0);
        let ended = ended.map(|run| run.entry).collect();
        self.evict();
        (read_again, ended)
    }

    /// Evicts the least recently used shared parts that do not fit beside the running requests.
    fn evict(&mut self) {
        let own: f64 = self.running.iter().map(|run| run.tokens).sum();
        let cached: f64 = self.cache.values().map(|(_, tokens)| tokens).sum();
        let mut excess = own + cached - MEMORY;
        while excess > 0.0 {
            let in_use: HashSet<u64> = self.running.iter().map(|run| run.session).collect();
            let unused = self.cache.iter().filter(|(part, _)| !in_use.contains(part));
            let oldest = unused.min_by_key(|(part, (used_at, _))| (*used_at, **part));
            let Some(part) = oldest.map(|(part, _)| *part) else {
                break;
            };
            excess -= self.cache.remove(&part).map_or(0.0, |(_, tokens)| tokens);
        }
    }
}
