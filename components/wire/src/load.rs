//! Reports of entries on the load that they put on targets, and its totals over all entries.

use crate::crash::HomeId;

units::data! {
    /// Load on one target, by one entry or by all of them.
    #[derive(Copy, Default)]
    pub struct TargetLoad {
        /// Hash of the target's name.
        pub target: u64,
        /// Number of running requests.
        pub running: u32,
        /// Memory that the running requests need, without the parts of prompts that are common to
        /// sessions, in tokens.
        pub held_tokens: u64,
        /// Memory that the common parts of prompts need, in tokens. Entries have the same common parts, so
        /// the total is that of the entry with the most.
        pub common_tokens: u64,
    }

    /// Totals of a control node that an entry has received.
    #[derive(Copy)]
    pub struct LoadRevision {
        /// Control node that sums the totals.
        pub source: HomeId,
        /// Number of the newest change that the entry has received.
        pub number: u64,
    }

    /// Load that an entry puts on targets, sent to the control node that sums it over all entries.
    pub struct LoadReport {
        /// Number of the report, which increases during the life of the entry's process.
        pub sequence: u64,
        /// Whether targets that are not listed have no load by this entry. Otherwise their load is that
        /// of earlier reports.
        pub is_complete: bool,
        /// Totals that the entry has received.
        pub known: Option<LoadRevision>,
        /// Load of each target by this entry.
        pub loads: Vec<TargetLoad>,
    }

    /// Reply to a [`LoadReport`].
    pub struct LoadReply {
        /// Number of the report that is answered.
        pub sequence: u64,
        /// Totals that the entry has received with this reply.
        pub revision: LoadRevision,
        /// Whether targets that are not listed have no load. Otherwise their load is that of earlier
        /// replies.
        pub is_complete: bool,
        /// Whether targets are left out because the message would become too large.
        pub is_truncated: bool,
        /// Whether entries are missing from the totals that may still have running requests.
        pub is_partial: bool,
        /// Whether the next report must be complete, because earlier ones are not known.
        pub wants_complete: bool,
        /// Mean age of the contributions to the totals, in milliseconds.
        pub age_ms: u64,
        /// Changed totals.
        pub totals: Vec<TargetLoad>,
    }
}
