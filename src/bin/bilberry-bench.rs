//! Measures the slopes of decisions and messages, and prints or writes the capacity page.

use std::alloc::System;
use std::fs;
use std::path::PathBuf;

use bilberrycrank::path_cost;
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
    /// Measure the path through entry and agent against direct calls, with this many calls
    #[bpaf(argument("CALLS"))]
    path: Option<usize>,
    /// Services text of the path measurement
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("examples/kamenny-zub/services.toml"))
    )]
    text: PathBuf,
    /// Bearer key of an organisation of that text
    #[bpaf(argument("KEY"), fallback("example-key-mlyn-hora".to_string()))]
    key: String,
}

fn main() -> Result<()> {
    let settings = bench_settings().run();
    if let Some(calls) = settings.path {
        return measure_path(&settings, calls);
    }
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

fn measure_path(settings: &BenchSettings, calls: usize) -> Result<()> {
    let text = bilberrycrank::dev::read_services_text(&settings.text)?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("Failed to start the runtime")?;
    let cost = runtime.block_on(path_cost::measure(&text, &settings.key, calls))?;
    let ratio = cost.routed_first_token.as_secs_f64() / cost.direct_first_token.as_secs_f64();
    println!("| {calls} calls of each kind | direct | through entry and agent | ratio |");
    println!("|---|---|---|---|");
    println!(
        "| median time to first token | {:?} | {:?} | {ratio:.2} |",
        cost.direct_first_token, cost.routed_first_token
    );
    println!(
        "| whole answers/s, 8 callers | {:.0} | {:.0} | {:.2} |",
        cost.direct_rate,
        cost.routed_rate,
        cost.routed_rate / cost.direct_rate
    );
    Ok(())
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
