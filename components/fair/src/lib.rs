//! Usage counters of flows, their fleet-wide sums, and fair choice.
