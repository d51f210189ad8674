//! Lookup of routes and keys.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use manifest::KeyHash;
use units::{OrganisationName, PlanNumber, RegionName, ServiceName};

use crate::plan::{PublishedPlan, RoutePlan, RouteSpec};

/// Holder of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Rank that goes before that of a route.
    pub priority: Option<u32>,
    /// Regions that may serve the organisation; empty for all.
    pub regions: BTreeSet<RegionName>,
}

/// A plan that is ready for lookups.
#[derive(Debug)]
pub struct RouteIndex {
    /// Number of the plan.
    pub number: PlanNumber,
    /// The plan.
    pub plan: RoutePlan,
    /// Routes of each host, those with longer prefixes first.
    hosts: HashMap<String, Vec<Arc<RouteSpec>>>,
    holders: HashMap<KeyHash, Arc<KeyHolder>>,
}

/// The route of a request.
pub type RouteMatch = Arc<RouteSpec>;

impl RouteIndex {
    /// Builds the index of a plan.
    pub fn new(published: &PublishedPlan) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RouteSpec>>> = HashMap::new();
        for route in &published.plan.routes {
            let routes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut holders = HashMap::new();
        for (name, access) in &published.plan.organisations {
            let holder = Arc::new(KeyHolder {
                organisation: name.clone(),
                priority: access.priority,
                regions: access.regions.clone(),
            });
            holders.extend(access.keys.iter().map(|key| (*key, holder.clone())));
        }
        Self {
            number: published.number,
            plan: published.plan.clone(),
            hosts,
            holders,
        }
    }

    /// The route with the longest prefix of a path at a host. A port in the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteMatch> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        let found = routes.iter().find(|route| path.starts_with(&route.prefix));
        found.cloned()
    }

    /// The holder of a key.
    pub fn holder(&self, key: &KeyHash) -> Option<Arc<KeyHolder>> {
        self.holders.get(key).cloned()
    }

    /// Whether requests need a key, unless their route is anonymous.
    pub fn requires_keys(&self) -> bool {
        !self.plan.organisations.is_empty()
    }
}

impl RouteSpec {
    /// The service for a request, by its draw: a number that is spread evenly over requests.
    pub fn service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for part in &self.split {
            let weight = u64::from(part.weight);
            if left < weight {
                return Some(&part.service);
            }
            left -= weight;
        }
        None
    }
}
