//! Small fake network that joins books, tables, ledgers and homes, for the tests of this folder.

#![allow(dead_code, unreachable_pub)]

pub mod meter;
pub mod network;
pub mod nodes;
