//! Reports of entries on the versions of a service under roll-out.

use units::{ServiceName, SoftwareVersion};

units::data! {
    /// Answers of one version on one route at an entry, counted since the entry first heard of the
    /// roll-out.
    pub struct VersionCount {
        /// Hash of the route's name.
        pub route: u64,
        /// Version of the targets.
        pub version: SoftwareVersion,
        /// Number of requests that were sent.
        pub sent: u64,
        /// Number of requests that have ended with an answer or without one.
        pub ended: u64,
        /// Number of ended requests that failed.
        pub failed: u64,
        /// Number of ended requests whose answer was several times slower than usual at the old
        /// versions.
        pub slow: u64,
    }

    /// Counts of an entry on one roll-out.
    pub struct RolloutCounts {
        /// Service under roll-out.
        pub service: ServiceName,
        /// Number of the roll-out.
        pub number: u64,
        /// Requests of the entry that run at targets of old versions.
        pub running_at_old: u64,
        /// Cumulative counts.
        pub counts: Vec<VersionCount>,
    }
}
