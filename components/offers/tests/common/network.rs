//! Discrete-event simulation of a fleet with message delays, partitions and restarts.

use std::collections::{BTreeMap, BTreeSet};

use offers::{BookAction, StartOutcome, TableAction, WaitingRequest};
use units::{ClockTime, CostUnits, NodeName, RequestId};
use wire::{EntryMessage, FlowId, FlowTotal, UsageTotals};

use super::meter::FleetMeter;
use super::nodes::{AgentNode, AgentRun, CallerRequest, ControlNode, EntryNode, flow, offer};
use super::settings::{
    CallerLoad, FleetSettings, LOCAL_DELAY_MS, MAX_COST, REMOTE_DELAY_MS, REPORT_INTERVAL_MS,
    SAMPLE_INTERVAL_MS, STEP_INTERVAL_MS, STEP_UNITS, SharePolicy, TICK_INTERVAL_MS,
};
use super::usage::ReportExchange;

/// Event of the simulation.
///
/// Entries, agents, control nodes and loads are given by index. A pair of numbers is a link, that
/// is, the incarnations of the entry and the agent; events of an earlier incarnation are ignored.
#[derive(Debug, Clone)]
pub enum Event {
    Burst(usize),
    Arrive(usize),
    ToAgent(usize, usize, (u64, u64), EntryMessage),
    ToEntry(usize, usize, (u64, u64), TableAction),
    Start(usize, usize, (u64, u64), CallerRequest),
    NotClaimed(usize, usize, u64, RequestId),
    Step(usize, u64, RequestId),
    Ended(usize, usize, u64, RequestId),
    Report(usize, u64),
    ToHome(usize, ReportExchange),
    Totals(usize, ReportExchange, UsageTotals),
    Timeout(usize, u64, u64),
    Tick,
    Sample,
}

/// Simulated fleet and its pending events; times are in ms.
pub struct SimulatedNetwork {
    pub settings: FleetSettings,
    pub entries: Vec<EntryNode>,
    pub agents: Vec<AgentNode>,
    pub meter: FleetMeter,
    pub now: u64,
    pub controls: Vec<ControlNode>,
    /// Agents that reach only the control nodes in `partition_controls`; other agents reach only
    /// the remaining ones.
    pub partition: BTreeSet<usize>,
    pub partition_controls: BTreeSet<usize>,
    /// Cost units by which homes have raised the total of each organisation's flow.
    pub raised: Vec<u64>,
    /// Region that is disconnected from the others.
    pub isolated_region: Option<usize>,
    /// Pending events, ordered by time in ms and then by sequence number.
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    random_state: u64,
    next_request: u128,
    next_incarnation: u64,
    /// Index of the agent that each request is granted to.
    pub granted_agents: BTreeMap<RequestId, usize>,
}

impl SimulatedNetwork {
    pub fn new(settings: FleetSettings) -> Self {
        let regions = settings.regions;
        let entries = (0..settings.entries)
            .map(|index| EntryNode::new(index, index % regions, 1, settings.wave_size))
            .collect();
        let controls: Vec<ControlNode> = (0..settings.controls)
            .map(|index| ControlNode::new(index, index % regions))
            .collect();
        let agents = (0..settings.agents)
            .map(|index| AgentNode::new(index, index % regions, settings.slots, 1, &controls))
            .collect();
        let weights = settings
            .weights
            .iter()
            .map(|weight| f64::from(*weight) / 1000.0);
        let mut network = Self {
            entries,
            agents,
            meter: FleetMeter::new(weights.collect()),
            now: 0,
            controls,
            partition: BTreeSet::new(),
            partition_controls: BTreeSet::new(),
            raised: vec![0; settings.weights.len()],
            isolated_region: None,
            events: BTreeMap::new(),
            sequence: 0,
            random_state: settings.seed,
            next_request: 1,
            next_incarnation: 2,
            granted_agents: BTreeMap::new(),
            settings,
        };
        network.schedule_initial_events();
        network
    }

    fn schedule_initial_events(&mut self) {
        for entry in 0..self.entries.len() {
            self.connect(entry);
        }
        if self.settings.policy == SharePolicy::FleetTotals {
            for agent in 0..self.agents.len() {
                // Spreads the report rounds of the agents over the interval.
                let offset = REPORT_INTERVAL_MS * agent as u64 / self.agents.len() as u64;
                let incarnation = self.agents[agent].incarnation;
                self.schedule(offset, Event::Report(agent, incarnation));
            }
        }
        for load in 0..self.settings.loads.len() {
            let start = self.settings.loads[load].start_ms;
            // Starts with a burst, so that every flow becomes backlogged early.
            for _ in 0..8 {
                self.schedule(start, Event::Burst(load));
            }
            self.schedule(start, Event::Arrive(load));
        }
        self.schedule(TICK_INTERVAL_MS, Event::Tick);
        self.schedule(SAMPLE_INTERVAL_MS, Event::Sample);
    }

    /// Runs the simulation up to `end`, in ms.
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

    fn handle(&mut self, event: Event) {
        match event {
            Event::Burst(load) => self.submit(load),
            Event::Arrive(load) => {
                self.submit(load);
                let interval = self.settings.loads[load].interval_ms;
                self.schedule(interval, Event::Arrive(load));
            }
            Event::ToAgent(entry, agent, link, message) => {
                if self.is_linked(entry, agent, link) {
                    self.handle_entry_message(entry, agent, message);
                }
            }
            Event::ToEntry(entry, agent, link, message) => {
                if self.is_linked(entry, agent, link) {
                    self.handle_agent_message(entry, agent, message);
                }
            }
            Event::Start(entry, agent, link, request) => {
                if self.is_linked(entry, agent, link) {
                    self.start_run(entry, agent, request);
                }
            }
            Event::NotClaimed(entry, agent, incarnation, request) => {
                let node = &self.entries[entry];
                let is_granted = node.granted.get(&request) == Some(&agent);
                if node.incarnation == incarnation && is_granted {
                    self.requeue(entry, request);
                }
            }
            Event::Step(agent, incarnation, request) => self.step_run(agent, incarnation, request),
            Event::Ended(entry, agent, incarnation, request) => {
                if self.entries[entry].granted.get(&request) == Some(&agent) {
                    self.complete_request(entry, incarnation, request);
                }
            }
            Event::Report(agent, incarnation) => self.run_reporter(agent, incarnation),
            Event::ToHome(control, exchange) => self.handle_report(control, exchange),
            Event::Totals(control, exchange, totals) => self.use_totals(control, exchange, &totals),
            Event::Timeout(agent, incarnation, id) => self.handle_timeout(agent, incarnation, id),
            Event::Tick => self.tick(),
            Event::Sample => {
                self.sample();
                self.schedule(SAMPLE_INTERVAL_MS, Event::Sample);
            }
        }
    }

    fn submit(&mut self, load: usize) {
        let CallerLoad {
            organisation,
            entry,
            ..
        } = self.settings.loads[load];
        let cost = 1 + self.random_below(MAX_COST);
        // Estimates are exact, or wrong by up to a factor of 10 in either direction.
        let cost_estimate = match self.random_below(3) {
            0 => cost * 10,
            1 => cost / 10,
            _ => cost,
        };
        let request = CallerRequest {
            id: RequestId(self.next_request),
            organisation,
            cost,
            cost_estimate,
        };
        self.next_request += 1;
        self.enqueue(entry, request);
    }

    pub(super) fn enqueue(&mut self, entry: usize, request: CallerRequest) {
        let now = self.clock_time();
        let weight = self.settings.weights[request.organisation];
        let node = &mut self.entries[entry];
        let waiting = WaitingRequest {
            offer: offer(&request, weight),
            deadline: ClockTime(u64::MAX),
            max_waiting: self.settings.max_waiting,
        };
        match node.book.enqueue(waiting, now) {
            Ok(actions) => {
                node.start_waiting(&request, now.0);
                node.open.insert(request.id, request);
                self.perform_book_actions(entry, actions);
            }
            Err(_) => self.meter.refused += 1,
        }
    }

    /// Requeues a granted request that did not run to completion.
    pub(super) fn requeue(&mut self, entry: usize, request: RequestId) {
        let node = &mut self.entries[entry];
        node.granted.remove(&request);
        self.granted_agents.remove(&request);
        let Some(open) = node.open.remove(&request) else {
            return;
        };
        let max_waiting = self.settings.max_waiting;
        self.settings.max_waiting = u32::MAX;
        self.enqueue(entry, open);
        self.settings.max_waiting = max_waiting;
    }

    fn handle_entry_message(&mut self, entry: usize, agent: usize, message: EntryMessage) {
        let now = self.clock_time();
        let name = self.entries[entry].name.clone();
        let table = &mut self.agents[agent].table;
        let actions = match message {
            EntryMessage::Offer(offer) => table.add_offer(&name, offer, now),
            EntryMessage::Withdraw(request) => {
                let actions = table.withdraw(&name, request, now);
                if self.settings.policy == SharePolicy::LocalTotals {
                    // A total clears the agent's estimate of the service given by other agents.
                    let open = self.entries[entry].open.get(&request);
                    let total = open.map(|open| FlowTotal {
                        flow: FlowId::of(&flow(open.organisation)),
                        total: CostUnits(0),
                        is_backlogged_elsewhere: false,
                    });
                    let answer = UsageTotals {
                        totals: total.into_iter().collect(),
                        virtual_time: 0,
                    };
                    table.apply_totals(&[], &answer);
                }
                actions
            }
            EntryMessage::Ping(_) => Vec::new(),
        };
        self.perform_table_actions(agent, actions);
    }

    fn handle_agent_message(&mut self, entry: usize, agent: usize, action: TableAction) {
        let now = self.clock_time();
        let name = self.agents[agent].name.clone();
        let node = &mut self.entries[entry];
        let actions = match action {
            TableAction::Claim { request, .. } => node.book.handle_claim(&name, request, now),
            TableAction::FreeSlots { free, .. } => node.book.handle_free_slots(&name, free, now),
        };
        self.perform_book_actions(entry, actions);
    }

    pub(super) fn perform_book_actions(&mut self, entry: usize, actions: Vec<BookAction>) {
        for action in actions {
            match action {
                BookAction::Send { agent, message } => {
                    self.meter.offered += u64::from(matches!(message, EntryMessage::Offer(_)));
                    let agent = self.agent_index(&agent);
                    let link = self.link(entry, agent);
                    let event = Event::ToAgent(entry, agent, link, message);
                    self.schedule(self.delay(entry, agent), event);
                }
                BookAction::Grant { agent, request } => self.grant(entry, &agent, request),
                BookAction::Expire { request } => panic!("request {request} expired too early"),
            }
        }
    }

    fn grant(&mut self, entry: usize, agent: &NodeName, request: RequestId) {
        let agent = self.agent_index(agent);
        let before = self.granted_agents.insert(request, agent);
        assert_eq!(before, None, "request {request} was granted twice");
        self.meter.granted += 1;
        let link = self.link(entry, agent);
        let node = &mut self.entries[entry];
        node.stop_waiting(request);
        node.granted.insert(request, agent);
        let open = node.open[&request].clone();
        let event = Event::Start(entry, agent, link, open);
        self.schedule(self.delay(entry, agent), event);
    }

    pub(super) fn perform_table_actions(&mut self, agent: usize, actions: Vec<TableAction>) {
        for action in actions {
            self.meter.claimed += u64::from(matches!(action, TableAction::Claim { .. }));
            let (TableAction::Claim { entry, .. } | TableAction::FreeSlots { entry, .. }) = &action;
            let mut names = self.entries.iter().map(|node| &node.name);
            let entry = names
                .position(|name| name == entry)
                .expect("the action names a known entry");
            let link = self.link(entry, agent);
            let event = Event::ToEntry(entry, agent, link, action);
            self.schedule(self.delay(entry, agent), event);
        }
    }

    fn start_run(&mut self, entry: usize, agent: usize, request: CallerRequest) {
        let now = self.clock_time();
        let incarnation = self.entries[entry].incarnation;
        let node = &mut self.agents[agent];
        if node.table.start(request.id, now) != StartOutcome::Started {
            let delay = self.delay(entry, agent);
            self.schedule(
                delay,
                Event::NotClaimed(entry, agent, incarnation, request.id),
            );
            return;
        }
        let run = AgentRun {
            entry,
            entry_incarnation: incarnation,
            organisation: request.organisation,
            cost: request.cost,
            charged: 0,
        };
        node.runs.insert(request.id, run);
        let event = Event::Step(agent, node.incarnation, request.id);
        self.schedule(STEP_INTERVAL_MS, event);
    }

    fn step_run(&mut self, agent: usize, incarnation: u64, request: RequestId) {
        let now = self.clock_time();
        let node = &mut self.agents[agent];
        if node.incarnation != incarnation {
            return;
        }
        let Some(run) = node.runs.get_mut(&request) else {
            return;
        };
        let units = STEP_UNITS.min(run.cost - run.charged);
        run.charged += units;
        let run = run.clone();
        node.table.charge(request, CostUnits(run.charged), now);
        self.meter.service[run.organisation] += units;
        let delay = self.delay(run.entry, agent);
        if run.charged < run.cost {
            self.schedule(STEP_INTERVAL_MS, Event::Step(agent, incarnation, request));
            return;
        }
        let node = &mut self.agents[agent];
        node.runs.remove(&request);
        let actions = node.table.finish(request, now);
        self.perform_table_actions(agent, actions);
        let ended = Event::Ended(run.entry, agent, run.entry_incarnation, request);
        self.schedule(delay, ended);
    }

    fn complete_request(&mut self, entry: usize, incarnation: u64, request: RequestId) {
        let node = &mut self.entries[entry];
        if node.incarnation != incarnation {
            return;
        }
        node.open.remove(&request).expect("the request is open");
        node.granted.remove(&request);
        self.meter.ended += 1;
    }

    fn tick(&mut self) {
        let now = self.clock_time();
        for entry in 0..self.entries.len() {
            let actions = self.entries[entry].book.tick(now);
            self.perform_book_actions(entry, actions);
        }
        for agent in 0..self.agents.len() {
            let actions = self.agents[agent].table.tick(now);
            self.perform_table_actions(agent, actions);
        }
        self.schedule(TICK_INTERVAL_MS, Event::Tick);
    }

    pub(super) fn clock_time(&self) -> ClockTime {
        ClockTime(self.now)
    }

    pub(super) fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn is_linked(&self, entry: usize, agent: usize, link: (u64, u64)) -> bool {
        link == self.link(entry, agent) && self.is_reachable(entry, agent)
    }

    fn link(&self, entry: usize, agent: usize) -> (u64, u64) {
        let entry = self.entries[entry].incarnation;
        (entry, self.agents[agent].incarnation)
    }

    pub(super) fn delay(&self, entry: usize, agent: usize) -> u64 {
        let is_local = self.entries[entry].region == self.agents[agent].region;
        if is_local {
            LOCAL_DELAY_MS
        } else {
            REMOTE_DELAY_MS
        }
    }

    pub(super) fn control_delay(&self, agent: usize, control: usize) -> u64 {
        let is_local = self.agents[agent].region == self.controls[control].region;
        if is_local {
            LOCAL_DELAY_MS
        } else {
            REMOTE_DELAY_MS
        }
    }

    fn agent_index(&self, name: &NodeName) -> usize {
        let mut names = self.agents.iter().map(|agent| &agent.name);
        names
            .position(|other| other == name)
            .expect("the message names a known agent")
    }

    pub(super) fn new_incarnation(&mut self) -> u64 {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    pub(super) fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % bound
    }
}
