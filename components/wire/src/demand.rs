//! Reports of entries: their demand, the crashes that they have observed, and the load that they put on
//! targets.

use units::{CostUnits, FlowWeight, Incarnation, NodeName, ServiceName};

use crate::crash::{CrashReport, QuarantineReply};
use crate::load::{LoadReply, LoadReport};
use crate::usage::FlowId;

units::data! {
    /// Demand of one flow at an entry since the entry's last report.
    pub struct FlowDemand {
        /// Flow that the demand belongs to.
        pub flow: FlowId,
        /// Weight of the flow's organisation relative to others.
        pub weight: FlowWeight,
        /// Total cost of the requests that callers made.
        pub requested: CostUnits,
    }

    /// Demand for one service at one entry, sent to the control node that computes its shares.
    pub struct DemandReport {
        /// Name of the reporting entry.
        pub reporter: NodeName,
        /// Incarnation of the entry's process.
        pub incarnation: Incarnation,
        /// Requested service.
        pub service: ServiceName,
        /// Time since the last report, in milliseconds.
        pub interval_ms: u64,
        /// Flows with requests within the last seconds.
        pub flows: Vec<FlowDemand>,
        /// Total cost of the admitted requests.
        pub granted: CostUnits,
        /// Total cost of the requests whose responses have started.
        pub served: CostUnits,
        /// Number of requests whose responses have started or are still awaited.
        pub answers: u64,
        /// Sum of the times to the first byte of these requests, each in thousandths of the
        /// request's latency objective.
        pub lateness_permille: u64,
    }

    /// Rate at which an entry may admit requests of a flow.
    pub struct FlowAllowance {
        /// Flow that the rate applies to.
        pub flow: FlowId,
        /// Cost units per second; `None` if the flow's entire demand is within its share.
        pub rate: Option<CostUnits>,
    }

    /// Reply to a [`DemandReport`].
    pub struct ShareReply {
        /// Allowances of the reported flows.
        pub flows: Vec<FlowAllowance>,
    }

    /// Report of an entry to the control node that answers for the whole fleet.
    pub struct EntryReport {
        /// Demand since the last report.
        pub demand: DemandReport,
        /// Crashes of targets, and what clears requests of having caused them.
        pub crashes: CrashReport,
        /// Load that the entry puts on targets; `None` if no service needs it.
        pub loads: Option<LoadReport>,
    }

    /// Reply to an [`EntryReport`].
    pub struct EntryReply {
        /// Allowances of the reported flows.
        pub shares: ShareReply,
        /// Requests that crash targets.
        pub quarantine: QuarantineReply,
        /// Loads over all entries, if the entry has reported its own.
        pub loads: Option<LoadReply>,
    }
}
