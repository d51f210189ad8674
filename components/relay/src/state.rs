//! State of a relay, and what its tasks share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use board::StateBoard;
use cadence::StatsdClient;
use client::FleetView;
use fair::ShareGate;
use limits::{WindowBound, WindowBudget};
use place::{ListedTarget, PlacementTable, RunKey, WaitKey, WaitQueue};
use routes::RouteIndex;
use tokio::sync::oneshot;
use units::{ClockSource, ClockTime, Incarnation, ServiceName};
use wire::{DirectoryEntry, NodeKind, NodeState};

use crate::dialect::CallerDialect;
use crate::pool::TargetPool;
use crate::settings::RelaySettings;

/// State on the relay's board.
pub(crate) struct RelayState {
    /// Published plan in force here; none before the first one has arrived.
    pub(crate) index: Option<Arc<RouteIndex>>,
    pub(crate) table: PlacementTable,
    pub(crate) queue: WaitQueue,
    /// Requests that wait, and how they are told of a run; `None` tells that there is no target.
    pub(crate) waiting: HashMap<WaitKey, oneshot::Sender<Option<RunKey>>>,
    /// Shares of the organisations in what the model engines produce.
    pub(crate) gate: ShareGate,
    pub(crate) budgets: HashMap<ServiceName, WindowBudget>,
    pub(crate) entries: u32,
    pub(crate) leaving: bool,
}

impl RelayState {
    /// Gives free room to waiting requests.
    pub(crate) fn drain(&mut self, now: ClockTime) {
        if self.queue.is_empty() {
            return;
        }
        for ended in self.queue.drain(&mut self.table, now) {
            let waiter = self.waiting.remove(&ended.key);
            let told = waiter.is_some_and(|waiter| waiter.send(ended.run).is_ok());
            if let (false, Some(run)) = (told, ended.run) {
                // The request gave up in the same moment.
                self.table.end_run(run);
            }
        }
    }

    /// Retry budget of a service: this entry's part of the bound over all entries.
    pub(crate) fn budget(
        &mut self,
        service: &ServiceName,
        settings: &RelaySettings,
    ) -> &mut WindowBudget {
        let entries = u64::from(self.entries.max(1));
        self.budgets.entry(service.clone()).or_insert_with(|| {
            WindowBudget::new(WindowBound {
                slack: settings.retries.slack / entries,
                ..settings.retries
            })
        })
    }
}

/// What the tasks of a relay share.
#[derive(Clone)]
pub(crate) struct RelayShared {
    pub(crate) settings: Arc<RelaySettings>,
    pub(crate) incarnation: Incarnation,
    pub(crate) board: StateBoard<RelayState>,
    pub(crate) view: StateBoard<FleetView>,
    pub(crate) clock: Arc<dyn ClockSource>,
    /// Local address of the links to control nodes.
    pub(crate) address: SocketAddr,
    pub(crate) dialect: Arc<dyn CallerDialect>,
    pub(crate) metrics: Arc<StatsdClient>,
    pub(crate) pool: TargetPool,
}

impl RelayShared {
    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Whether keys may be accepted: the newest plan that a quorum knows is not too old here.
    pub(crate) fn has_lease(&self) -> bool {
        let now = self.now();
        self.view.read(|view| view.has_lease(now))
    }

    /// Whether new callers should come.
    pub(crate) fn is_ready(&self) -> bool {
        let serves = self
            .board
            .read(|state| !state.leaving && state.index.is_some());
        serves && self.has_lease()
    }

    pub(crate) fn target(&self, run: RunKey) -> Option<ListedTarget> {
        self.board
            .read(|state| state.table.target(run).map(|record| record.info.clone()))
    }

    /// The relay as it stands in the directory.
    pub(crate) fn directory_entry(&self) -> DirectoryEntry {
        let leaving = self.board.read(|state| state.leaving);
        DirectoryEntry {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            address: self.address,
            data_centre: self.settings.data_centre.clone(),
            state: match leaving {
                true => NodeState::Leaving,
                false => NodeState::Serving,
            },
            config: self.view.read(|view| view.config.version),
            kind: NodeKind::Entry,
        }
    }
}
