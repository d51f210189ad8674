//! Names and textual ids.

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
    /// Version of the software that a target runs.
    SoftwareVersion
);
crate::name!(
    /// Name of a process of the system, unique within the fleet.
    NodeName
);
crate::name!(
    /// Id of an operator's order; repetitions of an order have the same id.
    OrderId
);
crate::name!(
    /// Key with which a caller marks a call that must run at most once.
    IdempotencyKey
);
