//! Adaptive concurrency limit of a target, retry budgets, and durations of runs.

mod alarms;
mod duration;
mod latency;
mod patience;
mod retry;
mod target;
mod turns;
mod window;

pub use duration::DurationHistory;
pub use patience::CallerPatience;
pub use retry::{RETRY_RETENTION, RetryBudget};
pub use target::{RunSample, TargetLimit};
pub use turns::{BehindSummary, TurnGate};
pub use window::{WindowBound, WindowBudget};
