//! Demand of flows, and the shares that follow from it.

use units::{CostUnits, FlowWeight, Incarnation, NodeName, ServiceName};

use crate::usage::FlowId;

units::data! {
    /// What one flow has asked at an entry since the entry's last report.
    pub struct FlowDemand {
        /// The flow.
        pub flow: FlowId,
        /// Its share relative to others.
        pub weight: FlowWeight,
        /// Cost of the requests.
        pub requested: CostUnits,
    }

    /// Demand at one entry, sent to the home of the service.
    pub struct DemandReport {
        /// The entry.
        pub reporter: NodeName,
        /// Start of the entry's process.
        pub incarnation: Incarnation,
        /// The service that is asked.
        pub service: ServiceName,
        /// Time since the last report, in milliseconds.
        pub interval_ms: u64,
        /// Flows with requests in the last seconds.
        pub flows: Vec<FlowDemand>,
        /// Cost of the requests that were let through.
        pub granted: CostUnits,
        /// Cost of the requests whose answers were begun.
        pub served: CostUnits,
        /// Answers that were begun, and requests that wait for theirs.
        pub answers: u64,
        /// Sum of their times to the first byte, each in thousandths of its latency objective.
        pub lateness_permille: u64,
    }

    /// What an entry may let through of a flow.
    pub struct FlowAllowance {
        /// The flow.
        pub flow: FlowId,
        /// Cost of requests a second; none if all that the flow asks is within its share.
        pub rate: Option<CostUnits>,
    }

    /// Answer to a [`DemandReport`].
    pub struct ShareReply {
        /// Allowances of the flows of the report.
        pub flows: Vec<FlowAllowance>,
    }
}
