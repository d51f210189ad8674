//! `quarantine`: shows and ends the quarantine of requests that crash targets.
//!
//! The quarantine is soft state of the control node to which the entries report, so all control
//! nodes are asked.

use std::collections::BTreeMap;

use control::QuarantineStatus;
use eyre::Result;
use wire::{ServiceTrait, TraitError};

use crate::commands::{CommandReport, ExitStatus};
use crate::connection::ControlConnection;
use crate::table::text_table;

pub(crate) async fn list_quarantine(
    connection: &ControlConnection,
    json: bool,
) -> Result<CommandReport> {
    let statuses = connection.fetch_all_statuses().await?;
    let quarantine = statuses.into_iter().flat_map(|status| status.quarantine);
    let merged: BTreeMap<String, QuarantineStatus> = quarantine
        .map(|status| (status.subject.clone(), status))
        .collect();
    let quarantine: Vec<QuarantineStatus> = merged.into_values().collect();
    if json {
        return Ok(CommandReport::done(
            serde_json::to_string(&quarantine)? + "\n",
        ));
    }
    let rows: Vec<Vec<String>> = quarantine.iter().map(quarantine_row).collect();
    let header = ["SERVICE/TRAIT", "CRASHES", "ORGANISATIONS", "TRIAL IN"];
    Ok(CommandReport::done(text_table(&header, &rows)))
}

fn quarantine_row(status: &QuarantineStatus) -> Vec<String> {
    let organisations = match status.organisations {
        0 => "all".into(),
        count => count.to_string(),
    };
    vec![
        status.subject.clone(),
        status.crashes.to_string(),
        organisations,
        format!("{} ms", status.trial_ms),
    ]
}

pub(crate) async fn lift_quarantine(
    connection: &ControlConnection,
    subject: &str,
) -> Result<CommandReport> {
    let subject: ServiceTrait = match subject.parse() {
        Ok(subject) => subject,
        Err(error) => {
            let error: TraitError = error;
            return Ok(CommandReport::usage(error.to_string()));
        }
    };
    Ok(match connection.lift_quarantine(subject.clone()).await? {
        true => CommandReport::done(format!("{subject} is lifted\n")),
        false => CommandReport::error(
            format!("Failed to lift {subject}: it is not in quarantine"),
            ExitStatus::Failed,
        ),
    })
}
