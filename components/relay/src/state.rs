//! State of a relay, and the settings and handles that its tasks share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use board::StateBoard;
use cadence::StatsdClient;
use client::{ControlClient, FleetView};
use fair::ShareGate;
use limits::{DurationHistory, TurnGate, WindowBound, WindowBudget};
use listener::BodyGate;
use origins::OriginLog;
use place::{EntryRoster, ListedTarget, PlacementTable, RunKey, WaitKey, WaitQueue};
use quarantine::CrashLog;
use rollout::VersionGates;
use routes::RouteIndex;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use units::{ClockSource, ClockTime, Incarnation, NodeName, PlanNumber, RouteName, ServiceName};
use wire::{DirectoryEntry, NodeKind, NodeState};

use crate::dialect::CallerDialect;
use crate::pool::ConnectionPool;
use crate::settings::RelaySettings;

/// Time within which a plan in the view must be installed. It is installed by the next task that runs.
const INSTALL_TIMEOUT: Duration = Duration::from_millis(200);

/// State of a relay, kept on its [`StateBoard`].
pub(crate) struct RelayState {
    /// Index of the installed plan; `None` before the first plan arrives.
    pub(crate) route_index: Option<Arc<RouteIndex>>,
    pub(crate) table: PlacementTable,
    /// Entries among which rates and budgets are divided.
    pub(crate) roster: EntryRoster,
    pub(crate) queue: WaitQueue,
    /// Senders that deliver runs to the waiting requests; `None` means that no live target may
    /// serve the request.
    pub(crate) waiters: HashMap<WaitKey, oneshot::Sender<Option<RunKey>>>,
    /// Admission by the organisations' shares of the model engines' capacity.
    pub(crate) gate: ShareGate,
    /// Retry budget of each service.
    pub(crate) retry_budgets: HashMap<ServiceName, WindowBudget>,
    /// Durations of recent runs of each route.
    pub(crate) run_durations: HashMap<RouteName, DurationHistory>,
    /// Requests that were at targets when these crashed.
    pub(crate) crashes: CrashLog,
    /// Admission by the time that a turn of the event loop takes.
    pub(crate) turns: TurnGate,
    /// Versions that may run requests while roll-outs are in force.
    pub(crate) rollouts: VersionGates,
}

impl RelayState {
    /// Number of entries that may send requests, including this one.
    pub(crate) fn entry_count(&self) -> u32 {
        self.roster.position().count
    }

    /// Number of other serving entries in the directory.
    pub(crate) fn other_entry_count(&self) -> u32 {
        self.entry_count() - 1
    }

    /// Starts runs of waiting requests while targets have capacity.
    pub(crate) fn drain_queue(&mut self, now: ClockTime) {
        if self.queue.is_empty() {
            return;
        }
        for dequeued in self.queue.drain(&mut self.table, now) {
            let waiter = self.waiters.remove(&dequeued.key);
            let is_delivered = waiter.is_some_and(|waiter| waiter.send(dequeued.run).is_ok());
            if let (false, Some(run)) = (is_delivered, dequeued.run) {
                // The task stopped waiting before the run was delivered.
                self.table.end_run(run);
            }
        }
    }

    /// Returns the retry budget of a service. The slack of the fleet-wide bound is divided evenly
    /// among the entries.
    pub(crate) fn budget(
        &mut self,
        service: &ServiceName,
        settings: &RelaySettings,
    ) -> &mut WindowBudget {
        let bound = WindowBound {
            slack: settings.retries.slack / u64::from(self.entry_count()),
            ..settings.retries
        };
        let budget = self
            .retry_budgets
            .entry(service.clone())
            .or_insert_with(|| WindowBudget::new(bound));
        budget.set_bound(bound);
        budget
    }
}

/// Settings, state and handles that the tasks of a relay share. Clones refer to the same relay.
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
    pub(crate) pool: ConnectionPool,
    /// Memory for the bodies of requests.
    pub(crate) bodies: BodyGate,
    /// Where this entry's streams began that may be continued.
    pub(crate) origins: StateBoard<OriginLog>,
    /// Client for the control nodes.
    pub(crate) client: ControlClient,
    /// Time until which a leaving relay waits for answers; `None` while it serves.
    pub(crate) stop_deadline: watch::Sender<Option<Instant>>,
}

impl RelayShared {
    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Whether the relay is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stop_deadline.borrow().is_some()
    }

    /// Whether keys may be accepted. The lease shows that a quorum confirmed the configuration of
    /// this relay recently enough.
    pub(crate) fn has_lease(&self) -> bool {
        let now = self.now();
        self.view.read(|view| view.has_lease(now))
    }

    /// Whether the lease vouches for the keys of a plan. The lease and the index of a plan are installed
    /// one after the other, and a new lease does not vouch for older keys.
    pub(crate) fn has_lease_for(&self, number: PlanNumber) -> bool {
        let now = self.now();
        self.view
            .read(|view| view.has_lease(now) && view.published_number() <= Some(number))
    }

    /// Whether a quorum confirmed a plan recently enough for refusals that callers never retry.
    pub(crate) fn is_confirmed(&self, number: PlanNumber) -> bool {
        let now = self.now();
        self.view.read(|view| {
            view.age(now) < self.settings.plan_time && view.published_number() <= Some(number)
        })
    }

    /// Whether requests may run by a plan. An entry that is cut off serves the callers beside it by the
    /// newest plan that it knows. One that reaches control nodes without a quorum does not: the group
    /// may have confirmed a newer plan that these nodes cannot tell.
    pub(crate) fn may_run_by(&self, number: PlanNumber) -> bool {
        self.is_confirmed(number) || !self.client.is_quorum_lost()
    }

    /// Index of the plan in the view, once it is installed; `None` before the first plan.
    pub(crate) async fn current_index(&self) -> Option<Arc<RouteIndex>> {
        let newest = self.view.read(FleetView::published_number);
        let current = |state: &mut RelayState| {
            let index = state.route_index.clone();
            let is_current = index.as_ref().map(|index| index.number) >= newest;
            is_current.then_some(index)
        };
        if let Some(index) = self.board.write_quietly(current) {
            return index;
        }
        let installed = self.board.wait_for(current);
        tokio::time::timeout(INSTALL_TIMEOUT, installed)
            .await
            .unwrap_or_default()
    }

    /// Whether the load balancer should send new callers to this relay. All callers of an organisation may come
    /// to one relay, also when they come back after a refusal, while the others are idle.
    pub(crate) fn is_ready(&self) -> bool {
        let now = self.now();
        let can_serve = self
            .board
            .read(|state| state.route_index.is_some() && !state.turns.is_behind(now));
        can_serve && !self.is_leaving() && self.has_lease()
    }

    pub(crate) fn target(&self, run: RunKey) -> Option<ListedTarget> {
        self.board
            .read(|state| state.table.target(run).map(|record| record.info.clone()))
    }

    /// Target with this name, as listed now.
    pub(crate) fn listed(&self, name: &NodeName) -> Option<ListedTarget> {
        self.board.read(|state| state.table.listed(name).cloned())
    }

    /// Current directory entry of the relay.
    pub(crate) fn directory_entry(&self) -> DirectoryEntry {
        DirectoryEntry {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            address: self.address,
            data_centre: self.settings.data_centre.clone(),
            state: match self.is_leaving() {
                true => NodeState::Leaving,
                false => NodeState::Serving,
            },
            config: self.view.read(|view| view.config.version),
            kind: NodeKind::Entry,
        }
    }
}
