//! Logs, metrics and traces of all daemons.
//!
//! Every log line is a numbered event of the module [`events`]; `docs/EVENTS.md` lists them for
//! operators.

mod catalogue;
mod event;
pub mod events;
mod logs;
mod metrics;
mod table;
mod traces;
mod volume;

pub use catalogue::catalogue_page;
pub use event::{LogEvent, log_event};
pub use events::ALL_EVENTS;
pub use log::{Level, LevelFilter};
pub use logs::{LogFormat, LogOutput, LogSettings, start_logs};
pub use metrics::{MetricSettings, start_metrics};
pub use table::MetricTable;
pub use traces::{TraceContext, TraceSettings, start_traces, stop_traces};
pub use volume::{LogRateLimiter, MAX_LINES_PER_SECOND};
