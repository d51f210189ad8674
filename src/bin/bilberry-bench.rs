//! Measures the slopes of decisions and messages, and prints or writes the capacity page.

use std::alloc::System;
use std::fs;
use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, WrapErr};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures the slopes of decisions and messages.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct BenchSettings {
    /// Page whose measured part is replaced; printed if not given
    #[bpaf(argument("FILE"))]
    write: Option<PathBuf>,
}

fn main() -> Result<()> {
    let settings = bench_settings().run();
    let measured = bench::Measured::measure()?;
    let page = bench::capacity_page(&bench::FleetSize::GOAL, &measured);
    match settings.write {
        Some(path) => replace(&path, &page),
        None => {
            println!("{page}");
            Ok(())
        }
    }
}

/// Replaces the measured part of the page and keeps the text after the mark.
fn replace(path: &PathBuf, page: &str) -> Result<()> {
    let old = fs::read_to_string(path).unwrap_or_default();
    let rest = old
        .split_once(bench::END_MARK)
        .map_or("\n", |(_, rest)| rest);
    let text = format!("{}{rest}", page.trim_end());
    fs::write(path, text).wrap_err_with(|| format!("Failed to write {}", path.display()))
}
