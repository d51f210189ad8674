//! Entry daemon, which terminates callers' HTTP.

use std::net::SocketAddr;

use bilberrycrank::options::{
    NodeOptions, OptionReader, TelemetryOptions, TelemetrySettings, flag, node_options,
    parse_or_exit, telemetry_options, wait_for_stop,
};
use bpaf::{OptionParser, Parser, construct};
use entry::{EntryLimits, EntryParts, EntrySettings};

struct EntryOptions {
    node: NodeOptions,
    http: String,
    max_body: String,
    max_headers: String,
    body_timeout_ms: String,
    request_timeout_ms: String,
    spill_after_ms: String,
    wave_size: String,
    telemetry: TelemetryOptions,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = parse_or_exit(&options());
    let mut reader = OptionReader::default();
    let settings = options.read(&mut reader);
    let (settings, telemetry) = reader.finish_or_exit(settings);
    telemetry.start()?;
    let parts = EntryParts {
        metrics: telemetry::start_metrics(&telemetry.metrics)?,
        ..EntryParts::default()
    };
    let entry = entry::start_with(settings, parts).await?;
    bilberrycrank::options::print_listen_address("callers", entry.http());
    bilberrycrank::options::print_listen_address("links", entry.address());
    wait_for_stop().await?;
    entry.leave().await;
    telemetry::stop_traces();
    Ok(())
}

fn options() -> OptionParser<EntryOptions> {
    let node = node_options("Local address for links to agents and control nodes (UDP)");
    let http = flag(
        "http",
        "BILBERRY_HTTP",
        "IP:PORT",
        "Address for callers' HTTP, /healthz and /readyz (TCP)",
        "127.0.0.1:8080",
    );
    let max_body = flag(
        "max-body",
        "BILBERRY_MAX_BODY",
        "BYTES",
        "Maximum size of a request body",
        "16777216",
    );
    let max_headers = flag(
        "max-headers",
        "BILBERRY_MAX_HEADERS",
        "BYTES",
        "Maximum total size of header names and values",
        "65536",
    );
    let body_timeout_ms = flag(
        "body-timeout-ms",
        "BILBERRY_BODY_TIMEOUT_MS",
        "MS",
        "Time within which a request body must arrive",
        "30000",
    );
    let request_timeout_ms = flag(
        "request-timeout-ms",
        "BILBERRY_REQUEST_TIMEOUT_MS",
        "MS",
        "Maximum time from the arrival of a request to the end of its response",
        "300000",
    );
    let spill_after_ms = flag(
        "spill-after-ms",
        "BILBERRY_SPILL_AFTER_MS",
        "MS",
        "Time after which a waiting request is offered to other regions",
        "150",
    );
    let wave_size = flag(
        "wave-size",
        "BILBERRY_WAVE_SIZE",
        "AGENTS",
        "Number of agents to which a request is offered at once; the next wave follows after 20 ms",
        "100000",
    );
    let telemetry = telemetry_options();
    construct!(EntryOptions {
        node,
        http,
        max_body,
        max_headers,
        body_timeout_ms,
        request_timeout_ms,
        spill_after_ms,
        wave_size,
        telemetry,
    })
    .to_options()
    .descr("Entry for callers. On SIGTERM, it completes its requests and exits.")
}

impl EntryOptions {
    /// Parses the flags. An invalid one is replaced by a placeholder, so that the others are still
    /// checked.
    fn read(&self, reader: &mut OptionReader) -> Option<(EntrySettings, TelemetrySettings)> {
        let node = self.node.read(reader);
        let settings = EntrySettings {
            name: node.name,
            http: reader
                .parse_value("http", &self.http)
                .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            listen: node.listen,
            data_centre: node.data_centre,
            controls: node.controls,
            keys: node.keys,
            limits: self.read_limits(reader),
        };
        let faults = settings.faults();
        faults.into_iter().for_each(|fault| reader.add_fault(fault));
        let telemetry = self.telemetry.read(reader, "bilberry.entry")?;
        Some((settings, telemetry))
    }

    fn read_limits(&self, reader: &mut OptionReader) -> EntryLimits {
        let defaults = EntryLimits::default();
        EntryLimits {
            max_body: reader
                .parse_value("max-body", &self.max_body)
                .unwrap_or(defaults.max_body),
            max_headers: reader
                .parse_value("max-headers", &self.max_headers)
                .unwrap_or(defaults.max_headers),
            body_timeout: reader
                .parse_millis("body-timeout-ms", &self.body_timeout_ms)
                .unwrap_or(defaults.body_timeout),
            request_timeout: reader
                .parse_millis("request-timeout-ms", &self.request_timeout_ms)
                .unwrap_or(defaults.request_timeout),
            spill_after: reader
                .parse_millis("spill-after-ms", &self.spill_after_ms)
                .unwrap_or(defaults.spill_after),
            wave_size: reader
                .parse_value("wave-size", &self.wave_size)
                .unwrap_or(defaults.wave_size),
        }
    }
}
