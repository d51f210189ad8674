//! Handles requests from nodes, operators and other control nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fair::{FlowSummary, PoolBounds};
use quarantine::QuarantineChange;
use registry::{RegistryAction, RegistryOutcome};
use telemetry::{event, events};
use tokio::sync::oneshot;
use units::{ConfigVersion, NodeName, ServiceName};
use wire::{
    ControlReply, ControlRequest, CrashReport, DemandReport, DirectoryEntry, EntryReply,
    EntryReport, FlowId, FlowKey, Hello, LoadReply, LoadReport, NodeKind, NodeRole, NodeState,
    OperatorOrder, OrderReply, QuarantineReply, RenewReply, RenewRequest, ShareReply, UsageReport,
};

use crate::driver_event::{DriverEvent, ProposeFailure};
use crate::orders::order_actions;
use crate::peer_link::apply_directory;
use crate::rollouts::apply_rollouts;
use crate::state::ControlContext;
use crate::status::fleet_status_json;
use crate::versions::registered_versions;

/// Timeout for a commit or a read barrier. Shorter than the timeout of one attempt of a client.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);

/// Handles one request of a peer.
pub(crate) async fn handle_request(
    context: &ControlContext,
    peer: &Hello,
    request: ControlRequest,
) -> ControlReply {
    if !is_allowed(peer.role, &request) {
        return ControlReply::Forbidden(peer.role);
    }
    match request {
        ControlRequest::Renew(renewal) => {
            if peer.role == NodeRole::Operator && !confirm_newest(context).await {
                return no_quorum_reply(context);
            }
            handle_renewal(context, peer, renewal)
        }
        ControlRequest::Status => {
            // Without a quorum, the status still reports this node's view and marks it as
            // unconfirmed.
            let is_newest = confirm_newest(context).await;
            ControlReply::Status(fleet_status_json(context, is_newest))
        }
        ControlRequest::Directory(entries) => {
            apply_directory(context, entries);
            ControlReply::Done
        }
        ControlRequest::Usage(report) => handle_usage(context, peer, &report),
        ControlRequest::Report(report) => handle_report(context, peer, &report),
        ControlRequest::LiftQuarantine(subject) => {
            let now = context.clock.now();
            let was_in_force = context
                .quarantine
                .write_quietly(|home| home.lift(&subject, now));
            event!(
                events::QUARANTINE_LIFTED,
                subject = subject,
                operator = peer.name
            );
            ControlReply::Lifted(was_in_force)
        }
        ControlRequest::RecordOrigins(report) => {
            context.origins.record(report, context.clock.now());
            ControlReply::Done
        }
        ControlRequest::FindOrigin(stream) => {
            ControlReply::Origin(context.origins.find(stream, context.clock.now()))
        }
        ControlRequest::Versions(service) => registered_versions(context, &service).await,
        ControlRequest::Text(_) => ControlReply::BadRequest("a text without its order".into()),
        request => commit_or_forward(context, peer.role == NodeRole::Control, request).await,
    }
}

/// Whether a peer of this role may send the request. Control nodes may also send the requests that
/// they forward, since they have checked the role of the original sender.
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
        ControlRequest::Directory(_)
        | ControlRequest::RegisterVersion(_)
        | ControlRequest::Depart { .. }
        | ControlRequest::AdvanceRollout(_) => role == NodeRole::Control,
        ControlRequest::Report(_)
        | ControlRequest::RecordOrigins(_)
        | ControlRequest::FindOrigin(_)
        | ControlRequest::Versions(_) => role == NodeRole::Entry,
        ControlRequest::LiftQuarantine(_) => role == NodeRole::Operator,
        ControlRequest::Usage(_) => role == NodeRole::Agent,
    }
}

/// Grants a lease and returns the changes of configuration and directory since the last renewal.
/// Grants none if no quorum has confirmed this node's state recently.
fn handle_renewal(context: &ControlContext, peer: &Hello, renewal: RenewRequest) -> ControlReply {
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
    let confirmed_state = context.view.read(|view| {
        let age = view.confirmation_age(now)?;
        let version = view.registry.config().version;
        Some((age, version, view.registry.changes_since(renewal.config)))
    });
    let Some((age, version, changes)) = confirmed_state else {
        return unconfirmed_reply(context, renewal.config);
    };
    let directory = context.with_nodes(|nodes| {
        if !is_operator {
            nodes.announce(renewal.node, now);
        }
        let known_revision = renewal.directory;
        known_revision.map(|(source, revision)| nodes.delta_since(source, revision))
    });
    ControlReply::Renewed(RenewReply {
        age_ms: age.as_millis() as u64,
        version,
        changes,
        directory,
        controls: control_addresses(context),
    })
}

/// Addresses of this node and of the control nodes that are present; empty without peer discovery.
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

/// Adds the usage counts of an agent to the totals of the flows for which it considers this node
/// the home.
///
/// This needs no quorum: the totals are soft state, and an agent without a lease starts no
/// requests.
fn handle_usage(context: &ControlContext, peer: &Hello, report: &UsageReport) -> ControlReply {
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

/// Adds the report of an entry to those of the other entries, and returns what applies to it. Like
/// [`handle_usage`], this needs no quorum, once one has confirmed this node: before that, it may lack
/// the plan, without which a small sample can reduce the estimated capacity to almost nothing.
fn handle_report(context: &ControlContext, peer: &Hello, report: &EntryReport) -> ControlReply {
    let demand = &report.demand;
    if demand.reporter != peer.name || demand.incarnation != peer.incarnation {
        let reporter = &demand.reporter;
        return ControlReply::BadRequest(format!("reporter {reporter} is not the sender"));
    }
    if context.view.read(|view| view.confirmed_at.is_none()) {
        return no_quorum_reply(context);
    }
    apply_rollouts(context, report);
    ControlReply::Report(EntryReply {
        shares: apply_demand(context, demand),
        quarantine: apply_crashes(context, &report.crashes),
        loads: report
            .loads
            .as_ref()
            .map(|loads| apply_loads(context, peer, loads)),
    })
}

/// Adds the load that an entry puts on targets to that of the others.
fn apply_loads(context: &ControlContext, peer: &Hello, report: &LoadReport) -> LoadReply {
    let listed_count = context.with_nodes(|nodes| {
        let is_serving = |entry: &&DirectoryEntry| {
            entry.kind == NodeKind::Entry && entry.state == NodeState::Serving
        };
        nodes.entries().filter(is_serving).count()
    });
    let now = context.clock.now();
    context.loads.write_quietly(|home| {
        home.apply_report(&peer.name, peer.incarnation, report, listed_count, now)
    })
}

fn apply_crashes(context: &ControlContext, report: &CrashReport) -> QuarantineReply {
    let now = context.clock.now();
    let (reply, changes) = context
        .quarantine
        .write_quietly(|home| home.apply_report(report, now));
    for change in changes {
        match change {
            QuarantineChange::Started(quarantined) => event!(
                events::QUARANTINE_STARTED,
                subject = quarantined.subject,
                crashes = quarantined.crashes,
                organisations = quarantined.flows.len(),
                trial_ms = quarantined.trial_ms
            ),
            QuarantineChange::Ended(subject) => {
                event!(events::QUARANTINE_ENDED, subject = subject);
            }
        }
    }
    reply
}

fn apply_demand(context: &ControlContext, report: &DemandReport) -> ShareReply {
    let now = context.clock.now();
    let bounds = || {
        context.view.read(|view| {
            let published = view.registry.config().published.as_ref();
            published.map_or_else(PoolBounds::default, |published| PoolBounds {
                capacity: published.plan.bounds.tokens_per_second,
                objective: published.plan.model_objective().unwrap_or_default(),
            })
        })
    };
    let (reply, change, summaries) = context.demand.write_quietly(|home| {
        let (reply, change) = home.apply_report(report, bounds, now);
        (reply, change, home.take_summaries(&report.service, now))
    });
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
    if !summaries.is_empty() {
        log_summaries(context, &report.service, summaries.into_iter().collect());
    }
    reply
}

/// Logs what the organisations that are held back, and the best served one, have asked for and got.
fn log_summaries(
    context: &ControlContext,
    service: &ServiceName,
    summaries: BTreeMap<FlowId, FlowSummary>,
) {
    let organisations = context.view.read(|view| {
        let published = view.registry.config().published.as_ref();
        published.map_or_else(Vec::new, |published| {
            published.plan.organisations.keys().cloned().collect()
        })
    });
    for organisation in organisations {
        let flow = FlowId::of(&FlowKey {
            organisation: organisation.clone(),
            service: service.clone(),
        });
        if let Some(summary) = summaries.get(&flow) {
            event!(
                events::FLOW_HELD_BACK,
                service = service,
                organisation = organisation,
                asked = summary.asked,
                overdue = summary.overdue,
                granted = summary.granted,
                entries = summary.entries,
                is_best_served = summary.is_best_served
            );
        }
    }
}

/// Commits a request if this node is the leader, else forwards it to the leader.
///
/// A request that another control node has forwarded is not forwarded again: the nodes briefly
/// disagree about the leader, and the client retries.
pub(crate) async fn commit_or_forward(
    context: &ControlContext,
    is_forwarded: bool,
    request: ControlRequest,
) -> ControlReply {
    let own = &context.settings.name;
    let leader = context.view.read(|view| view.leader_name(own));
    match leader {
        Some(leader) if leader == *own => commit_here(context, request).await,
        Some(leader) if !is_forwarded => match context.peers.client(&leader) {
            Some(client) => match client.request_once(&request).await {
                Ok(reply) => reply,
                Err(_) => no_quorum_reply(context),
            },
            None => no_quorum_reply(context),
        },
        _ => no_quorum_reply(context),
    }
}

async fn commit_here(context: &ControlContext, request: ControlRequest) -> ControlReply {
    let actions = match request {
        ControlRequest::Begin(begin) => vec![RegistryAction::Begin(begin)],
        ControlRequest::End(end) => vec![RegistryAction::End(end)],
        ControlRequest::RegisterVersion(version) => vec![RegistryAction::RegisterVersion(version)],
        ControlRequest::Depart { name, incarnation } => {
            vec![RegistryAction::Depart { name, incarnation }]
        }
        ControlRequest::AdvanceRollout(step) => match postcard::from_bytes(&step) {
            Ok(step) => vec![RegistryAction::AdvanceRollout(step)],
            Err(error) => return ControlReply::BadRequest(error.to_string()),
        },
        ControlRequest::Order(order) => {
            if !has_applied_expected(context, &order).await {
                return no_quorum_reply(context);
            }
            match order_actions(context, order).await {
                Ok(actions) => actions,
                Err(reason) => return ControlReply::Order(OrderReply::Invalid(reason)),
            }
        }
        _ => {
            return ControlReply::BadRequest(
                "only calls, orders, versions, departures and roll-outs are committed".into(),
            );
        }
    };
    let mut outcome = RegistryOutcome::Done;
    for action in actions {
        outcome = match propose(context, action).await {
            Ok(outcome) => outcome,
            Err(ProposeFailure::Refused(reason)) => return ControlReply::BadRequest(reason),
            Err(_) => return no_quorum_reply(context),
        };
    }
    match outcome {
        RegistryOutcome::Done => ControlReply::Done,
        RegistryOutcome::Order(reply) => ControlReply::Order(reply),
        RegistryOutcome::Begin(outcome) => ControlReply::Begun(outcome),
        RegistryOutcome::Registered(is_registered) => ControlReply::Registered(is_registered),
        RegistryOutcome::Advanced(has_advanced) => ControlReply::Advanced(has_advanced),
    }
}

/// Whether this node has applied the version that a services text expects, from which the changes are
/// computed. A new leader may not have, until it has committed an entry of its own.
async fn has_applied_expected(context: &ControlContext, order: &OperatorOrder) -> bool {
    let OperatorOrder::Apply { expected, .. } = order else {
        return true;
    };
    let applied = context.view.read(|view| view.registry.config().version);
    applied >= *expected || confirm_newest(context).await
}

/// Waits for a read barrier and returns whether it succeeded. The state read afterwards includes
/// every order that was acknowledged before the call.
///
/// Lease renewals may be granted from slightly older state. An operator needs the newest state,
/// because the next order states the version that it expects.
pub(crate) async fn confirm_newest(context: &ControlContext) -> bool {
    let (reply, confirmed) = oneshot::channel();
    if context
        .driver
        .send(DriverEvent::Confirm { reply })
        .await
        .is_err()
    {
        return false;
    }
    matches!(
        tokio::time::timeout(COMMIT_TIMEOUT, confirmed).await,
        Ok(Ok(true))
    )
}

/// Proposes an action and waits until it is committed and applied on this node.
pub(crate) async fn propose(
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

pub(crate) fn no_quorum_reply(context: &ControlContext) -> ControlReply {
    let own = &context.settings.name;
    let leader = context.view.read(|view| view.leader_name(own));
    ControlReply::NoQuorum {
        leader,
        changes: Vec::new(),
    }
}

/// Reply to a renewal without a quorum. The changes that this node has applied are committed and
/// never revert, so the node may install them, but there may be newer ones.
fn unconfirmed_reply(context: &ControlContext, installed: ConfigVersion) -> ControlReply {
    let own = &context.settings.name;
    context.view.read(|view| ControlReply::NoQuorum {
        leader: view.leader_name(own),
        changes: view.registry.changes_since(installed),
    })
}
