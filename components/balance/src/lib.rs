//! Even load of the targets that many entries send requests to.
//!
//! Each entry reports the load that it puts on targets with a [`LoadLog`]. The [`LoadHome`] at a
//! control node sums the reports, and each entry keeps the totals in a [`LoadView`]. The totals are
//! 250 to 500 ms old when they are used, and all entries use the same ones. [`ServiceLoad`] therefore
//! moves only what
//! no longer has to read its prompt again, or what exceeds a second, higher bound.

mod home;
mod log;
mod memory;
mod service;
mod sessions;
mod view;

pub use home::LoadHome;
pub use log::LoadLog;
pub use memory::{MemoryLedger, RequestMemory};
pub use service::{
    CANDIDATE_COUNT, KNOWN_SESSION_PERMILLE, LoadCandidate, NEW_SESSION_PERMILLE, ServiceLoad,
    TargetEstimate,
};
pub use sessions::SessionTargets;
pub use view::{LoadView, VIEW_TTL};

/// Maximum number of targets in one message, so that it stays under 16 KiB.
pub const MAX_LISTED_TARGETS: usize = 800;

/// Id of a target on the wire.
pub fn target_hash(name: &units::NodeName) -> u64 {
    wire::stable_hash(&[name.as_str().as_bytes()])
}
