//! Target selection for an entry that sends requests to targets directly.
//!
//! [`PlacementTable`] holds the targets that the directory lists. A request of a session is sent to
//! the target that may have the session's prompt cached, unless that target has stalled, is full or
//! is cold. For some services, loads over all entries decide instead. Any other request is sent to
//! the least loaded target, preferably in the entry's region.
//! Requests to a cold target, or to one that states a limit, are rate-limited. A target gets none
//! while it wants none, and none once it has stated that it is leaving. [`WaitQueue`] holds the
//! requests that no target has capacity for and serves the organisation that has received the least
//! service first.

mod cold;
mod even;
mod intake;
mod limit;
mod pace;
mod queue;
mod roster;
mod session;
mod table;
mod target;
mod version;

pub use balance::RequestMemory;
pub use cold::{ColdCause, ColdChange, ColdEnd, ColdStep};
pub use even::LoadMove;
pub use intake::{StatementChange, TargetStatement};
pub use limit::{EntryPosition, LimitChange};
pub use pace::ColdPacer;
pub use queue::{DequeuedRequest, QueuedRequest, WaitKey, WaitQueue};
pub use roster::EntryRoster;
pub use table::{
    PlacementOutcome, PlacementRequest, PlacementSettings, PlacementTable, RunLatency,
};
pub use target::{ListedTarget, RunKey, TargetKey, TargetRecord};
pub use version::{RequiredVersion, VersionRule};
