//! Selects the home of a flow by rendezvous hashing over the reachable control nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use units::ClockTime;
use wire::{FlowId, stable_hash};

/// Time for which a control node that did not answer is avoided.
pub const AVOID_DURATION: Duration = Duration::from_secs(2);

/// Control node that sums the usage of a flow; `None` if there are no control nodes.
///
/// The result does not depend on the order of the addresses, so that agents with the same control
/// nodes select the same home.
pub fn home_of(flow: FlowId, controls: impl IntoIterator<Item = SocketAddr>) -> Option<SocketAddr> {
    let controls = controls.into_iter();
    controls.max_by_key(|control| (score(flow, *control), *control))
}

fn score(flow: FlowId, control: SocketAddr) -> u64 {
    let port = control.port().to_le_bytes();
    match control {
        SocketAddr::V4(address) => stable_hash(&[flow.as_bytes(), &address.ip().octets(), &port]),
        SocketAddr::V6(address) => stable_hash(&[flow.as_bytes(), &address.ip().octets(), &port]),
    }
}

/// Control nodes and their reachability, as seen by one agent.
#[derive(Debug, Clone, Default)]
pub struct HomeList {
    controls: Vec<SocketAddr>,
    /// Control nodes that did not answer, and the time until which each is avoided.
    avoid_until: BTreeMap<SocketAddr, ClockTime>,
}

impl HomeList {
    /// Creates a list in which all control nodes are reachable.
    pub fn new(controls: Vec<SocketAddr>) -> Self {
        Self {
            controls,
            avoid_until: BTreeMap::new(),
        }
    }

    /// Replaces the control nodes. Control nodes that are avoided remain so.
    pub fn set_controls(&mut self, controls: Vec<SocketAddr>) {
        self.controls = controls;
    }

    /// Home of a flow; `None` if no control node is reachable.
    pub fn home(&self, flow: FlowId, now: ClockTime) -> Option<SocketAddr> {
        let controls = self.controls.iter().copied();
        home_of(
            flow,
            controls.filter(|control| !self.is_avoided(*control, now)),
        )
    }

    /// Avoids a control node that did not answer, for [`AVOID_DURATION`]. Its flows move to the
    /// control node with the next highest hash.
    pub fn mark_unreachable(&mut self, control: SocketAddr, now: ClockTime) {
        self.avoid_until.insert(control, now + AVOID_DURATION);
    }

    fn is_avoided(&self, control: SocketAddr, now: ClockTime) -> bool {
        let until = self.avoid_until.get(&control);
        until.is_some_and(|until| now < *until)
    }
}
