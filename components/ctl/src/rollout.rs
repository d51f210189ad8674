//! `rollout`: starts, shows and cancels roll-outs of a software version.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eyre::Result;
use rollout::{RolloutPhase, RolloutRecord};
use wire::OperatorOrder;

use crate::apply::reply_report;
use crate::commands::{CommandReport, ExitStatus};
use crate::connection::ControlConnection;
use crate::options::RolloutCommand;
use crate::table::text_table;

pub(crate) async fn run_rollout_command(
    connection: &ControlConnection,
    command: &RolloutCommand,
    json: bool,
) -> Result<CommandReport> {
    let order = match command {
        RolloutCommand::Start {
            duration,
            service,
            version,
        } => {
            let Ok(duration) = Duration::try_from_secs_f64(*duration) else {
                let message = format!("Failed to read --duration {duration}: expected seconds");
                return Ok(CommandReport::usage(message));
            };
            OperatorOrder::StartRollout {
                service: service.as_str().into(),
                to: version.as_str().into(),
                duration_ms: duration.as_millis() as u64,
            }
        }
        RolloutCommand::Cancel { service } => OperatorOrder::CancelRollout {
            service: service.as_str().into(),
        },
        RolloutCommand::Status { service } => {
            return show_rollouts(connection, Some(service), json).await;
        }
        RolloutCommand::List => return show_rollouts(connection, None, json).await,
    };
    let reply = connection.send_order(order).await?;
    let json = json.then(|| serde_json::json!({ "reply": reply }));
    Ok(reply_report(&reply, ExitStatus::Failed, json))
}

/// Shows the newest roll-out of one service or of each.
async fn show_rollouts(
    connection: &ControlConnection,
    service: Option<&str>,
    json: bool,
) -> Result<CommandReport> {
    let config = connection.fetch_config().await?;
    let records = config
        .rollouts
        .iter()
        .filter(|record| service.is_none_or(|service| record.order.service.as_str() == service));
    let records: Vec<&RolloutRecord> = records.collect();
    if let (true, Some(service)) = (records.is_empty(), service) {
        let message = format!("Failed to show service {service}: it has no roll-out");
        return Ok(CommandReport::error(message, ExitStatus::Failed));
    }
    if json {
        return Ok(CommandReport::done(serde_json::to_string(&records)? + "\n"));
    }
    let header = ["SERVICE", "TO", "FROM", "STATE", "AGE", "LIMIT", "REASON"];
    let rows: Vec<Vec<String>> = records.into_iter().map(rollout_row).collect();
    Ok(CommandReport::done(text_table(&header, &rows)))
}

fn rollout_row(record: &RolloutRecord) -> Vec<String> {
    let (state, reason) = match &record.phase {
        RolloutPhase::Running { step } => (format!("running, step {step}"), "-"),
        RolloutPhase::Draining => ("draining".into(), "-"),
        RolloutPhase::Completed => ("completed".into(), "-"),
        RolloutPhase::RolledBack { reason } => ("rolled-back".into(), reason.as_str()),
    };
    let old: Vec<&str> = record.old.iter().map(|version| version.as_str()).collect();
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.map_or(0, |now| now.as_millis() as u64);
    vec![
        record.order.service.to_string(),
        record.order.to.to_string(),
        old.join(" "),
        state,
        format!("{} s", now_ms.saturating_sub(record.ordered_at_ms) / 1_000),
        format!("{} ms", record.order.duration_ms),
        reason.into(),
    ]
}
