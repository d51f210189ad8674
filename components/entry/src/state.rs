//! State of the entry, and what its controllers share.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use board::StateBoard;
use cadence::StatsdClient;
use client::FleetView;
use limits::RetryBudget;
use link::LinkEndpoint;
use offers::{BookAction, BookSettings, OfferBook};
use tokio::sync::{mpsc, oneshot};
use units::{ClockSource, ClockTime, Incarnation, NodeName, RequestId, ServiceName};
use wire::{DirectoryEntry, EntryMessage, NodeKind, NodeState};

use crate::links::LinkHandle;
use crate::lost_agents::LostAgents;
use crate::recorder::CallRecorder;
use crate::settings::EntrySettings;

/// Time for which an agent is not offered anything after its connection failed.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a request waits for a service without a live target: an announcement expires
/// after 2 s, and a target that restarts may take 3 s more.
const TARGETLESS_TIME: Duration = Duration::from_secs(5);

/// What a waiting request is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WaitEvent {
    /// This agent has reserved a slot.
    Granted(NodeName),
    /// The deadline has passed.
    Expired,
    /// The service has had no live target for [`TARGETLESS_TIME`].
    NoTarget,
}

/// A request that waits for a slot.
pub(crate) struct WaitingCaller {
    service: ServiceName,
    sender: oneshot::Sender<WaitEvent>,
    /// Since when the service has had no live target.
    targetless: Option<ClockTime>,
}

impl WaitingCaller {
    pub(crate) fn new(service: ServiceName, sender: oneshot::Sender<WaitEvent>) -> Self {
        Self {
            service,
            sender,
            targetless: None,
        }
    }

    /// Whether the service has had no live target for too long.
    fn is_targetless(&mut self, served: &HashSet<ServiceName>, now: ClockTime) -> bool {
        if served.contains(&self.service) {
            self.targetless = None;
            return false;
        }
        let since = *self.targetless.get_or_insert(now);
        now.since(since) >= TARGETLESS_TIME
    }
}

/// State on the entry's board.
pub(crate) struct EntryState {
    pub(crate) book: OfferBook,
    pub(crate) retries: RetryBudget,
    pub(crate) waiting: HashMap<RequestId, WaitingCaller>,
    pub(crate) links: HashMap<NodeName, LinkHandle>,
    /// Links that the link controller has to open.
    pub(crate) to_open: Vec<(NodeName, mpsc::Receiver<EntryMessage>)>,
    /// Agents whose connection failed, and until when they are passed over.
    pub(crate) failed: HashMap<NodeName, ClockTime>,
    /// Agents that announced on their session that they leave.
    pub(crate) leaving_agents: HashSet<(NodeName, Incarnation)>,
    /// Missing agents that calls wait for.
    pub(crate) lost_agents: LostAgents,
    pub(crate) open_requests: usize,
    pub(crate) leaving: bool,
}

impl EntryState {
    pub(crate) fn new(settings: &EntrySettings) -> Self {
        let book = BookSettings {
            wave_size: settings.limits.wave_size,
            spill_after: settings.limits.spill_after,
            ..BookSettings::default()
        };
        Self {
            book: OfferBook::new(book),
            retries: RetryBudget::new(),
            waiting: HashMap::new(),
            links: HashMap::new(),
            to_open: Vec::new(),
            failed: HashMap::new(),
            leaving_agents: HashSet::new(),
            lost_agents: LostAgents::default(),
            open_requests: 0,
            leaving: false,
        }
    }

    /// Does what the offer book asks for.
    pub(crate) fn perform(&mut self, actions: Vec<BookAction>) {
        for action in actions {
            match action {
                BookAction::Send { agent, message } => self.send(&agent, message),
                BookAction::Grant { agent, request } => self.grant(agent, request),
                BookAction::Expire { request } => {
                    if let Some(waiter) = self.waiting.remove(&request) {
                        let _ = waiter.sender.send(WaitEvent::Expired);
                    }
                }
            }
        }
    }

    /// Refuses requests that have waited too long for a service without a live target.
    pub(crate) fn refuse_targetless(&mut self, served: &HashSet<ServiceName>, now: ClockTime) {
        let refused = self
            .waiting
            .extract_if(|_, caller| caller.is_targetless(served, now));
        for (_, caller) in refused {
            let _ = caller.sender.send(WaitEvent::NoTarget);
        }
    }

    /// Forgets an agent whose connection is lost or cannot be opened.
    pub(crate) fn agent_lost(&mut self, agent: &NodeName, now: ClockTime) {
        let actions = self.book.disconnect_agent(agent, now);
        self.perform(actions);
    }

    /// Passes an agent over for a while.
    pub(crate) fn agent_failed(&mut self, agent: &NodeName, now: ClockTime) {
        self.failed.insert(agent.clone(), now + FAILURE_PAUSE);
        self.agent_lost(agent, now);
    }

    /// Sends to an agent, and has a link opened if there is none.
    pub(crate) fn send(&mut self, agent: &NodeName, message: EntryMessage) {
        let link = self.links.entry(agent.clone()).or_insert_with(|| {
            let (link, messages) = LinkHandle::new();
            self.to_open.push((agent.clone(), messages));
            link
        });
        link.send(message);
    }

    fn grant(&mut self, agent: NodeName, request: RequestId) {
        let waiter = self.waiting.remove(&request);
        let event = WaitEvent::Granted(agent.clone());
        let taken = waiter.is_some_and(|waiter| waiter.sender.send(event).is_ok());
        if !taken {
            self.send(&agent, EntryMessage::Withdraw(request));
        }
    }
}

/// What the controllers of an entry share.
#[derive(Clone)]
pub(crate) struct EntryShared {
    pub(crate) settings: Arc<EntrySettings>,
    pub(crate) incarnation: Incarnation,
    pub(crate) board: StateBoard<EntryState>,
    pub(crate) view: StateBoard<FleetView>,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) endpoint: LinkEndpoint,
    pub(crate) recorder: Arc<dyn CallRecorder>,
    pub(crate) metrics: Arc<StatsdClient>,
}

impl EntryShared {
    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Address of an agent in the directory.
    pub(crate) fn agent_address(&self, agent: &NodeName) -> Option<SocketAddr> {
        self.view
            .read(|view| view.directory.get(agent).map(|node| node.address))
    }

    /// Whether the lease and the configuration allow new work.
    pub(crate) fn has_permission(&self) -> bool {
        let now = self.now();
        self.view.read(|view| {
            let out = &view.config.out_data_centres;
            view.has_lease(now) && !out.contains(&self.settings.data_centre)
        })
    }

    /// The entry as it stands in the directory.
    pub(crate) fn directory_entry(&self) -> DirectoryEntry {
        let leaving = self.board.read(|state| state.leaving);
        DirectoryEntry {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            address: self.endpoint.address(),
            data_centre: self.settings.data_centre.clone(),
            state: if leaving {
                NodeState::Leaving
            } else {
                NodeState::Serving
            },
            config: self.view.read(|view| view.config.version),
            kind: NodeKind::Entry,
        }
    }
}
