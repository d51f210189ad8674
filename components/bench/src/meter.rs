//! Measurement of processor time and heap memory.

use std::hint::black_box;
use std::time::Duration;

use cpu_time::ThreadTime;
use sha2::{Digest, Sha256};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region};

/// Runs of which the fastest counts, since other load on the machine only adds time.
const RUNS: u32 = 5;

/// Bytes that the reference operation hashes.
const REFERENCE_BYTES: usize = 1024;

/// Hashes in one run of the reference operation.
const REFERENCE_EVENTS: u32 = 20_000;

/// Processor time of one event in nanoseconds: `run` handles `events` events on a fresh state.
pub(crate) fn time_of<S>(
    events: u32,
    mut prepare: impl FnMut() -> S,
    mut run: impl FnMut(&mut S),
) -> f64 {
    let fastest = (0..RUNS)
        .map(|_| {
            let mut state = prepare();
            let start = ThreadTime::now();
            run(&mut state);
            let spent = start.elapsed();
            black_box(&state);
            spent
        })
        .min()
        .unwrap_or(Duration::ZERO);
    fastest.as_nanos() as f64 / f64::from(events)
}

/// Heap bytes that a state holds.
///
/// The program must use `stats_alloc::INSTRUMENTED_SYSTEM` as its allocator.
pub(crate) fn memory_of<S>(build: impl FnOnce() -> S) -> f64 {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    let state = build();
    let change = region.change();
    black_box(&state);
    let held = change.bytes_allocated as i64 - change.bytes_deallocated as i64
        + change.bytes_reallocated as i64;
    held.max(0) as f64
}

/// Processor time of the reference operation in nanoseconds: SHA-256 of 1 KiB.
///
/// Times of different machines or runs compare as multiples of it.
pub(crate) fn reference_time() -> f64 {
    let input = [7_u8; REFERENCE_BYTES];
    time_of(
        REFERENCE_EVENTS,
        || (),
        |()| {
            for _ in 0..REFERENCE_EVENTS {
                black_box(Sha256::digest(black_box(input)));
            }
        },
    )
}
