//! Departures of targets in the replicated state.
//!
//! An acknowledged departure must hold at each control node that an entry may follow, also after a
//! restart, so it is committed before it is acknowledged. Every node applies it to its directory
//! before it answers from there.

use std::time::Duration;

use directory::NodeDirectory;
use telemetry::{event, events};
use units::{Incarnation, NodeName};
use wire::{ControlReply, ControlRequest, DirectoryEntry};

use crate::requests::commit_or_forward;
use crate::state::ControlContext;

/// Time within which a departure must be committed before it is answered. Targets wait a second for
/// that answer.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(800);

/// Commits a departure unless that has been done, and returns whether it is committed.
pub(crate) async fn commit_departure(
    context: &ControlContext,
    name: &NodeName,
    incarnation: Incarnation,
) -> bool {
    let is_committed = context
        .view
        .read(|view| view.registry.departures().contains(name, incarnation));
    if is_committed {
        return true;
    }
    let request = ControlRequest::Depart {
        name: name.clone(),
        incarnation,
    };
    let committing = commit_or_forward(context, false, request);
    let reply = tokio::time::timeout(COMMIT_TIMEOUT, committing).await;
    let is_committed = matches!(reply, Ok(ControlReply::Done));
    event!(
        events::DEPARTURE_RECORDED,
        target = name,
        incarnation = incarnation,
        committed = is_committed
    );
    is_committed
}

impl ControlContext {
    /// Accesses the directory after the committed departures have been applied to it.
    pub(crate) fn with_nodes<R>(&self, access: impl FnOnce(&mut NodeDirectory) -> R) -> R {
        let now = self.clock.now();
        self.nodes.write_quietly(|nodes| {
            self.view.read(|view| {
                nodes.apply_departures(view.registry.departures(), now);
                nodes.apply_returns(&view.registry.config().returns);
            });
            access(nodes)
        })
    }

    /// Entry of a live node.
    pub(crate) fn node(&self, name: &NodeName) -> Option<DirectoryEntry> {
        self.with_nodes(|nodes| nodes.get(name).cloned())
    }
}
