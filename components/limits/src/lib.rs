//! Adaptive concurrency limit of a target, and retry budgets.

mod alarms;
mod latency;
mod retry;
mod target;
mod window;

pub use retry::{RETRY_RETENTION, RetryBudget};
pub use target::{RunSample, TargetLimit};
pub use window::{WindowBound, WindowBudget};
