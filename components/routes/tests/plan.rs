//! Validation of plans, and lookups of routes and keys.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use manifest::KeyHash;
use routes::{
    CallerBounds, KeyRule, OrganisationAccess, PlanFault, PublishedPlan, RepeatRule, RouteIndex,
    RoutePlan, RouteSpec, ServicePool, WeightedService,
};
use rstest::rstest;
use units::{ByteSize, PlanNumber};

fn part(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.into(),
        weight,
    }
}

fn route(name: &str, prefix: &str, split: Vec<WeightedService>) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: "mill.example".into(),
        prefix: prefix.into(),
        repeat: RepeatRule::Once,
        timeout_ms: 1_000,
        objective_ms: 300,
        gap_ms: None,
        priority: 1,
        split,
        max_targets: 1,
        key_rule: KeyRule::Required,
        affinity: false,
        regions: BTreeSet::new(),
    }
}

fn pool() -> ServicePool {
    ServicePool {
        health_path: "/health".into(),
        connections: 10,
        cold: None,
        engine: None,
    }
}

fn access(keys: &[u8]) -> OrganisationAccess {
    OrganisationAccess {
        keys: keys.iter().map(|key| KeyHash([*key; 32])).collect(),
        priority: None,
        regions: BTreeSet::new(),
    }
}

fn plan(routes: Vec<RouteSpec>) -> RoutePlan {
    RoutePlan {
        routes,
        pools: BTreeMap::from([("visits".into(), pool()), ("records".into(), pool())]),
        organisations: BTreeMap::from([
            ("mlyn-hora".into(), access(&[1, 2])),
            ("mlyn-dol".into(), access(&[3])),
        ]),
        bounds: CallerBounds {
            max_headers: ByteSize(1 << 14),
            max_body: ByteSize(1 << 22),
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
            tokens_per_second: None,
        },
    }
}

fn index(plan: RoutePlan) -> RouteIndex {
    RouteIndex::new(&PublishedPlan {
        number: PlanNumber(7),
        plan,
    })
}

#[test]
fn valid_plan_has_no_faults() {
    let valid = plan(vec![
        route("a", "/a/", vec![part("visits", 1)]),
        route("b", "/b/", vec![part("visits", 0), part("records", 3)]),
    ]);

    assert_eq!(valid.faults(), []);
}

/// Guards against a plan in force that has a route without a service, two routes of one host and
/// prefix, a timeout of 0 ms or a prefix without a leading or trailing slash.
#[rstest]
#[case::unknown_service(route("a", "/a/", vec![part("nothing", 1)]), PlanFault::UnknownService {
    route: "a".into(),
    service: "nothing".into(),
})]
#[case::zero_weight(route("a", "/a/", vec![part("visits", 0)]), PlanFault::ZeroWeight("a".into()))]
#[case::no_service(route("a", "/a/", vec![]), PlanFault::ZeroWeight("a".into()))]
#[case::zero_timeout(
    RouteSpec { timeout_ms: 0, ..route("a", "/a/", vec![part("visits", 1)]) },
    PlanFault::ZeroTimeout("a".into())
)]
#[case::duplicate_route(route("a", "/first/", vec![part("visits", 1)]), PlanFault::DuplicateRoute {
    route: "a".into(),
    host: "mill.example".into(),
    prefix: "/first/".into(),
})]
#[case::malformed_prefix(route("a", "/a", vec![part("visits", 1)]), PlanFault::MalformedPrefix {
    route: "a".into(),
    prefix: "/a".into(),
})]
fn invalid_route_is_reported(#[case] invalid: RouteSpec, #[case] expected: PlanFault) {
    let first = route("first", "/first/", vec![part("visits", 1)]);

    let faults = plan(vec![first, invalid]).faults();

    assert_eq!(faults, [expected]);
}

/// Guards against a key that identifies two organisations.
#[test]
fn shared_key_is_reported() {
    let mut shared = plan(vec![]);
    shared
        .organisations
        .insert("pekarna".into(), access(&[2, 9]));

    assert_eq!(
        shared.faults(),
        [PlanFault::SharedKey {
            first: "mlyn-hora".into(),
            second: "pekarna".into(),
        }]
    );
}

#[rstest]
#[case("mill.example", "/a/x", Some("short"))]
#[case("mill.example", "/a/b/x", Some("long"))]
#[case("MILL.example:8080", "/a/b/", Some("long"))]
#[case("mill.example", "/a", None)]
#[case("other.example", "/a/x", None)]
fn longest_prefix_of_the_host_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let index = index(plan(vec![
        route("short", "/a/", vec![part("visits", 1)]),
        route("long", "/a/b/", vec![part("visits", 1)]),
    ]));

    let found = index.find(host, path);

    assert_eq!(found.as_ref().map(|route| route.name.as_str()), expected);
}

/// Guards against a service that gets more or fewer requests than its weight.
#[test]
fn draws_are_split_by_weight() {
    let split = route("a", "/a/", vec![part("visits", 90), part("records", 10)]);

    let visits = (0..1_000)
        .filter(|draw| {
            split
                .service(*draw)
                .is_some_and(|name| name.as_str() == "visits")
        })
        .count();

    assert_eq!(visits, 900);
}

#[test]
fn keys_identify_their_organisations() {
    let index = index(plan(vec![]));

    let holder = |key| {
        let holder = index.holder(&KeyHash([key; 32]));
        holder.map(|holder| holder.organisation.to_string())
    };

    assert_eq!(holder(2).as_deref(), Some("mlyn-hora"));
    assert_eq!(holder(3).as_deref(), Some("mlyn-dol"));
    assert_eq!(holder(4), None);
}

/// Guards against memory of control nodes that a caller fills by stating that it waits for hours,
/// and against streams that are forgotten while their callers wait.
#[test]
fn stream_is_remembered_while_its_caller_waits_within_a_bound() {
    let mut short = route("short", "/short/", vec![part("visits", 1)]);
    let mut long = route("long", "/long/", vec![part("visits", 1)]);
    for route in [&mut short, &mut long] {
        route.repeat = RepeatRule::ResumableStream;
    }
    long.timeout_ms = 60_000;
    let seconds = Duration::from_secs;

    let lifetimes = [
        short.stream_lifetime(seconds(3)),
        short.stream_lifetime(Duration::MAX),
        long.stream_lifetime(Duration::MAX),
    ];
    let max_lifetime = plan(vec![short, long]).max_stream_lifetime();

    assert_eq!(lifetimes, [seconds(4), seconds(30), seconds(120)]);
    assert_eq!(max_lifetime, seconds(120));
}
