//! Published routes.
//!
//! An operator may publish a whole [`RoutePlan`] under a number of its own. Its routes map hosts and
//! path prefixes to services; its keys name the organisations that may call. [`RoutePlan::faults`]
//! finds what makes a plan invalid before anything of it is in force, and [`RouteIndex`] answers the
//! questions of a request.

mod check;
mod index;
mod plan;

pub use check::PlanFault;
pub use index::{KeyHolder, RouteIndex, RouteMatch};
pub use plan::{
    CallerBounds, ColdBound, EngineSpec, OrganisationAccess, PublishedPlan, RepeatRule, RoutePlan,
    RouteSpec, ServicePool, WeightedService,
};
