//! Data types of a published plan.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use manifest::KeyHash;
use units::{
    ByteSize, MilliRate, OrganisationName, PlanNumber, RegionName, RouteName, ServiceName,
    SlotCount,
};

/// Time for which each stream may be continued. A plan that lowers a timeout applies to streams
/// that began before it, too.
const MIN_STREAM_LIFETIME: Duration = Duration::from_secs(30);

/// Time that a repeated request may need to arrive, beyond the time for which its caller waits.
const REPEAT_TRANSIT_TIME: Duration = Duration::from_secs(1);

units::data! {
    /// Whether a request that may have started to run may be sent to another target.
    #[derive(Copy)]
    pub enum RepeatRule {
        /// A request may run more than once.
        Repeatable,
        /// A request runs at most once; only the caller may repeat it.
        Once,
        /// The response is an event stream; the request runs at most once.
        Stream,
        /// The response is an event stream that another target may resume.
        ResumableStream,
    }

    /// Whether the requests of a route need a key. Stored plans contain the number of the variant.
    #[derive(Copy)]
    pub enum KeyRule {
        /// A request needs a key if the plan lists any organisation. Only plans that earlier versions have
        /// stored have this rule: they do not tell an empty list from a missing one.
        RequiredIfListed,
        /// A request may come without a key.
        Optional,
        /// A request needs a key.
        Required,
    }

    /// A service of a route and its relative weight.
    pub struct WeightedService {
        /// Name of the service.
        pub service: ServiceName,
        /// Share of the requests, relative to the weights of the route's other services.
        pub weight: u32,
    }

    /// Route that maps a host and a path prefix to services.
    pub struct RouteSpec {
        /// Name of the route.
        pub name: RouteName,
        /// Host in the requests of callers.
        pub host: String,
        /// Path prefix; begins and ends with a slash.
        pub prefix: String,
        /// Whether a request that may have started to run may be sent to another target.
        pub repeat: RepeatRule,
        /// Maximum time that a caller waits for the response, in milliseconds.
        pub timeout_ms: u64,
        /// Latency objective for the response or its first event, in milliseconds.
        pub objective_ms: u64,
        /// Latency objective for the interval between two events of a stream, in milliseconds.
        pub gap_ms: Option<u64>,
        /// Priority of the requests; 0 is the most urgent.
        pub priority: u32,
        /// Services that share the requests by weight.
        pub split: Vec<WeightedService>,
        /// Maximum number of targets to which one request may be sent.
        pub max_targets: u32,
        /// Whether the requests need a key.
        pub key_rule: KeyRule,
        /// Whether the requests of a session should go to the same target.
        pub affinity: bool,
        /// Regions that may serve the route; empty for all.
        pub regions: BTreeSet<RegionName>,
    }

    /// Maximum rate of requests to a cold target.
    #[derive(Copy)]
    pub struct ColdBound {
        /// Time for which a target is cold after its start, in milliseconds.
        pub duration_ms: u64,
        /// Maximum rate of requests of all callers together.
        pub rate: MilliRate,
    }

    /// Capacity of a model engine.
    #[derive(Copy)]
    pub struct EngineSpec {
        /// Maximum number of concurrent requests.
        pub slots: SlotCount,
        /// Size of the KV cache, in tokens.
        pub cache_tokens: u64,
        /// Number of tokens in one event of a stream.
        pub event_tokens: u32,
    }

    /// Properties that the targets of a service have in common.
    pub struct ServicePool {
        /// Path of the health check.
        pub health_path: String,
        /// Maximum number of connections that one target accepts.
        pub connections: u32,
        /// Maximum rate of requests to a cold target; `None` if a new target takes the full load.
        pub cold: Option<ColdBound>,
        /// Capacity of the model engine; `None` for a plain service.
        pub engine: Option<EngineSpec>,
    }

    /// Keys of an organisation, and the settings of its requests.
    pub struct OrganisationAccess {
        /// Hashes of the organisation's keys.
        pub keys: BTreeSet<KeyHash>,
        /// Priority that overrides the priority of the route.
        pub priority: Option<u32>,
        /// Regions that may serve the organisation; empty for all.
        pub regions: BTreeSet<RegionName>,
    }

    /// Bounds on the requests of callers, and the total token rate.
    #[derive(Copy)]
    pub struct CallerBounds {
        /// Maximum total size of header names and values.
        pub max_headers: ByteSize,
        /// Maximum size of a request body.
        pub max_body: ByteSize,
        /// Time within which the head of a request must arrive, in milliseconds.
        pub header_timeout_ms: u64,
        /// Time after which an idle connection is closed, in milliseconds.
        pub idle_timeout_ms: u64,
        /// Tokens that all targets together read and produce per second; `None` if not stated.
        pub tokens_per_second: Option<u64>,
    }

    /// Content of a plan.
    pub struct RoutePlan {
        /// Routes of all hosts.
        pub routes: Vec<RouteSpec>,
        /// Services to which routes may send requests.
        pub pools: BTreeMap<ServiceName, ServicePool>,
        /// Organisations that may call, and their keys.
        pub organisations: BTreeMap<OrganisationName, OrganisationAccess>,
        /// Bounds on the requests of callers, and the total token rate.
        pub bounds: CallerBounds,
    }

    /// A plan and the number that its operator gave it. The plan with the highest number is in
    /// force.
    pub struct PublishedPlan {
        /// Number that the operator gave to the plan.
        pub number: PlanNumber,
        /// Content of the plan.
        pub plan: RoutePlan,
    }
}

impl RoutePlan {
    /// Shortest latency objective of the routes to model engines; `None` without such routes.
    pub fn model_objective(&self) -> Option<Duration> {
        let has_engine = |part: &WeightedService| {
            let pool = self.pools.get(&part.service);
            pool.is_some_and(|pool| pool.engine.is_some())
        };
        let routes = self.routes.iter();
        let model_routes = routes.filter(|route| route.split.iter().any(has_engine));
        model_routes.map(RouteSpec::objective).min()
    }

    /// Maximum time from the first event of any stream for which its callers may continue it.
    pub fn max_stream_lifetime(&self) -> Duration {
        let resumable = self.routes.iter();
        let resumable = resumable.filter(|route| route.repeat == RepeatRule::ResumableStream);
        let longest = resumable.map(RouteSpec::max_stream_lifetime).max();
        longest.unwrap_or(MIN_STREAM_LIFETIME)
    }
}

impl RouteSpec {
    /// Time for which a stream may be continued whose caller waits for `remaining` from its first
    /// event on. Callers state any time.
    pub fn stream_lifetime(&self, remaining: Duration) -> Duration {
        let max = self.max_stream_lifetime();
        max.min(remaining.saturating_add(REPEAT_TRANSIT_TIME))
    }

    /// Maximum time from the first event of a stream for which its callers may continue it. Callers
    /// repeat requests within the timeout of the route.
    fn max_stream_lifetime(&self) -> Duration {
        MIN_STREAM_LIFETIME.max(self.timeout() * 2)
    }

    /// Maximum time that a caller waits for the response.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Latency objective for the response or its first event.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }
}

impl RepeatRule {
    /// Whether a request that may have started to run may be sent to another target.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
