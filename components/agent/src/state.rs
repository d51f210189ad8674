//! State of the agent, and what its controllers share.

use std::collections::HashMap;
use std::sync::Arc;

use board::StateBoard;
use cadence::StatsdClient;
use client::FleetView;
use limits::TargetLimit;
use offers::{OfferTable, TableAction};
use tokio::sync::mpsc;
use units::{ClockSource, ClockTime, Incarnation, NodeName, RequestId, ServiceName, SlotCount};
use wire::{AgentMessage, DirectoryEntry, NodeKind, NodeState, TargetState};

use crate::run::AgentRun;
use crate::seen::SeenRequests;
use crate::settings::AgentSettings;
use crate::target::TargetClient;

/// Session with one entry.
#[derive(Debug)]
pub(crate) struct SessionHandle {
    /// Tells this session from an earlier one with the same entry.
    pub(crate) generation: u64,
    pub(crate) sender: mpsc::Sender<AgentMessage>,
}

/// State on the agent's board.
pub(crate) struct AgentState {
    pub(crate) service: ServiceName,
    pub(crate) table: OfferTable,
    pub(crate) limit: TargetLimit,
    pub(crate) seen: SeenRequests,
    pub(crate) runs: HashMap<RequestId, AgentRun>,
    pub(crate) running: u32,
    pub(crate) sessions: HashMap<NodeName, SessionHandle>,
    pub(crate) generations: u64,
    pub(crate) healthy: bool,
    /// Whether the target was lost since the last probe.
    pub(crate) suspect: bool,
    pub(crate) leaving: bool,
    /// Whether a leaving agent refuses starts of earlier claims too.
    pub(crate) closed: bool,
    /// Run streams of entries.
    pub(crate) open_streams: usize,
    serving: bool,
}

impl AgentState {
    pub(crate) fn new(settings: &AgentSettings) -> Self {
        let limit = TargetLimit::new(settings.cold_limit, settings.most_slots);
        Self {
            service: settings.service.clone(),
            table: OfferTable::new(settings.service.clone(), limit.limit()),
            limit,
            seen: SeenRequests::default(),
            runs: HashMap::new(),
            running: 0,
            sessions: HashMap::new(),
            generations: 0,
            healthy: false,
            suspect: false,
            leaving: false,
            closed: false,
            open_streams: 0,
            serving: false,
        }
    }

    /// Lets the offer table claim only while the agent is permitted to and able to take new work.
    pub(crate) fn decide_serving(&mut self, permitted: bool, now: ClockTime) {
        let serving = permitted && self.healthy && !self.leaving;
        if serving != self.serving {
            self.serving = serving;
            let actions = self.table.set_serving(serving, now);
            self.perform(actions);
        }
    }

    /// Takes no new work after the loss of the target until a probe finds it.
    pub(crate) fn suspect_target(&mut self, now: ClockTime) {
        self.healthy = false;
        self.suspect = true;
        self.decide_serving(false, now);
    }

    /// Sends what the offer table asks for. A message to a session that is gone or too slow is
    /// dropped: the claim ends by itself after its time.
    pub(crate) fn perform(&mut self, actions: Vec<TableAction>) {
        for action in actions {
            match action {
                TableAction::Claim { entry, request } => {
                    self.send(&entry, AgentMessage::Claim(request));
                }
                TableAction::FreeSlots { entry, free } => {
                    let service = self.service.clone();
                    self.send(&entry, AgentMessage::FreeSlots { service, free });
                }
            }
        }
    }

    pub(crate) fn broadcast(&self, message: &AgentMessage) {
        for session in self.sessions.values() {
            let _ = session.sender.try_send(message.clone());
        }
    }

    /// Puts the present concurrency limit in force.
    pub(crate) fn apply_limit(&mut self, now: ClockTime) {
        let actions = self.table.set_limit(self.limit.limit(), now);
        self.perform(actions);
    }

    fn send(&self, entry: &NodeName, message: AgentMessage) {
        if let Some(session) = self.sessions.get(entry) {
            let _ = session.sender.try_send(message);
        }
    }
}

/// What the controllers of an agent share.
#[derive(Clone)]
pub(crate) struct AgentShared {
    pub(crate) settings: Arc<AgentSettings>,
    pub(crate) incarnation: Incarnation,
    pub(crate) board: StateBoard<AgentState>,
    pub(crate) view: StateBoard<FleetView>,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) target: Arc<dyn TargetClient>,
    pub(crate) metrics: Arc<StatsdClient>,
}

impl AgentShared {
    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Whether the lease, the configuration and a planned stop allow new work.
    pub(crate) fn has_permission(&self) -> bool {
        if self.board.read(|state| state.closed) {
            return false;
        }
        let now = self.now();
        self.view.read(|view| {
            view.has_lease(now)
                && !view
                    .config
                    .out_data_centres
                    .contains(&self.settings.data_centre)
                && !view.config.out_targets.contains(&self.settings.target)
        })
    }

    /// The agent as it stands in the directory.
    pub(crate) fn directory_entry(&self, address: std::net::SocketAddr) -> DirectoryEntry {
        let config = self.view.read(|view| view.config.version);
        let (state, target) = self.board.read(|state| {
            let node = if state.leaving {
                NodeState::Leaving
            } else {
                NodeState::Serving
            };
            let target = TargetState {
                target: self.settings.target.clone(),
                service: self.settings.service.clone(),
                limit: state.limit.limit(),
                running: SlotCount(state.running),
                cold: state.limit.is_cold(),
                healthy: state.healthy,
            };
            (node, target)
        });
        DirectoryEntry {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            address,
            data_centre: self.settings.data_centre.clone(),
            state,
            config,
            kind: NodeKind::Agent(target),
        }
    }
}
