//! A numbered log event and the macro that writes it.

use std::fmt::Display;
use std::sync::{Mutex, MutexGuard, OnceLock};
use std::time::Instant;

use log::kv::Value;
use log::{Level, Record};

use crate::volume::LogRateLimiter;

/// Kind of a log line. The number stays the same when the text changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogEvent {
    /// Number, unique in the system.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Short name in lower case with hyphens.
    pub name: &'static str,
    /// What it means and what an operator should do.
    pub help: &'static str,
}

/// Lines that this process has written lately.
fn volume() -> MutexGuard<'static, LogRateLimiter> {
    static VOLUME: OnceLock<Mutex<LogRateLimiter>> = OnceLock::new();
    let limit = VOLUME.get_or_init(|| Mutex::new(LogRateLimiter::new()));
    limit.lock().expect("no holder of the volume panics")
}

/// Writes an event unless too many of its kind were written in this second; called by [`event!`](crate::event).
pub fn log_event(event: &LogEvent, module: &'static str, fields: &[(&str, &dyn Display)]) {
    if event.level > log::max_level() {
        return;
    }
    let Some(suppressed) = volume().admit_line(event.number, Instant::now()) else {
        return;
    };
    let mut pairs: Vec<(&str, Value<'_>)> = vec![("event", Value::from(event.number))];
    if suppressed > 0 {
        pairs.push(("suppressed", Value::from(suppressed)));
    }
    pairs.extend(
        fields
            .iter()
            .map(|(key, value)| (*key, Value::from_dyn_display(value))),
    );
    log::logger().log(
        &Record::builder()
            .level(event.level)
            .target(module)
            .module_path_static(Some(module))
            .args(format_args!("{}", event.name))
            .key_values(&pairs)
            .build(),
    );
}

/// Logs an event with fields: `event!(events::ENTRY_STARTED, address = %address)`.
///
/// `%value` and a bare `value` are written with `Display`, `?value` with `Debug`.
#[macro_export]
macro_rules! event {
    ($event:expr $(,)?) => {
        $crate::log_event(&$event, module_path!(), &[])
    };
    ($event:expr, $($fields:tt)+) => {
        $crate::event!(@field $event, [] $($fields)+)
    };
    (@field $event:expr, [$($done:tt)*] $key:ident = % $value:expr $(, $($rest:tt)*)?) => {
        $crate::event!(@field $event, [$($done)* (stringify!($key), &format_args!("{}", $value)),] $($($rest)*)?)
    };
    (@field $event:expr, [$($done:tt)*] $key:ident = ? $value:expr $(, $($rest:tt)*)?) => {
        $crate::event!(@field $event, [$($done)* (stringify!($key), &format_args!("{:?}", $value)),] $($($rest)*)?)
    };
    (@field $event:expr, [$($done:tt)*] $key:ident = $value:expr $(, $($rest:tt)*)?) => {
        $crate::event!(@field $event, [$($done)* (stringify!($key), &format_args!("{}", $value)),] $($($rest)*)?)
    };
    (@field $event:expr, [$($done:tt)*]) => {
        $crate::log_event(&$event, module_path!(), &[$($done)*])
    };
}
