//! What makes a plan invalid.

use std::collections::{BTreeMap, BTreeSet};

use manifest::KeyHash;
use thiserror::Error;
use units::{OrganisationName, RouteName, ServiceName};

use crate::plan::{RoutePlan, RouteSpec};

/// Fault of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanFault {
    /// A route names a service that the plan does not list.
    #[error("route {route} names service {service}, which is not listed")]
    UnknownService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("route {route} has host {host} and prefix {prefix} of another route")]
    DuplicateRoute {
        /// The later route.
        route: RouteName,
        /// Host of both.
        host: String,
        /// Prefix of both.
        prefix: String,
    },
    /// The prefix of a route does not begin and end with a slash.
    #[error("route {route} has prefix {prefix:?}, which does not begin and end with a slash")]
    MalformedPrefix {
        /// The route.
        route: RouteName,
        /// The prefix.
        prefix: String,
    },
    /// A route sends its requests nowhere.
    #[error("route {0} has weights that add up to 0")]
    NoWeight(RouteName),
    /// A route leaves its callers no time.
    #[error("route {0} has a timeout of 0 ms")]
    NoTime(RouteName),
    /// Two organisations have the same key.
    #[error("organisations {first} and {second} share a key")]
    SharedKey {
        /// One of them.
        first: OrganisationName,
        /// The other one.
        second: OrganisationName,
    },
}

impl RoutePlan {
    /// All faults of the plan; empty if it may be put in force.
    pub fn faults(&self) -> Vec<PlanFault> {
        let mut faults = Vec::new();
        let mut places = BTreeSet::new();
        for route in &self.routes {
            self.check_route(route, &mut faults);
            if !places.insert((&route.host, &route.prefix)) {
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
            faults.push(PlanFault::NoWeight(route.name.clone()));
        }
        if route.timeout_ms == 0 {
            faults.push(PlanFault::NoTime(route.name.clone()));
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
