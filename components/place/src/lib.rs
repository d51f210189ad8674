//! Choice of a target for a request, by an entry that sends to targets itself.
//!
//! [`PlaceTable`] holds the targets that have announced themselves. A request of a session goes to
//! the target that holds the session's prompt, as long as that target is not much busier than the
//! others; any other request goes to the least busy target, in its own region first. A cold target
//! gets requests at a bounded rate. [`WaitQueue`] orders requests that no target has room for: the
//! organisation that has received the least service comes first.

mod pace;
mod queue;
mod table;
mod target;

pub use pace::ColdPace;
pub use queue::{EndedWait, WaitKey, WaitQueue, WaitingPlace};
pub use table::{PlaceRequest, PlaceSettings, PlaceTable, PlaceVerdict, RunLatency};
pub use target::{RunKey, SeenTarget, TargetKey, TargetRecord};
