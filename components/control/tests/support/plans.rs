//! Published plans of many routes, with names and keys as operators have them.

use manifest::KeyHash;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routes::{
    CallerBounds, KeyRule, OrganisationAccess, PublishedPlan, RepeatRule, RoutePlan, RouteSpec,
    ServicePool, WeightedService,
};
use units::{ByteSize, PlanNumber};

/// Plan with the given numbers of routes and keys, and its source text.
pub(crate) fn plan_of(number: u64, routes: usize, keys: usize) -> (PublishedPlan, String) {
    let mut random = StdRng::seed_from_u64(7);
    let routes: Vec<_> = (0..routes).map(|index| route(index, &mut random)).collect();
    let organisations = (0..keys).map(|index| {
        let access = OrganisationAccess {
            keys: [KeyHash(random.random())].into(),
            priority: None,
            regions: Default::default(),
        };
        (format!("tenant-{index}").as_str().into(), access)
    });
    let pool = ServicePool {
        health_path: "/healthz".into(),
        connections: 64,
        cold: None,
        engine: None,
    };
    let plan = RoutePlan {
        organisations: organisations.collect(),
        pools: [("advice".into(), pool)].into(),
        bounds: CallerBounds {
            max_headers: ByteSize(16_384),
            max_body: ByteSize(1 << 20),
            header_timeout_ms: 5_000,
            idle_timeout_ms: 30_000,
            tokens_per_second: None,
        },
        routes,
    };
    let text = plan.routes.iter().map(text_of).collect();
    let number = PlanNumber(number);
    (PublishedPlan { number, plan }, text)
}

fn route(index: usize, random: &mut StdRng) -> RouteSpec {
    RouteSpec {
        name: format!("route-{index:04}").as_str().into(),
        host: format!("t{}.api.example.net", random.random_range(0..400)),
        prefix: format!("/v1/complete/{:06x}/", random.random::<u32>() >> 8),
        repeat: RepeatRule::Repeatable,
        timeout_ms: random.random_range(1_000..20_000),
        objective_ms: random.random_range(100..1_000),
        gap_ms: None,
        priority: 1,
        split: vec![WeightedService {
            service: "advice".into(),
            weight: 1,
        }],
        max_targets: 2,
        key_rule: KeyRule::Optional,
        affinity: false,
        regions: ["bohemia".into()].into(),
    }
}

/// A route as an operator writes it.
fn text_of(route: &RouteSpec) -> String {
    format!(
        r#"{{"name":"{}","host":"{}","pathPrefix":"{}","kind":"idempotent","timeoutMs":{},
        "targetLatencyMs":{},"priority":1,"service":"advice","maxAttempts":2,"allowAnonymous":true,
        "sessionAffinity":false,"allowedRegions":["bohemia"]}},"#,
        route.name, route.host, route.prefix, route.timeout_ms, route.objective_ms
    )
}
