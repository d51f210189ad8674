//! `apply`: replaces the services text in force.

use eyre::Result;
use manifest::ManifestChange;
use units::{ConfigVersion, OrderId, RequestId};
use wire::{OperatorOrder, OrderReply};

use crate::commands::{CommandReport, ExitStatus, parse_manifest, read_text};
use crate::connection::ControlConnection;
use crate::options::ApplyOptions;

/// Maximum number of changes that are listed; of further changes only the number is shown.
const MAX_LISTED_CHANGES: usize = 50;

/// Shows the changes against the configuration in force, and sends the services text.
pub(crate) async fn apply(
    connection: &ControlConnection,
    options: &ApplyOptions,
    json: bool,
) -> Result<CommandReport> {
    let text = read_text(&options.file)?;
    let new_manifest = match parse_manifest(&options.file, &text) {
        Ok(manifest) => manifest,
        Err(report) => return Ok(report),
    };
    let current = connection.fetch_config().await?;
    let changes = current.manifest.diff(&new_manifest);
    let expected = options.expect.map_or(current.version, ConfigVersion);
    let order = order_id(options.order.as_deref());
    // The id is printed before the order is sent, so that the operator can repeat the order if the
    // reply is lost.
    eprintln!("order {order}, expected version {expected}");
    if !json {
        eprint!("{}", format_changes(&changes));
    }
    let reply = connection
        .send_order(OperatorOrder::Apply {
            order: order.clone(),
            expected,
            text,
        })
        .await?;
    let invalid = ExitStatus::Invalid;
    Ok(order_report(&order, &reply, changes.len(), invalid, json))
}

/// Order id given on the command line, or a random id.
pub(crate) fn order_id(given: Option<&str>) -> OrderId {
    match given {
        Some(id) => OrderId::from(id),
        None => OrderId::from(RequestId(rand::random()).to_string().as_str()),
    }
}

fn format_changes(changes: &[ManifestChange]) -> String {
    let listed = changes.iter().take(MAX_LISTED_CHANGES);
    let mut text: String = listed.map(|change| format!("  {change}\n")).collect();
    if changes.is_empty() {
        text += "  no change\n";
    }
    if changes.len() > MAX_LISTED_CHANGES {
        text += &format!("  and {} more\n", changes.len() - MAX_LISTED_CHANGES);
    }
    text
}

/// Report of the reply to an order; `invalid` is the exit status if the order is invalid.
pub(crate) fn order_report(
    order: &OrderId,
    reply: &OrderReply,
    changes: usize,
    invalid: ExitStatus,
    json: bool,
) -> CommandReport {
    let json = json.then(|| {
        serde_json::json!({
            "order": order,
            "reply": reply,
            "changes": changes,
        })
    });
    reply_report(reply, invalid, json)
}

/// Report of a reply, which is printed as `json` if that is given; `invalid` is the exit status if the
/// order is invalid.
pub(crate) fn reply_report(
    reply: &OrderReply,
    invalid: ExitStatus,
    json: Option<serde_json::Value>,
) -> CommandReport {
    let (status, text) = match reply {
        OrderReply::Accepted(version) => {
            (ExitStatus::Done, format!("Version {version} is in force."))
        }
        OrderReply::Fenced(number) => (ExitStatus::Done, format!("Fencing number {number}.")),
        OrderReply::Conflict { current } => (
            ExitStatus::Conflict,
            format!(
                "Failed to apply the order: the configuration has changed to version {current}."
            ),
        ),
        OrderReply::RolloutInProgress { to } => (
            ExitStatus::Conflict,
            format!("Failed to apply the order: a roll-out to version {to} is in progress."),
        ),
        OrderReply::NoPlan => (
            ExitStatus::Failed,
            "Failed to apply the order: no plan is published yet.".into(),
        ),
        OrderReply::Invalid(reason) => (invalid, format!("Failed to apply the order: {reason}")),
    };
    if let Some(value) = json {
        return CommandReport {
            output: format!("{value}\n"),
            errors: String::new(),
            status,
        };
    }
    match status {
        ExitStatus::Done => CommandReport::done(text + "\n"),
        _ => CommandReport::error(text, status),
    }
}
