//! Answers to the requests of nodes and operators.

use std::net::SocketAddr;
use std::time::Duration;

use registry::{RegistryAction, RegistryOutcome};
use telemetry::{event, events};
use tokio::sync::oneshot;
use units::NodeName;
use wire::{
    ControlReply, ControlRequest, DemandReport, Hello, NodeKind, NodeRole, OrderReply, RenewReply,
    RenewRequest, UsageReport,
};

use crate::driver_event::{DriverEvent, ProposeFailure};
use crate::orders::order_actions;
use crate::peer_link::take_directory;
use crate::state::ControlContext;
use crate::status::fleet_status;

/// Longest wait for a commit, less than a client's wait for an attempt.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);

/// Answers one request of a peer.
pub(crate) async fn answer(
    context: &ControlContext,
    peer: &Hello,
    request: ControlRequest,
) -> ControlReply {
    if !is_allowed(peer.role, &request) {
        return ControlReply::Forbidden(peer.role);
    }
    match request {
        ControlRequest::Renew(renewal) => {
            if peer.role == NodeRole::Operator && !confirm(context).await {
                return no_quorum(context);
            }
            renew(context, peer, renewal)
        }
        ControlRequest::Status => {
            // Without a quorum the status still tells what this node sees, and that it is alone.
            let is_newest = confirm(context).await;
            ControlReply::Status(fleet_status(context, is_newest))
        }
        ControlRequest::Directory(entries) => {
            take_directory(context, entries);
            ControlReply::Done
        }
        ControlRequest::Usage(report) => usage(context, peer, &report),
        ControlRequest::Demand(report) => demand(context, peer, &report),
        ControlRequest::Text(_) => ControlReply::BadRequest("a text without its order".into()),
        request => commit(context, peer.role == NodeRole::Control, request).await,
    }
}

/// Whether a role may ask this. Control nodes forward the requests of others, which they have
/// checked.
fn is_allowed(role: NodeRole, request: &ControlRequest) -> bool {
    match request {
        // An operator's renewal only reads the configuration.
        ControlRequest::Renew(_) => role != NodeRole::Control,
        ControlRequest::Begin(_) | ControlRequest::End(_) => {
            matches!(role, NodeRole::Entry | NodeRole::Control)
        }
        ControlRequest::Order(_) | ControlRequest::Text(_) | ControlRequest::Status => {
            matches!(role, NodeRole::Operator | NodeRole::Control)
        }
        ControlRequest::Directory(_) => role == NodeRole::Control,
        ControlRequest::Demand(_) => role == NodeRole::Entry,
        ControlRequest::Usage(_) => role == NodeRole::Agent,
    }
}

/// Grants a lease and tells the news. Without a recent confirmation by a quorum there is none.
fn renew(context: &ControlContext, peer: &Hello, renewal: RenewRequest) -> ControlReply {
    let is_operator = peer.role == NodeRole::Operator;
    let own_kind = match renewal.node.kind {
        NodeKind::Entry => NodeRole::Entry,
        NodeKind::Agent(_) => NodeRole::Agent,
        NodeKind::Target(_) => {
            return ControlReply::BadRequest("a target without an agent has no lease".into());
        }
    };
    if renewal.node.name != peer.name || (own_kind != peer.role && !is_operator) {
        let name = &renewal.node.name;
        return ControlReply::BadRequest(format!("{own_kind} {name} is not the sender"));
    }
    let now = context.clock.now();
    let granted = context.view.read(|view| {
        let age = view.age(now)?;
        let version = view.registry.config().version;
        Some((age, version, view.registry.changes_since(renewal.config)))
    });
    let Some((age, version, changes)) = granted else {
        return no_quorum(context);
    };
    let directory = context.nodes.write_quietly(|nodes| {
        if !is_operator {
            nodes.announce(renewal.node, now);
        }
        let known = renewal.directory;
        known.map(|(source, revision)| nodes.delta_since(source, revision))
    });
    ControlReply::Renewed(RenewReply {
        age_ms: age.as_millis() as u64,
        version,
        changes,
        directory,
        controls: control_addresses(context),
    })
}

/// Addresses of this node and of those that it hears of, where nodes are found by them.
fn control_addresses(context: &ControlContext) -> Vec<SocketAddr> {
    if !context.settings.has_peer_discovery {
        return Vec::new();
    }
    let now = context.clock.now();
    let mut addresses = context.view.read(|view| {
        let present = |key: &NodeName| view.peers.get(key).is_some_and(|peer| peer.is_present(now));
        let peers = context.peers.addresses(present);
        peers.into_values().collect::<Vec<_>>()
    });
    addresses.extend(context.view.read(|view| view.announcement.address));
    addresses
}

/// Sums the counts of an agent for the flows whose home it takes this node for.
///
/// A quorum is not needed: totals are soft state, and an agent without a lease starts nothing.
fn usage(context: &ControlContext, peer: &Hello, report: &UsageReport) -> ControlReply {
    if report.reporter != peer.name || report.incarnation != peer.incarnation {
        let reporter = &report.reporter;
        return ControlReply::BadRequest(format!("reporter {reporter} is not the sender"));
    }
    let now = context.clock.now();
    let totals = context
        .usage
        .write_quietly(|home| home.apply_report(report, now));
    ControlReply::Usage(totals)
}

/// Adds up the demand of an entry with that of the others. As with [`usage`], no quorum is needed.
fn demand(context: &ControlContext, peer: &Hello, report: &DemandReport) -> ControlReply {
    if report.reporter != peer.name || report.incarnation != peer.incarnation {
        let reporter = &report.reporter;
        return ControlReply::BadRequest(format!("reporter {reporter} is not the sender"));
    }
    let now = context.clock.now();
    let stated = context.view.read(|view| {
        let published = view.registry.config().published.as_ref();
        published.and_then(|published| published.plan.bounds.tokens_per_second)
    });
    let (reply, change) = context
        .demand
        .write_quietly(|home| home.apply_report(report, stated, now));
    if let Some(change) = change {
        let sample = change.sample;
        event!(
            events::CAPACITY_CHANGED,
            service = report.service,
            capacity = ?change.capacity,
            level = ?change.level,
            asked = sample.asked,
            granted = sample.granted,
            served = sample.served,
            answers = sample.count,
            lateness_permille = sample.total_permille / sample.count.max(1)
        );
    }
    ControlReply::Shares(reply)
}

/// Commits a request here if this node leads, or forwards it to the leader.
///
/// A request that another control node has `forwarded` is not forwarded again: the nodes disagree
/// about the leader for a moment, and the client tries again.
pub(crate) async fn commit(
    context: &ControlContext,
    forwarded: bool,
    request: ControlRequest,
) -> ControlReply {
    let own = &context.settings.name;
    let leader = context.view.read(|view| view.leader(own));
    match leader {
        Some(leader) if leader == *own => commit_here(context, request).await,
        Some(leader) if !forwarded => match context.peers.client(&leader) {
            Some(client) => match client.request_once(&request).await {
                Ok(reply) => reply,
                Err(_) => no_quorum(context),
            },
            None => no_quorum(context),
        },
        _ => no_quorum(context),
    }
}

async fn commit_here(context: &ControlContext, request: ControlRequest) -> ControlReply {
    let actions = match request {
        ControlRequest::Begin(begin) => vec![RegistryAction::Begin(begin)],
        ControlRequest::End(end) => vec![RegistryAction::End(end)],
        ControlRequest::Order(order) => match order_actions(context, order).await {
            Ok(actions) => actions,
            Err(reason) => return ControlReply::Order(OrderReply::Invalid(reason)),
        },
        _ => return ControlReply::BadRequest("only calls and orders are committed".into()),
    };
    let mut outcome = RegistryOutcome::Done;
    for action in actions {
        outcome = match propose(context, action).await {
            Ok(outcome) => outcome,
            Err(ProposeFailure::Refused(reason)) => return ControlReply::BadRequest(reason),
            Err(_) => return no_quorum(context),
        };
    }
    match outcome {
        RegistryOutcome::Done => ControlReply::Done,
        RegistryOutcome::Order(reply) => ControlReply::Order(reply),
        RegistryOutcome::Begin(outcome) => ControlReply::Begun(outcome),
    }
}

/// Waits for a read barrier, so that an operator sees every order that was acknowledged before.
/// The age of a lease allows for older state, but an operator's next order names its version.
pub(crate) async fn confirm(context: &ControlContext) -> bool {
    let (reply, done) = oneshot::channel();
    if context
        .driver
        .send(DriverEvent::Confirm { reply })
        .await
        .is_err()
    {
        return false;
    }
    matches!(
        tokio::time::timeout(COMMIT_TIMEOUT, done).await,
        Ok(Ok(true))
    )
}

/// Proposes an action and waits until it is committed and applied here.
async fn propose(
    context: &ControlContext,
    action: RegistryAction,
) -> Result<RegistryOutcome, ProposeFailure> {
    let (reply, outcome) = oneshot::channel();
    let proposal = DriverEvent::Propose { action, reply };
    if context.driver.send(proposal).await.is_err() {
        return Err(ProposeFailure::NotLeader);
    }
    match tokio::time::timeout(COMMIT_TIMEOUT, outcome).await {
        Ok(Ok(outcome)) => outcome,
        _ => Err(ProposeFailure::Unknown),
    }
}

fn no_quorum(context: &ControlContext) -> ControlReply {
    let own = &context.settings.name;
    let leader = context.view.read(|view| view.leader(own));
    ControlReply::NoQuorum { leader }
}
