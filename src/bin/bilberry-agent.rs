//! Agent daemon, the only path to one target.

use std::net::SocketAddr;

use agent::{AgentParts, AgentSettings, TargetKind};
use bilberrycrank::options::{
    NodeOptions, OptionReader, TelemetryOptions, TelemetrySettings, flag, node_options,
    parse_or_exit, telemetry_options, wait_for_stop,
};
use bpaf::{OptionParser, Parser, construct};
use units::SlotCount;

struct AgentOptions {
    node: NodeOptions,
    target: String,
    service: String,
    kind: String,
    target_url: String,
    cold_limit: String,
    most_slots: String,
    health: String,
    telemetry: TelemetryOptions,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = parse_or_exit(&options());
    let mut reader = OptionReader::default();
    let settings = options.read(&mut reader);
    let (settings, telemetry) = reader.finish_or_exit(settings);
    telemetry.start()?;
    let parts = AgentParts {
        metrics: telemetry::start_metrics(&telemetry.metrics)?,
        ..AgentParts::default()
    };
    let agent = agent::start_with(settings, parts).await?;
    bilberrycrank::options::print_listen_address("entries", agent.address());
    bilberrycrank::options::print_listen_address("health", agent.health_address());
    wait_for_stop().await?;
    agent.leave().await;
    telemetry::stop_traces();
    Ok(())
}

fn options() -> OptionParser<AgentOptions> {
    let node = node_options("Local address for links from entries (UDP)");
    let target = flag(
        "target",
        "BILBERRY_TARGET",
        "NAME",
        "Name of the target, unique in the fleet",
        "",
    );
    let service = flag(
        "service",
        "BILBERRY_SERVICE",
        "NAME",
        "Service of the target, as in the services text",
        "",
    );
    let kind = flag(
        "kind",
        "BILBERRY_KIND",
        "KIND",
        "Kind of the target: model (cost in tokens) or plain (cost in calls)",
        "model",
    );
    let target_url = flag(
        "target-url",
        "BILBERRY_TARGET_URL",
        "URL",
        "Base URL of the target",
        "http://127.0.0.1:8000",
    );
    let cold_limit = flag(
        "cold-limit",
        "BILBERRY_COLD_LIMIT",
        "COUNT",
        "Maximum number of concurrent requests to a cold target",
        "1",
    );
    let most_slots = flag(
        "most-slots",
        "BILBERRY_MOST_SLOTS",
        "COUNT",
        "Maximum number of concurrent requests to the target",
        "64",
    );
    let health = flag(
        "health",
        "BILBERRY_HTTP",
        "IP:PORT",
        "Address for /healthz and /readyz (TCP)",
        "127.0.0.1:0",
    );
    let telemetry = telemetry_options();
    construct!(AgentOptions {
        node,
        target,
        service,
        kind,
        target_url,
        cold_limit,
        most_slots,
        health,
        telemetry,
    })
    .to_options()
    .descr("Agent of one target. On SIGTERM, it completes its running requests and exits.")
}

impl AgentOptions {
    /// Parses the flags. An invalid one is replaced by a placeholder, so that the others are still
    /// checked.
    fn read(&self, reader: &mut OptionReader) -> Option<(AgentSettings, TelemetrySettings)> {
        let node = self.node.read(reader);
        let settings = AgentSettings {
            name: node.name,
            listen: node.listen,
            data_centre: node.data_centre,
            controls: node.controls,
            keys: node.keys,
            target: reader
                .parse_name("target", &self.target)
                .unwrap_or("none".into()),
            service: reader
                .parse_name("service", &self.service)
                .unwrap_or("none".into()),
            kind: reader
                .parse_value("kind", &self.kind)
                .unwrap_or(TargetKind::Model),
            target_url: self.target_url.clone(),
            cold_limit: reader
                .parse_value("cold-limit", &self.cold_limit)
                .unwrap_or(SlotCount(1)),
            most_slots: reader
                .parse_value("most-slots", &self.most_slots)
                .unwrap_or(SlotCount(u32::MAX)),
            health: reader
                .parse_value("health", &self.health)
                .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
        };
        let faults = settings.faults();
        faults.into_iter().for_each(|fault| reader.add_fault(fault));
        let telemetry = self.telemetry.read(reader, "bilberry.agent")?;
        Some((settings, telemetry))
    }
}
