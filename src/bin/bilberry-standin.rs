//! Stand-in for a model engine or plain service in development, with faults that can be switched.

use bilberrycrank::options::{
    OptionReader, TelemetryOptions, TelemetrySettings, flag, optional_flag, parse_or_exit,
    print_listen_address, telemetry_options,
};
use bpaf::{OptionParser, Parser, construct};
use eyre::Result;
use standin::{
    EngineFaults, EngineSettings, ServiceFaults, ServiceSettings, start_engine, start_service,
};

/// Maximum number of requests in a batch or queue, and of prefixes in a cache.
const MAX_COUNT: u64 = 10_000;

enum StandinCommand {
    Engine(Box<EngineOptions>),
    Service(ServiceOptions),
}

struct EngineOptions {
    address: String,
    token_ms: String,
    prefill_ms: String,
    cached_prefill_ms: String,
    batch: String,
    queue: String,
    cold: String,
    cache: String,
    report_lag_ms: String,
    event_lag_ms: String,
    event_gap: String,
    outage_ms: String,
    crash_marker: Option<String>,
    ignore_fence: bool,
    telemetry: TelemetryOptions,
}

struct ServiceOptions {
    address: String,
    call_ms: String,
    lose_replies: String,
    telemetry: TelemetryOptions,
}

#[tokio::main]
async fn main() -> Result<()> {
    match parse_or_exit(&command_options()) {
        StandinCommand::Engine(options) => {
            let mut reader = OptionReader::default();
            let settings = options.read(&mut reader);
            let (settings, telemetry) = reader.finish_or_exit(settings);
            telemetry.start()?;
            let engine = start_engine(settings).await?;
            print_listen_address("engine", engine.address());
            engine.wait().await;
        }
        StandinCommand::Service(options) => {
            let mut reader = OptionReader::default();
            let settings = options.read(&mut reader);
            let (settings, telemetry) = reader.finish_or_exit(settings);
            telemetry.start()?;
            let service = start_service(settings).await?;
            print_listen_address("service", service.address());
            service.wait().await;
        }
    }
    Ok(())
}

fn command_options() -> OptionParser<StandinCommand> {
    let engine = engine_options()
        .to_options()
        .descr("Model engine with chat completions whose tokens are computed from the request.")
        .command("engine")
        .map(Box::new);
    let engine = construct!(StandinCommand::Engine(engine));
    let service = service_options()
        .to_options()
        .descr("Plain service with records and bookings; the bookings are counted.")
        .command("service");
    let service = construct!(StandinCommand::Service(service));
    construct!([engine, service])
        .to_options()
        .descr("Stand-in for a target. Prints `listening ROLE IP:PORT` when it accepts requests.")
}

fn engine_options() -> impl Parser<EngineOptions> {
    let address = address_flag();
    let token_ms = millis_flag("token-ms", "Time between two tokens", "20");
    let prefill_ms = millis_flag(
        "prefill-ms",
        "Time to the first token if the prefix of the prompt is not cached",
        "100",
    );
    let cached_prefill_ms = millis_flag(
        "cached-prefill-ms",
        "Time to the first token if the prefix of the prompt is cached",
        "20",
    );
    let batch = count_flag("batch", "Maximum number of concurrent requests", "8");
    let queue = count_flag(
        "queue",
        "Maximum number of waiting requests; further ones are refused",
        "64",
    );
    let cold = count_flag(
        "cold",
        "Maximum number of concurrent requests on a cold engine; more crash it",
        "1",
    );
    let cache = count_flag("cache", "Maximum number of prefixes in the cache", "64");
    let report_lag_ms = millis_flag("report-lag-ms", "Age of a load report", "500");
    let event_lag_ms = millis_flag("event-lag-ms", "Delay of a cache event", "1000");
    let event_gap = count_flag(
        "event-gap",
        "Every COUNT-th cache event is lost; 0 loses none",
        "7",
    );
    let outage_ms = millis_flag("outage-ms", "Duration of the outage after a crash", "3000");
    let crash_marker = optional_flag(
        "crash-marker",
        "BILBERRY_STANDIN_CRASH_MARKER",
        "TEXT",
        "Text that crashes the engine if a request contains it",
    );
    let ignore_fence = bpaf::long("ignore-fence")
        .help("Accept load orders with an outdated fencing number")
        .switch();
    let telemetry = telemetry_options();
    construct!(EngineOptions {
        address,
        token_ms,
        prefill_ms,
        cached_prefill_ms,
        batch,
        queue,
        cold,
        cache,
        report_lag_ms,
        event_lag_ms,
        event_gap,
        outage_ms,
        crash_marker,
        ignore_fence,
        telemetry,
    })
}

fn service_options() -> impl Parser<ServiceOptions> {
    let address = address_flag();
    let call_ms = millis_flag("call-ms", "Duration of a call", "20");
    let lose_replies = count_flag(
        "lose-replies",
        "Number of bookings whose reply is lost",
        "0",
    );
    let telemetry = telemetry_options();
    construct!(ServiceOptions {
        address,
        call_ms,
        lose_replies,
        telemetry,
    })
}

fn address_flag() -> impl Parser<String> {
    flag(
        "address",
        "BILBERRY_STANDIN_ADDRESS",
        "IP:PORT",
        "Address to listen on; port 0 lets the system choose the port",
        "127.0.0.1:0",
    )
}

fn millis_flag(
    name: &'static str,
    help: &'static str,
    default: &str,
) -> impl Parser<String> + use<> {
    bpaf::long(name)
        .help(help)
        .argument::<String>("MS")
        .fallback(default.to_string())
        .display_fallback()
}

fn count_flag(
    name: &'static str,
    help: &'static str,
    default: &str,
) -> impl Parser<String> + use<> {
    bpaf::long(name)
        .help(help)
        .argument::<String>("COUNT")
        .fallback(default.to_string())
        .display_fallback()
}

fn parse_count(reader: &mut OptionReader, flag: &str, text: &str, min: u64) -> Option<usize> {
    reader
        .parse_in_range(flag, text, min, MAX_COUNT)
        .map(|count| count as usize)
}

impl EngineOptions {
    fn read(&self, reader: &mut OptionReader) -> Option<(EngineSettings, TelemetrySettings)> {
        let address = reader.parse_value("address", &self.address);
        let token_time = reader.parse_millis("token-ms", &self.token_ms);
        let prefill_time = reader.parse_millis("prefill-ms", &self.prefill_ms);
        let cached_prefill_time = reader.parse_millis("cached-prefill-ms", &self.cached_prefill_ms);
        let batch_limit = parse_count(reader, "batch", &self.batch, 1);
        let queue_limit = parse_count(reader, "queue", &self.queue, 0);
        let cold_limit = parse_count(reader, "cold", &self.cold, 1);
        let cache_limit = parse_count(reader, "cache", &self.cache, 1);
        let report_lag = reader.parse_millis("report-lag-ms", &self.report_lag_ms);
        let event_lag = reader.parse_millis("event-lag-ms", &self.event_lag_ms);
        let event_gap = reader.parse_value("event-gap", &self.event_gap);
        let outage_time = reader.parse_millis("outage-ms", &self.outage_ms);
        let telemetry = self.telemetry.read(reader, "bilberry.standin");
        let settings = EngineSettings {
            address: address?,
            token_time: token_time?,
            prefill_time: prefill_time?,
            cached_prefill_time: cached_prefill_time?,
            batch_limit: batch_limit?,
            queue_limit: queue_limit?,
            cold_limit: cold_limit?,
            cache_limit: cache_limit?,
            report_lag: report_lag?,
            event_lag: event_lag?,
            event_gap: event_gap?,
            outage_time: outage_time?,
            checks_fence: !self.ignore_fence,
            faults: EngineFaults {
                crash_marker: self.crash_marker.clone(),
                ..EngineFaults::default()
            },
            ..EngineSettings::default()
        };
        Some((settings, telemetry?))
    }
}

impl ServiceOptions {
    fn read(&self, reader: &mut OptionReader) -> Option<(ServiceSettings, TelemetrySettings)> {
        let address = reader.parse_value("address", &self.address);
        let call_time = reader.parse_millis("call-ms", &self.call_ms);
        let lose_replies = reader.parse_value("lose-replies", &self.lose_replies);
        let telemetry = self.telemetry.read(reader, "bilberry.standin");
        let settings = ServiceSettings {
            address: address?,
            call_time: call_time?,
            faults: ServiceFaults {
                lose_replies: lose_replies?,
                ..ServiceFaults::default()
            },
        };
        Some((settings, telemetry?))
    }
}
