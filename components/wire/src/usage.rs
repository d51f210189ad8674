//! Usage reports between entries.

use units::{CostUnits, Incarnation, NodeName, ServiceName};

use crate::session::{FlowKey, FlowTotal};

units::data! {
    /// Service that one reporter has given to a flow.
    pub struct FlowUsage {
        /// The flow.
        pub flow: FlowKey,
        /// Cumulative count since the reporter started.
        pub count: CostUnits,
        /// Largest fleet-wide total that the reporter knows.
        pub known_total: CostUnits,
    }

    /// Cumulative counts of one entry, sent to the home of the flows.
    pub struct UsageReport {
        /// The reporter.
        pub reporter: NodeName,
        /// Start of the reporter's process.
        pub incarnation: Incarnation,
        /// Counts of active flows.
        pub flows: Vec<FlowUsage>,
        /// Virtual time of each service as the reporter knows it.
        pub virtual_times: Vec<(ServiceName, u64)>,
    }

    /// Answer of the home: fleet-wide totals of the reported flows.
    pub struct UsageTotals {
        /// The totals.
        pub totals: Vec<FlowTotal>,
        /// Virtual time of each service as the home knows it.
        pub virtual_times: Vec<(ServiceName, u64)>,
    }
}
