//! Usage reports of agents to the homes of flows, and the answers.

use std::fmt;

use units::{CostUnits, Incarnation, NodeName, ServiceName};

use crate::hash::stable_hash;
use crate::session::FlowKey;

units::data! {
    /// Hash of organisation and service that names a flow in usage messages.
    ///
    /// Bytes and no integer: the codec writes 64 random bits as 10 bytes otherwise.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct FlowId([u8; 8]);

    /// What a flow does at a reporter.
    #[derive(Copy)]
    pub enum FlowActivity {
        /// Offers of the flow are held: its total is wanted, and it is reported in each round.
        Waiting,
        /// Requests of the flow run.
        Running,
        /// Neither; this is the flow's last count for now.
        Idle,
    }

    /// Service that one reporter has given to a flow.
    pub struct FlowUsage {
        /// The flow.
        pub flow: FlowId,
        /// Cumulative count since the reporter started.
        pub count: CostUnits,
        /// Largest fleet-wide total that the reporter knows.
        pub known_total: CostUnits,
        /// Part of the count that the known total certainly lacks.
        pub uncounted: CostUnits,
        /// Total to which the flow is to be raised since it was idle at the reporter.
        pub raise_to: Option<CostUnits>,
        /// What the flow does at the reporter.
        pub activity: FlowActivity,
    }

    /// Cumulative counts of one agent, sent to the home of the flows.
    pub struct UsageReport {
        /// The reporter.
        pub reporter: NodeName,
        /// Start of the reporter's process.
        pub incarnation: Incarnation,
        /// Time between two of the reporter's rounds, in milliseconds.
        pub interval_ms: u64,
        /// The service that the reporter's target serves.
        pub service: ServiceName,
        /// Virtual time of the service as the reporter knows it.
        pub virtual_time: u64,
        /// Counts.
        pub flows: Vec<FlowUsage>,
    }

    /// Service that a flow has received in the whole fleet.
    ///
    /// Totals only grow, so a receiver keeps the largest that it has seen.
    pub struct FlowTotal {
        /// The flow.
        pub flow: FlowId,
        /// Service received, in cost units and not divided by the weight.
        pub total: CostUnits,
        /// Whether another reporter holds offers of the flow, so that its total is in use there.
        pub is_used_elsewhere: bool,
    }

    /// Answer of the home to a [`UsageReport`].
    pub struct UsageTotals {
        /// Totals of the reported flows that wait at the reporter or elsewhere.
        pub totals: Vec<FlowTotal>,
        /// Virtual time of the reporter's service as the home knows it.
        pub virtual_time: u64,
    }
}

impl FlowId {
    /// The id of a flow, the same in every process.
    pub fn of(flow: &FlowKey) -> Self {
        let (organisation, service) = (flow.organisation.as_str(), flow.service.as_str());
        let hash = stable_hash(&[organisation.as_bytes(), service.as_bytes()]);
        Self(hash.to_le_bytes())
    }

    /// The bytes of the hash.
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
    /// Whether the reporter wants the flow's total.
    pub fn wants_total(self) -> bool {
        self == Self::Waiting
    }
}
