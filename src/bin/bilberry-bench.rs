//! Measures how the costs of decisions and messages grow, and prints or updates the capacity page.

use std::alloc::System;
use std::fs;
use std::path::PathBuf;

use bilberrycrank::path_cost;
use bpaf::Bpaf;
use eyre::{Result, WrapErr};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures how the costs of decisions and messages grow with the size of the fleet.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct BenchSettings {
    /// File whose measured part is replaced; if not given, the page is printed
    #[bpaf(argument("FILE"))]
    write: Option<PathBuf>,
    /// Instead, compare calls through entry and agent with direct calls, with this number of calls
    #[bpaf(argument("CALLS"))]
    path: Option<usize>,
    /// Services text for --path
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("examples/kamenny-zub/services.toml"))
    )]
    text: PathBuf,
    /// Bearer key of an organisation in the services text
    #[bpaf(argument("KEY"), fallback("example-key-mlyn-hora".to_string()))]
    key: String,
}

fn main() -> Result<()> {
    let settings = bench_settings().run();
    if let Some(calls) = settings.path {
        return measure_path(&settings, calls);
    }
    let measured = bench::MeasuredCosts::measure()?;
    let page = bench::capacity_page(&bench::FleetSize::GOAL, &measured);
    match settings.write {
        Some(path) => replace_measured_part(&path, &page),
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
    let first_token_ratio =
        cost.routed_first_token.as_secs_f64() / cost.direct_first_token.as_secs_f64();
    println!("| {calls} calls of each kind | direct | through entry and agent | ratio |");
    println!("|---|---|---|---|");
    println!(
        "| median time to first token | {:?} | {:?} | {first_token_ratio:.2} |",
        cost.direct_first_token, cost.routed_first_token
    );
    println!(
        "| whole answers/s, 8 callers | {:.0} | {:.0} | {:.2} |",
        cost.direct_answers_per_s,
        cost.routed_answers_per_s,
        cost.routed_answers_per_s / cost.direct_answers_per_s
    );
    Ok(())
}

/// Replaces the measured part of the page and keeps the text after [`bench::END_MARK`].
fn replace_measured_part(path: &PathBuf, page: &str) -> Result<()> {
    let old_page = fs::read_to_string(path).unwrap_or_default();
    let kept_text = old_page
        .split_once(bench::END_MARK)
        .map_or("\n", |(_, rest)| rest);
    let text = format!("{}{kept_text}", page.trim_end());
    fs::write(path, text).wrap_err_with(|| format!("Failed to write {}", path.display()))
}
