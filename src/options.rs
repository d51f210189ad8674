//! Command-line flags and environment variables of the binaries.
//!
//! Flags are read as text and parsed by an [`OptionReader`], which collects all errors, so that one
//! start reports all of them.

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

/// Exit code for invalid settings.
const INVALID_SETTINGS_EXIT_CODE: i32 = 2;
/// Width of the help text in columns.
const HELP_WIDTH: usize = 100;

/// Returns a parser for the flag `--name` with a default and an environment variable.
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

/// Returns a parser for the optional flag `--name` with an environment variable.
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

/// Parses the command line. If it asks for help or is invalid, prints a message and exits.
pub fn parse_or_exit<T>(parser: &OptionParser<T>) -> T {
    match parser.run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            exit(match failure {
                ParseFailure::Stderr(_) => INVALID_SETTINGS_EXIT_CODE,
                _ => 0,
            })
        }
    }
}

/// Parses the texts of flags and collects the errors.
#[derive(Debug, Default)]
pub struct OptionReader {
    faults: Vec<String>,
}

impl OptionReader {
    /// Parses the text of a flag; returns `None` and records an error if it is invalid.
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

    /// Parses the text of an optional flag, if it is given.
    pub fn parse_optional<T>(&mut self, flag: &str, text: Option<&str>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        text.and_then(|text| self.parse_value(flag, text))
    }

    /// Parses an integer number of milliseconds.
    pub fn parse_millis(&mut self, flag: &str, text: &str) -> Option<Duration> {
        self.parse_value(flag, text).map(Duration::from_millis)
    }

    /// Parses a number from `min` to `max`, both included.
    pub fn parse_in_range(&mut self, flag: &str, text: &str, min: u64, max: u64) -> Option<u64> {
        let number = self.parse_value(flag, text)?;
        if (min..=max).contains(&number) {
            return Some(number);
        }
        self.add_fault(format!(
            "Failed to read --{flag} {text:?}: expected a number from {min} to {max}"
        ));
        None
    }

    /// Parses a required name. Names appear in certificates and file names, so only lower-case
    /// letters, digits and hyphens are allowed.
    pub fn parse_name<'a, T: From<&'a str>>(&mut self, flag: &str, text: &'a str) -> Option<T> {
        let is_allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        if !text.is_empty() && text.bytes().all(is_allowed) {
            return Some(T::from(text));
        }
        self.add_fault(format!(
            "Failed to read --{flag} {text:?}: expected lower-case letters, digits and hyphens"
        ));
        None
    }

    /// Parses a list of addresses separated by commas.
    pub fn parse_addresses(&mut self, flag: &str, text: &str) -> Option<Vec<SocketAddr>> {
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        let parts: Vec<_> = parts.map(|part| self.parse_value(flag, part)).collect();
        parts.into_iter().collect()
    }

    /// Records an error message.
    pub fn add_fault(&mut self, fault: String) {
        self.faults.push(fault);
    }

    /// Returns the settings, or prints all errors and exits if there are any.
    pub fn finish_or_exit<T>(self, settings: Option<T>) -> T {
        match settings {
            Some(settings) if self.faults.is_empty() => settings,
            _ => {
                for fault in &self.faults {
                    eprintln!("{fault}");
                }
                exit(INVALID_SETTINGS_EXIT_CODE)
            }
        }
    }
}

/// Flags that are common to entries and agents.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    name: String,
    listen: String,
    data_centre: String,
    controls: String,
    keys: String,
}

/// Settings that are common to entries and agents.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of the node.
    pub name: NodeName,
    /// Local address of the link endpoint.
    pub listen: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Addresses of the control nodes.
    pub controls: Vec<SocketAddr>,
    /// Folder with the key files.
    pub keys: PathBuf,
}

/// Returns a parser for [`NodeOptions`]; the help text of `--listen` depends on the daemon.
pub fn node_options(listen_help: &'static str) -> impl Parser<NodeOptions> {
    let name = flag(
        "name",
        "BILBERRY_NAME",
        "NAME",
        "Name of this node as in its certificate, unique in the fleet",
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
    /// Parses the flags. An invalid one is replaced by a placeholder, so that the others are still
    /// checked.
    pub fn read(&self, reader: &mut OptionReader) -> NodeSettings {
        let placeholder_address = SocketAddr::from(([127, 0, 0, 1], 0));
        NodeSettings {
            name: reader
                .parse_name("name", &self.name)
                .unwrap_or("none".into()),
            listen: reader
                .parse_value("listen", &self.listen)
                .unwrap_or(placeholder_address),
            data_centre: reader
                .parse_name("data-centre", &self.data_centre)
                .unwrap_or("none".into()),
            controls: reader
                .parse_addresses("controls", &self.controls)
                .unwrap_or(vec![placeholder_address]),
            keys: PathBuf::from(&self.keys),
        }
    }
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop() -> Result<()> {
    let mut terminate = tokio::signal::unix::signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupt = tokio::signal::ctrl_c() => interrupt?,
    }
    Ok(())
}

/// Flags for logs, metrics and traces, which are common to all daemons.
#[derive(Debug, Clone)]
pub struct TelemetryOptions {
    log_level: String,
    log_format: String,
    statsd: Option<String>,
    traces: Option<String>,
}

/// Returns a parser for the flag with the folder of the key files.
pub fn keys_flag() -> impl Parser<String> {
    flag(
        "keys",
        "BILBERRY_KEYS",
        "FOLDER",
        "Folder with the key files",
        "keys",
    )
}

/// Returns a parser for the flag with the minimum severity of log lines.
pub fn log_level_flag() -> impl Parser<String> {
    flag(
        "log-level",
        "BILBERRY_LOG_LEVEL",
        "LEVEL",
        "Minimum severity of log entries: off, error, warn, info, debug or trace",
        "info",
    )
}

/// Returns a parser for [`TelemetryOptions`].
pub fn telemetry_options() -> impl Parser<TelemetryOptions> {
    let log_level = log_level_flag();
    let log_format = flag(
        "log-format",
        "BILBERRY_LOG_FORMAT",
        "FORMAT",
        "Format of log entries on standard error: text or json",
        "text",
    );
    let statsd = optional_flag(
        "statsd",
        "BILBERRY_STATSD",
        "IP:PORT",
        "Address to which metrics are sent over UDP; if it is not given, no metrics are sent",
    );
    let traces = optional_flag(
        "traces",
        "BILBERRY_TRACES",
        "FILE",
        "File to which trace spans are appended as JSON lines; if it is not given, there are none",
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
    /// Settings of logs.
    pub logs: LogSettings,
    /// Settings of metrics.
    pub metrics: MetricSettings,
    /// Settings of traces.
    pub traces: TraceSettings,
}

impl TelemetryOptions {
    /// Parses the flags; `prefix` is the prefix of metric names.
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
    /// Starts logs and traces. Metrics are started separately by the daemons that send them.
    pub fn start(&self) -> Result<()> {
        telemetry::start_logs(&self.logs)?;
        telemetry::start_traces(&self.traces)
    }
}

/// Prints the address on which a daemon listens, for tests and scripts that let the system choose
/// the port.
///
/// `print_listen_address("callers", address)` prints `listening callers 127.0.0.1:40001`.
pub fn print_listen_address(role: &str, address: SocketAddr) {
    use std::io::Write;
    let mut output = std::io::stdout().lock();
    // An error means that standard output is closed, so nothing reads the line.
    let _ = writeln!(output, "listening {role} {address}");
    let _ = output.flush();
}
