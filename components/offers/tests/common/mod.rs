//! Simulated network that connects offer books, offer tables, usage ledgers and homes.

#![allow(dead_code, unreachable_pub)]

pub mod checks;
pub mod faults;
pub mod first_come;
pub mod meter;
pub mod network;
pub mod nodes;
pub mod settings;
pub mod usage;
