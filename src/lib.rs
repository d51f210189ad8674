//! Bilberrycrank: a router fleet that shares model capacity fairly between organisations.
//!
//! The binaries are in `src/bin`; the parts that others can embed are the crates in `components`.
