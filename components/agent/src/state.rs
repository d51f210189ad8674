//! State of an agent, and the settings and handles that its tasks share.

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
    /// Distinguishes this session from an earlier one with the same entry.
    pub(crate) generation: u64,
    pub(crate) sender: mpsc::Sender<AgentMessage>,
}

/// State of an agent, kept on its [`StateBoard`].
pub(crate) struct AgentState {
    pub(crate) service: ServiceName,
    pub(crate) table: OfferTable,
    pub(crate) limit: TargetLimit,
    pub(crate) seen: SeenRequests,
    pub(crate) runs: HashMap<RequestId, AgentRun>,
    /// Runs that are being forwarded to the target.
    pub(crate) running_count: u32,
    pub(crate) sessions: HashMap<NodeName, SessionHandle>,
    /// Generation of the last session that was registered.
    pub(crate) last_generation: u64,
    /// Whether the target accepted a connection at the last probe and was not lost since.
    pub(crate) is_healthy: bool,
    /// Incarnation of the target's process. A new one begins when the target returns after it was
    /// lost.
    pub(crate) target_incarnation: Incarnation,
    /// Whether the target was lost since the last probe, so that the next one is due immediately.
    pub(crate) is_probe_requested: bool,
    pub(crate) is_leaving: bool,
    /// Whether a leaving agent also refuses to start requests that it claimed before.
    pub(crate) is_refusing_starts: bool,
    /// Number of open run streams.
    pub(crate) open_stream_count: usize,
    is_serving: bool,
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
            running_count: 0,
            sessions: HashMap::new(),
            last_generation: 0,
            is_healthy: false,
            target_incarnation: Incarnation::starting_now(),
            is_probe_requested: false,
            is_leaving: false,
            is_refusing_starts: false,
            open_stream_count: 0,
            is_serving: false,
        }
    }

    /// Allows claims only while the agent may accept new work: it has permission, the target is
    /// healthy and the agent is not leaving.
    pub(crate) fn update_serving(&mut self, is_permitted: bool, now: ClockTime) {
        let is_serving = is_permitted && self.is_healthy && !self.is_leaving;
        if is_serving != self.is_serving {
            self.is_serving = is_serving;
            let actions = self.table.set_serving(is_serving, now);
            self.perform_actions(actions);
        }
    }

    /// Stops new work after the target was lost, until a probe succeeds.
    pub(crate) fn mark_target_lost(&mut self, now: ClockTime) {
        self.is_healthy = false;
        self.is_probe_requested = true;
        self.update_serving(false, now);
    }

    /// Carries out the actions that the offer table returned.
    ///
    /// A message is dropped if the session has ended or its queue is full. A claim that was not
    /// sent times out.
    pub(crate) fn perform_actions(&mut self, actions: Vec<TableAction>) {
        for action in actions {
            match action {
                TableAction::Claim { entry, request } => {
                    self.send_message(&entry, AgentMessage::Claim(request));
                }
                TableAction::FreeSlots { entry, free } => {
                    let service = self.service.clone();
                    self.send_message(&entry, AgentMessage::FreeSlots { service, free });
                }
            }
        }
    }

    pub(crate) fn broadcast(&self, message: &AgentMessage) {
        for session in self.sessions.values() {
            let _ = session.sender.try_send(message.clone());
        }
    }

    /// Applies the current concurrency limit to the offer table.
    pub(crate) fn apply_limit(&mut self, now: ClockTime) {
        let actions = self.table.set_limit(self.limit.limit(), now);
        self.perform_actions(actions);
    }

    fn send_message(&self, entry: &NodeName, message: AgentMessage) {
        if let Some(session) = self.sessions.get(entry) {
            let _ = session.sender.try_send(message);
        }
    }
}

/// Settings, state and handles that the tasks of an agent share. Clones refer to the same agent.
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

    /// Whether the agent may start work: it holds a lease, its target and data centre are not taken
    /// out, and it is not in the last phase of a graceful shutdown.
    pub(crate) fn has_permission(&self) -> bool {
        if self.board.read(|state| state.is_refusing_starts) {
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

    /// Current directory entry of the agent, with the address to which entries connect.
    pub(crate) fn directory_entry(&self, address: std::net::SocketAddr) -> DirectoryEntry {
        let config = self.view.read(|view| view.config.version);
        let (state, target) = self.board.read(|state| {
            let node = if state.is_leaving {
                NodeState::Leaving
            } else {
                NodeState::Serving
            };
            let target = TargetState {
                target: self.settings.target.clone(),
                service: self.settings.service.clone(),
                limit: state.limit.limit(),
                running: SlotCount(state.running_count),
                cold: state.limit.is_cold(),
                healthy: state.is_healthy,
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
