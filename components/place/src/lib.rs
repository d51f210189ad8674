//! Choice of a target for a request, by an entry that sends to targets itself.
//!
//! [`PlacementTable`] holds the targets that have announced themselves. A request of a session goes to
//! the target that holds the session's prompt, as long as that target is not much busier than the
//! others; any other request goes to the least busy target, in its own region first. A cold target
//! gets requests at a bounded rate. [`WaitQueue`] orders requests that no target has room for: the
//! organisation that has received the least service comes first.

mod pace;
mod queue;
mod table;
mod target;

pub use pace::ColdPacer;
pub use queue::{DequeuedRequest, QueuedRequest, WaitKey, WaitQueue};
pub use table::{
    PlacementOutcome, PlacementRequest, PlacementSettings, PlacementTable, RunLatency,
};
pub use target::{ListedTarget, RunKey, TargetKey, TargetRecord};
