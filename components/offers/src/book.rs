//! Entry side of late binding: waiting requests are offered in waves and each is granted once.
//!
//! The session stream of a link is reliable and ordered, so an offer is lost only with its
//! connection. [`OfferBook::disconnect_agent`] then discards the agent's offers, and they are made
//! again when [`OfferBook::set_agents`] next lists the agent.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use slotmap::SlotMap;
use units::{ClockTime, NodeName, RequestId, ServiceName, SlotCount};
use wire::{EntryMessage, FlowKey, stable_hash};

use crate::actions::{AgentView, BookAction, BookSettings, QueueError, WaitingRequest};
use crate::queue::{QueuedRequest, RequestKey, ServiceQueue};
use crate::ring::AgentId;

/// Time after which an offer may be repeated to an agent that sends `FreeSlots`.
///
/// An agent that sends `FreeSlots` holds no offers. It has therefore dropped any offer that was
/// sent longer ago than the longest message delay.
pub(crate) const MIN_REOFFER_INTERVAL: Duration = Duration::from_secs(1);

/// Lower bound of [`BookSettings::wave_interval`]. With an interval of zero, the next wave would be
/// due at once and [`OfferBook::tick`] would not terminate.
const MIN_WAVE_INTERVAL: Duration = Duration::from_millis(1);

/// Maximum number of flows examined per free slot, and of requests examined per flow, when
/// `FreeSlots` is answered.
const FREE_SLOTS_SCAN_LIMIT: u32 = 4;

/// Connected agent and the requests offered to it.
#[derive(Debug, Clone)]
struct AgentRecord {
    view: AgentView,
    /// Position on the local or the remote ring of its service.
    position: u64,
    offered_requests: BTreeSet<RequestKey>,
}

/// Waiting requests of one entry, and the offers that it has made.
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
    /// Creates a book without agents or requests.
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

    /// Replaces the set of agents that are connected and accept new requests.
    pub fn set_agents(&mut self, agents: Vec<AgentView>, now: ClockTime) -> Vec<BookAction> {
        let names: BTreeSet<NodeName> = agents.iter().map(|agent| agent.name.clone()).collect();
        let disconnected: Vec<NodeName> = self
            .agent_ids
            .keys()
            .filter(|name| !names.contains(*name))
            .cloned()
            .collect();
        let mut actions = Vec::new();
        for name in &disconnected {
            actions.extend(self.remove_agent(name, true, now));
        }
        let mut services_with_new_agents = BTreeSet::new();
        for view in agents {
            if let Some(service) = self.set_agent(view, now, &mut actions) {
                services_with_new_agents.insert(service);
            }
        }
        for service in &services_with_new_agents {
            actions.extend(self.restart_waves(service, now));
        }
        actions
    }

    /// Queues a request and offers it to the first wave of agents.
    ///
    /// # Errors
    ///
    /// The flow has reached its maximum of waiting requests, or the request is already queued.
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
        Ok(self.send_wave(key, now))
    }

    /// Answers a claim. The first claim of an agent that was offered the request is granted; any
    /// other one is answered with a withdrawal.
    pub fn handle_claim(
        &mut self,
        agent: &NodeName,
        request: RequestId,
        _now: ClockTime,
    ) -> Vec<BookAction> {
        let key = self.request_keys.get(&request).copied();
        let id = self.agent_ids.get(agent).copied();
        let (Some(key), Some(id)) = (key, id) else {
            return vec![withdrawal(agent, request)];
        };
        if !self.requests[key].offered_to.contains_key(&id) {
            return vec![withdrawal(agent, request)];
        }
        let mut actions = vec![BookAction::Grant {
            agent: agent.clone(),
            request,
        }];
        actions.extend(self.remove(key, Some(id)));
        actions
    }

    /// Answers `FreeSlots`: offers waiting requests to an agent that has free slots and no offers.
    pub fn handle_free_slots(
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
        let min_wait = if view.is_local {
            Duration::ZERO
        } else {
            self.settings.spill_after
        };
        let mut actions = Vec::new();
        for _ in 0..free.0.saturating_mul(FREE_SLOTS_SCAN_LIMIT) {
            if actions.len() >= free.0 as usize {
                break;
            }
            let Some(key) = self.next_request_for_agent(&service, id, min_wait, now) else {
                continue;
            };
            actions.push(self.offer(key, id, now));
        }
        actions
    }

    /// Removes an agent whose connection is lost, and discards its offers.
    pub fn disconnect_agent(&mut self, agent: &NodeName, now: ClockTime) -> Vec<BookAction> {
        self.remove_agent(agent, false, now)
    }

    /// Removes a request that its caller has abandoned, and withdraws its offers.
    pub fn cancel(&mut self, request: RequestId) -> Vec<BookAction> {
        match self.request_keys.get(&request) {
            Some(&key) => self.remove(key, None),
            None => Vec::new(),
        }
    }

    /// Expires requests past their deadline and sends the waves that are due.
    pub fn tick(&mut self, now: ClockTime) -> Vec<BookAction> {
        let mut actions = Vec::new();
        while let Some(key) = first_due(&self.deadlines, now) {
            let request = self.requests[key].offer.request;
            actions.push(BookAction::Expire { request });
            actions.extend(self.remove(key, None));
        }
        while let Some(key) = first_due(&self.waves, now) {
            actions.extend(self.send_wave(key, now));
        }
        actions
    }

    /// Time of the next wave or deadline; `None` if no request waits.
    pub fn next_tick(&self) -> Option<ClockTime> {
        let wave = self.waves.first().map(|(time, _)| *time);
        let deadline = self.deadlines.first().map(|(time, _)| *time);
        wave.into_iter().chain(deadline).min()
    }

    /// Number of waiting requests of a flow.
    pub fn waiting_count(&self, flow: &FlowKey) -> u32 {
        let queue = self.services.get(&flow.service);
        let flow = queue.and_then(|queue| queue.flows.get(flow));
        flow.map_or(0, |flow| flow.requests.len() as u32)
    }

    /// Whether the request is queued and not yet granted.
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

    /// Adds or updates an agent; returns its service if the agent is new to it.
    fn set_agent(
        &mut self,
        view: AgentView,
        now: ClockTime,
        actions: &mut Vec<BookAction>,
    ) -> Option<ServiceName> {
        if let Some(&id) = self.agent_ids.get(&view.name) {
            let existing = &mut self.agents[id].view;
            if existing.service == view.service && existing.is_local == view.is_local {
                existing.free_slots = view.free_slots;
                return None;
            }
            actions.extend(self.remove_agent(&view.name, true, now));
        }
        let name = view.name.clone();
        let service = view.service.clone();
        let is_local = view.is_local;
        let hash = stable_hash(&[name.as_str().as_bytes()]);
        let id = self.agents.insert(AgentRecord {
            view,
            position: hash,
            offered_requests: BTreeSet::new(),
        });
        self.agent_ids.insert(name, id);
        let queue = self.services.entry(service.clone()).or_default();
        let ring = if is_local {
            &mut queue.local_agents
        } else {
            &mut queue.remote_agents
        };
        self.agents[id].position = ring.insert(hash, id);
        Some(service)
    }

    fn remove_agent(&mut self, name: &NodeName, notify: bool, now: ClockTime) -> Vec<BookAction> {
        let Some(id) = self.agent_ids.remove(name) else {
            return Vec::new();
        };
        let Some(record) = self.agents.remove(id) else {
            return Vec::new();
        };
        let queue = self.services.entry(record.view.service).or_default();
        let ring = if record.view.is_local {
            &mut queue.local_agents
        } else {
            &mut queue.remote_agents
        };
        ring.remove(record.position);
        let mut actions = Vec::new();
        for key in record.offered_requests {
            let request = &mut self.requests[key];
            request.offered_to.remove(&id);
            if notify {
                actions.push(withdrawal(name, request.offer.request));
            }
            if request.offered_to.is_empty() {
                schedule_wave(&mut self.waves, key, request, Some(now));
            }
        }
        actions
    }

    /// Restarts the waves of all requests of a service that has a new agent.
    fn restart_waves(&mut self, service: &ServiceName, now: ClockTime) -> Vec<BookAction> {
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
            request.local_distance = None;
            request.remote_distance = None;
            actions.extend(self.send_wave(key, now));
        }
        actions
    }

    fn insert(&mut self, request: WaitingRequest, now: ClockTime) -> RequestKey {
        let offer = request.offer;
        let id = offer.request;
        let key = self.requests.insert(QueuedRequest {
            offer,
            queued_at: now,
            deadline: request.deadline,
            offered_to: BTreeMap::new(),
            local_distance: None,
            remote_distance: None,
            next_wave_at: None,
        });
        self.request_keys.insert(id, key);
        self.deadlines.insert((request.deadline, key));
        let offer = &self.requests[key].offer;
        let queue = self.services.entry(offer.flow.service.clone()).or_default();
        queue.insert(offer, now, key);
        key
    }

    /// Removes a request and withdraws its offers, except from the agent that it is granted to.
    fn remove(&mut self, key: RequestKey, granted: Option<AgentId>) -> Vec<BookAction> {
        let Some(mut request) = self.requests.remove(key) else {
            return Vec::new();
        };
        let id = request.offer.request;
        self.request_keys.remove(&id);
        self.deadlines.remove(&(request.deadline, key));
        schedule_wave(&mut self.waves, key, &mut request, None);
        let flow = &request.offer.flow;
        let queue = self.services.entry(flow.service.clone()).or_default();
        let mut actions = Vec::new();
        for agent in request.offered_to.keys() {
            let record = &mut self.agents[*agent];
            record.offered_requests.remove(&key);
            if Some(*agent) != granted {
                actions.push(withdrawal(&record.view.name, id));
            }
        }
        queue.remove(flow, request.queued_at, key);
        actions
    }

    /// Offers a request to the next agents on the rings and schedules the following wave.
    fn send_wave(&mut self, key: RequestKey, now: ClockTime) -> Vec<BookAction> {
        let mut agents = Vec::new();
        let request = &mut self.requests[key];
        let service = &request.offer.flow.service;
        let queue = self.services.entry(service.clone()).or_default();
        let spill_time = request.queued_at + self.settings.spill_after;
        let start = request.offer.prefix.0;
        while agents.len() < self.settings.wave_size {
            let agent = if let Some((distance, agent)) =
                queue.local_agents.next(start, request.local_distance)
            {
                request.local_distance = Some(distance);
                agent
            } else if now < spill_time {
                break;
            } else if let Some((distance, agent)) =
                queue.remote_agents.next(start, request.remote_distance)
            {
                request.remote_distance = Some(distance);
                agent
            } else {
                break;
            };
            if !request.offered_to.contains_key(&agent) {
                agents.push(agent);
            }
        }
        let earliest_wave = now + self.settings.wave_interval.max(MIN_WAVE_INTERVAL);
        let next_wave_at = if queue
            .local_agents
            .next(start, request.local_distance)
            .is_some()
        {
            Some(earliest_wave)
        } else if queue
            .remote_agents
            .next(start, request.remote_distance)
            .is_some()
        {
            Some(spill_time.max(earliest_wave))
        } else {
            None
        };
        schedule_wave(&mut self.waves, key, request, next_wave_at);
        agents
            .into_iter()
            .map(|agent| self.offer(key, agent, now))
            .collect()
    }

    /// Request of the next flow in turn that may be offered to the agent; `None` if the flow has
    /// none.
    fn next_request_for_agent(
        &mut self,
        service: &ServiceName,
        agent: AgentId,
        min_wait: Duration,
        now: ClockTime,
    ) -> Option<RequestKey> {
        let (_, flow) = self.services.get_mut(service)?.next_flow()?;
        flow.requests
            .iter()
            .take(FREE_SLOTS_SCAN_LIMIT as usize)
            .filter(|(queued_at, _)| now.since(*queued_at) >= min_wait)
            .map(|(_, key)| *key)
            .find(|key| match self.requests[*key].offered_to.get(&agent) {
                Some(sent) => now.since(*sent) >= MIN_REOFFER_INTERVAL,
                None => true,
            })
    }

    fn offer(&mut self, key: RequestKey, agent: AgentId, now: ClockTime) -> BookAction {
        let request = &mut self.requests[key];
        let record = &mut self.agents[agent];
        request.offered_to.insert(agent, now);
        record.offered_requests.insert(key);
        let mut offer = request.offer.clone();
        offer.waited_ms += now.since(request.queued_at).as_millis() as u64;
        BookAction::Send {
            agent: record.view.name.clone(),
            message: EntryMessage::Offer(offer),
        }
    }
}

fn withdrawal(agent: &NodeName, request: RequestId) -> BookAction {
    BookAction::Send {
        agent: agent.clone(),
        message: EntryMessage::Withdraw(request),
    }
}

fn first_due(times: &BTreeSet<(ClockTime, RequestKey)>, now: ClockTime) -> Option<RequestKey> {
    let (time, key) = times.first()?;
    (*time <= now).then_some(*key)
}

fn schedule_wave(
    waves: &mut BTreeSet<(ClockTime, RequestKey)>,
    key: RequestKey,
    request: &mut QueuedRequest,
    next_wave_at: Option<ClockTime>,
) {
    if let Some(time) = request.next_wave_at.take() {
        waves.remove(&(time, key));
    }
    if let Some(time) = next_wave_at {
        waves.insert((time, key));
    }
    request.next_wave_at = next_wave_at;
}
