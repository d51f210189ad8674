//! Names of hosts, data centres, organisations, targets and services.

use crate as units;

crate::name!(
    /// Name of a region.
    RegionName
);
crate::name!(
    /// Name of a data centre.
    DataCentreName
);
crate::name!(
    /// Name of an organisation.
    OrganisationName
);
crate::name!(
    /// Name of a service.
    ServiceName
);
crate::name!(
    /// Name of a published route.
    RouteName
);
crate::name!(
    /// Name of a target.
    TargetName
);
crate::name!(
    /// Name of a process of the system, unique in the fleet.
    NodeName
);
crate::name!(
    /// Id of an operator's order; a repeated order carries the same id.
    OrderId
);
crate::name!(
    /// Key that a caller gives to a call that must not run twice.
    IdempotencyKey
);
