//! Concurrency limit of a target, and retry budgets.

mod alarms;
mod latency;
mod retry;
mod target;

pub use retry::{RETRY_MEMORY, RetryBudget};
pub use target::{RunSample, TargetLimit};
