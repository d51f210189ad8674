//! Published routes.
//!
//! An operator may publish a complete [`RoutePlan`] under a number that it chooses. The routes map
//! hosts and path prefixes to services, and the keys identify the organisations that may call.
//! [`RoutePlan::faults`] validates a plan before any part of it is in force, and [`RouteIndex`]
//! looks up the route and the key of a request.

mod check;
mod index;
mod plan;

pub use check::PlanFault;
pub use index::{KeyHolder, RouteIndex, RouteMatch, StatedKey, UnknownKey};
pub use plan::{
    CallerBounds, ColdBound, EngineSpec, KeyRule, OrganisationAccess, PublishedPlan, RepeatRule,
    RoutePlan, RouteSpec, ServicePool, WeightedService,
};
