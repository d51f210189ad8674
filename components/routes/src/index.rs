//! Lookup of the route and the key of a request.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use manifest::KeyHash;
use thiserror::Error;
use units::{OrganisationName, PlanNumber, RegionName, ServiceName};

use crate::plan::{KeyRule, PublishedPlan, RoutePlan, RouteSpec};

/// Organisation that holds a key, and its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// Name of the organisation.
    pub organisation: OrganisationName,
    /// Priority that overrides the priority of the route.
    pub priority: Option<u32>,
    /// Regions that may serve the organisation; empty for all.
    pub regions: BTreeSet<RegionName>,
}

/// Key that a request states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedKey {
    /// The request has no key.
    Missing,
    /// The request states a key that cannot be read, or several.
    Unreadable,
    /// The request has the key with this hash.
    Hash(KeyHash),
}

/// Refusal of a request whose key no organisation holds, or that has none and needs one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("unknown or missing key")]
pub struct UnknownKey;

/// A plan, indexed by host and by key hash.
#[derive(Debug)]
pub struct RouteIndex {
    /// Number of the plan.
    pub number: PlanNumber,
    /// Indexed plan.
    pub plan: RoutePlan,
    /// Routes of each host in lower case, longest prefix first.
    hosts: HashMap<String, Vec<Arc<RouteSpec>>>,
    holders: HashMap<KeyHash, Arc<KeyHolder>>,
}

/// Route that matches a request; shared with the index.
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

    /// Route of the host with the longest prefix that matches the path. The case of the host and a
    /// port in it are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteMatch> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        let found = routes.iter().find(|route| path.starts_with(&route.prefix));
        found.cloned()
    }

    /// Organisation of a request by its key; `None` for a request without a key on a route that allows it.
    ///
    /// A key that is stated must be held, also where none is needed: it may have been taken away.
    pub fn check_key(
        &self,
        route: &RouteSpec,
        key: StatedKey,
    ) -> Result<Option<Arc<KeyHolder>>, UnknownKey> {
        match key {
            StatedKey::Missing if !self.requires_key(route) => Ok(None),
            StatedKey::Missing | StatedKey::Unreadable => Err(UnknownKey),
            StatedKey::Hash(hash) => self.holder(&hash).map(Some).ok_or(UnknownKey),
        }
    }

    /// Organisation that holds a key; `None` if the key is unknown.
    pub fn holder(&self, key: &KeyHash) -> Option<Arc<KeyHolder>> {
        self.holders.get(key).cloned()
    }

    fn requires_key(&self, route: &RouteSpec) -> bool {
        match route.key_rule {
            KeyRule::Required => true,
            KeyRule::Optional => false,
            KeyRule::RequiredIfListed => !self.plan.organisations.is_empty(),
        }
    }
}

impl RouteSpec {
    /// Selects the service of a request by weight; `None` if all weights are 0.
    ///
    /// `draw` must be uniformly distributed over the requests: for example a random number or a
    /// hash.
    pub fn service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut remaining = draw.checked_rem(total)?;
        for part in &self.split {
            let weight = u64::from(part.weight);
            if remaining < weight {
                return Some(&part.service);
            }
            remaining -= weight;
        }
        None
    }
}
