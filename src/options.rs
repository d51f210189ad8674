//! Settings of a binary from flags and environment variables.
//!
//! Flags are read as text and converted by an [`OptionReader`], which collects every fault, so that
//! one start shows them all.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::str::FromStr;
use std::time::Duration;

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long};
use eyre::Result;
use telemetry::{LogFormat, LogOutput, LogSettings, MetricSettings, TraceSettings};
use tokio::signal::unix::SignalKind;
use units::{DataCentreName, NodeName};

/// Exit code for faulty settings.
const FAULTY_SETTINGS: i32 = 2;
/// Columns of the help text.
const HELP_WIDTH: usize = 100;

/// Flag `--name` with a default, also read from the environment variable.
pub fn flag(
    name: &'static str,
    variable: &'static str,
    meta: &'static str,
    help: &'static str,
    default: &str,
) -> impl Parser<String> + use<> {
    long(name)
        .env(variable)
        .help(help)
        .argument::<String>(meta)
        .fallback(default.to_string())
        .display_fallback()
}

/// Flag `--name` that may be left out, also read from the environment variable.
pub fn optional_flag(
    name: &'static str,
    variable: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<Option<String>> {
    long(name)
        .env(variable)
        .help(help)
        .argument::<String>(meta)
        .optional()
}

/// Reads the command line. Prints help or the fault and exits if there is nothing to run.
pub fn parse_or_exit<T>(parser: &OptionParser<T>) -> T {
    match parser.run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            exit(match failure {
                ParseFailure::Stderr(_) => FAULTY_SETTINGS,
                _ => 0,
            })
        }
    }
}

/// Converts flags to values and collects their faults.
#[derive(Debug, Default)]
pub struct OptionReader {
    faults: Vec<String>,
}

impl OptionReader {
    /// Converts the text of a flag.
    pub fn parse_value<T>(&mut self, flag: &str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_fault(format!("Failed to read --{flag} {text:?}: {error}"));
                None
            }
        }
    }

    /// Converts the text of a flag that may be left out.
    pub fn parse_optional<T>(&mut self, flag: &str, text: Option<&str>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        text.and_then(|text| self.parse_value(flag, text))
    }

    /// Converts a number of milliseconds.
    pub fn parse_millis(&mut self, flag: &str, text: &str) -> Option<Duration> {
        self.parse_value(flag, text).map(Duration::from_millis)
    }

    /// Converts a number that must lie between two bounds, both included.
    pub fn parse_in_range(&mut self, flag: &str, text: &str, min: u64, max: u64) -> Option<u64> {
        let number = self.parse_value(flag, text)?;
        if (min..=max).contains(&number) {
            return Some(number);
        }
        self.add_fault(format!(
            "Failed to read --{flag} {text:?}: want {min} to {max}"
        ));
        None
    }

    /// Converts a name that must be given: lower-case letters, digits and hyphens, since names
    /// stand in certificates and file names.
    pub fn parse_name<'a, T: From<&'a str>>(&mut self, flag: &str, text: &'a str) -> Option<T> {
        let plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        if !text.is_empty() && text.bytes().all(plain) {
            return Some(T::from(text));
        }
        self.add_fault(format!(
            "Failed to read --{flag} {text:?}: want lower-case letters, digits and hyphens"
        ));
        None
    }

    /// Converts addresses that are separated by commas.
    pub fn parse_addresses(&mut self, flag: &str, text: &str) -> Option<Vec<SocketAddr>> {
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        let parts: Vec<_> = parts.map(|part| self.parse_value(flag, part)).collect();
        parts.into_iter().collect()
    }

    /// Adds a fault.
    pub fn add_fault(&mut self, fault: String) {
        self.faults.push(fault);
    }

    /// Returns the settings, or prints every fault and exits.
    pub fn finish_or_exit<T>(self, settings: Option<T>) -> T {
        match settings {
            Some(settings) if self.faults.is_empty() => settings,
            _ => {
                for fault in &self.faults {
                    eprintln!("{fault}");
                }
                exit(FAULTY_SETTINGS)
            }
        }
    }
}

/// Flags that entries and agents have in common.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    name: String,
    listen: String,
    data_centre: String,
    controls: String,
    keys: String,
}

/// Settings that entries and agents have in common.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of the node.
    pub name: NodeName,
    /// Address for links.
    pub listen: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Addresses of the control nodes.
    pub controls: Vec<SocketAddr>,
    /// Folder with the key files.
    pub keys: PathBuf,
}

/// Parser of [`NodeOptions`]; the help text of `--listen` depends on the daemon.
pub fn node_options(listen_help: &'static str) -> impl Parser<NodeOptions> {
    let name = flag(
        "name",
        "BILBERRY_NAME",
        "NAME",
        "Name of this node, unique in the fleet and as in its certificate",
        "",
    );
    let listen = flag(
        "listen",
        "BILBERRY_LISTEN",
        "IP:PORT",
        listen_help,
        "127.0.0.1:0",
    );
    let data_centre = flag(
        "data-centre",
        "BILBERRY_DATA_CENTRE",
        "NAME",
        "Data centre of this host, as in the services text",
        "",
    );
    let controls = flag(
        "controls",
        "BILBERRY_CONTROLS",
        "IP:PORT,...",
        "Addresses of the control nodes, separated by commas",
        "",
    );
    let keys = keys_flag();
    construct!(NodeOptions {
        name,
        listen,
        data_centre,
        controls,
        keys,
    })
}

impl NodeOptions {
    /// Converts the flags. A faulty one gets a placeholder, so that the others are still checked.
    pub fn read(&self, reader: &mut OptionReader) -> NodeSettings {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        NodeSettings {
            name: reader
                .parse_name("name", &self.name)
                .unwrap_or("none".into()),
            listen: reader.parse_value("listen", &self.listen).unwrap_or(local),
            data_centre: reader
                .parse_name("data-centre", &self.data_centre)
                .unwrap_or("none".into()),
            controls: reader
                .parse_addresses("controls", &self.controls)
                .unwrap_or(vec![local]),
            keys: PathBuf::from(&self.keys),
        }
    }
}

/// Waits for SIGTERM or an interrupt from the keyboard.
pub async fn wait_for_stop() -> Result<()> {
    let mut terminate = tokio::signal::unix::signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupt = tokio::signal::ctrl_c() => interrupt?,
    }
    Ok(())
}

/// Flags for logs, metrics and traces, the same in each daemon.
#[derive(Debug, Clone)]
pub struct TelemetryOptions {
    log_level: String,
    log_format: String,
    statsd: Option<String>,
    traces: Option<String>,
}

/// Flag for the folder with the key files.
pub fn keys_flag() -> impl Parser<String> {
    flag(
        "keys",
        "BILBERRY_KEYS",
        "FOLDER",
        "Folder with the key files",
        "keys",
    )
}

/// Flag for the least severe level that is logged.
pub fn log_level_flag() -> impl Parser<String> {
    flag(
        "log-level",
        "BILBERRY_LOG_LEVEL",
        "LEVEL",
        "Least severe level that is logged: off, error, warn, info, debug or trace",
        "info",
    )
}

/// Parser of [`TelemetryOptions`].
pub fn telemetry_options() -> impl Parser<TelemetryOptions> {
    let log_level = log_level_flag();
    let log_format = flag(
        "log-format",
        "BILBERRY_LOG_FORMAT",
        "FORMAT",
        "Form of a log line on standard error: text or json",
        "text",
    );
    let statsd = optional_flag(
        "statsd",
        "BILBERRY_STATSD",
        "IP:PORT",
        "Address that metrics are sent to over UDP; none are sent without it",
    );
    let traces = optional_flag(
        "traces",
        "BILBERRY_TRACES",
        "FILE",
        "File that trace spans are appended to as JSON lines; none are kept without it",
    );
    construct!(TelemetryOptions {
        log_level,
        log_format,
        statsd,
        traces,
    })
}

/// Settings of logs, metrics and traces.
#[derive(Debug, Clone, Default)]
pub struct TelemetrySettings {
    /// Logs.
    pub logs: LogSettings,
    /// Metrics.
    pub metrics: MetricSettings,
    /// Traces.
    pub traces: TraceSettings,
}

impl TelemetryOptions {
    /// Converts the flags; metrics begin with `prefix`.
    pub fn read(&self, reader: &mut OptionReader, prefix: &str) -> Option<TelemetrySettings> {
        let level = reader.parse_value("log-level", &self.log_level);
        let format = reader.parse_value::<LogFormat>("log-format", &self.log_format);
        let address: Option<SocketAddr> = reader.parse_optional("statsd", self.statsd.as_deref());
        Some(TelemetrySettings {
            logs: LogSettings {
                level: level?,
                format: format?,
                output: LogOutput::Stderr,
            },
            metrics: MetricSettings {
                address,
                prefix: prefix.to_string(),
            },
            traces: TraceSettings {
                path: self.traces.as_ref().map(PathBuf::from),
            },
        })
    }
}

impl TelemetrySettings {
    /// Starts logs and traces; metrics are started by the daemon that sends them.
    pub fn start(&self) -> Result<()> {
        telemetry::start_logs(&self.logs)?;
        telemetry::start_traces(&self.traces)
    }
}

/// Prints the line by which a test or script learns an address that the system chose.
///
/// `print_listen_address("callers", address)` prints `listening callers 127.0.0.1:40001`.
pub fn print_listen_address(role: &str, address: SocketAddr) {
    use std::io::Write;
    let mut output = std::io::stdout().lock();
    // Nobody reads the line if standard output is closed.
    let _ = writeln!(output, "listening {role} {address}");
    let _ = output.flush();
}
