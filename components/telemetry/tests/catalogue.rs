//! Checks of the event catalogue and the `event!` macro.

use std::collections::BTreeSet;
use std::path::Path;

use telemetry::{ALL_EVENTS, catalogue_page, events};

/// Guards against events that are missing from the page for operators.
#[test]
fn page_matches_events() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");

    let page = std::fs::read_to_string(path).unwrap();

    assert!(
        page == catalogue_page(),
        "docs/EVENTS.md is out of date; run \
         `cargo run -p telemetry --example catalogue > docs/EVENTS.md`. It should read:\n{}",
        catalogue_page()
    );
}

/// Guards against two events with the same number or name.
#[test]
fn numbers_and_names_are_unique() {
    let numbers: BTreeSet<u16> = ALL_EVENTS.iter().map(|event| event.number).collect();
    let names: BTreeSet<&str> = ALL_EVENTS.iter().map(|event| event.name).collect();

    assert_eq!(numbers.len(), ALL_EVENTS.len());
    assert_eq!(names.len(), ALL_EVENTS.len());
}

/// Guards against an event with a number from the range of another component.
#[test]
fn numbers_are_in_range() {
    for group in events::EVENT_GROUPS {
        for event in group.events {
            assert!(
                (group.first..=group.last).contains(&event.number),
                "{event:?} is outside of {} to {}",
                group.first,
                group.last
            );
        }
    }
}

/// Guards against a macro that does not compile with some forms of fields.
#[test]
fn macro_accepts_all_forms_of_fields() {
    let address = "127.0.0.1:1";

    telemetry::event!(events::ENTRY_STARTED);
    telemetry::event!(events::ENTRY_STARTED, address = %address);
    telemetry::event!(events::ENTRY_STARTED, address = ?address, count = 3,);
}
