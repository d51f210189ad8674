//! Content of a published plan.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use manifest::KeyHash;
use units::{
    ByteSize, MilliRate, OrganisationName, PlanNumber, RegionName, RouteName, ServiceName,
    SlotCount,
};

units::data! {
    /// What may be repeated on a route.
    #[derive(Copy)]
    pub enum RepeatRule {
        /// A request may run more than once.
        Repeatable,
        /// A request runs at most once for each attempt of its caller.
        Once,
        /// The response is an event stream, which runs at most once.
        Stream,
        /// The response is an event stream that another target may go on with.
        ResumableStream,
    }

    /// A service of a route and its part of the requests.
    pub struct WeightedService {
        /// The service.
        pub service: ServiceName,
        /// Part of the requests, relative to the other services of the route.
        pub weight: u32,
    }

    /// Route from a host and a path prefix to services.
    pub struct RouteSpec {
        /// Name of the route.
        pub name: RouteName,
        /// Host that callers name.
        pub host: String,
        /// Prefix of the path; begins and ends with a slash.
        pub prefix: String,
        /// What may be repeated.
        pub repeat: RepeatRule,
        /// Longest time that a caller is kept waiting, in milliseconds.
        pub timeout_ms: u64,
        /// Latency objective: time to the response or the first event, in milliseconds.
        pub objective_ms: u64,
        /// Longest pause between two events of a stream that is on time, in milliseconds.
        pub gap_ms: Option<u64>,
        /// Rank; 0 is the most urgent.
        pub priority: u32,
        /// Services and their parts of the requests.
        pub split: Vec<WeightedService>,
        /// Most targets that one request may be sent to.
        pub max_targets: u32,
        /// Whether a request needs no key.
        pub anonymous: bool,
        /// Whether requests of one session are served best by the same target.
        pub affinity: bool,
        /// Regions that may serve the route; empty for all.
        pub regions: BTreeSet<RegionName>,
    }

    /// Bound on the requests to a cold target.
    #[derive(Copy)]
    pub struct ColdBound {
        /// Time for which a target that starts is cold, in milliseconds.
        pub duration_ms: u64,
        /// Requests that a cold target tolerates, over all callers.
        pub rate: MilliRate,
    }

    /// What a model engine can hold.
    #[derive(Copy)]
    pub struct EngineSpec {
        /// Requests that run at once.
        pub slots: SlotCount,
        /// Tokens that fit into its cache.
        pub cache_tokens: u64,
        /// Tokens in one event of a stream.
        pub event_tokens: u32,
    }

    /// A service and its targets' properties.
    pub struct ServicePool {
        /// Path of the targets' health check.
        pub health_path: String,
        /// Connections that one target accepts from all callers.
        pub connections: u32,
        /// Bound on the requests to a cold target; none if a new target takes full load.
        pub cold: Option<ColdBound>,
        /// The model engine; none for a plain service.
        pub engine: Option<EngineSpec>,
    }

    /// Keys of an organisation and where it may be served.
    pub struct OrganisationAccess {
        /// Hashes of its keys.
        pub keys: BTreeSet<KeyHash>,
        /// Rank that goes before that of a route.
        pub priority: Option<u32>,
        /// Regions that may serve it; empty for all.
        pub regions: BTreeSet<RegionName>,
    }

    /// Bounds on what callers send.
    #[derive(Copy)]
    pub struct CallerBounds {
        /// Largest sum of header names and values.
        pub max_headers: ByteSize,
        /// Largest body.
        pub max_body: ByteSize,
        /// Longest time in which the head of a request must arrive, in milliseconds.
        pub header_timeout_ms: u64,
        /// Time for which a connection may stay idle, in milliseconds.
        pub idle_timeout_ms: u64,
        /// Tokens that all targets together read and produce each second; none if not stated.
        pub tokens_per_second: Option<u64>,
    }

    /// Whole content of a published plan.
    pub struct RoutePlan {
        /// Routes.
        pub routes: Vec<RouteSpec>,
        /// Services.
        pub pools: BTreeMap<ServiceName, ServicePool>,
        /// Organisations; without any, no route needs a key.
        pub organisations: BTreeMap<OrganisationName, OrganisationAccess>,
        /// Bounds on what callers send.
        pub bounds: CallerBounds,
    }

    /// A plan and the number that its operator gave it. The highest number is in force.
    pub struct PublishedPlan {
        /// Number of the plan.
        pub number: PlanNumber,
        /// Its content.
        pub plan: RoutePlan,
    }
}

impl RouteSpec {
    /// Longest time that a caller is kept waiting.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Latency objective.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }
}

impl RepeatRule {
    /// Whether a request whose run may have begun can be sent to another target.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
