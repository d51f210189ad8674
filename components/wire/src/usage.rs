//! Usage reports of agents, and the totals with which control nodes answer them.
//!
//! The control node that totals the usage of a flow is the home of the flow.

use std::fmt;

use units::{CostUnits, Incarnation, NodeName, ServiceName};

use crate::hash::stable_hash;
use crate::session::FlowKey;

units::data! {
    /// Hash of organisation and service that identifies a flow in usage messages.
    ///
    /// Stored as 8 bytes, since the variable-length integers of the codec take up to 10 bytes for
    /// a 64-bit hash.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct FlowId([u8; 8]);

    /// Activity of a flow at the reporting agent.
    #[derive(Copy)]
    pub enum FlowActivity {
        /// The agent holds offers of the flow, reports it in each round and needs its total.
        Waiting,
        /// Requests of the flow are running, and no offers are held.
        Running,
        /// No offers are held and no requests are running. The flow is not reported again until it
        /// is active.
        Idle,
    }

    /// Service that a flow has received from one agent.
    pub struct FlowUsage {
        /// Flow that received the service.
        pub flow: FlowId,
        /// Cumulative service since the agent's process started.
        pub count: CostUnits,
        /// Largest fleet-wide total that the agent has received.
        pub known_total: CostUnits,
        /// Part of `count` that is certainly not included in `known_total`.
        pub unpublished_count: CostUnits,
        /// Total to which the home must raise the flow because it was idle at the agent, if any.
        pub raise_to: Option<CostUnits>,
        /// Current activity of the flow at the agent.
        pub activity: FlowActivity,
    }

    /// Cumulative usage counters of one agent, sent to the home of the flows.
    pub struct UsageReport {
        /// Name of the reporting agent.
        pub reporter: NodeName,
        /// Incarnation of the agent's process.
        pub incarnation: Incarnation,
        /// Interval between two reports of the agent, in milliseconds.
        pub interval_ms: u64,
        /// Service of the agent's target.
        pub service: ServiceName,
        /// Virtual time of the service at the agent.
        pub virtual_time: u64,
        /// Usage of each reported flow.
        pub flows: Vec<FlowUsage>,
    }

    /// Service that a flow has received from all agents.
    ///
    /// Totals never decrease, so receivers keep the largest one.
    pub struct FlowTotal {
        /// Flow that received the service.
        pub flow: FlowId,
        /// Service received, in cost units and not divided by the weight of the flow.
        pub total: CostUnits,
        /// Whether the flow is backlogged at another agent, which therefore uses its total.
        pub is_backlogged_elsewhere: bool,
    }

    /// Reply of the home to a [`UsageReport`].
    pub struct UsageTotals {
        /// Totals of the reported flows that have waiting requests at any agent.
        pub totals: Vec<FlowTotal>,
        /// Virtual time of the service at the home.
        pub virtual_time: u64,
    }
}

impl FlowId {
    /// Computes the id of a flow, which is the same in every process.
    pub fn of(flow: &FlowKey) -> Self {
        let (organisation, service) = (flow.organisation.as_str(), flow.service.as_str());
        let hash = stable_hash(&[organisation.as_bytes(), service.as_bytes()]);
        Self(hash.to_le_bytes())
    }

    /// Hash in little-endian byte order.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", u64::from_le_bytes(self.0))
    }
}

impl FlowActivity {
    /// Whether the agent needs the total of the flow.
    pub fn wants_total(self) -> bool {
        self == Self::Waiting
    }
}
