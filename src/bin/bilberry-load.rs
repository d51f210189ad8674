//! Generates open-loop load from a seed on the entries of a development fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bilberrycrank::options::{OptionReader, optional_flag, parse_or_exit};
use bpaf::{OptionParser, Parser, construct, long};
use eyre::{Result, WrapErr};
use load::{LoadAddresses, LoadProfile, plot_gap, run_load};

/// Exit code of a run in which the fleet violated a guarantee.
const VIOLATION_EXIT_CODE: u8 = 1;

struct LoadOptions {
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

struct LoadSettings {
    profile: LoadProfile,
    addresses: LoadAddresses,
    json: Option<PathBuf>,
    plot: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let options = parse_or_exit(&options());
    let mut reader = OptionReader::default();
    let settings = options.read(&mut reader);
    let settings = reader.finish_or_exit(settings);
    let report = run_load(&settings.profile, &settings.addresses).await?;
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
        ExitCode::from(VIOLATION_EXIT_CODE)
    } else {
        ExitCode::SUCCESS
    })
}

fn options() -> OptionParser<LoadOptions> {
    let profile = optional_flag(
        "profile",
        "BILBERRY_LOAD_PROFILE",
        "FILE",
        "Load profile, such as examples/kamenny-zub/load.toml",
    );
    let entry = address_flags(
        "entry",
        "Address of an entry for callers' HTTP; may be repeated",
    );
    let engine = address_flags(
        "engine",
        "Address of an engine stand-in whose utilisation is sampled; may be repeated",
    );
    let service = address_flags(
        "service",
        "Address of a plain service stand-in whose booking counts are checked; may be repeated",
    );
    let seed = optional_flag(
        "seed",
        "BILBERRY_LOAD_SEED",
        "NUMBER",
        "Seed; overrides the one in the profile",
    );
    let duration_s = optional_flag(
        "duration-s",
        "BILBERRY_LOAD_DURATION_S",
        "S",
        "Time during which requests are sent; overrides the one in the profile",
    );
    let requests_per_s = optional_flag(
        "requests-per-s",
        "BILBERRY_LOAD_REQUESTS_PER_S",
        "RATE",
        "Mean arrival rate in requests per second; overrides the one in the profile",
    );
    let json = optional_flag(
        "json",
        "BILBERRY_LOAD_JSON",
        "FILE",
        "File to which the report is written as JSON",
    );
    let plot = optional_flag(
        "plot",
        "BILBERRY_LOAD_PLOT",
        "FILE",
        "File to which a plot of the fairness gap over time is written as SVG",
    );
    construct!(LoadOptions {
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
        "Generates open-loop load from a seed. Only loopback addresses are accepted. Exit code 1: \
         an answer was truncated or belongs to another request, a booking ran twice, a confirmed \
         booking did not run, or a booking with outcome `not-run` did run. Exit code 2: invalid \
         settings.",
    )
}

fn address_flags(name: &'static str, help: &'static str) -> impl Parser<Vec<String>> {
    long(name).help(help).argument::<String>("IP:PORT").many()
}

impl LoadOptions {
    fn read(&self, reader: &mut OptionReader) -> Option<LoadSettings> {
        let entries = parse_addresses(reader, "entry", &self.entry);
        if self.entry.is_empty() {
            reader.add_fault("Failed to read --entry: the required setting is missing".into());
        }
        let engines = parse_addresses(reader, "engine", &self.engine);
        let services = parse_addresses(reader, "service", &self.service);
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
        Some(LoadSettings {
            profile,
            addresses: LoadAddresses {
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
            reader.add_fault("Failed to read --profile: the required setting is missing".into());
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

fn parse_addresses(reader: &mut OptionReader, flag: &str, texts: &[String]) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for text in texts {
        match reader.parse_value::<SocketAddr>(flag, text) {
            Some(address) if !address.ip().is_loopback() => {
                reader.add_fault(format!(
                    "Failed to read --{flag} {text:?}: expected a loopback address"
                ));
            }
            address => addresses.extend(address),
        }
    }
    addresses
}
