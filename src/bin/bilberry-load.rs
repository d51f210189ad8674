//! Seeded open-loop load on the entries of a development fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bilberrycrank::options::{OptionReader, optional_flag, parse_or_exit};
use bpaf::{OptionParser, Parser, construct, long};
use eyre::{Result, WrapErr};
use load::{LoadProfile, LoadTargets, plot_gap, run_load};

/// Exit code of a run that saw what must never happen.
const VIOLATION: u8 = 1;

struct Options {
    profile: Option<String>,
    entry: Vec<String>,
    engine: Vec<String>,
    service: Vec<String>,
    seed: Option<String>,
    duration_s: Option<String>,
    requests_per_s: Option<String>,
    json: Option<String>,
    plot: Option<String>,
}

struct Settings {
    profile: LoadProfile,
    targets: LoadTargets,
    json: Option<PathBuf>,
    plot: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let options = parse_or_exit(&options());
    let mut reader = OptionReader::default();
    let settings = options.read(&mut reader);
    let settings = reader.finish_or_exit(settings);
    let report = run_load(&settings.profile, &settings.targets).await?;
    print!("{report}");
    if let Some(path) = &settings.json {
        let file = std::fs::File::create(path)
            .wrap_err_with(|| format!("Failed to write report {}", path.display()))?;
        serde_json::to_writer_pretty(file, &report)
            .wrap_err_with(|| format!("Failed to write report {}", path.display()))?;
    }
    if let Some(path) = &settings.plot {
        plot_gap(&report, path)?;
    }
    Ok(if report.has_violation() {
        ExitCode::from(VIOLATION)
    } else {
        ExitCode::SUCCESS
    })
}

fn options() -> OptionParser<Options> {
    let profile = optional_flag(
        "profile",
        "BILBERRY_LOAD_PROFILE",
        "FILE",
        "Load profile, such as examples/kamenny-zub/load.toml",
    );
    let entry = addresses(
        "entry",
        "Address of an entry for callers' HTTP; may be repeated",
    );
    let engine = addresses(
        "engine",
        "Engine stand-in whose use is sampled; may be repeated",
    );
    let service = addresses(
        "service",
        "Plain service stand-in whose booking counts are checked; may be repeated",
    );
    let seed = optional_flag(
        "seed",
        "BILBERRY_LOAD_SEED",
        "NUMBER",
        "Seed in place of that of the profile",
    );
    let duration_s = optional_flag(
        "duration-s",
        "BILBERRY_LOAD_DURATION_S",
        "S",
        "Time in which requests are sent, in place of that of the profile",
    );
    let requests_per_s = optional_flag(
        "requests-per-s",
        "BILBERRY_LOAD_REQUESTS_PER_S",
        "RATE",
        "Mean rate of arrivals, in place of that of the profile",
    );
    let json = optional_flag(
        "json",
        "BILBERRY_LOAD_JSON",
        "FILE",
        "File that the report is written to as JSON",
    );
    let plot = optional_flag(
        "plot",
        "BILBERRY_LOAD_PLOT",
        "FILE",
        "File that the gap over time is drawn to as SVG",
    );
    construct!(Options {
        profile,
        entry,
        engine,
        service,
        seed,
        duration_s,
        requests_per_s,
        json,
        plot,
    })
    .to_options()
    .descr(
        "Open-loop load with a seed. Only loopback addresses are accepted. Exit code 1: an answer \
         was cut or foreign, a booking ran twice or not at all though confirmed, or a `not-run` was \
         untrue. Exit code 2: faulty settings.",
    )
}

fn addresses(name: &'static str, help: &'static str) -> impl Parser<Vec<String>> {
    long(name).help(help).argument::<String>("IP:PORT").many()
}

impl Options {
    fn read(&self, reader: &mut OptionReader) -> Option<Settings> {
        let entries = read_addresses(reader, "entry", &self.entry);
        if self.entry.is_empty() {
            reader.add_fault("Failed to read --entry: at least one is needed".into());
        }
        let engines = read_addresses(reader, "engine", &self.engine);
        let services = read_addresses(reader, "service", &self.service);
        let seed = reader.parse_optional("seed", self.seed.as_deref());
        let duration_s = reader.parse_optional("duration-s", self.duration_s.as_deref());
        let requests_per_s =
            reader.parse_optional("requests-per-s", self.requests_per_s.as_deref());
        let mut profile = self.read_profile(reader)?;
        profile.seed = seed.unwrap_or(profile.seed);
        profile.duration_s = duration_s.unwrap_or(profile.duration_s);
        profile.requests_per_s = requests_per_s.unwrap_or(profile.requests_per_s);
        for fault in profile.faults() {
            reader.add_fault(fault);
        }
        Some(Settings {
            profile,
            targets: LoadTargets {
                entries,
                engines,
                services,
            },
            json: self.json.as_ref().map(PathBuf::from),
            plot: self.plot.as_ref().map(PathBuf::from),
        })
    }

    fn read_profile(&self, reader: &mut OptionReader) -> Option<LoadProfile> {
        let Some(path) = &self.profile else {
            reader.add_fault("Failed to read --profile: it is needed".into());
            return None;
        };
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                reader.add_fault(format!("Failed to read --profile {path:?}: {error}"));
                return None;
            }
        };
        match LoadProfile::parse(&text) {
            Ok(profile) => Some(profile),
            Err(error) => {
                reader.add_fault(format!("{error:#}"));
                None
            }
        }
    }
}

fn read_addresses(reader: &mut OptionReader, flag: &str, texts: &[String]) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for text in texts {
        match reader.parse_value::<SocketAddr>(flag, text) {
            Some(address) if !address.ip().is_loopback() => {
                reader.add_fault(format!(
                    "Failed to read --{flag} {text:?}: it is not a loopback address"
                ));
            }
            address => addresses.extend(address),
        }
    }
    addresses
}
