//! Entry side of late binding: waiting requests, offered in waves and granted once.
//!
//! The session stream of a link is reliable and ordered, so an offer is lost only with its
//! connection: [`OfferBook::disconnect_agent`] forgets the offers, and the agent is offered them again
//! when [`OfferBook::set_agents`] lists it again.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use slotmap::SlotMap;
use units::{ClockTime, NodeName, RequestId, ServiceName, SlotCount};
use wire::{EntryMessage, FlowKey, stable_hash};

use crate::actions::{AgentView, BookAction, BookSettings, QueueError, WaitingRequest};
use crate::queue::{QueuedRequest, RequestKey, ServiceQueue};
use crate::ring::AgentId;

/// Time after which `Room` from an agent repeats an offer that it was sent before.
///
/// An agent that says `Room` holds no offers: it has dropped those that it was sent longer ago than
/// any message takes.
const REOFFER_SPAN: Duration = Duration::from_secs(1);

/// Shortest time between two waves; a wave at the time of the one before would never end a tick.
const LEAST_WAVE_INTERVAL: Duration = Duration::from_millis(1);

/// Requests that are looked at for each free slot in answer to `Room`.
const ROOM_LOOKS: u32 = 4;

/// Known agent.
#[derive(Debug, Clone)]
struct AgentRecord {
    view: AgentView,
    /// Place on the ring of its service and locality.
    place: u64,
    offered: BTreeSet<RequestKey>,
}

/// Waiting requests of one entry.
#[derive(Debug, Clone)]
pub struct OfferBook {
    settings: BookSettings,
    agents: SlotMap<AgentId, AgentRecord>,
    agent_ids: BTreeMap<NodeName, AgentId>,
    services: BTreeMap<ServiceName, ServiceQueue>,
    requests: SlotMap<RequestKey, QueuedRequest>,
    request_keys: HashMap<RequestId, RequestKey>,
    waves: BTreeSet<(ClockTime, RequestKey)>,
    deadlines: BTreeSet<(ClockTime, RequestKey)>,
}

impl OfferBook {
    /// Creates a book without agents and requests.
    pub fn new(settings: BookSettings) -> Self {
        Self {
            settings,
            agents: SlotMap::with_key(),
            agent_ids: BTreeMap::new(),
            services: BTreeMap::new(),
            requests: SlotMap::with_key(),
            request_keys: HashMap::new(),
            waves: BTreeSet::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Sets the agents that are connected and take new work.
    pub fn set_agents(&mut self, agents: Vec<AgentView>, now: ClockTime) -> Vec<BookAction> {
        let names: BTreeSet<NodeName> = agents.iter().map(|agent| agent.name.clone()).collect();
        let gone: Vec<NodeName> = self
            .agent_ids
            .keys()
            .filter(|name| !names.contains(*name))
            .cloned()
            .collect();
        let mut actions = Vec::new();
        for name in &gone {
            actions.extend(self.agent_gone(name, true, now));
        }
        let mut grown = BTreeSet::new();
        for view in agents {
            if let Some(service) = self.set_agent(view, now, &mut actions) {
                grown.insert(service);
            }
        }
        for service in &grown {
            actions.extend(self.offer_again(service, now));
        }
        actions
    }

    /// Queues a request and offers it to the first wave of agents.
    ///
    /// # Errors
    ///
    /// The flow has too many waiting requests, or the request waits already.
    pub fn enqueue(
        &mut self,
        request: WaitingRequest,
        now: ClockTime,
    ) -> Result<Vec<BookAction>, QueueError> {
        let id = request.offer.request;
        if self.request_keys.contains_key(&id) {
            return Err(QueueError::Duplicate(id));
        }
        let waiting = self.waiting_count(&request.offer.flow);
        if waiting >= request.max_waiting {
            return Err(QueueError::Full {
                waiting,
                max: request.max_waiting,
            });
        }
        let key = self.insert(request, now);
        Ok(self.wave(key, now))
    }

    /// Answers a claim: the first one is granted, any other one is void.
    pub fn handle_claim(
        &mut self,
        agent: &NodeName,
        request: RequestId,
        _now: ClockTime,
    ) -> Vec<BookAction> {
        let key = self.request_keys.get(&request).copied();
        let id = self.agent_ids.get(agent).copied();
        let (Some(key), Some(id)) = (key, id) else {
            return vec![withdraw(agent, request)];
        };
        if !self.requests[key].offered.contains_key(&id) {
            return vec![withdraw(agent, request)];
        }
        let mut actions = vec![BookAction::Grant {
            agent: agent.clone(),
            request,
        }];
        actions.extend(self.remove(key, Some(id)));
        actions
    }

    /// Offers waiting requests to an agent that has free slots and no offers.
    pub fn handle_room(
        &mut self,
        agent: &NodeName,
        free: SlotCount,
        now: ClockTime,
    ) -> Vec<BookAction> {
        let Some(&id) = self.agent_ids.get(agent) else {
            return Vec::new();
        };
        let view = &mut self.agents[id].view;
        view.free_slots = free;
        let service = view.service.clone();
        let spill = if view.is_local {
            Duration::ZERO
        } else {
            self.settings.spill_after
        };
        let mut actions = Vec::new();
        for _ in 0..free.0.saturating_mul(ROOM_LOOKS) {
            if actions.len() >= free.0 as usize {
                break;
            }
            let Some(key) = self.room_request(&service, id, spill, now) else {
                continue;
            };
            actions.push(self.offer(key, id, now));
        }
        actions
    }

    /// Forgets an agent whose connection is lost, and its offers.
    pub fn disconnect_agent(&mut self, agent: &NodeName, now: ClockTime) -> Vec<BookAction> {
        self.agent_gone(agent, false, now)
    }

    /// Takes back a request that nobody waits for any more.
    pub fn cancel(&mut self, request: RequestId) -> Vec<BookAction> {
        match self.request_keys.get(&request) {
            Some(&key) => self.remove(key, None),
            None => Vec::new(),
        }
    }

    /// Expires requests and sends the waves that are due.
    pub fn tick(&mut self, now: ClockTime) -> Vec<BookAction> {
        let mut actions = Vec::new();
        while let Some(key) = due(&self.deadlines, now) {
            let request = self.requests[key].offer.request;
            actions.push(BookAction::Expire { request });
            actions.extend(self.remove(key, None));
        }
        while let Some(key) = due(&self.waves, now) {
            actions.extend(self.wave(key, now));
        }
        actions
    }

    /// Time of the next wave or deadline, none if nothing waits for it.
    pub fn next_tick(&self) -> Option<ClockTime> {
        let wave = self.waves.first().map(|(time, _)| *time);
        let deadline = self.deadlines.first().map(|(time, _)| *time);
        wave.into_iter().chain(deadline).min()
    }

    /// Waiting requests of a flow.
    pub fn waiting_count(&self, flow: &FlowKey) -> u32 {
        let queue = self.services.get(&flow.service);
        let flow = queue.and_then(|queue| queue.flows.get(flow));
        flow.map_or(0, |flow| flow.requests.len() as u32)
    }

    /// Whether the request waits.
    pub fn is_waiting(&self, request: RequestId) -> bool {
        self.request_keys.contains_key(&request)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds or updates an agent; returns its service if it is new.
    fn set_agent(
        &mut self,
        view: AgentView,
        now: ClockTime,
        actions: &mut Vec<BookAction>,
    ) -> Option<ServiceName> {
        if let Some(&id) = self.agent_ids.get(&view.name) {
            let known = &mut self.agents[id].view;
            if known.service == view.service && known.is_local == view.is_local {
                known.free_slots = view.free_slots;
                return None;
            }
            actions.extend(self.agent_gone(&view.name, true, now));
        }
        let name = view.name.clone();
        let service = view.service.clone();
        let local = view.is_local;
        let hash = stable_hash(&[name.as_str().as_bytes()]);
        let id = self.agents.insert(AgentRecord {
            view,
            place: hash,
            offered: BTreeSet::new(),
        });
        self.agent_ids.insert(name, id);
        let queue = self.services.entry(service.clone()).or_default();
        let ring = if local {
            &mut queue.local
        } else {
            &mut queue.remote
        };
        self.agents[id].place = ring.insert(hash, id);
        Some(service)
    }

    fn agent_gone(&mut self, name: &NodeName, tell: bool, now: ClockTime) -> Vec<BookAction> {
        let Some(id) = self.agent_ids.remove(name) else {
            return Vec::new();
        };
        let Some(record) = self.agents.remove(id) else {
            return Vec::new();
        };
        let queue = self.services.entry(record.view.service).or_default();
        let ring = if record.view.is_local {
            &mut queue.local
        } else {
            &mut queue.remote
        };
        ring.remove(record.place);
        let mut actions = Vec::new();
        for key in record.offered {
            let request = &mut self.requests[key];
            request.offered.remove(&id);
            if tell {
                actions.push(withdraw(name, request.offer.request));
            }
            if request.offered.is_empty() {
                set_wave(&mut self.waves, key, request, Some(now));
            }
        }
        actions
    }

    /// Walks the rings again for all requests of a service that has a new agent.
    fn offer_again(&mut self, service: &ServiceName, now: ClockTime) -> Vec<BookAction> {
        let Some(queue) = self.services.get(service) else {
            return Vec::new();
        };
        let flows = queue.flows.values();
        let keys: Vec<RequestKey> = flows
            .flat_map(|flow| flow.requests.iter().map(|(_, key)| *key))
            .collect();
        let mut actions = Vec::new();
        for key in keys {
            let request = &mut self.requests[key];
            request.local = None;
            request.remote = None;
            actions.extend(self.wave(key, now));
        }
        actions
    }

    fn insert(&mut self, request: WaitingRequest, now: ClockTime) -> RequestKey {
        let offer = request.offer;
        let id = offer.request;
        let key = self.requests.insert(QueuedRequest {
            offer,
            queued: now,
            deadline: request.deadline,
            offered: BTreeMap::new(),
            local: None,
            remote: None,
            next_wave: None,
        });
        self.request_keys.insert(id, key);
        self.deadlines.insert((request.deadline, key));
        let offer = &self.requests[key].offer;
        let queue = self.services.entry(offer.flow.service.clone()).or_default();
        queue.insert(offer, now, key);
        key
    }

    /// Removes a request and withdraws its offers, but from the agent that is granted it.
    fn remove(&mut self, key: RequestKey, granted: Option<AgentId>) -> Vec<BookAction> {
        let Some(mut request) = self.requests.remove(key) else {
            return Vec::new();
        };
        let id = request.offer.request;
        self.request_keys.remove(&id);
        self.deadlines.remove(&(request.deadline, key));
        set_wave(&mut self.waves, key, &mut request, None);
        let flow = &request.offer.flow;
        let queue = self.services.entry(flow.service.clone()).or_default();
        let mut actions = Vec::new();
        for agent in request.offered.keys() {
            let record = &mut self.agents[*agent];
            record.offered.remove(&key);
            if Some(*agent) != granted {
                actions.push(withdraw(&record.view.name, id));
            }
        }
        queue.remove(flow, request.queued, key);
        actions
    }

    /// Offers a request to the next agents and sets the time of the wave after.
    fn wave(&mut self, key: RequestKey, now: ClockTime) -> Vec<BookAction> {
        let mut agents = Vec::new();
        let request = &mut self.requests[key];
        let service = &request.offer.flow.service;
        let queue = self.services.entry(service.clone()).or_default();
        let spill_time = request.queued + self.settings.spill_after;
        let start = request.offer.prefix.0;
        while agents.len() < self.settings.wave_size {
            let agent = if let Some((distance, agent)) = queue.local.next(start, request.local) {
                request.local = Some(distance);
                agent
            } else if now < spill_time {
                break;
            } else if let Some((distance, agent)) = queue.remote.next(start, request.remote) {
                request.remote = Some(distance);
                agent
            } else {
                break;
            };
            if !request.offered.contains_key(&agent) {
                agents.push(agent);
            }
        }
        let next_wave = now + self.settings.wave_interval.max(LEAST_WAVE_INTERVAL);
        let next = if queue.local.next(start, request.local).is_some() {
            Some(next_wave)
        } else if queue.remote.next(start, request.remote).is_some() {
            Some(spill_time.max(next_wave))
        } else {
            None
        };
        set_wave(&mut self.waves, key, request, next);
        agents
            .into_iter()
            .map(|agent| self.offer(key, agent, now))
            .collect()
    }

    /// Next request for an agent with room, none if the flow whose turn it is has no such request.
    fn room_request(
        &mut self,
        service: &ServiceName,
        agent: AgentId,
        spill: Duration,
        now: ClockTime,
    ) -> Option<RequestKey> {
        let (_, flow) = self.services.get_mut(service)?.rotate()?;
        flow.requests
            .iter()
            .take(ROOM_LOOKS as usize)
            .filter(|(queued, _)| now.since(*queued) >= spill)
            .map(|(_, key)| *key)
            .find(|key| match self.requests[*key].offered.get(&agent) {
                Some(sent) => now.since(*sent) >= REOFFER_SPAN,
                None => true,
            })
    }

    fn offer(&mut self, key: RequestKey, agent: AgentId, now: ClockTime) -> BookAction {
        let request = &mut self.requests[key];
        let record = &mut self.agents[agent];
        request.offered.insert(agent, now);
        record.offered.insert(key);
        let mut offer = request.offer.clone();
        offer.waited_ms += now.since(request.queued).as_millis() as u64;
        BookAction::Send {
            agent: record.view.name.clone(),
            message: EntryMessage::Offer(offer),
        }
    }
}

fn withdraw(agent: &NodeName, request: RequestId) -> BookAction {
    BookAction::Send {
        agent: agent.clone(),
        message: EntryMessage::Withdraw(request),
    }
}

fn due(times: &BTreeSet<(ClockTime, RequestKey)>, now: ClockTime) -> Option<RequestKey> {
    let (time, key) = times.first()?;
    (*time <= now).then_some(*key)
}

fn set_wave(
    waves: &mut BTreeSet<(ClockTime, RequestKey)>,
    key: RequestKey,
    request: &mut QueuedRequest,
    next: Option<ClockTime>,
) {
    if let Some(time) = request.next_wave.take() {
        waves.remove(&(time, key));
    }
    if let Some(time) = next {
        waves.insert((time, key));
    }
    request.next_wave = next;
}
