//! Bilberrycrank: a router fleet that shares model capacity fairly between organisations.
//!
//! The binaries are in `src/bin`; the parts that others can embed are the crates in `components`.
//! This crate holds what the binaries share.

pub mod dev;
pub mod options;
pub mod path_cost;
