//! Prints the content of `docs/EVENTS.md`.

fn main() {
    print!("{}", telemetry::catalogue_page());
}
