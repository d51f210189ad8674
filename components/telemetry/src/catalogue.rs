//! The catalogue of events as a page for operators.

use std::fmt::Write;

use crate::events::ALL_EVENTS;

const HEAD: &str = "# Log events

Every log line is one of these events. The number stays the same when the text changes. Written by
`cargo run -p telemetry --example catalogue > docs/EVENTS.md`; a test holds it against the code.

| Number | Level | Name | Meaning |
|--------|-------|------|---------|
";

/// The text of `docs/EVENTS.md`.
pub fn catalogue_page() -> String {
    let mut page = HEAD.to_string();
    let mut events = ALL_EVENTS.to_vec();
    events.sort_by_key(|event| event.number);
    for event in events {
        writeln!(
            page,
            "| {} | {} | {} | {} |",
            event.number,
            event.level.as_str().to_lowercase(),
            event.name,
            event.help
        )
        .expect("writing to a string does not fail");
    }
    page
}
