//! State of an entry, and the settings and handles that its tasks share.

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
use quarantine::CrashLog;
use tokio::sync::{mpsc, oneshot};
use units::{ClockSource, ClockTime, Incarnation, NodeName, RequestId, ServiceName};
use wire::{DirectoryEntry, EntryMessage, NodeKind, NodeState};

use crate::links::LinkHandle;
use crate::lost_agents::LostAgents;
use crate::recorder::CallRecorder;
use crate::settings::EntrySettings;

/// Time for which an agent receives no offers after a connection to it could not be opened.
const FAILED_AGENT_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which a request waits for a service without a live target. An announcement expires
/// after 2 s, and a target that restarts may take another 3 s.
const NO_TARGET_TIMEOUT: Duration = Duration::from_secs(5);

/// Event that ends the wait of a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WaitEvent {
    /// The agent has reserved a slot for the request.
    Granted(NodeName),
    /// The deadline of the request has passed.
    Expired,
    /// The service has had no live target for [`NO_TARGET_TIMEOUT`].
    NoTarget,
}

/// Caller of a queued request, which receives the [`WaitEvent`] that ends the wait.
pub(crate) struct WaitingCaller {
    service: ServiceName,
    sender: oneshot::Sender<WaitEvent>,
    /// Time since which the service has had no live target; `None` if it has one.
    targetless_since: Option<ClockTime>,
}

impl WaitingCaller {
    pub(crate) fn new(service: ServiceName, sender: oneshot::Sender<WaitEvent>) -> Self {
        Self {
            service,
            sender,
            targetless_since: None,
        }
    }

    /// Updates the time without a live target and returns whether it exceeds the limit.
    fn has_exceeded_target_timeout(
        &mut self,
        served: &HashSet<ServiceName>,
        now: ClockTime,
    ) -> bool {
        if served.contains(&self.service) {
            self.targetless_since = None;
            return false;
        }
        let lost_at = *self.targetless_since.get_or_insert(now);
        now.since(lost_at) >= NO_TARGET_TIMEOUT
    }
}

/// State of an entry, kept on its [`StateBoard`].
pub(crate) struct EntryState {
    pub(crate) book: OfferBook,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) waiting_callers: HashMap<RequestId, WaitingCaller>,
    pub(crate) links: HashMap<NodeName, LinkHandle>,
    /// Links that [`open_links`](crate::links::open_links) must open, and their message queues.
    pub(crate) links_to_open: Vec<(NodeName, mpsc::Receiver<EntryMessage>)>,
    /// Agents to which a connection could not be opened, and the time until which they receive no
    /// offers.
    pub(crate) failed_agents: HashMap<NodeName, ClockTime>,
    /// Agents that announced on their session that they are leaving.
    pub(crate) leaving_agents: HashSet<(NodeName, Incarnation)>,
    /// Agents that calls depend on and that the directory does not list.
    pub(crate) lost_agents: LostAgents,
    /// Requests that were at targets when these crashed.
    pub(crate) crashes: CrashLog,
    pub(crate) open_requests: usize,
    pub(crate) is_leaving: bool,
}

impl EntryState {
    pub(crate) fn new(settings: &EntrySettings) -> Self {
        let book_settings = BookSettings {
            wave_size: settings.limits.wave_size,
            spill_after: settings.limits.spill_after,
            ..BookSettings::default()
        };
        Self {
            book: OfferBook::new(book_settings),
            retry_budget: RetryBudget::new(),
            waiting_callers: HashMap::new(),
            links: HashMap::new(),
            links_to_open: Vec::new(),
            failed_agents: HashMap::new(),
            leaving_agents: HashSet::new(),
            lost_agents: LostAgents::default(),
            crashes: CrashLog::new(),
            open_requests: 0,
            is_leaving: false,
        }
    }

    /// Carries out the actions that the offer book returned.
    pub(crate) fn perform_actions(&mut self, actions: Vec<BookAction>) {
        for action in actions {
            match action {
                BookAction::Send { agent, message } => self.send_message(&agent, message),
                BookAction::Grant { agent, request } => self.grant(agent, request),
                BookAction::Expire { request } => {
                    if let Some(caller) = self.waiting_callers.remove(&request) {
                        let _ = caller.sender.send(WaitEvent::Expired);
                    }
                }
            }
        }
    }

    /// Refuses the waiting requests whose service has had no live target for [`NO_TARGET_TIMEOUT`].
    pub(crate) fn refuse_without_target(&mut self, served: &HashSet<ServiceName>, now: ClockTime) {
        let timed_out = self
            .waiting_callers
            .extract_if(|_, caller| caller.has_exceeded_target_timeout(served, now));
        for (_, caller) in timed_out {
            let _ = caller.sender.send(WaitEvent::NoTarget);
        }
    }

    /// Discards the offers to an agent whose connection is lost or cannot be opened.
    pub(crate) fn disconnect_agent(&mut self, agent: &NodeName, now: ClockTime) {
        let actions = self.book.disconnect_agent(agent, now);
        self.perform_actions(actions);
    }

    /// Stops offers to an agent for [`FAILED_AGENT_BACKOFF`].
    pub(crate) fn suspend_agent(&mut self, agent: &NodeName, now: ClockTime) {
        self.failed_agents
            .insert(agent.clone(), now + FAILED_AGENT_BACKOFF);
        self.disconnect_agent(agent, now);
    }

    /// Queues a message to an agent and requests a link if there is none.
    pub(crate) fn send_message(&mut self, agent: &NodeName, message: EntryMessage) {
        let link = self.links.entry(agent.clone()).or_insert_with(|| {
            let (link, messages) = LinkHandle::new();
            self.links_to_open.push((agent.clone(), messages));
            link
        });
        link.send_message(message);
    }

    fn grant(&mut self, agent: NodeName, request: RequestId) {
        let caller = self.waiting_callers.remove(&request);
        let event = WaitEvent::Granted(agent.clone());
        let is_delivered = caller.is_some_and(|caller| caller.sender.send(event).is_ok());
        if !is_delivered {
            self.send_message(&agent, EntryMessage::Withdraw(request));
        }
    }
}

/// Settings, state and handles that the tasks of an entry share. Clones refer to the same entry.
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

    /// Address of an agent according to the directory.
    pub(crate) fn agent_address(&self, agent: &NodeName) -> Option<SocketAddr> {
        self.view
            .read(|view| view.directory.get(agent).map(|node| node.address))
    }

    /// Whether the lease and the configuration allow the entry to accept new requests.
    pub(crate) fn has_permission(&self) -> bool {
        let now = self.now();
        self.view.read(|view| {
            let out_data_centres = &view.config.out_data_centres;
            view.has_lease(now) && !out_data_centres.contains(&self.settings.data_centre)
        })
    }

    /// Current directory entry of the entry.
    pub(crate) fn directory_entry(&self) -> DirectoryEntry {
        let is_leaving = self.board.read(|state| state.is_leaving);
        DirectoryEntry {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            address: self.endpoint.address(),
            data_centre: self.settings.data_centre.clone(),
            state: if is_leaving {
                NodeState::Leaving
            } else {
                NodeState::Serving
            },
            config: self.view.read(|view| view.config.version),
            kind: NodeKind::Entry,
        }
    }
}
