//! Validation of plans.

use std::collections::{BTreeMap, BTreeSet};

use manifest::KeyHash;
use thiserror::Error;
use units::{OrganisationName, RouteName, ServiceName};

use crate::plan::{RoutePlan, RouteSpec};

/// Reason why a plan is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanFault {
    /// A route names a service that the plan does not list.
    #[error("route {route} names service {service}, which is not listed")]
    UnknownService {
        /// Name of the route.
        route: RouteName,
        /// Service that the plan does not list.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("route {route} has host {host} and prefix {prefix} of another route")]
    DuplicateRoute {
        /// Name of the second of the two routes.
        route: RouteName,
        /// Host of both routes.
        host: String,
        /// Prefix of both routes.
        prefix: String,
    },
    /// The prefix of a route does not begin and end with a slash.
    #[error("route {route} has prefix {prefix:?}, which does not begin and end with a slash")]
    MalformedPrefix {
        /// Name of the route.
        route: RouteName,
        /// Prefix of the route.
        prefix: String,
    },
    /// A route lists no service, or only services of weight 0.
    #[error("route {0} has weights that add up to 0")]
    ZeroWeight(RouteName),
    /// The timeout of a route is 0 ms.
    #[error("route {0} has a timeout of 0 ms")]
    ZeroTimeout(RouteName),
    /// Two organisations have the same key.
    #[error("organisations {first} and {second} share a key")]
    SharedKey {
        /// First of the two organisations.
        first: OrganisationName,
        /// Second of the two organisations.
        second: OrganisationName,
    },
}

impl RoutePlan {
    /// All faults of the plan; empty if the plan is valid.
    pub fn faults(&self) -> Vec<PlanFault> {
        let mut faults = Vec::new();
        let mut locations = BTreeSet::new();
        for route in &self.routes {
            self.check_route(route, &mut faults);
            if !locations.insert((&route.host, &route.prefix)) {
                faults.push(PlanFault::DuplicateRoute {
                    route: route.name.clone(),
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
        }
        self.check_keys(&mut faults);
        faults
    }

    fn check_route(&self, route: &RouteSpec, faults: &mut Vec<PlanFault>) {
        for part in &route.split {
            if !self.pools.contains_key(&part.service) {
                faults.push(PlanFault::UnknownService {
                    route: route.name.clone(),
                    service: part.service.clone(),
                });
            }
        }
        if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
            faults.push(PlanFault::MalformedPrefix {
                route: route.name.clone(),
                prefix: route.prefix.clone(),
            });
        }
        if route.split.iter().all(|part| part.weight == 0) {
            faults.push(PlanFault::ZeroWeight(route.name.clone()));
        }
        if route.timeout_ms == 0 {
            faults.push(PlanFault::ZeroTimeout(route.name.clone()));
        }
    }

    fn check_keys(&self, faults: &mut Vec<PlanFault>) {
        let mut holders: BTreeMap<&KeyHash, &OrganisationName> = BTreeMap::new();
        for (name, access) in &self.organisations {
            for key in &access.keys {
                if let Some(first) = holders.insert(key, name) {
                    faults.push(PlanFault::SharedKey {
                        first: first.clone(),
                        second: name.clone(),
                    });
                }
            }
        }
    }
}
