//! Prints `docs/EVENTS.md`.

fn main() {
    print!("{}", telemetry::catalogue_page());
}
