//! Holds the catalogue of events against the code.

use std::collections::BTreeSet;
use std::path::Path;

use telemetry::{ALL_EVENTS, catalogue_page, events};

/// Guards against a new event that operators cannot look up.
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

/// Guards against two events that operators cannot tell apart.
#[test]
fn numbers_and_names_are_unique() {
    let numbers: BTreeSet<u16> = ALL_EVENTS.iter().map(|event| event.number).collect();
    let names: BTreeSet<&str> = ALL_EVENTS.iter().map(|event| event.name).collect();

    assert_eq!(numbers.len(), ALL_EVENTS.len());
    assert_eq!(names.len(), ALL_EVENTS.len());
}

/// Guards against an event in the range of another daemon.
#[test]
fn numbers_are_in_range() {
    for group in events::EVENT_GROUPS {
        for event in group.events {
            assert!(
                (group.first..=group.last).contains(&event.number),
                "{event:?} is not in {} to {}",
                group.first,
                group.last
            );
        }
    }
}

/// Guards against fields that the macro accepts in one form only.
#[test]
fn macro_accepts_every_form_of_field() {
    let address = "127.0.0.1:1";

    telemetry::event!(events::ENTRY_STARTED);
    telemetry::event!(events::ENTRY_STARTED, address = %address);
    telemetry::event!(events::ENTRY_STARTED, address = ?address, count = 3,);
}
