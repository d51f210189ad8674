//! Measurement of processor time and heap memory.

use std::hint::black_box;
use std::time::Duration;

use cpu_time::ThreadTime;
use sha2::{Digest, Sha256};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region};

/// Repetitions of a measurement. The fastest one counts, since other load only adds time.
const REPETITIONS: u32 = 5;

/// Input size of the reference operation.
const REFERENCE_BYTES: usize = 1024;

/// Reference operations in one repetition.
const REFERENCE_HASHES: u32 = 20_000;

/// Processor time of one event, in nanoseconds.
///
/// Each repetition calls `run` on a new state from `prepare`; `run` must handle `events` events.
pub(crate) fn cpu_ns_per_event<S>(
    events: u32,
    mut prepare: impl FnMut() -> S,
    mut run: impl FnMut(&mut S),
) -> f64 {
    let fastest = (0..REPETITIONS)
        .map(|_| {
            let mut state = prepare();
            let start = ThreadTime::now();
            run(&mut state);
            let elapsed = start.elapsed();
            black_box(&state);
            elapsed
        })
        .min()
        .unwrap_or(Duration::ZERO);
    fastest.as_nanos() as f64 / f64::from(events)
}

/// Heap bytes held by the state that `build` returns.
///
/// Returns 0 unless the program uses `stats_alloc::INSTRUMENTED_SYSTEM` as its allocator.
pub(crate) fn heap_bytes_of<S>(build: impl FnOnce() -> S) -> f64 {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    let state = build();
    let change = region.change();
    black_box(&state);
    let held_bytes = change.bytes_allocated as i64 - change.bytes_deallocated as i64
        + change.bytes_reallocated as i64;
    held_bytes.max(0) as f64
}

/// Processor time of the reference operation, SHA-256 of 1 KiB, in nanoseconds.
///
/// Times from different machines or runs can be compared as multiples of it.
pub(crate) fn measure_reference_ns() -> f64 {
    let input = [7_u8; REFERENCE_BYTES];
    cpu_ns_per_event(
        REFERENCE_HASHES,
        || (),
        |()| {
            for _ in 0..REFERENCE_HASHES {
                black_box(Sha256::digest(black_box(input)));
            }
        },
    )
}
