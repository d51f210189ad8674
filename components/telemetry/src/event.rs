//! Numbered log events, and the macro that logs them.

use std::fmt::Display;
use std::sync::{Mutex, MutexGuard, OnceLock};
use std::time::Instant;

use log::kv::Value;
use log::{Level, Record};

use crate::volume::LogRateLimiter;

/// Kind of a log line. Its number does not change when its text does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogEvent {
    /// Number, unique among all events.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Message of the log line, in lower case with hyphens.
    pub name: &'static str,
    /// Meaning of the event and, where needed, instructions for operators.
    pub help: &'static str,
}

/// Rate limiter of this process.
fn rate_limiter() -> MutexGuard<'static, LogRateLimiter> {
    static RATE_LIMITER: OnceLock<Mutex<LogRateLimiter>> = OnceLock::new();
    let limiter = RATE_LIMITER.get_or_init(|| Mutex::new(LogRateLimiter::new()));
    limiter
        .lock()
        .expect("no thread panics while it holds the lock")
}

/// Logs an event, unless its rate limit is exceeded; called by [`event!`](crate::event!).
pub fn log_event(event: &LogEvent, module: &'static str, fields: &[(&str, &dyn Display)]) {
    if event.level > log::max_level() {
        return;
    }
    let Some(suppressed) = rate_limiter().admit_line(event.number, Instant::now()) else {
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
/// `%value` and `value` are formatted with `Display`, `?value` with `Debug`.
#[macro_export]
macro_rules! event {
    ($event:expr $(,)?) => {
        $crate::log_event(&$event, module_path!(), &[])
    };
    ($event:expr, $($fields:tt)+) => {
        $crate::event!(@field $event, [] $($fields)+)
    };
    (@field $event:expr, [$($done:tt)*] $key:ident = % $value:expr $(, $($rest:tt)*)?) => {
        $crate::event!(
            @field $event,
            [$($done)* (stringify!($key), &format_args!("{}", $value)),]
            $($($rest)*)?
        )
    };
    (@field $event:expr, [$($done:tt)*] $key:ident = ? $value:expr $(, $($rest:tt)*)?) => {
        $crate::event!(
            @field $event,
            [$($done)* (stringify!($key), &format_args!("{:?}", $value)),]
            $($($rest)*)?
        )
    };
    (@field $event:expr, [$($done:tt)*] $key:ident = $value:expr $(, $($rest:tt)*)?) => {
        $crate::event!(
            @field $event,
            [$($done)* (stringify!($key), &format_args!("{}", $value)),]
            $($($rest)*)?
        )
    };
    (@field $event:expr, [$($done:tt)*]) => {
        $crate::log_event(&$event, module_path!(), &[$($done)*])
    };
}
