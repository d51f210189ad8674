//! Every log event, in one module for each daemon.
//!
//! Numbers: entry 1000 to 1499, relay 1500 to 1999, agent 2000 to 2999, control 3000 to 3899, client 3900 to 3999,
//! listener 5000 to 5099, stand-ins and tools 4000 to 4999. A number is never reused. `docs/EVENTS.md` is written by
//! `cargo run -p telemetry --example catalogue > docs/EVENTS.md`.

use crate::event::LogEvent;

/// Declares events as constants, and a list of them all.
macro_rules! log_events {
    ($($name:ident = $number:literal, $level:ident, $text:literal, $help:literal;)*) => {
        $(
            #[doc = $help]
            pub const $name: $crate::LogEvent = $crate::LogEvent {
                number: $number,
                level: log::Level::$level,
                name: $text,
                help: $help,
            };
        )*
        pub(super) const LIST: &[$crate::LogEvent] = &[$($name),*];
    };
}

mod agent;
mod client;
mod control;
mod entry;
mod listener;
mod relay;
mod tools;

pub use agent::*;
pub use client::*;
pub use control::*;
pub use entry::*;
pub use listener::*;
pub use relay::*;
pub use tools::*;

/// Events of one daemon, whose numbers lie in one range.
#[derive(Debug, Clone, Copy)]
pub struct EventGroup {
    /// Least number.
    pub first: u16,
    /// Greatest number.
    pub last: u16,
    /// The events.
    pub events: &'static [LogEvent],
}

/// Every event, by daemon.
pub const EVENT_GROUPS: [EventGroup; 7] = [
    group(1000, 1499, entry::LIST),
    group(1500, 1999, relay::LIST),
    group(2000, 2999, agent::LIST),
    group(3000, 3899, control::LIST),
    group(3900, 3999, client::LIST),
    group(4000, 4999, tools::LIST),
    group(5000, 5099, listener::LIST),
];

/// Every event.
pub const ALL_EVENTS: &[LogEvent] = &joined::<{ count() }>();

const fn group(first: u16, last: u16, events: &'static [LogEvent]) -> EventGroup {
    EventGroup {
        first,
        last,
        events,
    }
}

const fn count() -> usize {
    let mut count = 0;
    let mut group = 0;
    while group < EVENT_GROUPS.len() {
        count += EVENT_GROUPS[group].events.len();
        group += 1;
    }
    count
}

const fn joined<const N: usize>() -> [LogEvent; N] {
    let mut joined = [EVENT_GROUPS[0].events[0]; N];
    let (mut next, mut group) = (0, 0);
    while group < EVENT_GROUPS.len() {
        let events = EVENT_GROUPS[group].events;
        let mut index = 0;
        while index < events.len() {
            joined[next] = events[index];
            next += 1;
            index += 1;
        }
        group += 1;
    }
    joined
}
