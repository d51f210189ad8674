//! Development fleet with all roles and stand-ins in one process on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bilberrycrank::dev::{DevFleet, DevSettings, print_guide, read_services_text};
use bilberrycrank::options::{
    OptionReader, TelemetryOptions, TelemetrySettings, flag, optional_flag, parse_or_exit,
    telemetry_options,
};
use bpaf::{OptionParser, Parser, construct};
use eyre::Result;
use standin::EngineSettings;

/// Maximum number of entries, and of stand-ins for each service.
const MAX_NODES: u64 = 50;
/// Maximum number of control nodes.
const MAX_CONTROLS: u64 = 7;

const KAMENNY_ZUB_TEXT: &str = include_str!("../../examples/kamenny-zub/services.toml");
const KANDY_TEXT: &str = include_str!("../../examples/kandy/services.toml");

struct DevOptions {
    deployment: String,
    text: Option<String>,
    http: String,
    controls: String,
    entries: String,
    engines: String,
    services: String,
    token_ms: String,
    run_s: Option<String>,
    telemetry: TelemetryOptions,
}

struct DevRunSettings {
    fleet: DevSettings,
    organisation: &'static str,
    profile: &'static str,
    run_time: Option<Duration>,
    telemetry: TelemetrySettings,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options = parse_or_exit(&options());
    let mut reader = OptionReader::default();
    let settings = options.read(&mut reader);
    let settings = reader.finish_or_exit(settings);
    settings.telemetry.start()?;
    let fleet = DevFleet::start(settings.fleet).await?;
    print_guide(&fleet, settings.organisation, settings.profile);
    println!("ready");
    match settings.run_time {
        Some(time) => {
            // The fleet ends without an error both after the time limit and on Ctrl-C.
            let _ = tokio::time::timeout(time, tokio::signal::ctrl_c()).await;
        }
        None => tokio::signal::ctrl_c().await?,
    }
    telemetry::stop_traces();
    Ok(())
}

fn options() -> OptionParser<DevOptions> {
    let deployment = flag(
        "deployment",
        "BILBERRY_DEV_DEPLOYMENT",
        "NAME",
        "Example deployment: kamenny-zub or kandy",
        "kamenny-zub",
    );
    let text = optional_flag(
        "text",
        "BILBERRY_DEV_TEXT",
        "FILE",
        "Services text; overrides the one of the example deployment",
    );
    let http = flag(
        "http",
        "BILBERRY_DEV_HTTP",
        "IP:PORT",
        "Address of the first entry for callers' HTTP; port 0 lets the system choose the port",
        "127.0.0.1:0",
    );
    let controls = flag(
        "controls",
        "BILBERRY_DEV_CONTROLS",
        "COUNT",
        "Number of control nodes, 1 to 7",
        "1",
    );
    let entries = flag(
        "entries",
        "BILBERRY_DEV_ENTRIES",
        "COUNT",
        "Number of entries",
        "3",
    );
    let engines = flag(
        "engines",
        "BILBERRY_DEV_ENGINES",
        "COUNT",
        "Number of engine stand-ins for each model service",
        "12",
    );
    let services = flag(
        "services",
        "BILBERRY_DEV_SERVICES",
        "COUNT",
        "Number of service stand-ins for each plain service",
        "2",
    );
    let token_ms = flag(
        "token-ms",
        "BILBERRY_DEV_TOKEN_MS",
        "MS",
        "Time between two tokens of an engine stand-in",
        "20",
    );
    let run_s = optional_flag(
        "run-s",
        "BILBERRY_DEV_RUN_S",
        "S",
        "Time after which the fleet exits; if it is not given, the fleet runs until Ctrl-C",
    );
    let telemetry = telemetry_options();
    construct!(DevOptions {
        deployment,
        text,
        http,
        controls,
        entries,
        engines,
        services,
        token_ms,
        run_s,
        telemetry,
    })
    .to_options()
    .descr("Development fleet in one process on loopback, with keys in a temporary folder.")
}

impl DevOptions {
    fn read(&self, reader: &mut OptionReader) -> Option<DevRunSettings> {
        let example = self.read_example(reader);
        let text = self.text.as_ref().and_then(|path| {
            read_services_text(&PathBuf::from(path))
                .map_err(|error| reader.add_fault(format!("{error:#}")))
                .ok()
        });
        let http = reader.parse_value::<SocketAddr>("http", &self.http);
        if http.is_some_and(|address| !address.ip().is_loopback()) {
            reader.add_fault(format!(
                "Failed to read --http {:?}: expected a loopback address",
                self.http
            ));
        }
        let controls = reader.parse_in_range("controls", &self.controls, 1, MAX_CONTROLS);
        let entries = reader.parse_in_range("entries", &self.entries, 1, MAX_NODES);
        let engines = reader.parse_in_range("engines", &self.engines, 1, MAX_NODES);
        let services = reader.parse_in_range("services", &self.services, 1, MAX_NODES);
        let token_time = reader.parse_millis("token-ms", &self.token_ms);
        let run_s = reader.parse_optional::<u64>("run-s", self.run_s.as_deref());
        let telemetry = self.telemetry.read(reader, "bilberry.dev");
        let (example_text, organisation, profile) = example?;
        let fleet = DevSettings {
            controls: controls? as usize,
            entries: entries? as usize,
            engines: engines? as usize,
            services: services? as usize,
            http: http?,
            engine: EngineSettings {
                token_time: token_time?,
                ..EngineSettings::default()
            },
            ..DevSettings::new(
                &text.unwrap_or_else(|| example_text.to_string()),
                &format!("example-key-{organisation}"),
            )
        };
        Some(DevRunSettings {
            fleet,
            organisation,
            profile,
            run_time: run_s.map(Duration::from_secs),
            telemetry: telemetry?,
        })
    }

    /// Returns the services text, organisation and path of the load profile of the example
    /// deployment.
    fn read_example(
        &self,
        reader: &mut OptionReader,
    ) -> Option<(&'static str, &'static str, &'static str)> {
        match self.deployment.as_str() {
            "kamenny-zub" => Some((
                KAMENNY_ZUB_TEXT,
                "mlyn-hora",
                "examples/kamenny-zub/load.toml",
            )),
            "kandy" => Some((KANDY_TEXT, "temple-trust", "examples/kandy/load.toml")),
            other => {
                reader.add_fault(format!(
                    "Failed to read --deployment {other:?}: expected kamenny-zub or kandy"
                ));
                None
            }
        }
    }
}
