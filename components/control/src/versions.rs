//! Software versions of targets in the replicated state.
//!
//! Entries begin streams that may be continued only at targets whose version a quorum has
//! registered. So the registered versions of a service include each at which a stream of unknown
//! origin may have begun, also for a control node that has not heard of all targets.

use std::collections::BTreeSet;
use std::time::Duration;

use raft::NodeRole as RaftRole;
use registry::RegistryAction;
use tokio::time::MissedTickBehavior;
use units::ServiceName;
use wire::{ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeState, StreamOrigin};

use crate::requests::{commit_or_forward, confirm_newest, no_quorum_reply, propose};
use crate::state::ControlContext;

/// Time within which a version must be registered before the announcement of its target is
/// answered. Targets wait a second for that answer.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between the rounds in which the leader counts versions without targets.
const ROUND_INTERVAL: Duration = Duration::from_secs(5);

/// Removes the version from the announcement of a target unless a quorum has registered it, or
/// registers it now. The target then gets no streams that may be continued until it announces
/// itself again.
pub(crate) async fn check_version(context: &ControlContext, entry: &mut DirectoryEntry) {
    let Some(version) = announced_version(entry) else {
        return;
    };
    let is_registered = context
        .view
        .read(|view| view.registry.versions().contains(&version));
    // No streams begin at a leaving target.
    let is_needed = entry.state == NodeState::Serving;
    if is_registered || (is_needed && register(context, version).await) {
        return;
    }
    if let NodeKind::Target(target) = &mut entry.kind {
        target.version = None;
    }
}

async fn register(context: &ControlContext, version: StreamOrigin) -> bool {
    let request = ControlRequest::RegisterVersion(version);
    let registering = commit_or_forward(context, false, request);
    let reply = tokio::time::timeout(REGISTER_TIMEOUT, registering).await;
    matches!(reply, Ok(ControlReply::Registered(true)))
}

/// Returns the registered versions of a service, as confirmed by a quorum.
pub(crate) async fn registered_versions(
    context: &ControlContext,
    service: &ServiceName,
) -> ControlReply {
    if !confirm_newest(context).await {
        return no_quorum_reply(context);
    }
    let versions = context
        .view
        .read(|view| view.registry.versions().of_service(service));
    ControlReply::Versions(versions)
}

/// Removes versions that have had no target for as long as a stream may be continued. Runs until
/// the task is aborted.
pub(crate) async fn remove_old_versions(context: ControlContext) {
    let mut interval = tokio::time::interval(ROUND_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let lifetime = context.view.read(|view| {
            let is_leader = view.status.role == RaftRole::Leader;
            let is_needed = is_leader && view.registry.versions().has_mixed_service();
            let published = view.registry.config().published.as_ref();
            let lifetime = published.map(|published| published.plan.max_stream_lifetime());
            lifetime.filter(|_| is_needed)
        });
        let Some(lifetime) = lifetime else {
            continue;
        };
        // The first round may come at once after the last target has left.
        let rounds = lifetime.as_millis().div_ceil(ROUND_INTERVAL.as_millis()) + 1;
        let action = RegistryAction::CountVersions {
            present: present_versions(&context),
            max_rounds: u32::try_from(rounds).unwrap_or(u32::MAX),
        };
        // A round that is not committed only delays the removal.
        let _ = propose(&context, action).await;
    }
}

fn present_versions(context: &ControlContext) -> BTreeSet<StreamOrigin> {
    let now = context.clock.now();
    context.with_nodes(|nodes| {
        let live = nodes.entries().filter_map(announced_version);
        // A silent target may still serve the streams that it began.
        let missing = nodes.missing(now).map(|(entry, _)| entry);
        live.chain(missing.filter_map(announced_version)).collect()
    })
}

fn announced_version(entry: &DirectoryEntry) -> Option<StreamOrigin> {
    let NodeKind::Target(target) = &entry.kind else {
        return None;
    };
    Some(StreamOrigin {
        service: target.service.clone(),
        version: target.version.clone()?,
    })
}
