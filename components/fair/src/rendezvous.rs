//! Choice of a flow's home by rendezvous hash over the control nodes that answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use units::ClockTime;
use wire::{FlowId, stable_hash};

/// Time for which a control node that did not answer is passed over.
pub const SKIP_DURATION: Duration = Duration::from_secs(2);

/// The control node that sums the usage of a flow, none without control nodes.
///
/// All agents list the same addresses, so they choose the same home.
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

/// Control nodes as one agent sees them.
#[derive(Debug, Clone, Default)]
pub struct HomeList {
    controls: Vec<SocketAddr>,
    /// Control nodes that did not answer, and until when they are passed over.
    skipped: BTreeMap<SocketAddr, ClockTime>,
}

impl HomeList {
    /// Creates a list of control nodes that are all taken to answer.
    pub fn new(controls: Vec<SocketAddr>) -> Self {
        Self {
            controls,
            skipped: BTreeMap::new(),
        }
    }

    /// Takes over the present control nodes.
    pub fn set_controls(&mut self, controls: Vec<SocketAddr>) {
        self.controls = controls;
    }

    /// The home of a flow, none if no control node answers.
    pub fn home(&self, flow: FlowId, now: ClockTime) -> Option<SocketAddr> {
        let controls = self.controls.iter().copied();
        home_of(
            flow,
            controls.filter(|control| !self.is_skipped(*control, now)),
        )
    }

    /// Notes that a control node did not answer: its flows go to the next in their order.
    pub fn mark_unreachable(&mut self, control: SocketAddr, now: ClockTime) {
        self.skipped.insert(control, now + SKIP_DURATION);
    }

    fn is_skipped(&self, control: SocketAddr, now: ClockTime) -> bool {
        let until = self.skipped.get(&control);
        until.is_some_and(|until| now < *until)
    }
}
