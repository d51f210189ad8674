//! What an interface towards operators and targets asks of a control node.
//!
//! The node's own operators and nodes come over links. An interface that speaks another protocol
//! holds a [`ControlApi`] and translates; all decisions are made behind it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use link::LinkEndpoint;
use routes::PublishedPlan;
use thiserror::Error;
use units::{DataCentreName, Incarnation, NodeName, PlanNumber};
use wire::{
    ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeState, OperatorOrder, OrderReply,
};

use crate::requests::{commit, confirm};
use crate::state::ControlContext;

/// Why an order has no outcome.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ApiError {
    /// The order is faulty, and no repetition helps.
    #[error("{0}")]
    Invalid(String),
    /// No quorum has confirmed; the order may or may not be in force.
    #[error("Failed to reach a quorum of the control nodes")]
    NoQuorum,
}

/// Published plan in force, as its operator wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedText {
    /// Number of the plan.
    pub number: PlanNumber,
    /// The text.
    pub text: String,
}

/// Handle of a control node for an interface in the same process.
#[derive(Clone)]
pub struct ControlApi {
    context: ControlContext,
    endpoint: LinkEndpoint,
}

impl ControlApi {
    pub(crate) fn new(context: ControlContext, endpoint: LinkEndpoint) -> Self {
        Self { context, endpoint }
    }

    /// Takes over other control nodes that the settings name now.
    pub fn add_peers(&self, peers: &BTreeMap<NodeName, SocketAddr>) {
        for (name, address) in peers {
            self.context
                .peers
                .add(&self.context, &self.endpoint, name, *address);
        }
    }

    /// Publishes a plan, unless one with the same or a higher number is in force.
    pub async fn publish(&self, plan: &PublishedPlan, text: String) -> Result<(), ApiError> {
        let faults = plan.plan.faults();
        if !faults.is_empty() {
            let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
            return Err(ApiError::Invalid(lines.join("; ")));
        }
        let plan =
            postcard::to_stdvec(plan).map_err(|error| ApiError::Invalid(error.to_string()))?;
        self.order(OperatorOrder::Publish { plan, text }).await
    }

    /// The published plan in force, confirmed by a quorum; none if none was published.
    pub async fn published(&self) -> Result<Option<PublishedText>, ApiError> {
        if !confirm(&self.context).await {
            return Err(ApiError::NoQuorum);
        }
        Ok(self.context.view.read(|view| {
            let number = view.registry.config().published.as_ref()?.number;
            let text = view.registry.published_text()?.into();
            Some(PublishedText { number, text })
        }))
    }

    /// Takes a data centre out, or back in.
    pub async fn evacuate(&self, data_centre: DataCentreName, out: bool) -> Result<(), ApiError> {
        self.order(OperatorOrder::Evacuate { data_centre, out })
            .await
    }

    /// Takes in the announcement of a target, and passes it on to the other control nodes at once.
    pub fn announce(&self, entry: DirectoryEntry) {
        let now = self.context.clock.now();
        let accepted = self
            .context
            .nodes
            .write(|nodes| nodes.announce(entry.clone(), now));
        if accepted {
            self.context.peers.pass_on(vec![entry]);
        }
    }

    /// Whether a target is listed and takes new work.
    pub fn is_serving(&self, name: &NodeName) -> bool {
        self.context.nodes.read(|nodes| {
            let entry = nodes.get(name);
            entry.is_some_and(|entry| entry.state == NodeState::Serving)
        })
    }

    /// Takes in the last call of a target: it gets no new work, and late announcements of the same
    /// process do not bring it back. A call about another process than the listed one is late.
    pub fn mark_leaving(&self, name: &NodeName, incarnation: Option<Incarnation>) {
        let Some(mut entry) = self.context.nodes.read(|nodes| nodes.get(name).cloned()) else {
            return;
        };
        let is_late = incarnation.is_some_and(|incarnation| incarnation != entry.incarnation);
        if let (false, NodeKind::Target(target)) = (is_late, &mut entry.kind) {
            target.sequence = u64::MAX;
            entry.state = NodeState::Leaving;
            self.announce(entry);
        }
    }

    async fn order(&self, order: OperatorOrder) -> Result<(), ApiError> {
        match commit(&self.context, false, ControlRequest::Order(order)).await {
            ControlReply::Order(OrderReply::Accepted(_)) => Ok(()),
            ControlReply::Order(OrderReply::Invalid(reason)) => Err(ApiError::Invalid(reason)),
            _ => Err(ApiError::NoQuorum),
        }
    }
}
