//! `status`: shows the state of the fleet.

use control::{FleetStatus, NodeReport};
use eyre::Result;

use crate::capacity::is_serving;
use crate::commands::CommandReport;
use crate::connection::ControlConnection;
use crate::members::members_table;
use crate::table::text_table;

pub(crate) async fn show_status(
    connection: &ControlConnection,
    json: bool,
) -> Result<CommandReport> {
    let status = connection.fetch_status().await?;
    if json {
        return Ok(CommandReport::done(serde_json::to_string(&status)? + "\n"));
    }
    Ok(CommandReport::done(status_text(&status)))
}

fn status_text(status: &FleetStatus) -> String {
    let leader = status.leader.as_ref().map(ToString::to_string);
    let confirmed = match status.confirmed_ms {
        Some(age) => format!("{age} ms ago"),
        None => "no quorum".into(),
    };
    let lagging = status.nodes.iter().filter(|node| node.lags_ms.is_some());
    let mut text = format!(
        "version {}, leader {}, term {}, confirmed {confirmed}, {} call records\n",
        status.version,
        leader.unwrap_or_else(|| "unknown".into()),
        status.term,
        status.calls
    );
    text += &format!(
        "{} nodes, {} lagging\n",
        status.nodes.len(),
        lagging.count()
    );
    for node in &status.missing {
        let (name, data_centre) = (&node.name, &node.data_centre);
        let (version, silence) = (node.config, node.silent_ms);
        text += &format!(
            "{name} in {data_centre} silent for {silence} ms, last known version {version}\n"
        );
    }
    for name in &status.out_data_centres {
        text += &format!("data centre {name} is out\n");
    }
    for name in &status.out_targets {
        text += &format!("target {name} is out\n");
    }
    let nodes: Vec<Vec<String>> = status.nodes.iter().map(node_row).collect();
    let header = [
        "NODE",
        "DATA CENTRE",
        "ADDRESS",
        "STATE",
        "VERSION",
        "LAGS",
        "TARGET",
        "SERVICE",
        "RUNNING",
    ];
    [
        text,
        members_table(&status.controls),
        services_table(status),
        text_table(&header, &nodes),
    ]
    .join("\n")
}

/// Table of the services, with the number of targets that accept new work.
fn services_table(status: &FleetStatus) -> String {
    let rows: Vec<Vec<String>> = status
        .services
        .iter()
        .map(|service| {
            let targets = status.nodes.iter().filter(|node| {
                let target = node.target.as_ref();
                is_serving(status, node)
                    && target.is_some_and(|target| target.service == service.name)
            });
            let dependencies = service.depends_on.iter().map(ToString::to_string);
            vec![
                service.name.to_string(),
                targets.count().to_string(),
                dependencies.collect::<Vec<_>>().join(" "),
            ]
        })
        .collect();
    text_table(&["SERVICE", "LIVE TARGETS", "DEPENDS ON"], &rows)
}

fn node_row(node: &NodeReport) -> Vec<String> {
    let state = if node.leaving { "leaving" } else { "serving" };
    let lag = node.lags_ms.map(|lag| format!("{lag} ms"));
    let (target, service, running) = match &node.target {
        Some(target) => (
            target.target.to_string(),
            target.service.to_string(),
            format!("{}/{}", target.running, target.limit),
        ),
        None => ("-".into(), "-".into(), "-".into()),
    };
    vec![
        node.name.to_string(),
        node.data_centre.to_string(),
        node.address.clone(),
        state.into(),
        node.config.to_string(),
        lag.unwrap_or_else(|| "-".into()),
        target,
        service,
        running,
    ]
}
