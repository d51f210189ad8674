//! Events of the fake network in order of time, with delays, partitions and restarts.

use std::collections::{BTreeMap, BTreeSet};

use fair::home_of;
use offers::{AgentView, BookAction, StartOutcome, TableAction, WaitingRequest};
use units::{ClockTime, CostUnits, NodeName, RequestId, ServiceName};
use wire::{EntryMessage, FlowTotal, UsageReport, UsageTotals};

use super::meter::FleetMeter;
use super::nodes::{AgentNode, AgentRun, CallerRequest, EntryNode, SERVICE, flow, offer};

/// One-way delay within a region, in ms (rounded up to the clock's unit).
pub const NEAR_MS: u64 = 1;
/// One-way delay between regions, in ms.
pub const FAR_MS: u64 = 8;
/// Interval of usage reports, in ms.
pub const REPORT_MS: u64 = 500;
/// Time before another region is offered a request, in ms.
pub const SPILL_MS: u64 = 150;
/// Interval at which a run produces units, in ms.
pub const STEP_MS: u64 = 20;
/// Units that a run produces in a step.
pub const STEP_UNITS: u64 = 2;
/// Largest cost of a request, in units.
pub const MOST_COST: u64 = 40;
pub const TICK_MS: u64 = 5;
const SAMPLE_MS: u64 = 20;

/// Whether agents are told the totals of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharePolicy {
    /// Totals are summed at homes and passed on.
    Fleet,
    /// Each agent knows only its own service.
    AgentAlone,
}

/// Requests of one organisation at one entry.
#[derive(Debug, Clone)]
pub struct CallerLoad {
    pub organisation: usize,
    pub entry: usize,
    /// Time between two requests, in ms.
    pub every_ms: u64,
}

/// Size and load of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    pub regions: usize,
    pub entries: usize,
    pub agents: usize,
    pub slots: u32,
    pub weights: Vec<u32>,
    pub loads: Vec<CallerLoad>,
    pub max_waiting: u32,
    pub policy: SharePolicy,
    pub seed: u64,
}

impl FleetSettings {
    /// Units that all slots produce in a second.
    pub fn rate(&self) -> f64 {
        let slots = self.agents as f64 * f64::from(self.slots);
        slots * STEP_UNITS as f64 * 1000.0 / STEP_MS as f64
    }

    /// The bound of section 3.2: `(C * D + (S + 1) * L) / w`, for totals that are `extra_ms` older
    /// than in a fleet without faults.
    pub fn bound(&self, extra_ms: u64) -> f64 {
        let age_ms = REPORT_MS + 2 * FAR_MS + FAR_MS + extra_ms;
        let slots = self.agents as f64 * f64::from(self.slots);
        let weight = f64::from(*self.weights.iter().min().expect("an organisation")) / 1000.0;
        (self.rate() * age_ms as f64 / 1000.0 + (slots + 1.0) * MOST_COST as f64) / weight
    }
}

#[derive(Debug, Clone)]
enum Event {
    Arrive(usize),
    ToAgent(usize, usize, (u64, u64), EntryMessage),
    ToEntry(usize, usize, (u64, u64), TableAction),
    Start(usize, usize, (u64, u64), CallerRequest),
    NotClaimed(usize, u64, RequestId),
    Step(usize, u64, RequestId),
    Charge(usize, u64, usize, u64),
    Ended(usize, u64, RequestId),
    Report(usize),
    ToHome(usize, usize, UsageReport),
    Totals(usize, u64, UsageTotals),
    Tick,
    Sample,
}

/// The fleet and its events.
pub struct FakeNetwork {
    pub settings: FleetSettings,
    pub entries: Vec<EntryNode>,
    pub agents: Vec<AgentNode>,
    pub meter: FleetMeter,
    pub now: u64,
    /// Entries whose usage reports do not reach the entries outside this set, and vice versa.
    pub partition: BTreeSet<usize>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    random: u64,
    next_request: u128,
    next_incarnation: u64,
    holders: BTreeMap<RequestId, usize>,
}

impl FakeNetwork {
    pub fn new(settings: FleetSettings) -> Self {
        let regions = settings.regions;
        let entries = (0..settings.entries)
            .map(|i| EntryNode::new(i, i % regions, 1))
            .collect();
        let agents = (0..settings.agents)
            .map(|i| AgentNode::new(i, i % regions, settings.slots, 1))
            .collect();
        let weights = settings.weights.iter().map(|w| f64::from(*w) / 1000.0);
        let mut network = Self {
            entries,
            agents,
            meter: FleetMeter::new(weights.collect()),
            now: 0,
            partition: BTreeSet::new(),
            events: BTreeMap::new(),
            sequence: 0,
            random: settings.seed,
            next_request: 1,
            next_incarnation: 2,
            holders: BTreeMap::new(),
            settings,
        };
        network.begin();
        network
    }

    fn begin(&mut self) {
        for entry in 0..self.entries.len() {
            self.connect(entry);
            // Reports of the entries are spread over the interval.
            let offset = REPORT_MS * entry as u64 / self.entries.len() as u64;
            self.after(offset, Event::Report(entry));
        }
        for load in 0..self.settings.loads.len() {
            // A burst at the start, so that every flow is backlogged early.
            for _ in 0..8 {
                self.submit(load);
            }
            let every = self.settings.loads[load].every_ms;
            self.after(every, Event::Arrive(load));
        }
        self.after(TICK_MS, Event::Tick);
        self.after(SAMPLE_MS, Event::Sample);
    }

    /// Runs up to a time in ms.
    pub fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }

    /// Restarts an entry with empty memory; its callers send their requests again.
    pub fn restart_entry(&mut self, index: usize) {
        let region = self.entries[index].region;
        let incarnation = self.incarnation();
        let fresh = EntryNode::new(index, region, incarnation);
        let old = std::mem::replace(&mut self.entries[index], fresh);
        let now = self.time();
        for agent in 0..self.agents.len() {
            let name = old.name.clone();
            let actions = self.agents[agent].table.entry_lost(&name, now);
            self.table_actions(agent, actions);
        }
        self.connect(index);
        for request in old.open.into_values() {
            self.holders.remove(&request.id);
            self.enqueue(index, request);
        }
    }

    /// Restarts an agent with empty memory; entries offer what it ran again.
    pub fn restart_agent(&mut self, index: usize) {
        let region = self.agents[index].region;
        let incarnation = self.incarnation();
        self.agents[index] = AgentNode::new(index, region, self.settings.slots, incarnation);
        let name = self.agents[index].name.clone();
        for entry in 0..self.entries.len() {
            let now = self.time();
            let actions = self.entries[entry].book.agent_lost(&name, now);
            self.book_actions(entry, actions);
            self.connect(entry);
            let granted = self.entries[entry].granted.clone();
            for (request, agent) in granted {
                if agent == index {
                    self.requeue(entry, request);
                }
            }
        }
    }

    /// Breaks and restores the connection of an entry and an agent.
    pub fn reconnect(&mut self, entry: usize, agent: usize) {
        let now = self.time();
        let agent_name = self.agents[agent].name.clone();
        let entry_name = self.entries[entry].name.clone();
        let actions = self.entries[entry].book.agent_lost(&agent_name, now);
        self.book_actions(entry, actions);
        let actions = self.agents[agent].table.entry_lost(&entry_name, now);
        self.table_actions(agent, actions);
        self.connect(entry);
    }

    fn connect(&mut self, entry: usize) {
        let region = self.entries[entry].region;
        let views = self.agents.iter().map(|agent| AgentView {
            name: agent.name.clone(),
            service: ServiceName::from(SERVICE),
            local: agent.region == region,
            free: agent.table.free(),
        });
        let views = views.collect();
        let now = self.time();
        let actions = self.entries[entry].book.set_agents(views, now);
        self.book_actions(entry, actions);
        let name = self.entries[entry].name.clone();
        for agent in 0..self.agents.len() {
            let actions = self.agents[agent].table.entry_connected(&name, now);
            self.table_actions(agent, actions);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(load) => {
                self.submit(load);
                let every = self.settings.loads[load].every_ms;
                self.after(every, Event::Arrive(load));
            }
            Event::ToAgent(entry, agent, link, message) => {
                if link == self.link(entry, agent) {
                    self.agent_message(entry, agent, message);
                }
            }
            Event::ToEntry(entry, agent, link, message) => {
                if link == self.link(entry, agent) {
                    self.entry_message(entry, agent, message);
                }
            }
            Event::Start(entry, agent, link, request) => {
                if link == self.link(entry, agent) {
                    self.start(entry, agent, request);
                }
            }
            Event::NotClaimed(entry, incarnation, request) => {
                if self.entries[entry].incarnation == incarnation {
                    self.requeue(entry, request);
                }
            }
            Event::Step(agent, incarnation, request) => self.step(agent, incarnation, request),
            Event::Charge(entry, incarnation, organisation, units) => {
                if self.entries[entry].incarnation == incarnation {
                    let now = self.time();
                    let ledger = &mut self.entries[entry].ledger;
                    ledger.charge(&flow(organisation), CostUnits(units), now);
                }
            }
            Event::Ended(entry, incarnation, request) => self.ended(entry, incarnation, request),
            Event::Report(entry) => self.report(entry),
            Event::ToHome(from, home, report) => self.at_home(from, home, &report),
            Event::Totals(entry, incarnation, totals) => self.totals(entry, incarnation, &totals),
            Event::Tick => self.tick(),
            Event::Sample => self.sample(),
        }
    }

    fn submit(&mut self, load: usize) {
        let CallerLoad {
            organisation,
            entry,
            ..
        } = self.settings.loads[load];
        let cost = 1 + self.draw(MOST_COST);
        // Hints are wrong by up to a factor of 10 in both directions.
        let hint = match self.draw(3) {
            0 => cost * 10,
            1 => cost / 10,
            _ => cost,
        };
        let request = CallerRequest {
            id: RequestId(self.next_request),
            organisation,
            cost,
            hint,
        };
        self.next_request += 1;
        self.enqueue(entry, request);
    }

    fn enqueue(&mut self, entry: usize, request: CallerRequest) {
        let now = self.time();
        let weight = self.settings.weights[request.organisation];
        let key = flow(request.organisation);
        let node = &mut self.entries[entry];
        let total = node.ledger.total(&key);
        let waiting = WaitingRequest {
            offer: offer(&request, weight, total),
            deadline: ClockTime(u64::MAX),
            max_waiting: self.settings.max_waiting,
        };
        match node.book.enqueue(waiting, now) {
            Ok(actions) => {
                node.ledger.backlogged(&key, units::FlowWeight(weight), now);
                node.ledger.opened(&key, now);
                node.wait(&request, now.0);
                node.open.insert(request.id, request);
                self.book_actions(entry, actions);
            }
            Err(_) => self.meter.refused += 1,
        }
    }

    /// Offers a granted request again that did not run to its end.
    fn requeue(&mut self, entry: usize, request: RequestId) {
        let node = &mut self.entries[entry];
        node.granted.remove(&request);
        self.holders.remove(&request);
        let Some(open) = node.open.remove(&request) else {
            return;
        };
        node.ledger
            .closed(&flow(open.organisation), ClockTime(self.now));
        let most = self.settings.max_waiting;
        self.settings.max_waiting = u32::MAX;
        self.enqueue(entry, open);
        self.settings.max_waiting = most;
    }

    fn agent_message(&mut self, entry: usize, agent: usize, message: EntryMessage) {
        let now = self.time();
        let name = self.entries[entry].name.clone();
        let table = &mut self.agents[agent].table;
        let actions = match message {
            EntryMessage::Offer(mut offer) => {
                if self.settings.policy == SharePolicy::AgentAlone {
                    offer.total = CostUnits(0);
                }
                table.offered(&name, offer, now)
            }
            EntryMessage::Withdraw(request) => {
                let actions = table.withdrawn(&name, request, now);
                if self.settings.policy == SharePolicy::AgentAlone {
                    // A total ends what the agent assumes of the service of others.
                    let open = self.entries[entry].open.get(&request);
                    let total = open.map(|open| FlowTotal {
                        flow: flow(open.organisation),
                        total: CostUnits(0),
                    });
                    table.merge(total.as_slice(), &[]);
                }
                actions
            }
            EntryMessage::Totals {
                totals,
                virtual_times,
            } => {
                if self.settings.policy == SharePolicy::Fleet {
                    table.merge(&totals, &virtual_times);
                }
                Vec::new()
            }
            EntryMessage::Ping(_) => Vec::new(),
        };
        self.table_actions(agent, actions);
    }

    fn entry_message(&mut self, entry: usize, agent: usize, action: TableAction) {
        let now = self.time();
        let name = self.agents[agent].name.clone();
        let node = &mut self.entries[entry];
        let actions = match action {
            TableAction::Claim { request, .. } => node.book.claimed(&name, request, now),
            TableAction::Room { free, .. } => node.book.room(&name, free, now),
            TableAction::VirtualTime { time } => {
                let service = ServiceName::from(SERVICE);
                node.ledger.merge_virtual_time(&service, time);
                Vec::new()
            }
        };
        self.book_actions(entry, actions);
    }

    fn book_actions(&mut self, entry: usize, actions: Vec<BookAction>) {
        for action in actions {
            match action {
                BookAction::Send { agent, message } => {
                    let agent = self.agent_index(&agent);
                    let link = self.link(entry, agent);
                    let event = Event::ToAgent(entry, agent, link, message);
                    self.after(self.delay(entry, agent), event);
                }
                BookAction::Grant { agent, request } => self.grant(entry, &agent, request),
                BookAction::Expire { request } => panic!("request {request} has no deadline"),
            }
        }
    }

    fn grant(&mut self, entry: usize, agent: &NodeName, request: RequestId) {
        let agent = self.agent_index(agent);
        let before = self.holders.insert(request, agent);
        assert_eq!(before, None, "request {request} was granted twice");
        self.meter.granted += 1;
        let link = self.link(entry, agent);
        let node = &mut self.entries[entry];
        node.stop_waiting(request);
        node.granted.insert(request, agent);
        let open = node.open[&request].clone();
        let event = Event::Start(entry, agent, link, open);
        self.after(self.delay(entry, agent), event);
    }

    fn table_actions(&mut self, agent: usize, actions: Vec<TableAction>) {
        for action in actions {
            let entries: Vec<usize> = match &action {
                TableAction::Claim { entry, .. } | TableAction::Room { entry, .. } => {
                    let mut names = self.entries.iter().map(|node| &node.name);
                    vec![names.position(|name| name == entry).expect("an entry")]
                }
                TableAction::VirtualTime { .. } => (0..self.entries.len()).collect(),
            };
            for entry in entries {
                let link = self.link(entry, agent);
                let event = Event::ToEntry(entry, agent, link, action.clone());
                self.after(self.delay(entry, agent), event);
            }
        }
    }

    fn start(&mut self, entry: usize, agent: usize, request: CallerRequest) {
        let now = self.time();
        let incarnation = self.entries[entry].incarnation;
        let node = &mut self.agents[agent];
        if node.table.started(request.id, now) != StartOutcome::Started {
            let delay = self.delay(entry, agent);
            self.after(delay, Event::NotClaimed(entry, incarnation, request.id));
            return;
        }
        let run = AgentRun {
            entry,
            entry_incarnation: incarnation,
            organisation: request.organisation,
            cost: request.cost,
            done: 0,
        };
        node.runs.insert(request.id, run);
        let event = Event::Step(agent, node.incarnation, request.id);
        self.after(STEP_MS, event);
    }

    fn step(&mut self, agent: usize, incarnation: u64, request: RequestId) {
        let now = self.time();
        let node = &mut self.agents[agent];
        if node.incarnation != incarnation {
            return;
        }
        let run = node.runs.get_mut(&request).expect("a run");
        let units = STEP_UNITS.min(run.cost - run.done);
        run.done += units;
        let run = run.clone();
        node.table.charged(request, CostUnits(run.done), now);
        self.meter.service[run.organisation] += units;
        let delay = self.delay(run.entry, agent);
        let charge = Event::Charge(run.entry, run.entry_incarnation, run.organisation, units);
        self.after(delay, charge);
        if run.done < run.cost {
            self.after(STEP_MS, Event::Step(agent, incarnation, request));
            return;
        }
        let node = &mut self.agents[agent];
        node.runs.remove(&request);
        let actions = node.table.ended(request, now);
        self.table_actions(agent, actions);
        let ended = Event::Ended(run.entry, run.entry_incarnation, request);
        self.after(delay, ended);
    }

    fn ended(&mut self, entry: usize, incarnation: u64, request: RequestId) {
        let node = &mut self.entries[entry];
        if node.incarnation != incarnation {
            return;
        }
        let open = node.open.remove(&request).expect("an open request");
        node.granted.remove(&request);
        let key = flow(open.organisation);
        node.ledger.closed(&key, ClockTime(self.now));
        self.meter.ended += 1;
    }

    fn report(&mut self, entry: usize) {
        let node = &self.entries[entry];
        let names: Vec<NodeName> = self.entries.iter().map(|node| node.name.clone()).collect();
        let mut reports: BTreeMap<usize, UsageReport> = BTreeMap::new();
        for usage in node.ledger.report(self.time()) {
            let name = home_of(&usage.flow, names.iter()).expect("an entry");
            let home = names.iter().position(|other| other == name);
            let report = reports
                .entry(home.expect("the home"))
                .or_insert_with(|| UsageReport {
                    reporter: node.name.clone(),
                    incarnation: node.incarnation(),
                    flows: Vec::new(),
                    virtual_times: node.ledger.virtual_times(),
                });
            report.flows.push(usage);
        }
        for (home, report) in reports {
            if self.partition.contains(&entry) == self.partition.contains(&home) {
                let delay = self.entry_delay(entry, home);
                self.after(delay, Event::ToHome(entry, home, report));
            }
        }
        self.after(REPORT_MS, Event::Report(entry));
    }

    fn at_home(&mut self, from: usize, home: usize, report: &UsageReport) {
        let now = self.time();
        let totals = self.entries[home].home.report(report, now);
        let delay = self.entry_delay(from, home);
        self.after(delay, Event::Totals(from, report.incarnation.0, totals));
    }

    fn totals(&mut self, entry: usize, incarnation: u64, totals: &UsageTotals) {
        let node = &mut self.entries[entry];
        if node.incarnation != incarnation {
            return;
        }
        for total in &totals.totals {
            node.ledger.merge(total);
        }
        for (service, time) in &totals.virtual_times {
            node.ledger.merge_virtual_time(service, *time);
        }
        let actions = node.book.totals(&totals.totals, &totals.virtual_times);
        self.book_actions(entry, actions);
    }

    fn tick(&mut self) {
        let now = self.time();
        for entry in 0..self.entries.len() {
            let actions = self.entries[entry].book.tick(now);
            self.book_actions(entry, actions);
        }
        for agent in 0..self.agents.len() {
            let actions = self.agents[agent].table.tick(now);
            self.table_actions(agent, actions);
        }
        self.after(TICK_MS, Event::Tick);
    }

    /// Organisations with a request that every agent of the pool may have been offered.
    fn backlogged(&self) -> Vec<bool> {
        let old = self.now.saturating_sub(SPILL_MS + TICK_MS + FAR_MS);
        let is_backlogged = |organisation: usize| {
            self.entries.iter().any(|entry| {
                let waiting = entry.waiting.get(&organisation);
                let oldest = waiting.and_then(BTreeSet::first);
                oldest.is_some_and(|(time, _)| *time <= old)
            })
        };
        (0..self.settings.weights.len())
            .map(is_backlogged)
            .collect()
    }

    fn sample(&mut self) {
        let backlogged = self.backlogged();
        self.meter.sample_gaps(&backlogged, self.now);
        if backlogged.contains(&true) {
            let busy = self.agents.iter().map(|agent| agent.runs.len() as u64);
            let slots = self.agents.len() as u64 * u64::from(self.settings.slots);
            self.meter.sample_slots(busy.sum(), slots);
        }
        self.check_idle();
        self.check_open();
        self.after(SAMPLE_MS, Event::Sample);
    }

    /// No agent is free while a request that it could serve waits longer than the message delay
    /// plus the wave time (and the spill time for an agent in another region).
    fn check_idle(&mut self) {
        for (agent, node) in self.agents.iter().enumerate() {
            if node.table.free().0 == 0 {
                continue;
            }
            for (index, entry) in self.entries.iter().enumerate() {
                let spill = if entry.region == node.region {
                    0
                } else {
                    SPILL_MS
                };
                let most = spill + TICK_MS + self.delay(index, agent);
                let waiting = entry.queued.iter();
                for (request, time) in waiting.filter(|(_, time)| self.now > *time + most) {
                    self.meter.idle_faults.push(format!(
                        "{} is free at {} while {request} waits at {} since {time}",
                        node.name, self.now, entry.name
                    ));
                }
            }
        }
    }

    /// Nothing is lost: an open request either waits in the book or is granted.
    fn check_open(&self) {
        for entry in &self.entries {
            for request in entry.open.keys() {
                let waits = entry.book.is_waiting(*request);
                let granted = entry.granted.contains_key(request);
                assert!(
                    waits != granted,
                    "request {request} is lost or granted twice"
                );
            }
        }
    }

    fn time(&self) -> ClockTime {
        ClockTime(self.now)
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn link(&self, entry: usize, agent: usize) -> (u64, u64) {
        let entry = self.entries[entry].incarnation;
        (entry, self.agents[agent].incarnation)
    }

    fn delay(&self, entry: usize, agent: usize) -> u64 {
        let near = self.entries[entry].region == self.agents[agent].region;
        if near { NEAR_MS } else { FAR_MS }
    }

    fn entry_delay(&self, entry: usize, other: usize) -> u64 {
        let near = self.entries[entry].region == self.entries[other].region;
        if near { NEAR_MS } else { FAR_MS }
    }

    fn agent_index(&self, name: &NodeName) -> usize {
        let mut names = self.agents.iter().map(|agent| &agent.name);
        names.position(|other| other == name).expect("an agent")
    }

    fn incarnation(&mut self) -> u64 {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below
    }
}
