//! What a process does before `main`.

/// Libraries that work before `main` or calibrate a clock with a busy loop. On hosts where reading
/// the clock is slow, one of them cost seconds of processor time at each start.
const COSTLY_LIBRARIES: [&str; 6] = [
    "ctor",
    "fastant",
    "inventory",
    "linkme",
    "minstant",
    "quanta",
];

/// Guards against such a library that comes in through another one.
#[test]
fn no_library_works_before_main() {
    let lock = include_str!("../Cargo.lock");

    let found: Vec<&str> = COSTLY_LIBRARIES
        .into_iter()
        .filter(|name| lock.contains(&format!("name = \"{name}\"\n")))
        .collect();

    assert_eq!(found, Vec::<&str>::new());
}
