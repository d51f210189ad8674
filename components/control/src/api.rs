//! In-process API of a control node for adapters to other protocols.
//!
//! Operators and nodes normally connect over links. An adapter for another protocol holds a
//! [`ControlApi`] and only translates; all decisions are made behind it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use link::LinkEndpoint;
use registry::{PackError, PackedPlan};
use rollout::{RolloutOrder, RolloutRecord};
use routes::PublishedPlan;
use telemetry::{event, events};
use thiserror::Error;
use units::{ClockTime, DataCentreName, Incarnation, NodeName, PlanNumber, ServiceName};
use wire::{
    ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeState, OperatorOrder, OrderReply,
};

use crate::announced::{check_announcement, check_departure};
use crate::departures::commit_departure;
use crate::orders::{MAX_PACKED_PLAN_BYTES, check_rollout};
use crate::quorum;
use crate::requests::{commit_or_forward, confirm_newest};
use crate::state::ControlContext;
use crate::versions::check_version;

/// Time for which an announcement may be under way.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(1_500);

/// Reason why a request of an adapter failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ApiError {
    /// The order is invalid; repeating it cannot succeed.
    #[error("{0}")]
    Invalid(String),
    /// The order is larger than an entry of the replicated log may be; repeating it cannot succeed.
    #[error("{0}")]
    TooLarge(String),
    /// No quorum has confirmed the request. An order may nevertheless have come into force. The text
    /// names the leader and the voters that the node waits for.
    #[error("Failed to reach a quorum of the control nodes: {0}")]
    NoQuorum(String),
    /// The order contradicts another one that is in progress.
    #[error("{0}")]
    Conflict(String),
    /// The order needs a published plan, and none is in force yet.
    #[error("No plan has been published yet")]
    NoPlan,
}

/// Text of the published plan in force, as submitted by its operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedText {
    /// Number of the plan.
    pub number: PlanNumber,
    /// Text as submitted.
    pub text: String,
}

/// Handle to a control node for an adapter in the same process.
#[derive(Clone)]
pub struct ControlApi {
    context: ControlContext,
    endpoint: LinkEndpoint,
}

impl ControlApi {
    pub(crate) fn new(context: ControlContext, endpoint: LinkEndpoint) -> Self {
        Self { context, endpoint }
    }

    /// Adds control nodes that were added to the settings, and updates changed addresses.
    pub fn add_peers(&self, peers: &BTreeMap<NodeName, SocketAddr>) {
        for (name, address) in peers {
            self.context
                .peers
                .add(&self.context, &self.endpoint, name, *address);
        }
    }

    /// Publishes a plan, unless one with the same or a higher number is in force.
    ///
    /// Returns [`ApiError::Invalid`] with all faults of the plan if it is invalid, and
    /// [`ApiError::TooLarge`] if it does not fit into an entry of the log.
    pub async fn publish(&self, plan: &PublishedPlan, text: String) -> Result<(), ApiError> {
        let faults = plan.plan.faults();
        if !faults.is_empty() {
            let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
            return Err(ApiError::Invalid(lines.join("; ")));
        }
        // What this node has applied is committed and numbers do not decrease, so that a repeated call
        // needs no further copy of the plan in the log.
        let applied = self.context.view.read(|view| {
            let published = view.registry.config().published.as_ref();
            published.map(|published| published.number)
        });
        if applied >= Some(plan.number) {
            return Ok(());
        }
        // Packed here, so that forwarding the order to the leader is cheap, too.
        let packed = match PackedPlan::pack(plan, &text) {
            Ok(packed) => packed.into_bytes(),
            Err(error @ PackError::TooLarge { .. }) => {
                return Err(ApiError::TooLarge(error.to_string()));
            }
            Err(error) => return Err(ApiError::Invalid(error.to_string())),
        };
        if packed.len() > MAX_PACKED_PLAN_BYTES {
            let size = packed.len();
            return Err(ApiError::TooLarge(format!(
                "the plan has {size} bytes when compressed, and the limit is {MAX_PACKED_PLAN_BYTES}"
            )));
        }
        self.order(OperatorOrder::Publish { packed }).await
    }

    /// Returns the published plan in force, as confirmed by a quorum, or `None` if no plan has been
    /// published.
    pub async fn published(&self) -> Result<Option<PublishedText>, ApiError> {
        if !confirm_newest(&self.context).await {
            return Err(self.no_quorum());
        }
        Ok(self.context.view.read(|view| {
            let number = view.registry.config().published.as_ref()?.number;
            let text = view.registry.published_text()?.into();
            Some(PublishedText { number, text })
        }))
    }

    /// Takes a data centre out or brings it back.
    pub async fn evacuate(&self, data_centre: DataCentreName, out: bool) -> Result<(), ApiError> {
        self.order(OperatorOrder::Evacuate { data_centre, out })
            .await
    }

    /// Starts a roll-out, unless the same order is in progress or has just ended.
    pub async fn start_rollout(&self, order: RolloutOrder) -> Result<(), ApiError> {
        // An invalid order is refused without a quorum, too.
        check_rollout(&order).map_err(ApiError::Invalid)?;
        self.order(OperatorOrder::StartRollout {
            service: order.service,
            to: order.to,
            duration_ms: order.duration_ms,
        })
        .await
    }

    /// Rolls the roll-out of a service back, unless that has been done.
    pub async fn cancel_rollout(&self, service: ServiceName) -> Result<(), ApiError> {
        self.order(OperatorOrder::CancelRollout { service }).await
    }

    /// Returns the newest roll-out of a service, as confirmed by a quorum, or `None` if none was
    /// ordered.
    pub async fn rollout(&self, service: &ServiceName) -> Result<Option<RolloutRecord>, ApiError> {
        if !confirm_newest(&self.context).await {
            return Err(self.no_quorum());
        }
        Ok(self
            .context
            .view
            .read(|view| view.registry.config().rollouts.get(service).cloned()))
    }

    /// Records the announcement of a target and forwards it to the other control nodes immediately.
    /// Registers the target's version first if it is new, and commits its departure if it is leaving.
    ///
    /// Returns [`ApiError::Invalid`] if the entry cannot be that of a target.
    pub async fn announce(&self, mut entry: DirectoryEntry) -> Result<(), ApiError> {
        check_announcement(&entry).map_err(ApiError::Invalid)?;
        self.record_version(&mut entry);
        check_version(&self.context, &mut entry).await;
        let (name, incarnation, state) = (entry.name.clone(), entry.incarnation, entry.state);
        self.log_cold_target(&entry);
        self.update_directory(entry);
        match state {
            NodeState::Serving => Ok(()),
            NodeState::Leaving => self.depart(&name, incarnation).await,
        }
    }

    /// Records the version of the configuration that was in force before a target can have sent its
    /// announcement.
    fn record_version(&self, entry: &mut DirectoryEntry) {
        let now = self.context.clock.now();
        // `ClockTime` saturates at zero, where no version is in force.
        let sent_after = ClockTime(
            now.0
                .saturating_sub(MAX_ANNOUNCEMENT_DELAY.as_millis() as u64),
        );
        if let NodeKind::Target(target) = &mut entry.kind {
            target.accepted_at = self.context.view.read(|view| view.version_at(sent_after));
        }
    }

    fn log_cold_target(&self, entry: &DirectoryEntry) {
        let cold_ms = |entry: &DirectoryEntry| match &entry.kind {
            NodeKind::Target(target) => target.cold_ms,
            NodeKind::Entry | NodeKind::Agent(_) => 0,
        };
        let known = self.context.node(&entry.name);
        let known = known.filter(|known| known.incarnation == entry.incarnation);
        if cold_ms(entry) > known.as_ref().map_or(0, cold_ms) {
            event!(
                events::TARGET_COLD,
                target = entry.name,
                data_centre = entry.data_centre,
                incarnation = entry.incarnation,
                cold_ms = cold_ms(entry)
            );
        }
    }

    fn update_directory(&self, entry: DirectoryEntry) {
        let now = self.context.clock.now();
        let accepted = self
            .context
            .with_nodes(|nodes| nodes.announce(entry.clone(), now));
        if accepted {
            self.context.peers.broadcast_directory(vec![entry]);
        }
    }

    /// Whether a target is in the directory and accepts new work.
    pub fn is_serving(&self, name: &NodeName) -> bool {
        let entry = self.context.node(name);
        entry.is_some_and(|entry| entry.state == NodeState::Serving)
    }

    /// Records the departure of a target, after its final call. Its process gets no new work, whatever
    /// announcements of it still arrive.
    ///
    /// If the call names no incarnation, the one that this node has heard of last has left, or else any
    /// that has started until now.
    pub async fn mark_leaving(
        &self,
        name: &NodeName,
        incarnation: Option<Incarnation>,
    ) -> Result<(), ApiError> {
        check_departure(name, incarnation).map_err(ApiError::Invalid)?;
        let known = self
            .context
            .with_nodes(|nodes| nodes.last_incarnation(name));
        let incarnation = incarnation
            .or(known)
            .unwrap_or_else(Incarnation::starting_now);
        self.mark_listed(name, incarnation);
        self.depart(name, incarnation).await
    }

    /// Marks a listed process as leaving at once, so that entries stop sending before the departure is
    /// committed.
    fn mark_listed(&self, name: &NodeName, incarnation: Incarnation) {
        let Some(mut entry) = self.context.node(name) else {
            return;
        };
        if let (true, NodeKind::Target(target)) =
            (entry.incarnation == incarnation, &mut entry.kind)
        {
            target.sequence = u64::MAX;
            entry.state = NodeState::Leaving;
            self.update_directory(entry);
        }
    }

    async fn depart(&self, name: &NodeName, incarnation: Incarnation) -> Result<(), ApiError> {
        match commit_departure(&self.context, name, incarnation).await {
            true => Ok(()),
            false => Err(self.no_quorum()),
        }
    }

    async fn order(&self, order: OperatorOrder) -> Result<(), ApiError> {
        match commit_or_forward(&self.context, false, ControlRequest::Order(order)).await {
            ControlReply::Order(OrderReply::Accepted(_)) => Ok(()),
            ControlReply::Order(OrderReply::Invalid(reason)) | ControlReply::BadRequest(reason) => {
                Err(ApiError::Invalid(reason))
            }
            ControlReply::Order(OrderReply::NoPlan) => Err(ApiError::NoPlan),
            ControlReply::Order(OrderReply::RolloutInProgress { to }) => Err(ApiError::Conflict(
                format!("a roll-out of the service to version {to} is in progress"),
            )),
            _ => Err(self.no_quorum()),
        }
    }

    fn no_quorum(&self) -> ApiError {
        ApiError::NoQuorum(quorum::report(&self.context).to_string())
    }
}
