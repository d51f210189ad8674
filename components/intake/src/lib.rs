//! Memory budget of a process for request bodies.
//!
//! Bytes are reserved before they are read. Small bodies draw on a part of their own, a plain
//! counter, so that large ones never block them. A large body is admitted with all of its announced
//! length, so that admitted bodies can complete; others wait unread for a short time.

mod budget;
mod limits;
mod small;

pub use budget::{BodyBudget, BodyKey, BodyStatus};
pub use limits::{DEFAULT_MEMORY, MemoryLimits};
pub use small::{SMALL_TICK, SmallPool, SmallProgress};

/// Largest body that draws on the part for small bodies, in bytes.
pub const SMALL_BODY_BYTES: u64 = 64 << 10;
