//! Replicated log: elections, replication, snapshots and membership.
