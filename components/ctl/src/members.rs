//! `control members`: lists the control nodes.

use control::ControlStatus;
use eyre::Result;

use crate::commands::CommandReport;
use crate::connection::ControlConnection;
use crate::table::text_table;

/// Lists the members of the control group.
pub(crate) async fn list_members(
    connection: &ControlConnection,
    json: bool,
) -> Result<CommandReport> {
    let controls = connection.fetch_status().await?.controls;
    if json {
        return Ok(CommandReport::done(
            serde_json::to_string(&controls)? + "\n",
        ));
    }
    Ok(CommandReport::done(members_table(&controls)))
}

pub(crate) fn members_table(controls: &[ControlStatus]) -> String {
    let rows: Vec<Vec<String>> = controls
        .iter()
        .map(|control| {
            let name = control.name.as_ref().map(ToString::to_string);
            let kind = if control.voter { "voter" } else { "learner" };
            vec![
                name.unwrap_or_else(|| "-".into()),
                control.id.clone(),
                kind.into(),
                yes_no(control.leader),
                yes_no(control.present),
            ]
        })
        .collect();
    let header = ["NAME", "ID", "KIND", "LEADER", "PRESENT"];
    text_table(&header, &rows)
}

fn yes_no(flag: bool) -> String {
    if flag { "yes" } else { "no" }.into()
}
