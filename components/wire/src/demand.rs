//! Reports of entries: their demand, the crashes that they have observed, the load that they put on
//! targets, and what they have counted of roll-outs.

use units::{
    AdmitFraction, ConfigVersion, CostUnits, FlowWeight, Incarnation, NodeName, ServiceName,
};

use crate::crash::{CrashReport, QuarantineReply};
use crate::load::{LoadReply, LoadReport};
use crate::rollout::RolloutCounts;
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
        /// Part of `requested` whose callers were refused before and have missed their objective.
        pub overdue: CostUnits,
        /// Total cost of the requests that were sent to targets.
        pub granted: CostUnits,
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
        /// Newest estimate that another home has stated to the entry, for a home that has none.
        pub known_capacity: Option<KnownCapacity>,
    }

    /// Estimate of the capacity of a service, in cost units per second.
    #[derive(Copy)]
    pub struct KnownCapacity {
        /// Rate that is served in time.
        pub rate: CostUnits,
        /// Rate up to which the estimate grows fast.
        pub ceiling: CostUnits,
    }

    /// Parts of the requests of a flow that an entry admits.
    #[derive(Copy)]
    pub struct AdmittedParts {
        /// Part of the requests that are not overdue.
        pub timely: AdmitFraction,
        /// Part of the overdue requests.
        pub overdue: AdmitFraction,
    }

    /// What an entry may admit of a flow.
    pub struct FlowAllowance {
        /// Flow that the parts apply to.
        pub flow: FlowId,
        /// `None` if the flow's entire demand is within its share.
        pub parts: Option<AdmittedParts>,
    }

    /// Reply to a [`DemandReport`].
    pub struct ShareReply {
        /// Allowances of the reported flows.
        pub flows: Vec<FlowAllowance>,
        /// Estimate from which they follow; `None` while all demand is served.
        pub capacity: Option<KnownCapacity>,
    }

    /// Report of an entry to the control node that answers for the whole fleet.
    pub struct EntryReport {
        /// Demand since the last report.
        pub demand: DemandReport,
        /// Crashes of targets, and what clears requests of having caused them.
        pub crashes: CrashReport,
        /// Newest configuration version that the entry has installed.
        pub config: ConfigVersion,
        /// Counts on the roll-outs in progress; empty while there are none.
        pub rollouts: Vec<RolloutCounts>,
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
