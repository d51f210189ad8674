//! `status`: the state of the fleet.

use control::{FleetStatus, NodeReport};
use eyre::Result;

use crate::capacity::serves;
use crate::commands::CommandReport;
use crate::connection::ControlConnection;
use crate::members::members_table;
use crate::table::text_table;

/// Shows the state of the fleet.
pub(crate) async fn status(connection: &ControlConnection, json: bool) -> Result<CommandReport> {
    let status = connection.status().await?;
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
    text += &format!("{} nodes, {} lag\n", status.nodes.len(), lagging.count());
    for node in &status.missing {
        let (name, place) = (&node.name, &node.data_centre);
        let (version, silent) = (node.config, node.silent_ms);
        text += &format!("{name} in {place} silent for {silent} ms, had version {version}\n");
    }
    for name in &status.out_data_centres {
        text += &format!("data centre {name} is out\n");
    }
    for name in &status.out_targets {
        text += &format!("target {name} is out\n");
    }
    let nodes: Vec<Vec<String>> = status.nodes.iter().map(row).collect();
    let head = [
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
        text_table(&head, &nodes),
    ]
    .join("\n")
}

/// The services and their targets that take work.
fn services_table(status: &FleetStatus) -> String {
    let rows: Vec<Vec<String>> = status
        .services
        .iter()
        .map(|service| {
            let targets = status.nodes.iter().filter(|node| {
                let target = node.target.as_ref();
                serves(status, node) && target.is_some_and(|target| target.service == service.name)
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

fn row(node: &NodeReport) -> Vec<String> {
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
