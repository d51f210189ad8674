//! Start-up cost of the binaries: code that runs before `main`.

/// Crates that run code before `main` or calibrate a clock in a busy loop. On hosts where reading
/// the clock is slow, one of them took seconds of processor time at each start.
const COSTLY_CRATES: [&str; 6] = [
    "ctor",
    "fastant",
    "inventory",
    "linkme",
    "minstant",
    "quanta",
];

/// Guards against such a crate among the direct and transitive dependencies.
#[test]
fn no_dependency_runs_code_before_main() {
    let lock_file = include_str!("../Cargo.lock");

    let found: Vec<&str> = COSTLY_CRATES
        .into_iter()
        .filter(|name| lock_file.contains(&format!("name = \"{name}\"\n")))
        .collect();

    assert_eq!(found, Vec::<&str>::new());
}
