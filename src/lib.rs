//! Bilberrycrank: a router fleet that shares model capacity fairly between organisations.
//!
//! The binaries are in `src/bin`; the crates in `components` can be embedded in other programs.
//! This crate contains the code that the binaries share.

pub mod dev;
pub mod options;
pub mod path_cost;
